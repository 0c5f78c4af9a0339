"""The answer to one request of a client, before it is known."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

from gevent import socket
from gevent.event import Event

from nettledeal.model import Time
from nettledeal.net.protocol.backend import Rest
from nettledeal.net.transport.sockets import hung_up


@dataclass(slots=True, eq=False)
class PendingAnswer:
    """Where the answer to one request is put, once; its connection waits for it."""

    sock: socket.socket | None = None
    ready: Event = field(default_factory=Event)
    status: HTTPStatus | None = None
    body: memoryview | bytes = b""
    lines: bytes = b""
    retry_after: Time = 0
    by: Time = 0  # the expiry
    rest: Rest | None = None  # of a long body
    left: bool = False  # nobody waits any more

    def put(
        self,
        status: HTTPStatus,
        body: memoryview | bytes = b"",
        lines: bytes = b"",
        retry_after: Time = 0,
        rest: Rest | None = None,
    ) -> None:
        self.status, self.body, self.lines, self.retry_after = status, body, lines, retry_after
        self.rest = rest
        if self.left:
            self.leave()
        self.ready.set()

    @property
    def wanted(self) -> bool:
        """Whether somebody waits for the answer, as the kernel knows it now, also where the client's greenlet
        has not got round to seeing that."""
        return self.status is None and not self.left and not (self.sock is not None and hung_up(self.sock))

    def leave(self) -> None:
        self.left = True
        if self.rest is not None:
            self.rest.end(False)
