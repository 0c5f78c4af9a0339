"""Splits a `text/event-stream` body into complete events and tracks the id of the last one."""

from __future__ import annotations

_END = b"\n\n"
_ID = b"id:"


class EventSplitter:
    """Holds back incomplete events, so that a stream may be resumed between events."""

    def __init__(self) -> None:
        self.partial = b""
        self.last_id: bytes | None = None

    def feed(self, data: bytes) -> bytes:
        """Add data; returns the complete events received so far."""
        self.partial += data
        end = self.partial.rfind(_END)
        if end < 0:
            return b""
        complete = self.partial[: end + len(_END)]
        self.partial = self.partial[end + len(_END) :]
        self._update_last_id(complete)
        return complete

    def take_partial(self) -> bytes:
        """The data after the last complete event: part of the body if the stream ended normally, to be
        discarded if it broke off."""
        rest, self.partial = self.partial, b""
        return rest

    def _update_last_id(self, complete: bytes) -> None:
        at = complete.rfind(b"\n" + _ID)
        if at >= 0:
            at += 1
        elif complete.startswith(_ID):
            at = 0
        else:
            return
        self.last_id = complete[at + len(_ID) : complete.index(b"\n", at)].strip()
