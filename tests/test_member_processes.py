"""Membership as processes with a switch between them: faults are counted, and what all hold once they are
over.

Times are short, so that a case takes seconds; no verdict hangs on how many. What must not happen on any
machine (a death told of somebody who was away for less than a suspicion) has a suspicion far over what CI
stalls for."""

import json
import socket

import gevent
import pytest

from nettledeal.fleet.member_processes import MemberProcesses
from nettledeal.membership.packets import GOSSIP, PING, VERSION, Packet, encode_msgpack
from nettledeal.membership.view import MemberRecord, State

QUICK = {"period": 2_000, "probe": 800, "suspicion": 12_000, "spread": 400, "swap": 15_000, "keep": 9_000_000}
SLOW = QUICK | {"suspicion": 80_000}


def dead(members, since=0):
    return {name for _, _, name in members.told("dead")[since:]}


@pytest.fixture
def members(request):
    count, timing, seeds = request.param
    with MemberProcesses(count, timing, seeds) as found:
        found.start(range(count))
        assert found.agreed(range(count))
        yield found


def of(count, timing=QUICK, seeds=1):
    return pytest.mark.parametrize("members", [(count, timing, seeds)], indirect=True)


@of(9, SLOW)
def test_short_pauses_loss_and_delay_kill_nobody(members):
    # One, a third, and the seed, for less than a suspicion; then worse and worse links.
    for who in ([4], [1, 2, 3], [0]):
        members.pause(who)
        gevent.sleep(1.2)
        members.go_on(who)
    for condition in (
        {"loss": 0.05},
        {"loss": 0.2, "repeats": 0.2},
        {"loss": 0.4, "reordering": 0.3},
        {"delay": 5_000, "jitter": 3_000},
    ):
        members.all_links(**condition)
        gevent.sleep(1.5)
    # A loop that stands still, and clocks that jump either way.
    members.processes[5].tell("late 2")
    members.processes[6].tell("jump 40")
    members.processes[7].tell("jump -40")
    gevent.sleep(2.0)
    members.all_links()
    assert members.agreed(range(9))
    assert members.told("dead") == []
    health = [members.processes[n].ask("members")["health"] for n in (1, 4, 5, 6)]
    assert all(one["late"] >= 1 for one in health)


@of(8)
def test_a_third_paused_for_long_is_dead_to_all_others_and_alive_again(members):
    members.pause([1, 4])
    assert members.agreed([0, 2, 3, 5, 6, 7])
    told = {(n, name) for _, n, name in members.told("dead")}
    assert {(n, f"m{who}") for n in (0, 2, 3, 5, 6, 7) for who in (1, 4)} <= told
    members.go_on([1, 4])
    assert members.agreed(range(8))
    # They were away, and held nobody else for dead.
    assert dead(members) == {"m1", "m4"}


@of(9, SLOW)
def test_ways_cut_one_way_and_one_cut_from_half_kill_nobody(members):
    members.links([(1, 2)], cut=True)  # 2 does not hear 1
    members.links(members.between([0], [5, 6, 7, 8]), cut=True)
    gevent.sleep(6.0)
    members.all_links()
    assert members.agreed(range(9)) and members.told("dead") == []


@of(6)
def test_one_that_hears_nobody_accuses_nobody(members):
    members.links([(n, 2) for n in range(6) if n != 2], cut=True)
    gevent.sleep(5.0)
    by = {said["by"] for life in members.processes.values() for _, said in life.changes if said.get("by")}
    assert "m2" not in by
    members.all_links()
    assert members.agreed(range(6))


@of(8, QUICK, 2)
def test_halves_apart_that_both_change_are_one_again(members):
    members.links(members.between(range(4), range(4, 8)), cut=True)
    assert members.agreed(range(4)) and members.agreed(range(4, 8))
    members.processes[1].ask("order b1 out")
    members.processes[5].ask("order b2 out")
    members.kill([3, 6])
    assert members.agreed([0, 1, 2]) and members.agreed([4, 5, 7])
    members.start([3])
    assert members.agreed(range(4))
    members.all_links()
    up = [0, 1, 2, 3, 4, 5, 7]
    assert members.agreed(up)
    both = {"b1": True, "b2": True}
    assert members.until(lambda: all(view["orders"] == both for view in members.views(up).values()))


@of(6, SLOW)
def test_a_flapping_link_ends_in_one_view(members):
    for _ in range(6):
        members.links(members.between([1, 2], [3, 4, 5]), cut=True)
        gevent.sleep(0.4)
        members.all_links()
        gevent.sleep(0.2)
    assert members.agreed(range(6)) and members.told("dead") == []


