"""Publisher and subscriber sessions: updates, gaps, repair, and versions that never go back."""

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
from tests.system.distribution_support import Link

ROUTES = {f"route/{number}": b"%d" % number for number in range(500)}


def linked(published, held):
    sources = {published.name: published}
    session = SubscriberSession("edge-1", "data-plane", "z1", {held.name: held}, "core")
    return Link(PublisherSession(sources, "edge-1"), session)


def sent_down(link):
    link.step_up()
    link.send()
    return CODEC.decode(link.down[0])


def test_first_subscription_brings_the_whole_map_and_is_acknowledged():
    published, held = PublishedSource("control"), SubscribedSource("control")
    published.publish((3,), ROUTES)
    link = linked(published, held)
    link.settle()
    assert held.version == (3,)
    assert dict(held.entries) == ROUTES
    assert link.publisher.acknowledged() == {"control": (3,)}


def test_a_change_of_one_key_travels_alone():
    published, held = PublishedSource("control"), SubscribedSource("control")
    published.publish((1,), ROUTES)
    link = linked(published, held)
    link.settle()
    published.publish((2,), {**ROUTES, "route/7": b"changed"})
    link.send()
    update = CODEC.decode(link.down[0])
    assert update.scope is UpdateScope.KEYS
    assert update.changed == {"route/7": b"changed"}
    assert update.removed == []


def test_removed_keys_are_removed():
    published, held = PublishedSource("control"), SubscribedSource("control")
    published.publish((1,), {"a": b"1", "b": b"2"})
    link = linked(published, held)
    link.settle()
    published.publish((2,), {"b": b"2"})
    link.settle()
    assert dict(held.entries) == {"b": b"2"}


def test_a_slow_subscriber_gets_one_update_for_several_versions():
    published, held = PublishedSource("control"), SubscribedSource("control")
    published.publish((1,), {"a": b"1"})
    link = linked(published, held)
    link.settle()
    for sequence in range(2, 10):
        published.publish((sequence,), {"a": b"%d" % sequence})
    link.send()
    assert len(link.down) == 1
    link.settle()
    assert held.version == (9,)


def test_subscribers_at_the_same_version_share_one_encoded_update():
    published = PublishedSource("control")
    published.publish((1,), ROUTES)
    published.publish((2,), {**ROUTES, "x": b"1"})
    assert published.update_since((1,)) is published.update_since((1,))
    assert published.update_since((1,)).frame is published.update_since((1,)).frame


def test_after_a_gap_only_differing_ranges_travel():
    published, held = PublishedSource("control", change_log_length=2), SubscribedSource("control")
    published.publish((1,), ROUTES)
    linked(published, held).settle()
    for sequence in range(2, 8):
        published.publish((sequence,), {**ROUTES, "route/3": b"%d" % sequence, "new": b"1"})
    link = linked(published, held)
    assert isinstance(sent_down(link), Digests)
    link.step_down()
    assert isinstance(CODEC.decode(link.up[0]), RangeRequest)
    update = sent_down(link) if not link.down else None
    assert update is not None
    assert update.scope is UpdateScope.RANGES
    assert len(update.changed) < len(ROUTES) / 20
    link.settle()
    assert dict(held.entries) == dict(published.entries)
    assert held.version == (7,)


def test_a_change_during_the_repair_is_part_of_it():
    published, held = PublishedSource("control", change_log_length=2), SubscribedSource("control")
    published.publish((1,), ROUTES)
    linked(published, held).settle()
    for sequence in range(2, 8):
        published.publish((sequence,), {**ROUTES, "route/3": b"%d" % sequence})
    link = linked(published, held)
    assert isinstance(sent_down(link), Digests)
    published.publish((8,), {"only": b"1"})
    link.settle()
    assert dict(held.entries) == {"only": b"1"}


def test_a_repair_overtaken_by_more_changes_than_the_log_holds_begins_again():
    published, held = PublishedSource("control", change_log_length=1), SubscribedSource("control")
    published.publish((1,), ROUTES)
    linked(published, held).settle()
    published.publish((2,), {"a": b"2"})
    published.publish((3,), {"a": b"3"})
    link = linked(published, held)
    assert isinstance(sent_down(link), Digests)
    published.publish((4,), {"b": b"4"})
    published.publish((5,), {"c": b"5"})
    link.settle()
    assert dict(held.entries) == {"c": b"5"}
    assert held.version == (5,)


def test_different_content_under_the_held_version_is_repaired():
    published, held = PublishedSource("control"), SubscribedSource("control")
    other = PublishedSource("control")
    other.publish((4,), {"a": b"other", "b": b"1"})
    linked(other, held).settle()
    published.publish((4,), {"a": b"ours"})
    linked(published, held).settle()
    assert dict(held.entries) == {"a": b"ours"}


def test_a_publisher_that_is_behind_sends_nothing_until_it_has_caught_up():
    published, held = PublishedSource("control"), SubscribedSource("control")
    newer = PublishedSource("control")
    newer.publish((9,), {"a": b"9"})
    linked(newer, held).settle()
    published.publish((5,), {"a": b"5"})
    link = linked(published, held)
    link.settle()
    assert held.version == (9,)
    assert dict(held.entries) == {"a": b"9"}
    published.publish((9,), {"a": b"9"})
    published.publish((10,), {"a": b"10"})
    link.settle()
    assert dict(held.entries) == {"a": b"10"}


