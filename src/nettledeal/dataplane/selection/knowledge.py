"""What an agent knows of services, backends and their zones; the selection and its learning build on it."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from random import Random

from nettledeal.dataplane.selection.candidates import Candidates
from nettledeal.dataplane.selection.lost import LostBackends
from nettledeal.dataplane.selection.model import Backend, ServiceProfile, Tuning, Zones
from nettledeal.dataplane.selection.placement import Placement
from nettledeal.dataplane.selection.record import BackendRecord
from nettledeal.dataplane.selection.replaced import ReplacedBackends
from nettledeal.dataplane.selection.reports import PendingReport
from nettledeal.dataplane.selection.service_state import ServiceState
from nettledeal.dataplane.selection.warmup import MembersSeen, WarmupShares
from nettledeal.dataplane.selection.zone_trouble import ZoneTrouble


class Knowledge:
    """Services, backends and members as told by the configuration, the catalogue and membership."""

    def __init__(self, tuning: Tuning, zone: str, region: str, zones: Zones, random: Random):
        self.tuning = tuning
        self.region = region
        self.placement = Placement(tuning, zone, region, zones, random)
        self.members = MembersSeen(tuning)
        self.warmup = WarmupShares(tuning, self.members)
        self.services: dict[str, ServiceState] = {}
        self.records: dict[str, BackendRecord] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.doubted: frozenset[str] = frozenset()
        self.lost = LostBackends()
        self.candidates = Candidates(tuning, region, zones, random)
        self.busy: dict[str, BackendRecord] = {}  # have own attempts, or had them lately
        self.reports = PendingReport(tuning.report_again_s, tuning.crowded_again_s)
        self.trouble = ZoneTrouble(tuning.trouble_memory_s)
        self.replaced = ReplacedBackends(tuning.replaced_memory_s)

    def update_services(self, services: Iterable[ServiceProfile], now: float) -> None:
        """Take the services of the configuration in force."""
        for profile in services:
            self._service(profile.name).profile = profile

    def update_backends(self, backends: Iterable[Backend], now: float) -> None:
        """Take the whole catalogue; what was learned of backends that stay is kept."""
        listed = list(backends)
        gone = self.records.keys() - {backend.id for backend in listed}
        self.change_backends(listed, gone, now)

    def change_backends(self, changed: Iterable[Backend], removed: Iterable[str], now: float) -> None:
        """Take backends that are new or otherwise than before, and ids that are gone."""
        for backend_id in removed:
            record = self.records.pop(backend_id, None)
            if record is not None:
                self._service(record.backend.service).records.pop(backend_id, None)
            self.warmup.forget([backend_id])
        for backend in changed:
            self._take(backend, now)
        self.candidates.forget()

    def _take(self, backend: Backend, now: float) -> None:
        record = self.records.get(backend.id)
        if record is None:
            record = self.records[backend.id] = BackendRecord(backend, self.tuning)
        elif record.backend.service != backend.service:
            self._service(record.backend.service).records.pop(backend.id, None)
        record.backend = backend
        record.tell_warmup(backend.warmup_left_ms, now)
        self._service(backend.service).records[backend.id] = record

    def set_evacuated(self, zones: Collection[str], now: float) -> None:
        """Take the zones that get nothing new. A zone that is taken back counts as cold for a while."""
        evacuated = frozenset(zones)
        if evacuated == self.evacuated:
            return
        returned = self.evacuated - evacuated
        self.evacuated = evacuated
        self.candidates.forget()
        for record in self.records.values():
            if record.backend.zone in returned:
                self._presume_cold(record, now)

    def set_doubted(self, zones: Collection[str]) -> None:
        """Take the zones that may be lost as a whole; never the own one, in which this process lives."""
        self.doubted = frozenset(zones) - {self.placement.zone}

    def set_agents(self, names: Iterable[str], own_name: str, now: float) -> None:
        """Take the live data-plane members."""
        self.members.set(names, own_name, now)

    def _service(self, name: str) -> ServiceState:
        if name not in self.services:
            self.services[name] = ServiceState(ServiceProfile(name), self.tuning)
        return self.services[name]

    def _presume_cold(self, record: BackendRecord, now: float) -> None:
        warmup_s = self._service(record.backend.service).profile.warmup_s
        if warmup_s > 0:
            record.cold_until = max(record.cold_until, now + warmup_s + self.tuning.warmup_delay_s)
