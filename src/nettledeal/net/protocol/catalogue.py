"""Entries of the list of backends, in the words of the project."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import isfinite
from typing import Any

import msgspec

from nettledeal.model import Lifecycle, Listing
from nettledeal.net.address import Address, parsed

_LIVES = {"ready": Lifecycle.RUNNING, "draining": Lifecycle.DRAINING, "gone": Lifecycle.GONE}


class Garbled(ValueError):
    """A line of the list that cannot be read; the text says what is wrong with it."""


class _Entry(msgspec.Struct, rename="camel"):
    instance_id: str
    host_port: str = ""
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    lifecycle: str = "ready"
    weight: float = 1.0
    started_at_ms: int = 0


class _Line(msgspec.Struct):
    generation: int
    instances: list[Any]
    reset: bool = False


@dataclass(slots=True)
class CatalogueUpdate:
    """What one line of the list says, and where each backend is to be reached."""

    generation: int
    whole: bool
    listings: list[Listing]
    places: dict[str, Address]
    unread: int = 0  # entries that make no sense

    @property
    def base(self) -> int | None:
        """The version from which changes make up the list; one with holes would keep them."""
        return self.generation if self.whole and not self.unread else None


class Catalogue:
    """Reads lines by the names of zones and kinds that the settings give."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]):
        self.zones = {name: n for n, name in enumerate(zones)}
        self.kinds = {name: n for n, name in enumerate(kinds)}
        self.decoder = msgspec.json.Decoder(_Line)

    def parse(self, line: bytes | bytearray | Mapping) -> CatalogueUpdate:
        try:
            known = isinstance(line, Mapping)  # told at the start, read by then
            read = msgspec.convert(line, _Line) if known else self.decoder.decode(line)
        except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
            raise Garbled(str(fault)) from None
        news = CatalogueUpdate(read.generation, read.reset, [], {})
        for raw in read.instances:
            try:
                self._add(news, msgspec.convert(raw, _Entry))
            except (msgspec.MsgspecError, ValueError):
                news.unread += 1  # one that cannot be read must not cost the others
        return news

    def _add(self, news: CatalogueUpdate, entry: _Entry) -> None:
        life = _LIVES.get(entry.lifecycle)
        if life is not Lifecycle.GONE:
            news.places[entry.instance_id] = parsed(entry.host_port)
        news.listings.append(self._listing(entry, life))

    def _listing(self, entry: _Entry, life: Lifecycle | None) -> Listing:
        return Listing(
            backend=entry.instance_id,
            # A word not known yet is no promise that new work is wanted.
            lifecycle=life or Lifecycle.DRAINING,
            # A zone that no setting names is no one's home.
            zone=self.zones.get(entry.zone, -1),
            machine_type=self.kinds.get(entry.machine_type, -1),
            cell=entry.cell,
            weight=entry.weight if isfinite(entry.weight) and entry.weight > 0 else 1.0,
            started_at=max(0, entry.started_at_ms) * 10,
        )
