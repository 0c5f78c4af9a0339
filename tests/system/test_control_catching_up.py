"""Replicas that were down during many changes catch up while further changes are made."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from nettledeal.common.errors import ErrorCode
from nettledeal.control.change_log import MAX_BYTES, ChangeLog
from nettledeal.control.effects import SaveRanges
from nettledeal.control.messages import CODEC, Append, Ranges
from nettledeal.control.primary import MAX_UNCOMMITTED
from nettledeal.control.replica import Replica
from nettledeal.control.replication import WINDOW_BYTES, WINDOW_CHANGES
from nettledeal.control.state import Change, Outcome, PutConfiguration, SetEvacuation
from tests.system.control_rehearsal import Machine, World, heal, settled

BODY_BYTES = 2000


class Stream:
    """A continuous stream of orders, or of evacuations that start and end."""

    def __init__(self, world: World, zone: str = ""):
        self.world, self.zone = world, zone
        self.count = 0
        self.running = True
        self._submit_next()

    def _submit_next(self) -> None:
        if not self.running:
            return
        leading = [machine for machine in self.world.running() if machine.replica.primary is not None]
        if not leading:
            self.world.at(self.world.now + 0.05, self._submit_next)
            return
        self.world.submit(leading[-1], self._command(leading[-1].replica), self._on_answer)

    def _command(self, replica: Replica) -> PutConfiguration | SetEvacuation:
        if self.zone:
            return SetEvacuation(self.zone, self.count % 2 == 0)
        version = replica.replicated.latest.generation
        body = b"%d" % version * BODY_BYTES
        return PutConfiguration(version, version + 1, b"o%d" % version, body[:BODY_BYTES])

    def _on_answer(self, result: object) -> None:
        if result is Outcome.ACCEPTED:
            self.count += 1
        self.world.at(self.world.now + 0.001, self._submit_next)


def streams(world: World) -> list[Stream]:
    return [Stream(world), Stream(world, "za"), Stream(world, "zb"), Stream(world, "zc")]


def world_of(seed: object, replica_type: type = Replica, count: int = 3) -> World:
    world = World(f"{seed} catching up", count, machines=(count - 1) // 2, replica_type=replica_type)
    world.jitter_s = 0.0  # connections keep the order of messages
    world.run(6.0)
    return world


def backup_of(world: World) -> Machine:
    return [machine for machine in world.running() if machine.replica.primary is None][-1]


def in_sync(world: World, machine: Machine) -> bool:
    return machine.identity in world.primary().replica.record.in_sync


def stop(world: World, running: list[Stream]) -> None:
    for stream in running:
        stream.running = False
    heal(world)
    world.run(world.now + 6.0)


@pytest.mark.parametrize("extra_delay_s", [0.0, 0.06, 0.15])
@pytest.mark.parametrize("down_s", [1.5, 8.0])
@pytest.mark.parametrize("seed", range(2))
def test_a_restarted_replica_catches_up_while_changes_go_on_without_a_pause(seed, down_s, extra_delay_s):
    world = world_of(seed)
    machine = backup_of(world)
    world.extra_delay_by_host[machine.host] = extra_delay_s
    running = streams(world)
    world.run(world.now + 1.0)
    world.crash(machine)
    world.run(world.now + down_s)
    assert not in_sync(world, machine)
    before = sum(stream.count for stream in running)
    world.start(machine)
    began = world.now
    while not in_sync(world, machine):
        assert world.now < began + 4.0, "the replica has not caught up"
        world.run(world.now + 0.01)
    world.run(world.now + 1.0)
    assert in_sync(world, machine)
    assert sum(stream.count for stream in running) > before + 20
    stop(world, running)
    assert settled(world) == []


def down_during_changes(seed: object, replica_type: type = Replica) -> tuple[World, Machine, list[Stream]]:
    """A backup that was down while hundreds of changes were made, and is about to restart."""
    world = world_of(seed, replica_type)
    machine = backup_of(world)
    world.crash(machine)
    world.run(world.now + 1.5)
    running = streams(world)
    world.run(world.now + 3.0)
    assert sum(stream.count for stream in running) > 300
    return world, machine, running


def is_replacing_ranges(machine: Machine) -> bool:
    return any(isinstance(write, SaveRanges) for _, write in machine.disk.unsynced)


def killed_while_catching_up(seed: int, replica_type: type = Replica) -> list[str]:
    """What doesn't hold after a replica was killed repeatedly while it was replacing ranges."""
    world, machine, running = down_during_changes(seed, replica_type)
    for _ in range(6):
        world.start(machine)
        until = world.now + 1.0
        while world.now < until and not is_replacing_ranges(machine):
            world.run(world.now + 0.001)
        world.crash(machine)
        world.run(world.now + 0.2)
    world.start(machine)
    world.run(world.now + 5.0)
    primary = world.primary()
    if primary is not machine:
        world.crash(primary)  # the one that caught up may lead now
        world.run(world.now + 4.0)
    stop(world, running)
    return settled(world)


