"""Consistent hashing: members own points on a ring, and a key maps to the members that follow its hash."""

from bisect import bisect_left
from collections.abc import Iterable
from hashlib import blake2b
from typing import Generic, TypeVar

Member = TypeVar("Member")


def stable_hash(text: str) -> int:
    """A 64-bit hash that is the same in every process, unlike Python's `hash`."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())


def ring_points(name: str, count: int) -> list[int]:
    """The points of the member with that name on the ring."""
    return [stable_hash(f"{name} {n}") for n in range(count)]


class HashRing(Generic[Member]):
    def __init__(self, points: Iterable[tuple[int, Member]] = ()):
        self._points = sorted(points, key=lambda entry: entry[0])

    def following(self, key: str, max_steps: int) -> list[Member]:
        """The members that follow the key on the ring, each once, within at most `max_steps` points."""
        start = bisect_left(self._points, stable_hash(key), key=lambda entry: entry[0])
        steps = range(start, start + min(len(self._points), max_steps))
        return list(dict.fromkeys(self._points[n % len(self._points)][1] for n in steps))
