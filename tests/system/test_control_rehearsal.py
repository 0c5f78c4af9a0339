"""Seeded fault schedules against replicas of the control state, and planted bugs that they must detect."""

from __future__ import annotations

import msgspec
import pytest

from nettledeal.control.effects import Send
from nettledeal.control.epoch_consensus import Acceptor, AcceptorState
from nettledeal.control.messages import (
    Accept,
    Accepted,
    Append,
    Appended,
    Ballot,
    Decided,
    HeartbeatAck,
    Hello,
    Prepare,
    Promise,
    ReplicaInfo,
)
from nettledeal.control.primary import Primary
from nettledeal.control.replica import Replica
from nettledeal.control.state import ControlState, Outcome, PutConfiguration
from tests.system.control_rehearsal import FaultInjector, World, run_schedule, settled
from tests.system.control_severe_faults import SHAPES, run_severe_schedule


@pytest.mark.parametrize("seed", range(12))
def test_three_machines_hold_all_invariants(seed):
    assert run_schedule(seed, 3, 1) == []


@pytest.mark.parametrize("seed", range(3))
def test_six_machines_of_which_two_may_be_lost_hold_all_invariants(seed):
    assert run_schedule(seed, 6, 2) == []


class AcknowledgesBeforeSync(Replica):
    """A backup that acknowledges changes and votes before they are synced."""

    def take_effects(self):
        effects = super().take_effects()
        effects.sends = [
            Send(send.host, send.message, 0)
            if isinstance(send.message, (Appended, Promise, Accepted))
            else send
            for send in effects.sends
        ]
        return effects


class KeepsIdentityAfterWipe(Replica):
    """A machine that lost its disk and still votes and leads under its previous identity."""

    identities_by_host: dict[str, tuple[str, Acceptor]] = {}

    def __init__(self, info, durable, *arguments):
        earlier = self.identities_by_host.setdefault(info.host, info.replica_id)
        super().__init__(msgspec.structs.replace(info, replica_id=earlier), durable, *arguments)


class ActsAfterRestart(Replica):
    """A primary that continues in its epoch after a restart."""

    def __init__(self, info, durable, timing, tolerance, random, now):
        super().__init__(info, durable, timing, tolerance, random, now)
        record = self.record
        if record is not None and record.primary == info.replica_id:
            self._become_primary(now, record, None)
            self.primary.on_record_stored(info.replica_id)


class CommitsWithoutAll(Replica):
    """A primary that does not wait for a silent backup."""

    def _become_primary(self, now, record, earlier):
        super()._become_primary(now, record, earlier)
        primary = self.primary
        required = Primary.required_peers

        def heard() -> set[str]:
            return {name for name in required(primary) if primary.peers[name].is_live(self.now, self.timing)}

        primary.required_peers = heard

    def tick(self, now):
        self.now = now
        super().tick(now)

    def receive(self, now, sender, message):
        self.now = now
        super().receive(now, sender, message)

    def on_synced(self, now, number):
        self.now = now
        super().on_synced(now, number)


class AcceptsOldEpochs(Replica):
    """A replica that acknowledges a deposed primary's messages instead of informing it."""

    def _is_from_current_primary(self, sender, epoch):
        if self.record is not None and 0 <= epoch < self.record.epoch:
            return True
        return super()._is_from_current_primary(sender, epoch)

    def _on_replication(self, sender, message):
        if self.record is not None and message.epoch < self.record.epoch and isinstance(message, Append):
            self.outbox.send_synced(sender.host, Appended(message.epoch, message.sequence))
            return
        super()._on_replication(sender, message)


class ForgetsPromises(Replica):
    """An acceptor that forgets its promises and accepted record before each ballot message."""

    def _on_ballot(self, now, sender, message):
        state = self.acceptor.state
        self.acceptor.state = AcceptorState(state.decided)
        super()._on_ballot(now, sender, message)


PLANTED = [
    AcknowledgesBeforeSync,
    KeepsIdentityAfterWipe,
    ActsAfterRestart,
    CommitsWithoutAll,
    ForgetsPromises,
]


@pytest.mark.parametrize("replica_type", PLANTED, ids=lambda kind: kind.__name__)
def test_a_planted_bug_is_detected(replica_type):
    for seed in range(60):
        KeepsIdentityAfterWipe.identities_by_host.clear()
        if safety_violations_of(replica_type, seed):
            return
    pytest.fail(f"{replica_type.__name__} was not detected")


@pytest.mark.parametrize("seed", [0, 23, 35, 47, 48])
def test_machines_other_than_the_seeds_become_voters_in_a_start_without_faults(seed):
    world = World(seed, 6, machines=2)
    world.run(6.0)
    assert settled(world) == []


@pytest.mark.parametrize("seed", range(4))
def test_a_machine_that_was_partitioned_for_long_rejoins(seed):
    world = World(seed, 6, machines=2)
    world.run(6.0)
    cut = {(a, b) for a in ["h4"] for b in world.machines} | {(b, "h4") for b in world.machines}
    world.cuts |= cut
    world.run(16.0)
    world.cuts -= cut
    world.run(22.0)
    assert settled(world) == []


