"""A small fleet for tests of the selection: agents with their selectors, model engines and clients.

Pure and seeded: time is a number that the event queue moves. An engine runs a batch in steps, reads prompts
in pieces between the tokens of others, and keeps the prefixes that it has read until memory runs short.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from nettledeal.dataplane.selection import (
    Attempt,
    AttemptOutcome,
    CallDescription,
    PromptPart,
    Refusal,
    Selector,
    ServiceProfile,
    Tuning,
)

AGAIN_S = 10.0
PROBE_INTERVAL_S = 0.5


class Clock:
    """An event queue."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + max(0.0, delay_s), next(self._numbers), action))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until


@dataclass(frozen=True)
class EngineModel:
    """Speeds of a model engine."""

    batch: int = 64
    queue: int = 192
    step_s: float = 0.0056
    step_s_per_request: float = 0.00012
    tokens_per_s: float = 54_600.0
    piece_tokens: int = 1024
    memory_tokens: int = 331_000
    tokens_per_event: int = 4


@dataclass(frozen=True)
class BackendEntry:
    """A catalogue's entry."""

    id: str
    zone: str
    service: str = "model"
    capacity: int = 64
    state: str = "ready"
    warmup_left_ms: float = 0.0


@dataclass(eq=False)
class Running:
    """A request at an engine."""

    call: CallDescription
    on_event: Callable[[], None]
    on_end: Callable[[AttemptOutcome], None]
    to_read: int = 0
    produced: int = 0
    admitted: bool = False


@dataclass
class Reads:
    """Tokens that engines read, and those of shared parts that some engine had read a short time before."""

    read: int = 0
    again: int = 0
    used_at: dict[str, float] = field(default_factory=dict)

    def note(self, call: CallDescription, cached: bool, now: float) -> None:
        last = self.used_at.get(call.prefix_key)
        if not cached and last is not None and now - last <= AGAIN_S:
            self.again += call.shared_tokens
        self.used_at[call.prefix_key] = now


class Engine:
    """One backend."""

    def __init__(self, clock: Clock, entry: BackendEntry, model: EngineModel, reads: Reads):
        self.clock, self.entry, self.model, self.reads = clock, entry, model, reads
        self.waiting: list[Running] = []
        self.running: list[Running] = []
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.stepping = False
        self.up = True
        self.silent = False
        self.slow = 1.0
        self.failing_share = 0.0
        self.arrivals: list[float] = []

    def arrive(self, request: Running, random: Random) -> None:
        self.arrivals.append(self.clock.now)
        if self.silent:
            return
        if not self.up:
            request.on_end(AttemptOutcome.UNREACHABLE)
        elif random.random() < self.failing_share:
            request.on_end(AttemptOutcome.FAILED)
        elif len(self.waiting) >= self.model.queue:
            request.on_end(AttemptOutcome.REFUSED)
        else:
            self.waiting.append(request)
            self.waiting.sort(key=lambda waiting: waiting.call.priority)
            self._step_soon()

    def crash(self) -> None:
        self.up = False
        for request in self.running + self.waiting:
            request.on_end(AttemptOutcome.FAILED)
        self.running, self.waiting = [], []
        self.cache.clear()

    def _step_soon(self) -> None:
        if not self.stepping:
            self.stepping = True
            self._step()

    def _step(self) -> None:
        self._admit()
        if not self.running or not self.up:
            self.stepping = False
            return
        budget = self.model.piece_tokens
        for request in self.running:
            piece = min(budget, request.to_read)
            request.to_read -= piece
            budget -= piece
        read = self.model.piece_tokens - budget
        took = self.model.step_s + self.model.step_s_per_request * len(self.running)
        took += read / self.model.tokens_per_s
        self.clock.after(took * self.slow, self._stepped)

    def _stepped(self) -> None:
        for request in [request for request in self.running if request.to_read == 0]:
            request.produced += 1
            if request.produced % self.model.tokens_per_event == 0 and not self.silent:
                request.on_event()
            if request.produced >= request.call.output_tokens:
                self.running.remove(request)
                if not self.silent:
                    request.on_end(AttemptOutcome.COMPLETED)
        self._step()

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.model.batch:
            request = self.waiting[0]
            call = request.call
            needed = call.prompt_tokens + call.output_tokens
            used = sum(other.call.prompt_tokens + other.call.output_tokens for other in self.running)
            if used + needed > self.model.memory_tokens:
                return
            self.waiting.pop(0)
            self.running.append(request)
            self._read(request, self.model.memory_tokens - used - needed)

    def _read(self, request: Running, left: int) -> None:
        call = request.call
        cached = call.prefix_key in self.cache
        self.reads.note(call, cached, self.clock.now)
        request.to_read = max(1, call.prompt_tokens - (call.shared_tokens if cached else 0))
        self.reads.read += request.to_read
        self.cache[call.prefix_key] = call.shared_tokens
        self.cache.move_to_end(call.prefix_key)
        while sum(self.cache.values()) > left and self.cache:
            self.cache.popitem(last=False)


@dataclass(frozen=True)
class Demand:
    """One kind of request from the clients of one zone."""

    zone: str
    per_s: float
    route: str
    things: int
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    target_s: float
    priority: int
    homes: frozenset[str] = frozenset()
    hot_share: float = 0.0

    def call(self, random: Random) -> CallDescription:
        thing = 0 if random.random() < self.hot_share else int(self.things * random.random() ** 1.4)
        own = max(16, int(random.expovariate(1 / self.own_tokens)))
        output = max(4, int(random.expovariate(1 / self.output_tokens)))
        parts = (PromptPart(f"{self.route}-{thing}", self.shared_tokens), PromptPart("own", own))
        tokens = self.shared_tokens + own
        return CallDescription(
            self.route,
            "model",
            self.homes,
            parts,
            tokens,
            output,
            self.priority,
            self.target_s,
            body_bytes=2 * tokens,
        )


