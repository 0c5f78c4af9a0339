"""One request to a backend with the callbacks for its result."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from nettledeal.model import Time
from nettledeal.net.protocol.backend import Reply
from nettledeal.net.transport.relay import Upload


class Abortable(Protocol):
    """The connection that an exchange was assigned to."""

    def abort(self) -> None:
        """Close it; what is not written yet is not sent."""


@dataclass(slots=True, eq=False)
class Exchange:
    """One exchange with a backend: what to send, how long to wait and whom to notify."""

    parts: list[bytes | memoryview]
    deadline: Time
    on_reply: Callable[[Reply], None]
    is_probe: bool = False
    connection: Abortable | None = None
    fully_written: bool = False  # the kernel has the last byte: the request may run from here on
    cancelled: bool = False
    upload: Upload | None = None  # the rest of a long body, sent after `parts`
    reply_timeout: Time = 0  # from the last byte of an upload
    on_upload_start: Callable[[], None] | None = None  # called before the upload is first read
    bodiless: bool = False  # the response has no body
    begin_by: Time | None = None  # don't start later, even if the reply could be in time
    is_wanted: Callable[[], bool] | None = None  # whether the client is still connected
    started: bool = False  # writing has begun

    def cancel(self) -> None:
        """Give up the exchange and close its connection; what is not written yet is not sent."""
        if not self.cancelled:
            self.cancelled = True
            if self.upload is not None:
                self.upload.stop()
            if self.connection is not None:
                self.connection.abort()
