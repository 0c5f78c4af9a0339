"""What each process of a rig is told when it starts, worked out from the experiment and its script."""

from __future__ import annotations

import time
from pathlib import Path
from random import Random
from typing import Any

from nettledeal.fleet.experiment import SECOND, Experiment
from nettledeal.fleet.script import Script
from nettledeal.fleet.site import BACKEND_PORT, DOOR_PORT, LIST_PORT, PORT, TALK_PORT, Site
from nettledeal.fleet.traffic import Ask

GRACE_MS = 400
SEEDS = 3  # agents that are called by those that join


class Configurations:
    def __init__(self, experiment: Experiment, script: Script, site: Site, policy: str | None, folder: Path):
        self.experiment, self.script, self.site, self.policy = experiment, script, site, policy
        self.held = folder / "held"  # a file that stand-ins and baselines share
        self.names = [f"b{n}" for n in range(experiment.backends.count)]
        count, chance = experiment.backends.count, Random(f"{experiment.seed} cold")
        self.cold = set(chance.sample(range(count), round(experiment.backends.cold * count)))
        self.switched = any(act.verb.startswith("talk") for act in script.acts)

    def speed(self, n: int) -> float:
        speeds = self.experiment.backends.speeds
        return speeds[n % len(speeds)]

    def backends(self, p: int) -> dict[str, Any]:
        """Of the process numbered `p` that plays stand-in backends."""
        b = self.experiment.backends
        return {
            "backends": [self._backend(n) for n in range(p, b.count, b.processes)],
            "held": str(self.held),
        }

    def _backend(self, n: int) -> dict[str, Any]:
        e, b = self.experiment, self.experiment.backends
        return {
            "number": n,
            "place": [self.site.backend(n), BACKEND_PORT],
            "seed": e.seed,
            "cores": b.cores,
            "speed": self.speed(n),
            "queue": b.queue,
            "places": b.places,
            "push": b.push,
            "report_every": max(1, round(b.report_every * SECOND)),
            "cold": n in self.cold,
            "report_lag": round(b.report_lag * SECOND),
            "cold_from": b.cold_from,
            "warm_within": round(b.warm_within * SECOND),
            "push_for": round(b.push_for * SECOND),
        }

    def roster(self) -> dict[str, Any]:
        """Of the process that plays the list of backends."""
        e = self.experiment
        agents = range(e.agents.count if self.policy is None else 0)
        return {
            "lag": e.list.lag,
            "seed": f"{e.seed} list",
            "entries": [self.entry(n) for n in range(e.backends.count)],
            "agents": [[n, [self.site.agent(n), LIST_PORT], self.script.ways[n]] for n in agents],
        }

    def clients(self, p: int, asks: list[Ask]) -> dict[str, Any]:
        """Of the process numbered `p` that plays clients, or a baseline in their place."""
        e = self.experiment
        return {
            "policy": self.policy,
            "seed": f"{e.seed} {p}",
            "held": str(self.held),
            "asks": [
                [ask.at, ask.agent, ask.category, ask.work, ask.id]
                for ask in asks
                if ask.agent % e.clients.processes == p
            ],
            "agents": {
                str(n): [self.site.agent(n), PORT]
                for n in range(e.agents.count)
                if n % e.clients.processes == p
            },
            "backends": [[self.site.backend(n), BACKEND_PORT] for n in range(e.backends.count)],
            "categories": [
                {"name": c.name, "effect": c.effect, "expiry": round(c.expiry_ms * 10)} for c in e.category
            ],
        }

    def fronts(self) -> list[list]:
        """Of the switch: by way and backend, where it is reached and where it is."""
        return [
            [way, n, [self.site.backend(n), BACKEND_PORT + way], [self.site.backend(n), BACKEND_PORT]]
            for way in sorted(set(self.script.ways) - {0})
            for n in range(self.experiment.backends.count)
        ]

    def members(self) -> list[list]:
        """Of the switch: by agent, where others reach what it listens at for them, and where it does."""
        return [
            [n, [self.site.front(n), TALK_PORT], [self.site.agent(n), TALK_PORT]]
            for n in range(self.experiment.agents.count if self.switched else 0)
        ]

    def entry(self, n: int, lifecycle: str = "ready", started: int | None = None) -> dict:
        if started is None:
            started = int(time.time() * 1000) if n in self.cold else 0
        return {
            "id": self.names[n],
            "place": [self.site.backend(n), BACKEND_PORT],
            "lifecycle": lifecycle,
            "zone": f"z{self.script.zones['backends'][n]}",
            "started": started,
            "kind": f"k{n % len(self.experiment.backends.speeds)}",
        }

    def agent(self, n: int, starts: int) -> dict[str, Any]:
        """An agent's configuration, as an operator would write it."""
        e, a, b = self.experiment, self.experiment.agents, self.experiment.backends
        millisecond, zones = 1_000_000, range(len(b.zones))
        seed = Random(f"{e.seed} agent {n} {starts}").getrandbits(64)
        reached = self.site.front if self.switched else self.site.agent
        together = {
            "listen": f"{self.site.agent(n)}:{TALK_PORT}",
            "advertise": f"{reached(n)}:{TALK_PORT}",
            "seeds": [f"{reached(seed)}:{TALK_PORT}" for seed in range(min(SEEDS, a.count))],
        }
        return ({"membership": together} if a.together else {}) | {
            "name": f"a{n}",
            "listen": f"{self.site.agent(n)}:{PORT}",
            "seed": f"{seed:x}",
            "discovery": f"{self.site.agent(n)}:{LIST_PORT}",
            "log_level": "info",
            "admin_addr": f"{self.site.agent(n)}:{DOOR_PORT}",
            "limits": {"memory_mb": a.memory_mb, "sockets": a.sockets},
            "settings": {
                "balancers": a.count,
                "me": n,
                "zone": self.script.zones["agents"][n],
                "zones": [f"z{z}" for z in zones],
                "kinds": [f"k{k}" for k in range(len(b.speeds))],
                "resolution": millisecond,
                "discovery": "pushed",
                "payoff_by": "request",
                "feedback": {"via": "piggyback", "fields": ["outstanding", "backlog"]},
                "allowed": {
                    "cancelling": True,
                    "conn_idle": 60_000 * millisecond,
                    "max_open": 10_000,
                    "connect_timeout": 250 * millisecond,
                    "max_retry_after": 2000 * millisecond,
                    "may_duplicate": False,
                    "most_hand_offs": 4,
                    "probes": a.probes,
                    "retry_after": True,
                },
                "rules": {
                    "cold_from": b.cold_from,
                    "drain_grace": GRACE_MS * millisecond,
                    "overload_factor": b.push,
                    "tip_after": round(b.push_for * 1000) * millisecond,
                    "warm_within": round(b.warm_within * 1000) * millisecond,
                },
                "tariffs": {"connection": a.connection_price, "cross_zone": 0.005, "probe": a.probe_price},
                "categories": [
                    {
                        "name": c.name,
                        "effect": c.effect,
                        "due_time": round(c.due_ms * millisecond),
                        "expiry": round(c.expiry_ms * millisecond),
                        "payoff": c.payoff,
                    }
                    for c in e.category
                ],
            },
        }
