"""Parses load reports of backends into the field names that the settings use."""

from __future__ import annotations

from math import isfinite

from nettledeal.model import LoadReport

# Names in the settings, by the name that backends use, where they differ.
_SETTINGS_NAMES = {"inflight": "outstanding", "queue": "backlog", "util": "utilization"}
_MAX_REPORT_BYTES = 1024


def parse_load_report(text: bytes | memoryview | None) -> LoadReport:
    """The valid fields of a report; anything that is not a finite, non-negative number is left out."""
    values: dict[str, float] = {}
    if text is None or len(text) > _MAX_REPORT_BYTES:
        return values
    for part in bytes(text).decode("ascii", "replace").split(","):
        name, separator, value = part.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if separator and isfinite(number) and number >= 0:
            values[_SETTINGS_NAMES.get(name.strip(), name.strip())] = number
    return values
