"""The primary's most recent changes, kept in memory for replicas that lag slightly."""

from __future__ import annotations

from collections import deque

import msgspec

from nettledeal.control.state import Change

MAX_CHANGES = 4096
MAX_BYTES = 4 << 20
# Estimated memory per entry on top of its key and value.
ENTRY_OVERHEAD_BYTES = 64


class LoggedChange(msgspec.Struct, frozen=True):
    """The changes of one sequence; `end_bytes` is the running size of all entries up to and including it."""

    sequence: int
    changes: tuple[Change, ...]
    end_bytes: int


class ChangeLog:
    """Changes in sequence order without gaps; the oldest are evicted by count or total size."""

    def __init__(self, max_changes: int = MAX_CHANGES, max_bytes: int = MAX_BYTES):
        self._max_changes, self._max_bytes = max_changes, max_bytes
        self._entries: deque[LoggedChange] = deque()
        self._dropped_bytes = 0

    def append(self, sequence: int, changes: tuple[Change, ...]) -> None:
        """Append the changes of the next sequence."""
        end = (self._entries[-1].end_bytes if self._entries else self._dropped_bytes) + _size(changes)
        self._entries.append(LoggedChange(sequence, changes, end))
        while len(self._entries) > self._max_changes or self._kept_bytes > self._max_bytes:
            self._dropped_bytes = self._entries.popleft().end_bytes

    def get(self, sequence: int) -> tuple[Change, ...] | None:
        """The changes of a sequence, or None if they have been evicted."""
        entry = self._entry(sequence)
        return None if entry is None else entry.changes

    def bytes_between(self, after: int, until: int) -> int:
        """Size of the kept changes in the range (`after`, `until`]."""
        last, first = self._entry(until), self._entry(after)
        if last is None:
            return 0
        return last.end_bytes - (self._dropped_bytes if first is None else first.end_bytes)

    @property
    def _kept_bytes(self) -> int:
        return self._entries[-1].end_bytes - self._dropped_bytes if self._entries else 0

    def _entry(self, sequence: int) -> LoggedChange | None:
        if not self._entries:
            return None
        position = sequence - self._entries[0].sequence
        return self._entries[position] if 0 <= position < len(self._entries) else None


def _size(changes: tuple[Change, ...]) -> int:
    return sum(ENTRY_OVERHEAD_BYTES + len(change.key) + len(change.value or b"") for change in changes)
