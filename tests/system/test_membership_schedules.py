"""The system's members in virtual time: seeded faults, what they cost, and how soon the dead are known."""

from random import Random

import msgspec
import pytest
from msgspec.structs import replace

from nettledeal.membership.cbor_codec import CborCodec
from nettledeal.membership.joining import RETURN_EXCHANGES
from nettledeal.membership.member import Member
from nettledeal.membership.node import timing_for
from nettledeal.membership.packets import COMPARE, TELL, VERSION, Packet
from nettledeal.membership.steps import SECOND, Call
from nettledeal.membership.view import Metadata, State, Word
from nettledeal_simulations.membership import START, Fault, Rehearsal, Weather, promises, rehearse

ZONES = ("zone-one", "zone-two", "zone-three")
HEARTBEAT_MS = 1200.0
CORES = 3


def system_member(name, address, cluster, seeds, timing, chance, now, place=0):
    """A member as the system's processes run it: the first ones are core members."""
    number = int(name[1:])
    role = "core" if number < CORES else "edge"
    timing = replace(timing, told=3, compare=True)
    return Member(
        name,
        address,
        cluster,
        seeds,
        timing,
        chance,
        now,
        codec=CborCodec(),
        metadata=Metadata(role, ZONES[number % 3], 8161),
    )


class Meek(Member):
    """Plants a fault: does not refute."""

    def _of_me(self, word):
        pass


class Patient(Member):
    """Plants a fault: tells no death."""

    def _suspicion(self, name):
        pass


def planted(kind):
    def build(*arguments, place=0):
        made = system_member(*arguments, place=place)
        made.__class__ = kind
        return made

    return build


@pytest.mark.parametrize("first_seed", range(0, 100, 20))
def test_seeded_schedules_of_faults_keep_the_promises(first_seed):
    broken = {
        seed: rehearse(seed, count=7, build=system_member) for seed in range(first_seed, first_seed + 20)
    }
    assert {seed: found for seed, found in broken.items() if found} == {}


@pytest.mark.parametrize("kind", [Meek, Patient])
def test_the_schedules_find_a_build_that_breaks_a_promise(kind):
    assert any(rehearse(seed, count=7, build=planted(kind)) for seed in range(12))


