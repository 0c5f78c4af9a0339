"""Seeded schedules in which replicas have to look each other up, and planted faults that they must detect."""

from __future__ import annotations

from nettledeal.control.replica import Replica
from tests.system.control_lookups import found_in


class AnswersVotersOnly(Replica):
    """Planted fault: keeps no connection to replicas that it merely heard, so its answers are dropped."""

    def recently_heard_hosts(self, now):
        return set()


def test_replicas_find_each_other_whatever_their_seeds_and_membership_say():
    assert found_in(range(40)) == {}


def test_schedules_detect_contacts_that_are_looked_up_only_with_effects():
    assert found_in(range(12), with_effects_only=True)


def test_schedules_detect_answers_to_voters_only():
    assert found_in(range(20, 40), replica_type=AnswersVotersOnly)
