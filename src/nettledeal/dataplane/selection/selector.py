"""The selection of a backend for each attempt: what is known, which backends may be used, how attempts go.

Where a request goes among the usable ones is decided in `placement`.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from random import Random

from nettledeal.dataplane.selection.candidates import Candidates
from nettledeal.dataplane.selection.health import Trust
from nettledeal.dataplane.selection.lost import LostBackends
from nettledeal.dataplane.selection.model import (
    READY,
    Attempt,
    AttemptOutcome,
    Backend,
    CallDescription,
    Refusal,
    ReportedLoad,
    ServiceProfile,
    Tuning,
    Zones,
)
from nettledeal.dataplane.selection.placement import Placement
from nettledeal.dataplane.selection.record import BackendRecord
from nettledeal.dataplane.selection.reports import FailureReports
from nettledeal.dataplane.selection.service_state import ServiceState
from nettledeal.dataplane.selection.warmup import MembersSeen, WarmupShares
from nettledeal.dataplane.selection.zone_trouble import ZoneTrouble


class Selector:
    """Chooses backends and remembers how attempts went. Its calls neither block nor read a clock."""

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
        self.reports = FailureReports(tuning.report_again_s)
        self.trouble = ZoneTrouble(tuning.trouble_memory_s)

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

    def choose(self, call: CallDescription, now: float, excluded: Collection[str] = ()) -> Backend | Refusal:
        """A backend for one attempt, or a refusal. `started` must follow before the next call of `choose`."""
        state = self._service(call.service)
        part = self.candidates.part(state, call, self.evacuated)
        if part is not None:
            allowed = [record for record in part if self._allowed(record, call, excluded)]
            usable = self._outside_doubt([record for record in allowed if self._usable(record, state, now)])
            if usable:
                return self.placement.place(usable, allowed, call, state, now).backend
        return self._choose_among_all(call, state, now, excluded)

    def _choose_among_all(
        self, call: CallDescription, state: ServiceState, now: float, excluded: Collection[str]
    ) -> Backend | Refusal:
        allowed = [record for record in state.records.values() if self._allowed(record, call, excluded)]
        if not allowed:
            return Refusal(self.tuning.retry_after_s, "no backend")
        usable = self._outside_doubt([record for record in allowed if self._usable(record, state, now)])
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

    def _outside_doubt(self, usable: list[BackendRecord]) -> list[BackendRecord]:
        """Those outside doubted zones, if they are enough to bear the load of all."""
        if not self.doubted:
            return usable
        sound = [record for record in usable if record.backend.zone not in self.doubted]
        return sound if len(sound) >= self.tuning.least_sound_share * len(usable) else usable

    def _last_resort(self, record: BackendRecord, state: ServiceState, now: float) -> bool:
        """Distrust yields when nothing else is left; the rule for cold backends does not."""
        reachable = record.health.trust(now) is not Trust.UNREACHABLE and not record.silent(now)
        return reachable and self._warm_enough(record, state, now)

    def _warm_enough(self, record: BackendRecord, state: ServiceState, now: float) -> bool:
        return not record.cold(now) or self.warmup.allows(record.backend.id, state.profile, now)

    def started(self, backend_id: str, call: CallDescription, now: float) -> Attempt:
        """An attempt at the chosen backend begins."""
        state = self._service(call.service)
        record = self.records.get(backend_id)
        if record is None:
            return Attempt(
                backend_id, call, now, call.prompt_tokens, state.latency.expected_s(call.prompt_tokens)
            )
        uncached = record.uncached_tokens(call, now)
        attempt = Attempt(backend_id, call, now, uncached, state.latency.expected_s(uncached))
        record.attempts[id(attempt)] = attempt
        self.busy[backend_id] = record
        record.remember_prefix(call, now)
        state.mix.note(call, self.placement.region_of(record), now)
        self.warmup.sent(backend_id, now)
        return attempt

    def first_event(self, attempt: Attempt, now: float, load: ReportedLoad | None = None) -> None:
        """The backend sent the first event of a stream, or the head of another answer; maybe its load."""
        if attempt.first_event_at is not None or attempt.ended:
            return
        attempt.first_event_at = now
        record = self.records.get(attempt.backend_id)
        if record is None:
            return
        record.heard_at = now
        record.health.succeeded(now)
        self._read(record, attempt, now - attempt.started_at, now, load)

    def _read(
        self,
        record: BackendRecord,
        attempt: Attempt,
        took_s: float,
        now: float,
        load: ReportedLoad | None = None,
    ) -> None:
        state = self._service(attempt.call.service)
        excess = max(0.0, took_s - attempt.expected_s)
        queue = excess / max(state.latency.base_s, 0.001)
        if load is not None:
            queue = max(queue, record.others_queue(load, state.profile.engine_capacity > 0))
        record.reading(queue, now)
        state.latency.learn(attempt.uncached_tokens, took_s)
        if self.placement.region_of(record) == self.region:
            late = took_s > attempt.call.latency_target_s
            state.threshold.late() if late else state.threshold.timely()

    def finished(self, attempt: Attempt, outcome: AttemptOutcome, now: float) -> None:
        """An attempt has ended."""
        if attempt.ended:
            return
        attempt.ended = True
        record = self.records.get(attempt.backend_id)
        if record is None:
            return
        record.attempts.pop(id(attempt), None)
        if outcome is AttemptOutcome.COMPLETED:
            record.heard_at = now
            if attempt.first_event_at is None:
                record.health.succeeded(now)
                self._read(record, attempt, now - attempt.started_at, now)
        elif outcome is AttemptOutcome.REFUSED:
            self._declined(record, attempt, now)
        elif outcome is AttemptOutcome.CANCELLED:
            self._cancelled(record, attempt, now)
        elif outcome is not AttemptOutcome.NOT_SENT:
            self._failed(record, attempt, outcome, now)

    def _declined(self, record: BackendRecord, attempt: Attempt, now: float) -> None:
        record.heard_at = now
        state = self._service(attempt.call.service)
        record.full(state.threshold.value, now)
        if self.placement.region_of(record) == self.region:
            state.threshold.late()

    def _cancelled(self, record: BackendRecord, attempt: Attempt, now: float) -> None:
        """A client that leaves before the first event, long after one was due, speaks against the backend."""
        if attempt.first_event_at is None and now - attempt.started_at > record.patience_s(attempt):
            self._failed(record, attempt, AttemptOutcome.TIMED_OUT, now)

    def _failed(self, record: BackendRecord, attempt: Attempt, outcome: AttemptOutcome, now: float) -> None:
        if outcome is AttemptOutcome.GONE:
            record.health.eject(now, self.tuning.most_ejection_s)
            return
        self.reports.add(record.backend.id, now)
        self.trouble.note([record.backend.zone], now)
        if outcome is AttemptOutcome.UNREACHABLE or record.unanswered(attempt, now):
            record.health.lost(now)
            self.lost.add(record)
        elif record.health.failed(now) and self._may_eject(record, now):
            record.health.eject(now)

    def reported(self, backend_ids: Iterable[str], now: float) -> None:
        """Attempts of other agents of this zone failed at these backends."""
        for backend_id in backend_ids:
            record = self.records.get(backend_id)
            if record is not None:
                record.health.reported(now)
                self.trouble.note([record.backend.zone], now)

    def report_silent(self, now: float) -> None:
        """Report the backends that leave an own attempt without an answer; called at intervals."""
        self.busy = {backend_id: record for backend_id, record in self.busy.items() if record.attempts}
        for backend_id, record in self.busy.items():
            if record.silent(now):
                self.reports.add(backend_id, now)

    def silence_s(self, attempt: Attempt) -> float:
        """How long an attempt may wait before the host asks its backend for a connection."""
        tuning = self.tuning
        due = min(
            tuning.check_factor * attempt.expected_s, tuning.check_share * attempt.call.latency_target_s
        )
        return max(tuning.least_check_s, due)

    def most_rest_s(self, backend_id: str, now: float) -> float:
        """How long a connection may have rested that a request is sent on which must not run twice."""
        record = self.records.get(backend_id)
        if record is None or record.backend.zone in self.doubted:
            return self.tuning.troubled_rest_s
        troubled = self.trouble.recent(record.backend.zone, now)
        return self.tuning.troubled_rest_s if troubled else self.tuning.calm_rest_s

    def not_there(self, backend_id: str, now: float) -> None:
        """No new connection to a backend that is silent comes up."""
        record = self.records.get(backend_id)
        if record is not None:
            record.health.lost(now)
            self.lost.add(record)
            self.trouble.note([record.backend.zone], now)
            self.reports.add(backend_id, now)

    def unreachable(self, now: float) -> list[str]:
        """The ids of backends to which the host should try to open a connection, telling `reached`."""
        return self.lost.ready_ones(self.records, now)

    def reached(self, backend_id: str, now: float) -> None:
        """A connection to the backend came up."""
        record = self.records.get(backend_id)
        if record is not None:
            record.health.reached(now)

    def _may_eject(self, record: BackendRecord, now: float) -> bool:
        peers = self._service(record.backend.service).records.values()
        region = self.placement.region_of(record)
        ready = [
            peer for peer in peers if peer.backend.state == READY and self.placement.region_of(peer) == region
        ]
        ejected = sum(peer.health.trust(now) is not Trust.TRUSTED for peer in ready if peer is not record)
        return ejected + 1 <= max(1.0, self.tuning.most_ejected_share * len(ready))
