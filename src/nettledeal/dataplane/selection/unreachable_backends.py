"""Backends that get no requests until a connection to them can be opened.

Kept in a separate index, so that listing them doesn't scan the whole catalogue.
"""

from __future__ import annotations

from collections.abc import Mapping

from nettledeal.dataplane.selection.backend_record import BackendRecord
from nettledeal.dataplane.selection.health import HealthState
from nettledeal.dataplane.selection.model import READY


class UnreachableBackends:
    """Records marked unreachable, until they are reachable again or removed from the catalogue."""

    def __init__(self) -> None:
        self._records: dict[str, BackendRecord] = {}

    def add(self, record: BackendRecord) -> None:
        """Add a backend that was marked unreachable."""
        self._records[record.backend.id] = record

    def ready_ids(self, records: Mapping[str, BackendRecord], now: float) -> list[str]:
        """Ids of those still unreachable, still among `records` and ready according to the catalogue."""
        self._records = {
            backend_id: record
            for backend_id, record in self._records.items()
            if records.get(backend_id) is record and record.health.state(now) is HealthState.UNREACHABLE
        }
        return [backend_id for backend_id, record in self._records.items() if record.backend.state == READY]
