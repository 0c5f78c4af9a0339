"""A small serving system with two tenants on loopback; its backends record cache hits by tenant."""

from __future__ import annotations

import os
import subprocess
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from nettledeal.common.addresses import Address, parse_address
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.discovery.catalogue import Backend, ServedModel
from nettledeal.standins.backend import EngineSpeed, StandInBackend
from nettledeal.standins.faulty_program import FAULT_VARIABLE, HINTS_VARIABLE
from nettledeal.standins.layout import Layout, Zone
from nettledeal.standins.prefix_cache import Lookup
from nettledeal.standins.processes import ROOT
from nettledeal.standins.small_system import SmallSystem
from nettledeal.standins.tenant_faults import Fault
from nettledeal.standins.tenant_scenario import (
    BANK,
    BANK_HOMES,
    CAPACITY,
    MATERIALS,
    MEMORY_TOKENS,
    POOLED,
    TENANTS,
    Plan,
    make_configuration,
    own_service,
)
from nettledeal.standins.tenant_traffic import TenantTraffic
from nettledeal.tenancy.sealing import make_region_key

SPEED = EngineSpeed(prompt_tokens_per_s=200_000, event_interval_s=0.002)
BACKEND_ZONES = (Zone.NORTH_1, Zone.NORTH_2, Zone.SOUTH_1)
FAULTY_PROGRAM = ROOT / "src" / "nettledeal" / "standins" / "faulty_program.py"
LOST_REGION = "south"
# Prompts common to both tenants reach the same backend by chance; with more of them a fault is detected.
FAULT_MATERIALS = 24
# The commit that added this file introduced tenants; its parent is the older release.
FIRST_OF_TENANTS = "src/nettledeal/tenancy/gate.py"


@dataclass(frozen=True, slots=True)
class CacheHits:
    """Totals over cache lookups, in lookups and in tokens of shared prompt parts."""

    lookups: int = 0
    shared_tokens: int = 0
    own_hit_tokens: int = 0
    cross_tenant_hits: int = 0
    outside_homes: int = 0

    @property
    def reuse(self) -> float:
        """The share of shared tokens that hit the tenant's own entries."""
        return self.own_hit_tokens / self.shared_tokens if self.shared_tokens else 0.0


