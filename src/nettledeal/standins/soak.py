"""Soaks of a whole system on loopback: overlapping losses, signals and changes under lasting connections.

`python -m nettledeal.standins.soak --first 1 --seeds 3`: exits with 1 if something was broken.
"""

from __future__ import annotations

import argparse
import shutil
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import gevent

from nettledeal.common.addresses import parse_address
from nettledeal.common.errors import ServingError
from nettledeal.common.settings import Bounds
from nettledeal.standins.checks import broken_rules
from nettledeal.standins.configuration_probes import ConfigurationProber, probe_kind
from nettledeal.standins.configuration_rules import ConfigurationRules, Contact, ReadBack
from nettledeal.standins.layout import Network
from nettledeal.standins.processes import wait_until
from nettledeal.standins.scenario import BRIEF, CARD, QUESTION
from nettledeal.standins.soak_actions import Event, MachineActions
from nettledeal.standins.soak_clients import KeptClient, LostAnswer
from nettledeal.standins.soak_core_events import CoreEvents
from nettledeal.standins.soak_observer import SoakObserver
from nettledeal.standins.soak_operator import SoakOperator
from nettledeal.standins.soak_overlapping_events import OverlappingEvents
from nettledeal.standins.soak_parts import SoakParts
from nettledeal.standins.soak_system import CUT_PROGRAM, Machine, SoakSystem

KINDS = (BRIEF, QUESTION, CARD)
BOUNDS = Bounds(grace_s=8.0)
# What the pages allow a system to recover in, and a machine to catch up.
RECOVER_WITHIN_S = BOUNDS.recovery_s + BOUNDS.catch_up_s + 2 * BOUNDS.contact_ms / 1000
START_WITHIN_S = 60.0
MAX_PAUSE_S = 1.0
OTHER_STREAMS = 2
# A request that was not passed on may be lost if the connection ends this soon after it was sent.
LOSS_SLACK_S = 1.0
READ_PAUSE_S = 0.2
CALM_CHANGES = 4
CALM_CHANGE_MARGIN_S = 0.8
# Now and then nothing new happens for so long that edge machines are in touch and have to be up to date.
LONG_PAUSE_SHARE = 0.3
LONG_PAUSE_S = (BOUNDS.contact_ms + BOUNDS.config_apply_ms) / 1000


@dataclass
class SoakReport:
    """What one soak did and found."""

    seed: int
    events: list[str] = field(default_factory=list)
    served: int = 0
    lost: int = 0
    changes: int = 0
    probes: int = 0
    broken: list[str] = field(default_factory=list)

    def line(self) -> str:
        """One line for people."""
        return (
            f"seed {self.seed}: {len(self.events)} events, {self.served} served, "
            f"{self.lost} without an answer, {self.changes} changes, {self.probes} probes: "
            f"{self.broken or 'nothing broken'}"
        )


