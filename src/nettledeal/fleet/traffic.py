"""What clients ask for, and when: pure and seeded, drawn ahead of the run and never held up by answers."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from nettledeal.fleet.experiment import SECOND, Experiment
from nettledeal.model import Time


@dataclass(frozen=True, slots=True)
class Ask:
    at: Time  # from the start of traffic
    agent: int
    category: int
    work: Time  # on a core of speed 1
    id: str


def weights(experiment: Experiment) -> list[float]:
    """Each agent's part of the rate, as multiples of a quiet one's."""
    chance = Random(f"{experiment.seed} busy")
    count, clients = experiment.agents.count, experiment.clients
    busy = set(chance.sample(range(count), round(clients.busy * count)))
    return [clients.busy_times if n in busy else 1.0 for n in range(count)]


def asks(experiment: Experiment) -> list[Ask]:
    """All work items of a run, in order of time: a Poisson stream, each with an agent and a work drawn
    apart.
    """
    chance = Random(f"{experiment.seed} traffic")
    parts = weights(experiment)
    agents = range(len(parts))
    shares = [category.share for category in experiment.category]
    kinds = range(len(shares))
    found, at = [], 0.0
    while (at := at + chance.expovariate(experiment.clients.rate)) < experiment.seconds:
        agent = chance.choices(agents, parts)[0]
        kind = chance.choices(kinds, shares)[0]
        work = chance.expovariate(1.0 / (experiment.category[kind].work_ms * 10))
        id = f"{len(found):06d}-{chance.getrandbits(32):08x}"
        found.append(Ask(round(at * SECOND), agent, kind, max(1, round(work)), id))
    return found
