"""Shows on loopback that two tenants under live traffic never hit each other's cache entries.

Three core and three edge machines run as real processes. Keys are created late, routes move between
backends, processes are killed, a region fails and recovers, keys are rotated under traffic, an edge machine
runs an older release, and a tenant is dropped. The same traffic without separation gives the baseline for
own cache reuse. Then a fault is injected into each guard and must be detected. The exit status is 0 if all
of that holds, else 1.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import gevent

from nettledeal.common.errors import ServingError
from nettledeal.programs.commands.tables import Table
from nettledeal.programs.commands.tenants import counts_of, drop, rotate
from nettledeal.standins.layout import Layout, Network
from nettledeal.standins.processes import PROGRAM
from nettledeal.standins.tenant_faults import Fault
from nettledeal.standins.tenant_scenario import ANY_PATH, BANK, FUND, POOLED, TENANTS, own_service
from nettledeal.standins.tenant_system import CacheHits, TenantSystem, older_release

PHASE_S = 6.0
READY_WITHIN_S = 40.0
KEY_PROPAGATION_S = 1.0
# The least ratio of own reuse with separation to reuse without it.
MIN_REUSE_RATIO = 0.95
OLD_RELEASE_EDGE = 1
INVALID_REQUESTS = (
    (FUND, FUND, {"Tenant": BANK}, "401"),
    (FUND, FUND, {"Tenant": "a" * 200}, "400"),
    (FUND, ANY_PATH, {"Tenant": "nobody"}, "401"),
    (FUND, ANY_PATH, {"Tenant-Token": "a guess"}, "401"),
    (FUND, FUND, {"Prompt-Prefix": "01:900,01:901,ff:60"}, "400"),
)


@dataclass(frozen=True, slots=True)
class Phase:
    """A phase of the script and its cache hits; `compared` phases count for the reuse ratio."""

    name: str
    compared: bool
    hits: CacheHits


@dataclass
class DemonstrationRun:
    """One run of the script, with or without separation."""

    system: TenantSystem
    phase_s: float
    phases: list[Phase] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    started_s: float = field(default_factory=time.monotonic)

    def run(self) -> None:
        """Run all phases; raises ServingError if one times out."""
        self.bring_up()
        self.phase("keys not yet made", lambda: None, compared=False)
        self.phase("keys made", self.make_keys, compared=False)
        self.phase("calm", lambda: None)
        self.phase("both moved to one service", lambda: self.move(POOLED, POOLED))
        self.phase("one moved back", lambda: self.move(own_service(FUND), POOLED))
        self.phase("an edge killed", lambda: self.system.restart_edge(0))
        self.phase("primary killed, both pooled", self._lose_primary)
        self.phase("a region lost", self.system.lose_region)
        self.phase("the region back", self.system.regain_region)
        self.phase("keys rotated", self.make_keys, compared=False)
        self.phase("an older release beside", self._run_older_release, compared=False)
        self.phase(
            "releases alike again",
            lambda: self.system.restart_edge(OLD_RELEASE_EDGE, PROGRAM),
            compared=False,
        )
        if self.system.separated:
            self._send_invalid_requests()
            self._try_to_reassign_service()
            self.phase("one tenant dropped", self._drop, compared=False)
        self.system.traffic.stop()

    def compared(self) -> CacheHits:
        """The cache hits of the phases that count for the reuse ratio."""
        return _sum([phase.hits for phase in self.phases if phase.compared])

    def bring_up(self) -> None:
        """Start the system with its first configuration, then the traffic."""
        self.system.system.start()
        if not self.system.configure(self.system.places):
            self.violations.append("configuration 1 was refused")
        self.system.system.wait_ready(READY_WITHIN_S)
        self.system.traffic.start()

    def phase(self, name: str, begin: Callable[[], None], compared: bool = True) -> None:
        """Begin a phase, run traffic for its length, and record the cache hits."""
        earlier_hits = self.system.cache_hits()
        begin()
        gevent.sleep(self.phase_s)
        hits = _difference(self.system.cache_hits(), earlier_hits)
        self.phases.append(Phase(name, compared, hits))
        print(
            f"{time.monotonic() - self.started_s:6.1f} s  {name}: {hits.lookups} lookups, own reuse "
            f"{100 * hits.reuse:.0f}%, found across tenants {hits.cross_tenant_hits}",
            flush=True,
        )

    def make_keys(self) -> None:
        """Make the next key of each tenant."""
        if self.system.separated:
            for tenant in TENANTS:
                rotate(self.system.system.operator, tenant)
            gevent.sleep(KEY_PROPAGATION_S)

    def move(self, fund: str, bank: str) -> None:
        """Configure the services of the tenants' own routes."""
        if not self.system.configure({FUND: fund, BANK: bank}):
            self.violations.append("a move was refused")

    def _lose_primary(self) -> None:
        self.system.system.primary().kill()
        self.move(POOLED, POOLED)
        self.system.system.restart_cores()

    def _run_older_release(self) -> None:
        folder = Path(tempfile.mkdtemp(dir=self.system.system.folder))
        try:
            program = older_release(folder)
        except ServingError as error:
            print(f"          not shown: {error}")
            return
        self.system.restart_edge(OLD_RELEASE_EDGE, program)

    def _send_invalid_requests(self) -> None:
        self.system.traffic.stop()
        earlier_hits = self.system.cache_hits().lookups
        for tenant, path, headers, expected in INVALID_REQUESTS:
            answer = self.system.traffic.ask(tenant, path, headers)
            if answer != expected:
                self.violations.append(f"bad request {headers}: {answer}, not {expected}")
        if self.system.cache_hits().lookups != earlier_hits:
            self.violations.append("a bad request reached a backend")
        self.system.traffic.start()

    def _try_to_reassign_service(self) -> None:
        if self.system.configure({FUND: own_service(BANK), BANK: POOLED}):
            self.violations.append("a tenant's service changed hands")

    def _drop(self) -> None:
        drop(self.system.system.operator, FUND)
        gevent.sleep(KEY_PROPAGATION_S)


