"""Zones whose backends gave trouble of late: what is hit there may be hit together."""

from __future__ import annotations

from collections.abc import Iterable


class ZoneTrouble:
    """When something last failed in each zone, by own attempts and by those that other agents report."""

    def __init__(self, memory_s: float):
        self.memory_s = memory_s
        self._failed_at: dict[str, float] = {}

    def note(self, zones: Iterable[str], now: float) -> None:
        """Something has failed in these zones."""
        for zone in zones:
            self._failed_at[zone] = now

    def recent(self, zone: str, now: float) -> bool:
        """Whether something failed there within the memory."""
        return now - self._failed_at.get(zone, float("-inf")) < self.memory_s
