"""Simulated agents, model engines and clients for tests of backend selection.

Deterministic for a seed: an event queue advances a simulated clock. An engine runs its batch in steps, reads
prompts in chunks between the output tokens of others, and caches prefixes until memory runs short.
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

REREAD_WINDOW_S = 10.0
PROBE_INTERVAL_S = 0.5


class Clock:
    """A simulated clock with an event queue."""

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
    """Speed and capacity of a model engine."""

    max_batch: int = 64
    max_waiting: int = 192
    step_s: float = 0.0056
    step_s_per_request: float = 0.00012
    tokens_per_s: float = 54_600.0
    chunk_tokens: int = 1024
    kv_cache_tokens: int = 331_000
    tokens_per_event: int = 4


@dataclass(frozen=True)
class BackendEntry:
    """A catalogue entry."""

    id: str
    zone: str
    service: str = "model"
    capacity: int = 64
    state: str = "ready"
    warmup_left_ms: float = 0.0


@dataclass(eq=False)
class EngineRequest:
    """A request at an engine."""

    call: CallDescription
    on_event: Callable[[], None]
    on_end: Callable[[AttemptOutcome], None]
    unread_tokens: int = 0
    produced_tokens: int = 0
    admitted: bool = False


@dataclass
class ReadStats:
    """Tokens that engines read, and shared ones among them that some engine had read a short time before."""

    tokens_read: int = 0
    tokens_reread: int = 0
    used_at: dict[str, float] = field(default_factory=dict)

    def record(self, call: CallDescription, cached: bool, now: float) -> None:
        last = self.used_at.get(call.prefix_key)
        if not cached and last is not None and now - last <= REREAD_WINDOW_S:
            self.tokens_reread += call.shared_tokens
        self.used_at[call.prefix_key] = now


class Engine:
    """One simulated backend."""

    def __init__(self, clock: Clock, entry: BackendEntry, model: EngineModel, reads: ReadStats):
        self.clock, self.entry, self.model, self.reads = clock, entry, model, reads
        self.waiting: list[EngineRequest] = []
        self.running: list[EngineRequest] = []
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.stepping = False
        self.up = True
        self.silent = False
        self.slowdown = 1.0
        self.failing_share = 0.0
        self.arrived_at: list[float] = []

    def submit(self, request: EngineRequest, random: Random) -> None:
        self.arrived_at.append(self.clock.now)
        if self.silent:
            return
        if not self.up:
            request.on_end(AttemptOutcome.UNREACHABLE)
        elif random.random() < self.failing_share:
            request.on_end(AttemptOutcome.FAILED)
        elif len(self.waiting) >= self.model.max_waiting:
            request.on_end(AttemptOutcome.REFUSED)
        else:
            self.waiting.append(request)
            self.waiting.sort(key=lambda waiting: waiting.call.priority)
            self._start_stepping()

    def crash(self) -> None:
        self.up = False
        for request in self.running + self.waiting:
            request.on_end(AttemptOutcome.FAILED)
        self.running, self.waiting = [], []
        self.cache.clear()

    def _start_stepping(self) -> None:
        if not self.stepping:
            self.stepping = True
            self._step()

    def _step(self) -> None:
        self._admit()
        if not self.running or not self.up:
            self.stepping = False
            return
        budget = self.model.chunk_tokens
        for request in self.running:
            chunk_size = min(budget, request.unread_tokens)
            request.unread_tokens -= chunk_size
            budget -= chunk_size
        read = self.model.chunk_tokens - budget
        duration_s = self.model.step_s + self.model.step_s_per_request * len(self.running)
        duration_s += read / self.model.tokens_per_s
        self.clock.after(duration_s * self.slowdown, self._finish_step)

    def _finish_step(self) -> None:
        for request in [request for request in self.running if request.unread_tokens == 0]:
            request.produced_tokens += 1
            if request.produced_tokens % self.model.tokens_per_event == 0 and not self.silent:
                request.on_event()
            if request.produced_tokens >= request.call.output_tokens:
                self.running.remove(request)
                if not self.silent:
                    request.on_end(AttemptOutcome.COMPLETED)
        self._step()

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.model.max_batch:
            request = self.waiting[0]
            call = request.call
            needed = call.prompt_tokens + call.output_tokens
            used = sum(other.call.prompt_tokens + other.call.output_tokens for other in self.running)
            if used + needed > self.model.kv_cache_tokens:
                return
            self.waiting.pop(0)
            self.running.append(request)
            self._read(request, self.model.kv_cache_tokens - used - needed)

    def _read(self, request: EngineRequest, left: int) -> None:
        call = request.call
        cached = call.prefix_key in self.cache
        self.reads.record(call, cached, self.clock.now)
        request.unread_tokens = max(1, call.prompt_tokens - (call.shared_tokens if cached else 0))
        self.reads.tokens_read += request.unread_tokens
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
    distinct_prefixes: int
    shared_tokens: int
    mean_own_tokens: int
    output_tokens: int
    target_s: float
    priority: int
    home_regions: frozenset[str] = frozenset()
    hot_share: float = 0.0

    def call(self, random: Random) -> CallDescription:
        prefix_number = (
            0 if random.random() < self.hot_share else int(self.distinct_prefixes * random.random() ** 1.4)
        )
        unshared_tokens = max(16, int(random.expovariate(1 / self.mean_own_tokens)))
        output = max(4, int(random.expovariate(1 / self.output_tokens)))
        parts = (
            PromptPart(f"{self.route}-{prefix_number}", self.shared_tokens),
            PromptPart("own", unshared_tokens),
        )
        tokens = self.shared_tokens + unshared_tokens
        return CallDescription(
            self.route,
            "model",
            self.home_regions,
            parts,
            tokens,
            output,
            self.priority,
            self.target_s,
            body_bytes=2 * tokens,
        )


@dataclass
class Result:
    """Results of the requests of one route."""

    sent: int = 0
    timely: int = 0
    failed: int = 0
    refused: int = 0
    zone_crossings: int = 0
    region_crossings: int = 0
    latencies_s: list[float] = field(default_factory=list)


class Fleet:
    """Simulated agents, engines and clients."""

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
        self.zones, self.random, self.clock, self.reads = zones, Random(seed), Clock(), ReadStats()
        self.engines = {
            entry.id: Engine(self.clock, entry, model or EngineModel(), self.reads) for entry in entries
        }
        self.profile = ServiceProfile("model", 370, 3.0, 26.0, 64, 331_000)
        self.selectors: dict[str, Selector] = {}
        self.agents = agents
        self.results: dict[str, Result] = {}
        for number, (name, zone) in enumerate(agents.items()):
            selector = Selector(tuning or Tuning(), zone, zones[zone], zones, Random(seed * 100 + number))
            selector.update_services([self.profile], 0.0)
            selector.set_agents(agents, name, -100.0)
            self.selectors[name] = selector
            if report_delay_s is not None:
                self._deliver_reports(selector, report_delay_s)
        self.publish_catalogue(entries)
        self.clock.after(PROBE_INTERVAL_S, self._probe)

    def _probe(self) -> None:
        """The periodic work of a host: report silent backends and try to reach unreachable ones."""
        for selector in self.selectors.values():
            selector.report_silent_backends(self.clock.now)
            for backend_id in selector.unreachable_backends(self.clock.now):
                engine = self.engines[backend_id]
                if engine.up and not engine.silent:
                    selector.record_reachable(backend_id, self.clock.now)
        self.clock.after(PROBE_INTERVAL_S, self._probe)

    def _deliver_reports(self, selector: Selector, delay_s: float) -> None:
        """Deliver an agent's reports to the other agents of its zone, as a publisher does."""

        def deliver() -> None:
            report = selector.reports.take()
            for other in self.selectors.values():
                if other is not selector and other.placement.zone == selector.placement.zone:
                    other.apply_report(report, self.clock.now)

        selector.reports.on_added = lambda: self.clock.after(delay_s, deliver)

    def publish_catalogue(self, entries: list[BackendEntry]) -> None:
        for selector in self.selectors.values():
            selector.update_backends(entries, self.clock.now)

    def add_demand(self, demand: Demand, until: float, start: float = 0.0) -> None:
        def arrive() -> None:
            if self.clock.now >= until:
                return
            self._request(demand)
            self.clock.after(self.random.expovariate(demand.per_s), arrive)

        self.clock.after(start - self.clock.now + self.random.expovariate(demand.per_s), arrive)

    def _request(self, demand: Demand) -> None:
        names = [name for name, zone in self.agents.items() if self.zones[zone] == self.zones[demand.zone]]
        selector = self.selectors[self.random.choice(names)]
        call = demand.call(self.random)
        result = self.results.setdefault(demand.route, Result())
        result.sent += 1
        backend = selector.choose(call, self.clock.now)
        if isinstance(backend, Refusal):
            result.refused += 1
            return
        self._send(selector, backend.id, call, result)

    def _send(self, selector: Selector, backend_id: str, call: CallDescription, result: Result) -> None:
        engine = self.engines[backend_id]
        delay_s = self._network_delay_s(selector.placement.zone, engine.entry.zone)
        result.zone_crossings += selector.placement.zone != engine.entry.zone
        result.region_crossings += self.zones[selector.placement.zone] != self.zones[engine.entry.zone]
        started_at = self.clock.now
        attempt = selector.start_attempt(backend_id, call, started_at)

        def event() -> None:
            if attempt.first_event_at is None:
                duration_s = self.clock.now - started_at + 0.002
                result.latencies_s.append(duration_s)
                result.timely += duration_s <= call.latency_target_s
            selector.record_first_event(attempt, self.clock.now)

        def end(outcome: AttemptOutcome) -> None:
            result.failed += outcome is not AttemptOutcome.COMPLETED and not attempt.ended
            if attempt.first_event_at is None and outcome is AttemptOutcome.COMPLETED:
                event()
            selector.finish_attempt(attempt, outcome, self.clock.now)

        request = EngineRequest(
            call,
            lambda: self.clock.after(delay_s, event),
            lambda outcome: self.clock.after(delay_s, lambda: end(outcome)),
        )
        self.clock.after(delay_s, lambda: engine.submit(request, self.random))
        self.clock.after(5 * call.latency_target_s, lambda: self._give_up(attempt, end))

    @staticmethod
    def _give_up(attempt: Attempt, end: Callable[[AttemptOutcome], None]) -> None:
        if attempt.first_event_at is None:
            end(AttemptOutcome.TIMED_OUT)

    def _network_delay_s(self, one: str, other: str) -> float:
        if one == other:
            return 0.0002
        return 0.0014 if self.zones[one] == self.zones[other] else 0.02
