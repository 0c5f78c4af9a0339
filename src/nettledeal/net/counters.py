"""Event counters. Invariants are asserted in debug runs and counted in optimised runs (`python -O`)."""

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
        """Count and log an unexpected exception, caught to limit its damage; `where` names the place."""
        self["faults"] += 1
        log.exception("fault", where=where)
