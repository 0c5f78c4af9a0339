"""Divides the request limit of a cold backend between agents without a round trip.

All agents together may send `warmup_per_s x overage + slack` requests within one second. Each agent takes an
integer part by its rank among the agents in the share roster or, while there is no roster, among the
data-plane members seen recently. If there are more agents than requests, the agents ranked lower for this
backend send none. Ranks differ by backend.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from nettledeal.dataplane.selection.model import ServiceProfile, Tuning
from nettledeal.dataplane.selection.rendezvous import rendezvous_order
from nettledeal.shares.lease import ShareLease

WINDOW_S = 1.0
# A request may arrive this much later than it was sent and then fall into a later window.
WINDOW_MARGIN_S = 0.15
MAX_CACHED_SHARES = 1024


class RecentMembers:
    """Data-plane members seen recently, so that a temporarily incomplete view does not raise the shares."""

    def __init__(self, tuning: Tuning):
        self.tuning = tuning
        self.own_name = ""
        self.joined_at: float | None = None
        self.seen_at: dict[str, float] = {}
        self.names: tuple[str, ...] = ()

    def update(self, names: Iterable[str], own_name: str, now: float) -> None:
        """Apply a new view of the members."""
        self.own_name = own_name
        if self.joined_at is None:
            self.joined_at = now
        for name in (*names, own_name):
            self.seen_at[name] = now
        oldest = now - self.tuning.members_window_s
        self.seen_at = {name: at for name, at in self.seen_at.items() if at >= oldest}
        self.names = tuple(sorted(self.seen_at))

    def settled(self, now: float) -> bool:
        """Whether this process has been a member long enough to know the others."""
        return self.joined_at is not None and now - self.joined_at >= self.tuning.members_settle_s


class WarmupShares:
    """How many requests this agent may send to each cold backend within a sliding second."""

    def __init__(self, tuning: Tuning, members: RecentMembers):
        self.tuning = tuning
        self.members = members
        self.lease: ShareLease | None = None
        self._sent_at: dict[str, deque[float]] = {}
        self._cached_shares: dict[tuple[str, int, tuple[str, ...]], int] = {}

    def share(self, backend_id: str, service: ServiceProfile, now: float) -> int:
        """Requests a second that this agent may send to the backend."""
        bounds = self.tuning.warmup
        limit = (service.warmup_per_s * bounds.overage + bounds.slack) * self.tuning.warmup_safety_factor
        if self.lease is not None and self.lease.has_roster:
            share = self.lease.spendable_fraction(now, WINDOW_S + WINDOW_MARGIN_S)
            if not share:
                return 0
            return self._integer_share(
                backend_id, int(limit * share), self.lease.roster.names, self.lease.own_name
            )
        if not self.members.own_name:
            return 0
        own_share = self._integer_share(backend_id, int(limit), self.members.names, self.members.own_name)
        return own_share if self.members.settled(now) else min(own_share, 1)

    def _integer_share(self, backend_id: str, requests: int, names: tuple[str, ...], own_name: str) -> int:
        """The part of `own_name` in `requests`, cached while names and requests are the same."""
        key = (backend_id, requests, names)
        if key not in self._cached_shares:
            if len(self._cached_shares) > MAX_CACHED_SHARES:
                self._cached_shares.clear()
            base_share, remainder = divmod(requests, len(names))
            rank = rendezvous_order(backend_id, names).index(own_name)
            self._cached_shares[key] = base_share + (1 if rank < remainder else 0)
        return self._cached_shares[key]

    def allows(self, backend_id: str, service: ServiceProfile, now: float) -> bool:
        """Whether one more request may go to this cold backend now."""
        sent_at = self._sent_at.get(backend_id)
        if sent_at is None:
            return self.share(backend_id, service, now) > 0
        while sent_at and sent_at[0] <= now - WINDOW_S - WINDOW_MARGIN_S:
            sent_at.popleft()
        return len(sent_at) < self.share(backend_id, service, now)

    def record_sent(self, backend_id: str, now: float) -> None:
        """Count a request sent to the backend, also to a warm one, since it may become cold again."""
        sent_at = self._sent_at.setdefault(backend_id, deque())
        sent_at.append(now)
        while sent_at[0] <= now - WINDOW_S - WINDOW_MARGIN_S:
            sent_at.popleft()

    def forget(self, backend_ids: Iterable[str]) -> None:
        """Drop backends that were removed from the catalogue."""
        for backend_id in backend_ids:
            self._sent_at.pop(backend_id, None)
