"""Handover between several processes of one agent: a state machine that is fed their records.

It does no I/O. The caller reads the records and decides which processes are alive.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

VERSION = 1
STARTING, SERVING, LEAVING = "starting", "serving", "leaving"
# How many `uncordon` orders are remembered; older ones are dropped.
_MAX_UNCORDON_ORDERS = 64


class Envelope(msgspec.Struct):
    """The fields that records of all versions have."""

    version: int
    id: str
    agent: str
    listen: str
    state: str
    born: int  # start time in ns, by the monotonic clock that all processes of the machine share


# The state that a process shows to the other processes of its agent.
class Record(Envelope):
    orders: dict[str, tuple[int, bool]] = {}  # by backend: time of the last order, and whether it is a cordon
    heard: dict[str, int] = {}  # by process: time of the last of its orders that is in force here
    learned: dict[str, Any] | None = None


def parse_record(raw: bytes) -> Record | None:
    """Parse a record; None if it is invalid or truncated. Of a newer version only the envelope is read."""
    try:
        envelope = msgspec.json.decode(raw, type=Envelope)
        if envelope.version <= VERSION:
            return msgspec.json.decode(raw, type=Record)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return Record(**{key: getattr(envelope, key) for key in Envelope.__struct_fields__})


class Handover:
    """One process's view of the other processes of its agent."""

    def __init__(self, id: str, agent: str, listen: str, born: int):
        self.own_record = Record(VERSION, id, agent, listen, STARTING, born, {}, {})
        self.others: list[Record] = []

    def merge_records(self, live: Iterable[Record]) -> dict[str, bool]:
        """Take over the current records of live processes.

        Returns the orders that are new here, by backend: True to cordon it, False to uncordon it."""
        own_record = self.own_record
        self.others = [
            other
            for other in live
            if other.id != own_record.id
            and (other.agent, other.listen) == (own_record.agent, own_record.listen)
        ]
        new_orders = {}
        for other in self.others:
            for backend, (ordered_at, cordoned) in other.orders.items():
                if ordered_at > own_record.orders.get(backend, (0, False))[0]:
                    own_record.orders[backend] = ordered_at, cordoned
                    new_orders[backend] = cordoned
        return new_orders

    def acknowledge_orders(self) -> None:
        """Record that all merged orders are in force here, for the processes that received them."""
        self.own_record.heard = {other.id: _last_order_time(other) for other in self.others if other.orders}

    def record_order(self, backend: str, cordoned: bool, now: int) -> int:
        """Record an order received by this process.

        Returns its time, which is later than that of every order known here, whatever the clocks say."""
        orders = self.own_record.orders
        ordered_at = max(
            now,
            _last_order_time(self.own_record) + 1,
            *(1 + _last_order_time(other) for other in self.others),
            1,
        )
        orders.pop(backend, None)
        orders[backend] = ordered_at, cordoned
        for old in [name for name, (_, is_cordon) in orders.items() if not is_cordon][:-_MAX_UNCORDON_ORDERS]:
            del orders[old]
        return ordered_at

    def is_confirmed(self, ordered_at: int) -> bool:
        """Whether an order of that time is in force in all other processes whose records show it.

        Records of a newer version can't be read beyond the envelope, so they are left out."""
        return all(
            other.heard.get(self.own_record.id, 0) >= ordered_at
            for other in self.others
            if other.version <= VERSION
        )

    @property
    def process_count(self) -> int:
        return 1 + len(self.others)

    @property
    def has_successor(self) -> bool:
        """Whether a process that started later serves clients."""
        return any(
            other.state == SERVING and _start_key(other) > _start_key(self.own_record)
            for other in self.others
        )

    @property
    def predecessor_state(self) -> dict[str, Any] | None:
        """The learned state of the latest predecessor that has exported one."""
        older = [
            other
            for other in self.others
            if _start_key(other) < _start_key(self.own_record) and other.learned is not None
        ]
        return max(older, key=_start_key).learned if older else None


def _last_order_time(record: Record) -> int:
    return max((ordered_at for ordered_at, _ in record.orders.values()), default=0)


def _start_key(record: Record) -> tuple[int, str]:
    return record.born, record.id
