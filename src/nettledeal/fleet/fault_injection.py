"""Applies the scheduled faults of a run to agents, backends, links and the backend list."""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence

import gevent
import msgspec

from nettledeal.fleet.agents import AgentProcesses
from nettledeal.fleet.child_processes import ChildProcess, RunAborted
from nettledeal.fleet.child_runtime import now
from nettledeal.fleet.configurations import ProcessConfigurations
from nettledeal.fleet.experiment import TICKS_PER_SECOND
from nettledeal.fleet.fault_schedule import FaultAction, FaultSchedule
from nettledeal.model import Time

DRAIN_S = 1.5  # time that a backend drains before it is replaced


class FaultInjector:
    def __init__(
        self,
        schedule: FaultSchedule,
        configurations: ProcessConfigurations,
        agents: AgentProcesses,
        children: Mapping[str, ChildProcess],
        policy: str | None,
    ):
        """`children` are the child processes by role; `policy` is a baseline that replaces the agents."""
        self.schedule, self.configurations, self.agents, self.children, self.policy = (
            schedule,
            configurations,
            agents,
            children,
            policy,
        )
        self.replacements = [0] * len(configurations.backend_names)
        self.marks: list[tuple[Time, str]] = []  # times and labels of faults, for results
        self.returned: list[tuple[Time, int, str]] = []  # (time, backend, name) of each return
        self.greenlets: list[gevent.Greenlet] = []

    def run_schedule(self, start_at: Time) -> str | None:
        """Applies each action at its time. Returns the reason if one failed."""
        for action in self.schedule.actions:
            delay_s = (start_at + action.at - now()) / TICKS_PER_SECOND
            if delay_s > 0:
                gevent.sleep(delay_s)
            if action.label:
                self.marks.append((now(), action.label))
            try:
                self._apply(action)
            except (RunAborted, OSError) as error:
                return f"{action.verb}: {error}"
        return None

    def _apply(self, action: FaultAction) -> None:
        targets_agents = action.verb in ("pause", "go on", "kill", "start", "restart")
        if self.policy is not None and (targets_agents or action.verb.startswith(("list", "link", "talk"))):
            return  # a baseline runs without agents
        match action.verb:
            case "pause" | "go on" | "kill" | "start" | "restart":
                for n in action.targets:
                    self.agents.apply_fault(action.verb, n)
            case "link there" | "link back":
                groups = {self.schedule.link_groups[n] for n in action.targets}
                condition = msgspec.to_builtins(action.condition)
                self.children["switch"].ask(
                    do="links",
                    way=action.verb[5:],
                    condition=condition,
                    fronts=[[group, n] for group in groups for n in action.peers],
                )
            case "talk there" | "talk back":
                pairs = [[n, peer] for n in action.targets for peer in action.peers]
                self.children["switch"].ask(
                    do="member links",
                    condition=msgspec.to_builtins(action.condition),
                    pairs=pairs if action.verb == "talk there" else [pair[::-1] for pair in pairs],
                )
            case "list_late" | "list_deaf":
                self.children["roster"].tell(
                    {"do": action.verb, "who": action.targets, "figure": action.value}
                )
            case "touch":
                # Only the version of the list changes; every agent is notified of it.
                self.announce([self.configurations.entry(n) for n in action.targets])
            case "crash":
                self.command_backends("crash", action.targets)
                self.announce([self.configurations.entry(n, "gone") for n in action.targets])
            case "return":
                self._return(action.targets)
            case "replace":
                for n in action.targets:
                    self.greenlets.append(gevent.spawn(self._replace, n))
            case _:
                self.command_backends(action.verb, action.targets, action.value)

    def command_backends(self, verb: str, targets: tuple[int, ...], value: float | bool | str = 0.0) -> None:
        """Sends a command to all backend processes and waits for their confirmations."""
        for role, child in self.children.items():
            if role.startswith("backends"):
                child.ask(do=verb, who=[*targets], figure=value)

    def announce(self, entries: Sequence[dict]) -> None:
        """Updates entries of the backend list."""
        self.children["roster"].tell({"do": "change", "entries": entries})

    def _return(self, targets: tuple[int, ...]) -> None:
        for n in targets:
            self.command_backends("return", (n,), self.configurations.backend_names[n])
            self.returned.append((now(), n, self.configurations.backend_names[n]))
        started = int(time.time() * 1000)
        self.announce([self.configurations.entry(n, "ready", started) for n in targets])

    def _replace(self, n: int) -> None:
        """Drains and stops a backend, then starts a cold replacement with a new id."""
        self.announce([self.configurations.entry(n, "draining", 0)])
        gevent.sleep(DRAIN_S)
        self.command_backends("crash", (n,))
        self.announce([self.configurations.entry(n, "gone", 0)])
        self.replacements[n] += 1
        self.configurations.backend_names[n] = f"b{n}.{self.replacements[n]}"
        self._return((n,))
