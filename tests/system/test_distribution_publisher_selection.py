"""When a subscriber leaves its publisher, and which one it tries next."""

from random import Random

import pytest

from nettledeal.common.addresses import Address
from nettledeal.common.digests import RangeDigests
from nettledeal.common.settings import Bounds
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
MAX_AGE_S = 1.5
GRID_S = 0.1


def session_with(sources, **ages):
    """Returns a session that has received the version and age in ms of each source."""
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


def test_a_publisher_with_fresh_copies_is_not_stale(sources):
    session = session_with(sources, control=((), 200), catalogue=((), 900))
    assert not is_publisher_stale(session, sources, 0.0, MAX_AGE_S)


@pytest.mark.parametrize("age_ms", [1600, None])
def test_a_publisher_with_an_old_copy_is_stale(sources, age_ms):
    session = session_with(sources, control=((), age_ms), catalogue=((), 100))
    assert is_publisher_stale(session, sources, 0.0, MAX_AGE_S)


def test_age_increases_between_heartbeats(sources):
    session = session_with(sources, control=((), 200), catalogue=((), 100))
    assert is_publisher_stale(session, sources, 1.5, MAX_AGE_S)


def test_a_publisher_with_an_older_version_is_stale(sources):
    sources["control"].version = (5,)
    session = session_with(sources, control=((4,), 0), catalogue=((), 0))
    assert is_publisher_stale(session, sources, 0.0, MAX_AGE_S)


def test_a_publisher_with_a_clearly_fresher_copy_is_fresher(sources):
    current = session_with(sources, control=((), 3000), catalogue=((), 100))
    assert is_fresher(session_with(sources, control=((), 100), catalogue=((), 100)), current)
    assert not is_fresher(session_with(sources, control=((), 2900), catalogue=((), 100)), current)


def test_a_publisher_with_one_fresher_and_one_older_copy_is_not_fresher(sources):
    current = session_with(sources, control=((), 3000), catalogue=((), 100))
    assert not is_fresher(session_with(sources, control=((), 100), catalogue=((), 4000)), current)


def test_a_publisher_with_an_older_version_than_the_local_copy_is_not_fresher(sources):
    sources["control"].version = (5,)
    current = session_with(sources, control=((5,), 3000), catalogue=((), 100))
    assert not is_fresher(session_with(sources, control=((4,), 0), catalogue=((), 100)), current)


def test_publishers_are_tried_in_order_without_recently_failed_ones(selector):
    assert selector.next_target(0.0) == FIRST
    selector.record_failure(FIRST, 0.0)
    assert selector.next_target(0.0) == SECOND
    assert selector.preferred(0.0) is None
    assert selector.next_target(FAILURE_COOLDOWN_S) == FIRST
    selector.record_failure(SECOND, 0.0)
    selector.record_success(SECOND)
    assert selector.next_target(0.0) == SECOND


def test_all_publishers_are_retried_after_a_delay_once_all_have_failed(selector):
    for target in (FIRST, SECOND, THIRD):
        selector.record_failure(target, 0.0)
    assert selector.next_target(0.0) is None
    delays_s = [selector.retry_delay_s() for _ in range(20)]
    assert delays_s[0] < 0.1
    assert max(delays_s) <= 1.5 * MAX_RETRY_DELAY_S
    assert selector.next_target(0.0) == FIRST


def test_alternatives_are_chosen_round_robin(selector):
    found = [selector.alternative(FIRST, 0.0) for _ in range(3)]
    assert found == [SECOND, THIRD, SECOND]


def test_the_search_interval_grows_to_half_of_the_time_to_apply_a_change_until_it_is_reset(selector):
    # Guards against an edge machine that notices a change only at its next search, some seconds later.
    times_s = [time_s * GRID_S for time_s in range(300)]
    searches = [time_s for time_s in times_s if selector.should_search(time_s)]
    intervals_s = [later - earlier for earlier, later in zip(searches, searches[1:], strict=False)]
    assert intervals_s[0] < 1.0 < max(intervals_s) <= Bounds().config_apply_ms / 1000 / 2 + GRID_S
    selector.reset_search_interval()
    again = [time_s for time_s in (30 + time_s for time_s in times_s) if selector.should_search(time_s)]
    assert again[1] - again[0] < 1.0


def test_without_targets_no_publisher_is_chosen():
    selector = PublisherSelector(list, Random(1))
    assert selector.next_target(0.0) is None
    assert selector.preferred(0.0) is None
    assert selector.alternative(FIRST, 0.0) is None


def test_a_newer_configuration_outweighs_an_older_catalogue(sources):
    # A core machine that is partitioned from the others but reads the list has the freshest catalogue.
    current = session_with(sources, control=((7,), 3000), catalogue=((4, 0, 9), 100))
    other = session_with(sources, control=((8,), 100), catalogue=((4, 0, 9), 4000))
    assert is_fresher(other, current)
    assert not is_fresher(current, other)


def whole_update(source, version, entries):
    """Returns an update that replaces a whole source."""
    digests = RangeDigests()
    for key, value in entries.items():
        digests.change(key, None, value)
    return Update(source, version, UpdateScope.WHOLE, entries, digests.root)


def test_a_publisher_that_has_just_sent_an_update_is_not_stale(sources):
    # The heartbeat with the new version follows the update; in between, the publisher used to look stale.
    session = session_with(sources, control=((), 0), catalogue=((4, 0, 9), 0))
    session.receive(whole_update("catalogue", (4, 0, 10), {"i-1": b"ready"}), 0.1)
    assert sources["catalogue"].version == (4, 0, 10)
    assert not is_publisher_stale(session, sources, 0.1, MAX_AGE_S)
    equal = session_with(sources, control=((), 0), catalogue=((4, 0, 10), 0))
    assert not is_fresher(equal, session)


def test_a_publisher_that_sent_an_outdated_update_is_still_stale(sources):
    sources["catalogue"].version = (4, 0, 12)
    session = session_with(sources, control=((), 0), catalogue=((4, 0, 9), 0))
    session.receive(whole_update("catalogue", (4, 0, 10), {"i-1": b"ready"}), 0.1)
    assert is_publisher_stale(session, sources, 0.1, MAX_AGE_S)
