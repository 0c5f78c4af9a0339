"""Linearizability check of the answers that operators received.

The configuration is a compare-and-set register: an order replaces an expected generation with a new one.
Every attempt of an order is an operation with an interval and an answer: acknowledged, refused, or unclear,
in which case it may take effect at any time after it began. Reads and evacuations are checked as well. Times
are seconds of one clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

FOREVER = float("inf")


class Answer(Enum):
    """The answer that a caller received."""

    ACKNOWLEDGED = auto()
    REFUSED = auto()
    UNCLEAR = auto()


@dataclass(frozen=True)
class Put:
    """One attempt of an order: the body `name` as `generation` on top of generation `expected`."""

    name: str
    expected: int
    generation: int
    began: float
    ended: float
    answer: Answer


@dataclass(frozen=True)
class Read:
    """An answered read: the active body, empty before the first order."""

    name: str
    began: float
    ended: float


@dataclass(frozen=True)
class Evacuation:
    """One attempt of an order to start or end the evacuation of a zone."""

    zone: str
    evacuated: bool
    began: float
    ended: float
    answer: Answer


@dataclass
class Interval:
    """The time span in which an order may have taken effect."""

    earliest: float
    latest: float = FOREVER


@dataclass
class History:
    """All operations and their answers, in any order."""

    puts: list[Put] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)

    def faults(self, final_evacuations: frozenset[str] | None = None) -> list[str]:
        """Answers that no linearization explains; `final_evacuations` are the evacuated zones at the end."""
        found = _ConfigurationHistory(self.puts, self.reads).faults()
        if final_evacuations is not None:
            found += _evacuation_faults(self.evacuations, final_evacuations)
        return found


class _ConfigurationHistory:
    """The sequence of configurations that were active."""

    def __init__(self, puts: list[Put], reads: list[Read]):
        self.reads = reads
        self.attempts: dict[str, list[Put]] = {}
        for put in puts:
            self.attempts.setdefault(put.name, []).append(put)
        self.chain: list[Put] = []

    def faults(self) -> list[str]:
        try:
            self.chain = self._build_chain()
            return self._refused_but_active() + self._impossible_times()
        except ValueError as fault:
            return [str(fault)]

    def _build_chain(self) -> list[Put]:
        """The configurations known to have been active and their predecessors, oldest first."""
        needed = [name for name, attempts in self.attempts.items() if _is_acknowledged(attempts)]
        needed += [read.name for read in self.reads if read.name]
        by_generation: dict[int, Put] = {}
        pending = list(dict.fromkeys(needed))
        while pending:
            name = pending.pop()
            if name not in self.attempts:
                raise ValueError(f"{name} was read, but nobody sent it")
            put = self.attempts[name][0]
            known = by_generation.setdefault(put.generation, put)
            if known.name != name:
                raise ValueError(f"{known.name} and {name} were both in force as {put.generation}")
            if put.expected:
                pending += self._unconfirmed_parents(put, by_generation)
        chain = [by_generation[generation] for generation in sorted(by_generation)]
        for before, after in zip([None, *chain], chain, strict=False):
            if after.expected != (before.generation if before else 0):
                raise ValueError(
                    f"{after.name} was put on {after.expected}, after {before and before.name or 'nothing'}"
                )
        return chain

    def _unconfirmed_parents(self, put: Put, by_generation: dict[int, Put]) -> list[str]:
        if put.expected in by_generation:
            return []
        sent = {name for name, attempts in self.attempts.items() if attempts[0].generation == put.expected}
        if not sent:
            raise ValueError(f"{put.name} was put on {put.expected}, which nobody sent")
        # If several were sent with that generation and none was confirmed, any of them may be the parent.
        return list(sent) if len(sent) == 1 else []

    def _refused_but_active(self) -> list[str]:
        active = {put.name for put in self.chain}
        return [
            f"{put.name} was refused and in force"
            for attempts in self.attempts.values()
            for put in attempts
            if put.answer is Answer.REFUSED and put.name in active
        ]

    def _impossible_times(self) -> list[str]:
        intervals = {put.name: self._interval(put.name) for put in self.chain}
        position = {put.name: number for number, put in enumerate(self.chain)}
        for read in self.reads:
            at = position[read.name] if read.name else -1
            for put in self.chain[: at + 1]:
                interval = intervals[put.name]
                interval.latest = min(interval.latest, read.ended)
            for put in self.chain[at + 1 :]:
                interval = intervals[put.name]
                interval.earliest = max(interval.earliest, read.began)
        earliest = 0.0
        for put in self.chain:
            interval = intervals[put.name]
            earliest = max(earliest, interval.earliest)
            if earliest > interval.latest:
                return [f"{put.name} was in force too late, or something older was read after it"]
        return []

    def _interval(self, name: str) -> Interval:
        attempts = self.attempts[name]
        acknowledged = [put.ended for put in attempts if put.answer is Answer.ACKNOWLEDGED]
        return Interval(min(put.began for put in attempts), min(acknowledged, default=FOREVER))


def _is_acknowledged(attempts: list[Put]) -> bool:
    return any(put.answer is Answer.ACKNOWLEDGED for put in attempts)


def _evacuation_faults(evacuations: list[Evacuation], final: frozenset[str]) -> list[str]:
    """The last acknowledged order of a zone must be in effect unless an opposite one may have followed it."""
    found = []
    for zone in sorted({order.zone for order in evacuations}):
        orders = [order for order in evacuations if order.zone == zone]
        wrong = [
            order
            for order in orders
            if order.answer is Answer.ACKNOWLEDGED
            and order.evacuated != (zone in final)
            and not any(
                other.evacuated != order.evacuated
                and other.answer is not Answer.REFUSED
                and (other.answer is Answer.UNCLEAR or other.ended > order.began)
                for other in orders
            )
        ]
        found += [f"{zone} is not as acknowledged at {order.ended}" for order in wrong]
    return found
