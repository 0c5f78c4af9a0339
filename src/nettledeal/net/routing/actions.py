"""Carries out what the balancer decides: hand-offs, answers, recalls and probes of requests that are open."""

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
from nettledeal.net.protocol import backend as dialect
from nettledeal.net.protocol.backend import Reply
from nettledeal.net.protocol.client import ClientRequest
from nettledeal.net.routing.intake import Intake
from nettledeal.net.transport.exchange import Exchange
from nettledeal.net.transport.pending_answer import PendingAnswer
from nettledeal.net.transport.pools import Pools
from nettledeal.net.transport.relay import SLOWEST

# The answer is to be with the client before its expiry, which counts from when it sent: so much is left
# for the way here and back.
WAY = 20


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A work item taken and not yet answered."""

    request: ClientRequest
    pending: PendingAnswer
    out: dict[int, Exchange] = field(default_factory=dict)


class Events(Protocol):
    """Whom it is told what comes of a hand-off or a probe."""

    def returned(self, id: int, number: int, reply: Reply) -> None: ...

    def probed(self, backend: str, reply: Reply) -> None: ...

    def handed_on(self, id: int, number: int) -> None: ...


class Actions:
    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        pools: Pools,
        intake: Intake,
        events: Events,
        probe_within: Time,
        reports: bool,
        subscribe: Callable[[], None],
    ):
        self.clock = clock
        self.counters = counters
        self.pools = pools
        self.intake = intake
        self.events = events
        self.probe_within = probe_within
        self.reports = reports
        self.subscribe = subscribe
        self.open: dict[int, OpenRequest] = {}

    def carry_out(self, acts: Iterable[Action], told: Time) -> None:
        """In their order; `told` is the time that the balancer went by."""
        for act in acts:
            try:
                self._act(act, told)
            except Exception:
                # The acts behind it are for other work items.
                self.counters.fault(type(act).__name__)
                if isinstance(act, SendAttempt):
                    self.events.returned(act.work_item, act.number, Reply(Outcome.UNSENT))

    def _act(self, act: Action, told: Time) -> None:
        match act:
            case SendAttempt():
                self._hand_off(act, told)
            case Answer(id, verdict, retry_after):
                self._answer(id, verdict, retry_after)
            case CancelAttempt(id, number):
                held = self.open.get(id)
                if held is not None and number in held.out:
                    held.out[number].drop()
            case Probe(backend):
                self._probe(str(backend))
            case SubscribeToList():
                self.subscribe()

    def _hand_off(self, act: SendAttempt, told: Time) -> None:
        held = self.open.get(act.work_item)
        self.counters.must(held is not None, "a hand-off belongs to a work item not yet answered")

        def done(reply: Reply) -> None:
            self.events.returned(act.work_item, act.number, reply)

        if held is None or not held.pending.wanted:
            # Its client has left and the word of it is still in the queue: nothing is sent for nobody.
            done(Reply(Outcome.UNSENT))
            return
        backend = str(act.backend)
        exchange = self._exchange(act, held, told, done)
        held.out[act.number] = exchange
        if not self.pools.carry(backend, exchange):
            self.counters["hand-offs without a connection"] += 1
            done(Reply(Outcome.UNSENT))

    def _exchange(
        self, act: SendAttempt, held: OpenRequest, told: Time, done: Callable[[Reply], None]
    ) -> Exchange:
        request = held.request
        time_out = act.timeout
        if request.upload is not None:
            # Its expiry lies as far off as the slowest upload; its answer's wait runs from its last byte.
            time_out = max(1, held.pending.by - told - SLOWEST - 2 * WAY)
        exchange = Exchange(dialect.hand_off(request, time_out), told + act.timeout, done)
        exchange.begin_by = act.begin_by
        exchange.bare = request.method == b"HEAD"
        exchange.wanted = lambda: held.pending.wanted
        if request.upload is not None:
            exchange.upload, exchange.wait = request.upload, time_out
            exchange.handed_on = lambda: self.events.handed_on(act.work_item, act.number)
        return exchange

    def _probe(self, backend: str) -> None:
        def done(reply: Reply) -> None:
            self.events.probed(backend, reply)

        head = dialect.probe(self.pools.host(backend), self.reports)
        give_up_at = self.clock.now() + self.probe_within
        if not self.pools.carry(backend, Exchange([head], give_up_at, done, probe=True)):
            done(Reply(Outcome.UNSENT))

    def _answer(self, id: int, verdict: Verdict, retry_after: Time) -> None:
        held = self.open.get(id)
        self.counters.must(held is not None, "a work item gets one answer")
        if held is None:
            return
        deferred = verdict is Verdict.DEFERRED
        status = HTTPStatus.SERVICE_UNAVAILABLE if deferred else HTTPStatus.BAD_GATEWAY
        held.pending.put(status, retry_after=retry_after)
        self.close(id)

    def close(self, id: int) -> None:
        """Answered, or its client is gone: what is still out for it ends, or it would be sent afterwards."""
        held = self.open.pop(id)
        self.intake.names.discard(held.request.name)
        for exchange in held.out.values():
            exchange.drop()
