"""Events of a `text/event-stream` body: whole ones, and the id of the last."""

from __future__ import annotations

_END = b"\n\n"
_ID = b"id:"


class EventSplitter:
    """Holds back the part of an event that has not come whole, so that a stream may be cut between events."""

    def __init__(self) -> None:
        self.partial = b""
        self.last_id: bytes | None = None

    def feed(self, data: bytes) -> bytes:
        """The whole events among what has come so far."""
        self.partial += data
        end = self.partial.rfind(_END)
        if end < 0:
            return b""
        whole = self.partial[: end + len(_END)]
        self.partial = self.partial[end + len(_END) :]
        self._update_last_id(whole)
        return whole

    def take_partial(self) -> bytes:
        """What came behind the last whole event; part of the body where the stream ended in order, void where
        it broke off."""
        rest, self.partial = self.partial, b""
        return rest

    def _update_last_id(self, whole: bytes) -> None:
        at = whole.rfind(b"\n" + _ID)
        if at >= 0:
            at += 1
        elif whole.startswith(_ID):
            at = 0
        else:
            return
        self.last_id = whole[at + len(_ID) : whole.index(b"\n", at)].strip()
