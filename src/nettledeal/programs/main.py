"""The command line of the serving system's programs.

Exit status: 0 done; 1 done and found wanting, or refused; 2 not begun or not known to be done, with one line
on standard error that says why. A subcommand's module is imported only when it is called, which keeps
processes small.
"""

from __future__ import annotations

import argparse
import signal
import sys
from collections.abc import Sequence
from importlib import import_module
from pathlib import Path
from types import MappingProxyType, ModuleType
from typing import NamedTuple

from nettledeal.common.errors import ServingError

PROGRAM = "nettledeal-system"
EXIT_NOT_BEGUN = 2
EXIT_INTERRUPTED = 130


class Subcommand(NamedTuple):
    """Where a subcommand is and what it does."""

    module: str
    summary: str


SUBCOMMANDS = MappingProxyType(
    {
        "data-plane": Subcommand("data_plane", "run the data plane of an edge machine"),
        "control-plane": Subcommand("control_plane", "run the control plane of a core machine"),
        "status": Subcommand("status", "show members, epoch, versions, streams and budgets"),
        "config": Subcommand("config", "show, put or check a configuration"),
        "evacuate": Subcommand("evacuate", "send nothing more to the backends of a zone"),
        "restore": Subcommand("restore", "take an evacuated zone back"),
        "tenants": Subcommand("tenants", "list tenants, renew or drop their keys, see their reuse"),
        "inspect": Subcommand("inspect", "show what a data directory holds"),
        "check-data": Subcommand("check_data", "check a data directory; repairs nothing"),
        "check-settings": Subcommand("check_settings", "check a settings file"),
        "check-deploy": Subcommand("check_deploy", "check a deploy file"),
    }
)


# These run until they are told to stop, and follow their settings file.
PLANES = frozenset({"data-plane", "control-plane"})


def build_parser() -> argparse.ArgumentParser:
    """The parser of what stands before a subcommand's own arguments."""
    lines = [f"  {name:<15} {entry.summary}" for name, entry in SUBCOMMANDS.items()]
    parser = argparse.ArgumentParser(
        prog=PROGRAM,
        description="Serving of language models across regions",
        epilog="\n".join(["subcommands:", *lines, "", f"{PROGRAM} SUBCOMMAND --help shows its arguments"]),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--settings", type=Path, help="default: the file NETTLEDEAL_SETTINGS names")
    parser.add_argument("subcommand", choices=SUBCOMMANDS, metavar="SUBCOMMAND")
    parser.add_argument("arguments", nargs=argparse.REMAINDER, metavar="...", help="its own arguments")
    return parser


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the chosen subcommand and exit with its status."""
    parsed = build_parser().parse_args(arguments)
    try:
        status = run_subcommand(parsed.subcommand, parsed.arguments, parsed.settings)
    except (ServingError, OSError) as error:
        print(f"nettledeal: {error}".replace("\n", " "), file=sys.stderr)
        status = EXIT_NOT_BEGUN
    except KeyboardInterrupt:
        status = EXIT_INTERRUPTED
    sys.exit(status)


def run_subcommand(name: str, arguments: Sequence[str], settings_path: Path | None) -> int:
    """Run one subcommand; raises ServingError, or OSError where an address or a file can't be had."""
    if name in PLANES:
        # Its default would end a process that is still being loaded. The settings file is read again later.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    module: ModuleType = import_module(f"nettledeal.programs.commands.{SUBCOMMANDS[name].module}")
    parser = argparse.ArgumentParser(prog=f"{PROGRAM} {name}", description=module.__doc__)
    module.add_arguments(parser)
    parsed = parser.parse_args(arguments)
    parsed.settings_path = settings_path
    return module.run(parsed)
