"""What a backend tells of its load in an answer: `Server-Load: running,waiting,slots`."""

from __future__ import annotations

from nettledeal.dataplane.selection import ReportedLoad

LOAD_HEADER = b"server-load"
MAX_DIGITS = 7


def read_server_load(value: bytes) -> ReportedLoad | None:
    """The load told in a header; None where there is none, or none that can be."""
    parts = [part.strip() for part in value.split(b",")] if value else []
    if len(parts) != 3 or not all(part.isdigit() and len(part) <= MAX_DIGITS for part in parts):
        return None
    running, waiting, slots = map(int, parts)
    return ReportedLoad(running, waiting) if 0 < slots >= running else None
