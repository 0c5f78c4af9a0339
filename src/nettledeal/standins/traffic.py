"""Open-loop traffic of stand-in clients: arrivals don't depend on whether earlier requests ended."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from statistics import median

import gevent
from gevent.pool import Group

from nettledeal.common.addresses import Address
from nettledeal.standins.clients import Client, Ending, Outcome, RequestKind
from nettledeal.standins.layout import Zone


@dataclass(frozen=True, slots=True)
class Demand:
    """The rate of a request kind over the clients of all zones, and its number of subjects."""

    kind: RequestKind
    requests_per_s: float
    subjects: int = 1


@dataclass
class Summary:
    """The results of the requests of one kind in one phase."""

    phase: str
    kind: str
    outcomes: list[Outcome] = field(default_factory=list)

    def count(self, ending: Ending) -> int:
        """The number of requests that ended this way."""
        return sum(outcome.ending is ending for outcome in self.outcomes)

    @property
    def retried(self) -> int:
        """The number of requests that the client retried."""
        return sum(outcome.attempts > 1 for outcome in self.outcomes)

    @property
    def first_parts_ms(self) -> list[float]:
        """Milliseconds to the first part of the answer, ascending, of served requests."""
        served = (outcome for outcome in self.outcomes if outcome.ending is Ending.SERVED)
        return sorted(outcome.first_part_s * 1000 for outcome in served if outcome.first_part_s is not None)

    @property
    def median_ms(self) -> float:
        """The median of `first_parts_ms`, 0 if there are none."""
        return median(self.first_parts_ms or [0.0])


class Traffic:
    """Clients in every zone that send the requests of `demands`."""

    def __init__(self, demands: Iterable[Demand], directories: list[Address], seed: int = 1):
        self.summaries: list[Summary] = []
        self.clients = [Client(zone, directories, Random(f"{seed} {zone}")) for zone in Zone]
        self._demands = list(demands)
        self._random = Random(seed)
        self._phase = ""
        self._in_flight = Group()
        self._generators: list[gevent.Greenlet] = []

    def start(self, phase: str) -> None:
        """Begin to send; requests count towards `phase`."""
        self.enter(phase)
        self._generators = [gevent.spawn(self._generate, demand) for demand in self._demands]

    def enter(self, phase: str) -> None:
        """Count requests sent from now on towards another phase."""
        self._phase = phase
        self.summaries += [Summary(phase, demand.kind.name) for demand in self._demands]

    def stop(self) -> None:
        """Stop sending, and wait for requests in flight."""
        gevent.killall(self._generators)
        self._in_flight.join()

    def _generate(self, demand: Demand) -> None:
        while True:
            gevent.sleep(self._random.expovariate(demand.requests_per_s))
            summary = next(
                summary
                for summary in reversed(self.summaries)
                if (summary.phase, summary.kind) == (self._phase, demand.kind.name)
            )
            client = self._random.choice(self.clients)
            self._in_flight.spawn(self._ask, client, demand, summary)

    def _ask(self, client: Client, demand: Demand, summary: Summary) -> None:
        summary.outcomes.append(client.ask(demand.kind, self._random.randrange(demand.subjects)))
