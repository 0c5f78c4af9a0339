"""Compatibility of adjacent releases: recorded messages of this one, fields of a later one, and real
processes of both in one system. The distribution messages have their own tests."""

from pathlib import Path

import cbor2
import msgspec
import pytest

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.messages import MessageCodec
from nettledeal.control import messages
from nettledeal.control.epoch_consensus import AcceptorState
from nettledeal.control.messages import CODEC, Ballot, EpochRecord, ReplicaInfo
from nettledeal.control.state import Change, ConfigurationMeta
from nettledeal.control.storage import Meta
from nettledeal.discovery.catalogue import Backend, decode_backend, encode_backend
from nettledeal.distribution import protocol
from nettledeal.membership.cbor_codec import CborCodec
from nettledeal.membership.packets import MAX_DATAGRAM_BYTES, PING, VERSION, Packet
from nettledeal.membership.view import MemberRecord, Metadata, OperatorOrder
from nettledeal.operator_api.configuration_checks import parse_configuration
from nettledeal.standins.clients import Ending
from nettledeal.standins.scenario import CARD, EXTRA, QUESTION, make_configuration
from system.later_release import LATER_FIELD, LATER_VALUE, extended
from system.test_whole_system import start

__all__ = ["start"]

LATER_PROGRAM = Path(__file__).with_name("later_release.py")
INFO = ReplicaInfo("a", "10.0.0.1", "z1", "r1", "10.0.0.1:80", 2)
VOTERS = (INFO, ReplicaInfo("b", "10.0.0.2"))
RECORD = EpochRecord(3, "a", ("a", "b"), VOTERS, "c")
EARLIER_RECORD = EpochRecord(3, "a", ("a", "b"), VOTERS)
BALLOT = Ballot(1, "a", 7)
CHANGES = (Change("k", b"v"), Change("gone", None))

# Each message as this release encodes it. A change that can't read one of them breaks rolling upgrades.
RECORDED = {
    messages.Hello(INFO, RECORD): (
        "83018661616831302e302e302e31627a316272316b31302e302e302e313a383002850361618261616162828661616831"
        "302e302e302e31627a316272316b31302e302e302e313a3830028661626831302e302e302e32606060006163"
    ),
    messages.RecordRequest(3): ("820203"),
    messages.Decided(RECORD): (
        "8203850361618261616162828661616831302e302e302e31627a316272316b31302e302e302e313a3830028661626831"
        "302e302e302e32606060006163"
    ),
    messages.RecordStored(3): ("820403"),
    messages.Prepare(BALLOT, RECORD): (
        "83058301616107850361618261616162828661616831302e302e302e31627a316272316b31302e302e302e313a383002"
        "8661626831302e302e302e32606060006163"
    ),
    messages.Promise(4, BALLOT, Ballot(), None): ("850604830161610783006000f6"),
    messages.Accept(BALLOT, RECORD): (
        "83078301616107850361618261616162828661616831302e302e302e31627a316272316b31302e302e302e313a383002"
        "8661626831302e302e302e32606060006163"
    ),
    messages.Accepted(4, BALLOT): ("8308048301616107"),
    messages.Rejected(4, BALLOT, Ballot(), True): ("850904830161610783006000f5"),
    messages.Heartbeat(3, 9, 4, 20, "a", 1, 77, True): ("890a03090414616101184df5"),
    messages.HeartbeatAck(3, 9, 3, 4, True, -1, 77, True): ("890b03090304f520184df5"),
    messages.Append(3, 5, CHANGES, 4): ("850c03058282616b41768264676f6e65f604"),
    messages.Appended(3, 5): ("830d0305"),
    messages.Reconcile(3, 5, (1, 2)): ("840e0305820102"),
    messages.RangesWanted(3, 5, (0,)): ("840f03058100"),
    messages.Ranges(3, 5, (0,), CHANGES): ("8510030581008282616b41768264676f6e65f6"),
    messages.ForeignCluster("c"): ("82116163"),
}
# As encoded by releases without cluster ids, orderly leaves and incarnations.
RECORDED_EARLIER = {
    messages.Hello(INFO, EARLIER_RECORD): (
        "83018661616831302e302e302e31627a316272316b31302e302e302e313a383002840361618261616162828661616831"
        "302e302e302e31627a316272316b31302e302e302e313a3830028661626831302e302e302e3260606000"
    ),
    messages.Decided(EARLIER_RECORD): (
        "8203840361618261616162828661616831302e302e302e31627a316272316b31302e302e302e313a3830028661626831"
        "302e302e302e3260606000"
    ),
    messages.Prepare(BALLOT, EARLIER_RECORD): (
        "83058301616107840361618261616162828661616831302e302e302e31627a316272316b31302e302e302e313a383002"
        "8661626831302e302e302e3260606000"
    ),
    messages.Accept(BALLOT, EARLIER_RECORD): (
        "83078301616107840361618261616162828661616831302e302e302e31627a316272316b31302e302e302e313a383002"
        "8661626831302e302e302e3260606000"
    ),
    messages.Heartbeat(3, 9, 4, 20, "a", 1): ("870a03090414616101"),
    messages.HeartbeatAck(3, 9, 3, 4, True, -1): ("870b03090304f520"),
}
WORD = MemberRecord("edge-1", "10.0.1.1", 7723, 5, 1, 0, "", 0, Metadata("edge", "z1", 8161, True, False))
PACKET = Packet(VERSION, "nd", PING, 7, WORD, WORD, [WORD], [OperatorOrder("x", 1, "y", True)])


