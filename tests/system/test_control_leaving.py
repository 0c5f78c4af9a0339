"""Replicas that leave by agreement: after each step the cluster survives one further tolerated loss."""

from __future__ import annotations

import pytest

from nettledeal.common.settings import FaultTolerance
from nettledeal.control.epoch_membership import Candidate, next_record
from nettledeal.control.messages import EpochRecord, ReplicaInfo
from nettledeal.control.replica import Replica
from nettledeal.control.state import ACCEPTED_PREFIX, Outcome, PutConfiguration
from tests.system.control_rehearsal import LEAVE_GRACE_S, Machine, World, settled

SEEDS = range(4)


def world_of(seed: object, count: int = 3, machines: int = 1, replica_type: type = Replica) -> World:
    world = World(f"{seed} leaving", count, machines=machines, replica_type=replica_type)
    world.run(6.0)
    return world


def acknowledge(world: World, expected: int = 0) -> None:
    """Submit an order and wait for its acknowledgement."""
    before = len(world.acknowledged)
    order = PutConfiguration(expected, expected + 1, b"order%d" % expected, b"order")

    def on_answer(result):
        if result is Outcome.ACCEPTED:
            world.accepted(order)

    world.submit(world.primary(), order, on_answer)
    world.run(world.now + 0.5)
    assert len(world.acknowledged) == before + 1


def lose_disk(world: World, machine: Machine) -> None:
    world.wipe(machine)
    world.at(world.now + 0.5, world.start, machine)


def run_until_exited(world: World, machine: Machine, within_s: float = LEAVE_GRACE_S + 0.5) -> None:
    until = world.now + within_s
    while machine.replica is not None:
        assert world.now < until, "the process has not ended"
        world.run(world.now + 0.005)


def replace_machine(world: World, machine: Machine) -> Machine:
    """Carry out a planned replacement until the process of the replaced machine has exited."""
    successor = world.add("spare", machine.zone)
    world.run(world.now + 5.0)
    assert world.primary().replica.record.voter_ids >= {successor.identity, machine.identity}
    world.leave(machine, world.remove)
    run_until_exited(world, machine)
    return successor


def violations_after_recovery(world: World) -> list[str]:
    world.run(world.now + 15.0)
    found = settled(world)
    if not found:
        acknowledge(world, expected=len(world.acknowledged))
    return found


class EndsWithoutAgreement(Replica):
    """A process that exits as soon as it isn't the primary."""

    @property
    def may_end(self) -> bool:
        return self.primary is None


@pytest.mark.parametrize("loses", ["primary", "backup", "successor"])
@pytest.mark.parametrize("leaves", ["primary", "backup"])
@pytest.mark.parametrize("after_s", [0.0, 0.3, 0.8])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_disk_may_be_lost_as_soon_as_a_replaced_machine_has_exited(seed, after_s, leaves, loses):
    world = world_of(seed)
    acknowledge(world)
    assert violations_after_loss(world, after_s, leaves, loses) == []


def violations_after_loss(world: World, after_s: float, leaves: str, loses: str) -> list[str]:
    primary = world.primary()
    backups = [machine for machine in world.running() if machine is not primary]
    successor = replace_machine(world, primary if leaves == "primary" else backups[0])
    world.run(world.now + after_s)
    primary = world.primary()
    others = [machine for machine in world.running() if machine not in (primary, successor)]
    victims = {"primary": primary, "backup": others[0], "successor": successor}
    lose_disk(world, victims[loses])
    return violations_after_recovery(world)


def test_exiting_without_agreement_leaves_no_majority_after_one_further_loss():
    found = [
        violations_after_loss(world_of(seed, replica_type=EndsWithoutAgreement), 0.0, "backup", "primary")
        for seed in range(6)
    ]
    assert all(found)


@pytest.mark.parametrize("seed", SEEDS)
def test_two_disks_of_six_may_be_lost_as_soon_as_a_replaced_machine_has_exited(seed):
    world = world_of(seed, 6, 2)
    acknowledge(world)
    primary = world.primary()
    replace_machine(world, next(machine for machine in world.running() if machine is not primary))
    lose_disk(world, primary)
    lose_disk(world, next(machine for machine in world.running() if machine is not primary))
    assert violations_after_recovery(world) == []


