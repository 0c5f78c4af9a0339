"""Membership as separate processes linked by a switch: declared deaths under faults, and later agreement.

Timeouts are short, so that a case takes seconds, and no check depends on exact times. Tests that must not see
a death (of a member that was away for less than the suspicion timeout) use a timeout far above the stalls of
a CI machine.
"""

import json
import socket

import gevent
import pytest

from nettledeal.fleet.member_processes import MemberProcesses
from nettledeal.membership.packets import GOSSIP, PING, VERSION, Packet, encode_msgpack
from nettledeal.membership.view import MemberRecord, State

QUICK = {"period": 2_000, "probe": 800, "suspicion": 12_000, "spread": 400, "swap": 15_000, "keep": 9_000_000}
SLOW = QUICK | {"suspicion": 80_000}


def declared_dead(members, since=0):
    return {name for _, _, name in members.state_changes("dead")[since:]}


@pytest.fixture
def members(request):
    count, timing, seeds = request.param
    with MemberProcesses(count, timing, seeds) as found:
        found.start(range(count))
        assert found.wait_until_agreed(range(count))
        yield found


def cluster(count, timing=QUICK, seeds=1):
    return pytest.mark.parametrize("members", [(count, timing, seeds)], indirect=True)


@cluster(9, SLOW)
def test_short_pauses_loss_and_delay_cause_no_deaths(members):
    # Pause one member, a third of them and the seed for less than the suspicion timeout; then degrade the
    # links.
    for who in ([4], [1, 2, 3], [0]):
        members.pause(who)
        gevent.sleep(1.2)
        members.resume(who)
    for condition in (
        {"loss": 0.05},
        {"loss": 0.2, "repeats": 0.2},
        {"loss": 0.4, "reordering": 0.3},
        {"delay": 5_000, "jitter": 3_000},
    ):
        members.set_all_links(**condition)
        gevent.sleep(1.5)
    # A stalled event loop, and clocks that jump forward and backward.
    members.processes[5].tell("late 2")
    members.processes[6].tell("jump 40")
    members.processes[7].tell("jump -40")
    gevent.sleep(2.0)
    members.set_all_links()
    assert members.wait_until_agreed(range(9))
    assert members.state_changes("dead") == []
    health = [members.processes[n].ask("members")["health"] for n in (1, 4, 5, 6)]
    assert all(health_report["late"] >= 1 for health_report in health)


@cluster(8)
def test_members_paused_for_long_are_declared_dead_by_all_others_and_become_alive_again(members):
    members.pause([1, 4])
    assert members.wait_until_agreed([0, 2, 3, 5, 6, 7])
    declared = {(n, name) for _, n, name in members.state_changes("dead")}
    assert {(n, f"m{who}") for n in (0, 2, 3, 5, 6, 7) for who in (1, 4)} <= declared
    members.resume([1, 4])
    assert members.wait_until_agreed(range(8))
    # The paused members declared nobody else dead.
    assert declared_dead(members) == {"m1", "m4"}


@cluster(9, SLOW)
def test_one_way_cuts_and_a_member_cut_off_from_half_cause_no_deaths(members):
    members.set_links([(1, 2)], cut=True)  # 2 receives nothing from 1
    members.set_links(members.link_pairs([0], [5, 6, 7, 8]), cut=True)
    gevent.sleep(6.0)
    members.set_all_links()
    assert members.wait_until_agreed(range(9)) and members.state_changes("dead") == []


@cluster(6)
def test_a_member_that_receives_nothing_suspects_nobody(members):
    members.set_links([(n, 2) for n in range(6) if n != 2], cut=True)
    gevent.sleep(5.0)
    by = {
        message["by"]
        for process in members.processes.values()
        for _, message in process.changes
        if message.get("by")
    }
    assert "m2" not in by
    members.set_all_links()
    assert members.wait_until_agreed(range(6))


@cluster(8, QUICK, 2)
def test_partitioned_halves_that_both_change_merge_again(members):
    members.set_links(members.link_pairs(range(4), range(4, 8)), cut=True)
    assert members.wait_until_agreed(range(4)) and members.wait_until_agreed(range(4, 8))
    members.processes[1].ask("order b1 out")
    members.processes[5].ask("order b2 out")
    members.kill([3, 6])
    assert members.wait_until_agreed([0, 1, 2]) and members.wait_until_agreed([4, 5, 7])
    members.start([3])
    assert members.wait_until_agreed(range(4))
    members.set_all_links()
    up = [0, 1, 2, 3, 4, 5, 7]
    assert members.wait_until_agreed(up)
    both = {"b1": True, "b2": True}
    assert members.wait_until(lambda: all(view["orders"] == both for view in members.views(up).values()))


