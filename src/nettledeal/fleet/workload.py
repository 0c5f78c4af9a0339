"""Generates the requests of a run ahead of time, open-loop and deterministic for a seed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from nettledeal.fleet.experiment import TICKS_PER_SECOND, Experiment
from nettledeal.model import Time


@dataclass(frozen=True, slots=True)
class ScheduledRequest:
    at: Time  # relative to the start of traffic
    agent: int
    category: int
    work: Time  # on a core of speed 1
    id: str


def agent_weights(experiment: Experiment) -> list[float]:
    """Relative request rate of each agent; 1 for agents that aren't busy."""
    rng = Random(f"{experiment.seed} busy")
    count, clients = experiment.agents.count, experiment.clients
    busy = set(rng.sample(range(count), round(clients.busy * count)))
    return [clients.busy_times if n in busy else 1.0 for n in range(count)]


def generate_requests(experiment: Experiment) -> list[ScheduledRequest]:
    """All requests of a run, sorted by time: a Poisson process, with independently drawn agents and work."""
    rng = Random(f"{experiment.seed} traffic")
    weights = agent_weights(experiment)
    agents = range(len(weights))
    shares = [category.share for category in experiment.category]
    categories = range(len(shares))
    requests, at = [], 0.0
    while (at := at + rng.expovariate(experiment.clients.rate)) < experiment.seconds:
        agent = rng.choices(agents, weights)[0]
        category = rng.choices(categories, shares)[0]
        work = rng.expovariate(1.0 / (experiment.category[category].work_ms * 10))
        request_id = f"{len(requests):06d}-{rng.getrandbits(32):08x}"
        requests.append(
            ScheduledRequest(round(at * TICKS_PER_SECOND), agent, category, max(1, round(work)), request_id)
        )
    return requests
