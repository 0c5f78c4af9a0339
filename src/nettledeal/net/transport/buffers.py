"""Buffers that connections read messages into, accounted against a memory limit."""

from __future__ import annotations

from gevent import socket

INITIAL_BYTES = 2048  # buffers up to this size are not counted
RELAY_WINDOW_BYTES = 32 * 1024


class OutOfMemory(Exception):
    """No memory is left to grow the buffer of a message."""


class MemoryPool:
    """A memory limit, in bytes, for buffers beyond their initial size, shared by many connections."""

    def __init__(self, limit: int):
        self.limit = limit
        self.used_bytes = 0


class Buffer(bytearray):
    """Counts against its memory pool while anything holds a slice of it, even after its connection."""

    __slots__ = ("counted_bytes", "memory")

    def __init__(self, size: int, memory: MemoryPool):
        self.counted_bytes = 0
        self.memory = memory
        if size > INITIAL_BYTES:
            if memory.used_bytes + size > memory.limit:
                raise OutOfMemory
            self.counted_bytes = size
            memory.used_bytes += size
        super().__init__(size)

    def __del__(self) -> None:
        self.memory.used_bytes -= self.counted_bytes


def relay_buffer(memory: MemoryPool) -> Buffer:
    """The buffer of one relay; small if memory is short, as a relay in progress can't be refused."""
    try:
        return Buffer(RELAY_WINDOW_BYTES, memory)
    except OutOfMemory:
        return Buffer(INITIAL_BYTES, memory)


class ReadBuffer:
    """Holds one message at a time.

    A message whose slices are still in use keeps its buffer, and the connection continues with a new one:
    only the bytes that arrived after the message are copied.
    """

    def __init__(self, memory: MemoryPool, max_bytes: int):
        self.memory = memory
        self.max_bytes = max_bytes + INITIAL_BYTES
        self.buffer = Buffer(INITIAL_BYTES, memory)
        self.filled = 0

    def read(
        self, sock: socket.socket, total_bytes: int | None = None, retained_bytes: int | None = None
    ) -> int:
        """Read once from the socket, blocking. Returns the number of bytes, 0 at the end of the connection.

        `total_bytes` is the size of the message, if known. If only the first bytes of the buffer are still
        needed, `retained_bytes` tells how many.
        """
        if self.filled == len(self.buffer) and (retained_bytes is None or self.filled < self.max_bytes):
            # Grow with the data received, not to the length that the head declares: declaring costs nothing.
            size = min(4 * len(self.buffer), total_bytes or self.max_bytes, self.max_bytes)
            if size <= self.filled:
                raise OutOfMemory
            # Slices of the previous message may be in use, so the buffer can't be resized in place.
            grown = Buffer(size, self.memory)
            copied = self.filled if retained_bytes is None else retained_bytes
            grown[:copied] = memoryview(self.buffer)[:copied]
            self.buffer = grown
        if retained_bytes is not None:
            self.filled = retained_bytes
        count = sock.recv_into(memoryview(self.buffer)[self.filled :])
        self.filled += count
        return count

    def start_next_message(self, used_bytes: int) -> None:
        """Drop the first `used_bytes` and continue with the next message."""
        self.replace_contents(memoryview(self.buffer)[used_bytes : self.filled])

    def replace_contents(self, contents: memoryview | bytes) -> None:
        buffer = Buffer(max(INITIAL_BYTES, len(contents)), self.memory)
        buffer[: len(contents)] = contents
        self.buffer, self.filled = buffer, len(contents)
