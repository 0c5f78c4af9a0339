"""Check a data directory that no process uses: every fault is a line; nothing is repaired."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from nettledeal.control.data_checks import findings
from nettledeal.control.inspection import inspect_folder

EXIT_FOUND_WANTING = 1


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """The directory."""
    parser.add_argument("data_dir", type=Path)


def run(parsed: argparse.Namespace) -> int:
    """Returns 0 for a sound directory, 1 after the faults found; raises ServingError for a foreign one."""
    faults = findings(inspect_folder(parsed.data_dir))
    for fault in faults:
        print(f"nettledeal: {parsed.data_dir}: {fault}", file=sys.stderr)
    if not faults:
        print(f"{parsed.data_dir}: sound")
    return EXIT_FOUND_WANTING if faults else 0
