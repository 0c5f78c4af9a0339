"""The operator's calls about tenants, against a control plane in memory."""

import io
import json
from http import HTTPMethod, HTTPStatus

import pytest

from nettledeal.common.addresses import Address
from nettledeal.common.errors import ServingError
from nettledeal.common.http_client import HttpResponse
from nettledeal.operator_api.api import OperatorApi
from nettledeal.operator_api.client import OperatorClient
from nettledeal.operator_api.messages import Request
from nettledeal.programs.commands import tenants as command
from nettledeal.programs.main import main
from nettledeal.standins.tenant_scenario import BANK, FUND, POOLED, Plan, make_configuration
from nettledeal.tenancy.counters import RefusalReason, TenantCounters
from nettledeal.tenancy.identity import token_digest
from nettledeal.tenancy.orders import key_in_force
from nettledeal_simulations.tenant_world import region_keys
from tests.system.operator_api_support import MemoryNode

CORE = Address("10.0.0.1", 8166)


@pytest.fixture
def node():
    return MemoryNode()


@pytest.fixture
def client(node):
    api = OperatorApi(node, str(CORE), list, {}, 0.5)

    def exchange(address, order, timeout_s):
        headers = order.headers or {}
        answer = api.handle(Request(order.method, order.path, headers.get("If-Match"), order.body))
        response = HttpResponse()
        response.status = answer.status
        response.on_body(answer.body)
        return response

    client = OperatorClient([CORE], 0.5, exchange)
    body = make_configuration(Plan(1, {FUND: POOLED, BANK: POOLED}, region_keys().public))
    assert client.put_configuration(body, 0).status == HTTPStatus.OK
    return client


def regions_of(node, tenant):
    return sorted(key_in_force(node.state, tenant).sealed)


def test_a_key_is_sealed_for_the_homes_of_its_tenant(client, node):
    assert command.rotate(client, FUND) == 0
    assert command.rotate(client, BANK) == 0
    assert regions_of(node, FUND) == ["north", "south"]
    assert regions_of(node, BANK) == ["north"]
    secret = region_keys().openers["north"](key_in_force(node.state, FUND).sealed["north"])
    assert secret == region_keys().openers["south"](key_in_force(node.state, FUND).sealed["south"])
    assert not any(secret in value for value in node.state.entries.values())


def test_a_drop_takes_the_key_away_and_a_rotation_begins_anew(client, node):
    command.rotate(client, FUND)
    assert command.drop(client, FUND) == 0
    assert (key_in_force(node.state, FUND).generation, regions_of(node, FUND)) == (2, [])
    command.rotate(client, FUND)
    assert regions_of(node, FUND) == ["north", "south"]


def test_tenants_are_listed(client):
    command.rotate(client, FUND)
    assert [(status.name, status.generation) for status in command.statuses(client)] == [(BANK, 0), (FUND, 1)]


@pytest.mark.parametrize("call", [command.rotate, command.drop])
def test_a_tenant_that_is_not_there(client, call):
    with pytest.raises(ServingError, match="nobody"):
        call(client, "nobody")


def test_a_home_without_a_public_key(client, node):
    body = json.loads(make_configuration(Plan(2, {FUND: POOLED, BANK: POOLED}, region_keys().public)))
    body["cache_tenant_regions"] = [
        region for region in body["cache_tenant_regions"] if region["name"] == "south"
    ]
    client.put_configuration(json.dumps(body).encode(), 1)
    with pytest.raises(ServingError, match="north"):
        command.rotate(client, BANK)
    assert key_in_force(node.state, BANK).generation == 0


def run(capsys, *arguments):
    with pytest.raises(SystemExit) as ended:
        main([str(argument) for argument in arguments])
    return ended.value.code, capsys.readouterr().out


def test_a_region_s_key_and_a_token_s_digest(capsys, tmp_path, monkeypatch):
    status, out = run(capsys, "tenants", "make-region-key", tmp_path / "north")
    assert (status, len(out.strip())) == (0, 64)
    assert out.strip() not in (tmp_path / "north").read_text()
    monkeypatch.setattr("sys.stdin", io.TextIOWrapper(io.BytesIO(b"a secret\n")))
    assert run(capsys, "tenants", "digest") == (0, token_digest(b"a secret") + "\n")


def test_reuse_is_shown_by_edge_and_tenant(capsys, monkeypatch):
    counters = TenantCounters()
    counters.admitted(FUND, has_key=True)
    counters.attempted(FUND, 1000, 250)
    counters.refused("", RefusalReason.UNKNOWN)
    monkeypatch.setattr(command, "counts_of", lambda address: counters.report())
    status, out = run(capsys, "tenants", "reuse", "--edge", "10.0.0.9:8167")
    assert status == 0
    assert "75%" in out and "(unknown)" in out and "unknown 1" in out


def test_no_call_about_tenants_answers_with_a_key(client):
    command.rotate(client, FUND)
    sealed = client.call(command.Order(HTTPMethod.GET, "/tenants")).body
    assert b"sealed" not in sealed
