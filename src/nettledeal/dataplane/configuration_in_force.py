"""Which configuration a data plane goes by and since when, for its log."""

from __future__ import annotations

import time
from collections.abc import Mapping

from nettledeal.common.logs import log_event
from nettledeal.dataplane.routing_table import GENERATION_KEY, RoutingTable

NO_GENERATION = 0
MAX_UNROUTED_LOGGED_PER_S = 10


class ConfigurationInForce:
    """The generation and version in force; logs when they change and, as asked, which requests went by them.

    `since_s`: since when the generation is in force, in monotonic seconds.
    """

    def __init__(self, logs_requests: bool = False):
        self.generation = NO_GENERATION
        self.version: object = None
        self.since_s = time.monotonic()
        self._logs_requests = logs_requests
        self._evacuated: frozenset[str] = frozenset()
        self._unrouted_second = 0
        self._unrouted_logged = 0

    def change(self, version: object, entries: Mapping[str, bytes], table: RoutingTable) -> None:
        """Record the control state that is in force from now on."""
        self.version = version
        generation = int(entries.get(GENERATION_KEY, NO_GENERATION))
        if generation == self.generation and table.evacuated == self._evacuated:
            return
        now = time.monotonic()
        log_event(
            "dataplane:configuration",
            generation=generation,
            version=version,
            before=self.generation,
            before_for_s=round(now - self.since_s, 3),
            evacuated=sorted(table.evacuated),
        )
        if generation != self.generation:
            self.generation, self.since_s = generation, now
        self._evacuated = table.evacuated

    def log_request(self, request_id: bytes, path: bytes, route: str | None) -> None:
        """Log by what a request was routed: every one if the settings say so, else some without a route."""
        if not self._logs_requests and (route is not None or not self._may_log_unrouted()):
            return
        log_event(
            "dataplane:request",
            request_id=request_id.decode("latin-1"),
            path=path.decode("latin-1"),
            route=route,
            generation=self.generation,
            version=self.version,
            in_force_s=round(time.monotonic() - self.since_s, 3),
        )

    def _may_log_unrouted(self) -> bool:
        second = int(time.monotonic())
        if second != self._unrouted_second:
            self._unrouted_second, self._unrouted_logged = second, 0
        self._unrouted_logged += 1
        return self._unrouted_logged <= MAX_UNROUTED_LOGGED_PER_S
