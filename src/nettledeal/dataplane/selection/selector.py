"""The selection of a backend for each attempt: which backends may be used, by what is known of them.

Where a request goes among the usable ones is decided in `placement`.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from nettledeal.dataplane.selection.attempt_memory import AttemptMemory
from nettledeal.dataplane.selection.health import Trust
from nettledeal.dataplane.selection.model import READY, Backend, CallDescription, Refusal
from nettledeal.dataplane.selection.record import BackendRecord
from nettledeal.dataplane.selection.service_state import ServiceState


class Selector(AttemptMemory):
    """Chooses backends. Its calls, like those of what it builds on, neither block nor read a clock."""

    def choose(self, call: CallDescription, now: float, excluded: Collection[str] = ()) -> Backend | Refusal:
        """A backend for one attempt, or a refusal. `started` must follow before the next call of `choose`."""
        state = self._service(call.service)
        part = self.candidates.part(state, call, self.evacuated)
        if part is not None:
            allowed = [record for record in part if self._allowed(record, call, excluded)]
            usable = self._sound(allowed, state, now)
            if usable:
                return self.placement.place(usable, allowed, call, state, now).backend
        return self._choose_among_all(call, state, now, excluded)

    def _choose_among_all(
        self, call: CallDescription, state: ServiceState, now: float, excluded: Collection[str]
    ) -> Backend | Refusal:
        allowed = [record for record in state.records.values() if self._allowed(record, call, excluded)]
        if not allowed:
            return Refusal(self.tuning.retry_after_s, "no backend")
        usable = self._sound(allowed, state, now)
        if not usable:
            usable = [record for record in allowed if self._last_resort(record, state, now)]
        if not usable:
            return Refusal(self.tuning.retry_after_s, "no backend may take more")
        return self.placement.place(usable, allowed, call, state, now).backend

    def _allowed(self, record: BackendRecord, call: CallDescription, excluded: Collection[str]) -> bool:
        backend = record.backend
        if backend.state != READY or backend.id in excluded or backend.zone in self.evacuated:
            return False
        return not call.home_regions or self.placement.region_of(record) in call.home_regions

    def _usable(self, record: BackendRecord, state: ServiceState, now: float) -> bool:
        trust = record.health.trust(now)
        if trust in (Trust.EJECTED, Trust.UNREACHABLE) or record.silent(now):
            return False
        if trust is Trust.PROBING and record.outstanding > 0:
            return False
        return self._warm_enough(record, state, now)

    def _sound(
        self, allowed: Iterable[BackendRecord], state: ServiceState, now: float
    ) -> list[BackendRecord]:
        """Those usable that are not doubted for what befell their zone, if they can bear the load of all."""
        usable = [record for record in allowed if self._usable(record, state, now)]
        if not self.doubted and not self.replaced.any_found(now):
            return usable
        sound = [record for record in usable if not self._doubted(record, now)]
        return sound if len(sound) >= self.tuning.least_sound_share * len(usable) else usable

    def _doubted(self, record: BackendRecord, now: float) -> bool:
        return record.backend.zone in self.doubted or self.replaced.doubtful(record, now)

    def _last_resort(self, record: BackendRecord, state: ServiceState, now: float) -> bool:
        """Distrust yields when nothing else is left; the rule for cold backends does not."""
        reachable = record.health.trust(now) is not Trust.UNREACHABLE and not record.silent(now)
        return reachable and self._warm_enough(record, state, now)

    def _warm_enough(self, record: BackendRecord, state: ServiceState, now: float) -> bool:
        return not record.cold(now) or self.warmup.allows(record.backend.id, state.profile, now)
