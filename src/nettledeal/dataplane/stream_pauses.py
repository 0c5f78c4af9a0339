"""The pauses in a backend's stream, which tell the selection of its load while the stream lasts."""

from __future__ import annotations

import time

from nettledeal.dataplane.selection import Attempt, Selector


class StreamPauses:
    """Measures from one reading of a stream to the next, and tells the selection."""

    def __init__(self, selector: Selector, attempt: Attempt):
        self.selector = selector
        self.attempt = attempt
        self.last_received_at = time.monotonic()

    def on_received(self) -> None:
        """More of the stream has come."""
        now = time.monotonic()
        self.selector.record_stream_pause(self.attempt, now - self.last_received_at, now)
        self.last_received_at = now
