"""Processes of one agent: what they are to each other, where they meet, what one leaves to the next."""

import os
import signal
import subprocess
import sys

import msgspec
import pytest
from helpers import SECOND, BalancerDriver, attempts

from nettledeal.handover import LEAVING, SERVING, STARTING, VERSION, Handover, parse_record
from nettledeal.learned_state import export_learned, import_learned
from nettledeal.model import Listing, Outcome
from nettledeal.net.transport.handover_folder import HandoverFolder


def process(id, born, state=SERVING, agent="n1", listen="127.0.0.1:1"):
    found = Handover(id, agent, listen, born)
    found.own_record.state = state
    return found


def shown(*processes):
    return [parse_record(msgspec.json.encode(one.own_record)) for one in processes]


@pytest.mark.parametrize(
    ("state", "born", "heir", "processes"),
    [
        (STARTING, 2, False, 2),  # it has not said yes: the old one serves on, with half of the limits
        (SERVING, 2, True, 2),
        (LEAVING, 2, False, 2),
        (SERVING, 0, False, 2),  # the older one is nobody's heir
    ],
)
def test_who_succeeds_whom(state, born, heir, processes):
    me = process("a", 1)
    me.merge_records(shown(process("b", born, state)))
    assert (me.has_successor, me.process_count) == (heir, processes)
    me.merge_records([])  # crashed, before its yes or after
    assert (me.has_successor, me.process_count) == (False, 1)


@pytest.mark.parametrize("other", [process("b", 2, agent="n2"), process("b", 2, listen="127.0.0.1:2")])
def test_records_of_another_agent_or_address_count_for_nothing(other):
    me = process("a", 1)
    other.record_order("s1", True, 5)
    assert me.merge_records(shown(other)) == {}
    assert (me.has_successor, me.process_count) == (False, 1)


def test_one_that_comes_twice_is_counted_and_the_youngest_is_the_heir():
    first, second, third = process("a", 1), process("b", 2), process("c", 3)
    first.merge_records(shown(second, third))
    third.merge_records(shown(first, second))
    assert (first.process_count, first.has_successor, third.has_successor) == (3, True, False)


def test_an_order_given_to_either_binds_both_and_is_confirmed():
    old, new = process("a", 1), process("b", 2)
    for here, there in ((old, new), (new, old)):
        here.merge_records(shown(there))
        at = here.record_order("s1", here is old, 100)
        assert not here.is_confirmed(at)
        assert there.merge_records(shown(here)) == {"s1": here is old}
        here.merge_records(shown(there))
        assert not here.is_confirmed(at), "heard of is not yet in force"
        there.acknowledge_orders()
        here.merge_records(shown(there))
        assert here.is_confirmed(at)
        assert there.merge_records(shown(here)) == {}, "once"
    here.merge_records([])
    assert here.is_confirmed(10**9), "nobody is left to ask"


def test_the_later_order_holds_whatever_the_clocks_say():
    old, new = process("a", 1), process("b", 2)
    old.record_order("s1", True, 1000)
    assert new.merge_records(shown(old)) == {"s1": True}
    new.record_order("s1", False, 3)  # its clock is behind
    assert old.merge_records(shown(new)) == {"s1": False}
    assert new.merge_records(shown(old)) == {}


def test_a_successor_of_the_successor_knows_what_the_first_was_told():
    first, second, third = process("a", 1), process("b", 2), process("c", 3)
    first.record_order("s1", True, 1)
    second.merge_records(shown(first))
    second.acknowledge_orders()
    assert third.merge_records(shown(second)) == {"s1": True}


def test_orders_that_ask_for_nothing_do_not_pile_up():
    me = process("a", 1)
    me.record_order("kept", True, 1)
    for n in range(500):
        me.record_order(f"s{n}", False, n)
    assert len(me.own_record.orders) < 100 and me.own_record.orders["kept"][1]


WHOLE = msgspec.json.encode(process("a", 1).own_record)


@pytest.mark.parametrize("end", range(0, len(WHOLE) - 1, 7))
def test_a_torn_record_is_none(end):
    assert parse_record(WHOLE[:end]) is None


@pytest.mark.parametrize(
    "raw", [b"", b"null", b"[]", b"{}", b"\xff\xfe", WHOLE.replace(b'"a"', b"7"), bytes(99)]
)
def test_what_is_no_record_is_none(raw):
    assert parse_record(raw) is None


def test_a_newer_record_says_who_and_what_state_it_is_and_no_more():
    told = msgspec.json.decode(WHOLE) | {"version": VERSION + 1, "orders": "otherwise", "heard": 3}
    me = process("z", 0)
    assert me.merge_records([parse_record(msgspec.json.encode(told))]) == {}
    assert me.has_successor and me.is_confirmed(5)


# The folder.


def write(folder, one):
    folder.write(msgspec.json.encode(one.own_record))


def test_processes_that_live_are_found_and_their_records_are_whole(tmp_path):
    one, other = HandoverFolder(tmp_path, "a"), HandoverFolder(tmp_path, "b")
    assert one.read_others(parse_record) == [] and one.has_others, "it lives, and has said nothing yet"
    write(other, process("b", 2))
    assert [record.id for record in one.read_others(parse_record)] == ["b"]
    (tmp_path / "nettledeal-b.record").write_bytes(WHOLE[:30])
    assert one.read_others(parse_record) == []
    other.remove()
    assert one.read_others(parse_record) == [] and not one.has_others


