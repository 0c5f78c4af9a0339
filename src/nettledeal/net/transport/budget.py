"""Divides sockets and memory between clients and backends, so that neither side can exhaust them."""

from __future__ import annotations

from dataclasses import dataclass

from nettledeal.net.transport.buffers import MemoryPool

# Clients over the budget that are accepted only to answer them with 503, instead of letting them wait.
MAX_OVERFLOW_CLIENTS = 8
# Those, and descriptors for other uses: standard streams, the event loop, the listener, the discovery watch
# and its successor, files that libraries open now and then.
_RESERVED_DESCRIPTORS = MAX_OVERFLOW_CLIENTS + 20
# Concurrent callers at the admin port; besides them its listener and one that is connecting or leaving.
MAX_ADMIN_CALLERS = 12
_ADMIN_DESCRIPTORS = MAX_ADMIN_CALLERS + 2
# Membership among agents: its two sockets, and streams in both directions.
MAX_MEMBERSHIP_STREAMS = 8
_MEMBERSHIP_DESCRIPTORS = 2 * MAX_MEMBERSHIP_STREAMS + 2


class ConnectionBudget:
    """Counts the connections of one side against their limit."""

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


# Memory of an idle agent, and of a connection with its greenlet and initial buffer (measured: 18 MB, and 9 to
# 12 KB; a little more after hours).
_IDLE_FOOTPRINT_MB = 24
_CONNECTION_KB = 16


@dataclass(frozen=True, slots=True)
class ResourceBudgets:
    clients: ConnectionBudget
    backends: ConnectionBudget
    requests: MemoryPool
    answers: MemoryPool

    def resize_to(self, other: ResourceBudgets) -> None:
        """Take over the limits of `other`; what exceeds them is released gradually."""
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
    """Divide sockets and memory between clients and backends.

    A work item takes one connection on each side. Backends get slightly more, since an idle connection saves
    the next request a handshake. Half of the remaining memory is for connections and half for messages, so
    that neither silent peers nor those with large messages can use up all of it.
    """
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
