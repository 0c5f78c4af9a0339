"""How many sockets and how much memory each side of the agent may hold, so that none can take all."""

from __future__ import annotations

from dataclasses import dataclass

from nettledeal.net.transport.buffers import MemoryPool

# Clients over the budget whose request is read only to be turned away, rather than kept waiting.
OVERFLOW = 8
# Besides them, descriptors that are no connection: standard ones, the loop's own, the listener, the list of
# backends with its successor, files that a library opens now and then.
_APART = OVERFLOW + 20
# Callers at the admin port at once; with them go its listener and one on its way in or out.
CALLERS = 12
_ADMIN = CALLERS + 2
# Talk among agents: its two sockets, and streams there and back.
STREAMS = 8
_TALK = 2 * STREAMS + 2


class Budget:
    """A count of the connections of one side, and of how many there may be."""

    def __init__(self, most: int):
        self.most = most
        self.held = 0

    @property
    def full(self) -> bool:
        return self.held >= self.most

    def take(self) -> None:
        self.held += 1

    def give(self) -> None:
        self.held -= 1


# What the agent takes with nothing to do, and what a connection takes with its greenlet and its first buffer
# (measured: 18 and 9 to 12, a little more after hours).
_FOOTPRINT_MB = 24
_CONNECTION_KB = 16


@dataclass(frozen=True, slots=True)
class Shares:
    clients: Budget
    backends: Budget
    requests: MemoryPool
    answers: MemoryPool

    def become(self, other: Shares) -> None:
        """As large as the other ones from here on; what is held beyond that is given back by and by."""
        for mine, its in (
            (self.clients, other.clients),
            (self.backends, other.backends),
            (self.requests, other.requests),
            (self.answers, other.answers),
        ):
            mine.most = its.most


def shares(sockets: int, memory_mb: int, admin: bool = False, talk: bool = False) -> Shares:
    """For clients and for backends. A work item takes one connection of each; backends get a little more,
    since one that rests saves the next one's handshake. Half of the memory that is left is for connections,
    half for messages on their way, so that neither silent nor talkative peers can use up the other's."""
    left = max(2048, (memory_mb - _FOOTPRINT_MB) * 1024) // 2
    apart = _APART + (_ADMIN if admin else 0) + (_TALK if talk else 0)
    whole = min(sockets - apart, left // _CONNECTION_KB)
    clients = max(4, int(0.45 * whole))
    half = left * 1024 // 2
    return Shares(Budget(clients), Budget(max(4, whole - clients)), MemoryPool(half), MemoryPool(half))
