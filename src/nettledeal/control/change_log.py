"""The latest changes of a primary, kept for replicas that are a little behind."""

from __future__ import annotations

from collections import deque

import msgspec

from nettledeal.control.state import Change

MAX_CHANGES = 4096
MAX_BYTES = 4 << 20
# What an entry costs beyond its key and value.
ENTRY_BYTES = 64


class LoggedChange(msgspec.Struct, frozen=True):
    """The changes of one sequence; `end` counts the bytes of all entries up to and with it."""

    sequence: int
    changes: tuple[Change, ...]
    end: int


class ChangeLog:
    """Changes in order, without gaps; the oldest go once there are too many or too large ones."""

    def __init__(self, max_changes: int = MAX_CHANGES, max_bytes: int = MAX_BYTES):
        self._max_changes, self._max_bytes = max_changes, max_bytes
        self._entries: deque[LoggedChange] = deque()
        self._begin = 0

    def append(self, sequence: int, changes: tuple[Change, ...]) -> None:
        """Keep the changes that follow the last ones."""
        end = (self._entries[-1].end if self._entries else self._begin) + _size(changes)
        self._entries.append(LoggedChange(sequence, changes, end))
        while len(self._entries) > self._max_changes or self._kept_bytes > self._max_bytes:
            self._begin = self._entries.popleft().end

    def get(self, sequence: int) -> tuple[Change, ...] | None:
        """The changes of a sequence, None where they are not kept."""
        entry = self._entry(sequence)
        return None if entry is None else entry.changes

    def bytes_between(self, after: int, until: int) -> int:
        """How large the kept changes after one sequence are, up to and with another."""
        last, first = self._entry(until), self._entry(after)
        if last is None:
            return 0
        return last.end - (self._begin if first is None else first.end)

    @property
    def _kept_bytes(self) -> int:
        return self._entries[-1].end - self._begin if self._entries else 0

    def _entry(self, sequence: int) -> LoggedChange | None:
        if not self._entries:
            return None
        position = sequence - self._entries[0].sequence
        return self._entries[position] if 0 <= position < len(self._entries) else None


def _size(changes: tuple[Change, ...]) -> int:
    return sum(ENTRY_BYTES + len(change.key) + len(change.value or b"") for change in changes)
