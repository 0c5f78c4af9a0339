"""A replica's copy of the control state: the latest version, the committed one and the synced one."""

from __future__ import annotations

from collections import deque

import xxhash

from nettledeal.control.effects import DurableState, Outbox, SaveChanges, SaveRanges
from nettledeal.control.state import Change, ControlState

RANGES = 16


def range_of(key: str) -> int:
    """The range that a key belongs to."""
    return xxhash.xxh3_64_intdigest(key.encode()) % RANGES


def range_digests(state: ControlState) -> tuple[int, ...]:
    """A digest of each range's entries."""
    hashes = [xxhash.xxh3_64() for _ in range(RANGES)]
    for key in sorted(state.entries):
        value = state.entries[key]
        encoded = key.encode()
        hashed = hashes[range_of(key)]
        hashed.update(len(encoded).to_bytes(4, "big") + encoded + len(value).to_bytes(4, "big"))
        hashed.update(value)
    return tuple(hashed.intdigest() for hashed in hashes)


def range_entries(state: ControlState, ranges: tuple[int, ...]) -> tuple[Change, ...]:
    """The entries of some ranges."""
    return tuple(Change(key, value) for key, value in state.entries.items() if range_of(key) in ranges)


class ReplicatedState:
    """The versions of the state from the committed one to the latest.

    `epoch` is the epoch whose primary produced the latest version. After a start nothing counts as committed
    until the primary says so, since the last changes on the disk may never have been committed.
    """

    def __init__(self, durable: DurableState, outbox: Outbox):
        self.epoch = durable.epoch
        self.latest = durable.state
        self.committed: ControlState | None = None
        self.durable_epoch = durable.epoch
        self.durable_sequence = durable.state.sequence
        self._uncommitted: deque[ControlState] = deque()
        self._syncing: deque[tuple[int, int, int]] = deque()
        self._outbox = outbox

    def append(self, epoch: int, sequence: int, changes: tuple[Change, ...]) -> None:
        """Apply one change of the epoch's primary."""
        self._advance(epoch, self.latest.after(sequence, changes))
        self._track_write(self._outbox.write(SaveChanges(epoch, sequence, changes)))

    def adopt(self, epoch: int, sequence: int) -> None:
        """Mark the latest version as equal to that of the epoch's primary at `sequence` (digests matched)."""
        self.append(epoch, sequence, ())

    def replace_ranges(
        self, epoch: int, sequence: int, ranges: tuple[int, ...], entries: tuple[Change, ...]
    ) -> None:
        """Replace the contents of some ranges with those of the epoch's primary at `sequence`."""
        removed = tuple(key for key in self.latest.entries if range_of(key) in ranges)
        changes = tuple(Change(key, None) for key in removed) + entries
        self._advance(epoch, self.latest.after(sequence, changes))
        self._track_write(self._outbox.write(SaveRanges(epoch, sequence, removed, entries)))

    def commit(self, sequence: int) -> bool:
        """Mark everything up to `sequence` as committed; returns whether the committed version advanced."""
        found = None
        while self._uncommitted and self._uncommitted[0].sequence <= sequence:
            found = self._uncommitted.popleft()
        if found is None and self.committed is None and self.latest.sequence <= sequence:
            found = self.latest
        if found is None or (self.committed is not None and found.sequence <= self.committed.sequence):
            return False
        self.committed = found
        return True

    @property
    def committed_sequence(self) -> int:
        """The sequence of the committed version, -1 if none is known."""
        return self.committed.sequence if self.committed else -1

    def on_synced(self, number: int) -> None:
        """Writes up to `number` are on the disk."""
        while self._syncing and self._syncing[0][0] <= number:
            _, self.durable_epoch, self.durable_sequence = self._syncing.popleft()

    def _advance(self, epoch: int, state: ControlState) -> None:
        if epoch != self.epoch:
            self._uncommitted.clear()
            self.epoch = epoch
        self.latest = state
        self._uncommitted.append(state)

    def _track_write(self, number: int) -> None:
        self._syncing.append((number, self.epoch, self.latest.sequence))
