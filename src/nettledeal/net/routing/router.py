"""The router: the one greenlet that calls the balancer and carries out its steps.

Greenlets that have sockets put what happened on its queue. It never waits for a socket itself.
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
from nettledeal.net.routing.actions import WAY, Actions, OpenRequest
from nettledeal.net.routing.intake import Intake
from nettledeal.net.transport.pending_answer import PendingAnswer
from nettledeal.net.transport.pools import Pools
from nettledeal.net.transport.relay import SLOWEST
from nettledeal.policy.balancer import Balancer

# A loop that is late by more than this is given as much again; less would only blur how long clients wait.
LATE = 50
# How often the router looks at how late it runs when nothing else wakes it.
LOOK = SECOND // 4


class Router:
    def __init__(
        self,
        balancer: Balancer,
        clock: Clock,
        counters: Counters,
        pools: Pools,
        categories: dict[str, int],
        customers: dict[str, int],
        waits: dict[str, Time],
        most: int,
        probe_within: Time,
        reports: bool,
        subscribe: Callable[[], None],
    ):
        self.balancer = balancer
        self.clock = clock
        self.counters = counters
        self.pools = pools
        self.intake = Intake(categories, customers, waits, most)
        self.actions = Actions(clock, counters, pools, self.intake, self, probe_within, reports, subscribe)
        self.open = self.actions.open
        self.queue: SimpleQueue = SimpleQueue()
        self.orders: deque[tuple[Callable, tuple, AsyncResult]] = deque()
        self.places: dict[str, Address] = {}  # where those that the list calls running are reached
        self.offered = 0  # work items given an id so far
        self.waiting = 0  # of which still in the queue
        self.wake: Time | None = None
        self.told: Time = 0  # the time that the balancer was told last
        self.lag: Time = 0  # how late the loop has run of late

    @property
    def busy(self) -> bool:
        return bool(self.open or self.waiting)

    # Called by the greenlets that have sockets.

    def offer(self, request: ClientRequest, at: Time, pending: PendingAnswer) -> int | None:
        """The work item's id here, or None if it has got its answer at once."""
        fault = self.intake.unfit(request, at)
        if fault is not None:
            self.counters["requests unfit"] += 1
            pending.put(fault)
            return None
        if self.waiting + len(self.open) >= self.intake.most:
            # Nothing has been sent for it, so a deferral promises nothing that isn't so.
            self.counters["deferred at the door"] += 1
            pending.put(HTTPStatus.SERVICE_UNAVAILABLE)
            return None
        pending.by = at + self.intake.wait(request)
        if request.upload is not None:
            pending.by += SLOWEST
        self.offered += 1
        self.waiting += 1
        self.intake.names.add(request.name)
        self.queue.put((self._taken, (self.offered, request, at, pending)))
        return self.offered

    def gone(self, id: int) -> None:
        self.queue.put((self._gone, (id,)))

    def news(self, news: CatalogueUpdate) -> None:
        self.queue.put((self._listed, (news,)))

    def lost(self) -> None:
        self.queue.put((self._lost, ()))

    def returned(self, id: int, number: int, reply: Reply) -> None:
        self.queue.put((self._returned, (id, number, reply)))

    def probed(self, backend: str, reply: Reply) -> None:
        self.queue.put((self._probed, (backend, reply)))

    def handed_on(self, id: int, number: int) -> None:
        self.queue.put((self._handed_on, (id, number)))

    def overdue(self, id: int) -> None:
        """Its client has got a failure since nothing else came in time."""
        self.counters.must(False, "a work item is answered before its expiry")
        self.gone(id)

    def execute(self, call: Callable, *arguments):
        """An operator's order, done ahead of all that is in the queue; blocks until it is in force. Whoever
        stops waiting takes it back, or it would be done after it was refused."""
        order = call, arguments, AsyncResult()
        self.orders.append(order)
        self.queue.put((self._ordered, ()))
        try:
            return order[2].get()
        finally:
            if order in self.orders:
                self.orders.remove(order)

    def cordon(self, backend: str, heard: bool = False) -> bool:
        """Ordered here, or heard of from another process of this agent."""
        return self.execute(self._maintain, self.balancer.cordon, backend, heard)

    def uncordon(self, backend: str) -> bool:
        return self.execute(self._maintain, self.balancer.uncordon, backend)

    def retune(self, settings: Mapping, customers: dict[str, int], waits: dict[str, Time], most: int) -> None:
        """Other settings, in one step between two work items."""
        self.execute(self._retune, settings, customers, waits, most)

    # The greenlet.

    def start(self, known: CatalogueUpdate | None) -> None:
        self._carry_out(self.balancer.start(self._now()))
        if known is not None:
            self._listed(known, cached=True)

    def run(self) -> None:
        while True:
            self._ordered()
            now = self.clock.now()
            until = now + LOOK if self.wake is None else min(self.wake, now + LOOK)
            call, arguments = self._woken, ()
            # A wake that is due comes before what is in the queue: under load that is never empty.
            if self.wake is None or self.wake > now:
                try:
                    call, arguments = self.queue.get(timeout=(until - now) / SECOND)
                except Empty:
                    self._late(until)
            try:
                call(*arguments)
            except Exception:
                # Whatever it was, the other work items go on.
                self.counters.fault(call.__name__)
                self._save(call, arguments)

    def _now(self) -> Time:
        self.told = max(self.told, self.clock.now())
        return self.told

    def _late(self, until: Time) -> None:
        self.lag = max(self.clock.now() - until, self.lag * 3 // 4)

    def _save(self, call: Callable, arguments: tuple) -> None:
        """A work item whose event went wrong has lost its way: it is answered now."""
        id = arguments[0] if call in (self._taken, self._returned) else None
        held = self.open.get(id)
        if held is not None:
            # Nobody knows what has run, so it is no deferral.
            held.pending.put(HTTPStatus.BAD_GATEWAY)
            self.actions.close(id)
            self.queue.put((self._withdraw, (id,)))

    def _withdraw(self, id: int) -> None:
        self._carry_out(self.balancer.on_withdrawn(self._now(), id))

    def _woken(self) -> None:
        if self.wake is not None and self.wake <= self.clock.now():
            self.wake = None
            self._carry_out(self.balancer.wake(self._now()))

    def _taken(self, id: int, request: ClientRequest, at: Time, pending: PendingAnswer) -> None:
        self.waiting -= 1
        expiry = pending.by - WAY - (self.lag if self.lag > LATE else 0)
        self.open[id] = OpenRequest(request, pending)
        # As of when it was read: how long a client waits tells first tries from repeats, and the time in
        # the queue would blur it.
        self.told = max(self.told, at)
        category = self.intake.category(request)
        self._carry_out(
            self.balancer.submit(
                self.told,
                id,
                category,
                max(at + 1, expiry),
                customer=self.intake.customer(request),
                key=request.key,
                is_retry=request.again,
                is_long=request.upload is not None,
            )
        )

    def _gone(self, id: int) -> None:
        if id in self.open:
            self.counters["withdrawn"] += 1
            self.actions.close(id)
            self._withdraw(id)

    def _returned(self, id: int, number: int, reply: Reply) -> None:
        held = self.open.get(id)
        if held is not None:
            held.out.pop(number, None)
        if reply.rest is not None and (held is None or held.pending.status is not None):
            reply.rest.end(False)  # its client is gone, or has been answered
        if held is not None and reply.outcome is Outcome.FINISHED:
            held.pending.put(HTTPStatus.OK, reply.body, reply.lines, rest=reply.rest)
            self.actions.close(id)
        self._carry_out(
            self.balancer.on_attempt_end(
                self._now(), id, number, reply.outcome, reply.took, closed=False, report=reply.report or {}
            )
        )

    def _probed(self, backend: str, reply: Reply) -> None:
        step = self.balancer.on_probe(self._now(), backend, reply.outcome, reply.took, reply.report or {})
        self._carry_out(step)

    def _handed_on(self, id: int, number: int) -> None:
        self._carry_out(self.balancer.on_upload_forwarded(self._now(), id, number))

    def _ordered(self) -> None:
        while self.orders:
            call, arguments, result = self.orders.popleft()
            try:
                result.set(call(*arguments))
            except Exception as fault:
                result.set_exception(fault)

    def _maintain(self, call: Callable[..., bool], backend: str, *heard: bool) -> bool:
        known = call(self._now(), backend, *heard)
        self._reach(backend)
        return known

    def _retune(
        self, settings: Mapping, customers: dict[str, int], waits: dict[str, Time], most: int
    ) -> None:
        before = dependencies(self.balancer.state.settings)
        self._carry_out(self.balancer.apply_settings(self._now(), settings))
        for part in reset_changed(self.balancer, before, self.told):
            self.counters[f"begun afresh: {part}"] += 1
        state = self.balancer.state
        names = [category.name for category in state.categories]
        self.intake.retune(names, state.named_count, customers, waits, most, self.clock.now())

    def _reach(self, backend: str) -> None:
        """Connections to what the list calls running, unless an operator has taken it out; without them
        nothing new goes there, and what is decided but not yet written comes back as never sent."""
        if backend in self.places and backend not in self.balancer.state.cordoned:
            self.pools.place(backend, self.places[backend])
        else:
            self.pools.drop(backend)

    def _listed(self, news: CatalogueUpdate, cached: bool = False) -> None:
        named = set()
        for listing in news.listings:
            backend = str(listing.backend)
            named.add(backend)
            if listing.lifecycle is Lifecycle.RUNNING:
                self.places[backend] = news.places[backend]
            else:
                self.places.pop(backend, None)
            self._reach(backend)
        if news.whole:
            for backend in set(self.places) - named:
                del self.places[backend]
                self._reach(backend)
        now = self._now()
        self._carry_out(self.balancer.update_backends(now, news.listings, whole=news.whole, cached=cached))

    def _lost(self) -> None:
        self._carry_out(self.balancer.on_discovery_failed(self._now()))

    def _carry_out(self, step: Step) -> None:
        if step.wake_at is not None and (self.wake is None or step.wake_at < self.wake):
            self.wake = step.wake_at
        self.actions.carry_out(step.actions, self.told)