class Soak:
    """One run, determined by its seed as far as real processes are."""

    def __init__(
        self,
        seed: int,
        folder: Path,
        edges: int = 3,
        relays: int = 3,
        network: int = 0,
        program: Path | None = None,
    ):
        self.random = Random(f"{seed} soak")
        self.report = SoakReport(seed)
        self._started_s = time.monotonic()
        self.system = SoakSystem(
            folder, Network.of_this_process(network), edges, relays, BOUNDS, program or CUT_PROGRAM
        )
        actions = MachineActions(self.random, RECOVER_WITHIN_S)
        self.observer = SoakObserver(self.system, self.random, RECOVER_WITHIN_S)
        self.operator = SoakOperator(lambda: self.system.control_addresses, self._fork())
        parts = SoakParts(self.system, self.random, actions, self.observer, self.operator)
        self.core_events = CoreEvents(parts)
        self.other_events = OverlappingEvents(parts)
        self.clients = [
            KeptClient(machine, parse_address(machine.settings.listen.frontend), kind, self._fork())
            for machine in self.system.edges
            for kind in KINDS
        ]
        self.probers = [
            ConfigurationProber(machine, self.operator.prefixes, self._contact, self._fork())
            for machine in self.system.edges
        ]

    def run(self, length_s: float) -> SoakReport:
        """Run events for this long and let the system recover; change configurations in calm; check all."""
        try:
            self._bring_up()
            greenlets = [gevent.spawn(sender.run) for sender in (*self.clients, *self.probers)]
            if length_s > 0:
                self._run_events(time.monotonic() + length_s)
                self._run_event(self.core_events.lose_disk_and_power)
                self._check_recovered()
            self._run_calm_changes()
            self._read_back()
            gevent.killall(greenlets)
            self._check_requests()
            self._check_configuration()
        except ServingError as error:
            self.report.broken.append(str(error))
        finally:
            self.system.stop()
        return self.report

    def _fork(self) -> Random:
        return Random(self.random.getrandbits(64))

    def _bring_up(self) -> None:
        self.system.start()
        self.operator.put()
        for machine in self.system.edges:
            machine.process.wait_for("dataplane:ready", START_WITHIN_S, lambda event: event["ready"] is True)
        self.observer.wait_settled()

    # Events

    def _run_events(self, until: float) -> None:
        streams = [
            gevent.spawn(self._run_stream, until, self.core_events.choices, self.observer.wait_settled)
        ]
        choices = [self.other_events.choices] * OTHER_STREAMS + [self.other_events.configuration_choices]
        streams += [gevent.spawn(self._run_stream, until, chosen, lambda: None) for chosen in choices]
        gevent.joinall(streams)

    def _run_stream(
        self, until: float, choices: Callable[[], list[Event]], settle: Callable[[], None]
    ) -> None:
        """Run one event after the other; one that fails is reported, and ends the stream."""
        while time.monotonic() < until and not self.report.broken:
            self._run_event(self.random.choice(choices()), settle)
            is_long = self.random.random() < LONG_PAUSE_SHARE
            gevent.sleep((LONG_PAUSE_S if is_long else MAX_PAUSE_S) * self.random.random())

    def _run_calm_changes(self) -> None:
        """Put configurations one by one while all machines are in touch, each with time to get in force."""
        gevent.sleep(2 * BOUNDS.contact_ms / 1000)
        for _ in range(CALM_CHANGES):
            self._run_event(self.operator.put)
            gevent.sleep(BOUNDS.config_apply_ms / 1000 + CALM_CHANGE_MARGIN_S)

    def _run_event(self, event: Event, settle: Callable[[], None] = lambda: None) -> None:
        if self.report.broken:
            return
        started_s = time.monotonic() - self._started_s
        self.report.events.append(f"{started_s:.2f} {event.__name__}")
        try:
            event()
            settle()
        except ServingError as error:
            self.report.broken.append(f"{event.__name__}: {error}")

    # Checks

    def _check_recovered(self) -> None:
        self._await("all core machines are in sync", lambda: not self.observer.unsettled_cores())
        self._await("every core machine knows all members", self._members_are_known)
        self._await("the configuration is read back everywhere", self._configuration_is_served)
        self._await("every edge machine serves", self._edges_serve)

    def _await(self, what: str, condition: Callable[[], bool]) -> None:
        try:
            wait_until(condition, RECOVER_WITHIN_S, what)
        except ServingError as error:
            self.report.broken.append(str(error))

    def _members_are_known(self) -> bool:
        expected = sorted(machine.member_name for machine in self.system.machines)
        reports = [self.observer.status(machine) for machine in self.system.cores]
        return all(
            report is not None and sorted(member.name for member in report.members) == expected
            for report in reports
        )

    def _configuration_is_served(self) -> bool:
        newest = self.operator.newest
        return newest is not None and all(
            self.operator.read_at(address) == newest.body for address in self.system.control_addresses
        )

    def _edges_serve(self) -> bool:
        before = {client: client.served for client in self.clients}
        gevent.sleep(0.5)
        return all(client.served > served for client, served in before.items())

    def _check_requests(self) -> None:
        self.report.served = sum(client.served for client in self.clients)
        lost = [answer for client in self.clients for answer in client.lost]
        self.report.lost = len(lost)
        run = {run.request_id for backend in self.system.backends for run in backend.runs}
        self.report.broken += [_describe(answer) for answer in lost if _is_broken(answer, run)]
        self.report.broken += [text for client in self.clients for text in client.wrong]
        senders = [*self.clients, *self.probers]
        probe_kinds = [probe_kind(prefix) for prefix in self.operator.all_prefixes()]
        self.report.broken += broken_rules([], senders, self.system.backends, [*KINDS, *probe_kinds])

    def _contact(self, machine: Machine, since: float) -> Contact:
        return self.system.contact.contact(machine.trouble, since)

    def _read_back(self) -> None:
        """Read the configuration as an operator does at the end of a day."""
        until = time.monotonic() + BOUNDS.contact_ms / 1000
        reads_before = len(self.operator.reads)
        while time.monotonic() < until:
            self.operator.read()
            gevent.sleep(READ_PAUSE_S)
        if len(self.operator.reads) == reads_before:
            self.operator.reads.append(ReadBack(until, None))

    def _check_configuration(self) -> None:
        probes = [probe for prober in self.probers for probe in prober.probes]
        self.report.changes, self.report.probes = len(self.operator.changes), len(probes)
        rules = ConfigurationRules(BOUNDS, self.operator.changes)
        self.report.broken += [*self.operator.broken, *rules.broken(probes, self.operator.reads)]


def _is_broken(answer: LostAnswer, run: set[str]) -> bool:
    """Whether a machine that was neither killed nor frozen should have answered."""
    return not answer.disrupted and (answer.request_id in run or answer.waited_s > LOSS_SLACK_S)


def _describe(answer: LostAnswer) -> str:
    return f"lost by {answer.machine.process.name} after {answer.waited_s:.3f} s: {answer.reason}"


def main() -> int:
    """Run the soaks of some seeds, one after the other."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--length", type=float, default=20.0, help="seconds of events")
    parser.add_argument("--edges", type=int, default=3)
    parser.add_argument("--relays", type=int, default=3)
    parser.add_argument(
        "--program", type=Path, help="of another release, to compare with; without partitions"
    )
    parser.add_argument("--keep", type=Path, help="write the logs of a broken run to this folder")
    parsed = parser.parse_args()
    broken = 0
    for seed in range(parsed.first, parsed.first + parsed.seeds):
        with tempfile.TemporaryDirectory(prefix="nettledeal-soak-") as folder:
            soak = Soak(seed, Path(folder), parsed.edges, parsed.relays, program=parsed.program)
            report = soak.run(parsed.length)
            if report.broken and parsed.keep is not None:
                _write_logs(soak, parsed.keep / str(seed))
        print(report.line(), flush=True)
        broken += bool(report.broken)
    print(f"{parsed.seeds} soaks, {broken} with something broken")
    return int(broken > 0)


def _write_logs(soak: Soak, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "report").write_text("\n".join([*soak.report.broken, *soak.report.events]))
    for machine in soak.system.all_machines:
        shutil.copy(machine.process.log_path, folder)


if __name__ == "__main__":
    sys.exit(main())
