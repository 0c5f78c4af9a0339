"""Tracks the regions that have lost all members that answer clients' `/resolve` requests."""

from __future__ import annotations

from collections.abc import Iterable

from nettledeal.membership.member_info import DIRECTORY_ROLES, MemberInfo


class RegionDirectories:
    """Regions that have ever had a directory, and those that have one now."""

    def __init__(self) -> None:
        self._regions_seen: set[str] = set()
        self._regions_available: set[str] = set()

    def update(self, members: Iterable[MemberInfo]) -> None:
        """Updates the regions after a change of the membership view."""
        self._regions_available = {
            member.region for member in members if member.role in DIRECTORY_ROLES and not member.suspected
        }
        self._regions_seen |= self._regions_available

    def has_lost(self, region: str) -> bool:
        """Whether the region's directories are all gone, so that each client look-up first waits for them."""
        return region in self._regions_seen and region not in self._regions_available
