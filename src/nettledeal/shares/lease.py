"""How much of a shared budget one data plane may spend, given its newest roster and that roster's age.

A process in its first window, or without contact to the primary, may spend only a small fraction of its equal
share. Each budget's margin covers these fractions on top of the full shares of the others: once for all
processes without contact, and for all processes killed at the same time; for retries twice in one window.
Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable

from nettledeal.shares.roster import LEASE_S, Roster

# Fraction of the equal share in a process's first window: its previous incarnation may have spent its share.
FIRST_WINDOW_FRACTION = 0.156
# Fraction of the equal share without contact to the primary: the others may be dividing the whole budget.
ISOLATED_FRACTION = 0.156


class ShareLease:
    """This process's entry in the roster. `age_s` returns how long ago the roster was confirmed, if ever."""

    def __init__(self, own_name: str, started_at: float):
        self.own_name = own_name
        self.started_at = started_at
        self.age_s: Callable[[], float | None] = lambda: None
        self.roster = Roster()

    def update_roster(self, roster: Roster) -> None:
        """Replace the roster by a newer version."""
        self.roster = roster

    @property
    def has_roster(self) -> bool:
        """Whether a roster exists; core machines of earlier releases create none."""
        return self.roster.size > 0

    @property
    def is_confirmed(self) -> bool:
        """Whether the roster was confirmed within the lease."""
        age_s = self.age_s()
        return age_s is not None and age_s <= LEASE_S

    def in_first_window(self, now: float, window_s: float) -> bool:
        """Whether this process is still in its first window of a budget that is counted over `window_s`."""
        return now < self.started_at + window_s

    def spendable_fraction(self, now: float, window_s: float) -> float:
        """The fraction of its equal share that this process may spend of a budget counted over `window_s`."""
        if self.own_name not in self.roster.granted:
            return 0.0
        if self.in_first_window(now, window_s):
            return FIRST_WINDOW_FRACTION
        return 1.0 if self.is_confirmed else ISOLATED_FRACTION

    def spendable_amount(self, budget: float, now: float, window_s: float) -> float:
        """The amount of a budget that this process may spend."""
        return budget * self.spendable_fraction(now, window_s) / max(1, self.roster.size)
