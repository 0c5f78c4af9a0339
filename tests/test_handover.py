"""Handover between processes of one agent: their records, the folder, and the learned state."""

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


def handover(id, born, state=SERVING, agent="n1", listen="127.0.0.1:1"):
    found = Handover(id, agent, listen, born)
    found.own_record.state = state
    return found


def records_of(*processes):
    return [parse_record(msgspec.json.encode(one.own_record)) for one in processes]


@pytest.mark.parametrize(
    ("state", "born", "has_successor", "processes"),
    [
        (STARTING, 2, False, 2),  # it does not serve yet: the old one serves on, with half of the limits
        (SERVING, 2, True, 2),
        (LEAVING, 2, False, 2),
        (SERVING, 0, False, 2),  # an older process is no successor
    ],
)
def test_only_a_younger_serving_process_is_a_successor(state, born, has_successor, processes):
    me = handover("a", 1)
    me.merge_records(records_of(handover("b", born, state)))
    assert (me.has_successor, me.process_count) == (has_successor, processes)
    me.merge_records([])  # it crashed, before it served or after
    assert (me.has_successor, me.process_count) == (False, 1)


@pytest.mark.parametrize("other", [handover("b", 2, agent="n2"), handover("b", 2, listen="127.0.0.1:2")])
def test_records_of_another_agent_or_address_are_ignored(other):
    me = handover("a", 1)
    other.record_order("s1", True, 5)
    assert me.merge_records(records_of(other)) == {}
    assert (me.has_successor, me.process_count) == (False, 1)


def test_all_processes_are_counted_and_the_youngest_has_no_successor():
    first, second, third = handover("a", 1), handover("b", 2), handover("c", 3)
    first.merge_records(records_of(second, third))
    third.merge_records(records_of(first, second))
    assert (first.process_count, first.has_successor, third.has_successor) == (3, True, False)


def test_order_to_either_process_applies_to_both_and_is_confirmed():
    old, new = handover("a", 1), handover("b", 2)
    for here, there in ((old, new), (new, old)):
        here.merge_records(records_of(there))
        at = here.record_order("s1", here is old, 100)
        assert not here.is_confirmed(at)
        assert there.merge_records(records_of(here)) == {"s1": here is old}
        here.merge_records(records_of(there))
        assert not here.is_confirmed(at), "received, but not yet in force"
        there.acknowledge_orders()
        here.merge_records(records_of(there))
        assert here.is_confirmed(at)
        assert there.merge_records(records_of(here)) == {}, "applied twice"
    here.merge_records([])
    assert here.is_confirmed(10**9), "no other process is left"


def test_later_order_wins_whatever_the_clocks_say():
    old, new = handover("a", 1), handover("b", 2)
    old.record_order("s1", True, 1000)
    assert new.merge_records(records_of(old)) == {"s1": True}
    new.record_order("s1", False, 3)  # its clock is behind
    assert old.merge_records(records_of(new)) == {"s1": False}
    assert new.merge_records(records_of(old)) == {}


def test_orders_reach_the_successor_of_a_successor():
    first, second, third = handover("a", 1), handover("b", 2), handover("c", 3)
    first.record_order("s1", True, 1)
    second.merge_records(records_of(first))
    second.acknowledge_orders()
    assert third.merge_records(records_of(second)) == {"s1": True}


def test_number_of_remembered_uncordons_is_bounded():
    me = handover("a", 1)
    me.record_order("kept", True, 1)
    for n in range(500):
        me.record_order(f"s{n}", False, n)
    assert len(me.own_record.orders) < 100 and me.own_record.orders["kept"][1]


VALID_RECORD = msgspec.json.encode(handover("a", 1).own_record)


@pytest.mark.parametrize("end", range(0, len(VALID_RECORD) - 1, 7))
def test_truncated_record_is_ignored(end):
    assert parse_record(VALID_RECORD[:end]) is None


