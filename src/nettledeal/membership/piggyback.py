"""Queue of updates to piggyback on outgoing packets, as in SWIM: the least transmitted update goes first, and
each is transmitted a number of times that grows with the logarithm of the group size. An update that replaces
another starts over.
"""

from __future__ import annotations

from math import ceil, log10
from typing import Any

# Transmissions per log10 of the group size. SWIM's paper needs 2 to 3 per natural logarithm; 5 per log10 is
# the same and leaves a margin for packet loss.
RETRANSMIT_FACTOR = 5


class PiggybackQueue:
    def __init__(self, retransmit_factor: int = RETRANSMIT_FACTOR) -> None:
        self.retransmit_factor = retransmit_factor
        # By kind and name: transmissions so far, encoded size, update.
        self.entries: dict[tuple[str, str], list] = {}
        self.has_unsent = False  # whether any update has not been transmitted at all

    def __len__(self) -> int:
        return len(self.entries)

    def add(self, kind: str, name: str, update: Any, size: int, transmissions: int = 0) -> None:
        """Queue an update. `transmissions` is the count to start from: a less important update is sent less
        often."""
        self.entries[kind, name] = [transmissions, size, update]
        self.has_unsent = True

    def remove(self, kind: str, name: str) -> None:
        self.entries.pop((kind, name), None)

    def transmit_limit(self, members: int) -> int:
        return self.retransmit_factor * max(1, ceil(log10(members + 1)))

    def take(self, room_bytes: int, members: int) -> list[tuple[str, Any]]:
        """Return the updates that fit into `room_bytes`, and count one transmission of each."""
        if not self.entries:
            return []
        limit, taken = self.transmit_limit(members), []
        self.has_unsent = False
        for key, entry in sorted(self.entries.items(), key=lambda item: item[1][0]):
            if entry[1] > room_bytes:
                continue
            room_bytes -= entry[1]
            taken.append((key[0], entry[2]))
            entry[0] += 1
            if entry[0] >= limit:
                del self.entries[key]
        return taken
