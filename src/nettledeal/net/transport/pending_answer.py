"""The answer to one request of a client, before it is known."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

from gevent import socket
from gevent.event import Event

from nettledeal.model import Time
from nettledeal.net.protocol.backend import BodyStream
from nettledeal.net.transport.sockets import peer_closed


@dataclass(slots=True, eq=False)
class PendingAnswer:
    """Where the answer to one request is put, once; its connection waits for it."""

    sock: socket.socket | None = None
    ready: Event = field(default_factory=Event)
    status: HTTPStatus | None = None
    body: memoryview | bytes = b""
    headers: bytes = b""
    retry_after: Time = 0
    deadline: Time = 0  # the expiry
    body_stream: BodyStream | None = None  # of a long body
    abandoned: bool = False  # nobody waits any more

    def put(
        self,
        status: HTTPStatus,
        body: memoryview | bytes = b"",
        headers: bytes = b"",
        retry_after: Time = 0,
        body_stream: BodyStream | None = None,
    ) -> None:
        self.status, self.body, self.headers, self.retry_after = status, body, headers, retry_after
        self.body_stream = body_stream
        if self.abandoned:
            self.abandon()
        self.ready.set()

    @property
    def is_wanted(self) -> bool:
        """Whether somebody waits for the answer, as the kernel knows it now, also where the client's greenlet
        has not got round to seeing that."""
        return (
            self.status is None
            and not self.abandoned
            and not (self.sock is not None and peer_closed(self.sock))
        )

    def abandon(self) -> None:
        self.abandoned = True
        if self.body_stream is not None:
            self.body_stream.finish(False)
