"""The system's members in simulated time: seeded faults, traffic, and how soon deaths are known."""

from random import Random

import msgspec
import pytest
from msgspec.structs import replace

from nettledeal.membership.actions import SECOND, StreamRequest
from nettledeal.membership.cbor_codec import CborCodec
from nettledeal.membership.joining import RETURN_EXCHANGES
from nettledeal.membership.member import Member
from nettledeal.membership.node import timing_for
from nettledeal.membership.packets import COMPARE, GOSSIP, VERSION, Packet
from nettledeal.membership.view import MemberRecord, Metadata, State
from nettledeal_simulations.membership import (
    START,
    Fault,
    LinkConditions,
    Simulation,
    find_violations,
    run_schedule,
)

ZONES = ("zone-one", "zone-two", "zone-three")
HEARTBEAT_MS = 1200.0
CORES = 3


def system_member(name, address, cluster, seeds, timing, rng, now, zone_number=0):
    """A member as the system's processes run it; the first `CORES` are core members."""
    number = int(name[1:])
    role = "core" if number < CORES else "edge"
    timing = replace(timing, told=3, compare=True)
    return Member(
        name,
        address,
        cluster,
        seeds,
        timing,
        rng,
        now,
        codec=CborCodec(),
        metadata=Metadata(role, ZONES[number % 3], 8161),
    )


class NeverRefutes(Member):
    """Planted fault: does not refute suspicions."""

    def _handle_update_about_self(self, record):
        pass


class NeverDeclaresDead(Member):
    """Planted fault: suspicions never time out."""

    def _suspicion_timeout(self, name):
        pass


def faulty_build(member_class):
    def build(*arguments, zone_number=0):
        member = system_member(*arguments, zone_number=zone_number)
        member.__class__ = member_class
        return member

    return build


@pytest.mark.parametrize("first_seed", range(0, 100, 20))
def test_seeded_fault_schedules_keep_the_invariants(first_seed):
    broken = {
        seed: run_schedule(seed, count=7, build=system_member) for seed in range(first_seed, first_seed + 20)
    }
    assert {seed: found for seed, found in broken.items() if found} == {}


@pytest.mark.parametrize("member_class", [NeverRefutes, NeverDeclaresDead])
def test_the_schedules_detect_a_build_that_violates_an_invariant(member_class):
    assert any(run_schedule(seed, count=7, build=faulty_build(member_class)) for seed in range(12))


def fleet(count, seed="fleet", build=system_member, **options):
    timing = timing_for(HEARTBEAT_MS)
    return Simulation(
        count, seed, timing, build=build, start_spread=SECOND // 3, seed_count=CORES, zone_count=3, **options
    )


def set_ready(simulation, number, ready=True):
    node = simulation.nodes[number]
    metadata = msgspec.structs.replace(node.member.own_record.metadata, ready=ready)
    cores = [simulation.address(core) for core in range(CORES)]
    simulation.perform(node, node.member.set_metadata(simulation.now, metadata, cores))


def is_seen_ready(simulation, observer, number):
    return simulation.nodes[observer].member.view.records[f"m{number}"].metadata.ready


@pytest.mark.parametrize("count", [11, 40])
def test_a_lost_process_is_suspected_within_three_seconds_and_dead_to_all_soon_after(count):
    simulation = fleet(count)
    simulation.run(START + 8 * SECOND)
    lost = [count - 1, count - 2]
    at = simulation.now
    for number in lost:
        simulation.crash(number)
    simulation.run(at + 3 * SECOND)
    for core in range(CORES):
        view = simulation.nodes[core].member.view
        assert all(view.records[f"m{number}"].state >= State.SUSPECT for number in lost)
    simulation.run(at + round(4.5 * SECOND))
    for node in simulation.running_nodes:
        assert all(not node.member.view.records[f"m{number}"].live for number in lost)
    dead = {change.record.name for _, _, change in simulation.changes if change.record.state == State.DEAD}
    assert dead == {f"m{number}" for number in lost}


@pytest.mark.parametrize("count", [30, 99])
def test_a_zone_without_power_is_suspected_within_three_and_a_half_seconds(count):
    simulation = fleet(count)
    simulation.run(START + 20 * SECOND)
    lost = range(1, count, 3)
    at = simulation.now
    for number in lost:
        simulation.crash(number)
    simulation.run(at + round(3.5 * SECOND))
    for core in (0, 2):
        records = simulation.nodes[core].member.view.records
        assert all(records[f"m{number}"].state >= State.SUSPECT for number in lost)
    simulation.run(at + 6 * SECOND)
    for node in simulation.running_nodes:
        assert all(not node.member.view.records[f"m{number}"].live for number in lost)
    dead = {change.record.name for _, _, change in simulation.changes if change.record.state == State.DEAD}
    assert dead == {f"m{number}" for number in lost}
    for number in lost:
        simulation.start(number)
    simulation.run(at + 9 * SECOND)
    for core in range(CORES):
        assert len(simulation.nodes[core].member.live_members()) == count


