"""Regions that have lost the members which answer clients that ask where to go."""

from __future__ import annotations

from collections.abc import Iterable

from nettledeal.membership.node import DIRECTORY_ROLES, MemberInfo


class Directories:
    """Which regions had a directory, and which of them have one now."""

    def __init__(self) -> None:
        self._had: set[str] = set()
        self._have: set[str] = set()

    def note(self, members: Iterable[MemberInfo]) -> None:
        """The view has changed."""
        self._have = {
            member.region for member in members if member.role in DIRECTORY_ROLES and not member.suspected
        }
        self._had |= self._have

    def lost(self, region: str) -> bool:
        """Whether the region's clients first wait for directories that are gone, at each look-up."""
        return region in self._had and region not in self._have
