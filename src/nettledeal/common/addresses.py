"""Network addresses and the assignment of internal ports."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class Address(NamedTuple):
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class InternalPort(IntEnum):
    """Offsets into a machine's `port_range`; the range is the same on all machines of a deployment."""

    REPLICATION = 0
    DISTRIBUTION = 1
    CORE_MEMBERSHIP = 2
    EDGE_MEMBERSHIP = 3


def parse_address(text: str) -> Address:
    """Read `host:port`; raises ValueError if it has another form."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return Address(host, int(port))