class TenantSystem:
    """The system, its clients and the cache lookups that its backends recorded."""

    def __init__(self, layout: Layout, folder: Path, separated: bool = True, fault: Fault | None = None):
        self.layout = layout
        self.separated = separated
        self.fault = fault
        self.generation = 0
        self.places = {tenant: own_service(tenant) for tenant in TENANTS}
        self.lost: frozenset[str] = frozenset()
        self.traffic = TenantTraffic(self._frontends, MATERIALS if fault is None else FAULT_MATERIALS)
        self._keys = {
            region: folder / f"region-{region}" for region in sorted({zone.region for zone in Zone})
        }
        self._public = {region: make_region_key(path) for region, path in self._keys.items()}
        self._incarnations = 0
        self._recorded: list[tuple[str, list[Lookup]]] = []
        backends = [
            self._backend(number, service, zone) for number, (service, zone) in enumerate(self._positions())
        ]
        self.system = SmallSystem(layout, folder, backends, self._keys)
        self._plant(folder)

    def _plant(self, folder: Path) -> None:
        if self.fault is None:
            return
        hints = folder / "hints"
        hints.mkdir()
        os.environ |= {FAULT_VARIABLE: str(self.fault), HINTS_VARIABLE: str(hints)}
        for process in self.system.processes:
            process.program = FAULTY_PROGRAM

    def configure(self, places: Mapping[str, str]) -> bool:
        """Put a configuration with these services per tenant; returns whether it was accepted."""
        plan = Plan(self.generation + 1, places, self._public, self.separated)
        answer = self.system.operator.put_configuration(make_configuration(plan), self.generation)
        if answer.status != 200:
            return False
        self.generation += 1
        self.places = dict(places)
        return True

    def cache_hits(self) -> CacheHits:
        """The totals of all lookups so far."""
        shared = own = cross_tenant_hits = outside = count = 0
        for zone, lookups in self._recorded:
            region = zone.rpartition("-")[0]
            for lookup in lookups:
                count += 1
                shared += lookup.shared_tokens
                own += lookup.own_hit_tokens
                cross_tenant_hits += lookup.cross_tenant_hit_tokens > 0
                outside += lookup.tenant == BANK and region not in BANK_HOMES
        return CacheHits(count, shared, own, cross_tenant_hits, outside)

    def restart_edge(self, number: int, program: Path | None = None) -> None:
        """Kill a data plane and restart it, with another release if a program is given."""
        edge = self.system.edges[number]
        edge.kill()
        if program is not None:
            edge.program = program
        edge.start()
        edge.wait_for("dataplane:ready", 30.0, lambda event: event["ready"] is True)

    def lose_region(self) -> None:
        """Kill all processes of a region and remove its backends from the list; clients use other regions."""
        self.lost = frozenset({LOST_REGION})
        for number, core in enumerate(self.system.cores):
            if self.layout.core_zone(number).region == LOST_REGION:
                core.kill()
        for number, edge in enumerate(self.system.edges):
            if self.layout.edge_settings(number).region == LOST_REGION:
                edge.kill()
        for backend in self.system.backends:
            if Zone(backend.catalogue_entry.zone).region == LOST_REGION:
                backend.stop()
        self._list()

    def regain_region(self) -> None:
        """Restart the region, its backends with empty caches."""
        self.lost = frozenset()
        for number, (service, zone) in enumerate(self._positions()):
            if zone.region == LOST_REGION:
                backend = self._backend(number, service, zone)
                backend.start()
                self.system.backends[number] = backend
        self._list()
        self.system.restart_cores()
        for number, edge in enumerate(self.system.edges):
            if self.layout.edge_settings(number).region == LOST_REGION:
                edge.start()
                edge.wait_for("dataplane:ready", 30.0, lambda event: event["ready"] is True)

    def edge_addresses(self) -> list[str]:
        """The addresses at which data planes report their counts."""
        settings = [self.layout.edge_settings(number) for number in range(self.layout.edges)]
        return [str(edge.listen.readiness) for edge in settings if edge.region not in self.lost]

    def _list(self) -> None:
        self.system.platform.backends = [
            backend.catalogue_entry
            for backend in self.system.backends
            if Zone(backend.catalogue_entry.zone).region not in self.lost
        ]

    def _frontends(self) -> list[tuple[str, Address]]:
        settings = [self.layout.edge_settings(number) for number in range(self.layout.edges)]
        return [
            (edge.region, parse_address(edge.listen.frontend))
            for edge in settings
            if edge.region not in self.lost
        ]

    def _positions(self) -> list[tuple[str, Zone]]:
        return [(service, zone) for service in (POOLED, *map(own_service, TENANTS)) for zone in BACKEND_ZONES]

    def _backend(self, number: int, service: str, zone: Zone) -> StandInBackend:
        self._incarnations += 1
        address = self.layout.backend_address(number)
        catalogue_entry = Backend(
            id=f"{service}-{self._incarnations}",
            service=service,
            address=str(address),
            zone=str(zone),
            capacity=CAPACITY,
            stage="dual",
            models=(ServedModel("m"),),
        )
        backend = StandInBackend(
            catalogue_entry, address, SPEED, MEMORY_TOKENS, tenant_of=self.traffic.tenant_of
        )
        self._recorded.append((str(zone), backend.lookups))
        return backend


def older_release(folder: Path) -> Path:
    """Extract the last release without tenants from the git history; raises ServingError."""
    try:
        added = _git("log", "--diff-filter=A", "--format=%H", "--", FIRST_OF_TENANTS).split()[-1]
        archive = subprocess.run(
            ["git", "-C", str(ROOT), "archive", f"{added}^", "src"], check=True, capture_output=True
        )
        subprocess.run(["tar", "-x", "-C", str(folder)], check=True, input=archive.stdout)
    except (OSError, subprocess.CalledProcessError, IndexError) as error:
        raise ServingError(ErrorCode.UNAVAILABLE, "get older release", str(error)) from None
    return folder / "src" / "nettledeal_system.py"


def _git(*arguments: str) -> str:
    ran = subprocess.run(["git", "-C", str(ROOT), *arguments], check=True, capture_output=True, text=True)
    return ran.stdout
