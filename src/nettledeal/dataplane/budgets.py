"""The retry budget: how many further attempts a process may start without asking anyone.

The budget of a service holds for all agents together: in any window, attempts past the first of each request
may come to `ratio` x requests + `slack`. Every agent may spend what its own requests earn, and its part of
the slack by the share roster (`shares`). Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

import msgspec

from nettledeal.shares.lease import FIRST_WINDOW_FRACTION, ShareLease


class SlackShare(Protocol):
    """Where an agent's part of the slack comes from."""

    def amount(self, service: str, slack: float, now: float) -> float:
        """Attempts of the slack that this process may start in one window."""
        ...


class BudgetTerms(msgspec.Struct, frozen=True):
    """The figures of the budget and the safety kept from them.

    Of the slack more is kept back: out of it processes that have just started or are out of touch spend.
    """

    ratio: float
    slack: float
    window_s: float
    margin: float = 0.75
    slack_margin: float = 0.65
    # Spent attempts are remembered longer and earned ones shorter than the window: they travel.
    window_margin_s: float = 0.75


class EqualShare:
    """An equal part of the slack for each data-plane member seen of late.

    For a core that makes no roster: one of an earlier release, or before the first. One that is cut off sees
    the others go, while they still spend their parts: so the most members seen count.
    """

    def __init__(self, memory_s: float = 30.0):
        self.memory_s = memory_s
        self._views: deque[tuple[float, int]] = deque()

    def set_members(self, members: int, now: float) -> None:
        """The number of data-plane members, this one included."""
        while self._views and self._views[-1][1] <= members:
            self._views.pop()
        self._views.append((now, members))

    def members(self, now: float) -> int:
        """The most members seen within the memory; the newest view counts however old it is."""
        while len(self._views) > 1 and self._views[1][0] < now - self.memory_s:
            self._views.popleft()
        return max(1, self._views[0][1]) if self._views else 1

    def amount(self, service: str, slack: float, now: float) -> float:
        return slack / self.members(now)


class LeasedShare:
    """The part of the slack that the share roster grants; an equal one as long as there is no roster."""

    def __init__(self, lease: ShareLease, window_s: float, without_roster: EqualShare):
        self.lease = lease
        self.window_s = window_s
        self.without_roster = without_roster

    def amount(self, service: str, slack: float, now: float) -> float:
        if self.lease.has_roster:
            return self.lease.spendable_amount(slack, now, self.window_s)
        share = FIRST_WINDOW_FRACTION if self.lease.in_first_window(now, self.window_s) else 1.0
        return share * self.without_roster.amount(service, slack, now)


class RetryBudget:
    """Decides whether one more attempt may start."""

    def __init__(self, terms: BudgetTerms, share: SlackShare):
        self.terms = terms
        self.share = share
        self._earned: dict[str, deque[float]] = {}
        self._spent: dict[str, deque[float]] = {}

    def earn(self, service: str, now: float) -> None:
        """A client's request on a route to `service` was taken."""
        earned = self._earned.setdefault(service, deque())
        earned.append(now)
        self._forget(earned, now - self.terms.window_s + self.terms.window_margin_s)

    def available(self, service: str, now: float) -> float:
        """Attempts that may start now, as a fraction; under 1 there is none."""
        earned = self._earned.get(service, deque())
        spent = self._spent.get(service, deque())
        self._forget(earned, now - self.terms.window_s + self.terms.window_margin_s)
        self._forget(spent, now - self.terms.window_s - self.terms.window_margin_s)
        slack = self.share.amount(service, self.terms.slack * self.terms.slack_margin, now)
        return slack + self.terms.ratio * self.terms.margin * len(earned) - len(spent)

    def try_spend(self, service: str, now: float) -> bool:
        """Take one further attempt (a retry, or a stream resumed at another backend) if the budget has it."""
        if self.available(service, now) < 1.0:
            return False
        self._spent.setdefault(service, deque()).append(now)
        return True

    def give_back(self, service: str) -> None:
        """The attempt taken last was never sent to a backend."""
        spent = self._spent.get(service)
        if spent:
            spent.pop()

    @staticmethod
    def _forget(times: deque[float], before: float) -> None:
        while times and times[0] < before:
            times.popleft()
