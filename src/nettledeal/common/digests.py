"""Digests of key ranges of a map, so that two processes find where their copies differ.

A key belongs to one of `RANGE_COUNT` ranges by its hash. The digest of a range is the exclusive or of the
digests of its entries, and the root that of all ranges: neither depends on the order of entries, and both are
kept up with two hashes a change.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from functools import reduce
from operator import xor

from xxhash import xxh3_64_intdigest

RANGE_COUNT = 256
EMPTY_ROOT = 0
_RANGE_SHIFT = 64 - (RANGE_COUNT - 1).bit_length()
_SEPARATOR = b"\0"


def range_of(key: str) -> int:
    """The range that `key` belongs to, from 0 to `RANGE_COUNT` - 1."""
    return xxh3_64_intdigest(key.encode()) >> _RANGE_SHIFT


def entry_digest(key: str, value: bytes) -> int:
    """A 64-bit digest of one entry."""
    return xxh3_64_intdigest(key.encode() + _SEPARATOR + value)


class RangeDigests:
    """The digests of all ranges of one map. Whoever changes the map has to say what changed."""

    __slots__ = ("ranges", "root")

    def __init__(self, entries: Mapping[str, bytes] | None = None):
        self.ranges = [EMPTY_ROOT] * RANGE_COUNT
        self.root = EMPTY_ROOT
        for key, value in (entries or {}).items():
            self.toggle(key, value)

    def copy(self) -> RangeDigests:
        """An independent copy."""
        twin = RangeDigests.__new__(RangeDigests)
        twin.ranges = list(self.ranges)
        twin.root = self.root
        return twin

    def toggle(self, key: str, value: bytes) -> None:
        """Add an entry that is absent, or take away one that is there."""
        digest = entry_digest(key, value)
        self.ranges[range_of(key)] ^= digest
        self.root ^= digest

    def change(self, key: str, old: bytes | None, new: bytes | None) -> None:
        """Note that the value of `key` went from `old` to `new`; None stands for absence."""
        if old is not None:
            self.toggle(key, old)
        if new is not None:
            self.toggle(key, new)

    def differing(self, other: list[int]) -> list[int]:
        """The ranges in which the map differs from one whose range digests are `other`.

        Raises ValueError if `other` was made with another number of ranges.
        """
        if len(other) != RANGE_COUNT:
            raise ValueError(f"{len(other)} range digests where {RANGE_COUNT} belong")
        return [index for index, digest in enumerate(self.ranges) if digest != other[index]]


def root_of(ranges: Iterable[int]) -> int:
    """The root digest that belongs to a list of range digests."""
    return reduce(xor, ranges, EMPTY_ROOT)


def keys_in_ranges(keys: Iterable[str], ranges: Iterable[int]) -> Iterator[str]:
    """Those of `keys` that belong to one of `ranges`."""
    wanted = frozenset(ranges)
    return (key for key in keys if range_of(key) in wanted)
