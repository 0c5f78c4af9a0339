"""What the operator's subcommands share: whom to call, for how long, and how an answer ends the program."""

from __future__ import annotations

import argparse
import sys
from http import HTTPStatus

from nettledeal.common.addresses import Address, parse_address
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.settings import read_settings
from nettledeal.operator_api.client import OperatorAnswer, OperatorClient

DEFAULT_PATIENCE_S = 15.0
EXIT_REFUSED = 1


def add_call_arguments(parser: argparse.ArgumentParser) -> None:
    """Which core machines are called, and how long an order is sent again."""
    parser.add_argument(
        "--address",
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="a core machine's control_plane address, may be repeated; default: the settings' seeds",
    )
    parser.add_argument(
        "--patience",
        type=float,
        default=DEFAULT_PATIENCE_S,
        metavar="SECONDS",
        help="how long to go on while no answer is clear (default %(default)s)",
    )


def make_client(parsed: argparse.Namespace) -> OperatorClient:
    """A client of the named core machines, or of the settings' seeds; raises ServingError."""
    return OperatorClient(_addresses(parsed), parsed.patience)


def exit_status(answer: OperatorAnswer) -> int:
    """0 for a success; otherwise 1, after a line that tells the reason."""
    if HTTPStatus.OK <= answer.status < HTTPStatus.MULTIPLE_CHOICES:
        return 0
    print(f"nettledeal: refused by {answer.peer}: {answer.status} {answer.reason}", file=sys.stderr)
    return EXIT_REFUSED


def _addresses(parsed: argparse.Namespace) -> list[Address]:
    texts = parsed.address or read_settings(parsed.settings_path).seeds
    try:
        return [parse_address(text) for text in texts]
    except ValueError as error:
        raise ServingError(ErrorCode.INVALID_SETTINGS, "read --address", str(error)) from None
