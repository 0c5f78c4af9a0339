"""What the script breaks in a run, and mends: agents, backends, links and the list."""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence

import gevent
import msgspec

from nettledeal.fleet.agents import Agents
from nettledeal.fleet.configurations import Configurations
from nettledeal.fleet.experiment import SECOND
from nettledeal.fleet.processes import Broken, Helper
from nettledeal.fleet.script import Act, Script
from nettledeal.fleet.wires import now
from nettledeal.model import Time

DRAIN_FOR = 1.5  # seconds a backend drains before its successor takes its place


class Faults:
    def __init__(
        self,
        script: Script,
        told: Configurations,
        agents: Agents,
        helpers: Mapping[str, Helper],
        policy: str | None,
    ):
        """`helpers` are the rig's own processes by their role, `policy` a baseline in the agents' place."""
        self.script, self.told, self.agents, self.helpers, self.policy = script, told, agents, helpers, policy
        self.lives = [0] * len(told.names)
        self.marks: list[tuple[Time, str]] = []  # what was done when, for results
        self.returned: list[tuple[Time, int, str]] = []  # when each backend came back, by its name
        self.jobs: list[gevent.Greenlet] = []

    def follow(self, start_at: Time) -> str | None:
        """Does what the script says when it says so; why it could not, if it could not."""
        for act in self.script.acts:
            wait = (start_at + act.at - now()) / SECOND
            if wait > 0:
                gevent.sleep(wait)
            if act.label:
                self.marks.append((now(), act.label))
            try:
                self._do(act)
            except (Broken, OSError) as fault:
                return f"{act.verb}: {fault}"
        return None

    def _do(self, act: Act) -> None:
        on_agents = act.verb in ("pause", "go on", "kill", "start", "restart")
        if self.policy is not None and (on_agents or act.verb.startswith(("list", "link", "talk"))):
            return  # a baseline has no agents to harm
        match act.verb:
            case "pause" | "go on" | "kill" | "start" | "restart":
                for n in act.who:
                    self.agents.harm(act.verb, n)
            case "link there" | "link back":
                groups = {self.script.ways[n] for n in act.who}
                condition = msgspec.to_builtins(act.condition)
                self.helpers["switch"].ask(
                    do="links",
                    way=act.verb[5:],
                    condition=condition,
                    fronts=[[way, n] for way in groups for n in act.others],
                )
            case "talk there" | "talk back":
                pairs = [[n, other] for n in act.who for other in act.others]
                self.helpers["switch"].ask(
                    do="member links",
                    condition=msgspec.to_builtins(act.condition),
                    pairs=pairs if act.verb == "talk there" else [pair[::-1] for pair in pairs],
                )
            case "list_late" | "list_deaf":
                self.helpers["roster"].tell({"do": act.verb, "who": act.who, "figure": act.figure})
            case "touch":
                # Nothing changes but the list's version: all hear of it at once.
                self.announce([self.told.entry(n) for n in act.who])
            case "crash":
                self.backends("crash", act.who)
                self.announce([self.told.entry(n, "gone") for n in act.who])
            case "return":
                self._return(act.who)
            case "replace":
                for n in act.who:
                    self.jobs.append(gevent.spawn(self._replace, n))
            case _:
                self.backends(act.verb, act.who, act.figure)

    def backends(self, verb: str, who: tuple[int, ...], figure: float | bool | str = 0.0) -> None:
        """Has the stand-ins do it, and waits until they have."""
        for role, helper in self.helpers.items():
            if role.startswith("backends"):
                helper.ask(do=verb, who=[*who], figure=figure)

    def announce(self, entries: Sequence[dict]) -> None:
        """Changes what the list of backends says."""
        self.helpers["roster"].tell({"do": "change", "entries": entries})

    def _return(self, who: tuple[int, ...]) -> None:
        for n in who:
            self.backends("return", (n,), self.told.names[n])
            self.returned.append((now(), n, self.told.names[n]))
        started = int(time.time() * 1000)
        self.announce([self.told.entry(n, "ready", started) for n in who])

    def _replace(self, n: int) -> None:
        """Drained, ended, and followed by a cold successor with an id of its own."""
        self.announce([self.told.entry(n, "draining", 0)])
        gevent.sleep(DRAIN_FOR)
        self.backends("crash", (n,))
        self.announce([self.told.entry(n, "gone", 0)])
        self.lives[n] += 1
        self.told.names[n] = f"b{n}.{self.lives[n]}"
        self._return((n,))
