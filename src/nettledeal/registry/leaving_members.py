"""Limits how long leaving members are still returned to clients."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from nettledeal.membership.member_info import MemberInfo
from nettledeal.registry.resolve_responses import SHORT_TTL_S

# Clients use a response for up to this many times its TTL.
MAX_CLIENT_CACHE_TTLS = 3
# Time for the leave to reach the registry and for a request to reach the member.
PROPAGATION_MARGIN_S = 0.3


class LeavingMembers:
    """Tracks when members began to leave, in monotonic seconds.

    A member listed for too long would receive requests shortly before it stops and have to abort them.
    """

    def __init__(self, arrival_window_s: float):
        """`arrival_window_s`: how long a leaving member still expects new clients."""
        self._max_listing_s = max(
            0.0, arrival_window_s - MAX_CLIENT_CACHE_TTLS * SHORT_TTL_S - PROPAGATION_MARGIN_S
        )
        self._leaving_since_s: dict[tuple[str, int], float] = {}

    def update(self, members: Iterable[MemberInfo], now_s: float) -> None:
        """Updates the leaving members after a change of the membership view."""
        leaving = [(member.name, member.incarnation) for member in members if member.leaving]
        self._leaving_since_s = {key: self._leaving_since_s.get(key, now_s) for key in leaving}

    def without_expired(self, members: Iterable[MemberInfo], now_s: float) -> Iterator[MemberInfo]:
        """Returns the members without those that have been leaving for too long."""
        return (member for member in members if not member.leaving or self._may_be_listed(member, now_s))

    def _may_be_listed(self, member: MemberInfo, now_s: float) -> bool:
        return (
            now_s - self._leaving_since_s.get((member.name, member.incarnation), now_s) <= self._max_listing_s
        )
