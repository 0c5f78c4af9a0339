"""Decoded catalogue entries; warm-up countdowns continue from when each entry was received."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from nettledeal.common.errors import ServingError
from nettledeal.common.logs import log_event
from nettledeal.discovery.catalogue import Backend, decode_backend

MS_PER_S = 1000.0


class _ReceivedEntry(msgspec.Struct, frozen=True):
    value: bytes
    backend: Backend
    received_at: float

    def as_of(self, now: float) -> Backend:
        """The backend with its remaining warm-up time."""
        if self.backend.warmup_left_ms <= 0:
            return self.backend
        left_ms = self.backend.warmup_left_ms - MS_PER_S * (now - self.received_at)
        return msgspec.structs.replace(self.backend, warmup_left_ms=max(0.0, left_ms))


class BackendChanges(msgspec.Struct, frozen=True):
    """Differences of a new catalogue: new or changed backends, and removed ids."""

    changed: tuple[Backend, ...]
    removed: tuple[str, ...]


class KnownBackends:
    """Backends by id; only changed entries are decoded."""

    def __init__(self) -> None:
        self._received: dict[str, _ReceivedEntry] = {}

    def update(self, entries: Mapping[str, bytes], now: float) -> list[Backend]:
        """Apply the whole catalogue and return its backends as of now."""
        received: dict[str, _ReceivedEntry] = {}
        for backend_id, value in entries.items():
            known = self._received.get(backend_id)
            if known is None or known.value != value:
                known = _decode(value, now)
            if known is not None:
                received[backend_id] = known
        self._received = received
        return self.as_of(now)

    def change(self, entries: Mapping[str, bytes], keys: Iterable[str], now: float) -> BackendChanges:
        """Apply a catalogue that differs from the previous one at most in `keys`."""
        changed: list[Backend] = []
        removed: list[str] = []
        for backend_id in keys:
            value = entries.get(backend_id)
            known = self._received.get(backend_id)
            if known is not None and known.value == value:
                continue
            entry = None if value is None else _decode(value, now)
            if entry is not None:
                self._received[backend_id] = entry
                changed.append(entry.backend)
            elif self._received.pop(backend_id, None) is not None:
                removed.append(backend_id)
        return BackendChanges(tuple(changed), tuple(removed))

    def as_of(self, now: float) -> list[Backend]:
        """All backends with their remaining warm-up times."""
        return [entry.as_of(now) for entry in self._received.values()]


def _decode(value: bytes, now: float) -> _ReceivedEntry | None:
    """None for an unreadable entry, which doesn't affect the others."""
    try:
        return _ReceivedEntry(value, decode_backend(value), now)
    except ServingError as error:
        log_event("dataplane:unreadable_backend", error=str(error))
        return None