def fleet(count, seed="fleet", build=system_member, **named):
    timing = timing_for(HEARTBEAT_MS)
    return Rehearsal(count, seed, timing, build=build, together=SECOND // 3, seeds=CORES, places=3, **named)


def set_ready(rehearsal, number, ready=True):
    node = rehearsal.nodes[number]
    metadata = msgspec.structs.replace(node.member.me.metadata, ready=ready)
    cores = [rehearsal.address(core) for core in range(CORES)]
    rehearsal._do(node, node.member.describe(rehearsal.now, metadata, cores))


def seen_ready(rehearsal, watcher, number):
    return rehearsal.nodes[watcher].member.view.words[f"m{number}"].metadata.ready


@pytest.mark.parametrize("count", [11, 40])
def test_a_lost_process_leaves_the_answers_within_three_seconds_and_is_dead_to_all_soon_after(count):
    rehearsal = fleet(count)
    rehearsal.run(START + 8 * SECOND)
    lost = [count - 1, count - 2]
    at = rehearsal.now
    for number in lost:
        rehearsal.crash(number)
    rehearsal.run(at + 3 * SECOND)
    for core in range(CORES):
        view = rehearsal.nodes[core].member.view
        assert all(view.words[f"m{number}"].state >= State.SUSPECT for number in lost)
    rehearsal.run(at + round(4.5 * SECOND))
    for node in rehearsal.up:
        assert all(not node.member.view.words[f"m{number}"].live for number in lost)
    dead = {change.word.name for _, _, change in rehearsal.changes if change.word.state == State.DEAD}
    assert dead == {f"m{number}" for number in lost}


@pytest.mark.parametrize("count", [30, 99])
def test_a_zone_without_power_leaves_the_answers_within_three_and_a_half_seconds(count):
    rehearsal = fleet(count)
    rehearsal.run(START + 20 * SECOND)
    lost = range(1, count, 3)
    at = rehearsal.now
    for number in lost:
        rehearsal.crash(number)
    rehearsal.run(at + round(3.5 * SECOND))
    for core in (0, 2):
        words = rehearsal.nodes[core].member.view.words
        assert all(words[f"m{number}"].state >= State.SUSPECT for number in lost)
    rehearsal.run(at + 6 * SECOND)
    for node in rehearsal.up:
        assert all(not node.member.view.words[f"m{number}"].live for number in lost)
    dead = {change.word.name for _, _, change in rehearsal.changes if change.word.state == State.DEAD}
    assert dead == {f"m{number}" for number in lost}
    for number in lost:
        rehearsal.begin(number)
    rehearsal.run(at + 9 * SECOND)
    for core in range(CORES):
        assert len(rehearsal.nodes[core].member.live()) == count


def test_nobody_is_taken_for_dead_while_one_datagram_in_ten_is_lost():
    rehearsal = fleet(20)
    rehearsal.weather = Weather(loss=0.1)
    rehearsal.run(START + 60 * SECOND)
    assert [change.word for _, _, change in rehearsal.changes if change.word.state == State.DEAD] == []


def test_ready_is_known_to_the_core_at_once_and_to_all_in_the_end():
    rehearsal = fleet(40)
    rehearsal.run(START + 5 * SECOND)
    set_ready(rehearsal, 39)
    rehearsal.run(rehearsal.now + SECOND // 10)
    assert all(seen_ready(rehearsal, core, 39) for core in range(CORES))
    rehearsal.run(rehearsal.now + 60 * SECOND)
    assert all(seen_ready(rehearsal, number, 39) for number in range(39))


def cut_apart(count, seed, cut_off):
    """A fleet at the end of a cut of 30 s: each side knows its own and takes the other for dead."""
    rehearsal = fleet(count, seed)
    rehearsal.play([Fault("split", 6 * SECOND, 36 * SECOND, cut_off)])
    rehearsal.run(START + 36 * SECOND - 1)
    for number in range(count):
        live = {word.name for word in rehearsal.nodes[number].member.view.live()}
        side = [other for other in range(count) if (other in cut_off) == (number in cut_off)]
        assert live == {f"m{other}" for other in side} - {f"m{number}"}, (seed, number)
    return rehearsal


@pytest.mark.parametrize(("count", "seeds"), [(5, 20), (11, 30), (24, 20), (48, 3)])
def test_a_zone_that_was_cut_off_is_whole_again_within_ten_seconds(count, seeds):
    broken = {}
    for seed in range(seeds):
        rehearsal = cut_apart(count, seed, tuple(range(0, count, 3)))
        rehearsal.run(START + 46 * SECOND)
        broken[seed] = promises(rehearsal)
    assert {seed: found for seed, found in broken.items() if found} == {}


def test_two_halves_that_were_apart_are_whole_again_within_ten_seconds():
    broken = {}
    for seed in range(20):
        rehearsal = cut_apart(11, seed, tuple(range(5)))
        rehearsal.run(START + 46 * SECOND)
        broken[seed] = promises(rehearsal)
    assert {seed: found for seed, found in broken.items() if found} == {}


def exchanges_after(life_gap, returns=1):
    """How many views a member compares in 20 s in which one that it held dead is heard, so often."""
    member = system_member("m0", ("10.0.0.0", 1), "c", [], timing_for(HEARTBEAT_MS), Random(1), START)
    member.swap_in = member.timing.swap
    member.start(START)
    peers = [Word(f"m{number}", f"10.0.0.{number}", 1, START, 0, State.ALIVE) for number in (1, 2)]
    acts = []

    def hear(now, sender, *words):
        acts.extend(
            member.heard(now, Packet(VERSION, "c", TELL, 0, sender, None, list(words)), sender.address).acts
        )

    for number in range(returns):
        now = START + 10 + number * SECOND
        hear(now, peers[0], msgspec.structs.replace(peers[1], incarnation=number, state=State.DEAD))
        hear(now + 1, msgspec.structs.replace(peers[1], life=START + life_gap, incarnation=number + 1))
    for now in range(START + returns * SECOND, START + 20 * SECOND, 100):
        acts.extend(member.wake(now).acts)
        hear(now, peers[0])
    return sum(isinstance(act, Call) and act.packet.kind == COMPARE for act in acts)


def test_views_are_compared_soon_after_a_member_held_dead_turns_out_to_live():
    assert exchanges_after(life_gap=0) == RETURN_EXCHANGES


def test_a_restart_is_no_return_and_returns_in_quick_succession_cost_no_more_than_one():
    assert exchanges_after(life_gap=1) == 0
    assert exchanges_after(life_gap=0, returns=8) == RETURN_EXCHANGES


@pytest.mark.parametrize("step_s", [-30, 30, -0.5, 0.5])
def test_a_restart_after_a_step_of_the_time_of_day_is_a_new_life(step_s):
    rehearsal = fleet(8)
    rehearsal.run(START + 5 * SECOND)
    rehearsal.crash(7)
    rehearsal.nodes[7].ahead = round(step_s * SECOND)
    rehearsal.at(rehearsal.now + SECOND, rehearsal.begin, 7)
    rehearsal.run(rehearsal.now + 4 * SECOND)
    mine = rehearsal.nodes[7].member.me
    for node in rehearsal.up[:7]:
        word = node.member.view.words["m7"]
        assert word.live and word.life == mine.life


def test_a_large_fleet_stays_within_its_budget_of_bytes():
    count = 96
    rehearsal = fleet(count, weigh=True)
    for number in range(CORES, count):
        rehearsal.at(START + SECOND, set_ready, rehearsal, number)
    rehearsal.run(START + 10 * SECOND)
    before, between = rehearsal.bytes, rehearsal.bytes_between
    rehearsal.run(START + 30 * SECOND)
    assert (rehearsal.bytes - before) / count / 20 < 1_000
    assert (rehearsal.bytes_between - between) / count / 20 < 350
