"""How many sockets and how much memory each side of the agent may hold, so that none can take all."""

from __future__ import annotations

from dataclasses import dataclass

from nettledeal.net.transport.buffers import MemoryPool

# Clients over the budget whose request is read only to be turned away, rather than kept waiting.
MAX_OVERFLOW_CLIENTS = 8
# Besides them, descriptors that are no connection: standard ones, the loop's own, the listener, the list of
# backends with its successor, files that a library opens now and then.
_RESERVED_DESCRIPTORS = MAX_OVERFLOW_CLIENTS + 20
# Callers at the admin port at once; with them go its listener and one on its way in or out.
MAX_ADMIN_CALLERS = 12
_ADMIN_DESCRIPTORS = MAX_ADMIN_CALLERS + 2
# Talk among agents: its two sockets, and streams there and back.
MAX_MEMBERSHIP_STREAMS = 8
_MEMBERSHIP_DESCRIPTORS = 2 * MAX_MEMBERSHIP_STREAMS + 2


class ConnectionBudget:
    """A count of the connections of one side, and of how many there may be."""

    def __init__(self, limit: int):
        self.limit = limit
        self.in_use = 0

    @property
    def is_full(self) -> bool:
        return self.in_use >= self.limit

    def acquire(self) -> None:
        self.in_use += 1

    def release(self) -> None:
        self.in_use -= 1


# What the agent takes with nothing to do, and what a connection takes with its greenlet and its first buffer
# (measured: 18 and 9 to 12, a little more after hours).
_IDLE_FOOTPRINT_MB = 24
_CONNECTION_KB = 16


@dataclass(frozen=True, slots=True)
class ResourceBudgets:
    clients: ConnectionBudget
    backends: ConnectionBudget
    requests: MemoryPool
    answers: MemoryPool

    def resize_to(self, other: ResourceBudgets) -> None:
        """As large as the other ones from here on; what is held beyond that is given back by and by."""
        for own, target in (
            (self.clients, other.clients),
            (self.backends, other.backends),
            (self.requests, other.requests),
            (self.answers, other.answers),
        ):
            own.limit = target.limit


def split_resources(
    sockets: int, memory_mb: int, admin: bool = False, membership: bool = False
) -> ResourceBudgets:
    """For clients and for backends. A work item takes one connection of each; backends get a little more,
    since one that rests saves the next one's handshake. Half of the memory that is left is for connections,
    half for messages on their way, so that neither silent nor talkative peers can use up the other's."""
    left_kb = max(2048, (memory_mb - _IDLE_FOOTPRINT_MB) * 1024) // 2
    reserved = (
        _RESERVED_DESCRIPTORS
        + (_ADMIN_DESCRIPTORS if admin else 0)
        + (_MEMBERSHIP_DESCRIPTORS if membership else 0)
    )
    connections = min(sockets - reserved, left_kb // _CONNECTION_KB)
    clients = max(4, int(0.45 * connections))
    message_bytes = left_kb * 1024 // 2
    return ResourceBudgets(
        ConnectionBudget(clients),
        ConnectionBudget(max(4, connections - clients)),
        MemoryPool(message_bytes),
        MemoryPool(message_bytes),
    )
