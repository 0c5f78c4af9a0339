"""The pauses in a backend's stream, which tell the selection of its load while the stream lasts."""

from __future__ import annotations

import time

from nettledeal.dataplane.selection import Attempt, Selector


class StreamPauses:
    """Measures from one reading of a stream to the next, and tells the selection."""

    def __init__(self, selector: Selector, attempt: Attempt):
        self.selector = selector
        self.attempt = attempt
        self.heard_at = time.monotonic()

    def heard(self) -> None:
        """More of the stream has come."""
        now = time.monotonic()
        self.selector.record_stream_pause(self.attempt, now - self.heard_at, now)
        self.heard_at = now
