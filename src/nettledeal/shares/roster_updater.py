"""Derives changes of the share roster from the live members. Runs on the primary; sans-I/O.

Nothing is known about the time before this process became the primary, so all entries found then count as
changed at that moment. Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from nettledeal.control.state import ShareChange
from nettledeal.shares.roster import LEASE_S, Share

# After this time a grant has expired everywhere: clocks may run slower, and confirmations may arrive late.
GRANT_EXPIRED_AFTER_S = 1.02 * LEASE_S + 3.0
# How long a silent or leaving member keeps its grant; most come back.
SILENT_MEMBER_KEPT_S = 30.0
# A cluster's first roster is written once membership has been stable this long, or after the maximum wait.
MEMBERSHIP_STABLE_S = 1.5
MAX_FIRST_ROSTER_WAIT_S = 6.0


class RosterUpdater:
    """Computes roster changes. `epoch` distinguishes successive terms as the primary."""

    def __init__(self) -> None:
        self._epoch: int | None = None
        self._primary_since = 0.0
        self._members: frozenset[str] = frozenset()
        self._members_since = 0.0
        self._last_seen_at: dict[str, float] = {}
        self._state_since: dict[str, tuple[Share, float]] = {}

    def not_primary(self) -> None:
        """Forget the current term: without being the primary, what is known here may become outdated."""
        self._epoch = None

    def review(
        self, now: float, epoch: int, members: Collection[str], shares: Mapping[str, Share]
    ) -> tuple[ShareChange, ...]:
        """The changes to the committed `shares`, given the `members` that are live and not leaving."""
        if epoch != self._epoch:
            self._reset(now, epoch, shares)
        self._record_members(now, frozenset(members), shares)
        if not shares:
            return self._first_roster_changes(now)
        changes = [self._change_for(now, name, share) for name, share in sorted(shares.items())]
        added = [_share_change(name, None, Share.JOINING) for name in sorted(self._members - shares.keys())]
        return tuple(change for change in [*changes, *added] if change is not None)

    def _reset(self, now: float, epoch: int, shares: Mapping[str, Share]) -> None:
        self._epoch = epoch
        self._primary_since = now
        self._last_seen_at = dict.fromkeys(shares, now)
        self._state_since = {}

    def _record_members(self, now: float, members: frozenset[str], shares: Mapping[str, Share]) -> None:
        if members != self._members:
            self._members, self._members_since = members, now
        for name in members:
            self._last_seen_at[name] = now
        self._state_since = {
            name: self._state_since[name]
            if name in self._state_since and self._state_since[name][0] is share
            else (share, now)
            for name, share in shares.items()
        }
        self._last_seen_at = {
            name: at for name, at in self._last_seen_at.items() if name in shares or name in members
        }

    def _first_roster_changes(self, now: float) -> tuple[ShareChange, ...]:
        """Grant all current members at once; no roster has been in use yet, or all of them have expired."""
        stable = now - self._members_since >= MEMBERSHIP_STABLE_S
        if not stable and now - self._primary_since < MAX_FIRST_ROSTER_WAIT_S:
            return ()
        return tuple(_share_change(name, None, Share.GRANTED) for name in sorted(self._members))

    def _change_for(self, now: float, name: str, share: Share) -> ShareChange | None:
        alive = name in self._members
        expired = now - self._state_since[name][1] >= GRANT_EXPIRED_AFTER_S
        match share:
            case Share.JOINING if not alive:
                return _share_change(name, share, None)
            case Share.JOINING if expired:
                return _share_change(name, share, Share.GRANTED)
            case Share.GRANTED if (
                not alive and now - self._last_seen_at.get(name, now) >= SILENT_MEMBER_KEPT_S
            ):
                return _share_change(name, share, Share.RETIRING)
            case Share.RETIRING if alive:
                return _share_change(name, share, Share.GRANTED)
            case Share.RETIRING if expired:
                return _share_change(name, share, None)
        return None


def _share_change(name: str, before: Share | None, after: Share | None) -> ShareChange:
    return ShareChange(name, before and before.value, after and after.value)
