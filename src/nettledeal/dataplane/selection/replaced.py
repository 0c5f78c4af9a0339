"""Zones in which backends were found replaced: an address that they had belongs to another one now.

Where power returns to a zone, all its backends are new ones at old addresses until the catalogue says so. Two
that are found replaced within a short time make those of their zone doubtful that have not been heard since.
"""

from __future__ import annotations

from nettledeal.dataplane.selection.record import BackendRecord

# So many replaced backends, within the time that they are remembered, make a zone doubtful.
LEAST_REPLACED = 2
# A backend that was heard so shortly before the others were found replaced is not doubted.
HEARD_S = 1.0


class ReplacedBackends:
    """When backends were found replaced, by zone."""

    def __init__(self, memory_s: float):
        self.memory_s = memory_s
        self._found: dict[str, dict[str, float]] = {}
        self._last_found_at = float("-inf")

    def note(self, record: BackendRecord, now: float) -> None:
        """Another backend answers at this one's address."""
        self._last_found_at = now
        zone = self._found.setdefault(record.backend.zone, {})
        zone[record.backend.id] = now
        for backend_id, found_at in list(zone.items()):
            if now - found_at >= self.memory_s:
                del zone[backend_id]

    def any_found(self, now: float) -> bool:
        """Whether a backend was found replaced so lately that others may be doubtful."""
        return now - self._last_found_at < self.memory_s

    def doubtful(self, record: BackendRecord, now: float) -> bool:
        """Whether the backend may have been replaced like others of its zone."""
        zone = self._found.get(record.backend.zone)
        if not zone:
            return False
        recent = [found_at for found_at in zone.values() if now - found_at < self.memory_s]
        return len(recent) >= LEAST_REPLACED and record.heard_at < min(recent) - HEARD_S
