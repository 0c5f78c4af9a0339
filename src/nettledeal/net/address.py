"""Network addresses: a host and a port, and their `host:port` form."""

from __future__ import annotations

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is no host:port")
    return host.strip("[]"), int(port)


def format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
