"""Typed internal messages as length-prefixed CBOR frames.

A protocol is a union of tagged `msgspec.Struct` types. The frame is a four-byte big-endian length and the
CBOR encoding of the message. Anything that cannot be read as one of the types is a MALFORMED_MESSAGE, which
costs the connection it came on and nothing else.
"""

from __future__ import annotations

import struct
from typing import Any, Generic, TypeVar

import cbor2
import msgspec
from gevent import socket

from nettledeal.common.errors import ErrorCode, ServingError

MAX_FRAME_BYTES = 16 << 20
_LENGTH = struct.Struct(">I")
_UNREADABLE = (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError, RecursionError)

Message = TypeVar("Message")


class MessageCodec(Generic[Message]):
    """Encodes and decodes the messages of one protocol."""

    def __init__(self, message_types: Any):
        self._types = message_types

    def encode(self, message: Message) -> bytes:
        """The payload of a frame or datagram."""
        return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))

    def decode(self, payload: bytes, peer: str | None = None) -> Message:
        """Raises ServingError with MALFORMED_MESSAGE."""
        try:
            return msgspec.convert(cbor2.loads(payload), self._types, builtin_types=(bytes,))
        except _UNREADABLE as error:
            raise ServingError(ErrorCode.MALFORMED_MESSAGE, "decode message", str(error), peer) from None

    def frame(self, message: Message) -> bytes:
        """The message with its length in front."""
        payload = self.encode(message)
        return _LENGTH.pack(len(payload)) + payload


class FrameConnection(Generic[Message]):
    """A TCP connection that carries frames of one protocol. One greenlet may read while another writes."""

    def __init__(self, sock: socket.socket, codec: MessageCodec[Message], peer: str):
        self.sock = sock
        self.peer = peer
        self._codec = codec
        self._buffer = bytearray()

    def send(self, message: Message) -> int:
        """Write one message and return its size in bytes; raises ServingError with CONNECTION_LOST."""
        frame = self._codec.frame(message)
        try:
            self.sock.sendall(frame)
        except OSError as error:
            raise ServingError(ErrorCode.CONNECTION_LOST, "send message", str(error), self.peer) from None
        return len(frame)

    def receive(self, timeout_s: float | None = None) -> Message:
        """The next message. Raises ServingError: TIMED_OUT, CONNECTION_LOST or MALFORMED_MESSAGE."""
        self.sock.settimeout(timeout_s)
        length = _LENGTH.unpack(self._take(_LENGTH.size))[0]
        if length > MAX_FRAME_BYTES:
            raise ServingError(ErrorCode.MALFORMED_MESSAGE, "receive message", "frame too long", self.peer)
        return self._codec.decode(self._take(length), self.peer)

    def close(self) -> None:
        """Close the connection; a greenlet that waits on it gets CONNECTION_LOST."""
        self.sock.close()

    def _take(self, count: int) -> bytes:
        while len(self._buffer) < count:
            self._buffer += self._read_some()
        taken = bytes(self._buffer[:count])
        del self._buffer[:count]
        return taken

    def _read_some(self) -> bytes:
        try:
            data = self.sock.recv(65536)
        except TimeoutError:
            raise ServingError(ErrorCode.TIMED_OUT, "receive message", peer=self.peer) from None
        except OSError as error:
            raise ServingError(ErrorCode.CONNECTION_LOST, "receive message", str(error), self.peer) from None
        if not data:
            raise ServingError(ErrorCode.CONNECTION_LOST, "receive message", "closed by peer", self.peer)
        return data
