"""Publisher and subscriber sessions: updates, gaps, digest repair, and monotonic versions."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from nettledeal.common.digests import RangeDigests, keys_in_ranges
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.distribution.protocol import (
    CODEC,
    PROTOCOL_VERSION,
    Digests,
    Heartbeat,
    HeldSource,
    RangeRequest,
    SourceStatus,
    Subscribe,
    Update,
    UpdateScope,
)
from nettledeal.distribution.published_source import PublishedSource
from nettledeal.distribution.publisher_session import PublisherSession
from nettledeal.distribution.subscriber_session import SubscribedSource, SubscriberSession, UpdateOutcome
from tests.system.distribution_support import InMemoryStream

ROUTES = {f"route/{number}": b"%d" % number for number in range(500)}


def connect_sessions(source, local_copy):
    sources = {source.name: source}
    session = SubscriberSession("edge-1", "data-plane", "z1", {local_copy.name: local_copy}, "core")
    return InMemoryStream(PublisherSession(sources, "edge-1"), session)


def first_message_to_subscriber(stream):
    stream.deliver_to_publisher()
    stream.send()
    return CODEC.decode(stream.to_subscriber[0])


def test_first_subscription_brings_the_whole_map_and_is_acknowledged():
    source, local_copy = PublishedSource("control"), SubscribedSource("control")
    source.publish((3,), ROUTES)
    stream = connect_sessions(source, local_copy)
    stream.deliver_all()
    assert local_copy.version == (3,)
    assert dict(local_copy.entries) == ROUTES
    assert stream.publisher.acknowledged() == {"control": (3,)}


def test_an_update_has_only_the_changed_key():
    source, local_copy = PublishedSource("control"), SubscribedSource("control")
    source.publish((1,), ROUTES)
    stream = connect_sessions(source, local_copy)
    stream.deliver_all()
    source.publish((2,), {**ROUTES, "route/7": b"changed"})
    stream.send()
    update = CODEC.decode(stream.to_subscriber[0])
    assert update.scope is UpdateScope.KEYS
    assert update.changed == {"route/7": b"changed"}
    assert update.removed == []


def test_removed_keys_are_removed():
    source, local_copy = PublishedSource("control"), SubscribedSource("control")
    source.publish((1,), {"a": b"1", "b": b"2"})
    stream = connect_sessions(source, local_copy)
    stream.deliver_all()
    source.publish((2,), {"b": b"2"})
    stream.deliver_all()
    assert dict(local_copy.entries) == {"b": b"2"}


def test_a_slow_subscriber_gets_one_update_for_several_versions():
    source, local_copy = PublishedSource("control"), SubscribedSource("control")
    source.publish((1,), {"a": b"1"})
    stream = connect_sessions(source, local_copy)
    stream.deliver_all()
    for sequence in range(2, 10):
        source.publish((sequence,), {"a": b"%d" % sequence})
    stream.send()
    assert len(stream.to_subscriber) == 1
    stream.deliver_all()
    assert local_copy.version == (9,)


def test_subscribers_at_the_same_version_share_one_encoded_update():
    source = PublishedSource("control")
    source.publish((1,), ROUTES)
    source.publish((2,), {**ROUTES, "x": b"1"})
    assert source.update_since((1,)) is source.update_since((1,))
    assert source.update_since((1,)).frame is source.update_since((1,)).frame


def test_after_a_gap_only_differing_ranges_are_sent():
    source, local_copy = PublishedSource("control", change_log_length=2), SubscribedSource("control")
    source.publish((1,), ROUTES)
    connect_sessions(source, local_copy).deliver_all()
    for sequence in range(2, 8):
        source.publish((sequence,), {**ROUTES, "route/3": b"%d" % sequence, "new": b"1"})
    stream = connect_sessions(source, local_copy)
    assert isinstance(first_message_to_subscriber(stream), Digests)
    stream.deliver_to_subscriber()
    assert isinstance(CODEC.decode(stream.to_publisher[0]), RangeRequest)
    update = first_message_to_subscriber(stream) if not stream.to_subscriber else None
    assert update is not None
    assert update.scope is UpdateScope.RANGES
    assert len(update.changed) < len(ROUTES) / 20
    stream.deliver_all()
    assert dict(local_copy.entries) == dict(source.entries)
    assert local_copy.version == (7,)


def test_a_repair_includes_changes_made_during_it():
    source, local_copy = PublishedSource("control", change_log_length=2), SubscribedSource("control")
    source.publish((1,), ROUTES)
    connect_sessions(source, local_copy).deliver_all()
    for sequence in range(2, 8):
        source.publish((sequence,), {**ROUTES, "route/3": b"%d" % sequence})
    stream = connect_sessions(source, local_copy)
    assert isinstance(first_message_to_subscriber(stream), Digests)
    source.publish((8,), {"only": b"1"})
    stream.deliver_all()
    assert dict(local_copy.entries) == {"only": b"1"}


def test_a_repair_restarts_if_the_change_log_no_longer_covers_it():
    source, local_copy = PublishedSource("control", change_log_length=1), SubscribedSource("control")
    source.publish((1,), ROUTES)
    connect_sessions(source, local_copy).deliver_all()
    source.publish((2,), {"a": b"2"})
    source.publish((3,), {"a": b"3"})
    stream = connect_sessions(source, local_copy)
    assert isinstance(first_message_to_subscriber(stream), Digests)
    source.publish((4,), {"b": b"4"})
    source.publish((5,), {"c": b"5"})
    stream.deliver_all()
    assert dict(local_copy.entries) == {"c": b"5"}
    assert local_copy.version == (5,)


def test_different_content_of_the_same_version_is_repaired():
    source, local_copy = PublishedSource("control"), SubscribedSource("control")
    other = PublishedSource("control")
    other.publish((4,), {"a": b"other", "b": b"1"})
    connect_sessions(other, local_copy).deliver_all()
    source.publish((4,), {"a": b"ours"})
    connect_sessions(source, local_copy).deliver_all()
    assert dict(local_copy.entries) == {"a": b"ours"}


def test_a_publisher_with_an_older_version_sends_nothing_until_it_catches_up():
    source, local_copy = PublishedSource("control"), SubscribedSource("control")
    newer = PublishedSource("control")
    newer.publish((9,), {"a": b"9"})
    connect_sessions(newer, local_copy).deliver_all()
    source.publish((5,), {"a": b"5"})
    stream = connect_sessions(source, local_copy)
    stream.deliver_all()
    assert local_copy.version == (9,)
    assert dict(local_copy.entries) == {"a": b"9"}
    source.publish((9,), {"a": b"9"})
    source.publish((10,), {"a": b"10"})
    stream.deliver_all()
    assert dict(local_copy.entries) == {"a": b"10"}


def test_an_update_from_another_base_version_triggers_a_new_subscription():
    local_copy = SubscribedSource("control")
    session = SubscriberSession("edge-1", "data-plane", "z1", {"control": local_copy}, "core")
    stray = Update("control", (5,), UpdateScope.KEYS, {"a": b"5"}, 1, from_version=(4,))
    assert session.receive(stray, 0.0) == [
        Subscribe("edge-1", "data-plane", "z1", [HeldSource("control", (), 0)], PROTOCOL_VERSION)
    ]
    assert local_copy.version == ()


def test_an_update_with_a_digest_mismatch_is_rejected_and_the_whole_map_requested():
    source, local_copy = PublishedSource("control"), SubscribedSource("control")
    source.publish((1,), {"a": b"1"})
    stream = connect_sessions(source, local_copy)
    stream.deliver_all()
    wrong = Update("control", (2,), UpdateScope.KEYS, {"a": b"2"}, 12345, from_version=(1,))
    answers = stream.subscriber.receive(wrong, 0.0)
    assert local_copy.version == (1,)
    assert answers[0].wanted == [HeldSource("control")]
    source.publish((2,), {"a": b"two"})
    stream.to_publisher.extend(CODEC.encode(answer) for answer in answers)
    stream.deliver_all()
    assert dict(local_copy.entries) == {"a": b"two"}


def test_a_source_unknown_to_the_publisher_is_ignored():
    source, local_copy = PublishedSource("control"), SubscribedSource("future")
    connect_sessions(source, local_copy).deliver_all()
    assert local_copy.version == ()


def test_an_unexpected_message_type_is_malformed():
    session = PublisherSession({}, "edge-1")
    with pytest.raises(ServingError) as caught:
        session.receive(Heartbeat([]))
    assert caught.value.code is ErrorCode.MALFORMED_MESSAGE
    assert caught.value.peer == "edge-1"


def test_digests_with_another_range_count_trigger_a_request_for_the_whole_map():
    local_copy = SubscribedSource("control")
    session = SubscriberSession("edge-1", "data-plane", "z1", {"control": local_copy}, "core")
    assert session.receive(Digests("control", (2,), [0] * 16), 0.0)[0].wanted == [HeldSource("control")]


def test_age_is_measured_from_the_publishers_confirmation():
    local_copy = SubscribedSource("control")
    assert local_copy.age_s(5.0) is None
    local_copy.confirm(10.0, SourceStatus("control", (), 500))
    assert local_copy.age_s(10.0) == pytest.approx(0.5)
    local_copy.confirm(10.0, SourceStatus("control", (), 900))
    assert local_copy.age_s(11.0) == pytest.approx(1.5)


def test_a_newer_version_is_confirmed_only_once_it_is_applied():
    source, local_copy = PublishedSource("control"), SubscribedSource("control")
    source.publish((1,), {"a": b"1"})
    local_copy.confirm(10.0, SourceStatus("control", (1,), 100))
    assert local_copy.age_s(10.0) is None
    connect_sessions(source, local_copy).deliver_all(10.2)
    assert local_copy.age_s(10.0) == pytest.approx(0.1)


def run_random_schedule(seed):
    """Runs lagging publishers and reconnects that lose messages; checks the copy after each step."""
    random = Random(seed)
    expected_maps: list[dict[str, bytes]] = [{}]
    publishers = [PublishedSource("control", change_log_length=random.choice([1, 3, 50])) for _ in range(3)]
    local_copy = SubscribedSource("control")
    stream = connect_sessions(publishers[0], local_copy)
    newest = ()
    for _ in range(random.randrange(5, 120)):
        match random.randrange(7):
            case 0:
                expected_maps.append(changed(expected_maps[-1], random))
            case 1:
                sequence = random.randrange(len(expected_maps))
                random.choice(publishers).publish((sequence,), expected_maps[sequence])
            case 2:
                stream = connect_sessions(random.choice(publishers), local_copy)
            case 3:
                stream.deliver_to_publisher()
            case 4:
                stream.send()
            case _:
                stream.deliver_to_subscriber()
        assert local_copy.version >= newest
        newest = local_copy.version
        if local_copy.version:
            assert dict(local_copy.entries) == expected_maps[local_copy.version[0]]
    last = len(expected_maps) - 1
    publishers[1].publish((last,), expected_maps[last])
    connect_sessions(publishers[1], local_copy).deliver_all()
    assert dict(local_copy.entries) == expected_maps[last]


def changed(entries, random):
    """Returns the entries with up to three values set and up to one key removed."""
    entries = dict(entries)
    for _ in range(random.randrange(1, 4)):
        entries[f"k{random.randrange(30)}"] = b"%d" % random.randrange(1000)
    entries.pop(f"k{random.randrange(30)}", None)
    return entries


@given(st.integers(0, 2**32))
def test_versions_never_decrease_and_copies_converge_under_message_loss_and_failover(seed):
    run_random_schedule(seed)


def skip_digest_check(monkeypatch):
    """Applies updates without checking the digest or detecting gaps."""

    def apply(self, update):
        if update.to_version < self.version:
            return UpdateOutcome.OUTDATED
        removed = self._removed_by(update)
        self.digests = self._digests_after(update, removed)
        self._replace_entries(update, removed)
        return UpdateOutcome.CHANGED

    monkeypatch.setattr(SubscribedSource, "apply", apply)
    monkeypatch.setattr(PublishedSource, "_changed_since", lambda self, version: set(self._change_log[-1][1]))


def accept_older_maps(monkeypatch):
    """Applies whole maps regardless of their version."""
    apply = SubscribedSource.apply

    def apply_without_version_check(self, update):
        if update.scope is UpdateScope.WHOLE:
            self.version = ()
        return apply(self, update)

    monkeypatch.setattr(SubscribedSource, "apply", apply_without_version_check)
    monkeypatch.setattr(
        SubscribedSource, "held_source", lambda self: HeldSource(self.name, (), self.digests.root)
    )


def omit_changes_during_repair(monkeypatch):
    """Makes a repair send only the ranges that differed when it started."""

    def make_ranges_update(self, offered, ranges):
        content = {key: self.entries[key] for key in keys_in_ranges(self.entries, ranges)}
        return Update(
            self.name, self.version, UpdateScope.RANGES, content, self.digests.root, ranges=list(ranges)
        )

    monkeypatch.setattr(PublishedSource, "make_ranges_update", make_ranges_update)
    monkeypatch.setattr(SubscribedSource, "_digests_after", lambda self, update, removed: AnyDigests(update))


class AnyDigests(RangeDigests):
    """Digests that match those of any update."""

    def __init__(self, update):
        super().__init__()
        self.root = update.digest


def ignore_removals(monkeypatch):
    """Drops removed keys from updates."""
    monkeypatch.setattr(SubscribedSource, "_removed_by", lambda self, update: [])


@pytest.mark.parametrize(
    "inject_fault", [skip_digest_check, accept_older_maps, omit_changes_during_repair, ignore_removals]
)
def test_random_schedules_detect_injected_faults(monkeypatch, inject_fault):
    inject_fault(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(2000):
            try:
                run_random_schedule(seed)
            except (ServingError, KeyError) as error:
                raise AssertionError(f"seed {seed}: {error}") from error
