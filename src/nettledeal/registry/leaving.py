"""For how long members that are leaving may still be told to clients."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from nettledeal.membership.node import MemberInfo
from nettledeal.registry.answers import SHORT_TTL_S

# Clients keep an answer for up to so many of its lifetimes.
KEPT_LIFETIMES = 3
# For the news of a leave to come here, and a request to go there.
MARGIN_S = 0.3


class LeavingMembers:
    """Since when members are leaving, in seconds of a steady clock.

    Told for too long, one would get requests shortly before its end, and have to break them off.
    """

    def __init__(self, arrivals_s: float):
        """`arrivals_s`: a member expects new clients for so long after it began to leave."""
        self._told_s = max(0.0, arrivals_s - KEPT_LIFETIMES * SHORT_TTL_S - MARGIN_S)
        self._since: dict[tuple[str, int], float] = {}

    def note(self, members: Iterable[MemberInfo], now_s: float) -> None:
        """The view has changed."""
        leaving = [(member.name, member.incarnation) for member in members if member.leaving]
        self._since = {life: self._since.get(life, now_s) for life in leaving}

    def without_late(self, members: Iterable[MemberInfo], now_s: float) -> Iterator[MemberInfo]:
        """The members, less those that have been leaving for too long to be told."""
        return (member for member in members if not member.leaving or self._is_early(member, now_s))

    def _is_early(self, member: MemberInfo, now_s: float) -> bool:
        return now_s - self._since.get((member.name, member.incarnation), now_s) <= self._told_s
