"""Show the configuration in force, put a new one, change some of it, or check a file without sending it."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from pathlib import Path

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.operator_api.client import OperatorAnswer, OperatorClient
from nettledeal.operator_api.configuration_checks import parse_configuration
from nettledeal.operator_api.configuration_patch import parse_patch
from nettledeal.programs.commands.operator import add_call_arguments, exit_status, make_client


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """One more level of subcommands."""
    actions = parser.add_subparsers(dest="action", required=True)
    show = actions.add_parser("show", help="print the configuration in force as it was sent")
    add_call_arguments(show)
    put = actions.add_parser("put", help="put a configuration in force")
    _add_order_arguments(put)
    patch = actions.add_parser("patch", help="add, replace and remove named routes and services")
    _add_order_arguments(patch)
    check = actions.add_parser("check", help="check a file")
    check.add_argument("file", type=Path)


def _add_order_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", type=Path)
    parser.add_argument(
        "--if-match", type=int, metavar="GENERATION", help="it builds on; default: the one in force"
    )
    add_call_arguments(parser)


def run(parsed: argparse.Namespace) -> int:
    """Returns 0 where it was done, 1 where it was refused; raises ServingError where neither is known."""
    actions = {"show": _show, "put": _put, "patch": _patch, "check": _check}
    return actions[parsed.action](parsed)


def _show(parsed: argparse.Namespace) -> int:
    answer = make_client(parsed).get_configuration()
    if exit_status(answer) == 0:
        sys.stdout.buffer.write(answer.body + b"\n")
        return 0
    return 1


def _put(parsed: argparse.Namespace) -> int:
    body = _read(parsed.file)
    generation = parse_configuration(body).generation
    return _order(parsed, OperatorClient.put_configuration, body, generation)


def _patch(parsed: argparse.Namespace) -> int:
    body = _read(parsed.file)
    return _order(parsed, OperatorClient.patch_configuration, body, parse_patch(body).generation)


def _order(
    parsed: argparse.Namespace,
    send: Callable[[OperatorClient, bytes, int], OperatorAnswer],
    body: bytes,
    generation: int,
) -> int:
    client = make_client(parsed)
    version = client.current_generation() if parsed.if_match is None else parsed.if_match
    status = exit_status(send(client, body, version))
    if status == 0:
        print(f"configuration {generation} is in force")
    return status


def _check(parsed: argparse.Namespace) -> int:
    configuration = parse_configuration(_read(parsed.file))
    routes, services = len(configuration.routes), len(configuration.services)
    print(f"configuration {configuration.generation}: {routes} routes, {services} services")
    return 0


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise ServingError(ErrorCode.INVALID_CONFIGURATION, "read configuration", str(error)) from None
