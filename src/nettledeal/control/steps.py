"""What a state machine asks of its host: writes, sends and answers.

Writes are carried out in the order of their numbers. A send with `after` leaves only once the write of that
number has been synced. Messages to the replica's own host are handed back to it like those of others.
"""

from __future__ import annotations

import msgspec

from nettledeal.common.errors import ErrorCode
from nettledeal.control.epochs import WitnessState
from nettledeal.control.messages import Message
from nettledeal.control.state import Change, ControlState, Outcome


class SaveWitness(msgspec.Struct, frozen=True):
    """Replace the witness's state."""

    witness: WitnessState


class SaveChanges(msgspec.Struct, frozen=True):
    """Apply changes; the state is then that of `epoch`'s primary at `sequence`."""

    epoch: int
    sequence: int
    changes: tuple[Change, ...] = ()


class SaveRanges(msgspec.Struct, frozen=True):
    """Remove keys and put entries in one step; the state is then that of `epoch`'s primary at `sequence`."""

    epoch: int
    sequence: int
    removed: tuple[str, ...]
    entries: tuple[Change, ...]


Write = SaveWitness | SaveChanges | SaveRanges


class Durable(msgspec.Struct, frozen=True):
    """What a replica finds on its disk."""

    witness: WitnessState = WitnessState()
    epoch: int = -1
    state: ControlState = ControlState()


class Send(msgspec.Struct, frozen=True):
    """A message to the replica at `host`, held until the write numbered `after` is synced."""

    host: str
    message: Message
    after: int


class Answer(msgspec.Struct, frozen=True):
    """The result of a submitted command or of a read."""

    ticket: int
    result: Outcome | ControlState | ErrorCode


class Step(msgspec.Struct):
    """Everything that one input has led to."""

    writes: list[tuple[int, Write]] = []
    sends: list[Send] = []
    answers: list[Answer] = []

    def __bool__(self) -> bool:
        return bool(self.writes or self.sends or self.answers)


class Outbox:
    """Collects a step."""

    def __init__(self) -> None:
        self.last_write = 0
        self._step = Step()

    def write(self, write: Write) -> int:
        """Add a write and return its number."""
        self.last_write += 1
        self._step.writes.append((self.last_write, write))
        return self.last_write

    def send(self, host: str, message: Message) -> None:
        """Send at once, whatever is being written."""
        self._step.sends.append(Send(host, message, 0))

    def send_synced(self, host: str, message: Message) -> None:
        """Send once everything written so far is synced."""
        self._step.sends.append(Send(host, message, self.last_write))

    def answer(self, ticket: int, result: Outcome | ControlState | ErrorCode) -> None:
        """Answer a ticket."""
        self._step.answers.append(Answer(ticket, result))

    def take(self) -> Step:
        """The step collected since the last call."""
        step, self._step = self._step, Step()
        return step
