"""Load balance and quality of service of a run, compared with random assignment.

Random assignment takes the same attempts, with the same times and durations, and assigns them to backends at
random in proportion to capacity. Figures for it are means over several draws from the experiment's seed.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import sqrt
from random import Random
from statistics import fmean, pstdev

from nettledeal.fleet.experiment import TICKS_PER_SECOND, Experiment
from nettledeal.fleet.rule_checker import RequestTrail
from nettledeal.model import Time

# Arrivals at one backend within this time count as a herd.
HERD_WINDOW = TICKS_PER_SECOND // 10
RANDOM_DRAWS = 20
HoldInterval = tuple[Time, Time, int]  # start, end, backend index


@dataclass(slots=True)
class MeasuredBackend:
    """A backend that was up for the whole measured time, and its capacity relative to the others."""

    number: int
    capacity: float


def hold_intervals(trails: dict[str, RequestTrail], since: Time, until: Time) -> list[HoldInterval]:
    """Visits of requests at backends that began between `since` and `until`, sorted by time."""
    return sorted(
        (visit.arrived_at, visit.ended_at or until, visit.backend)
        for trail in trails.values()
        for visit in trail.visits
        if since <= visit.arrived_at < until
    )


def spread(intervals: Sequence[HoldInterval], backends: Sequence[MeasuredBackend]) -> tuple[float, float]:
    """Coefficient of variation of requests per capacity: measured, and for random assignment."""
    counts = _counts(intervals)
    total_requests = sum(counts[backend.number] for backend in backends)
    total_capacity = sum(backend.capacity for backend in backends)
    if not total_requests or len(backends) < 2:
        return 0.0, 0.0
    requests_per_capacity = [counts[backend.number] / backend.capacity for backend in backends]
    shares = [backend.capacity / total_capacity for backend in backends]
    random_spread = sqrt(fmean((1 - share) / (total_requests * share) for share in shares))
    return pstdev(requests_per_capacity) / fmean(requests_per_capacity), random_spread


def _counts(intervals: Iterable[HoldInterval]) -> dict[int, int]:
    counts: dict[int, int] = defaultdict(int)
    for _, _, backend in intervals:
        counts[backend] += 1
    return counts


def peak_held(intervals: Sequence[HoldInterval]) -> tuple[int, float]:
    """The maximum of requests that one backend held at a time, and the mean over backends and time."""
    events: dict[int, list[tuple[Time, int]]] = defaultdict(list)
    total_held_time = 0
    for arrived_at, ended_at, backend in intervals:
        events[backend] += [(arrived_at, 1), (ended_at, -1)]
        total_held_time += ended_at - arrived_at
    peak = 0
    for changes in events.values():
        held = 0
        for _, change in sorted(changes):  # departures sort before arrivals at the same time
            held += change
            peak = max(peak, held)
    duration = max((ended_at for _, ended_at, _ in intervals), default=0) - min(
        (arrived_at for arrived_at, _, _ in intervals), default=0
    )
    return peak, total_held_time / duration / len(events) if duration and events else 0.0


def herd(intervals: Sequence[HoldInterval]) -> int:
    """The maximum number of arrivals at one backend within 100 ms."""
    arrivals: dict[int, list[Time]] = defaultdict(list)
    for arrived_at, _, backend in intervals:
        arrivals[backend].append(arrived_at)
    counts = (
        index + 1 - bisect_left(times, times[index] - HERD_WINDOW)
        for times in arrivals.values()
        for index in range(len(times))
    )
    return max(counts, default=0)


def random_baseline(
    intervals: Sequence[HoldInterval], backends: Sequence[MeasuredBackend], seed: int
) -> tuple[float, float]:
    """Peak held and herd if the same attempts were assigned at random: means over several draws."""
    rng = Random(f"{seed} chance")
    numbers, weights = [backend.number for backend in backends], [backend.capacity for backend in backends]
    if not numbers or not intervals:
        return 0.0, 0.0
    peaks, herds = [], []
    for _ in range(RANDOM_DRAWS):
        assigned = rng.choices(numbers, weights, k=len(intervals))
        reassigned = [
            (arrived_at, ended_at, backend)
            for (arrived_at, ended_at, _), backend in zip(intervals, assigned, strict=True)
        ]
        peaks.append(peak_held(reassigned)[0])
        herds.append(herd(reassigned))
    return fmean(peaks), fmean(herds)


def idle(
    intervals: Sequence[HoldInterval],
    backends: Sequence[MeasuredBackend],
    since: Time,
    until: Time,
    threshold: Time,
) -> list[int]:
    """Backends with a gap longer than the threshold between requests."""
    arrivals: dict[int, list[Time]] = {backend.number: [since] for backend in backends}
    for arrived_at, _, backend in intervals:
        if backend in arrivals:
            arrivals[backend].append(arrived_at)
    return [
        backend
        for backend, times in arrivals.items()
        if max(
            (later - earlier for earlier, later in zip(times, times[1:] + [until], strict=True)), default=0
        )
        > threshold
    ]


def idle_after(intervals: Sequence[HoldInterval], backends: Sequence[MeasuredBackend], span: Time) -> Time:
    """Idle threshold that random assignment exceeds for one backend in a thousand runs.

    Derived from the request rate of the backend with the smallest capacity.
    """
    total_capacity = sum(backend.capacity for backend in backends)
    smallest_capacity = min((backend.capacity for backend in backends), default=1.0)
    rate = len(intervals) * smallest_capacity / total_capacity / span if span and total_capacity else 0.0
    # A gap longer than 14 mean gaps has a probability of one in a million, and a run has about a thousand
    # gaps.
    return round(14 / rate) if rate else span


def percentile(values: Sequence[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def first_request_waits(
    returned: Sequence[tuple[Time, int, str]], trails: dict[str, RequestTrail]
) -> dict[str, Time | None]:
    """Time from the return of each backend to its first request; None if it received none."""
    arrivals: dict[tuple[int, str], list[Time]] = defaultdict(list)
    for trail in trails.values():
        for visit in trail.visits:
            arrivals[visit.backend, visit.name].append(visit.arrived_at)
    waits: dict[str, Time | None] = {}
    for returned_at, backend, name in returned:
        later_arrivals = [arrived_at for arrived_at in arrivals[backend, name] if arrived_at >= returned_at]
        waits[name] = min(later_arrivals) - returned_at if later_arrivals else None
    return waits


def service_metrics(
    experiment: Experiment, clients: Sequence[Sequence], since: Time, until: Time
) -> dict[str, float]:
    """Outcomes as shares of all requests; response times in ms from the scheduled start."""
    response_times_ms, on_time, deferred, failed, unanswered, unreached, send_delays = [], 0, 0, 0, 0, 0, []
    asked = 0
    for _, _, category_index, scheduled_at, sent_at, answered_at, status, _ in clients:
        if not since <= scheduled_at < until:
            continue
        asked += 1
        send_delays.append(sent_at - scheduled_at)
        if status == 200:
            response_times_ms.append((answered_at - scheduled_at) / 10)
            on_time += response_times_ms[-1] <= experiment.category[category_index].due_ms
        deferred += status in (429, 503)
        unanswered += status == 0
        unreached += status < 0
        failed += status not in (200, 429, 503, 0, -1)
    per_request = 1 / max(1, asked)
    return {
        "asked": asked,
        "on_time": on_time * per_request,
        "deferred": deferred * per_request,
        "failed": failed * per_request,
        "unanswered": unanswered * per_request,
        "unreached": unreached * per_request,
        "p50_ms": percentile(response_times_ms, 0.5),
        "p99_ms": percentile(response_times_ms, 0.99),
        "client_late_p99_ms": percentile(send_delays, 0.99) / 10,
        "client_late_most_ms": max(send_delays, default=0) / 10,
    }
