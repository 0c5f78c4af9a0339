"""State of services, backends and zones that selection is based on."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from random import Random

from nettledeal.dataplane.selection.backend_record import BackendRecord
from nettledeal.dataplane.selection.backend_reports import PendingReport
from nettledeal.dataplane.selection.candidate_sets import CandidateSets
from nettledeal.dataplane.selection.model import Backend, ServiceProfile, Tuning, Zones
from nettledeal.dataplane.selection.placement import Placement
from nettledeal.dataplane.selection.replaced_backends import ReplacedBackends
from nettledeal.dataplane.selection.service_state import ServiceState
from nettledeal.dataplane.selection.unreachable_backends import UnreachableBackends
from nettledeal.dataplane.selection.warmup import RecentMembers, WarmupShares
from nettledeal.dataplane.selection.zone_failures import ZoneFailures


class SelectionState:
    """Services, backends and members according to the configuration, the catalogue and membership."""

    def __init__(self, tuning: Tuning, zone: str, region: str, zones: Zones, random: Random):
        self.tuning = tuning
        self.region = region
        self.placement = Placement(tuning, zone, region, zones, random)
        self.members = RecentMembers(tuning)
        self.warmup = WarmupShares(tuning, self.members)
        self.services: dict[str, ServiceState] = {}
        self.records: dict[str, BackendRecord] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.suspect_zones: frozenset[str] = frozenset()
        self.unreachable = UnreachableBackends()
        self.candidates = CandidateSets(tuning, region, zones, random)
        self.records_in_use: dict[str, BackendRecord] = {}  # have own attempts, or had them recently
        self.reports = PendingReport(tuning.failure_report_interval_s, tuning.queue_report_interval_s)
        self.zone_failures = ZoneFailures(tuning.zone_failure_window_s)
        self.replaced = ReplacedBackends(tuning.replaced_window_s)

    def update_services(self, services: Iterable[ServiceProfile], now: float) -> None:
        """Apply the services of the configuration in force."""
        for profile in services:
            self._service_state(profile.name).profile = profile

    def update_backends(self, backends: Iterable[Backend], now: float) -> None:
        """Apply the whole catalogue, keeping what was learned about backends that stay."""
        listed = list(backends)
        removed = self.records.keys() - {backend.id for backend in listed}
        self.change_backends(listed, removed, now)

    def change_backends(self, changed: Iterable[Backend], removed: Iterable[str], now: float) -> None:
        """Apply new and changed backends, and the ids of removed ones."""
        for backend_id in removed:
            record = self.records.pop(backend_id, None)
            if record is not None:
                self._service_state(record.backend.service).records.pop(backend_id, None)
            self.warmup.forget([backend_id])
        for backend in changed:
            self._add_or_update(backend, now)
        self.candidates.invalidate()

    def _add_or_update(self, backend: Backend, now: float) -> None:
        record = self.records.get(backend.id)
        if record is None:
            record = self.records[backend.id] = BackendRecord(backend, self.tuning)
        elif record.backend.service != backend.service:
            self._service_state(record.backend.service).records.pop(backend.id, None)
        record.backend = backend
        record.update_warmup(backend.warmup_left_ms, now)
        self._service_state(backend.service).records[backend.id] = record

    def set_evacuated(self, zones: Collection[str], now: float) -> None:
        """Set the zones that get no new requests. Backends of a restored zone count as cold for a while."""
        evacuated = frozenset(zones)
        if evacuated == self.evacuated:
            return
        restored = self.evacuated - evacuated
        self.evacuated = evacuated
        self.candidates.invalidate()
        for record in self.records.values():
            if record.backend.zone in restored:
                self._assume_cold(record, now)

    def set_suspect_zones(self, zones: Collection[str]) -> None:
        """Set the zones that may have failed as a whole; never the own one, where this process runs."""
        self.suspect_zones = frozenset(zones) - {self.placement.zone}

    def set_agents(self, names: Iterable[str], own_name: str, now: float) -> None:
        """Set the live data-plane members."""
        self.members.update(names, own_name, now)

    def _service_state(self, name: str) -> ServiceState:
        if name not in self.services:
            self.services[name] = ServiceState(ServiceProfile(name), self.tuning)
        return self.services[name]

    def _assume_cold(self, record: BackendRecord, now: float) -> None:
        warmup_s = self._service_state(record.backend.service).profile.warmup_s
        if warmup_s > 0:
            record.cold_until = max(record.cold_until, now + warmup_s + self.tuning.warmup_delivery_delay_s)
