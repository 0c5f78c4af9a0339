"""Machines with a CPU quota: full speed until it is spent, then stopped for the rest of each 0.1 s.

Failure detection by silence must not take such a machine for a lost one: membership, the leases of the
control state, and its in-sync set. (Fault schedules of the control state with quotas are in
`control_severe_faults`, shape six-serving.)
"""

from __future__ import annotations

from collections.abc import Collection

import pytest

from nettledeal.membership.view import State
from tests.system.control_severe_faults import SHAPES, SevereFaultWorld
from tests.system.simulated_members import CORES, Group

DURATION_S = 60.0
EDGES = 12
LOW_QUOTAS = (0.05, 0.2, 0.5)


def declared_dead(group: Group) -> set[str]:
    """Names of members that some other member holds dead."""
    return {
        record.name
        for member in group.members.values()
        for record in member.view.records.values()
        if record.state is State.DEAD
    }


def group_with_quotas(quota: float, limited: Collection[int]) -> Group:
    """A group that has joined, in which the members of the given numbers then get a quota."""
    group = Group(EDGES, seed=3)
    group.run(10.0)
    addresses = list(group.members)
    for number in limited:
        group.quotas[addresses[number]] = quota
    return group


@pytest.mark.parametrize("limited", [[0], range(CORES, CORES + EDGES), range(CORES + EDGES)], ids=len)
@pytest.mark.parametrize("quota", LOW_QUOTAS)
def test_no_member_is_declared_dead_because_of_its_quota(quota, limited):
    group = group_with_quotas(quota, limited)
    group.run(DURATION_S)
    assert declared_dead(group) == set()
    assert all(len(member.live_members()) == len(group.members) for member in group.members.values())


def test_a_stopped_member_is_still_declared_dead():
    """Counter-check: the same run detects a member that never runs."""
    group = group_with_quotas(0.2, range(CORES, CORES + EDGES))
    address = list(group.members)[-1]
    group.quotas[address] = 0.0
    group.run(DURATION_S)
    assert group.members[address].name in declared_dead(group)


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
@pytest.mark.parametrize("quota", LOW_QUOTAS)
def test_the_primary_and_the_in_sync_set_do_not_change(quota, shape):
    world = SevereFaultWorld("quota", shape)
    world.run(6.0)
    before = world.primary().replica.record
    for machine in world.machines.values():
        world.quotas[machine.host] = quota
    world.run(6.0 + DURATION_S)
    assert world.violations == []
    assert world.primary().replica.record == before
