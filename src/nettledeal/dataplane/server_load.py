"""Parses the load that a backend reports in a response: `Server-Load: running,waiting,slots`."""

from __future__ import annotations

from nettledeal.dataplane.selection import ReportedLoad

LOAD_HEADER = b"server-load"
MAX_DIGITS = 7


def read_server_load(value: bytes) -> ReportedLoad | None:
    """The load in a header value; None if it is empty or implausible."""
    parts = [part.strip() for part in value.split(b",")] if value else []
    if len(parts) != 3 or not all(part.isdigit() and len(part) <= MAX_DIGITS for part in parts):
        return None
    running, waiting, slots = map(int, parts)
    return ReportedLoad(running, waiting) if 0 < slots >= running else None
