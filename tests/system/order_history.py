"""Whether the answers that operators got fit one order of events.

The configuration is a register that is replaced by compare-and-set: an order puts a generation on top of an
expected one. Every try of every order is an operation with its interval: acknowledged, refused, or unclear,
when it may take effect at any time from its beginning on. Reads and evacuations count alike. Times are in
seconds of one clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

FOREVER = float("inf")


class Answer(Enum):
    """What a caller was told."""

    ACKNOWLEDGED = auto()
    REFUSED = auto()
    UNCLEAR = auto()


@dataclass(frozen=True)
class Put:
    """One try of an order: the body `name` as `generation` on top of `expected`."""

    name: str
    expected: int
    generation: int
    began: float
    ended: float
    answer: Answer


@dataclass(frozen=True)
class Read:
    """A clear answer to a read: the body in force, empty before the first."""

    name: str
    began: float
    ended: float


@dataclass(frozen=True)
class Evacuation:
    """One try of an order to evacuate a zone or to take that back."""

    zone: str
    evacuated: bool
    began: float
    ended: float
    answer: Answer


@dataclass
class Interval:
    """When an order may have taken effect."""

    earliest: float
    latest: float = FOREVER


@dataclass
class History:
    """All that was answered, in any order."""

    puts: list[Put] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)

    def faults(self, final_evacuations: frozenset[str] | None = None) -> list[str]:
        """What no order of events explains; `final_evacuations` are the zones in force after all calls."""
        found = _Puts(self.puts, self.reads).faults()
        if final_evacuations is not None:
            found += _evacuation_faults(self.evacuations, final_evacuations)
        return found


class _Puts:
    """The chain of configurations that were in force."""

    def __init__(self, puts: list[Put], reads: list[Read]):
        self.reads = reads
        self.tries: dict[str, list[Put]] = {}
        for put in puts:
            self.tries.setdefault(put.name, []).append(put)
        self.chain: list[Put] = []

    def faults(self) -> list[str]:
        try:
            self.chain = self._chain()
            return self._wrong_refusals() + self._wrong_times()
        except ValueError as fault:
            return [str(fault)]

    def _chain(self) -> list[Put]:
        """The configurations known to have been in force, oldest first, and those that they were put on."""
        needed = [name for name, tries in self.tries.items() if _acknowledged(tries)]
        needed += [read.name for read in self.reads if read.name]
        by_generation: dict[int, Put] = {}
        pending = list(dict.fromkeys(needed))
        while pending:
            name = pending.pop()
            if name not in self.tries:
                raise ValueError(f"{name} was read, but nobody sent it")
            put = self.tries[name][0]
            known = by_generation.setdefault(put.generation, put)
            if known.name != name:
                raise ValueError(f"{known.name} and {name} were both in force as {put.generation}")
            if put.expected:
                pending += self._parents(put, by_generation)
        chain = [by_generation[generation] for generation in sorted(by_generation)]
        for before, after in zip([None, *chain], chain, strict=False):
            if after.expected != (before.generation if before else 0):
                raise ValueError(
                    f"{after.name} was put on {after.expected}, after {before and before.name or 'nothing'}"
                )
        return chain

    def _parents(self, put: Put, by_generation: dict[int, Put]) -> list[str]:
        if put.expected in by_generation:
            return []
        sent = {name for name, tries in self.tries.items() if tries[0].generation == put.expected}
        if not sent:
            raise ValueError(f"{put.name} was put on {put.expected}, which nobody sent")
        # Where several were sent under that number and none was confirmed, any of them may have been it.
        return list(sent) if len(sent) == 1 else []

    def _wrong_refusals(self) -> list[str]:
        in_force = {put.name for put in self.chain}
        return [
            f"{put.name} was refused and in force"
            for tries in self.tries.values()
            for put in tries
            if put.answer is Answer.REFUSED and put.name in in_force
        ]

    def _wrong_times(self) -> list[str]:
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
        tries = self.tries[name]
        acknowledged = [put.ended for put in tries if put.answer is Answer.ACKNOWLEDGED]
        return Interval(min(put.began for put in tries), min(acknowledged, default=FOREVER))


def _acknowledged(tries: list[Put]) -> bool:
    return any(put.answer is Answer.ACKNOWLEDGED for put in tries)


def _evacuation_faults(evacuations: list[Evacuation], final: frozenset[str]) -> list[str]:
    """The last acknowledged order of a zone must be in force, unless an opposite one may have come after."""
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
