"""When machines were disturbed, and how far an edge machine was in touch with the core machines meanwhile."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager

from nettledeal.common.settings import Bounds
from nettledeal.standins.configuration_rules import Contact


class TroubleLog:
    """Counts what is being done to a machine, or a group of machines, and when the last of it ended."""

    def __init__(self) -> None:
        self._ongoing = 0
        self._ended_at = float("-inf")

    def begin(self) -> None:
        """Something is being done from now on."""
        self._ongoing += 1

    def end(self) -> None:
        """It is over."""
        self._ongoing -= 1
        self._ended_at = time.monotonic()

    @contextmanager
    def during(self) -> Iterator[None]:
        """Something is being done while the context lasts."""
        self.begin()
        try:
            yield
        finally:
            self.end()

    def calm_since(self) -> float:
        """Since when nothing has been done, in monotonic seconds; infinite while something is."""
        return float("inf") if self._ongoing else self._ended_at


class ContactJudge:
    """Tells how far an edge machine is in touch, by what a run has done to it and to the core machines."""

    def __init__(self, bounds: Bounds):
        self.core, self.core_majority = TroubleLog(), TroubleLog()
        self._contact_s = bounds.contact_ms / 1000

    def contact(self, edge: TroubleLog, since: float) -> Contact:
        """How far the machine was in touch from `since` until now, judged by what was done until now."""
        calm_from = since - self._contact_s
        if edge.calm_since() > calm_from or self.core_majority.calm_since() > calm_from - self._contact_s:
            return Contact.OUT_OF_TOUCH
        return Contact.UNSTABLE_CORE if self.core.calm_since() > calm_from else Contact.IN_TOUCH