def test_an_update_that_starts_elsewhere_leads_to_a_new_subscription():
    held = SubscribedSource("control")
    session = SubscriberSession("edge-1", "data-plane", "z1", {"control": held}, "core")
    stray = Update("control", (5,), UpdateScope.KEYS, {"a": b"5"}, 1, from_version=(4,))
    assert session.receive(stray, 0.0) == [
        Subscribe("edge-1", "data-plane", "z1", [HeldSource("control", (), 0)], PROTOCOL_VERSION)
    ]
    assert held.version == ()


def test_an_update_that_leads_to_another_map_is_not_applied_and_everything_is_asked_for():
    published, held = PublishedSource("control"), SubscribedSource("control")
    published.publish((1,), {"a": b"1"})
    link = linked(published, held)
    link.settle()
    wrong = Update("control", (2,), UpdateScope.KEYS, {"a": b"2"}, 12345, from_version=(1,))
    answers = link.subscriber.receive(wrong, 0.0)
    assert held.version == (1,)
    assert answers[0].wanted == [HeldSource("control")]
    published.publish((2,), {"a": b"two"})
    link.up.extend(CODEC.encode(answer) for answer in answers)
    link.settle()
    assert dict(held.entries) == {"a": b"two"}


def test_a_source_that_the_publisher_does_not_have_is_left_out():
    published, held = PublishedSource("control"), SubscribedSource("future")
    linked(published, held).settle()
    assert held.version == ()


def test_a_message_out_of_place_is_malformed():
    session = PublisherSession({}, "edge-1")
    with pytest.raises(ServingError) as caught:
        session.receive(Heartbeat([]))
    assert caught.value.code is ErrorCode.MALFORMED_MESSAGE
    assert caught.value.peer == "edge-1"


def test_digests_of_another_number_of_ranges_lead_to_the_whole_map():
    held = SubscribedSource("control")
    session = SubscriberSession("edge-1", "data-plane", "z1", {"control": held}, "core")
    assert session.receive(Digests("control", (2,), [0] * 16), 0.0)[0].wanted == [HeldSource("control")]


def test_age_counts_from_the_publishers_confirmation():
    held = SubscribedSource("control")
    assert held.age_s(5.0) is None
    held.confirm(10.0, SourceStatus("control", (), 500))
    assert held.age_s(10.0) == pytest.approx(0.5)
    held.confirm(10.0, SourceStatus("control", (), 900))
    assert held.age_s(11.0) == pytest.approx(1.5)


def test_a_newer_copy_at_the_publisher_confirms_nothing_until_it_is_applied():
    published, held = PublishedSource("control"), SubscribedSource("control")
    published.publish((1,), {"a": b"1"})
    held.confirm(10.0, SourceStatus("control", (1,), 100))
    assert held.age_s(10.0) is None
    linked(published, held).settle(10.2)
    assert held.age_s(10.0) == pytest.approx(0.1)


def run_random_schedule(seed):
    """Several publishers fed with lag, streams cut anywhere, messages in flight lost; checked throughout."""
    random = Random(seed)
    truth: list[dict[str, bytes]] = [{}]
    publishers = [PublishedSource("control", change_log_length=random.choice([1, 3, 50])) for _ in range(3)]
    held = SubscribedSource("control")
    link = linked(publishers[0], held)
    newest = ()
    for _ in range(random.randrange(5, 120)):
        match random.randrange(7):
            case 0:
                truth.append(changed(truth[-1], random))
            case 1:
                sequence = random.randrange(len(truth))
                random.choice(publishers).publish((sequence,), truth[sequence])
            case 2:
                link = linked(random.choice(publishers), held)
            case 3:
                link.step_up()
            case 4:
                link.send()
            case _:
                link.step_down()
        assert held.version >= newest
        newest = held.version
        if held.version:
            assert dict(held.entries) == truth[held.version[0]]
    last = len(truth) - 1
    publishers[1].publish((last,), truth[last])
    linked(publishers[1], held).settle()
    assert dict(held.entries) == truth[last]


def changed(entries, random):
    """The entries with some set and one gone."""
    entries = dict(entries)
    for _ in range(random.randrange(1, 4)):
        entries[f"k{random.randrange(30)}"] = b"%d" % random.randrange(1000)
    entries.pop(f"k{random.randrange(30)}", None)
    return entries


@given(st.integers(0, 2**32))
def test_under_loss_and_change_of_publisher_versions_never_go_back_and_copies_converge(seed):
    run_random_schedule(seed)


def skip_digest_check(monkeypatch):
    """Updates are applied without a look at the digest, and gaps are not noticed."""

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
    """Whole maps are applied whatever their version."""
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
    """A repair brings only the ranges that differed when it began."""

    def make_ranges_update(self, offered, ranges):
        content = {key: self.entries[key] for key in keys_in_ranges(self.entries, ranges)}
        return Update(
            self.name, self.version, UpdateScope.RANGES, content, self.digests.root, ranges=list(ranges)
        )

    monkeypatch.setattr(PublishedSource, "make_ranges_update", make_ranges_update)
    monkeypatch.setattr(SubscribedSource, "_digests_after", lambda self, update, removed: AnyDigests(update))


class AnyDigests(RangeDigests):
    """Digests that agree with whatever an update says."""

    def __init__(self, update):
        super().__init__()
        self.root = update.digest


def ignore_removals(monkeypatch):
    """Keys that went are not among the removed ones."""
    monkeypatch.setattr(SubscribedSource, "_removed_by", lambda self, update: [])


@pytest.mark.parametrize(
    "plant_fault", [skip_digest_check, accept_older_maps, omit_changes_during_repair, ignore_removals]
)
def test_the_schedules_find_planted_faults(monkeypatch, plant_fault):
    plant_fault(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(2000):
            try:
                run_random_schedule(seed)
            except (ServingError, KeyError) as error:
                raise AssertionError(f"seed {seed}: {error}") from error