def isolate(world: World, machine: Machine) -> set[tuple[str, str]]:
    others = world.machines.keys() - {machine.host}
    pairs = {(machine.host, host) for host in others} | {(host, machine.host) for host in others}
    world.cuts |= pairs
    return pairs


def with_one_behind(seed: object, replica_type: type = Replica) -> tuple[World, Machine, Machine]:
    """A backup was partitioned while an order was acknowledged, and reconnects as the other backup leaves."""
    world = world_of(seed, replica_type=replica_type)
    behind, leaver = [machine for machine in world.running() if machine.replica.primary is None]
    pairs = isolate(world, behind)
    world.run(world.now + 3.0)
    assert behind.identity not in world.primary().replica.record.in_sync
    acknowledge(world)
    world.reconnect(pairs)
    return world, behind, leaver


@pytest.mark.parametrize("seed", SEEDS)
def test_a_copy_that_the_tolerance_needs_stays_until_another_one_is_complete(seed):
    world, behind, leaver = with_one_behind(seed)
    world.leave(leaver, world.remove)
    run_until_exited(world, leaver)
    primary = world.primary()
    assert set(primary.replica.record.in_sync) == {primary.identity, behind.identity}
    for digest in world.acknowledged:
        assert ACCEPTED_PREFIX + digest in behind.disk.durable.state.entries


def test_exiting_without_agreement_removes_the_only_other_complete_copy():
    world, behind, leaver = with_one_behind(0, EndsWithoutAgreement)
    world.leave(leaver, world.remove)
    run_until_exited(world, leaver)
    stored = behind.disk.durable.state.entries
    assert not any(ACCEPTED_PREFIX + digest in stored for digest in world.acknowledged)


@pytest.mark.parametrize("seed", SEEDS)
def test_after_a_replica_was_behind_and_another_was_replaced_a_disk_may_be_lost(seed):
    world, _, leaver = with_one_behind(seed)
    successor = world.add("spare", leaver.zone)
    world.run(world.now + 2.0)
    world.leave(leaver, world.remove)
    run_until_exited(world, leaver)
    world.run(world.now + 0.2)
    assert successor.replica is not None
    lose_disk(world, world.primary())
    assert violations_after_recovery(world) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_when_the_second_of_three_leaves_for_good_nothing_acknowledged_is_lost(seed):
    # Two lost disks of three exceed the tolerance: no majority is left, but the remaining copy is complete.
    world, behind, leaver = with_one_behind(seed)
    world.leave(leaver, world.remove)
    run_until_exited(world, leaver)
    world.run(world.now + 0.2)
    lose_disk(world, world.primary())
    world.run(world.now + 10.0)
    assert not world.violations
    for digest in world.acknowledged:
        assert ACCEPTED_PREFIX + digest in behind.disk.durable.state.entries


@pytest.mark.parametrize("seed", SEEDS)
def test_a_machine_that_is_stopped_and_started_again_stays_a_voter_of_three(seed):
    world = world_of(seed)
    leaver = next(machine for machine in world.running() if machine.replica.primary is None)
    began = world.now
    world.leave(leaver, lambda machine: None)
    run_until_exited(world, leaver)
    assert world.now - began < 1.0
    record = world.primary().replica.record
    assert leaver.identity in record.voter_ids
    assert leaver.identity not in record.in_sync
    world.start(leaver)
    assert violations_after_recovery(world) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_a_primary_hands_over_and_leaves(seed):
    world = world_of(seed)
    acknowledge(world)
    leaver = world.primary()
    began = world.now
    world.leave(leaver, lambda machine: None)
    run_until_exited(world, leaver)
    assert world.now - began < 1.5
    assert world.primary() is not leaver
    acknowledge(world, expected=1)
    world.start(leaver)
    assert violations_after_recovery(world) == []


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("count", "machines"), [(3, 1), (6, 2)])
def test_two_replicas_that_leave_at_once_both_rejoin(seed, count, machines):
    world = world_of(seed, count, machines)
    acknowledge(world)
    for machine in world.running()[:2]:
        world.leave(machine, lambda machine: world.at(world.now + 0.5, world.start, machine))
    assert violations_after_recovery(world) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_a_replica_that_leaves_while_isolated_exits_within_its_grace_period(seed):
    world = world_of(seed)
    leaver = next(machine for machine in world.running() if machine.replica.primary is None)
    pairs = isolate(world, leaver)
    world.leave(leaver, lambda machine: None)
    run_until_exited(world, leaver)
    world.reconnect(pairs)
    world.start(leaver)
    assert violations_after_recovery(world) == []


