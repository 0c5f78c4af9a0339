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
from nettledeal_simulations.membership import START, Fault, Rehearsal, Weather, promises, rehearse

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
def test_seeded_fault_schedules_keep_the_promises(first_seed):
    broken = {
        seed: rehearse(seed, count=7, build=system_member) for seed in range(first_seed, first_seed + 20)
    }
    assert {seed: found for seed, found in broken.items() if found} == {}


@pytest.mark.parametrize("member_class", [NeverRefutes, NeverDeclaresDead])
def test_the_schedules_detect_a_build_that_breaks_a_promise(member_class):
    assert any(rehearse(seed, count=7, build=faulty_build(member_class)) for seed in range(12))


def fleet(count, seed="fleet", build=system_member, **options):
    timing = timing_for(HEARTBEAT_MS)
    return Rehearsal(count, seed, timing, build=build, together=SECOND // 3, seeds=CORES, places=3, **options)


def set_ready(rehearsal, number, ready=True):
    node = rehearsal.nodes[number]
    metadata = msgspec.structs.replace(node.member.own_record.metadata, ready=ready)
    cores = [rehearsal.address(core) for core in range(CORES)]
    rehearsal._do(node, node.member.set_metadata(rehearsal.now, metadata, cores))


def is_seen_ready(rehearsal, observer, number):
    return rehearsal.nodes[observer].member.view.records[f"m{number}"].metadata.ready


@pytest.mark.parametrize("count", [11, 40])
def test_a_lost_process_is_suspected_within_three_seconds_and_dead_to_all_soon_after(count):
    rehearsal = fleet(count)
    rehearsal.run(START + 8 * SECOND)
    lost = [count - 1, count - 2]
    at = rehearsal.now
    for number in lost:
        rehearsal.crash(number)
    rehearsal.run(at + 3 * SECOND)
    for core in range(CORES):
        view = rehearsal.nodes[core].member.view
        assert all(view.records[f"m{number}"].state >= State.SUSPECT for number in lost)
    rehearsal.run(at + round(4.5 * SECOND))
    for node in rehearsal.up:
        assert all(not node.member.view.records[f"m{number}"].live for number in lost)
    dead = {change.record.name for _, _, change in rehearsal.changes if change.record.state == State.DEAD}
    assert dead == {f"m{number}" for number in lost}


@pytest.mark.parametrize("count", [30, 99])
def test_a_zone_without_power_is_suspected_within_three_and_a_half_seconds(count):
    rehearsal = fleet(count)
    rehearsal.run(START + 20 * SECOND)
    lost = range(1, count, 3)
    at = rehearsal.now
    for number in lost:
        rehearsal.crash(number)
    rehearsal.run(at + round(3.5 * SECOND))
    for core in (0, 2):
        records = rehearsal.nodes[core].member.view.records
        assert all(records[f"m{number}"].state >= State.SUSPECT for number in lost)
    rehearsal.run(at + 6 * SECOND)
    for node in rehearsal.up:
        assert all(not node.member.view.records[f"m{number}"].live for number in lost)
    dead = {change.record.name for _, _, change in rehearsal.changes if change.record.state == State.DEAD}
    assert dead == {f"m{number}" for number in lost}
    for number in lost:
        rehearsal.begin(number)
    rehearsal.run(at + 9 * SECOND)
    for core in range(CORES):
        assert len(rehearsal.nodes[core].member.live_members()) == count


def test_no_member_is_declared_dead_while_one_datagram_in_ten_is_lost():
    rehearsal = fleet(20)
    rehearsal.weather = Weather(loss=0.1)
    rehearsal.run(START + 60 * SECOND)
    assert [change.record for _, _, change in rehearsal.changes if change.record.state == State.DEAD] == []


def test_readiness_is_known_to_the_core_at_once_and_to_all_eventually():
    rehearsal = fleet(40)
    rehearsal.run(START + 5 * SECOND)
    set_ready(rehearsal, 39)
    rehearsal.run(rehearsal.now + SECOND // 10)
    assert all(is_seen_ready(rehearsal, core, 39) for core in range(CORES))
    rehearsal.run(rehearsal.now + 60 * SECOND)
    assert all(is_seen_ready(rehearsal, number, 39) for number in range(39))


def partitioned_fleet(count, seed, cut_off):
    """A fleet at the end of a partition of 30 s: each side holds its own members live and the others dead."""
    rehearsal = fleet(count, seed)
    rehearsal.play([Fault("split", 6 * SECOND, 36 * SECOND, cut_off)])
    rehearsal.run(START + 36 * SECOND - 1)
    for number in range(count):
        live = {record.name for record in rehearsal.nodes[number].member.view.live_records()}
        side = [other for other in range(count) if (other in cut_off) == (number in cut_off)]
        assert live == {f"m{other}" for other in side} - {f"m{number}"}, (seed, number)
    return rehearsal


@pytest.mark.parametrize(("count", "seeds"), [(5, 20), (11, 30), (24, 20), (48, 3)])
def test_views_agree_within_ten_seconds_of_a_zone_partition(count, seeds):
    broken = {}
    for seed in range(seeds):
        rehearsal = partitioned_fleet(count, seed, tuple(range(0, count, 3)))
        rehearsal.run(START + 46 * SECOND)
        broken[seed] = promises(rehearsal)
    assert {seed: found for seed, found in broken.items() if found} == {}


def test_views_agree_within_ten_seconds_of_a_partition_in_halves():
    broken = {}
    for seed in range(20):
        rehearsal = partitioned_fleet(11, seed, tuple(range(5)))
        rehearsal.run(START + 46 * SECOND)
        broken[seed] = promises(rehearsal)
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
    rehearsal = fleet(8)
    rehearsal.run(START + 5 * SECOND)
    rehearsal.crash(7)
    rehearsal.nodes[7].ahead = round(step_s * SECOND)
    rehearsal.at(rehearsal.now + SECOND, rehearsal.begin, 7)
    rehearsal.run(rehearsal.now + 4 * SECOND)
    own_record = rehearsal.nodes[7].member.own_record
    for node in rehearsal.up[:7]:
        record = node.member.view.records["m7"]
        assert record.live and record.started_at == own_record.started_at


def test_a_large_fleet_stays_within_its_traffic_budget():
    count = 96
    rehearsal = fleet(count, weigh=True)
    for number in range(CORES, count):
        rehearsal.at(START + SECOND, set_ready, rehearsal, number)
    rehearsal.run(START + 10 * SECOND)
    before, between = rehearsal.bytes, rehearsal.bytes_between
    rehearsal.run(START + 30 * SECOND)
    assert (rehearsal.bytes - before) / count / 20 < 1_000
    assert (rehearsal.bytes_between - between) / count / 20 < 350
