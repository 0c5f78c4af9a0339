"""The retry budget: how many additional attempts a process may start without coordination.

The budget of a service applies to all agents together: in any window, attempts after the first of each
request may number up to `ratio` x requests + `slack`. Each agent may spend what its own requests earn, and
its part of the slack according to the share roster (`shares`). Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

import msgspec

from nettledeal.shares.lease import FIRST_WINDOW_FRACTION, ShareLease


class SlackShare(Protocol):
    """Provides an agent's part of the slack."""

    def amount(self, service: str, slack: float, now: float) -> float:
        """Attempts from the slack that this process may start in one window."""
        ...


class BudgetTerms(msgspec.Struct, frozen=True):
    """The parameters of the budget and their safety margins.

    The slack has a larger margin, as processes that have just started or are disconnected also spend from it.
    """

    ratio: float
    slack: float
    window_s: float
    ratio_safety_factor: float = 0.75
    slack_safety_factor: float = 0.65
    # Spent attempts are counted longer and earned ones shorter than the window, to allow for network delay.
    window_margin_s: float = 0.75


class EqualShare:
    """An equal part of the slack for each data-plane member seen recently.

    Used while the core has published no roster (an earlier release, or before the first). A partitioned
    process sees the others leave while they still spend their parts, so the largest member count applies.
    """

    def __init__(self, window_s: float = 30.0):
        self.window_s = window_s
        self._views: deque[tuple[float, int]] = deque()

    def set_members(self, members: int, now: float) -> None:
        """Set the number of data-plane members, including this one."""
        while self._views and self._views[-1][1] <= members:
            self._views.pop()
        self._views.append((now, members))

    def members(self, now: float) -> int:
        """The largest member count within the window; the newest view applies however old it is."""
        while len(self._views) > 1 and self._views[1][0] < now - self.window_s:
            self._views.popleft()
        return max(1, self._views[0][1]) if self._views else 1

    def amount(self, service: str, slack: float, now: float) -> float:
        return slack / self.members(now)


class LeasedShare:
    """The part of the slack granted by the share roster; an equal part while there is no roster."""

    def __init__(self, lease: ShareLease, window_s: float, fallback: EqualShare):
        self.lease = lease
        self.window_s = window_s
        self.fallback = fallback

    def amount(self, service: str, slack: float, now: float) -> float:
        if self.lease.has_roster:
            return self.lease.spendable_amount(slack, now, self.window_s)
        share = FIRST_WINDOW_FRACTION if self.lease.in_first_window(now, self.window_s) else 1.0
        return share * self.fallback.amount(service, slack, now)


class RetryBudget:
    """Decides whether an additional attempt may start."""

    def __init__(self, terms: BudgetTerms, share: SlackShare):
        self.terms = terms
        self.share = share
        self._earned: dict[str, deque[float]] = {}
        self._spent: dict[str, deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """A client's request on a route to `service` was accepted; it earns budget."""
        earned = self._earned.setdefault(service, deque())
        earned.append(now)
        self._drop_before(earned, now - self.terms.window_s + self.terms.window_margin_s)

    def available(self, service: str, now: float) -> float:
        """Attempts that may start now, as a fraction; below 1 none may."""
        earned = self._earned.get(service, deque())
        spent = self._spent.get(service, deque())
        self._drop_before(earned, now - self.terms.window_s + self.terms.window_margin_s)
        self._drop_before(spent, now - self.terms.window_s - self.terms.window_margin_s)
        slack = self.share.amount(service, self.terms.slack * self.terms.slack_safety_factor, now)
        return slack + self.terms.ratio * self.terms.ratio_safety_factor * len(earned) - len(spent)

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one additional attempt (a retry, or a stream resumed at another backend) if available."""
        if self.available(service, now) < 1.0:
            return False
        self._spent.setdefault(service, deque()).append(now)
        return True

    def refund(self, service: str) -> None:
        """Return the last spent attempt, which was never sent to a backend."""
        spent = self._spent.get(service)
        if spent:
            spent.pop()

    @staticmethod
    def _drop_before(times: deque[float], before: float) -> None:
        while times and times[0] < before:
            times.popleft()
