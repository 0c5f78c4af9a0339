"""Keeps the share roster in step with the members: the primary's part, without input or output.

Nothing is known of the time before this process became the primary, so all that is found then counts as
having changed just now. Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from nettledeal.control.state import ShareChange
from nettledeal.shares.roster import LEASE_S, Share

# A grant runs out on clocks that may be slower, by a confirmation that was a while on its way.
EXPIRED_AFTER_S = 1.02 * LEASE_S + 3.0
# A member that is silent, or has said that it leaves, keeps its grant for so long: most come back.
KEPT_S = 30.0
# The first roster of a cluster is entered once no member has come for a while, or after the longest wait.
QUIET_S = 1.5
LONGEST_WAIT_S = 6.0


class RosterKeeper:
    """Works out what is to change. `epoch` tells one time as the primary from another."""

    def __init__(self) -> None:
        self._epoch: int | None = None
        self._began_at = 0.0
        self._members: frozenset[str] = frozenset()
        self._members_since = 0.0
        self._seen_at: dict[str, float] = {}
        self._since: dict[str, tuple[Share, float]] = {}

    def not_primary(self) -> None:
        """This process is not the primary: whatever it knew may change."""
        self._epoch = None

    def review(
        self, now: float, epoch: int, members: Collection[str], shares: Mapping[str, Share]
    ) -> tuple[ShareChange, ...]:
        """What is to change of the committed `shares` while `members` live and stay."""
        if epoch != self._epoch:
            self._begin(now, epoch, shares)
        self._observe(now, frozenset(members), shares)
        if not shares:
            return self._first(now)
        changes = [self._change(now, name, share) for name, share in sorted(shares.items())]
        entered = [_entry(name, None, Share.JOINING) for name in sorted(self._members - shares.keys())]
        return tuple(change for change in [*changes, *entered] if change is not None)

    def _begin(self, now: float, epoch: int, shares: Mapping[str, Share]) -> None:
        self._epoch = epoch
        self._began_at = now
        self._seen_at = dict.fromkeys(shares, now)
        self._since = {}

    def _observe(self, now: float, members: frozenset[str], shares: Mapping[str, Share]) -> None:
        if members != self._members:
            self._members, self._members_since = members, now
        for name in members:
            self._seen_at[name] = now
        self._since = {
            name: self._since[name] if name in self._since and self._since[name][0] is share else (share, now)
            for name, share in shares.items()
        }
        self._seen_at = {name: at for name, at in self._seen_at.items() if name in shares or name in members}

    def _first(self, now: float) -> tuple[ShareChange, ...]:
        """No roster has ever been in use, or all have run out: whoever is there is granted at once."""
        quiet = now - self._members_since >= QUIET_S
        if not quiet and now - self._began_at < LONGEST_WAIT_S:
            return ()
        return tuple(_entry(name, None, Share.GRANTED) for name in sorted(self._members))

    def _change(self, now: float, name: str, share: Share) -> ShareChange | None:
        alive = name in self._members
        expired = now - self._since[name][1] >= EXPIRED_AFTER_S
        match share:
            case Share.JOINING if not alive:
                return _entry(name, share, None)
            case Share.JOINING if expired:
                return _entry(name, share, Share.GRANTED)
            case Share.GRANTED if not alive and now - self._seen_at.get(name, now) >= KEPT_S:
                return _entry(name, share, Share.RETIRING)
            case Share.RETIRING if alive:
                return _entry(name, share, Share.GRANTED)
            case Share.RETIRING if expired:
                return _entry(name, share, None)
        return None


def _entry(name: str, before: Share | None, after: Share | None) -> ShareChange:
    return ShareChange(name, before and before.value, after and after.value)
