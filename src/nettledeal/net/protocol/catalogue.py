"""Decodes the list of backends that discovery sends."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import isfinite
from typing import Any

import msgspec

from nettledeal.model import Lifecycle, Listing
from nettledeal.net.address import Address, parse_address

_LIFECYCLES = {"ready": Lifecycle.RUNNING, "draining": Lifecycle.DRAINING, "gone": Lifecycle.GONE}


class MalformedCatalogue(ValueError):
    """Data from discovery that can't be decoded; the text says what is wrong."""


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
    """One line of the list, decoded: the backends that it names and their addresses."""

    generation: int
    is_full: bool
    listings: list[Listing]
    addresses: dict[str, Address]
    unreadable_entries: int = 0  # entries that couldn't be decoded

    @property
    def resume_version(self) -> int | None:
        """The version to watch from; None unless this is a full list without unreadable entries."""
        return self.generation if self.is_full and not self.unreadable_entries else None


class Catalogue:
    """Decodes lines, using the names of zones and machine types in the settings."""

    def __init__(self, zones: Sequence[str], kinds: Sequence[str]):
        self.zones = {name: n for n, name in enumerate(zones)}
        self.kinds = {name: n for n, name in enumerate(kinds)}
        self.decoder = msgspec.json.Decoder(_Line)

    def parse(self, line: bytes | bytearray | Mapping) -> CatalogueUpdate:
        try:
            is_parsed = isinstance(line, Mapping)  # from the configuration
            parsed_line = msgspec.convert(line, _Line) if is_parsed else self.decoder.decode(line)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise MalformedCatalogue(str(error)) from None
        update = CatalogueUpdate(parsed_line.generation, parsed_line.reset, [], {})
        for raw_entry in parsed_line.instances:
            try:
                self._add(update, msgspec.convert(raw_entry, _Entry))
            except (msgspec.MsgspecError, ValueError):
                update.unreadable_entries += 1  # one bad entry must not invalidate the others
        return update

    def _add(self, update: CatalogueUpdate, entry: _Entry) -> None:
        lifecycle = _LIFECYCLES.get(entry.lifecycle)
        if lifecycle is not Lifecycle.GONE:
            update.addresses[entry.instance_id] = parse_address(entry.host_port)
        update.listings.append(self._listing(entry, lifecycle))

    def _listing(self, entry: _Entry, lifecycle: Lifecycle | None) -> Listing:
        return Listing(
            backend=entry.instance_id,
            # An unknown lifecycle: send it nothing new.
            lifecycle=lifecycle or Lifecycle.DRAINING,
            # -1: not in the settings, so never the own zone.
            zone=self.zones.get(entry.zone, -1),
            machine_type=self.kinds.get(entry.machine_type, -1),
            cell=entry.cell,
            weight=entry.weight if isfinite(entry.weight) and entry.weight > 0 else 1.0,
            started_at=max(0, entry.started_at_ms) * 10,
        )
