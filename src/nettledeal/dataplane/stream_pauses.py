"""Measures the pauses in a backend's stream, which indicate its load while the stream lasts."""

from __future__ import annotations

import time

from nettledeal.dataplane.selection import Attempt, Selector


class StreamPauses:
    """Reports the time between successive reads of a stream to the selector."""

    def __init__(self, selector: Selector, attempt: Attempt):
        self.selector = selector
        self.attempt = attempt
        self.last_received_at = time.monotonic()

    def on_received(self) -> None:
        """More of the stream has arrived."""
        now = time.monotonic()
        self.selector.record_stream_pause(self.attempt, now - self.last_received_at, now)
        self.last_received_at = now
