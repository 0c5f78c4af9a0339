"""Tenants: list them, see their reuse, make or renew a key, drop what is cached, make a region's key."""

from __future__ import annotations

import argparse
import sys
from http import HTTPMethod, HTTPStatus
from pathlib import Path

import msgspec

from nettledeal.common.addresses import parse_address
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.http_client import HttpClient
from nettledeal.dataplane.readiness import TENANTS_PATH as COUNTS_PATH
from nettledeal.operator_api.client import OperatorClient, Order
from nettledeal.operator_api.configuration import Configuration, TenantPolicy
from nettledeal.operator_api.messages import JSON
from nettledeal.operator_api.tenants import TENANTS_PATH, KeyOrder, key_path
from nettledeal.programs.commands.operator import add_call_arguments, exit_status, make_client
from nettledeal.programs.commands.tables import Table
from nettledeal.tenancy.counters import TenantUse
from nettledeal.tenancy.identity import token_digest
from nettledeal.tenancy.orders import TenantStatus

ANSWER_WITHIN_S = 2.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """One more level of subcommands."""
    actions = parser.add_subparsers(dest="action", required=True)
    add_call_arguments(actions.add_parser("list", help="tenants, generations and regions of their keys"))
    for name, summary in (
        ("rotate", "make the next key; what was kept under the last one is not found again"),
        ("drop", "take the key away: nothing that is cached of the tenant is found again"),
    ):
        action = actions.add_parser(name, help=summary)
        action.add_argument("tenant")
        add_call_arguments(action)
    reuse = actions.add_parser("reuse", help="lookups, reuse and refusals by tenant, summed over data planes")
    reuse.add_argument(
        "--edge", action="append", required=True, metavar="HOST:PORT", help="a readiness address; repeatable"
    )
    region = actions.add_parser("make-region-key", help="write a region's private key, print the public one")
    region.add_argument("file", type=Path)
    actions.add_parser("digest", help="read a token from standard input, print its digest")


def run(parsed: argparse.Namespace) -> int:
    """Returns 0 where it was done, 1 where it was refused; raises ServingError where neither is known."""
    actions = {
        "list": _list,
        "rotate": lambda parsed: rotate(make_client(parsed), parsed.tenant),
        "drop": lambda parsed: drop(make_client(parsed), parsed.tenant),
        "reuse": _reuse,
        "make-region-key": _make_region_key,
        "digest": _digest,
    }
    return actions[parsed.action](parsed)


def statuses(client: OperatorClient) -> list[TenantStatus]:
    """The tenants in force; raises ServingError."""
    answer = client.call(Order(HTTPMethod.GET, TENANTS_PATH))
    if answer.status != HTTPStatus.OK:
        raise ServingError(ErrorCode.UNAVAILABLE, "list tenants", answer.reason, str(answer.peer))
    return msgspec.json.decode(answer.body, type=list[TenantStatus])


def rotate(client: OperatorClient, tenant: str) -> int:
    """Make the tenant's next key, sealed for its regions; returns the exit status."""
    # libsodium is loaded only where a key is made.
    from nettledeal.tenancy.sealing import make_sealed_key

    status = _status_of(client, tenant)
    key = make_sealed_key(status.generation + 1, _public_keys(client, tenant))
    return _put(client, tenant, KeyOrder(key.generation, key.sealed))


def drop(client: OperatorClient, tenant: str) -> int:
    """Take the tenant's key away; returns the exit status."""
    return _put(client, tenant, KeyOrder(_status_of(client, tenant).generation + 1))


def _put(client: OperatorClient, tenant: str, order: KeyOrder) -> int:
    headers = {"Content-Type": JSON}
    body = msgspec.json.encode(order)
    status = exit_status(client.call(Order(HTTPMethod.PUT, key_path(tenant), body, headers)))
    if status == 0:
        print(f"tenant {tenant}: key generation {order.generation}, {len(order.sealed)} regions")
    return status


def _status_of(client: OperatorClient, tenant: str) -> TenantStatus:
    found = next((status for status in statuses(client) if status.name == tenant), None)
    if found is None:
        raise ServingError(ErrorCode.INVALID_CONFIGURATION, "find tenant", f"no tenant {tenant!r}")
    return found


def _public_keys(client: OperatorClient, tenant: str) -> dict[str, str]:
    """The public keys of the regions that may have the tenant's key; raises ServingError."""
    configuration = msgspec.json.decode(client.get_configuration().body, type=Configuration)
    policies = {policy.name: policy for policy in configuration.tenants}
    homes = policies.get(tenant, TenantPolicy(tenant)).home_regions
    known = {region.name: region.public_key for region in configuration.tenant_regions}
    missing = [home for home in homes if home not in known]
    if missing or not known:
        reason = f"no public key of {', '.join(missing) or 'any region'}"
        raise ServingError(ErrorCode.INVALID_CONFIGURATION, "seal tenant key", reason)
    return {region: known[region] for region in homes or known}


def _list(parsed: argparse.Namespace) -> int:
    table = Table("tenant", "key", "sealed for")
    for status in statuses(make_client(parsed)):
        table.add(status.name, str(status.generation), ", ".join(status.regions) or "no region")
    print(table.render())
    return 0


def _reuse(parsed: argparse.Namespace) -> int:
    columns = ("requests", "without key", "sent", "prompt tokens", "expected reused", "refused")
    table = Table("edge", "tenant", *columns)
    for text in parsed.edge:
        for name, use in counts_of(text).items():
            reused = _share(use.expected_reused_tokens, use.prompt_tokens)
            refused = ", ".join(f"{reason} {count}" for reason, count in use.refusals.items())
            counts = (use.requests, use.without_key, use.attempts, use.prompt_tokens)
            table.add(text, name or "(unknown)", *map(str, counts), reused, refused)
    print(table.render())
    return 0


def counts_of(readiness_address: str) -> dict[str, TenantUse]:
    """What one data plane has counted; raises ServingError."""
    client = HttpClient(parse_address(readiness_address))
    try:
        response = client.get(COUNTS_PATH.decode(), ANSWER_WITHIN_S)
    finally:
        client.close()
    if response.status == HTTPStatus.NOT_FOUND:
        return {}
    return msgspec.json.decode(response.body, type=dict[str, TenantUse])


def _share(part: int, whole: int) -> str:
    return f"{100 * part / whole:.0f}%" if whole else "-"


def _make_region_key(parsed: argparse.Namespace) -> int:
    from nettledeal.tenancy.sealing import make_region_key

    print(make_region_key(parsed.file))
    return 0


def _digest(_: argparse.Namespace) -> int:
    print(token_digest(sys.stdin.buffer.read().strip()))
    return 0
