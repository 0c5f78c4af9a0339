"""Tenants at a data plane on loopback: what backends get, what clients are answered, what is counted."""

import json

import msgspec
from gevent import socket

from nettledeal.common.addresses import parse_address
from nettledeal.standins.tenant_control import ControlHistory
from nettledeal.standins.tenant_scenario import (
    ANY_PATH,
    BANK,
    FUND,
    HOST,
    POOLED,
    Plan,
    make_configuration,
    own_service,
    token_of,
)
from nettledeal.tenancy.sealing import make_region_key
from nettledeal_simulations.tenant_world import region_keys
from system.dataplane_rig import FakeBackend, catalogue, read_message, running

PROMPT = "0a01:900,0a02:900,ff:60"
PLACES = {FUND: own_service(FUND), BANK: POOLED}


def published():
    control = ControlHistory()
    assert control.put_configuration(make_configuration(Plan(1, PLACES, region_keys().public)))
    control.rotate(FUND, region_keys().public)
    return control.versions[-1]


def with_tenants(rig, entries=None):
    rig.plane.apply_control((2,), published() if entries is None else entries)
    rig.plane.apply_catalogue((2,), catalogue(*(backend.catalogue_entry for backend in rig.backends)))
    return rig


def proof(tenant):
    return {"Tenant": tenant, "Tenant_Token": token_of(tenant).decode()}


def test_a_rewritten_service_gets_ids_of_the_tenant_and_no_token():
    with running(FakeBackend("i-1", POOLED)) as rig:
        client = with_tenants(rig).client()
        for tenant in (FUND, FUND, BANK):
            status, _, _ = client.ask(
                f"/{ANY_PATH}/new", b"{}", host=HOST, Prompt_Prefix=PROMPT, **proof(tenant)
            )
            assert status == 200
        first, second, other = (seen.headers for seen in rig.backends[0].requests)
        assert "tenant" not in first and "tenant-token" not in first
        assert [part.partition(":")[2] for part in first["prompt-prefix"].split(",")] == ["900", "900", "60"]
        assert "0a01" not in first["prompt-prefix"].split(":")
        assert {len(part.partition(":")[0]) for part in first["prompt-prefix"].split(",")} == {32}
        assert other["prompt-prefix"] != first["prompt-prefix"]
        # This data plane has no key of its region, so each request has ids of its own.
        assert second["prompt-prefix"] != first["prompt-prefix"]


def test_with_its_region_s_key_equal_prompts_of_a_tenant_have_equal_ids(tmp_path):
    path = tmp_path / "north"
    public = {"north": make_region_key(path)}
    control = ControlHistory()
    assert control.put_configuration(make_configuration(Plan(1, PLACES, public)))
    control.rotate(FUND, public)
    with running(FakeBackend("i-1", POOLED)) as rig:
        rig.plane.settings = msgspec.structs.replace(rig.plane.settings, tenant_region_key=str(path))
        client = with_tenants(rig, control.versions[-1]).client()
        for _ in range(2):
            client.ask(f"/{ANY_PATH}/new", b"{}", host=HOST, Prompt_Prefix=PROMPT, **proof(FUND))
        first, second = (seen.headers["prompt-prefix"] for seen in rig.backends[0].requests)
        assert first == second != PROMPT


def test_a_service_whose_ids_may_not_be_rewritten_gets_the_client_s():
    with running(FakeBackend("i-1", own_service(FUND))) as rig:
        client = with_tenants(rig).client()
        assert client.ask(f"/{FUND}/new", b"{}", host=HOST, Prompt_Prefix=PROMPT)[0] == 200
        assert rig.backends[0].requests[0].headers["prompt-prefix"] == PROMPT


def test_a_contradicting_request_is_answered_and_reaches_no_backend():
    with running(FakeBackend("i-1", own_service(FUND))) as rig:
        client = with_tenants(rig).client()
        status, headers, _ = client.ask(f"/{FUND}/new", b"{}", host=HOST, Prompt_Prefix=PROMPT, Tenant=BANK)
        assert (status, headers["request-id"]) == (401, "r1")
        assert rig.backends[0].requests == []
        assert client.ask(f"/{FUND}/new", b"{}", host=HOST, Prompt_Prefix=PROMPT)[0] == 200


def test_the_readiness_address_tells_counts_by_tenant():
    with running(FakeBackend("i-1", own_service(FUND))) as rig:
        client = with_tenants(rig).client()
        client.ask(f"/{FUND}/new", b"{}", host=HOST, Prompt_Prefix=PROMPT, Token_Usage="1860,4")
        client.ask(f"/{FUND}/new", b"{}", host=HOST, Prompt_Prefix="x")
        status, page = get(rig, "/tenants")
        assert status == 200
        use = json.loads(page)[FUND]
        assert (use["requests"], use["attempts"], use["prompt_tokens"]) == (1, 1, 1860)
        assert use["refusals"] == {"bad_prompt": 1}


def test_without_tenants_a_request_passes_as_ever():
    with running(FakeBackend("i-1")) as rig:
        client = rig.client()
        assert client.ask(Prompt_Prefix="x y:,", Tenant="A b", Tenant_Token="t")[0] == 200
        seen = rig.backends[0].requests[0].headers
        assert (seen["prompt-prefix"], seen["tenant"], seen["tenant-token"]) == ("x y:,", "A b", "t")
        assert get(rig, "/tenants")[0] == 404
        assert rig.plane.forwarding.tenants is None


def get(rig, path):
    address = parse_address(rig.plane.settings.listen.readiness)
    with socket.create_connection((address.host, address.port)) as sock, sock.makefile("rb") as stream:
        sock.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        line, _, body = read_message(stream)
    return int(line.split()[1]), body
