"""The effects that the sans-I/O state machine requests from its host: writes, sends and answers.

Writes are carried out in the order of their numbers. A send with `after_write` is sent only once the write of
that number has been synced. Messages to the replica's own host are delivered to it like those from others.
"""

from __future__ import annotations

import msgspec

from nettledeal.common.errors import ErrorCode
from nettledeal.control.epoch_consensus import AcceptorState
from nettledeal.control.messages import Message
from nettledeal.control.state import Change, ControlState, Outcome


class SaveAcceptorState(msgspec.Struct, frozen=True):
    """Replace the acceptor's stored state."""

    acceptor: AcceptorState


class SaveChanges(msgspec.Struct, frozen=True):
    """Apply changes, after which the state equals that of `epoch`'s primary at `sequence`."""

    epoch: int
    sequence: int
    changes: tuple[Change, ...] = ()


class SaveRanges(msgspec.Struct, frozen=True):
    """Atomically remove keys and put entries; the state then equals that of the primary at `sequence`."""

    epoch: int
    sequence: int
    removed: tuple[str, ...]
    entries: tuple[Change, ...]


Write = SaveAcceptorState | SaveChanges | SaveRanges


class DurableState(msgspec.Struct, frozen=True):
    """The state that a replica loads from its disk."""

    acceptor: AcceptorState = AcceptorState()
    epoch: int = -1
    state: ControlState = ControlState()


class Send(msgspec.Struct, frozen=True):
    """A message to the replica at `host`, held back until the write numbered `after_write` is synced."""

    host: str
    message: Message
    after_write: int


class Answer(msgspec.Struct, frozen=True):
    """The result of a submitted command or of a read."""

    call_id: int
    result: Outcome | ControlState | ErrorCode


class Effects(msgspec.Struct):
    """All effects of one input."""

    writes: list[tuple[int, Write]] = []
    sends: list[Send] = []
    answers: list[Answer] = []

    def __bool__(self) -> bool:
        return bool(self.writes or self.sends or self.answers)


class Outbox:
    """Collects the effects of one input."""

    def __init__(self) -> None:
        self.last_write = 0
        self._effects = Effects()

    def write(self, write: Write) -> int:
        """Add a write and return its number."""
        self.last_write += 1
        self._effects.writes.append((self.last_write, write))
        return self.last_write

    def send(self, host: str, message: Message) -> None:
        """Send at once, regardless of pending writes."""
        self._effects.sends.append(Send(host, message, 0))

    def send_synced(self, host: str, message: Message) -> None:
        """Send once everything written so far is synced."""
        self._effects.sends.append(Send(host, message, self.last_write))

    def answer(self, call_id: int, result: Outcome | ControlState | ErrorCode) -> None:
        """Answer a call."""
        self._effects.answers.append(Answer(call_id, result))

    def take_effects(self) -> Effects:
        """The effects collected since the last call."""
        effects, self._effects = self._effects, Effects()
        return effects