@of(6, SLOW)
def test_all_restarted_at_once_and_one_before_its_death_is_known(members):
    lives = {n: view["members"] for n, view in members.views(range(6)).items()}
    members.kill([2])
    members.start([2])
    assert members.agreed(range(6))
    assert dead(members) == set()
    members.kill(range(6))
    members.start(range(6))
    assert members.agreed(range(6))
    now = members.views([0])[0]["members"]
    assert all(new["life"] > old["life"] for new, old in zip(now, lives[0], strict=True))


@of(5, QUICK, 2)
def test_a_dead_seed_keeps_nobody_out_and_who_leaves_is_not_called_dead(members):
    members.kill([0])
    assert members.agreed([1, 2, 3, 4])
    members.kill([4])
    members.start([4])
    assert members.agreed([1, 2, 3, 4])
    members.processes[3].tell("leave")
    assert members.agreed([1, 2, 4])
    assert {name for _, _, name in members.told("left")} == {"m3"}
    assert "m3" not in dead(members)
    # A dead one is forgotten by all once one is told so.
    members.processes[1].ask("forget m0")
    assert members.until(lambda: all(state(members, n, "m0") == "left" for n in (1, 2, 4)))


def state(members, n, name):
    view = members.processes[n].ask("members")["members"]
    return next((w["state"] for w in view if w["name"] == name), None)


def held_lives(members, who, name):
    """Which lives of that name these hold."""
    views = members.views(who).values()
    return {word["life"] for view in views for word in view["members"] if word["name"] == name}


def test_of_two_processes_with_one_name_the_younger_bears_it_and_the_elder_says_so():
    with MemberProcesses(5, QUICK) as members:
        members.start(range(4))
        assert members.agreed(range(4))
        # The fifth place, under the name of the third.
        members.start([4], name="m2")
        changes = members.processes[2].changes
        assert members.until(lambda: any(said["said"] == "usurped" for _, said in changes))
        # The elder says so as soon as it hears of the younger; the others may hear of that a moment later.
        younger = next(word for word in members.views([4])[4]["members"] if word["name"] == "m2")["life"]
        assert members.until(lambda: held_lives(members, [0, 1, 3], "m2") == {younger})
        assert members.processes[2].ask("members")["silent"]
        assert not members.processes[4].ask("members")["silent"]


def test_an_answer_that_comes_late_is_not_taken_for_that_to_the_next_question():
    with MemberProcesses(1, QUICK, switched=False) as members:
        members.start([0])
        # Two, so that the answer to the first one comes while nothing else can.
        members.processes[0].tell("late 0.3")
        members.processes[0].tell("late 0.3")
        assert members.processes[0].ask("members")["said"] == "members"
        assert members.processes[0].ask("forget nobody")["said"] == "done"


def test_many_that_join_at_once_through_one_seed_are_one():
    with MemberProcesses(24, QUICK, switched=False) as members:
        members.start(range(24))
        assert members.agreed(range(24), 60)
        assert members.told("dead") == []


def test_foreign_torn_and_oversized_messages_are_counted_and_cost_only_themselves():
    with MemberProcesses(3, QUICK, switched=False) as members:
        members.start(range(3))
        assert members.agreed(range(3))
        place, life = members.place(1), members.processes[1].ask("members")["members"]
        peer = MemberRecord("m9", members.place(9)[0], 7946, life[0]["life"], 0, State.ALIVE)
        good = encode_msgpack(Packet(VERSION, "fleet", GOSSIP, 0, peer))
        bad = [
            b"",
            b"\x00" * 40,
            good[: len(good) // 2],
            good + b"x" * 2000,
            encode_msgpack(Packet(VERSION, "others", PING, 1, peer)),
            encode_msgpack([VERSION + 1, "fleet"]),
        ]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for raw in bad * 3:
                sock.sendto(raw, place)
        for head in (b"\xff\xff\xff\xff", b"\x00\x00\x00\x08half", b"\x00"):
            with socket.create_connection(place) as sock:
                sock.sendall(head)
        with socket.create_connection(place):  # one that says nothing at all
            members.until(lambda: sum(members.processes[1].ask("members")["counts"].values()) >= 19)
            view = members.processes[1].ask("members")
        assert view["counts"]["member: another cluster"] == 3
        assert view["counts"]["member: another version"] == 3
        assert view["counts"]["member: oversized"] == 4
        assert view["counts"]["member: garbled"] >= 9
        assert [word["name"] for word in view["members"]] == ["m0", "m1", "m2"], json.dumps(view)
        assert members.agreed(range(3))
