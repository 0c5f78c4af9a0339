"""The answer to a client's request that is still being worked on."""

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
    """Receives the answer to one request, once; the client's connection waits for it."""

    sock: socket.socket | None = None
    ready: Event = field(default_factory=Event)
    status: HTTPStatus | None = None
    body: memoryview | bytes = b""
    headers: bytes = b""
    retry_after: Time = 0
    deadline: Time = 0  # when the client stops waiting
    body_stream: BodyStream | None = None  # the rest of a long body
    abandoned: bool = False  # the connection no longer waits for it

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
        """Whether the client still waits for the answer.

        Asks the kernel, as the client's greenlet may not have noticed a disconnect yet.
        """
        return (
            self.status is None
            and not self.abandoned
            and not (self.sock is not None and peer_closed(self.sock))
        )

    def abandon(self) -> None:
        self.abandoned = True
        if self.body_stream is not None:
            self.body_stream.finish(False)
