"""Machines whose processor is a quota: full speed until it is spent, then nothing for the rest of 0.1 s.

What goes by silence must not take such a machine for a lost one: members, leases of the control state, the
in-sync set. (Schedules of the control state with quotas: `control_worst_days`, shape six-serving.)
"""

from __future__ import annotations

from collections.abc import Collection

import pytest

from nettledeal.membership.view import State
from tests.system.control_worst_days import SHAPES, WorstDay
from tests.system.simulated_members import CORES, Group

SPAN_S = 60.0
EDGES = 12
LOW_QUOTAS = (0.05, 0.2, 0.5)


def deaths_told(group: Group) -> set[str]:
    """Names that some member holds for dead."""
    return {
        word.name
        for member in group.members.values()
        for word in member.view.words.values()
        if word.state is State.DEAD
    }


def with_quotas(quota: float, some: Collection[int]) -> Group:
    """A group that has come together, some of whose members then have a quota."""
    group = Group(EDGES, seed=3)
    group.run(10.0)
    addresses = list(group.members)
    for number in some:
        group.quotas[addresses[number]] = quota
    return group


@pytest.mark.parametrize("some", [[0], range(CORES, CORES + EDGES), range(CORES + EDGES)], ids=len)
@pytest.mark.parametrize("quota", LOW_QUOTAS)
def test_no_member_is_taken_for_dead_for_its_quota(quota, some):
    group = with_quotas(quota, some)
    group.run(SPAN_S)
    assert deaths_told(group) == set()
    assert all(len(member.live()) == len(group.members) for member in group.members.values())


def test_a_member_that_stands_still_for_long_is_still_found_dead():
    """The same play finds one that does nothing at all."""
    group = with_quotas(0.2, range(CORES, CORES + EDGES))
    address = list(group.members)[-1]
    group.quotas[address] = 0.0
    group.run(SPAN_S)
    assert group.members[address].name in deaths_told(group)


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
@pytest.mark.parametrize("quota", LOW_QUOTAS)
def test_the_primary_and_the_in_sync_set_stay(quota, shape):
    world = WorstDay("quota", shape)
    world.run(6.0)
    before = world.primary().replica.record
    for machine in world.machines.values():
        world.quotas[machine.host] = quota
    world.run(6.0 + SPAN_S)
    assert world.violations == []
    assert world.primary().replica.record == before
