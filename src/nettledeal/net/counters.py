"""What must hold is asserted in debug builds and counted in release builds; so is what is worth a line."""

from __future__ import annotations

from collections import Counter

import structlog

log = structlog.get_logger()


class Counters(Counter[str]):
    def check_invariant(self, holds: bool, invariant: str) -> None:
        assert holds, invariant
        if not holds:
            self[f"broken: {invariant}"] += 1

    def record_exception(self, where: str) -> None:
        """An exception that was not to be and has been caught, so that it costs no more than it must."""
        self["faults"] += 1
        log.exception("fault", where=where)
