"""One exchange with a backend, on its way from whoever wants it to a connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from nettledeal.model import Time
from nettledeal.net.protocol.backend import Reply
from nettledeal.net.transport.relay import Upload


class Abortable(Protocol):
    """The connection that carries an exchange."""

    def abort(self) -> None:
        """End it, and with it what is not yet written."""


@dataclass(slots=True, eq=False)
class Exchange:
    """One exchange with a backend: what to send, how long to wait, whom to tell."""

    parts: list[bytes | memoryview]
    deadline: Time
    on_reply: Callable[[Reply], None]
    is_probe: bool = False
    connection: Abortable | None = None
    fully_written: bool = False  # its last byte is the kernel's: from here on it may run
    cancelled: bool = False
    upload: Upload | None = None  # what is still to come of a long body, behind the parts
    reply_timeout: Time = 0  # for the answer, from its last byte
    on_upload_start: Callable[[], None] | None = None  # told when the first of it is asked for
    bodiless: bool = False  # the answer has no body
    begin_by: Time | None = None  # where it must not begin later, though its answer could still be in time
    is_wanted: Callable[[], bool] | None = None  # whether its client is still there
    started: bool = False  # some of it has been written

    def cancel(self) -> None:
        """Nobody waits for it any more: its connection ends, and with it what is not yet written."""
        if not self.cancelled:
            self.cancelled = True
            if self.upload is not None:
                self.upload.stop()
            if self.connection is not None:
                self.connection.abort()
