"""What several processes of one agent are to each other: a state machine, fed with their records.

Nothing is read or written here. Who lives is told by whoever reads the records.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

VERSION = 1
STARTING, SERVING, LEAVING = "starting", "serving", "leaving"
# Orders remembered that ask for nothing any more.
_KEPT = 64


class Envelope(msgspec.Struct):
    """What records of all versions hold."""

    version: int
    id: str
    agent: str
    listen: str
    state: str
    born: int  # by a clock that all processes of the machine share


class Record(Envelope):
    orders: dict[str, tuple[int, bool]] = {}  # by backend: when it was ordered, and whether out of service
    heard: dict[str, int] = {}  # by process: the last of its orders in force here
    learned: dict[str, Any] | None = None


def read(raw: bytes) -> Record | None:
    """None for what is no record, or not whole; of a newer version only what all versions hold."""
    try:
        envelope = msgspec.json.decode(raw, type=Envelope)
        if envelope.version <= VERSION:
            return msgspec.json.decode(raw, type=Record)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return Record(**{key: getattr(envelope, key) for key in Envelope.__struct_fields__})


class Handover:
    """One process's view of those that are one agent with it."""

    def __init__(self, id: str, agent: str, listen: str, born: int):
        self.me = Record(VERSION, id, agent, listen, STARTING, born, {}, {})
        self.others: list[Record] = []

    def told(self, live: Iterable[Record]) -> dict[str, bool]:
        """Records of live processes as they are now; the orders among them that are to be carried out here,
        by backend, and whether each takes it out of service."""
        me = self.me
        self.others = [
            other
            for other in live
            if other.id != me.id and (other.agent, other.listen) == (me.agent, me.listen)
        ]
        todo = {}
        for other in self.others:
            for backend, (at, out) in other.orders.items():
                if at > me.orders.get(backend, (0, False))[0]:
                    me.orders[backend] = at, out
                    todo[backend] = out
        return todo

    def carried_out(self) -> None:
        """What was to be done is in force: whoever ordered it may hear so."""
        self.me.heard = {other.id: _last(other) for other in self.others if other.orders}

    def ordered(self, backend: str, out: bool, now: int) -> int:
        """An order given here; its time, after all others of that backend."""
        orders = self.me.orders
        at = max(now, _last(self.me) + 1, *(1 + _last(other) for other in self.others), 1)
        orders.pop(backend, None)
        orders[backend] = at, out
        for old in [name for name, (_, gone) in orders.items() if not gone][:-_KEPT]:
            del orders[old]
        return at

    def confirmed(self, at: int) -> bool:
        """Whether an order of that time is in force in all processes that can tell."""
        return all(other.heard.get(self.me.id, 0) >= at for other in self.others if other.version <= VERSION)

    @property
    def processes(self) -> int:
        return 1 + len(self.others)

    @property
    def heir(self) -> bool:
        """Whether a younger one takes clients."""
        return any(other.state == SERVING and _age(other) > _age(self.me) for other in self.others)

    @property
    def legacy(self) -> dict[str, Any] | None:
        """What the last one before this one has learned, once it says so."""
        older = [other for other in self.others if _age(other) < _age(self.me) and other.learned is not None]
        return max(older, key=_age).learned if older else None


def _last(record: Record) -> int:
    return max((at for at, _ in record.orders.values()), default=0)


def _age(record: Record) -> tuple[int, str]:
    return record.born, record.id
