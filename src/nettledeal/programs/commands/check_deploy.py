"""Check a deploy file: the first fault is one line that names the key."""

from __future__ import annotations

import argparse
from pathlib import Path

from nettledeal.programs.deploy_file import read_deploy_file

DEFAULT_FILE = Path("deploy/system.toml")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """The file."""
    parser.add_argument("file", nargs="?", type=Path, default=DEFAULT_FILE, help="default: %(default)s")


def run(parsed: argparse.Namespace) -> int:
    """Returns 0 for a sound file; raises ServingError otherwise."""
    deployment = read_deploy_file(parsed.file)
    print(f"{parsed.file}: roles {', '.join(deployment.roles)}")
    return 0
