"""Membership of the system's processes on loopback sockets, and its packets encoded as CBOR."""

from contextlib import suppress

import cbor2
import gevent
import pytest
from gevent import socket
from gevent.event import Event
from hypothesis import given
from hypothesis import strategies as st

from nettledeal.common.settings import Bounds, Listen, Settings
from nettledeal.membership import node as membership_node
from nettledeal.membership.actions import SECOND
from nettledeal.membership.cbor_codec import CborCodec
from nettledeal.membership.member_info import Role
from nettledeal.membership.node import ASSUMED_BEFORE_JOINING, LOST_MEMBER_COUNTED_S, MembershipNode
from nettledeal.membership.packets import (
    COMPARE,
    MAX_DATAGRAM_BYTES,
    PING,
    SAME,
    SYNC_REQUEST,
    SYNC_RESPONSE,
    VERSION,
    Packet,
    PacketError,
)
from nettledeal.membership.view import MemberRecord, Metadata, State

VIEW_EXCHANGES = (COMPARE, SAME, SYNC_REQUEST, SYNC_RESPONSE)
ZONES = {"z1": "r1", "z2": "r1"}
# Loopback addresses of the machines; all of 127.0.0.0/8 is local.
HOSTS = [f"127.0.7.{n}" for n in range(1, 6)]


def free_port():
    with socket.socket() as probe:
        probe.bind((HOSTS[0], 0))
        return probe.getsockname()[1]


def settings_for(host, role, port, zone="z1", heartbeat_ms=300.0):
    return Settings(
        f"{role}-{host}",
        str(role),
        str(role),
        [],
        host,
        zone,
        ZONES[zone],
        (port, port + 3),
        [f"{HOSTS[0]}:9", f"{HOSTS[1]}:9"],
        ZONES,
        heartbeat_ms=heartbeat_ms,
        bounds=Bounds(),
        listen=Listen(frontend=f"{host}:8100") if role == Role.EDGE else Listen(),
    )


@pytest.fixture
def fleet():
    """Two core and two edge members; stopped at the end."""
    port = free_port()
    nodes = [
        MembershipNode(settings_for(HOSTS[0], Role.CORE, port), Role.CORE),
        MembershipNode(settings_for(HOSTS[1], Role.CORE, port, "z2"), Role.CORE),
        MembershipNode(settings_for(HOSTS[2], Role.EDGE, port), Role.EDGE),
        MembershipNode(settings_for(HOSTS[3], Role.EDGE, port, "z2"), Role.EDGE),
    ]
    yield nodes
    for node in nodes:
        node.stop()


def wait_until(nodes, condition, timeout_s=8.0):
    """Return once the condition holds for every node; checked again after each change of their views."""
    changed = gevent.event.Event()
    for node in nodes:
        node.on_change.append(changed.set)
    with gevent.Timeout(timeout_s):
        while not all(condition(node) for node in nodes):
            changed.clear()
            changed.wait()


def test_all_processes_know_each_other_with_their_metadata(fleet):
    for node in fleet:
        node.start()
    fleet[2].set_ready(True)
    wait_until(fleet, lambda node: len(node.members()) == 4)
    assert _member_named(fleet[0], f"edge-{HOSTS[2]}").ready
    info = {member.name: member for member in fleet[0].members()}[f"edge-{HOSTS[3]}"]
    assert (info.role, info.zone, info.region, info.host) == (Role.EDGE, "z2", "r1", HOSTS[3])
    assert info.frontend == f"{HOSTS[3]}:8100"
    assert not info.ready and not info.leaving
    assert fleet[2].data_plane_count() == 2


def test_readiness_and_leaving_are_known_to_all(fleet):
    for node in fleet:
        node.start()
    wait_until(fleet, lambda node: len(node.members()) == 4)
    name = f"edge-{HOSTS[2]}"
    fleet[2].set_ready(True)
    wait_until(fleet, lambda node: _member_named(node, name).ready)
    fleet[2].leave()
    wait_until(fleet, lambda node: _member_named(node, name).leaving and not _member_named(node, name).ready)
    fleet[2].stop()
    others = [fleet[0], fleet[1], fleet[3]]
    wait_until(others, lambda node: not node.is_member(name))
    # It has announced that it left, so it no longer counts.
    assert fleet[3].data_plane_count() == 1


