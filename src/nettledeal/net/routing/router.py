"""The router: the single greenlet that calls the balancer and carries out its steps.

Greenlets that own sockets put events on its queue; the router itself never waits for a socket.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from http import HTTPStatus

from gevent.event import AsyncResult
from gevent.queue import Empty, SimpleQueue

from nettledeal.learned_state import dependencies, reset_changed
from nettledeal.model import Lifecycle, Outcome, Step, Time
from nettledeal.net.address import Address
from nettledeal.net.clock import SECOND, Clock
from nettledeal.net.counters import Counters
from nettledeal.net.protocol.backend import Reply
from nettledeal.net.protocol.catalogue import CatalogueUpdate
from nettledeal.net.protocol.client import ClientRequest
from nettledeal.net.routing.actions import TRANSIT_MARGIN_TENTHS, ActionExecutor, OpenRequest
from nettledeal.net.routing.request_admission import RequestAdmission
from nettledeal.net.transport.backend_pools import BackendPools
from nettledeal.net.transport.pending_answer import PendingAnswer
from nettledeal.net.transport.relay import MAX_UPLOAD_TENTHS
from nettledeal.policy.balancer import Balancer

# Event loop lag (Time units) above which expiries are shortened by the lag. The balancer tells first tries
# from repeats by how long clients wait, and correcting for a smaller lag would only blur that.
LAG_TOLERANCE_TENTHS = 50
# How often the router measures the lag when nothing else wakes it (Time units).
LAG_CHECK_TENTHS = SECOND // 4


class Router:
    def __init__(
        self,
        balancer: Balancer,
        clock: Clock,
        counters: Counters,
        pools: BackendPools,
        categories: dict[str, int],
        customers: dict[str, int],
        default_timeouts: dict[str, Time],
        max_open: int,
        probe_timeout: Time,
        request_reports: bool,
        subscribe: Callable[[], None],
    ):
        self.balancer = balancer
        self.clock = clock
        self.counters = counters
        self.pools = pools
        self.admission = RequestAdmission(categories, customers, default_timeouts, max_open)
        self.actions = ActionExecutor(
            clock, counters, pools, self.admission, self, probe_timeout, request_reports, subscribe
        )
        self.open_requests = self.actions.open_requests
        self.queue: SimpleQueue = SimpleQueue()
        self.commands: deque[tuple[Callable, tuple, AsyncResult]] = deque()
        self.addresses: dict[str, Address] = {}  # of the backends that the catalogue lists as running
        self.submitted = 0  # work items so far; the last one's id
        self.queued = 0  # submitted work items that are still in the queue
        self.wake_at: Time | None = None
        self.balancer_time: Time = 0  # the last one passed to the balancer; never goes back
        self.lag: Time = 0  # recent lag of the event loop, decaying

    @property
    def busy(self) -> bool:
        return bool(self.open_requests or self.queued)

    # Called by the greenlets that own sockets.

    def submit(self, request: ClientRequest, received_at: Time, pending: PendingAnswer) -> int | None:
        """Queue a request. Returns the work item's id, or None if the request was answered at once."""
        rejection = self.admission.rejection_status(request, received_at)
        if rejection is not None:
            self.counters["requests unfit"] += 1
            pending.put(rejection)
            return None
        if self.queued + len(self.open_requests) >= self.admission.max_open:
            # Nothing was sent to a backend, so 503 may promise the client that the request has not run.
            self.counters["deferred at the door"] += 1
            pending.put(HTTPStatus.SERVICE_UNAVAILABLE)
            return None
        pending.deadline = received_at + self.admission.timeout(request)
        if request.upload is not None:
            pending.deadline += MAX_UPLOAD_TENTHS
        self.submitted += 1
        self.queued += 1
        self.admission.open_request_ids.add(request.request_id)
        self.queue.put((self._on_submit, (self.submitted, request, received_at, pending)))
        return self.submitted

    def client_left(self, id: int) -> None:
        self.queue.put((self._on_client_left, (id,)))

    def update_catalogue(self, update: CatalogueUpdate) -> None:
        self.queue.put((self._on_catalogue, (update,)))

    def discovery_lost(self) -> None:
        self.queue.put((self._on_discovery_lost, ()))

    def attempt_ended(self, id: int, number: int, reply: Reply) -> None:
        self.queue.put((self._on_attempt_ended, (id, number, reply)))

    def probe_ended(self, backend: str, reply: Reply) -> None:
        self.queue.put((self._on_probe_ended, (backend, reply)))

    def upload_started(self, id: int, number: int) -> None:
        self.queue.put((self._on_upload_started, (id, number)))

    def answer_overdue(self, id: int) -> None:
        """The client was sent a failure because no answer came in time."""
        self.counters.check_invariant(False, "a work item is answered before its expiry")
        self.client_left(id)

    def execute(self, call: Callable, *arguments):
        """Run an operator's command ahead of all queued events and return its result.

        Blocks until the command has run. If the caller stops waiting, the command is withdrawn: otherwise it
        would run after it was reported as refused.
        """
        command = call, arguments, AsyncResult()
        self.commands.append(command)
        self.queue.put((self._run_commands, ()))
        try:
            return command[2].get()
        finally:
            if command in self.commands:
                self.commands.remove(command)

    def cordon(self, backend: str, heard: bool = False) -> bool:
        """Take a backend out of service. `heard`: ordered at another process of this agent."""
        return self.execute(self._set_cordon, self.balancer.cordon, backend, heard)

    def uncordon(self, backend: str) -> bool:
        return self.execute(self._set_cordon, self.balancer.uncordon, backend)

    def update_settings(
        self, settings: Mapping, customers: dict[str, int], default_timeouts: dict[str, Time], max_open: int
    ) -> None:
        """Apply new settings in one step, between two events."""
        self.execute(self._on_settings, settings, customers, default_timeouts, max_open)

    # Run by the router's greenlet.

    def start(self, known: CatalogueUpdate | None) -> None:
        self._carry_out(self.balancer.start(self._now()))
        if known is not None:
            self._on_catalogue(known, cached=True)

    def run(self) -> None:
        while True:
            self._run_commands()
            now = self.clock.now()
            until = (
                now + LAG_CHECK_TENTHS if self.wake_at is None else min(self.wake_at, now + LAG_CHECK_TENTHS)
            )
            call, arguments = self._on_wake, ()
            # A timer that is due runs before queued events: under load the queue is never empty.
            if self.wake_at is None or self.wake_at > now:
                try:
                    call, arguments = self.queue.get(timeout=(until - now) / SECOND)
                except Empty:
                    self._record_lag(until)
            try:
                call(*arguments)
            except Exception:
                # An unexpected failure must not stop the other work items.
                self.counters.record_exception(call.__name__)
                self._fail_work_item(call, arguments)

    def _now(self) -> Time:
        self.balancer_time = max(self.balancer_time, self.clock.now())
        return self.balancer_time

    def _record_lag(self, until: Time) -> None:
        self.lag = max(self.clock.now() - until, self.lag * 3 // 4)

    def _fail_work_item(self, call: Callable, arguments: tuple) -> None:
        """Answer a work item whose event raised an exception: nothing else would answer it."""
        id = arguments[0] if call in (self._on_submit, self._on_attempt_ended) else None
        open_request = self.open_requests.get(id)
        if open_request is not None:
            # It may have run on a backend, so this must not be 503.
            open_request.pending.put(HTTPStatus.BAD_GATEWAY)
            self.actions.close(id)
            self.queue.put((self._withdraw, (id,)))

    def _withdraw(self, id: int) -> None:
        self._carry_out(self.balancer.on_withdrawn(self._now(), id))

    def _on_wake(self) -> None:
        if self.wake_at is not None and self.wake_at <= self.clock.now():
            self.wake_at = None
            self._carry_out(self.balancer.wake(self._now()))

    def _on_submit(self, id: int, request: ClientRequest, received_at: Time, pending: PendingAnswer) -> None:
        self.queued -= 1
        expiry = (
            pending.deadline - TRANSIT_MARGIN_TENTHS - (self.lag if self.lag > LAG_TOLERANCE_TENTHS else 0)
        )
        self.open_requests[id] = OpenRequest(request, pending)
        # Use the time of reading: the balancer tells first tries from repeats by how long the client waits,
        # and the time spent in the queue would blur that.
        self.balancer_time = max(self.balancer_time, received_at)
        category = self.admission.category_number(request)
        self._carry_out(
            self.balancer.submit(
                self.balancer_time,
                id,
                category,
                max(received_at + 1, expiry),
                customer=self.admission.customer_number(request),
                key=request.key,
                is_retry=request.is_retry,
                is_long=request.upload is not None,
            )
        )

    def _on_client_left(self, id: int) -> None:
        if id in self.open_requests:
            self.counters["withdrawn"] += 1
            self.actions.close(id)
            self._withdraw(id)

    def _on_attempt_ended(self, id: int, number: int, reply: Reply) -> None:
        open_request = self.open_requests.get(id)
        if open_request is not None:
            open_request.exchanges.pop(number, None)
        if reply.body_stream is not None and (
            open_request is None or open_request.pending.status is not None
        ):
            reply.body_stream.finish(False)  # the client has left or has an answer
        if open_request is not None and reply.outcome is Outcome.FINISHED:
            open_request.pending.put(HTTPStatus.OK, reply.body, reply.headers, body_stream=reply.body_stream)
            self.actions.close(id)
        self._carry_out(
            self.balancer.on_attempt_end(
                self._now(),
                id,
                number,
                reply.outcome,
                reply.duration,
                closed=False,
                report=reply.report or {},
            )
        )

    def _on_probe_ended(self, backend: str, reply: Reply) -> None:
        step = self.balancer.on_probe(self._now(), backend, reply.outcome, reply.duration, reply.report or {})
        self._carry_out(step)

    def _on_upload_started(self, id: int, number: int) -> None:
        self._carry_out(self.balancer.on_upload_forwarded(self._now(), id, number))

    def _run_commands(self) -> None:
        while self.commands:
            call, arguments, result = self.commands.popleft()
            try:
                result.set(call(*arguments))
            except Exception as error:
                result.set_exception(error)

    def _set_cordon(self, call: Callable[..., bool], backend: str, *heard: bool) -> bool:
        known = call(self._now(), backend, *heard)
        self._sync_pool(backend)
        return known

    def _on_settings(
        self, settings: Mapping, customers: dict[str, int], default_timeouts: dict[str, Time], max_open: int
    ) -> None:
        before = dependencies(self.balancer.state.settings)
        self._carry_out(self.balancer.apply_settings(self._now(), settings))
        for part in reset_changed(self.balancer, before, self.balancer_time):
            self.counters[f"begun afresh: {part}"] += 1
        state = self.balancer.state
        names = [category.name for category in state.categories]
        self.admission.update_settings(
            names, state.named_count, customers, default_timeouts, max_open, self.clock.now()
        )

    def _sync_pool(self, backend: str) -> None:
        """Keep a connection pool only for a backend that is listed as running and not cordoned.

        Without a pool nothing new is sent to it, and attempts not written yet end as unsent.
        """
        if backend in self.addresses and backend not in self.balancer.state.cordoned:
            self.pools.set_address(backend, self.addresses[backend])
        else:
            self.pools.remove(backend)

    def _on_catalogue(self, update: CatalogueUpdate, cached: bool = False) -> None:
        named = set()
        for listing in update.listings:
            backend = str(listing.backend)
            named.add(backend)
            if listing.lifecycle is Lifecycle.RUNNING:
                self.addresses[backend] = update.addresses[backend]
            else:
                self.addresses.pop(backend, None)
            self._sync_pool(backend)
        if update.is_full:
            for backend in set(self.addresses) - named:
                del self.addresses[backend]
                self._sync_pool(backend)
        now = self._now()
        self._carry_out(
            self.balancer.update_backends(now, update.listings, whole=update.is_full, cached=cached)
        )

    def _on_discovery_lost(self) -> None:
        self._carry_out(self.balancer.on_discovery_failed(self._now()))

    def _carry_out(self, step: Step) -> None:
        if step.wake_at is not None and (self.wake_at is None or step.wake_at < self.wake_at):
            self.wake_at = step.wake_at
        self.actions.carry_out(step.actions, self.balancer_time)