@cluster(6, SLOW)
def test_a_flapping_link_ends_in_one_view(members):
    for _ in range(6):
        members.set_links(members.link_pairs([1, 2], [3, 4, 5]), cut=True)
        gevent.sleep(0.4)
        members.set_all_links()
        gevent.sleep(0.2)
    assert members.wait_until_agreed(range(6)) and members.state_changes("dead") == []


@cluster(6, SLOW)
def test_all_restarted_at_once_and_one_before_its_death_is_known(members):
    views_before = {n: view["members"] for n, view in members.views(range(6)).items()}
    members.kill([2])
    members.start([2])
    assert members.wait_until_agreed(range(6))
    assert declared_dead(members) == set()
    members.kill(range(6))
    members.start(range(6))
    assert members.wait_until_agreed(range(6))
    now = members.views([0])[0]["members"]
    assert all(new["life"] > old["life"] for new, old in zip(now, views_before[0], strict=True))


@cluster(5, QUICK, 2)
def test_a_dead_seed_prevents_no_join_and_a_leaving_member_is_not_declared_dead(members):
    members.kill([0])
    assert members.wait_until_agreed([1, 2, 3, 4])
    members.kill([4])
    members.start([4])
    assert members.wait_until_agreed([1, 2, 3, 4])
    members.processes[3].tell("leave")
    assert members.wait_until_agreed([1, 2, 4])
    assert {name for _, _, name in members.state_changes("left")} == {"m3"}
    assert "m3" not in declared_dead(members)
    # A `forget` at one member makes all members drop the dead one.
    members.processes[1].ask("forget m0")
    assert members.wait_until(lambda: all(state(members, n, "m0") == "left" for n in (1, 2, 4)))


def state(members, n, name):
    view = members.processes[n].ask("members")["members"]
    return next((member["state"] for member in view if member["name"] == name), None)


def known_incarnations(members, who, name):
    """Incarnations under that name in the views of these members."""
    views = members.views(who).values()
    return {member["life"] for view in views for member in view["members"] if member["name"] == name}


def test_of_two_processes_with_one_name_the_newer_keeps_it_and_the_older_reports_it():
    with MemberProcesses(5, QUICK) as members:
        members.start(range(4))
        assert members.wait_until_agreed(range(4))
        # The fifth process starts under the name of the third.
        members.start([4], name="m2")
        changes = members.processes[2].changes
        assert members.wait_until(lambda: any(message["said"] == "usurped" for _, message in changes))
        # The older process reports this as soon as it learns of the younger one; others may learn of it a
        # moment later.
        younger = next(m for m in members.views([4])[4]["members"] if m["name"] == "m2")["life"]
        assert members.wait_until(lambda: known_incarnations(members, [0, 1, 3], "m2") == {younger})
        assert members.processes[2].ask("members")["silent"]
        assert not members.processes[4].ask("members")["silent"]


def test_a_late_reply_is_not_taken_for_the_reply_to_the_next_request():
    with MemberProcesses(1, QUICK, switched=False) as members:
        members.start([0])
        # Two delays, so that the reply to the first one arrives while the process is blocked.
        members.processes[0].tell("late 0.3")
        members.processes[0].tell("late 0.3")
        assert members.processes[0].ask("members")["said"] == "members"
        assert members.processes[0].ask("forget nobody")["said"] == "done"


def test_many_members_that_join_at_once_through_one_seed_form_one_cluster():
    with MemberProcesses(24, QUICK, switched=False) as members:
        members.start(range(24))
        assert members.wait_until_agreed(range(24), 60)
        assert members.state_changes("dead") == []


def test_foreign_torn_and_oversized_messages_are_counted_and_cost_only_themselves():
    with MemberProcesses(3, QUICK, switched=False) as members:
        members.start(range(3))
        assert members.wait_until_agreed(range(3))
        address, known_members = members.address(1), members.processes[1].ask("members")["members"]
        peer = MemberRecord("m9", members.address(9)[0], 7946, known_members[0]["life"], 0, State.ALIVE)
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
                sock.sendto(raw, address)
        for head in (b"\xff\xff\xff\xff", b"\x00\x00\x00\x08half", b"\x00"):
            with socket.create_connection(address) as sock:
                sock.sendall(head)
        with socket.create_connection(address):  # a connection that sends nothing
            members.wait_until(lambda: sum(members.processes[1].ask("members")["counts"].values()) >= 19)
            view = members.processes[1].ask("members")
        assert view["counts"]["member: another cluster"] == 3
        assert view["counts"]["member: another version"] == 3
        assert view["counts"]["member: oversized"] == 4
        assert view["counts"]["member: garbled"] >= 9
        assert [member["name"] for member in view["members"]] == ["m0", "m1", "m2"], json.dumps(view)
        assert members.wait_until_agreed(range(3))
