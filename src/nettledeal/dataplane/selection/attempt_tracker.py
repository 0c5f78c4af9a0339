"""Tracks attempts and learns from their outcomes and from the reports of other agents."""

from __future__ import annotations

from collections.abc import Iterable

from nettledeal.dataplane.selection.backend_record import BackendRecord
from nettledeal.dataplane.selection.backend_reports import BackendReport
from nettledeal.dataplane.selection.health import HealthState
from nettledeal.dataplane.selection.model import (
    READY,
    Attempt,
    AttemptOutcome,
    CallDescription,
    ReportedLoad,
)
from nettledeal.dataplane.selection.selection_state import SelectionState


class AttemptTracker(SelectionState):
    """Updates backend records from attempts and collects reports for other agents of the zone."""

    def start_attempt(self, backend_id: str, call: CallDescription, now: float) -> Attempt:
        """Begin an attempt at the chosen backend."""
        state = self._service_state(call.service)
        record = self.records.get(backend_id)
        if record is None:
            return Attempt(
                backend_id, call, now, call.prompt_tokens, state.latency.expected_s(call.prompt_tokens)
            )
        uncached = record.uncached_tokens(call, now)
        attempt = Attempt(backend_id, call, now, uncached, state.latency.expected_s(uncached))
        record.attempts[id(attempt)] = attempt
        self.records_in_use[backend_id] = record
        record.remember_prefix(call, now)
        state.prompt_mix.record(call, self.placement.region_of(record), now)
        self.warmup.record_sent(backend_id, now)
        return attempt

    def record_first_event(self, attempt: Attempt, now: float, load: ReportedLoad | None = None) -> None:
        """The first event of a stream, or the head of another response, has arrived, perhaps with a load."""
        if attempt.first_event_at is not None or attempt.ended:
            return
        attempt.first_event_at = now
        record = self.records.get(attempt.backend_id)
        if record is None:
            return
        record.last_heard_at = now
        record.health.record_success(now)
        self._record_latency(record, attempt, now - attempt.started_at, now, load)

    def _record_latency(
        self,
        record: BackendRecord,
        attempt: Attempt,
        latency_s: float,
        now: float,
        load: ReportedLoad | None = None,
    ) -> None:
        state = self._service_state(attempt.call.service)
        queue = state.as_queue_length(max(0.0, latency_s - attempt.expected_s))
        if load is not None:
            queue = max(queue, record.other_agents_queue(load, state.profile.engine_capacity > 0))
        record.add_queue_sample(queue, now)
        self._report_queue(record, queue, now)
        state.latency.add_sample(attempt.uncached_tokens, latency_s)
        if self.placement.region_of(record) == self.region:
            late = latency_s > attempt.call.latency_target_s
            state.home_threshold.decrease() if late else state.home_threshold.increase()

    def finish_attempt(self, attempt: Attempt, outcome: AttemptOutcome, now: float) -> None:
        """Record the outcome of an attempt; later calls for the same attempt have no effect."""
        if attempt.ended:
            return
        attempt.ended = True
        record = self.records.get(attempt.backend_id)
        if record is None:
            return
        record.attempts.pop(id(attempt), None)
        if outcome is AttemptOutcome.COMPLETED:
            record.last_heard_at = now
            if attempt.first_event_at is None:
                record.health.record_success(now)
                self._record_latency(record, attempt, now - attempt.started_at, now)
        elif outcome is AttemptOutcome.REFUSED:
            self._record_refusal(record, attempt, now)
        elif outcome is AttemptOutcome.CANCELLED:
            self._record_cancellation(record, attempt, now)
        elif outcome is not AttemptOutcome.NOT_SENT:
            self._record_failure(record, attempt, outcome, now)

    def record_stream_pause(self, attempt: Attempt, pause_s: float, now: float) -> None:
        """More of a stream arrived after `pause_s`; a pause longer than usual indicates load at the backend.

        Only increases the remembered queue: a saturated engine streams its running requests at full speed.
        """
        record = self.records.get(attempt.backend_id)
        if record is None:
            return
        state = self._service_state(attempt.call.service)
        queue = state.as_queue_length(state.event_interval.excess_s(pause_s))
        if record.add_longer_queue_sample(queue, now):
            self._report_queue(record, queue, now)

    def _record_refusal(self, record: BackendRecord, attempt: Attempt, now: float) -> None:
        record.last_heard_at = now
        state = self._service_state(attempt.call.service)
        record.mark_full(state.home_threshold.value, now)
        if self.placement.region_of(record) == self.region:
            state.home_threshold.decrease()

    def _record_cancellation(self, record: BackendRecord, attempt: Attempt, now: float) -> None:
        """A client that disconnects after the silence timeout, without a first event, counts as a timeout."""
        if attempt.first_event_at is None and now - attempt.started_at > record.silence_timeout_s(attempt):
            self._record_failure(record, attempt, AttemptOutcome.TIMED_OUT, now)

    def _record_failure(
        self, record: BackendRecord, attempt: Attempt, outcome: AttemptOutcome, now: float
    ) -> None:
        if outcome is AttemptOutcome.REPLACED:
            self._mark_replaced(record, now)
            self.reports.add_replaced(record.backend.id)
            return
        self.reports.add_failed(record.backend.id, now)
        if outcome is AttemptOutcome.UNREACHABLE or record.is_unanswered(attempt, now):
            self._mark_unreachable(record, now)
        elif record.health.record_failure(now) and self._may_eject(record, now):
            record.health.eject(now)

    def _mark_unreachable(self, record: BackendRecord, now: float) -> None:
        """Send nothing to the backend until a connection to it can be opened."""
        record.health.mark_unreachable(now)
        self.unreachable.add(record)
        self.zone_failures.record(record.backend.zone, now)

    def _mark_replaced(self, record: BackendRecord, now: float) -> None:
        """Eject for long enough that the catalogue is updated before the backend is tried again."""
        record.health.eject(now, self.tuning.max_ejection_s)
        self.replaced.record(record, now)

    def _report_queue(self, record: BackendRecord, queue: float, now: float) -> None:
        if queue >= self.tuning.min_reported_queue:
            reported = min(queue, self.tuning.max_reported_queue)
            self.reports.add_queue(record.backend.id, reported, now)

    def apply_report(self, report: BackendReport, now: float) -> None:
        """Apply the findings of another agent of this zone."""
        for record in self._known_records(report.failed):
            record.health.record_reported_failure(now)
        for record in self._known_records(report.replaced):
            self._mark_replaced(record, now)
        for record in self._known_records(report.queues):
            queue = min(report.queues[record.backend.id], self.tuning.max_reported_queue)
            record.add_longer_queue_sample(queue, now)

    def _known_records(self, backend_ids: Iterable[str]) -> list[BackendRecord]:
        return [self.records[backend_id] for backend_id in backend_ids if backend_id in self.records]

    def report_silent_backends(self, now: float) -> None:
        """Report backends that leave an own attempt unanswered. Called periodically."""
        self.records_in_use = {
            backend_id: record for backend_id, record in self.records_in_use.items() if record.attempts
        }
        for backend_id, record in self.records_in_use.items():
            if record.is_silent(now):
                self.reports.add_failed(backend_id, now)

    def connect_check_delay_s(self, attempt: Attempt) -> float:
        """How long an attempt may wait before the host checks its backend by opening a connection."""
        tuning = self.tuning
        delay_s = min(
            tuning.connect_check_latency_factor * attempt.expected_s,
            tuning.connect_check_target_share * attempt.call.latency_target_s,
        )
        return max(tuning.min_connect_check_delay_s, delay_s)

    def max_idle_s(self, backend_id: str, now: float) -> float:
        """How long a connection may have been idle to be used for a request that must not run twice."""
        record = self.records.get(backend_id)
        if record is None or record.backend.zone in self.suspect_zones:
            return self.tuning.max_idle_after_zone_failure_s
        recent_failure = self.zone_failures.is_recent(record.backend.zone, now)
        return self.tuning.max_idle_after_zone_failure_s if recent_failure else self.tuning.max_idle_s

    def record_unreachable(self, backend_id: str, now: float) -> None:
        """A new connection to a silent backend could not be opened."""
        record = self.records.get(backend_id)
        if record is not None:
            self._mark_unreachable(record, now)
            self.reports.add_failed(backend_id, now)

    def unreachable_backends(self, now: float) -> list[str]:
        """Ids of backends that the host should try to connect to, calling `record_reachable` on success."""
        return self.unreachable.ready_ids(self.records, now)

    def record_reachable(self, backend_id: str, now: float) -> None:
        """A connection to the backend was opened."""
        record = self.records.get(backend_id)
        if record is not None:
            record.health.mark_reachable(now)

    def _may_eject(self, record: BackendRecord, now: float) -> bool:
        peers = self._service_state(record.backend.service).records.values()
        region = self.placement.region_of(record)
        ready = [
            peer for peer in peers if peer.backend.state == READY and self.placement.region_of(peer) == region
        ]
        ejected = sum(
            peer.health.state(now) is not HealthState.HEALTHY for peer in ready if peer is not record
        )
        return ejected + 1 <= max(1.0, self.tuning.max_ejected_share * len(ready))
