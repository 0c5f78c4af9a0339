"""Runs a small serving system on loopback and checks the results.

Three core machines and three edge machines run as real processes; backends, platform and clients are
stand-ins. A configuration is put; then the primary core machine is killed under traffic, another one
is put at once, the machine is restarted, and a zone is evacuated. All processes are stopped at the end.
The exit status is 0 if every rule held, else 1.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from pathlib import Path

import gevent

from nettledeal.common.errors import ServingError
from nettledeal.programs.commands import status
from nettledeal.programs.commands.tables import Table
from nettledeal.standins.backend import EngineSpeed
from nettledeal.standins.checks import broken_rules
from nettledeal.standins.clients import Ending
from nettledeal.standins.layout import Layout, Network, Zone
from nettledeal.standins.processes import wait_until
from nettledeal.standins.scenario import BRIEF, CARD, EXTRA, QUESTION, make_backends, make_configuration
from nettledeal.standins.small_system import SmallSystem
from nettledeal.standins.traffic import Demand, Traffic

DEMANDS = (Demand(BRIEF, 2.0, subjects=6), Demand(QUESTION, 8.0, subjects=3), Demand(CARD, 6.0))
MODEL_SPEED = EngineSpeed(prompt_tokens_per_s=20_000, event_interval_s=0.02)
WEB_SPEED = EngineSpeed(plain_answer_s=0.02)
PHASE_S = 4.0
CONDITION_S = 40.0
EVACUATED = Zone.NORTH_2


class Demonstration:
    """The steps of the demonstration, in order."""

    def __init__(self, folder: Path, phase_s: float = PHASE_S):
        layout = Layout(Network.of_this_process())
        self.system = SmallSystem(layout, folder, make_backends(layout, MODEL_SPEED, WEB_SPEED))
        self.traffic = Traffic(DEMANDS, layout.directory_addresses)
        self.broken: list[str] = []
        self._phase_s = phase_s
        self._started_s = time.monotonic()

    def run(self) -> None:
        """Run all steps; raises ServingError if one times out."""
        self._bring_up()
        self.traffic.start("calm")
        gevent.sleep(self._phase_s)
        self._lose_primary()
        self._get_core_back()
        self._evacuate()
        self.traffic.stop()

    def _bring_up(self) -> None:
        self.system.start()
        count = len(self.system.processes)
        self._say(f"{count} processes started, {len(self.system.backends)} stand-in backends")
        self.system.operator.put_configuration(make_configuration(1), 0)
        self._say("configuration 1 is acknowledged")
        self.system.wait_ready(CONDITION_S)
        self._say("every data plane takes clients")

    def _lose_primary(self) -> None:
        primary = self.system.primary()
        self.traffic.enter("primary killed")
        primary.kill()
        killed_s = time.monotonic()
        self._say(f"{primary.name}, the primary, is killed")
        self.system.operator.put_configuration(make_configuration(2, with_extra_route=True), 1)
        self._say(f"configuration 2 is acknowledged {time.monotonic() - killed_s:.1f} s after it")
        self._say(f"{self.system.primary().name} is the primary")
        wait_until(self._serves_extra, CONDITION_S, "configuration 2 is served")
        self._say("its new route is served")
        gevent.sleep(self._phase_s)

    def _serves_extra(self) -> bool:
        return all(client.ask(EXTRA).ending is Ending.SERVED for client in self.traffic.clients)

    def _get_core_back(self) -> None:
        self.traffic.enter("core back")
        self.system.restart_cores()
        self._say("the killed machine is started again")
        wait_until(self._all_in_sync, CONDITION_S, "all core machines are in sync")
        self._say("all core machines are in sync")

    def _all_in_sync(self) -> bool:
        return len(self.system.primary_status().epoch.in_sync) == len(self.system.cores)

    def _evacuate(self) -> None:
        self.traffic.enter("zone evacuated")
        self.system.operator.set_evacuation(EVACUATED, evacuated=True)
        self._say(f"the evacuation of {EVACUATED} is acknowledged")
        wait_until(lambda: self._quiet(EVACUATED), CONDITION_S, f"nothing runs in {EVACUATED}")
        before = self._runs_in(EVACUATED)
        gevent.sleep(self._phase_s)
        late = self._runs_in(EVACUATED) - before
        if late:
            self.broken.append(f"evacuation: {late} requests came to {EVACUATED} after it")
        self.system.operator.set_evacuation(EVACUATED, evacuated=False)
        self._say(f"{EVACUATED} is taken back")

    def _quiet(self, zone: Zone) -> bool:
        before = self._runs_in(zone)
        gevent.sleep(1.0)
        return self._runs_in(zone) == before

    def _runs_in(self, zone: Zone) -> int:
        return sum(
            len(backend.runs) for backend in self.system.backends if backend.catalogue_entry.zone == zone
        )

    def _say(self, text: str) -> None:
        print(f"{time.monotonic() - self._started_s:6.1f} s  {text}", flush=True)

    def report(self) -> str:
        """The final tables."""
        parts = [self._render_traffic(), self._render_backends()]
        return "\n\n".join([*parts, status.render(self.system.primary_status())])

    def check(self) -> list[str]:
        """The violated rules, one line each."""
        kinds = [demand.kind for demand in DEMANDS] + [EXTRA]
        clients = self.traffic.clients
        return self.broken + broken_rules(self.traffic.summaries, clients, self.system.backends, kinds)

    def _render_traffic(self) -> str:
        table = Table("phase", "requests", "sent", *Ending, "retried", "first part ms", "slowest ms")
        for summary in self.traffic.summaries:
            counts = [str(summary.count(ending)) for ending in Ending]
            slowest = max(summary.first_parts_ms, default=0.0)
            times = [f"{summary.median_ms:.0f}", f"{slowest:.0f}"]
            sent = str(len(summary.outcomes))
            table.add(summary.phase, summary.kind, sent, *counts, str(summary.retried), *times)
        return table.render()

    def _render_backends(self) -> str:
        table = Table("backend", "zone", "runs", "prompt tokens", "of these kept")
        for backend in self.system.backends:
            tokens = sum(run.prompt_tokens for run in backend.runs)
            kept = sum(run.cached_tokens for run in backend.runs)
            share = f"{100 * kept / tokens:.0f}%" if tokens else "-"
            table.add(
                backend.catalogue_entry.id,
                backend.catalogue_entry.zone,
                str(len(backend.runs)),
                str(tokens),
                share,
            )
        return table.render()


def main() -> int:
    """Show the system; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--phase", type=float, default=PHASE_S, metavar="SECONDS", help="length of a phase")
    parsed = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="nettledeal-") as folder:
        demonstration = Demonstration(Path(folder), parsed.phase)
        try:
            demonstration.run()
            report = demonstration.report()
        finally:
            statuses = demonstration.system.stop()
    print(f"\n{report}\n")
    broken = demonstration.check()
    if any(status != 0 for status in statuses):
        broken.append(f"end: processes ended with {statuses}")
    print("\n".join(broken) or "no rule broken")
    return 1 if broken else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except ServingError as error:
        print(f"nettledeal: {error}", file=sys.stderr)
        sys.exit(1)
