"""Reports on backends between the agents of a zone: each alone makes too few attempts to judge a backend."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import msgspec


class BackendReport(msgspec.Struct, frozen=True):
    """The findings of one agent, by backend id."""

    failed: Sequence[str] = ()  # an attempt failed, or has waited for too long
    replaced: Sequence[str] = ()  # the address belongs to another backend now
    queues: Mapping[str, float] = {}  # long queues, in requests


class PendingReport:
    """Findings to be sent next; failures and queues are rate-limited per backend."""

    def __init__(self, failure_interval_s: float, queue_interval_s: float):
        self.on_added: Callable[[], None] = lambda: None
        self._failure_limit = ReportRateLimit(failure_interval_s)
        self._queue_limit = ReportRateLimit(queue_interval_s)
        self._failed: list[str] = []
        self._replaced: list[str] = []
        self._queues: dict[str, float] = {}

    def add_failed(self, backend_id: str, now: float) -> None:
        """An own attempt at the backend failed."""
        if self._failure_limit.try_report(backend_id, now):
            self._failed.append(backend_id)
            self.on_added()

    def add_replaced(self, backend_id: str) -> None:
        """The backend's address belongs to another one now."""
        self._replaced.append(backend_id)
        self.on_added()

    def add_queue(self, backend_id: str, queue: float, now: float) -> None:
        """The backend has a long queue, in requests."""
        if self._queue_limit.try_report(backend_id, now):
            self._queues[backend_id] = round(queue, 1)
            self.on_added()

    def take(self) -> BackendReport:
        """Return the pending findings and clear them."""
        report = BackendReport(self._failed, self._replaced, self._queues)
        self._failed, self._replaced, self._queues = [], [], {}
        return report


class ReportRateLimit:
    """Allows one report per backend within `interval_s` seconds."""

    def __init__(self, interval_s: float):
        self.interval_s = interval_s
        self._reported_at: dict[str, float] = {}

    def try_report(self, backend_id: str, now: float) -> bool:
        """Whether the backend may be reported now; if so, the report is counted."""
        if now - self._reported_at.get(backend_id, float("-inf")) < self.interval_s:
            return False
        self._reported_at = {
            reported: at for reported, at in self._reported_at.items() if now - at < self.interval_s
        }
        self._reported_at[backend_id] = now
        return True
