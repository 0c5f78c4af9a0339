"""A member's view of the group: the latest record of each member and the latest operator order per subject.

Each update has a rank that only rises, and merging keeps the higher rank. Merging is therefore associative,
commutative and idempotent: members that have received the same updates hold the same view, in whatever order
and however often the updates arrived.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import IntEnum

import msgspec

from nettledeal.net.address import Address
from nettledeal.units import Time

# No process refutes this often in years of running. A forged incarnation at the top of the range could not be
# exceeded by the member itself, so higher ones are rejected.
MAX_INCARNATION = 1 << 24
# Longer names and hosts are rejected as invalid.
MAX_NAME_LENGTH = 64
# Bounds of one view, so that forged updates can't exhaust the memory.
MAX_MEMBERS = 4096
MAX_ORDERS = 4096


class State(IntEnum):
    """State of a member. Within one incarnation the higher value overrides the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # announced by the member itself, or set by an operator who forgets a dead member


class Metadata(msgspec.Struct, array_like=True, frozen=True):
    """What a member publishes about itself beyond its address. It changes only with a higher incarnation.

    `frontend_port` is 0 for a member that serves no clients; the frontend's host is the member's own."""

    role: str
    zone: str
    frontend_port: int = 0
    ready: bool = False
    leaving: bool = False


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """An update about one member.

    `started_at` is when its process started (Unix time in tenths of a millisecond), so that a restart under
    the same name overrides everything known of the earlier process. Only the member itself raises
    `incarnation`, to refute a suspicion or to change its metadata. `accuser` names the member that suspects
    it or declared it dead."""

    name: str
    host: str
    port: int
    started_at: Time
    incarnation: int
    state: int
    accuser: str = ""
    zone_number: int = 0
    metadata: Metadata | None = None

    @property
    def rank(self) -> tuple:
        # The address comes last: two processes with the same name and start time are a fault, and all members
        # must settle on the same one of them.
        return self.started_at, self.incarnation, self.state, self.host, self.port

    @property
    def address(self) -> Address:
        return self.host, self.port

    @property
    def live(self) -> bool:
        return self.state <= State.SUSPECT


class OperatorOrder(msgspec.Struct, array_like=True, frozen=True):
    """An operator's order to cordon or uncordon one subject on all members; the newest order per subject is
    in force."""

    subject: str
    issued_at: Time
    issued_by: str
    cordoned: bool

    @property
    def rank(self) -> tuple:
        return self.issued_at, self.issued_by, self.cordoned


def is_valid_record(record: MemberRecord, latest: Time) -> bool:
    """Whether the fields are in range and the start time is no later than `latest`: a record from the future
    could never be overridden by a correct one."""
    return (
        0 < len(record.name) <= MAX_NAME_LENGTH
        and 0 < len(record.host) <= MAX_NAME_LENGTH
        and len(record.accuser) <= MAX_NAME_LENGTH
        and 0 < record.port < 65536
        and 0 <= record.started_at <= latest
        and 0 <= record.incarnation < MAX_INCARNATION
        and State.ALIVE <= record.state <= State.LEFT
    )


def is_valid_order(order: OperatorOrder, latest: Time) -> bool:
    return (
        0 < len(order.subject) <= 2 * MAX_NAME_LENGTH
        and len(order.issued_by) <= MAX_NAME_LENGTH
        and 0 <= order.issued_at <= latest
    )


class View(msgspec.Struct):
    """The latest record of each member and the latest order per subject.

    `state_since` is the local time at which the member's current state (or a new process of it) was first
    seen here."""

    records: dict[str, MemberRecord] = {}
    state_since: dict[str, Time] = {}
    orders: dict[str, OperatorOrder] = {}

    def merge(self, record: MemberRecord, now: Time) -> MemberRecord | None:
        """Store the record if it is newer. Returns the record that it replaced, the record itself if the
        member was unknown, or None if nothing changed."""
        previous = self.records.get(record.name)
        if previous is not None and record.rank <= previous.rank:
            return None
        if previous is None and len(self.records) >= MAX_MEMBERS:
            return None
        self.records[record.name] = record
        # A higher incarnation in the same state keeps the time at which that state began.
        if previous is None or previous.state != record.state or previous.started_at != record.started_at:
            self.state_since[record.name] = now
        return previous or record

    def merge_order(self, order: OperatorOrder) -> bool:
        """Store the order if it is newer; returns whether it was."""
        previous = self.orders.get(order.subject)
        if (
            previous is None
            and len(self.orders) >= MAX_ORDERS
            or previous is not None
            and order.rank <= previous.rank
        ):
            return False
        self.orders[order.subject] = order
        return True

    def drop_lifted_orders(self, before: Time) -> None:
        """Remove uncordon orders issued before that time, when no older cordon order can still be in
        transit."""
        for subject in [o.subject for o in self.orders.values() if not o.cordoned and o.issued_at < before]:
            del self.orders[subject]

    def live_records(self) -> Iterator[MemberRecord]:
        return (record for record in self.records.values() if record.live)

    def remove(self, names: Iterable[str]) -> None:
        for name in names:
            del self.records[name], self.state_since[name]