def test_a_silent_process_is_declared_dead_and_still_counts_for_a_while(fleet):
    for node in fleet:
        node.start()
    wait_until(fleet, lambda node: len(node.members()) == 4)
    fleet[2]._host.close()
    others = [fleet[0], fleet[1], fleet[3]]
    wait_until(others, lambda node: not node.is_member(f"edge-{HOSTS[2]}"))
    assert fleet[3].data_plane_count() == 2
    view = fleet[3].member.view
    view.state_since[f"edge-{HOSTS[2]}"] -= round((LOST_MEMBER_COUNTED_S + 1) * SECOND)
    assert fleet[3].data_plane_count() == 1


def test_a_zone_is_no_longer_suspected_once_its_losses_are_old(fleet, monkeypatch):
    # Guards against a suspicion that lasts until some other member happens to change.
    monkeypatch.setattr(membership_node, "DEATH_EVIDENCE_S", 1.0)
    observer, lost = fleet[0], (fleet[1], fleet[3])
    suspected = []
    observer.on_change.append(lambda: suspected.append(observer.suspect_zones()))
    for node in fleet:
        node.start()
    wait_until(fleet, lambda node: len(node.members()) == 4)
    for node in lost:
        node._host.close()
    wait_until([observer], lambda node: suspected[-1] == {"z2"})
    wait_until([observer], lambda node: suspected[-1] == frozenset())


def test_a_process_whose_first_answers_are_lost_tells_of_the_group_once_it_has_joined(fleet, monkeypatch):
    # Guards against a process that goes on assuming a large group until some other member happens to change.
    others, late = fleet[:3], fleet[3]
    lost, receive, counted, knows_all = [], late._host._receive_packet, [], Event()

    def lose_until_all_are_known(sock, source):
        # Exchanges that others begin are lost, too: they would end the state that is to be seen.
        packet = receive(sock, source)
        if packet is None or packet.kind not in VIEW_EXCHANGES or knows_all.is_set():
            return packet
        return lost.append(packet)

    monkeypatch.setattr(late._host, "_receive_packet", lose_until_all_are_known)
    for node in others:
        node.start()
    wait_until(others, lambda node: len(node.members()) == 3)
    late.on_change.append(lambda: counted.append(late.data_plane_count()))
    late.start()
    wait_until([late], lambda node: len(node.members()) == 4)
    assert counted[-1] == ASSUMED_BEFORE_JOINING
    knows_all.set()
    wait_until([late], lambda node: counted[-1] == 2)
    assert lost


def _member_named(node, name):
    return next(member for member in node.members() if member.name == name)


codec = CborCodec()
RECORD = MemberRecord(
    "edge-zone-1",
    "10.1.0.13",
    7723,
    17_000_000_000_000,
    3,
    State.ALIVE,
    "",
    0,
    Metadata("edge", "zone", 8161, True),
)


def test_a_packet_is_the_same_after_encoding_and_decoding():
    packet = Packet(VERSION, "nd", PING, 7, RECORD, RECORD, [RECORD])
    assert codec.decode(codec.encode(packet), "nd", MAX_DATAGRAM_BYTES) == packet


def test_an_encoded_ping_is_small():
    assert len(codec.encode(Packet(VERSION, "nd", PING, 7, RECORD, RECORD))) < 170


@given(st.binary(max_size=200))
def test_noise_is_rejected(raw):
    with suppress(PacketError):
        assert isinstance(codec.decode(raw, "nd", MAX_DATAGRAM_BYTES), Packet)


def test_a_packet_of_a_later_version_is_distinguished_from_noise():
    with pytest.raises(PacketError, match="another version"):
        codec.decode(codec.encode([VERSION + 1, {"all": "new"}]), "nd", MAX_DATAGRAM_BYTES)


def test_a_packet_with_fields_of_a_later_release_is_decoded():
    encoded = cbor2.loads(codec.encode(Packet(VERSION, "nd", PING, 7, RECORD)))
    encoded[4] = [*encoded[4], "new field"]
    encoded[4][8] = [*encoded[4][8], "new in metadata"]
    decoded = codec.decode(cbor2.dumps([*encoded, "new in packet"]), "nd", MAX_DATAGRAM_BYTES)
    assert decoded.sender == RECORD
