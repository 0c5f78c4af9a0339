"""Read and check a settings file; a fault is one line that names the key."""

from __future__ import annotations

import argparse
from pathlib import Path

from nettledeal.common.settings import read_settings


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """The file, if it isn't the one that the environment names."""
    parser.add_argument("file", nargs="?", type=Path, help="default: the file NETTLEDEAL_SETTINGS names")


def run(parsed: argparse.Namespace) -> int:
    """Returns 0 where the file is sound; raises ServingError otherwise."""
    read_settings(parsed.file or parsed.settings_path)
    return 0
