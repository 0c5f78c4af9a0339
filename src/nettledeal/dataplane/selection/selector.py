"""Selects a backend for each attempt: filters out the unusable ones by health, zone and warm-up.

`placement` chooses among the usable ones.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from nettledeal.dataplane.selection.attempt_tracker import AttemptTracker
from nettledeal.dataplane.selection.backend_record import BackendRecord
from nettledeal.dataplane.selection.health import HealthState
from nettledeal.dataplane.selection.model import READY, Backend, CallDescription, Refusal
from nettledeal.dataplane.selection.service_state import ServiceState


class Selector(AttemptTracker):
    """Chooses backends. Its methods, including inherited ones, neither block nor read a clock."""

    def choose(self, call: CallDescription, now: float, excluded: Collection[str] = ()) -> Backend | Refusal:
        """A backend for one attempt, or a refusal. Call `start_attempt` before the next `choose`."""
        state = self._service_state(call.service)
        subset = self.candidates.subset(state, call, self.evacuated)
        if subset is not None:
            allowed = [record for record in subset if self._is_allowed(record, call, excluded)]
            usable = self._usable_records(allowed, state, now)
            if usable:
                return self.placement.place(usable, allowed, call, state, now).backend
        return self._choose_among_all(call, state, now, excluded)

    def _choose_among_all(
        self, call: CallDescription, state: ServiceState, now: float, excluded: Collection[str]
    ) -> Backend | Refusal:
        allowed = [record for record in state.records.values() if self._is_allowed(record, call, excluded)]
        if not allowed:
            return Refusal(self.tuning.retry_after_s, "no backend")
        usable = self._usable_records(allowed, state, now)
        if not usable:
            usable = [record for record in allowed if self._is_last_resort(record, state, now)]
        if not usable:
            return Refusal(self.tuning.retry_after_s, "no backend may take more")
        return self.placement.place(usable, allowed, call, state, now).backend

    def _is_allowed(self, record: BackendRecord, call: CallDescription, excluded: Collection[str]) -> bool:
        backend = record.backend
        if backend.state != READY or backend.id in excluded or backend.zone in self.evacuated:
            return False
        return not call.home_regions or self.placement.region_of(record) in call.home_regions

    def _is_usable(self, record: BackendRecord, state: ServiceState, now: float) -> bool:
        health_state = record.health.state(now)
        if health_state in (HealthState.EJECTED, HealthState.UNREACHABLE) or record.is_silent(now):
            return False
        if health_state is HealthState.PROBING and record.outstanding > 0:
            return False
        return self._within_warmup_limit(record, state, now)

    def _usable_records(
        self, allowed: Iterable[BackendRecord], state: ServiceState, now: float
    ) -> list[BackendRecord]:
        """The usable backends, without suspect ones if the others are enough to carry the load of all."""
        usable = [record for record in allowed if self._is_usable(record, state, now)]
        if not self.suspect_zones and not self.replaced.any_recent(now):
            return usable
        unsuspected = [record for record in usable if not self._is_suspect(record, now)]
        return unsuspected if len(unsuspected) >= self.tuning.min_unsuspected_share * len(usable) else usable

    def _is_suspect(self, record: BackendRecord, now: float) -> bool:
        return record.backend.zone in self.suspect_zones or self.replaced.is_suspect(record, now)

    def _is_last_resort(self, record: BackendRecord, state: ServiceState, now: float) -> bool:
        """Whether the backend may be used if no other is usable: ignores ejections, not the warm-up limit."""
        reachable = record.health.state(now) is not HealthState.UNREACHABLE and not record.is_silent(now)
        return reachable and self._within_warmup_limit(record, state, now)

    def _within_warmup_limit(self, record: BackendRecord, state: ServiceState, now: float) -> bool:
        return not record.is_cold(now) or self.warmup.allows(record.backend.id, state.profile, now)
