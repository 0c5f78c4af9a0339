"""What attempts and the reports of other agents teach of backends."""

from __future__ import annotations

from collections.abc import Iterable

from nettledeal.dataplane.selection.health import Trust
from nettledeal.dataplane.selection.knowledge import Knowledge
from nettledeal.dataplane.selection.model import (
    READY,
    Attempt,
    AttemptOutcome,
    CallDescription,
    ReportedLoad,
)
from nettledeal.dataplane.selection.record import BackendRecord
from nettledeal.dataplane.selection.reports import BackendReport


class AttemptMemory(Knowledge):
    """Remembers how attempts went, and what this agent has to tell others of its zone."""

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
        queue = state.as_requests(max(0.0, took_s - attempt.expected_s))
        if load is not None:
            queue = max(queue, record.others_queue(load, state.profile.engine_capacity > 0))
        record.reading(queue, now)
        self._tell_queue(record, queue, now)
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

    def paused(self, attempt: Attempt, pause_s: float, now: float) -> None:
        """More of a stream came after `pause_s`: a longer one than usual tells of load at the backend.

        Only a queue beyond the remembered one is taken: an engine that is full streams as fast as ever.
        """
        record = self.records.get(attempt.backend_id)
        if record is None:
            return
        state = self._service(attempt.call.service)
        queue = state.as_requests(state.pace.excess_s(pause_s))
        if record.longer_reading(queue, now):
            self._tell_queue(record, queue, now)

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
            self._replaced(record, now)
            self.reports.add_replaced(record.backend.id)
            return
        self.reports.add_failed(record.backend.id, now)
        if outcome is AttemptOutcome.UNREACHABLE or record.unanswered(attempt, now):
            self._lose(record, now)
        elif record.health.failed(now) and self._may_eject(record, now):
            record.health.eject(now)

    def _lose(self, record: BackendRecord, now: float) -> None:
        """Nothing goes to the backend until a connection comes up."""
        record.health.lost(now)
        self.lost.add(record)
        self.trouble.note(record.backend.zone, now)

    def _replaced(self, record: BackendRecord, now: float) -> None:
        """Another backend has the address: the catalogue will say so before this one is tried again."""
        record.health.eject(now, self.tuning.most_ejection_s)
        self.replaced.note(record, now)

    def _tell_queue(self, record: BackendRecord, queue: float, now: float) -> None:
        if queue >= self.tuning.crowded_queue:
            told = min(queue, self.tuning.most_told_queue)
            self.reports.add_queue(record.backend.id, told, now)

    def reported(self, report: BackendReport, now: float) -> None:
        """Take what another agent of this zone found at backends."""
        for record in self._known(report.failed):
            record.health.reported(now)
        for record in self._known(report.replaced):
            self._replaced(record, now)
        for record in self._known(report.queues):
            queue = min(report.queues[record.backend.id], self.tuning.most_told_queue)
            record.longer_reading(queue, now)

    def _known(self, backend_ids: Iterable[str]) -> list[BackendRecord]:
        return [self.records[backend_id] for backend_id in backend_ids if backend_id in self.records]

    def report_silent(self, now: float) -> None:
        """Report the backends that leave an own attempt without an answer; called at intervals."""
        self.busy = {backend_id: record for backend_id, record in self.busy.items() if record.attempts}
        for backend_id, record in self.busy.items():
            if record.silent(now):
                self.reports.add_failed(backend_id, now)

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
            self._lose(record, now)
            self.reports.add_failed(backend_id, now)

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
