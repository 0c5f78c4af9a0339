"""Detects zones whose backends were replaced: their addresses belong to other backends now.

After a zone restarts, all its backends are new ones at old addresses until the catalogue is updated. Two
replaced backends within a short time make all others of the zone suspect that have not responded since.
"""

from __future__ import annotations

from nettledeal.dataplane.selection.backend_record import BackendRecord

# Number of replaced backends within the window that make a zone suspect.
MIN_REPLACED = 2
# A backend that responded this shortly before the first replacement was found is not suspect.
HEARD_MARGIN_S = 1.0


class ReplacedBackends:
    """When backends were found to be replaced, by zone."""

    def __init__(self, window_s: float):
        self.window_s = window_s
        self._found_at: dict[str, dict[str, float]] = {}
        self._last_found_at = float("-inf")

    def record(self, record: BackendRecord, now: float) -> None:
        """Another backend responds at this one's address."""
        self._last_found_at = now
        zone = self._found_at.setdefault(record.backend.zone, {})
        zone[record.backend.id] = now
        for backend_id, found_at in list(zone.items()):
            if now - found_at >= self.window_s:
                del zone[backend_id]

    def any_recent(self, now: float) -> bool:
        """Whether any replaced backend was found within the window."""
        return now - self._last_found_at < self.window_s

    def is_suspect(self, record: BackendRecord, now: float) -> bool:
        """Whether the backend may have been replaced like others of its zone."""
        zone = self._found_at.get(record.backend.zone)
        if not zone:
            return False
        recent = [found_at for found_at in zone.values() if now - found_at < self.window_s]
        return len(recent) >= MIN_REPLACED and record.last_heard_at < min(recent) - HEARD_MARGIN_S
