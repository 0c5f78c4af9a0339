"""The rules by which a soak judges which configuration each edge machine goes by."""

from __future__ import annotations

from dataclasses import replace

import pytest

from nettledeal.common.settings import Bounds
from nettledeal.standins.configuration_changes import (
    EXCHANGED_PREFIX,
    SLOW_PREFIX,
    SPLIT_PREFIX,
    UNKNOWN_PREFIX,
    Answer,
    Invalidity,
    added_prefix,
    make_change,
    make_invalid_change,
)
from nettledeal.standins.configuration_rules import ConfigurationRules, Contact, Probe, ReadBack

BOUNDS = Bounds(config_apply_ms=2500, rollback_slack_ms=250, max_skew_ms=6000)
SENT_AT = [10.0, 20.0, 30.0]
ACKNOWLEDGED_AFTER_S = 0.1


@pytest.fixture
def changes():
    """Generations 1 to 3, acknowledged 10 s apart."""
    made = []
    for number, sent_at in enumerate(SENT_AT):
        change = make_change(number + 1, number, list(range(1, number + 1)))
        change.sent_at, change.acknowledged_at = sent_at, sent_at + ACKNOWLEDGED_AFTER_S
        change.answer = Answer.ACKNOWLEDGED
        made.append(change)
    return made


def probe(prefix, service, sent_at, contact=Contact.IN_TOUCH, life=1, status=None):
    status = status or (404 if service is None else 200)
    return Probe("edge-1", life, prefix, f"{sent_at}", sent_at, sent_at + 0.05, status, service, contact)


def broken(changes, probes=(), reads=()):
    return ConfigurationRules(BOUNDS, changes).broken(probes, reads)


def acknowledged_drop():
    """Generation 9, which drops the route that generation 1 added."""
    change = make_change(9, 3, [1, 2, 3])
    change.sent_at, change.acknowledged_at, change.answer = 40.0, 40.1, Answer.ACKNOWLEDGED
    return change


def exchanged_by(changes, generation):
    return changes[generation - 1].services[EXCHANGED_PREFIX][0]


def test_answers_that_the_configurations_allow_in_time_break_nothing(changes):
    probes = [
        probe(UNKNOWN_PREFIX, None, 12.0),
        probe(EXCHANGED_PREFIX, exchanged_by(changes, 1), 22.5),
        probe(EXCHANGED_PREFIX, exchanged_by(changes, 2), 25.0),
        probe(added_prefix(1), "web", 32.8),
        probe(EXCHANGED_PREFIX, None, 33.0, status=503),
    ]
    assert broken(changes, probes, [ReadBack(33.0, changes[-1].body)]) == []


@pytest.mark.parametrize(
    ("prefix", "generation"),
    [(EXCHANGED_PREFIX, 1), (added_prefix(2), 1)],
    ids=["an exchanged service", "an added route"],
)
def test_a_change_that_is_not_in_force_in_time_is_found(changes, prefix, generation):
    service = exchanged_by(changes, generation) if prefix == EXCHANGED_PREFIX else None
    assert len(broken(changes, [probe(prefix, service, 22.7)])) == 1
    assert broken(changes, [probe(prefix, service, 22.7, Contact.OUT_OF_TOUCH)]) == []
    assert broken(changes, [probe(prefix, service, 22.7, Contact.UNSTABLE_CORE)]) == []
    assert len(broken(changes, [probe(prefix, service, 28.7, Contact.UNSTABLE_CORE)])) == 1


def test_a_process_that_goes_back_is_found_even_out_of_touch(changes):
    newer = probe(EXCHANGED_PREFIX, exchanged_by(changes, 2), 20.2, Contact.OUT_OF_TOUCH)
    older = probe(EXCHANGED_PREFIX, exchanged_by(changes, 1), 20.6, Contact.OUT_OF_TOUCH)
    soon = probe(EXCHANGED_PREFIX, exchanged_by(changes, 1), 20.4, Contact.OUT_OF_TOUCH)
    restarted = probe(EXCHANGED_PREFIX, exchanged_by(changes, 1), 20.6, Contact.OUT_OF_TOUCH, life=2)
    assert len(broken(changes, [newer, older])) == 1
    assert broken(changes, [newer, soon]) == []
    assert broken(changes, [newer, restarted]) == []


def test_a_dropped_route_that_is_served_is_found(changes):
    assert len(broken([*changes, acknowledged_drop()], [probe(added_prefix(1), "web", 43.0)])) == 1


def test_a_refused_configuration_in_force_is_found(changes):
    rival = make_change(4, 2, [1, 2], "b")
    rival.sent_at, rival.answer = 30.0, Answer.REFUSED
    assert len(broken([*changes, rival], [probe(added_prefix(4, "b"), "web", 31.0)])) == 1


@pytest.mark.parametrize("invalidity", list(Invalidity))
def test_an_acknowledged_invalid_configuration_is_found(changes, invalidity):
    invalid = make_invalid_change(make_change(4, 3, [1, 2, 3], "x"), invalidity)
    invalid.sent_at, invalid.acknowledged_at, invalid.answer = 40.0, 40.1, Answer.ACKNOWLEDGED
    assert any("invalid" in line for line in broken([*changes, invalid]))


def test_two_acknowledged_changes_on_one_version_are_found(changes):
    rival = make_change(5, 2, [1, 2], "b")
    rival.sent_at, rival.acknowledged_at, rival.answer = 30.0, 30.2, Answer.ACKNOWLEDGED
    assert broken([*changes, rival]) == ["2 changes on top of version 2 were acknowledged"]


def test_added_routes_that_are_seldom_served_are_found(changes):
    refused = [probe(added_prefix(1), None, 13.0 + n / 10, status=503) for n in range(20)]
    first = [probe(EXCHANGED_PREFIX, exchanged_by(changes, 1), 13.0 + n / 10) for n in range(20)]
    dropped = acknowledged_drop()
    assert len(broken([*changes, dropped], [*refused, *first])) == 1
    assert broken([*changes, dropped], [*refused[:19], *first]) == []


def test_a_split_that_is_off_its_weights_is_found(changes):
    def split(to_web):
        return [probe(SPLIT_PREFIX, "web" if n < to_web else "web-2", 33.0 + n / 100) for n in range(200)]

    assert broken(changes, split(150)) == []
    assert broken(changes, split(115)) == []
    assert len(broken(changes, split(105))) == 2


def test_answers_that_come_long_after_the_time_out_are_found(changes):
    def lasting(count, late_by_s):
        slow = changes[-1].slow_timeout_s
        asked = [probe(SLOW_PREFIX, None, 33.0 + n, status=504) for n in range(count)]
        return [replace(sent, answered_at=sent.sent_at + slow + late_by_s) for sent in asked]

    assert broken(changes, lasting(20, 0.4)) == []
    assert len(broken(changes, lasting(8, 0.6))) == 1
    assert broken(changes, lasting(7, 0.6)) == []
    assert broken(changes, [*lasting(8, 0.6), *lasting(25, 0.4)]) == []


def test_reads_of_an_older_a_different_or_no_configuration_are_found(changes):
    assert len(broken(changes, reads=[ReadBack(23.0, changes[0].body)])) == 1
    assert len(broken(changes, reads=[ReadBack(23.0, changes[1].body + b" ")])) == 1
    assert len(broken(changes, reads=[ReadBack(23.0, None)])) == 1
