"""Derives the start-up configuration of each process of a rig from the experiment and its fault schedule."""

from __future__ import annotations

import time
from pathlib import Path
from random import Random
from typing import Any

from nettledeal.fleet.experiment import TICKS_PER_SECOND, Experiment
from nettledeal.fleet.fault_schedule import FaultSchedule
from nettledeal.fleet.loopback_addresses import (
    ADMIN_PORT,
    AGENT_PORT,
    BACKEND_PORT,
    LIST_PORT,
    MEMBERSHIP_PORT,
    LoopbackAddresses,
)
from nettledeal.fleet.workload import ScheduledRequest

DRAIN_GRACE_MS = 400
SEED_AGENTS = 3  # number of agents that joining agents contact


class ProcessConfigurations:
    def __init__(
        self,
        experiment: Experiment,
        schedule: FaultSchedule,
        addresses: LoopbackAddresses,
        policy: str | None,
        folder: Path,
    ):
        self.experiment, self.schedule, self.addresses, self.policy = experiment, schedule, addresses, policy
        self.held_file = folder / "held"  # shared memory of backends and baseline policies
        self.backend_names = [f"b{n}" for n in range(experiment.backends.count)]
        count, rng = experiment.backends.count, Random(f"{experiment.seed} cold")
        self.cold = set(rng.sample(range(count), round(experiment.backends.cold * count)))
        self.uses_member_proxies = any(action.verb.startswith("talk") for action in schedule.actions)

    def speed(self, n: int) -> float:
        speeds = self.experiment.backends.speeds
        return speeds[n % len(speeds)]

    def backends(self, index: int) -> dict[str, Any]:
        """Configuration of backend process number `index`."""
        backends = self.experiment.backends
        return {
            "backends": [self._backend(n) for n in range(index, backends.count, backends.processes)],
            "held": str(self.held_file),
        }

    def _backend(self, n: int) -> dict[str, Any]:
        experiment, backends = self.experiment, self.experiment.backends
        return {
            "number": n,
            "place": [self.addresses.backend(n), BACKEND_PORT],
            "seed": experiment.seed,
            "cores": backends.cores,
            "speed": self.speed(n),
            "queue": backends.queue,
            "places": backends.places,
            "push": backends.push,
            "report_every": max(1, round(backends.report_every * TICKS_PER_SECOND)),
            "cold": n in self.cold,
            "report_lag": round(backends.report_lag * TICKS_PER_SECOND),
            "cold_from": backends.cold_from,
            "warm_within": round(backends.warm_within * TICKS_PER_SECOND),
            "push_for": round(backends.push_for * TICKS_PER_SECOND),
        }

    def roster(self) -> dict[str, Any]:
        """Configuration of the list service process."""
        experiment = self.experiment
        agents = range(experiment.agents.count if self.policy is None else 0)
        return {
            "lag": experiment.list.lag,
            "seed": f"{experiment.seed} list",
            "entries": [self.entry(n) for n in range(experiment.backends.count)],
            "agents": [
                [n, [self.addresses.agent(n), LIST_PORT], self.schedule.link_groups[n]] for n in agents
            ],
        }

    def clients(self, index: int, requests: list[ScheduledRequest]) -> dict[str, Any]:
        """Configuration of client process number `index`, which also runs the baseline policy, if any."""
        experiment = self.experiment
        return {
            "policy": self.policy,
            "seed": f"{experiment.seed} {index}",
            "held": str(self.held_file),
            "asks": [
                [request.at, request.agent, request.category, request.work, request.id]
                for request in requests
                if request.agent % experiment.clients.processes == index
            ],
            "agents": {
                str(n): [self.addresses.agent(n), AGENT_PORT]
                for n in range(experiment.agents.count)
                if n % experiment.clients.processes == index
            },
            "backends": [[self.addresses.backend(n), BACKEND_PORT] for n in range(experiment.backends.count)],
            "categories": [
                {"name": category.name, "effect": category.effect, "expiry": round(category.expiry_ms * 10)}
                for category in experiment.category
            ],
        }

    def link_proxies(self) -> list[list]:
        """For the switch: link group, backend, address of the proxy and address of the backend."""
        return [
            [
                group,
                n,
                [self.addresses.backend(n), BACKEND_PORT + group],
                [self.addresses.backend(n), BACKEND_PORT],
            ]
            for group in sorted(set(self.schedule.link_groups) - {0})
            for n in range(self.experiment.backends.count)
        ]

    def member_proxies(self) -> list[list]:
        """For the switch: agent, address of its membership proxy and address of its membership listener."""
        return [
            [n, [self.addresses.member_proxy(n), MEMBERSHIP_PORT], [self.addresses.agent(n), MEMBERSHIP_PORT]]
            for n in range(self.experiment.agents.count if self.uses_member_proxies else 0)
        ]

    def entry(self, n: int, lifecycle: str = "ready", started_at_ms: int | None = None) -> dict:
        if started_at_ms is None:
            started_at_ms = int(time.time() * 1000) if n in self.cold else 0
        return {
            "id": self.backend_names[n],
            "place": [self.addresses.backend(n), BACKEND_PORT],
            "lifecycle": lifecycle,
            "zone": f"z{self.schedule.zones['backends'][n]}",
            "started": started_at_ms,
            "kind": f"k{n % len(self.experiment.backends.speeds)}",
        }

    def agent(self, n: int, start_count: int) -> dict[str, Any]:
        """Configuration file of an agent, as an operator would write it."""
        experiment, agents, backends = self.experiment, self.experiment.agents, self.experiment.backends
        millisecond, zones = 1_000_000, range(len(backends.zones))
        seed = Random(f"{experiment.seed} agent {n} {start_count}").getrandbits(64)
        reachable_address = self.addresses.member_proxy if self.uses_member_proxies else self.addresses.agent
        membership = {
            "listen": f"{self.addresses.agent(n)}:{MEMBERSHIP_PORT}",
            "advertise": f"{reachable_address(n)}:{MEMBERSHIP_PORT}",
            "seeds": [
                f"{reachable_address(seed)}:{MEMBERSHIP_PORT}"
                for seed in range(min(SEED_AGENTS, agents.count))
            ],
        }
        return ({"membership": membership} if agents.together else {}) | {
            "name": f"a{n}",
            "listen": f"{self.addresses.agent(n)}:{AGENT_PORT}",
            "seed": f"{seed:x}",
            "discovery": f"{self.addresses.agent(n)}:{LIST_PORT}",
            "log_level": "info",
            "admin_addr": f"{self.addresses.agent(n)}:{ADMIN_PORT}",
            "limits": {"memory_mb": agents.memory_mb, "sockets": agents.sockets},
            "settings": {
                "balancers": agents.count,
                "me": n,
                "zone": self.schedule.zones["agents"][n],
                "zones": [f"z{zone}" for zone in zones],
                "kinds": [f"k{machine_type}" for machine_type in range(len(backends.speeds))],
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
                    "probes": agents.probes,
                    "retry_after": True,
                },
                "rules": {
                    "cold_from": backends.cold_from,
                    "drain_grace": DRAIN_GRACE_MS * millisecond,
                    "overload_factor": backends.push,
                    "tip_after": round(backends.push_for * 1000) * millisecond,
                    "warm_within": round(backends.warm_within * 1000) * millisecond,
                },
                "tariffs": {
                    "connection": agents.connection_price,
                    "cross_zone": 0.005,
                    "probe": agents.probe_price,
                },
                "categories": [
                    {
                        "name": category.name,
                        "effect": category.effect,
                        "due_time": round(category.due_ms * millisecond),
                        "expiry": round(category.expiry_ms * millisecond),
                        "payoff": category.payoff,
                    }
                    for category in experiment.category
                ],
            },
        }
