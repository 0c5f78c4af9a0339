"""Who is asking: what the gate admits, as whose, and what it answers the rest."""

import pytest

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.dataplane.call_description import describe_call
from nettledeal.dataplane.client_request import ClientRequest
from nettledeal.dataplane.routing_table import RoutingTable, updated_table
from nettledeal.distribution.control_source import control_entries
from nettledeal.standins.tenant_control import ControlHistory
from nettledeal.standins.tenant_scenario import ANY_PATH, BANK, FUND, POOLED, Plan, request_text
from nettledeal.standins.tenant_scenario import make_configuration as make_body
from nettledeal.tenancy.counters import UNKNOWN_TENANT, RefusalReason
from nettledeal.tenancy.gate import TenantGate, TenantRefusal
from nettledeal.tenancy.identity import ProvenTenant
from nettledeal.tenancy.keys import NO_GENERATION, KeyRing
from nettledeal.tenancy.prompts import BadPrompt, read_parts, separate
from nettledeal_simulations.tenant_world import region_keys

PLACES = {FUND: POOLED, BANK: POOLED}


class Edge:
    """The gate and the routes of one agent."""

    def __init__(self, region="north", rotated=(FUND, BANK), opener=True):
        keys = region_keys()
        self.control = ControlHistory()
        assert self.control.put_configuration(make_body(Plan(1, PLACES, keys.public)))
        for tenant in rotated:
            assert self.control.rotate(tenant, keys.public)
        self.gate = TenantGate(KeyRing(region, keys.openers[region] if opener else None))
        self.table = RoutingTable()
        self.catch_up()

    def catch_up(self):
        entries = control_entries(self.control.state.entries)
        self.table = updated_table(self.table, entries)
        self.gate.apply(entries)

    def admit(self, text):
        request = ClientRequest(16384, 65536)
        assert request.read(bytearray(text), len(text))
        target = self.table.find(request.header(b"host"), request.path)
        return request, self.gate.admit(request, target)

    def ids(self, tenant, path, material="0000", extra=b""):
        request, _ = self.admit(request_text(tenant, path, material, "ff", extra))
        return [part.id for part in request.separated.parts]

    def refusal(self, text):
        with pytest.raises(TenantRefusal) as refused:
            self.admit(text)
        return refused.value.reason, int(refused.value.status)


def text_with(line, tenant=FUND, path=FUND):
    return request_text(tenant, path, "0000", "ff", line)


def test_a_route_tells_its_tenant():
    request, _ = Edge().admit(request_text(FUND, FUND, "0000", "ff"))
    assert request.separated.tenant == ProvenTenant(FUND)


def test_a_token_tells_its_tenant():
    request, _ = Edge().admit(request_text(BANK, ANY_PATH, "0000", "ff"))
    assert request.separated.tenant == ProvenTenant(BANK)


def test_equal_material_of_one_tenant_has_equal_ids_on_every_agent_and_route():
    edge = Edge()
    assert edge.ids(FUND, FUND)[:2] == edge.ids(FUND, ANY_PATH)[:2]
    other = TenantGate(KeyRing("south", region_keys().openers["south"]))
    other.apply(control_entries(edge.control.state.entries))
    header = b"000001:900,000002:900,ff:60"
    there = separate(ProvenTenant(FUND), other.keys, header).parts
    assert [part.id for part in there] == edge.ids(FUND, FUND)


def test_equal_material_of_two_tenants_has_no_id_in_common():
    edge = Edge()
    assert not set(edge.ids(FUND, FUND)) & set(edge.ids(BANK, BANK))


def test_an_id_that_collides_on_purpose_finds_nothing():
    edge = Edge()
    kept = edge.ids(FUND, FUND)[0]
    prompt = separate(ProvenTenant(BANK), edge.gate.keys, f"{kept}:900,ff:60".encode())
    assert kept not in [part.id for part in prompt.parts]
    own = separate(ProvenTenant(FUND), edge.gate.keys, f"{kept}:900,ff:60".encode())
    assert kept not in [part.id for part in own.parts]


def test_a_rotation_changes_all_ids():
    edge = Edge()
    before = edge.ids(FUND, FUND)
    edge.control.rotate(FUND, region_keys().public)
    edge.catch_up()
    assert not set(before) & set(edge.ids(FUND, FUND))


