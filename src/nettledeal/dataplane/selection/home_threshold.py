"""Adaptive queue threshold up to which requests stay in the home region."""

from __future__ import annotations

from nettledeal.dataplane.selection.model import Tuning

# One late response or refusal lowers the threshold as much as twenty timely responses raise it.
DECREASE_FACTOR = 0.90
INCREASE_FACTOR = 1.005


class HomeThreshold:
    """Mean queue of the home backends, in requests, up to which work stays in the home region."""

    def __init__(self, tuning: Tuning):
        self.tuning = tuning
        self.value = tuning.initial_home_threshold

    def decrease(self) -> None:
        """A home backend responded late or refused."""
        self.value = max(self.tuning.min_home_threshold, self.value * DECREASE_FACTOR)

    def increase(self) -> None:
        """A home backend responded in time."""
        self.value = min(self.tuning.max_home_threshold, self.value * INCREASE_FACTOR)
