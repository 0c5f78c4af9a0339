"""Shares of what a cold backend may get, divided between agents without a round trip.

All agents together may send `per_s x overage + slack` requests within one second. Each agent takes an integer
part by its rank among those that the share roster counts, or, as long as there is no roster, among the
data-plane members that it has seen of late; when there are more agents than requests, the agents ranked lower
for this backend send none. Ranks differ by backend.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from nettledeal.dataplane.selection.affinity import ordered
from nettledeal.dataplane.selection.model import ServiceProfile, Tuning
from nettledeal.shares.lease import ShareLease

WINDOW_S = 1.0
# A request counted at the edge of the window may arrive a little later than it was sent.
WINDOW_MARGIN_S = 0.15
MOST_REMEMBERED = 1024


class MembersSeen:
    """The data-plane members seen of late, so that a view cut short does not raise the shares."""

    def __init__(self, tuning: Tuning):
        self.tuning = tuning
        self.own_name = ""
        self.joined_at: float | None = None
        self.seen_at: dict[str, float] = {}
        self.names: tuple[str, ...] = ()

    def set(self, names: Iterable[str], own_name: str, now: float) -> None:
        """Take a new view of the members."""
        self.own_name = own_name
        if self.joined_at is None:
            self.joined_at = now
        for name in (*names, own_name):
            self.seen_at[name] = now
        oldest = now - self.tuning.members_memory_s
        self.seen_at = {name: at for name, at in self.seen_at.items() if at >= oldest}
        self.names = tuple(sorted(self.seen_at))

    def settled(self, now: float) -> bool:
        """Whether this process has been a member for long enough to know the others."""
        return self.joined_at is not None and now - self.joined_at >= self.tuning.settle_s


class WarmupShares:
    """How many requests this agent may still send to each cold backend within the sliding second."""

    def __init__(self, tuning: Tuning, members: MembersSeen):
        self.tuning = tuning
        self.members = members
        self.lease: ShareLease | None = None
        self._sent: dict[str, deque[float]] = {}
        self._shares: dict[tuple[str, int, tuple[str, ...]], int] = {}

    def share(self, backend_id: str, service: ServiceProfile, now: float) -> int:
        """Requests a second that this agent may send to the backend."""
        bounds = self.tuning.warmup
        bound = (service.warmup_per_s * bounds.overage + bounds.slack) * self.tuning.warmup_margin
        if self.lease is not None and self.lease.has_roster:
            share = self.lease.spendable_fraction(now, WINDOW_S + WINDOW_MARGIN_S)
            if not share:
                return 0
            return self._part(backend_id, int(bound * share), self.lease.roster.names, self.lease.own_name)
        if not self.members.own_name:
            return 0
        part = self._part(backend_id, int(bound), self.members.names, self.members.own_name)
        return part if self.members.settled(now) else min(part, 1)

    def _part(self, backend_id: str, requests: int, names: tuple[str, ...], own_name: str) -> int:
        """The part of `own_name`, remembered while names and requests are the same."""
        key = (backend_id, requests, names)
        if key not in self._shares:
            if len(self._shares) > MOST_REMEMBERED:
                self._shares.clear()
            equal, rest = divmod(requests, len(names))
            position = ordered(backend_id, names).index(own_name)
            self._shares[key] = equal + (1 if position < rest else 0)
        return self._shares[key]

    def allows(self, backend_id: str, service: ServiceProfile, now: float) -> bool:
        """Whether one more request may go to this cold backend now."""
        sent = self._sent.get(backend_id)
        if sent is None:
            return self.share(backend_id, service, now) > 0
        while sent and sent[0] <= now - WINDOW_S - WINDOW_MARGIN_S:
            sent.popleft()
        return len(sent) < self.share(backend_id, service, now)

    def sent(self, backend_id: str, now: float) -> None:
        """A request goes to the backend; counted for warm ones as well, since one may turn cold."""
        times = self._sent.setdefault(backend_id, deque())
        times.append(now)
        while times[0] <= now - WINDOW_S - WINDOW_MARGIN_S:
            times.popleft()

    def forget(self, backend_ids: Iterable[str]) -> None:
        """Drop backends that are gone."""
        for backend_id in backend_ids:
            self._sent.pop(backend_id, None)