@dataclass
class Result:
    """What became of the requests of one route."""

    sent: int = 0
    timely: int = 0
    failed: int = 0
    refused: int = 0
    zone_crossings: int = 0
    region_crossings: int = 0
    times: list[float] = field(default_factory=list)


class Fleet:
    """Agents, engines and clients."""

    def __init__(
        self,
        zones: dict[str, str],
        agents: dict[str, str],
        entries: list[BackendEntry],
        seed: int = 1,
        model: EngineModel | None = None,
        tuning: Tuning | None = None,
        report_delay_s: float | None = None,
    ):
        self.zones, self.random, self.clock, self.reads = zones, Random(seed), Clock(), Reads()
        self.engines = {
            entry.id: Engine(self.clock, entry, model or EngineModel(), self.reads) for entry in entries
        }
        self.profile = ServiceProfile("model", 370, 3.0, 26.0, 64, 331_000)
        self.selectors: dict[str, Selector] = {}
        self.agents = agents
        self.results: dict[str, Result] = {}
        for number, (name, zone) in enumerate(agents.items()):
            chooser = Selector(tuning or Tuning(), zone, zones[zone], zones, Random(seed * 100 + number))
            chooser.update_services([self.profile], 0.0)
            chooser.set_agents(agents, name, -100.0)
            self.selectors[name] = chooser
            if report_delay_s is not None:
                self._pass_reports_on(chooser, report_delay_s)
        self.publish(entries)
        self.clock.after(PROBE_INTERVAL_S, self._probe)

    def _probe(self) -> None:
        """What a host does about backends at intervals: it reports silent ones and tries to reach others."""
        for chooser in self.selectors.values():
            chooser.report_silent_backends(self.clock.now)
            for backend_id in chooser.unreachable_backends(self.clock.now):
                engine = self.engines[backend_id]
                if engine.up and not engine.silent:
                    chooser.record_reachable(backend_id, self.clock.now)
        self.clock.after(PROBE_INTERVAL_S, self._probe)

    def _pass_reports_on(self, chooser: Selector, delay_s: float) -> None:
        """What a publisher does about an agent's reports: it tells the other agents of the zone."""

        def deliver() -> None:
            report = chooser.reports.take()
            for other in self.selectors.values():
                if other is not chooser and other.placement.zone == chooser.placement.zone:
                    other.apply_report(report, self.clock.now)

        chooser.reports.on_added = lambda: self.clock.after(delay_s, deliver)

    def publish(self, entries: list[BackendEntry]) -> None:
        for chooser in self.selectors.values():
            chooser.update_backends(entries, self.clock.now)

    def demand(self, demand: Demand, until: float, start: float = 0.0) -> None:
        def arrive() -> None:
            if self.clock.now >= until:
                return
            self._request(demand)
            self.clock.after(self.random.expovariate(demand.per_s), arrive)

        self.clock.after(start - self.clock.now + self.random.expovariate(demand.per_s), arrive)

    def _request(self, demand: Demand) -> None:
        names = [name for name, zone in self.agents.items() if self.zones[zone] == self.zones[demand.zone]]
        chooser = self.selectors[self.random.choice(names)]
        call = demand.call(self.random)
        result = self.results.setdefault(demand.route, Result())
        result.sent += 1
        chosen = chooser.choose(call, self.clock.now)
        if isinstance(chosen, Refusal):
            result.refused += 1
            return
        self._send(chooser, chosen.id, call, result)

    def _send(self, chooser: Selector, backend_id: str, call: CallDescription, result: Result) -> None:
        engine = self.engines[backend_id]
        distance = self._distance(chooser.placement.zone, engine.entry.zone)
        result.zone_crossings += chooser.placement.zone != engine.entry.zone
        result.region_crossings += self.zones[chooser.placement.zone] != self.zones[engine.entry.zone]
        begun = self.clock.now
        attempt = chooser.start_attempt(backend_id, call, begun)

        def event() -> None:
            if attempt.first_event_at is None:
                took = self.clock.now - begun + 0.002
                result.times.append(took)
                result.timely += took <= call.latency_target_s
            chooser.record_first_event(attempt, self.clock.now)

        def end(outcome: AttemptOutcome) -> None:
            result.failed += outcome is not AttemptOutcome.COMPLETED and not attempt.ended
            if attempt.first_event_at is None and outcome is AttemptOutcome.COMPLETED:
                event()
            chooser.finish_attempt(attempt, outcome, self.clock.now)

        request = Running(
            call,
            lambda: self.clock.after(distance, event),
            lambda outcome: self.clock.after(distance, lambda: end(outcome)),
        )
        self.clock.after(distance, lambda: engine.arrive(request, self.random))
        self.clock.after(5 * call.latency_target_s, lambda: self._give_up(attempt, end))

    @staticmethod
    def _give_up(attempt: Attempt, end: Callable[[AttemptOutcome], None]) -> None:
        if attempt.first_event_at is None:
            end(AttemptOutcome.TIMED_OUT)

    def _distance(self, one: str, other: str) -> float:
        if one == other:
            return 0.0002
        return 0.0014 if self.zones[one] == self.zones[other] else 0.02
