"""When a subscriber leaves its publisher, and for which other."""

from random import Random

import pytest

from nettledeal.common.addresses import Address
from nettledeal.common.digests import RangeDigests
from nettledeal.distribution.protocol import Heartbeat, SourceStatus, Update, UpdateScope
from nettledeal.distribution.publisher_selection import (
    FAILURE_COOLDOWN_S,
    MAX_RETRY_DELAY_S,
    PublisherSelector,
    is_fresher,
    is_publisher_stale,
)
from nettledeal.distribution.subscriber_session import SubscribedSource, SubscriberSession

FIRST, SECOND, THIRD = (Address("10.0.0.1", port) for port in (1, 2, 3))
OLD_S = 1.5


def session_with(sources, **ages):
    """A session whose publisher has told version and age in ms of each source."""
    session = SubscriberSession("edge-1", "data-plane", "z1", sources, "core")
    statuses = [SourceStatus(name, version, age_ms) for name, (version, age_ms) in ages.items()]
    session.receive(Heartbeat(statuses), 0.0)
    return session


@pytest.fixture
def sources():
    return {name: SubscribedSource(name) for name in ("control", "catalogue")}


@pytest.fixture
def selector():
    return PublisherSelector(lambda: [FIRST, SECOND, THIRD], Random(1))


def test_fresh_copies_are_stayed_with(sources):
    session = session_with(sources, control=((), 200), catalogue=((), 900))
    assert not is_publisher_stale(session, sources, 0.0, OLD_S)


@pytest.mark.parametrize("age_ms", [1600, None])
def test_an_old_copy_is_a_reason_to_look_elsewhere(sources, age_ms):
    session = session_with(sources, control=((), age_ms), catalogue=((), 100))
    assert is_publisher_stale(session, sources, 0.0, OLD_S)


def test_age_goes_on_between_heartbeats(sources):
    session = session_with(sources, control=((), 200), catalogue=((), 100))
    assert is_publisher_stale(session, sources, 1.5, OLD_S)


def test_a_publisher_behind_what_is_held_is_a_reason_to_look_elsewhere(sources):
    sources["control"].version = (5,)
    session = session_with(sources, control=((4,), 0), catalogue=((), 0))
    assert is_publisher_stale(session, sources, 0.0, OLD_S)


def test_a_publisher_that_is_clearly_newer_is_taken(sources):
    current = session_with(sources, control=((), 3000), catalogue=((), 100))
    assert is_fresher(session_with(sources, control=((), 100), catalogue=((), 100)), current)
    assert not is_fresher(session_with(sources, control=((), 2900), catalogue=((), 100)), current)


def test_a_publisher_that_is_newer_in_one_source_and_older_in_another_is_not_taken(sources):
    current = session_with(sources, control=((), 3000), catalogue=((), 100))
    assert not is_fresher(session_with(sources, control=((), 100), catalogue=((), 4000)), current)


def test_a_publisher_behind_what_is_held_is_not_taken(sources):
    sources["control"].version = (5,)
    current = session_with(sources, control=((5,), 3000), catalogue=((), 100))
    assert not is_fresher(session_with(sources, control=((4,), 0), catalogue=((), 100)), current)


def test_publishers_are_tried_in_order_past_those_that_failed_lately(selector):
    assert selector.next_target(0.0) == FIRST
    selector.record_failure(FIRST, 0.0)
    assert selector.next_target(0.0) == SECOND
    assert selector.preferred(0.0) is None
    assert selector.next_target(FAILURE_COOLDOWN_S) == FIRST
    selector.record_failure(SECOND, 0.0)
    selector.record_success(SECOND)
    assert selector.next_target(0.0) == SECOND


def test_when_all_have_failed_there_is_a_pause_and_all_may_be_tried_again(selector):
    for target in (FIRST, SECOND, THIRD):
        selector.record_failure(target, 0.0)
    assert selector.next_target(0.0) is None
    pauses = [selector.retry_delay_s() for _ in range(20)]
    assert pauses[0] < 0.1
    assert max(pauses) <= 1.5 * MAX_RETRY_DELAY_S
    assert selector.next_target(0.0) == FIRST


def test_alternatives_are_gone_through_in_turn(selector):
    found = [selector.alternative(FIRST, 0.0) for _ in range(3)]
    assert found == [SECOND, THIRD, SECOND]


def test_looks_for_a_fresher_publisher_become_rarer_until_things_are_well(selector):
    moments = [moment / 10 for moment in range(300)]
    looks = [moment for moment in moments if selector.should_search(moment)]
    gaps = [later - earlier for earlier, later in zip(looks, looks[1:], strict=False)]
    assert gaps[0] < 1.0 < gaps[-1] <= 5.1
    selector.reset_search_interval()
    again = [moment for moment in (30 + moment for moment in moments) if selector.should_search(moment)]
    assert again[1] - again[0] < 1.0


def test_nobody_to_turn_to():
    selector = PublisherSelector(list, Random(1))
    assert selector.next_target(0.0) is None
    assert selector.preferred(0.0) is None
    assert selector.alternative(FIRST, 0.0) is None


def test_a_newer_configuration_is_taken_from_a_publisher_whose_catalogue_is_older(sources):
    # A core machine cut off from the others that reads the list itself has the freshest catalogue.
    current = session_with(sources, control=((7,), 3000), catalogue=((4, 0, 9), 100))
    other = session_with(sources, control=((8,), 100), catalogue=((4, 0, 9), 4000))
    assert is_fresher(other, current)
    assert not is_fresher(current, other)


def whole_update(source, version, entries):
    """An update that replaces all of a source."""
    digests = RangeDigests()
    for key, value in entries.items():
        digests.change(key, None, value)
    return Update(source, version, UpdateScope.WHOLE, entries, digests.root)


def test_a_publisher_that_has_just_sent_an_update_is_not_taken_to_be_behind(sources):
    # The heartbeat with the new version comes after the update; in between the publisher seemed to be old.
    session = session_with(sources, control=((), 0), catalogue=((4, 0, 9), 0))
    session.receive(whole_update("catalogue", (4, 0, 10), {"i-1": b"ready"}), 0.1)
    assert sources["catalogue"].version == (4, 0, 10)
    assert not is_publisher_stale(session, sources, 0.1, OLD_S)
    equal = session_with(sources, control=((), 0), catalogue=((4, 0, 10), 0))
    assert not is_fresher(equal, session)


def test_a_publisher_of_an_update_that_is_old_here_may_still_be_behind(sources):
    sources["catalogue"].version = (4, 0, 12)
    session = session_with(sources, control=((), 0), catalogue=((4, 0, 9), 0))
    session.receive(whole_update("catalogue", (4, 0, 10), {"i-1": b"ready"}), 0.1)
    assert is_publisher_stale(session, sources, 0.1, OLD_S)