@pytest.mark.parametrize("message", RECORDED, ids=lambda message: type(message).__name__)
def test_control_messages_are_written_as_before(message):
    assert CODEC.encode(message).hex() == RECORDED[message]
    assert CODEC.decode(bytes.fromhex(RECORDED[message])) == message


@pytest.mark.parametrize("message", RECORDED_EARLIER, ids=lambda message: type(message).__name__)
def test_control_messages_of_earlier_releases_are_read(message):
    assert CODEC.decode(bytes.fromhex(RECORDED_EARLIER[message])) == message


@pytest.mark.parametrize(
    "forged",
    [
        [11, 3, 9, 3, 4, True, -1, 77, "leaving"],
        [11, 3, 9, 3, 4, True, -1, "a life", False],
        [10, 3, 9, 4, 20, "a", 1, 77, 1.5],
        [10, 3, 9, 4, 20, "a", 1, None],
        [18, 3],
        [1, ["a"], None],
        [3, [3, "a", ["a"], [["a", "10.0.0.1"], 7]]],
        {"leaving": True},
    ],
    ids=repr,
)
def test_control_messages_of_a_forged_shape_cost_their_connection_only(forged):
    with pytest.raises(ServingError) as raised:
        CODEC.decode(cbor2.dumps(forged), "10.0.0.9")
    assert raised.value.code is ErrorCode.MALFORMED_MESSAGE
    assert raised.value.peer == "10.0.0.9"


def test_every_control_message_is_recorded():
    assert {type(message) for message in RECORDED} == set(messages.Message.__args__)


@pytest.mark.parametrize("message", RECORDED, ids=lambda message: type(message).__name__)
def test_control_messages_of_a_later_release_are_read(message):
    assert CODEC.decode(cbor2.dumps(extended(message))) == message


def test_a_replica_of_a_release_that_knew_less_of_itself():
    assert CODEC.decode(cbor2.dumps([1, ["a", "10.0.0.1"], None])) == messages.Hello(
        ReplicaInfo("a", "10.0.0.1"), None
    )


def test_packets_of_a_later_release_are_read():
    raw = cbor2.dumps(extended(PACKET))
    assert CborCodec().decode(raw, "nd", MAX_DATAGRAM_BYTES) == PACKET


def test_packets_of_a_release_that_told_less_are_read():
    plain = msgspec.to_builtins(PACKET)
    plain[4] = plain[4][:6]  # no accuser, place or metadata
    del plain[5:]
    packet = CborCodec().decode(cbor2.dumps(plain), "nd", MAX_DATAGRAM_BYTES)
    assert packet == Packet(VERSION, "nd", PING, 7, MemberRecord(*plain[4]))


def test_a_witness_s_disk_of_a_later_release_is_read():
    meta = Meta("a", AcceptorState(RECORD, BALLOT, BALLOT, RECORD), 3, 9)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(extended(meta)), type=Meta) == meta


def test_entries_of_a_later_release_are_read():
    backend = Backend("m-1", "model", "10.0.0.9:80", "z1")
    later = cbor2.loads(encode_backend(backend)) | {LATER_FIELD: LATER_VALUE}
    assert decode_backend(cbor2.dumps(later)) == backend
    meta = ConfigurationMeta(7, b"digest")
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(extended(meta)), type=ConfigurationMeta) == meta


def test_a_configuration_of_a_later_release_is_read():
    body = msgspec.json.decode(make_configuration(1))
    for part in (body, body["routes"][0], body["services"][0], body["limits"]):
        part[LATER_FIELD] = LATER_VALUE
    body["routes"][0]["route_type"] = "of_a_later_type"
    route = parse_configuration(msgspec.json.encode(body)).routes[0]
    assert not route.repeatable


def test_the_later_release_differs_at_every_depth():
    plain, later = msgspec.to_builtins(messages.Hello(INFO, RECORD)), extended(messages.Hello(INFO, RECORD))
    assert len(later) == len(plain) + 1
    assert len(later[1]) == len(plain[1]) + 1
    assert len(later[2][3][0]) == len(plain[2][3][0]) + 1
    subscribe = protocol.Subscribe("e", "data-plane", "z1", [protocol.HeldSource("control")])
    assert extended(subscribe)["wanted"][0][LATER_FIELD] == LATER_VALUE
    assert MessageCodec(protocol.Subscribe).decode(cbor2.dumps(extended(subscribe))) == subscribe


@pytest.mark.parametrize("later", [("core-1", "edge-1"), ("core-2", "core-3", "edge-2")], ids=["few", "most"])
def test_processes_of_both_releases_serve_together(start, later):
    running = start(edges=2, programs=dict.fromkeys(later, LATER_PROGRAM))
    assert running.endings(QUESTION) == {Ending.SERVED}
    running.system.primary().kill()
    changed = make_configuration(2, with_extra_route=True)
    assert running.operator.put_configuration(changed, 1).status == 200
    running.wait_served(EXTRA)
    running.system.restart_cores()
    running.wait_in_sync()
    assert running.operator.get_configuration().body == changed
    assert running.endings(CARD) == {Ending.SERVED}
    assert running.rules_hold()
