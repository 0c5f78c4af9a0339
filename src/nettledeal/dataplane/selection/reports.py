"""What agents of a zone tell each other of backends: each makes too few attempts to judge one alone."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import msgspec


class BackendReport(msgspec.Struct, frozen=True):
    """What one agent found, by backend ids."""

    failed: Sequence[str] = ()  # an attempt failed, or has waited for too long
    replaced: Sequence[str] = ()  # another backend answers at its address
    queues: Mapping[str, float] = {}  # long queues that were read, in requests


class PendingReport:
    """What is to be told next; a backend's failures, and its queue, once in a while each."""

    def __init__(self, failed_again_s: float, queue_again_s: float):
        self.on_added: Callable[[], None] = lambda: None
        self._failures = RecentlyTold(failed_again_s)
        self._queues_told = RecentlyTold(queue_again_s)
        self._failed: list[str] = []
        self._replaced: list[str] = []
        self._queues: dict[str, float] = {}

    def add_failed(self, backend_id: str, now: float) -> None:
        """An own attempt at the backend failed."""
        if self._failures.due(backend_id, now):
            self._failed.append(backend_id)
            self.on_added()

    def add_replaced(self, backend_id: str) -> None:
        """Another backend was found at the address of this one."""
        self._replaced.append(backend_id)
        self.on_added()

    def add_queue(self, backend_id: str, queue: float, now: float) -> None:
        """A long queue was read at the backend, in requests."""
        if self._queues_told.due(backend_id, now):
            self._queues[backend_id] = round(queue, 1)
            self.on_added()

    def take(self) -> BackendReport:
        """What is to be told now."""
        report = BackendReport(self._failed, self._replaced, self._queues)
        self._failed, self._replaced, self._queues = [], [], {}
        return report


class RecentlyTold:
    """Backends that were told of within the last `again_s` seconds."""

    def __init__(self, again_s: float):
        self.again_s = again_s
        self._told_at: dict[str, float] = {}

    def due(self, backend_id: str, now: float) -> bool:
        """Whether the backend may be told of again; it then counts as told."""
        if now - self._told_at.get(backend_id, float("-inf")) < self.again_s:
            return False
        self._told_at = {told: at for told, at in self._told_at.items() if now - at < self.again_s}
        self._told_at[backend_id] = now
        return True