@pytest.mark.parametrize("edge", [Edge(rotated=()), Edge(opener=False)], ids=["no key yet", "no region key"])
def test_without_a_key_a_request_is_served_with_ids_of_its_own(edge):
    request, _ = edge.admit(request_text(FUND, FUND, "0000", "ff"))
    assert request.separated.generation == NO_GENERATION
    assert not set(edge.ids(FUND, FUND)) & set(edge.ids(FUND, FUND))
    assert edge.gate.counters.report()[FUND].without_key == 3


def test_a_dropped_tenant_has_no_key():
    edge = Edge()
    edge.control.drop(FUND)
    edge.catch_up()
    assert edge.gate.keys.get(FUND) is None
    assert edge.gate.keys.get(BANK) is not None


def test_homes_of_tenant_and_route_bind_together():
    _, target = Edge().admit(request_text(BANK, ANY_PATH, "0000", "ff"))
    assert target.home_regions == {"north"}
    _, target = Edge().admit(request_text(FUND, ANY_PATH, "0000", "ff"))
    assert target.home_regions == frozenset()


@pytest.mark.parametrize(
    ("text", "reason", "status", "counted"),
    [
        (text_with(b"Tenant: bank\r\n"), RefusalReason.CONTRADICTING, 401, FUND),
        (text_with(b"Tenant: fund\r\nTenant: bank\r\n"), RefusalReason.TWO_TENANTS, 400, UNKNOWN_TENANT),
        (
            text_with(b"Tenant-Token: a\r\nTenant-Token: b\r\n"),
            RefusalReason.TWO_TENANTS,
            400,
            UNKNOWN_TENANT,
        ),
        (text_with(b"Tenant: " + b"a" * 64 + b"\r\n"), RefusalReason.BAD_NAME, 400, UNKNOWN_TENANT),
        (text_with(b"Tenant: A fund\r\n"), RefusalReason.BAD_NAME, 400, UNKNOWN_TENANT),
        (request_text("nobody", ANY_PATH, "0000", "ff"), RefusalReason.UNKNOWN, 401, UNKNOWN_TENANT),
        (
            request_text(FUND, ANY_PATH, "0000", "ff").replace(b"token of", b"guess of"),
            RefusalReason.UNPROVEN,
            401,
            FUND,
        ),
        (
            request_text(FUND, ANY_PATH, "0000", "ff").replace(b"Tenant: fund\r\n", b""),
            RefusalReason.UNPROVEN,
            401,
            UNKNOWN_TENANT,
        ),
        (text_with(b"Prompt-Prefix: 01:5\r\n"), RefusalReason.BAD_PROMPT, 400, FUND),
    ],
)
def test_what_is_refused_is_answered_and_counted_and_not_looked_up(text, reason, status, counted):
    edge = Edge()
    assert edge.refusal(text) == (reason, status)
    report = edge.gate.counters.report()
    assert report[counted].refusals == {reason.value: 1}
    assert sum(use.requests for use in report.values()) == 0


def test_names_that_clients_invent_are_counted_together():
    edge = Edge()
    for number in range(5):
        edge.refusal(request_text(f"nobody-{number}", ANY_PATH, "0000", "ff"))
    assert list(edge.gate.counters.report()) == [UNKNOWN_TENANT]


@pytest.mark.parametrize(
    "header", ["01", "01:x", "zz:5", "01:5,01:6", "a" * 65 + ":5", "01:5,,02:5", "01:-5"]
)
def test_prompts_that_cannot_be_separated(header):
    with pytest.raises(BadPrompt):
        read_parts(header.encode())


def test_a_part_may_stand_twice_in_a_prompt_but_not_with_two_lengths():
    assert len(read_parts(b"01:5,02:6,01:5")) == 3
    with pytest.raises(BadPrompt):
        read_parts(b"01:5,02:6,01:7")


def test_a_tenant_s_request_cannot_be_described_without_its_tenant():
    edge = Edge()
    text = request_text(FUND, FUND, "0000", "ff")
    request = ClientRequest(16384, 65536)
    request.read(bytearray(text), len(text))
    target = edge.table.find(request.header(b"host"), request.path)
    with pytest.raises(ServingError) as error:
        describe_call(request, target, POOLED, 0)
    assert error.value.code is ErrorCode.UNPROVEN_TENANT
