"""The buffers that connections read messages into, within one memory of memory."""

from __future__ import annotations

from gevent import socket

INITIAL_BYTES = 2048
RELAY_WINDOW_BYTES = 32 * 1024


class OutOfMemory(Exception):
    """No memory is left for a message to grow into."""


class MemoryPool:
    """Memory for what goes beyond the first bytes of messages, over many connections."""

    def __init__(self, limit: int):
        self.limit = limit
        self.used_bytes = 0


class Buffer(bytearray):
    """Counts against its memory for as long as anybody holds a slice of it, also after its connection."""

    __slots__ = ("counted", "memory")

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
    """What one relay reads into; a small one where memory is short, since what it carries can't be refused
    any more."""
    try:
        return Buffer(RELAY_WINDOW_BYTES, memory)
    except OutOfMemory:
        return Buffer(INITIAL_BYTES, memory)


class ReadBuffer:
    """Holds one message at a time. Whoever still holds slices of one keeps its buffer; the connection
    goes on with a new one, so nothing is copied but what has come behind the message."""

    def __init__(self, memory: MemoryPool, max_bytes: int):
        self.memory = memory
        self.max_bytes = max_bytes + INITIAL_BYTES
        self.buffer = Buffer(INITIAL_BYTES, memory)
        self.filled = 0

    def read(
        self, sock: socket.socket, total_bytes: int | None = None, retained_bytes: int | None = None
    ) -> int:
        """Blocks; the number of bytes that came, 0 at the end. `whole` is the message's size, if known; where
        only the first bytes are still needed, `kept` tells how many."""
        if self.filled == len(self.buffer) and (retained_bytes is None or self.filled < self.max_bytes):
            # By what has come, not by what the head claims: a claim costs its sender nothing.
            size = min(4 * len(self.buffer), total_bytes or self.max_bytes, self.max_bytes)
            if size <= self.filled:
                raise OutOfMemory
            # No slice is out before a message is whole, but one of its forerunner may be: so no resizing.
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
        """Starts on the message behind the first `used` bytes."""
        self.replace_contents(memoryview(self.buffer)[used_bytes : self.filled])

    def replace_contents(self, contents: memoryview | bytes) -> None:
        buffer = Buffer(max(INITIAL_BYTES, len(contents)), self.memory)
        buffer[: len(contents)] = contents
        self.buffer, self.filled = buffer, len(contents)
