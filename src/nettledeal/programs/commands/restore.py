"""Take an evacuated zone back."""

from __future__ import annotations

import argparse

from nettledeal.programs.commands.operator import add_call_arguments, exit_status, make_client


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """The zone, and whom to call."""
    parser.add_argument("zone")
    add_call_arguments(parser)


def run(parsed: argparse.Namespace) -> int:
    """Returns once the order is acknowledged or refused; raises ServingError where neither is known."""
    return exit_status(make_client(parsed).set_evacuation(parsed.zone, evacuated=False))