@pytest.mark.parametrize("seed", range(4))
def test_a_replica_that_is_killed_while_it_replaces_ranges(seed):
    assert killed_while_catching_up(seed) == []


class SavesRangesInTwoWrites(Replica):
    """A replica that saves ranges in two writes, of which the first already claims to be complete."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        write = self.outbox.write

        def write_in_two_parts(wanted):
            if isinstance(wanted, SaveRanges) and len(wanted.entries) > 1:
                half = wanted.entries[: len(wanted.entries) // 2]
                write(SaveRanges(wanted.epoch, wanted.sequence, wanted.removed, half))
            return write(wanted)

        self.outbox.write = write_in_two_parts


def test_partly_replaced_ranges_are_detected():
    assert any(killed_while_catching_up(seed, SavesRangesInTwoWrites) for seed in range(8))


@pytest.mark.parametrize("seed", range(3))
def test_a_replica_whose_disk_fails_while_it_catches_up(seed):
    world, machine, running = down_during_changes(seed)
    world.start(machine)
    world.run(world.now + 0.1)
    machine.disk.failing_until = world.now + 3.0
    world.set_storage(machine, machine.incarnation, False)
    world.run(world.now + 2.9)
    assert not in_sync(world, machine)
    assert len(machine.disk.unsynced) <= 2 * WINDOW_CHANGES
    world.run(world.now + 1.0)
    world.set_storage(machine, machine.incarnation, True)
    world.run(world.now + 4.0)
    assert in_sync(world, machine)
    stop(world, running)
    assert settled(world) == []


@pytest.mark.parametrize("seed", range(2))
def test_memory_and_traffic_for_a_replica_that_writes_nothing_are_bounded(seed):
    world = world_of(seed)
    machine = backup_of(world)
    machine.disk.hanging_until = float("inf")
    sent = []
    transmit = world._transmit

    def counting(sender, host, message):
        if host == machine.host and isinstance(message, (Append, Ranges)):
            sent.append(len(CODEC.encode(message)))
        transmit(sender, host, message)

    world._transmit = counting
    running = streams(world)
    world.run(world.now + 12.0)
    assert sum(stream.count for stream in running) > 500
    primary = world.primary().replica.primary
    assert sum(sent) < 12 * WINDOW_BYTES
    assert primary._change_log._kept_bytes <= MAX_BYTES
    assert len(machine.disk.unsynced) < 4 * WINDOW_CHANGES
    assert len(machine.waiting_sends) < 16 * WINDOW_CHANGES


def test_orders_beyond_the_uncommitted_limit_are_unavailable():
    world = world_of("many")
    primary = world.primary()
    for machine in world.running():
        if machine is not primary:
            world.pause(machine)
    answers = []
    for number in range(MAX_UNCOMMITTED + 10):
        order = PutConfiguration(number, number + 1, b"%d" % number, b"%d" % number)
        world.submit(primary, order, answers.append)
    assert answers == [ErrorCode.UNAVAILABLE] * 10
    heal(world)
    world.run(world.now + 8.0)
    assert settled(world) == []


# The primary's change log


def test_the_change_log_keeps_the_latest_changes_within_its_bounds():
    log = ChangeLog(max_changes=3, max_bytes=10_000)
    for sequence in range(5, 10):
        log.append(sequence, (Change("k", b"%d" % sequence),))
    assert [log.get(sequence) is not None for sequence in range(4, 11)] == [False] * 3 + [True] * 3 + [False]
    one = log.bytes_between(8, 9)
    assert log.bytes_between(7, 9) == 2 * one
    assert log.bytes_between(0, 9) == 3 * one
    log.append(10, (Change("k", b"x" * 10_000),))
    assert log.get(9) is None


@given(st.lists(st.integers(0, 400), max_size=60))
def test_the_change_log_never_keeps_more_bytes_than_its_bound(sizes):
    log = ChangeLog(max_changes=20, max_bytes=2000)
    for sequence, size in enumerate(sizes):
        log.append(sequence, (Change("key", b"x" * size),))
        assert log._kept_bytes <= 2000