def test_no_member_is_declared_dead_while_one_datagram_in_ten_is_lost():
    simulation = fleet(20)
    simulation.link_conditions = LinkConditions(loss=0.1)
    simulation.run(START + 60 * SECOND)
    assert [change.record for _, _, change in simulation.changes if change.record.state == State.DEAD] == []


def test_readiness_is_known_to_the_core_at_once_and_to_all_eventually():
    simulation = fleet(40)
    simulation.run(START + 5 * SECOND)
    set_ready(simulation, 39)
    simulation.run(simulation.now + SECOND // 10)
    assert all(is_seen_ready(simulation, core, 39) for core in range(CORES))
    simulation.run(simulation.now + 60 * SECOND)
    assert all(is_seen_ready(simulation, number, 39) for number in range(39))


def partitioned_fleet(count, seed, cut_off):
    """A fleet at the end of a partition of 30 s: each side holds its own members live and the others dead."""
    simulation = fleet(count, seed)
    simulation.schedule_faults([Fault("split", 6 * SECOND, 36 * SECOND, cut_off)])
    simulation.run(START + 36 * SECOND - 1)
    for number in range(count):
        live = {record.name for record in simulation.nodes[number].member.view.live_records()}
        side = [other for other in range(count) if (other in cut_off) == (number in cut_off)]
        assert live == {f"m{other}" for other in side} - {f"m{number}"}, (seed, number)
    return simulation


@pytest.mark.parametrize(("count", "seeds"), [(5, 20), (11, 30), (24, 20), (48, 3)])
def test_views_agree_within_ten_seconds_of_a_zone_partition(count, seeds):
    broken = {}
    for seed in range(seeds):
        simulation = partitioned_fleet(count, seed, tuple(range(0, count, 3)))
        simulation.run(START + 46 * SECOND)
        broken[seed] = find_violations(simulation)
    assert {seed: found for seed, found in broken.items() if found} == {}


def test_views_agree_within_ten_seconds_of_a_partition_in_halves():
    broken = {}
    for seed in range(20):
        simulation = partitioned_fleet(11, seed, tuple(range(5)))
        simulation.run(START + 46 * SECOND)
        broken[seed] = find_violations(simulation)
    assert {seed: found for seed, found in broken.items() if found} == {}


def exchanges_after_returns(start_gap, returns=1):
    """Number of digest comparisons in 20 s in which a member held dead is heard again, `returns` times."""
    member = system_member("m0", ("10.0.0.0", 1), "c", [], timing_for(HEARTBEAT_MS), Random(1), START)
    member.sync_interval = member.timing.swap
    member.start(START)
    peers = [MemberRecord(f"m{number}", f"10.0.0.{number}", 1, START, 0, State.ALIVE) for number in (1, 2)]
    actions = []

    def hear(now, sender, *records):
        actions.extend(
            member.on_datagram(
                now, Packet(VERSION, "c", GOSSIP, 0, sender, None, list(records)), sender.address
            ).actions
        )

    for number in range(returns):
        now = START + 10 + number * SECOND
        hear(now, peers[0], msgspec.structs.replace(peers[1], incarnation=number, state=State.DEAD))
        hear(now + 1, msgspec.structs.replace(peers[1], started_at=START + start_gap, incarnation=number + 1))
    for now in range(START + returns * SECOND, START + 20 * SECOND, 100):
        actions.extend(member.on_timer(now).actions)
        hear(now, peers[0])
    return sum(isinstance(action, StreamRequest) and action.packet.kind == COMPARE for action in actions)


def test_views_are_compared_soon_after_a_member_held_dead_turns_out_to_be_alive():
    assert exchanges_after_returns(start_gap=0) == RETURN_EXCHANGES


def test_a_restart_is_no_return_and_quick_returns_cost_no_more_than_one():
    assert exchanges_after_returns(start_gap=1) == 0
    assert exchanges_after_returns(start_gap=0, returns=8) == RETURN_EXCHANGES


@pytest.mark.parametrize("step_s", [-30, 30, -0.5, 0.5])
def test_a_restart_after_a_clock_step_is_seen_as_a_new_process(step_s):
    simulation = fleet(8)
    simulation.run(START + 5 * SECOND)
    simulation.crash(7)
    simulation.nodes[7].clock_offset = round(step_s * SECOND)
    simulation.schedule(simulation.now + SECOND, simulation.start, 7)
    simulation.run(simulation.now + 4 * SECOND)
    own_record = simulation.nodes[7].member.own_record
    for node in simulation.running_nodes[:7]:
        record = node.member.view.records["m7"]
        assert record.live and record.started_at == own_record.started_at


def test_a_large_fleet_stays_within_its_traffic_budget():
    count = 96
    simulation = fleet(count, measure_bytes=True)
    for number in range(CORES, count):
        simulation.schedule(START + SECOND, set_ready, simulation, number)
    simulation.run(START + 10 * SECOND)
    before, between = simulation.bytes_sent, simulation.bytes_between_zones
    simulation.run(START + 30 * SECOND)
    assert (simulation.bytes_sent - before) / count / 20 < 1_000
    assert (simulation.bytes_between_zones - between) / count / 20 < 350
