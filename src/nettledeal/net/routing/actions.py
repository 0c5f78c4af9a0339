"""Carries out the balancer's decisions for open requests: attempts, answers, cancellations and probes."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

from nettledeal.model import (
    Action,
    Answer,
    CancelAttempt,
    Outcome,
    Probe,
    SendAttempt,
    SubscribeToList,
    Time,
    Verdict,
)
from nettledeal.net.clock import Clock
from nettledeal.net.counters import Counters
from nettledeal.net.protocol import backend as backend_protocol
from nettledeal.net.protocol.backend import Reply
from nettledeal.net.protocol.client import ClientRequest
from nettledeal.net.routing.request_admission import RequestAdmission
from nettledeal.net.transport.backend_pools import BackendPools
from nettledeal.net.transport.exchange import Exchange
from nettledeal.net.transport.pending_answer import PendingAnswer
from nettledeal.net.transport.relay import MAX_UPLOAD_TENTHS

# Allowance for network transit (in Time units, tenths of a millisecond). A request's expiry counts from when
# the client sent it, and the answer must reach the client before that.
TRANSIT_MARGIN_TENTHS = 20


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that was accepted and has no answer yet."""

    request: ClientRequest
    pending: PendingAnswer
    exchanges: dict[int, Exchange] = field(default_factory=dict)  # in flight, by attempt number


class ExchangeEvents(Protocol):
    """Receives the results of attempts and probes."""

    def attempt_ended(self, id: int, number: int, reply: Reply) -> None: ...

    def probe_ended(self, backend: str, reply: Reply) -> None: ...

    def upload_started(self, id: int, number: int) -> None: ...


class ActionExecutor:
    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        pools: BackendPools,
        admission: RequestAdmission,
        events: ExchangeEvents,
        probe_timeout: Time,
        request_reports: bool,
        subscribe: Callable[[], None],
    ):
        self.clock = clock
        self.counters = counters
        self.pools = pools
        self.admission = admission
        self.events = events
        self.probe_timeout = probe_timeout
        self.request_reports = request_reports
        self.subscribe = subscribe
        self.open_requests: dict[int, OpenRequest] = {}

    def carry_out(self, actions: Iterable[Action], decided_at: Time) -> None:
        """Carry out `actions` in order. `decided_at` is the time that the balancer used for the decision."""
        for action in actions:
            try:
                self._execute(action, decided_at)
            except Exception:
                # The remaining actions concern other work items, so go on with them.
                self.counters.record_exception(type(action).__name__)
                if isinstance(action, SendAttempt):
                    self.events.attempt_ended(action.work_item, action.number, Reply(Outcome.UNSENT))

    def _execute(self, action: Action, decided_at: Time) -> None:
        match action:
            case SendAttempt():
                self._send_attempt(action, decided_at)
            case Answer(id, verdict, retry_after):
                self._send_answer(id, verdict, retry_after)
            case CancelAttempt(id, number):
                open_request = self.open_requests.get(id)
                if open_request is not None and number in open_request.exchanges:
                    open_request.exchanges[number].cancel()
            case Probe(backend):
                self._send_probe(str(backend))
            case SubscribeToList():
                self.subscribe()

    def _send_attempt(self, action: SendAttempt, decided_at: Time) -> None:
        open_request = self.open_requests.get(action.work_item)
        self.counters.check_invariant(
            open_request is not None, "a hand-off belongs to a work item not yet answered"
        )

        def on_reply(reply: Reply) -> None:
            self.events.attempt_ended(action.work_item, action.number, reply)

        if open_request is None or not open_request.pending.is_wanted:
            # The client has disconnected, but that event is still queued: don't start work for it.
            on_reply(Reply(Outcome.UNSENT))
            return
        backend = str(action.backend)
        exchange = self._new_exchange(action, open_request, decided_at, on_reply)
        open_request.exchanges[action.number] = exchange
        if not self.pools.send(backend, exchange):
            self.counters["hand-offs without a connection"] += 1
            on_reply(Reply(Outcome.UNSENT))

    def _new_exchange(
        self,
        action: SendAttempt,
        open_request: OpenRequest,
        decided_at: Time,
        on_reply: Callable[[Reply], None],
    ) -> Exchange:
        request = open_request.request
        timeout = action.timeout
        if request.upload is not None:
            # The deadline includes the longest possible upload; the reply timeout starts at the last byte.
            timeout = max(
                1, open_request.pending.deadline - decided_at - MAX_UPLOAD_TENTHS - 2 * TRANSIT_MARGIN_TENTHS
            )
        exchange = Exchange(
            backend_protocol.encode_attempt(request, timeout), decided_at + action.timeout, on_reply
        )
        exchange.begin_by = action.begin_by
        exchange.bodiless = request.method == b"HEAD"
        exchange.is_wanted = lambda: open_request.pending.is_wanted
        if request.upload is not None:
            exchange.upload, exchange.reply_timeout = request.upload, timeout
            exchange.on_upload_start = lambda: self.events.upload_started(action.work_item, action.number)
        return exchange

    def _send_probe(self, backend: str) -> None:
        def on_reply(reply: Reply) -> None:
            self.events.probe_ended(backend, reply)

        head = backend_protocol.encode_probe(self.pools.host(backend), self.request_reports)
        deadline = self.clock.now() + self.probe_timeout
        if not self.pools.send(backend, Exchange([head], deadline, on_reply, is_probe=True)):
            on_reply(Reply(Outcome.UNSENT))

    def _send_answer(self, id: int, verdict: Verdict, retry_after: Time) -> None:
        open_request = self.open_requests.get(id)
        self.counters.check_invariant(open_request is not None, "a work item gets one answer")
        if open_request is None:
            return
        deferred = verdict is Verdict.DEFERRED
        status = HTTPStatus.SERVICE_UNAVAILABLE if deferred else HTTPStatus.BAD_GATEWAY
        open_request.pending.put(status, retry_after=retry_after)
        self.close(id)

    def close(self, id: int) -> None:
        """Forget a request that was answered or whose client left.

        Cancels its remaining exchanges: those not written yet would otherwise still be sent.
        """
        open_request = self.open_requests.pop(id)
        self.admission.open_request_ids.discard(open_request.request.request_id)
        for exchange in open_request.exchanges.values():
            exchange.cancel()