@pytest.mark.parametrize(
    "raw", [b"", b"null", b"[]", b"{}", b"\xff\xfe", VALID_RECORD.replace(b'"a"', b"7"), bytes(99)]
)
def test_invalid_record_is_ignored(raw):
    assert parse_record(raw) is None


def test_only_the_envelope_of_a_newer_record_is_read():
    newer = msgspec.json.decode(VALID_RECORD) | {"version": VERSION + 1, "orders": "otherwise", "heard": 3}
    me = handover("z", 0)
    assert me.merge_records([parse_record(msgspec.json.encode(newer))]) == {}
    assert me.has_successor and me.is_confirmed(5)


# The shared folder.


def write_record(folder, one):
    folder.write(msgspec.json.encode(one.own_record))


def test_live_processes_are_found_and_truncated_records_left_out(tmp_path):
    one, other = HandoverFolder(tmp_path, "a"), HandoverFolder(tmp_path, "b")
    assert one.read_others(parse_record) == [] and one.has_others, (
        "it is alive, but has written no record yet"
    )
    write_record(other, handover("b", 2))
    assert [record.id for record in one.read_others(parse_record)] == ["b"]
    (tmp_path / "nettledeal-b.record").write_bytes(VALID_RECORD[:30])
    assert one.read_others(parse_record) == []
    other.remove()
    assert one.read_others(parse_record) == [] and not one.has_others


def test_files_of_dead_processes_are_deleted(tmp_path):
    one = HandoverFolder(tmp_path, "a")
    other = HandoverFolder(tmp_path, "b")
    write_record(other, handover("b", 2))
    os.close(other.lock_fd)  # as the kernel does when a process dies
    (tmp_path / "foreign").write_text("x")
    assert one.read_others(parse_record) == []
    assert sorted(place.name for place in tmp_path.iterdir()) == ["foreign", "nettledeal-a.lock"]


def test_lone_process_sees_no_change(tmp_path):
    one = HandoverFolder(tmp_path, "a")
    one.read_others(parse_record)
    assert not one.may_have_changed
    HandoverFolder(tmp_path, "b")
    assert one.may_have_changed


def test_killed_process_is_not_alive(tmp_path):
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


# The learned state that a process leaves to its successor.


def trained_driver():
    driver = BalancerDriver()
    for n in range(200):
        for attempt in attempts(driver.submit(n % 2)):
            slow = attempt.backend == "b1"
            driver.finish_attempt(
                attempt, Outcome.ERROR if attempt.backend == "b2" else Outcome.FINISHED, 900 if slow else 300
            )
    return driver


def test_learned_state_is_imported_with_its_age():
    old = trained_driver()
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
    # Two processes have half of the limit each; the last one has all of it.
    assert new.balancer.admission.limit == old.balancer.admission.limit == whole / 2
    new.balancer.set_processes(1)
    assert new.balancer.admission.limit == whole
    b, its = old.balancer.state.backends["b2"], new.balancer.state.backends["b2"]
    assert its.distrust == b.distrust > 0 and its.distrust_at == b.distrust_at
    assert new.balancer.health.distrust(its, new.now) < old.balancer.health.distrust(b, old.now)


@pytest.mark.parametrize("listing", [Listing("b1", started_at=1), Listing("other")])
def test_state_of_a_restarted_or_removed_backend_is_not_imported(listing):
    old = trained_driver()
    left = export_learned(old.balancer, old.now)
    new = BalancerDriver([listing], now=old.now)
    assert import_learned(new.balancer, new.now, left)
    b = new.balancer.state.backends[listing.backend]
    assert not b.log_slowness and not b.distrust


def test_state_of_a_backend_uncordoned_meanwhile_is_not_imported():
    old = trained_driver()
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
def test_invalid_learned_state_changes_nothing(change):
    old, new = trained_driver(), BalancerDriver()
    before = export_learned(new.balancer, new.now)
    assert not import_learned(new.balancer, new.now, export_learned(old.balancer, old.now) | change)
    assert export_learned(new.balancer, new.now) == before


def test_processes_share_the_budget_of_a_cold_backend():
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