def main() -> int:
    """Run the demonstration; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--phase", type=float, default=PHASE_S, metavar="SECONDS", help="length of a phase")
    parser.add_argument("--without-faults", action="store_true", help="plant no faults")
    parsed = parser.parse_args()
    separated_run = _run_script(0, parsed.phase, separated=True)
    unseparated_run = _run_script(1, parsed.phase, separated=False)
    reuse_ratio = separated_run.compared().reuse / max(unseparated_run.compared().reuse, 1e-9)
    total = _sum([phase.hits for phase in separated_run.phases])
    violations = separated_run.violations + unseparated_run.violations
    print(f"\nlookups {total.lookups}")
    print(
        f"own reuse {100 * separated_run.compared().reuse:.1f}% of shared tokens, without separation "
        f"{100 * unseparated_run.compared().reuse:.1f}%: {reuse_ratio:.3f} of it"
    )
    print(f"reached a region outside a tenant's homes: {total.outside_homes}")
    print(f"found across tenants: {total.cross_tenant_hits}")
    if total.cross_tenant_hits or total.outside_homes or reuse_ratio < MIN_REUSE_RATIO:
        violations.append("what was found is not as it should be")
    if not parsed.without_faults:
        violations += [
            f"planted {fault} was not counted" for fault in Fault if not _detects(fault, parsed.phase)
        ]
    print("\n".join(violations) or "all guards hold, and each planted fault was counted")
    return 1 if violations else 0


def _run_script(number: int, phase_s: float, separated: bool) -> DemonstrationRun:
    print(f"\n{'with' if separated else 'without'} separation")
    with tempfile.TemporaryDirectory(prefix="nettledeal-") as folder:
        run = DemonstrationRun(
            TenantSystem(Layout(Network.of_this_process(number)), Path(folder), separated), phase_s
        )
        try:
            run.run()
            print(f"answers: {dict(run.system.traffic.answers)}")
            if separated:
                print(_counts_table(run.system))
        finally:
            run.system.traffic.stop()
            run.system.system.stop()
        return run


def _detects(fault: Fault, phase_s: float) -> bool:
    """Whether an injected fault leads to cross-tenant hits."""
    with tempfile.TemporaryDirectory(prefix="nettledeal-") as folder:
        layout = Layout(Network.of_this_process(2 + list(Fault).index(fault) % 2))
        system = TenantSystem(layout, Path(folder), fault=fault)
        run = DemonstrationRun(system, phase_s)
        print(f"\nplanted: {fault}")
        try:
            run.bring_up()
            if fault is not Fault.KEY_MISSING:
                run.phase("calm", run.make_keys)
            if fault is Fault.BINDING_IGNORED:
                run.phase("a service changes hands", lambda: run.move(own_service(BANK), POOLED))
            else:
                run.phase("both moved to one service", lambda: run.move(POOLED, POOLED))
        finally:
            system.traffic.stop()
            system.system.stop()
        return system.cache_hits().cross_tenant_hits > 0


def _counts_table(system: TenantSystem) -> str:
    table = Table("edge", "tenant", "requests", "without key", "sent", "refused")
    for address in system.edge_addresses():
        for name, use in counts_of(address).items():
            refused = ", ".join(f"{reason} {count}" for reason, count in use.refusals.items())
            table.add(
                address,
                name or "(unknown)",
                str(use.requests),
                str(use.without_key),
                str(use.attempts),
                refused,
            )
    return table.render()


def _sum(all_hits: list[CacheHits]) -> CacheHits:
    return CacheHits(*(sum(getattr(hits, name) for hits in all_hits) for name in CacheHits.__slots__))


def _difference(later: CacheHits, earlier: CacheHits) -> CacheHits:
    return CacheHits(*(getattr(later, name) - getattr(earlier, name) for name in CacheHits.__slots__))


if __name__ == "__main__":
    try:
        sys.exit(main())
    except ServingError as error:
        print(f"nettledeal: {error}", file=sys.stderr)
        sys.exit(1)
