"""Every interleaving of the control state's replicas within bounds, each bound seen whole where it fits.

    python3 experiments/control_bounds.py --list
    python3 experiments/control_bounds.py [NUMBER...] [--states N] [--memory-mb MB]

tells of each bound the states that it has, whether they were all, seconds and memory; ends with 1 if a
promise was broken. `tests/system/control_explorer.py` says what a state is and which reductions are made.
"""

from __future__ import annotations

import argparse
import sys
import time
from dataclasses import replace
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "src")]

from tests.system.control_explorer import COMPLETE_BOUNDS, Bounds  # noqa: E402
from tests.system.control_vectorized_explorer import VectorExplorer, used_mebibytes  # noqa: E402

MAX_STATES = 1_000_000_000
MAX_MEMORY_MB = 4000.0


def in_words(bounds: Bounds) -> str:
    """What may happen within a bound."""
    return ", ".join(f"{value} {name}" for name, value in vars(bounds).items() if name != "states" and value)


def explored(bounds: Bounds, states: int, memory_mb: float) -> bool:
    """Explore one bound and tell of it; whether no promise was broken."""
    began = time.monotonic()
    name = in_words(bounds)
    explorer = VectorExplorer(replace(bounds, states=states))
    found = explorer.explore(memory_mb, lambda line: print(f"{name}: {line}", flush=True))
    extent = "whole" if found.complete else "in part"
    spent = f"{time.monotonic() - began:.0f} s, {used_mebibytes():.0f} MB"
    print(f"{name}: {found.states} states, {extent}, {spent} {found.violation}".rstrip(), flush=True)
    return not found.violation


def main() -> int:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("bounds", type=int, nargs="*", help="numbers of bounds; all without any")
    parser.add_argument("--states", type=int, default=MAX_STATES, help="stop a bound beyond these")
    parser.add_argument("--memory-mb", type=float, default=MAX_MEMORY_MB, help="stop beyond this memory")
    parser.add_argument("--list", action="store_true", help="show the bounds and their numbers")
    told = parser.parse_args()
    chosen = [COMPLETE_BOUNDS[number] for number in told.bounds] or COMPLETE_BOUNDS
    if told.list:
        print(*(f"{number}: {in_words(bounds)}" for number, bounds in enumerate(chosen)), sep="\n")
        return 0
    kept = [explored(bounds, told.states, told.memory_mb) for bounds in chosen]
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(main())