@pytest.mark.parametrize("at_s", [0.0, 0.01, 0.03, 0.06, 0.1, 0.2])
def test_a_replica_that_is_killed_while_it_leaves_does_no_harm(at_s):
    world = world_of("killed")
    acknowledge(world)
    leaver = next(machine for machine in world.running() if machine.replica.primary is None)
    world.leave(leaver, lambda machine: None)
    world.run(world.now + at_s)
    world.crash(leaver)
    world.at(world.now + 0.5, world.start, leaver)
    assert violations_after_recovery(world) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_a_majority_remains_if_the_successor_dies_as_soon_as_the_old_machine_has_left(seed):
    world = world_of(seed)
    acknowledge(world)
    old = next(machine for machine in world.running() if machine.replica.primary is None)
    successor = replace_machine(world, old)
    world.remove(successor)
    world.run(world.now + 5.0)
    acknowledge(world, expected=1)


# Choosing the members of the next epoch


def info(name: str, zone: str = "", joined: int = 0) -> ReplicaInfo:
    return ReplicaInfo(name, name, zone or f"z{name}", "r", f"{name}:1", joined)


def next_members(tolerance, voters, in_sync, absent=(), leaving=(), joining=()):
    base = EpochRecord(5, voters[0].replica_id, in_sync, tuple(voters), "c")
    candidates = {
        voter.replica_id: Candidate(
            voter,
            voter.replica_id not in absent,
            voter.replica_id not in absent,
            True,
            voter.replica_id in leaving,
        )
        for voter in (*voters, *joining)
    }
    record = next_record(base, candidates, tolerance)
    return record and (record.in_sync, "".join(voter.replica_id for voter in record.voters))


@pytest.fixture
def tolerance():
    return World("tolerance").tolerance


def test_of_four_voters_a_leaving_one_is_removed(tolerance):
    voters = [info("a"), info("b"), info("c", "z"), info("d", "z", joined=4)]
    assert next_members(tolerance, voters, tuple("abcd"), leaving="c") == (tuple("abd"), "abd")
    assert next_members(tolerance, voters, tuple("abcd"), leaving="b") == (tuple("acd"), "acd")
    assert next_members(tolerance, voters, tuple("abcd"), absent="b") == (tuple("acd"), "acd")


def test_of_three_voters_none_is_removed(tolerance):
    voters = [info("a"), info("b"), info("c")]
    assert next_members(tolerance, voters, tuple("abc"), leaving="c") == (tuple("ab"), "abc")
    assert next_members(tolerance, voters, tuple("abc"), absent="c") == (tuple("ab"), "abc")


def test_of_more_voters_than_the_tolerance_needs_an_absent_one_is_removed():
    tolerance = FaultTolerance(machines=2, zones=1)
    seven = [info(name) for name in "abcdefg"]
    assert next_members(tolerance, seven, tuple("abcdefg"), absent="g") == (tuple("abcdef"), "abcdef")
    assert next_members(tolerance, seven[:6], tuple("abcdef"), leaving="f") == (tuple("abcde"), "abcde")
    assert next_members(tolerance, seven[:5], tuple("abcde"), absent="e") == (tuple("abcd"), "abcde")


def test_a_leaving_member_stays_in_sync_if_the_tolerance_needs_it(tolerance):
    voters = [info("a"), info("b"), info("c")]
    assert next_members(tolerance, voters, tuple("ab"), absent="c", leaving="b") is None
    assert next_members(tolerance, voters, tuple("ab"), leaving="b") == (tuple("ac"), "abc")


def test_of_two_leaving_members_one_waits_for_the_other(tolerance):
    voters = [info("a"), info("b"), info("c")]
    assert next_members(tolerance, voters, tuple("abc"), leaving="bc") == (tuple("ab"), "abc")


def test_an_absent_voter_is_removed_when_another_makes_the_number_even(tolerance):
    voters = [info("a"), info("b"), info("c")]
    new = info("d", "elsewhere")
    assert next_members(tolerance, voters, tuple("ab"), absent="c", joining=[new]) == (tuple("abd"), "abd")


def test_a_leaving_replica_does_not_join(tolerance):
    voters = [info("a"), info("b"), info("c")]
    assert next_members(tolerance, voters, tuple("ab"), leaving="c") is None
