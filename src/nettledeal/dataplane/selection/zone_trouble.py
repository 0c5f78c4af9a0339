"""Zones whose backends fell silent of late: what is hit there may be hit together."""

from __future__ import annotations


class ZoneTrouble:
    """When a backend was last lost without a word in each zone, by own attempts."""

    def __init__(self, memory_s: float):
        self.memory_s = memory_s
        self._lost_at: dict[str, float] = {}

    def note(self, zone: str, now: float) -> None:
        """A backend of this zone takes no connection, or nothing is heard of what was sent to it."""
        self._lost_at[zone] = now

    def recent(self, zone: str, now: float) -> bool:
        """Whether one was lost there within the memory."""
        return now - self._lost_at.get(zone, float("-inf")) < self.memory_s
