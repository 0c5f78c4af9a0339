"""The backend catalogue: its entries, their encoding, and updates from readings of the platform's list.

A catalogue is a map from a backend's id to its encoded entry. An entry changes only if the
backend itself has changed, so countdowns in the list keep the values at which they were first read:
a subscriber adds `warmup_left_ms` and `remaining_ms` to the moment at which it received the entry.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from enum import StrEnum

import cbor2
import msgspec

from nettledeal.common.addresses import parse_address
from nettledeal.common.errors import ErrorCode, ServingError

# A countdown that deviates from its expected value by more than this has been restarted.
COUNTDOWN_TOLERANCE_MS = 400.0
# Consecutive multi-page readings that must lack a backend before it is removed: if an entry of an earlier
# page is removed during a reading, the next page skips an entry.
MISSES_BEFORE_REMOVAL_IF_PAGED = 2


class BackendState(StrEnum):
    """A backend's state in the platform's list."""

    READY = "ready"
    DRAINING = "draining"


class ServedModel(msgspec.Struct, frozen=True, omit_defaults=True):
    """A model that a backend has loaded."""

    name: str
    generation: int = 0
    adapters: tuple[str, ...] = ()


class Backend(msgspec.Struct, frozen=True, omit_defaults=True):
    """One incarnation of a backend. Times are milliseconds; None if the list doesn't give one."""

    id: str
    service: str
    address: str
    zone: str
    generation: str = ""
    capacity: int = 1
    state: BackendState = BackendState.READY
    warmup_left_ms: float = 0.0
    remaining_ms: float | None = None
    stage: str | None = None
    models: tuple[ServedModel, ...] = ()


class ListPage(msgspec.Struct, frozen=True):
    """A page of the platform's list; entries are decoded separately, so an invalid one affects no other."""

    instances: list[msgspec.Raw]
    next_page_token: str | None = None


def encode_backend(backend: Backend) -> bytes:
    """Encodes a backend as the value of a catalogue entry."""
    return cbor2.dumps(msgspec.to_builtins(backend))


def decode_backend(value: bytes) -> Backend:
    """Decodes the value of a catalogue entry; raises ServingError with MALFORMED_MESSAGE."""
    try:
        return msgspec.convert(cbor2.loads(value), Backend)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError) as error:
        raise ServingError(ErrorCode.MALFORMED_MESSAGE, "decode backend", str(error)) from None


_PAGE_DECODER = msgspec.json.Decoder(ListPage)
_BACKEND_DECODER = msgspec.json.Decoder(Backend, strict=False)


def parse_page(body: bytes) -> tuple[list[Backend], str | None, int]:
    """Returns the page's backends, the token of the next page, and the number of unreadable entries.

    Raises ServingError with MALFORMED_MESSAGE if the page as a whole cannot be read.
    """
    try:
        page = _PAGE_DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ServingError(ErrorCode.MALFORMED_MESSAGE, "read list page", str(error)) from None
    backends = [backend for entry in page.instances if (backend := _parse_backend(entry)) is not None]
    return backends, page.next_page_token, len(page.instances) - len(backends)


def _parse_backend(entry: msgspec.Raw) -> Backend | None:
    try:
        backend = _BACKEND_DECODER.decode(entry)
        parse_address(backend.address)
    except (msgspec.MsgspecError, ValueError):
        return None
    return backend if backend.id else None


class _CatalogueEntry:
    """A published entry and the state that later readings are compared with."""

    def __init__(self, backend: Backend, now_s: float):
        self.backend = backend
        self.seen_at_s = now_s
        self.value = encode_backend(backend)
        self.misses = 0

    def matches(self, other: Backend, now_s: float) -> bool:
        """Whether the entry is equivalent to `other`, read at `now_s`, apart from elapsed countdowns."""
        published = self.backend
        elapsed_ms = (now_s - self.seen_at_s) * 1000
        same_countdowns = _countdown_matches(published.warmup_left_ms, other.warmup_left_ms, elapsed_ms) and (
            _countdown_matches(published.remaining_ms, other.remaining_ms, elapsed_ms)
        )
        return same_countdowns and other == msgspec.structs.replace(
            published, warmup_left_ms=other.warmup_left_ms, remaining_ms=other.remaining_ms
        )


def _countdown_matches(first: float | None, later: float | None, elapsed_ms: float) -> bool:
    if first is None or later is None:
        return first is later
    if later == 0 or first == 0:
        return first == later
    return abs(first - elapsed_ms - later) <= COUNTDOWN_TOLERANCE_MS


class Catalogue:
    """The backends according to all readings so far. Times are monotonic seconds."""

    def __init__(self) -> None:
        self._entries: dict[str, _CatalogueEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def entries(self) -> dict[str, bytes]:
        """Returns a map from id to encoded backend."""
        return {backend_id: entry.value for backend_id, entry in self._entries.items()}

    def apply(self, backends: Iterable[Backend], now_s: float, complete: bool, pages: int = 1) -> bool:
        """Applies a reading and returns whether anything changed. An incomplete reading removes nothing."""
        listed = {backend.id: backend for backend in backends}
        changed = [self._update(backend, now_s) for backend in listed.values()]
        removed = complete and self.remove_missing(listed.keys(), pages)
        return any(changed) or removed

    def remove_missing(self, listed: Collection[str], pages: int = 1) -> bool:
        """Removes backends missing from a complete reading of `pages` pages; returns whether any were."""
        removed = self._find_removed(listed, pages)
        for backend_id in removed:
            del self._entries[backend_id]
        return bool(removed)

    def _update(self, backend: Backend, now_s: float) -> bool:
        entry = self._entries.get(backend.id)
        if entry is not None:
            entry.misses = 0
            if entry.matches(backend, now_s):
                return False
        self._entries[backend.id] = _CatalogueEntry(backend, now_s)
        return True

    def _find_removed(self, listed: Collection[str], pages: int) -> list[str]:
        # An empty list is more likely to be a fault of the list, so it must be read twice.
        required_misses = MISSES_BEFORE_REMOVAL_IF_PAGED if pages > 1 or not listed else 1
        removed = []
        for backend_id, entry in self._entries.items():
            if backend_id not in listed:
                entry.misses += 1
                if entry.misses >= required_misses:
                    removed.append(backend_id)
        return removed
