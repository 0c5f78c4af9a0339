"""The share roster: the data planes among which shared budgets are divided, kept in the control state.

A name is counted from the moment at which it is entered until a lease after its grant was taken back, so
every version of the roster that may still be in use counts all that may spend: the sum over all of them, on
both sides of a cut, is never more than the whole.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import msgspec

from nettledeal.distribution.control_source import SHARE_PREFIX

# An agent spends its granted part for so long after the roster was last confirmed to be the newest.
LEASE_S = 30.0


class Share(Enum):
    """A data plane's place in the roster. Whatever it is, the data plane is counted."""

    JOINING = b"j"  # counted, to be granted once no roster that lacks it is in use
    GRANTED = b"g"
    RETIRING = b"r"  # granted no more; counted until no roster that grants it is in use


class Roster(msgspec.Struct, frozen=True):
    """One version of the roster. `names` are all that are counted, in order."""

    names: tuple[str, ...] = ()
    granted: frozenset[str] = frozenset()

    @property
    def size(self) -> int:
        """How many share the budgets."""
        return len(self.names)


def shares_in(entries: Mapping[str, bytes]) -> dict[str, Share]:
    """The roster's entries in the control state; those that this release does not know count as retiring."""
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
