"""Addresses and settings files of the machines of a small system."""

from __future__ import annotations

import os
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from pathlib import Path

import msgspec

from nettledeal.common.addresses import Address
from nettledeal.common.settings import Bounds, Cloud, FaultTolerance, Listen, Settings

SEEDS = 3
PORT_RANGE = (7720, 7735)


class Port(IntEnum):
    """Ports for external callers; internal ports come from PORT_RANGE."""

    FRONTEND = 8161
    DIRECTORY = 8165
    CONTROL_PLANE = 8166
    READINESS = 8167
    PLATFORM = 8169
    BACKEND = 8080


class Zone(StrEnum):
    """The zones of a small system, two in one region and one in another."""

    NORTH_1 = "north-1"
    NORTH_2 = "north-2"
    SOUTH_1 = "south-1"

    @property
    def region(self) -> str:
        """The region that the zone belongs to."""
        return self.value.rpartition("-")[0]


ZONES = {str(zone): zone.region for zone in Zone}


@dataclass(frozen=True, slots=True)
class Network:
    """A block of loopback addresses, so that systems that run at the same time don't collide."""

    prefix: str

    @classmethod
    def of_this_process(cls, number: int = 0) -> Network:
        """The block for this process id; `number` distinguishes several systems in one process."""
        key = (os.getpid() * 4 + number) % (120 * 254)
        return cls(f"127.{100 + key // 254}.{1 + key % 254}")

    def host(self, number: int) -> str:
        """The address of a machine."""
        return f"{self.prefix}.{number}"


class MachineClass(StrEnum):
    """Classes of machines; the value is the role that a machine of the class runs."""

    CORE = "control-plane"
    EDGE = "data-plane"


@dataclass(frozen=True, slots=True)
class Layout:
    """The addresses of all machines."""

    network: Network
    cores: int = 3
    edges: int = 3
    bounds: Bounds = Bounds()

    @property
    def core_addresses(self) -> list[Address]:
        """The control planes' addresses for operators."""
        return [Address(self.core_host(number), Port.CONTROL_PLANE) for number in range(self.cores)]

    @property
    def directory_addresses(self) -> list[Address]:
        """The directories' addresses, where clients resolve data planes."""
        return [Address(self.core_host(number), Port.DIRECTORY) for number in range(self.cores)]

    @property
    def platform_address(self) -> Address:
        """The address of the platform's backend list."""
        return Address(self.network.host(200), Port.PLATFORM)

    def backend_address(self, number: int) -> Address:
        """The address of a backend."""
        return Address(self.network.host(100 + number), Port.BACKEND)

    def core_zone(self, number: int) -> Zone:
        """The zone of a core machine of the initial deployment."""
        return _zone_of(number)

    def core_settings(self, number: int, folder: Path, bootstrap: bool, zone: Zone | None = None) -> Settings:
        """The settings of a core machine."""
        host = self.core_host(number)
        listen = Listen(
            control_plane=f"{host}:{int(Port.CONTROL_PLANE)}", directory=f"{host}:{int(Port.DIRECTORY)}"
        )
        settings = self._settings(
            f"core-{number + 1}", MachineClass.CORE, host, zone or _zone_of(number), listen
        )
        return msgspec.structs.replace(
            settings, bootstrap=bootstrap, counts_for_quorum=True, data_dir=str(folder / settings.node_name)
        )

    def edge_settings(self, number: int) -> Settings:
        """The settings of an edge machine."""
        host = self.network.host(51 + number)
        listen = Listen(frontend=f"{host}:{int(Port.FRONTEND)}", readiness=f"{host}:{int(Port.READINESS)}")
        return self._settings(f"edge-{number + 1}", MachineClass.EDGE, host, _zone_of(number), listen)

    def core_host(self, number: int) -> str:
        """The address of a core machine."""
        return self.network.host(11 + number)

    def _settings(self, name: str, role: MachineClass, host: str, zone: Zone, listen: Listen) -> Settings:
        return Settings(
            node_name=name,
            role=str(role),
            machine_class="core" if role is MachineClass.CORE else "edge",
            serves=["control_plane", "registry"] if role is MachineClass.CORE else ["edge"],
            ip=host,
            zone=str(zone),
            region=zone.region,
            port_range=PORT_RANGE,
            seeds=[str(address) for address in self.core_addresses[:SEEDS]],
            zones=ZONES,
            listen=listen,
            fault_tolerance=FaultTolerance(machines=1 if self.cores > 2 else 0),
            bounds=self.bounds,
            cloud=Cloud(str(self.platform_address)),
        )


def _zone_of(number: int) -> Zone:
    """Assign machines of a class to zones round-robin."""
    return list(Zone)[number % len(Zone)]


def write_settings(settings: Settings, path: Path) -> None:
    """Write a settings file."""
    values = msgspec.to_builtins(settings)
    plain = {key: value for key, value in values.items() if not isinstance(value, dict) and value is not None}
    tables = {key: value for key, value in values.items() if isinstance(value, dict)}
    lines = list(_lines(plain.items()))
    for name, table in tables.items():
        lines += ["", f"[{name}]", *_lines(table.items())]
    path.write_text("\n".join(lines) + "\n")


def _lines(items: Iterable[tuple[str, object]]) -> Iterable[str]:
    # Strings, numbers, booleans and lists of these have the same syntax in JSON and TOML.
    return (f"{key} = {msgspec.json.encode(value).decode()}" for key, value in items if value is not None)
