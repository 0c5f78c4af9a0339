"""How even the load was and how good the service, from the records of a run, beside what chance alone
gives.

Chance alone is the same hand-offs, at the same times and as long, dealt out at random by capacity: several
draws from the experiment's seed, and their mean.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import sqrt
from random import Random
from statistics import fmean, pstdev

from nettledeal.fleet.checker import Trail
from nettledeal.fleet.experiment import SECOND, Experiment
from nettledeal.model import Time

HERD = SECOND // 10  # the span in which arrivals at one backend are a herd
DRAWS = 20
Hold = tuple[Time, Time, int]  # from, until, backend


@dataclass(slots=True)
class Fit:
    """A backend that was up for all of what is counted, and what it can do beside the others."""

    number: int
    capacity: float


def holds(trails: dict[str, Trail], since: Time, until: Time) -> list[Hold]:
    """Stays of work items at stand-ins that began within the time, in order."""
    return sorted(
        (stay.came, stay.ended or until, stay.backend)
        for trail in trails.values()
        for stay in trail.stays
        if since <= stay.came < until
    )


def spread(found: Sequence[Hold], fit: Sequence[Fit]) -> tuple[float, float]:
    """Coefficient of variation of work items per capacity over backends, and chance's."""
    counts = _counts(found)
    total = sum(counts[b.number] for b in fit)
    capacity = sum(b.capacity for b in fit)
    if not total or len(fit) < 2:
        return 0.0, 0.0
    per = [counts[b.number] / b.capacity for b in fit]
    parts = [b.capacity / capacity for b in fit]
    chance = sqrt(fmean((1 - part) / (total * part) for part in parts))
    return pstdev(per) / fmean(per), chance


def _counts(found: Iterable[Hold]) -> dict[int, int]:
    counts: dict[int, int] = defaultdict(int)
    for _, _, backend in found:
        counts[backend] += 1
    return counts


def peak_held(found: Sequence[Hold]) -> tuple[int, float]:
    """The most work items held by one backend at a time, and the mean over backends and time."""
    events: dict[int, list[tuple[Time, int]]] = defaultdict(list)
    whole = 0
    for came, ended, backend in found:
        events[backend] += [(came, 1), (ended, -1)]
        whole += ended - came
    peak = 0
    for steps in events.values():
        held = 0
        for _, step in sorted(steps):  # ends before arrivals of the same moment
            held += step
            peak = max(peak, held)
    span = max((ended for _, ended, _ in found), default=0) - min((came for came, _, _ in found), default=0)
    return peak, whole / span / len(events) if span and events else 0.0


def herd(found: Sequence[Hold]) -> int:
    """The most arrivals at one backend within 100 ms."""
    times: dict[int, list[Time]] = defaultdict(list)
    for came, _, backend in found:
        times[backend].append(came)
    within = (n + 1 - bisect_left(at, at[n] - HERD) for at in times.values() for n in range(len(at)))
    return max(within, default=0)


def by_chance(found: Sequence[Hold], fit: Sequence[Fit], seed: int) -> tuple[float, float]:
    """What peak held and herd would be, were the same hand-offs dealt out at random: means of some draws."""
    chance = Random(f"{seed} chance")
    numbers, weights = [b.number for b in fit], [b.capacity for b in fit]
    if not numbers or not found:
        return 0.0, 0.0
    peaks, herds = [], []
    for _ in range(DRAWS):
        dealt = chance.choices(numbers, weights, k=len(found))
        drawn = [(came, ended, backend) for (came, ended, _), backend in zip(found, dealt, strict=True)]
        peaks.append(peak_held(drawn)[0])
        herds.append(herd(drawn))
    return fmean(peaks), fmean(herds)


def idle(found: Sequence[Hold], fit: Sequence[Fit], since: Time, until: Time, after: Time) -> list[int]:
    """Backends to which no work came for so long."""
    times: dict[int, list[Time]] = {b.number: [since] for b in fit}
    for came, _, backend in found:
        if backend in times:
            times[backend].append(came)
    return [
        backend
        for backend, at in times.items()
        if max((b - a for a, b in zip(at, at[1:] + [until], strict=True)), default=0) > after
    ]


def idle_after(found: Sequence[Hold], fit: Sequence[Fit], span: Time) -> Time:
    """So long that chance leaves one backend in a thousand runs without work: by the rate at the weakest."""
    capacity = sum(b.capacity for b in fit)
    least = min((b.capacity for b in fit), default=1.0)
    rate = len(found) * least / capacity / span if span and capacity else 0.0
    # A gap over 14 mean gaps has a chance of one in a million, and there are some thousand gaps.
    return round(14 / rate) if rate else span


def percentile(values: Sequence[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def first_work(returned: Sequence[tuple[Time, int, str]], trails: dict[str, Trail]) -> dict[str, Time | None]:
    """How long each backend that came back waited for work; None where none came."""
    first: dict[tuple[int, str], list[Time]] = defaultdict(list)
    for trail in trails.values():
        for stay in trail.stays:
            first[stay.backend, stay.name].append(stay.came)
    found: dict[str, Time | None] = {}
    for at, backend, name in returned:
        after = [came for came in first[backend, name] if came >= at]
        found[name] = min(after) - at if after else None
    return found


def service(
    experiment: Experiment, clients: Sequence[Sequence], since: Time, until: Time
) -> dict[str, float]:
    """Shares of what was asked for within the time; answer times from the scheduled start, in ms."""
    took, on_time, deferred, failed, silent, unreached, late = [], 0, 0, 0, 0, 0, []
    asked = 0
    for _, _, number, due, sent, answered, status, _ in clients:
        if not since <= due < until:
            continue
        asked += 1
        late.append(sent - due)
        if status == 200:
            took.append((answered - due) / 10)
            on_time += took[-1] <= experiment.category[number].due_ms
        deferred += status in (429, 503)
        silent += status == 0
        unreached += status < 0
        failed += status not in (200, 429, 503, 0, -1)
    part = 1 / max(1, asked)
    return {
        "asked": asked,
        "on_time": on_time * part,
        "deferred": deferred * part,
        "failed": failed * part,
        "unanswered": silent * part,
        "unreached": unreached * part,
        "p50_ms": percentile(took, 0.5),
        "p99_ms": percentile(took, 0.99),
        "client_late_p99_ms": percentile(late, 0.99) / 10,
        "client_late_most_ms": max(late, default=0) / 10,
    }
