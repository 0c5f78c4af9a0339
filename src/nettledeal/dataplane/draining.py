"""Draining of a process: it keeps serving while clients still connect, then finishes what it has read.

Clients use resolved addresses for up to three times the TTL, so new connections are accepted until none has
arrived for a while.
"""

from __future__ import annotations

import time

import gevent

from nettledeal.common.settings import Bounds
from nettledeal.dataplane.ingress import Ingress

# Shares of the grace period: until when connections are accepted, and by when the process must have ended.
ACCEPT_SHARE = 0.7
END_SHARE = 0.92
# Without a new connection for this long, the clients are assumed to know that this process is leaving.
QUIET_S = 1.5
CHECK_INTERVAL_S = 0.05


class Drain:
    """The steps from SIGTERM to the end of the process."""

    def __init__(self, ingress: Ingress, bounds: Bounds):
        self.ingress = ingress
        self.began_at = time.monotonic()
        self.accept_until = self.began_at + ACCEPT_SHARE * bounds.grace_s
        self.end_by = self.began_at + END_SHARE * bounds.grace_s
        self.quiet_after = self.began_at + min(bounds.resolve_hold_s, ACCEPT_SHARE * bounds.grace_s)

    def run(self) -> None:
        """Return once every request has its response, at the latest shortly before the grace period ends."""
        while not self._may_stop_accepting(time.monotonic()):
            gevent.sleep(CHECK_INTERVAL_S)
        self.ingress.stop_accepting()
        self.ingress.close_idle()
        while self.ingress.busy_connections and time.monotonic() < self.end_by:
            gevent.sleep(CHECK_INTERVAL_S)
            self.ingress.close_idle()

    def _may_stop_accepting(self, now: float) -> bool:
        if now >= self.accept_until:
            return True
        return now >= self.quiet_after and now - self.ingress.last_accepted_at >= QUIET_S
