"""What one data plane may spend of a shared budget, by the newest roster that it holds and how old that is.

A process in its first window, and one out of touch with the primary, falls from its equal part to a small
share of it. The margin of each budget bears these shares beside the parts of those in touch: once for all
that are out of touch, and for all processes killed at one time, of retries twice in one window. Times are
seconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable

from nettledeal.shares.roster import LEASE_S, Roster

# Of an equal part, in a process's first window: an earlier life may have spent its part.
STARTING_SHARE = 0.156
# Of an equal part, out of touch: those in touch may divide the whole anew.
ISOLATED_SHARE = 0.156


class ShareLease:
    """This process's place in the roster. `age_s` tells how long ago the roster was confirmed, if ever."""

    def __init__(self, own_name: str, started_at: float):
        self.own_name = own_name
        self.started_at = started_at
        self.age_s: Callable[[], float | None] = lambda: None
        self.roster = Roster()

    def use(self, roster: Roster) -> None:
        """Take a newer version of the roster."""
        self.roster = roster

    @property
    def known(self) -> bool:
        """Whether a roster has ever been made; a core of an earlier release makes none."""
        return self.roster.size > 0

    @property
    def in_touch(self) -> bool:
        """Whether the roster was confirmed within the lease."""
        age_s = self.age_s()
        return age_s is not None and age_s <= LEASE_S

    def starting(self, now: float, window_s: float) -> bool:
        """Whether this process is in its first window of a budget that is counted over `window_s`."""
        return now < self.started_at + window_s

    def share(self, now: float, window_s: float) -> float:
        """How much of an equal part this process may spend of a budget that is counted over `window_s`."""
        if self.own_name not in self.roster.granted:
            return 0.0
        if self.starting(now, window_s):
            return STARTING_SHARE
        return 1.0 if self.in_touch else ISOLATED_SHARE

    def part(self, budget: float, now: float, window_s: float) -> float:
        """What this process may spend of a budget."""
        return budget * self.share(now, window_s) / max(1, self.roster.size)