def test_what_the_dead_have_left_goes(tmp_path):
    one = HandoverFolder(tmp_path, "a")
    other = HandoverFolder(tmp_path, "b")
    write(other, process("b", 2))
    os.close(other.lock_fd)  # as the kernel does, however it died
    (tmp_path / "foreign").write_text("x")
    assert one.read_others(parse_record) == []
    assert sorted(place.name for place in tmp_path.iterdir()) == ["foreign", "nettledeal-a.lock"]


def test_alone_there_is_nothing_to_look_at(tmp_path):
    one = HandoverFolder(tmp_path, "a")
    one.read_others(parse_record)
    assert not one.may_have_changed
    HandoverFolder(tmp_path, "b")
    assert one.may_have_changed


def test_a_killed_process_does_not_live(tmp_path):
    one = HandoverFolder(tmp_path, "a")
    code = (
        "import sys, time; from pathlib import Path\n"
        "from nettledeal.net.transport.handover_folder import HandoverFolder\n"
        "folder = HandoverFolder(Path(sys.argv[1]), 'b'); print('there', flush=True); time.sleep(60)"
    )
    other = subprocess.Popen(
        [sys.executable, "-c", code, str(tmp_path)],
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert other.stdout.readline() == "there\n"
    one.read_others(parse_record)
    assert one.has_others
    other.send_signal(signal.SIGKILL)
    other.wait()
    one.read_others(parse_record)
    assert not one.has_others
    other.stdout.close()


# What is left to the next.


def grown():
    driver = BalancerDriver()
    for n in range(200):
        for attempt in attempts(driver.submit(n % 2)):
            slow = attempt.backend == "b1"
            driver.finish_attempt(
                attempt, Outcome.ERROR if attempt.backend == "b2" else Outcome.FINISHED, 900 if slow else 300
            )
    return driver


def test_what_was_learned_goes_on_with_its_age():
    old = grown()
    whole = old.balancer.admission.limit
    old.balancer.set_processes(2)
    left = msgspec.json.decode(msgspec.json.encode(export_learned(old.balancer, old.now)))
    new = BalancerDriver(now=old.now + SECOND)
    new.balancer.set_processes(2)
    assert import_learned(new.balancer, new.now, left)
    for mine, its in zip(old.balancer.state.categories, new.balancer.state.categories, strict=True):
        assert (its.base_time, its.samples, its.usual_wait) == (
            mine.base_time,
            mine.samples,
            mine.usual_wait,
        )
    # A part each, and the whole for the one that is left.
    assert new.balancer.admission.limit == old.balancer.admission.limit == whole / 2
    new.balancer.set_processes(1)
    assert new.balancer.admission.limit == whole
    b, its = old.balancer.state.backends["b2"], new.balancer.state.backends["b2"]
    assert its.distrust == b.distrust > 0 and its.distrust_at == b.distrust_at
    assert new.balancer.health.distrust(its, new.now) < old.balancer.health.distrust(b, old.now)


@pytest.mark.parametrize("listing", [Listing("b1", started_at=1), Listing("other")])
def test_it_never_outlives_a_backends_id_or_start(listing):
    old = grown()
    left = export_learned(old.balancer, old.now)
    new = BalancerDriver([listing], now=old.now)
    assert import_learned(new.balancer, new.now, left)
    b = new.balancer.state.backends[listing.backend]
    assert not b.log_slowness and not b.distrust


def test_one_put_back_meanwhile_keeps_nothing_of_before():
    old = grown()
    left = export_learned(old.balancer, old.now)
    new = BalancerDriver(now=old.now)
    new.balancer.cordon(new.now, "b2")
    new.balancer.uncordon(new.now, "b2")
    assert import_learned(new.balancer, new.now, left)
    assert not new.balancer.state.backends["b2"].distrust


@pytest.mark.parametrize(
    "change",
    [
        {"limit": "x"},
        {"limit": [1, 2]},
        {"threshold": None},
        {"threshold": 1e300},
        {"kinds": {"x": [1, 2, 3]}},
        {"backends": {"b0": [0, 1]}},
        {"categories": {"0": ["a", 0, 0, 0]}},
        {"belief": [1]},
        {"backends": 5},
    ],
)
def test_a_legacy_that_makes_no_sense_changes_nothing(change):
    old, new = grown(), BalancerDriver()
    before = export_learned(new.balancer, new.now)
    assert not import_learned(new.balancer, new.now, export_learned(old.balancer, old.now) | change)
    assert export_learned(new.balancer, new.now) == before


def test_processes_share_what_a_cold_backend_bears():
    def pushed(drives):
        out = 0
        for driver in drives:
            for _ in range(60):
                out += len(attempts(driver.submit()))
        return out

    cold = [Listing("b0", started_at=100_000)]
    alone = BalancerDriver(cold, seed=3)
    two = [BalancerDriver(cold, seed=n) for n in (3, 4)]
    for driver in two:
        driver.balancer.set_processes(2)
    b = alone.balancer.state.backends["b0"]
    whole = alone.balancer.health.budget(b, alone.now)
    assert sum(d.balancer.health.budget(b, d.now) for d in two) == pytest.approx(whole)
    assert pushed(two) <= pushed([alone]) + 1
    two[0].balancer.set_processes(1)
    assert two[0].balancer.health.budget(b, alone.now) == pytest.approx(whole)