def stale_read(replica_type) -> list[str]:
    """Violations if a partitioned, deposed primary answers a read before it learns of its successor."""
    world = World("stale read", replica_type=replica_type)
    world.run(3.0)
    old = next(machine for machine in world.running() if machine.replica.primary is not None)
    others = {machine.host for machine in world.running()} - {old.host}
    cut = {(a, b) for a in others for b in [old.host]} | {(old.host, b) for b in others}
    world.cuts |= cut
    world.run(8.0)
    new = next(m for m in world.running() if m is not old and m.replica.primary is not None)
    order = PutConfiguration(0, 1, b"order", b"order")
    world.submit(new, order, lambda result: world.accepted(order) if result is Outcome.ACCEPTED else None)
    world.run(9.0)
    assert world.acknowledged
    world.cuts -= cut
    world.delivered_types[old.host] = (HeartbeatAck, Appended)
    answers = []
    world.read(old, answers.append)
    world.run(10.0)
    for answer in answers:
        if isinstance(answer, ControlState):
            world.check_read(answer, set(world.acknowledged))
    return world.violations


def test_a_deposed_primary_answers_no_read():
    assert stale_read(Replica) == []


def test_a_replica_that_acknowledges_a_deposed_primary_is_detected():
    assert stale_read(AcceptsOldEpochs)


def safety_violations_of(replica_type, seed) -> list[str]:
    return safety_violations(run_schedule(seed, 3, 1, replica_type=replica_type))


def safety_violations(found: list[str]) -> list[str]:
    """Safety violations only; a planted bug that merely halts progress doesn't count as detected."""
    words = ("twice", "acted", "two states", "acknowledged", "lacks", "lost")
    return [line for line in found if any(word in line for word in words)]


def test_records_of_another_cluster_are_ignored():
    world, other = World("own"), World("other")
    world.run(3.0)
    other.run(3.0)
    later = max(other.records)
    foreign = msgspec.structs.replace(other.records[later], epoch=later + 1000)
    known = {machine.host: machine.replica.record for machine in world.running()}
    assert {record.cluster for record in known.values()} != {foreign.cluster}
    foreign_replica = ReplicaInfo("stranger", "h9", "z9", "r", "h9:1")
    ballot = Ballot(99, "stranger", 1)
    for machine in world.running():
        decided = (Hello(foreign_replica, foreign), Decided(foreign))
        for message in (*decided, Prepare(ballot, foreign), Accept(ballot, foreign)):
            machine.replica.receive(world.now, foreign_replica, message)
            world.run_effects(machine)
    world.run(5.0)
    assert {machine.host: machine.replica.record for machine in world.running()} == known
    assert settled(world) == []


def test_the_identity_of_a_cluster_stays_through_every_kind_of_epoch():
    for seed in range(4):
        world = World(f"{seed} identity", 3)
        faults = FaultInjector(world, 20.0)
        assert faults.replacement_count == 0
        world.run(20.0)
        clusters = {record.cluster for record in world.records.values() if record.epoch > 0}
        assert len(clusters) == 1 and "" not in clusters


@pytest.mark.parametrize("seed", range(6))
def test_a_second_disk_may_be_lost_once_a_majority_has_stored_the_epoch_without_the_first(seed):
    world = World(f"{seed} second disk", 3)
    world.run(4.0)
    order = PutConfiguration(0, 1, b"order", b"order")
    primary = next(machine for machine in world.running() if machine.replica.primary is not None)
    world.submit(primary, order, lambda result: world.accepted(order) if result is Outcome.ACCEPTED else None)
    world.run(5.0)
    assert world.acknowledged
    first = next(machine for machine in world.running() if machine is not primary)
    world.wipe(first)
    world.start(first)
    while first.identity not in world.stored_record().in_sync:
        assert world.now < 20.0, "the machine with the empty disk was not taken in"
        world.run(world.now + 0.001)
    world.wipe(primary)
    world.at(world.now + 0.5, world.start, primary)
    world.run(world.now + 15.0)
    assert settled(world) == []


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
@pytest.mark.parametrize("seed", range(4))
def test_severe_faults_violate_no_invariant(seed, shape):
    """A small fixed selection; `experiments/control_schedules.py` plays all schedules."""
    assert run_severe_schedule(seed, shape) == []


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
@pytest.mark.parametrize("replica_type", PLANTED, ids=lambda kind: kind.__name__)
def test_a_planted_bug_is_detected_under_severe_faults(replica_type, shape):
    for seed in range(60):
        KeepsIdentityAfterWipe.identities_by_host.clear()
        if safety_violations(run_severe_schedule(seed, shape, replica_type)):
            return
    pytest.fail(f"{replica_type.__name__} was not detected")
