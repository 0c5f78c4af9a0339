"""Compatibility of adjacent releases: recorded messages of release 1, and fields added later."""

import zlib

import cbor2
import pytest

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.messages import MAX_FRAME_BYTES
from nettledeal.distribution.protocol import (
    CODEC,
    Acknowledge,
    Compressed,
    Digests,
    Heartbeat,
    HeldSource,
    RangeRequest,
    SourceStatus,
    Subscribe,
    Update,
    UpdateScope,
    expand_message,
)
from nettledeal.distribution.published_source import PublishedSource, SharedMessage
from nettledeal.distribution.publisher_session import PublisherSession
from nettledeal.distribution.subscriber_session import SubscribedSource, SubscriberSession

RECORDED = [
    (
        "a66474797065697375627363726962656a73756273637269626572616564726f6c656a646174612d706c616e65647a6f6e65"
        "627a316677616e74656481a3646e616d6567636f6e74726f6c6776657273696f6e8103666469676573741bffffffffffffff"
        "ff6870726f746f636f6c01",
        Subscribe("e", "data-plane", "z1", [HeldSource("control", (3,), 2**64 - 1)], protocol=1),
    ),
    (
        "a964747970656675706461746566736f7572636567636f6e74726f6c6a746f5f76657273696f6e8204016573636f7065646b"
        "657973676368616e676564a16161413166646967657374076c66726f6d5f76657273696f6e81036772656d6f766564816162"
        "6672616e67657380",
        Update("control", (4, 1), UpdateScope.KEYS, {"a": b"1"}, 7, (3,), ["b"]),
    ),
    (
        "a364747970656b61636b6e6f776c6564676566736f7572636567636f6e74726f6c6776657273696f6e8104",
        Acknowledge("control", (4,)),
    ),
    (
        "a46474797065676469676573747366736f7572636567636f6e74726f6c6776657273696f6e81046672616e676573820102",
        Digests("control", (4,), [1, 2]),
    ),
    (
        "a464747970656d72616e67655f7265717565737466736f7572636567636f6e74726f6c6776657273696f6e81046672616e67"
        "6573820018ff",
        RangeRequest("control", (4,), [0, 255]),
    ),
    (
        "a264747970656968656172746265617467736f757263657382a3646e616d6567636f6e74726f6c6776657273696f6e810466"
        "6167655f6d7314a3646e616d6569636174616c6f6775656776657273696f6e80666167655f6d73f6",
        Heartbeat([SourceStatus("control", (4,), 20), SourceStatus("catalogue", ())]),
    ),
]


@pytest.mark.parametrize(("recorded", "message"), RECORDED)
def test_messages_of_release_1_are_read(recorded, message):
    assert CODEC.decode(bytes.fromhex(recorded)) == message


@pytest.mark.parametrize(("recorded", "message"), RECORDED)
def test_fields_that_a_later_release_adds_are_ignored(recorded, message):
    fields = cbor2.loads(bytes.fromhex(recorded))
    assert CODEC.decode(cbor2.dumps({**fields, "added_later": [1]})) == message


def test_unknown_fields_of_nested_types_are_ignored():
    message = {"type": "heartbeat", "sources": [{"name": "control", "version": [1], "added_later": 1}]}
    assert CODEC.decode(cbor2.dumps(message)) == Heartbeat([SourceStatus("control", (1,))])


def test_fields_missing_from_an_earlier_release_have_defaults():
    message = {"type": "subscribe", "subscriber": "e", "role": "r", "zone": "z", "wanted": [{"name": "a"}]}
    expected = Subscribe("e", "r", "z", [HeldSource("a")], protocol=1)
    assert CODEC.decode(cbor2.dumps(message)) == expected


LARGE = {f"route/{number}": b"one of many alike" for number in range(1000)}


def first_frame(protocol):
    """Returns the first frame sent to a new subscriber with this protocol version."""
    source = PublishedSource("control")
    source.publish((1,), LARGE)
    session = PublisherSession({"control": source}, "edge-1")
    session.receive(Subscribe("e", "r", "z", [HeldSource("control")], protocol=protocol))
    return session.next_messages()[0].frame_for(session.protocol)


def test_a_subscriber_of_release_1_gets_large_updates_uncompressed():
    message = CODEC.decode(first_frame(1)[4:])
    assert isinstance(message, Update)
    assert message.changed == LARGE


@pytest.mark.parametrize("protocol", [2, 3])
def test_later_subscribers_get_large_updates_compressed(protocol):
    frame = first_frame(protocol)
    assert isinstance(CODEC.decode(frame[4:]), Compressed)
    assert len(frame) < len(first_frame(1)) / 4
    local_copy = SubscribedSource("control")
    session = SubscriberSession("e", "r", "z", {"control": local_copy}, "core")
    assert session.receive(CODEC.decode(frame[4:]), 0.0) == [Acknowledge("control", (1,))]
    assert dict(local_copy.entries) == LARGE


def test_small_updates_are_never_compressed():
    message = SharedMessage(Heartbeat([]))
    assert message.frame_for(2) is message.frame_for(1)


@pytest.mark.parametrize(
    "payload", [b"", b"no zlib", zlib.compress(b"no message"), zlib.compress(b"x" * 99)[:-4]]
)
def test_an_invalid_compressed_payload_is_malformed(payload):
    with pytest.raises(ServingError) as caught:
        expand_message(Compressed(payload), "core")
    assert caught.value.code is ErrorCode.MALFORMED_MESSAGE
    assert caught.value.peer == "core"


def test_a_compressed_payload_that_expands_beyond_the_frame_limit_is_rejected():
    bomb = zlib.compress(bytes(MAX_FRAME_BYTES + 1))
    with pytest.raises(ServingError):
        expand_message(Compressed(bomb), "core")
