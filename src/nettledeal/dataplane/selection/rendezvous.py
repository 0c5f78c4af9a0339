"""Rendezvous (highest random weight) hashing: all agents compute the same order of backends for a key."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_score(key: str, member: str) -> int:
    """The score of `member` for `key`; the same in every process."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """The members by descending score for `key`."""
    return sorted(members, key=lambda member: (rendezvous_score(key, member), member), reverse=True)
