"""The serving system's program with a fault injected into tenant isolation, for the demonstration only.

NETTLEDEAL_PLANTED_FAULT names the fault, NETTLEDEAL_HINTS a folder that the agents share.
"""

from __future__ import annotations

import os
from pathlib import Path

import xxhash

from nettledeal.dataplane.forwarding import Exchange
from nettledeal.programs.main import main
from nettledeal.standins.tenant_faults import Fault, faulty_separate
from nettledeal.tenancy import bindings, orders, wiring
from nettledeal.tenancy.gate import TenantGate

FAULT_VARIABLE = "NETTLEDEAL_PLANTED_FAULT"
HINTS_VARIABLE = "NETTLEDEAL_HINTS"


class HintFolder:
    """Hints stored as files, shared between processes."""

    def __init__(self, folder: Path):
        self._folder = folder

    def get(self, shared: bytes) -> str | None:
        """The header that an earlier request used."""
        path = self._path(shared)
        return path.read_text() if path.exists() else None

    def __setitem__(self, shared: bytes, header: str) -> None:
        self._path(shared).write_text(header)

    def _path(self, shared: bytes) -> Path:
        return self._folder / xxhash.xxh3_64_hexdigest(shared)


def plant(fault: Fault, hints: HintFolder) -> None:
    """Inject a fault into this process."""
    if fault is Fault.BINDING_IGNORED:
        orders.fault_of_claims = bindings.fault_of_claims = lambda entries, claims: None
    elif fault is Fault.STALE_AFTER_MOVE:
        _plant_stale_move()
    else:
        make_gate = wiring.make_gate
        wiring.make_gate = lambda settings: TenantGate(
            make_gate(settings).keys, faulty_separate(fault, hints)
        )


def _plant_stale_move() -> None:
    first_seen: dict[str, bool] = {}
    begin = Exchange.__init__

    def begin_stale(self, forwarding, request, target, client) -> None:
        begin(self, forwarding, request, target, client)
        request.rewrites_prompt = first_seen.setdefault(target.route.name, request.rewrites_prompt)

    Exchange.__init__ = begin_stale


if __name__ == "__main__":
    plant(Fault(os.environ[FAULT_VARIABLE]), HintFolder(Path(os.environ[HINTS_VARIABLE])))
    main()
