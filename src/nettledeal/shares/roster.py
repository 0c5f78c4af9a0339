"""The share roster: the data planes among which shared budgets are divided, stored in the control state.

A name is counted from the time it is added until one lease after its grant was revoked. Every version of the
roster that may still be in use therefore counts all data planes that may spend, so that their sum, on both
sides of a network partition, never exceeds the whole budget.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import msgspec

from nettledeal.distribution.control_source import SHARE_PREFIX

# How long after the last confirmation that its roster is the newest an agent may spend its full share.
LEASE_S = 30.0


class Share(Enum):
    """The state of a data plane's roster entry. A data plane is counted in every state."""

    JOINING = b"j"  # counted; granted once no roster without it is in use
    GRANTED = b"g"
    RETIRING = b"r"  # grant revoked; counted until no roster that grants it is in use


class Roster(msgspec.Struct, frozen=True):
    """One version of the roster. `names` are all counted data planes, sorted."""

    names: tuple[str, ...] = ()
    granted: frozenset[str] = frozenset()

    @property
    def size(self) -> int:
        """The number of data planes that share the budgets."""
        return len(self.names)


def shares_in(entries: Mapping[str, bytes]) -> dict[str, Share]:
    """The roster's entries in the control state; values unknown to this release count as retiring."""
    return {
        key.removeprefix(SHARE_PREFIX): _share(value)
        for key, value in entries.items()
        if key.startswith(SHARE_PREFIX)
    }


def roster_in(entries: Mapping[str, bytes]) -> Roster:
    """The roster of a version of the control state."""
    shares = shares_in(entries)
    granted = frozenset(name for name, share in shares.items() if share is Share.GRANTED)
    return Roster(tuple(sorted(shares)), granted)


def _share(value: bytes) -> Share:
    try:
        return Share(value)
    except ValueError:
        return Share.RETIRING
