"""Load reports, as backends word them, in the words that the settings name them by."""

from __future__ import annotations

from math import isfinite

from nettledeal.model import LoadReport

# What backends call what the settings call otherwise.
_NAMES = {"inflight": "outstanding", "queue": "backlog", "util": "utilization"}
_MOST = 1024


def report(text: bytes | memoryview | None) -> LoadReport:
    """What can be read of a report; what is no sensible number is left out."""
    found: dict[str, float] = {}
    if text is None or len(text) > _MOST:
        return found
    for part in bytes(text).decode("ascii", "replace").split(","):
        name, equals, value = part.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if equals and isfinite(number) and number >= 0:
            found[_NAMES.get(name.strip(), name.strip())] = number
    return found
