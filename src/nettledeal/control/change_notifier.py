"""Tells the rest of the process what has changed in its replica: epoch, reader, committed state."""

from __future__ import annotations

from collections.abc import Callable

from nettledeal.common.logs import log_event
from nettledeal.control.messages import EpochRecord
from nettledeal.control.reader_role import ReaderTerm
from nettledeal.control.state import ControlState

Reader = tuple[str | None, ReaderTerm]


class ChangeNotifier:
    """Compares what it is given with what it told last; to be called after every input to the replica.

    `on_epoch` callbacks receive the record of each new epoch, `on_commit` callbacks each newly committed
    state; `on_reader_changed` is called when the reader of the platform's list changes. They run on the event
    loop and must not block.
    """

    def __init__(self) -> None:
        self.on_epoch: list[Callable[[EpochRecord], None]] = []
        self.on_commit: list[Callable[[ControlState], None]] = []
        self.on_reader_changed: Callable[[], None] = lambda: None
        self._epoch = -1
        self._reader: Reader = (None, ReaderTerm(-1, 0))
        self._sequence = -1

    def epoch_is(self, record: EpochRecord | None) -> None:
        """Log and tell of an epoch that is new."""
        if record is None or record.epoch == self._epoch:
            return
        self._epoch = record.epoch
        log_event(
            "epoch",
            epoch=record.epoch,
            primary=record.primary,
            in_sync=list(record.in_sync),
            voters=[f"{voter.replica_id}@{voter.host}" for voter in record.voters],
        )
        for callback in self.on_epoch:
            callback(record)

    def reader_is(self, reader: Reader) -> None:
        """Tell of a reader, or a term, that is new."""
        if reader != self._reader:
            self._reader = reader
            self.on_reader_changed()

    def committed_is(self, state: ControlState | None) -> None:
        """Tell of a committed state that is new."""
        if state is None or state.sequence <= self._sequence:
            return
        self._sequence = state.sequence
        for callback in self.on_commit:
            callback(state)
