"""Zones in which a backend recently stopped responding; others there may be affected as well."""

from __future__ import annotations


class ZoneFailures:
    """Time of the last backend lost without notice in each zone, as seen by own attempts."""

    def __init__(self, window_s: float):
        self.window_s = window_s
        self._failed_at: dict[str, float] = {}

    def record(self, zone: str, now: float) -> None:
        """A backend of this zone accepts no connection or leaves a request without any response."""
        self._failed_at[zone] = now

    def is_recent(self, zone: str, now: float) -> bool:
        """Whether a backend of the zone was lost within the window."""
        return now - self._failed_at.get(zone, float("-inf")) < self.window_s
