"""Tests of the deterministic parts of the fleet package, without processes."""

from pathlib import Path
from random import Random

import msgspec
import pytest

from nettledeal.configuration_files import ConfigError
from nettledeal.fleet import experiment, load_metrics, results, rule_checker
from nettledeal.fleet.fault_schedule import assign_zones, build_schedule
from nettledeal.fleet.links import LinkCondition, LinkDirection
from nettledeal.fleet.processor_waits import ProcessorWaits
from nettledeal.fleet.server_model import FULL, HELD, ServerModel
from nettledeal.fleet.workload import generate_requests

PLAIN = """
about = "a few"
seconds = 4.0
settle = 1.0
[agents]
count = 6
[backends]
count = 4
processes = 2
[clients]
rate = 30.0
[[category]]
name = "quote"
[[category]]
name = "order"
effect = "unsafe"
"""


def load_text(tmp_path, text, **options):
    file = tmp_path / "asked.toml"
    file.write_text(text)
    return experiment.load_experiment(file, **options).experiment


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("seconds = 4.0", "seconds = 'four'", "seconds"),
        ("seconds = 4.0", "seconds = 0.0", "seconds"),
        ("seconds = 4.0", "seconds = 0.5", "settle"),
        ("rate = 30.0", "rate = -1.0", "clients.rate"),
        ("rate = 30.0", "rate = nan", "clients.rate"),
        ("rate = 30.0", "pace = 30.0", "clients"),
        ("count = 6", "count = 6\nprobe_price = -0.1", "agents.probe_price"),
        ("count = 6", "count = 4000000", "agents.count"),
        ("count = 4", "count = 4\nzones = [1.0]", "clients.zones"),
        ("count = 4", "count = 4\nspeeds = [1.0, 0.0]", "backends.speeds.1"),
        ('name = "order"', 'name = "quote"', "category.1.name"),
        ('effect = "unsafe"', 'effect = "odd"', "category.1.effect"),
        ('effect = "unsafe"', "due_ms = 9000.0", "category.1.due_ms"),
        ("about", 'policies = ["luck"]\nabout', "policies.0"),
        ("about", "about", None),
    ],
)
def test_an_invalid_experiment_is_reported_with_its_key(tmp_path, old, new, key):
    text = PLAIN.replace(old, new, 1)
    if key is None:
        assert load_text(tmp_path, text).agents.count == 6
        return
    with pytest.raises(ConfigError, match=f"^{key}: ") as fault:
        load_text(tmp_path, text)
    assert "\n" not in str(fault.value)


@pytest.mark.parametrize(
    ("lines", "key"),
    [
        ('kind = "storm"\nat = 1.0', "fault.0.kind"),
        ('kind = "slow"\nat = 1.0', "fault.0.times"),
        ('kind = "hang"\nat = 3.0\nuntil = 2.0', "fault.0.until"),
        ('kind = "hang"\nat = 9.0', "fault.0.at"),
        ('kind = "kill"\nat = 1.0\ncount = 7', "fault.0.count"),
        ('kind = "kill"\nat = 1.0\nshare = 1.5', "fault.0.share"),
        ('kind = "kill"\nat = 1.0\nshare = 0.5\ncount = 1', "fault.0"),
        ('kind = "kill"\nat = 1.0\nzone = 2', "fault.0.zone"),
        ('kind = "link"\nat = 1.0\nway = "up"', "fault.0.way"),
        ('kind = "hang"\nat = 2.0\n[[fault]]\nkind = "hang"\nat = 1.0', "fault.1.at"),
    ],
)
def test_an_impossible_fault_is_rejected(tmp_path, lines, key):
    with pytest.raises(ConfigError, match=f"^{key}: "):
        load_text(tmp_path, f"{PLAIN}\n[[fault]]\n{lines}\n")


@pytest.mark.parametrize(
    ("lines", "verbs"),
    [
        ('kind = "pause"\nat = 1.0\nuntil = 2.0\nshare = 0.5', [("pause", 3), ("go on", 3)]),
        ('kind = "kill"\nat = 1.0\ncount = 2', [("kill", 2)]),
        ('kind = "restart"\nat = 1.0\nuntil = 2.0\ncount = 2', [("restart", 1), ("restart", 1)]),
        ('kind = "slow"\nat = 1.0\nuntil = 2.0\nzone = 0\ntimes = 5.0', [("slow", 2), ("slow", 2)]),
        (
            'kind = "link"\nat = 1.0\nuntil = 2.0\nshare = 0.34\nway = "back"\ncut = true',
            [("link back", 2), ("link back", 2)],
        ),
    ],
)
def test_a_fault_schedule_is_deterministic_and_ends_its_faults(tmp_path, lines, verbs):
    loaded = load_text(tmp_path, f"{PLAIN}\n[[fault]]\n{lines}\n")
    schedule = build_schedule(loaded)
    assert [(action.verb, len(action.targets)) for action in schedule.actions] == verbs
    assert schedule == build_schedule(loaded)
    assert [action.at for action in schedule.actions] == sorted(action.at for action in schedule.actions)
    assert set(schedule.link_groups) == ({0, 1} if "link" in lines else {0})


def test_traffic_is_drawn_ahead_and_equal_for_equal_seeds(tmp_path):
    loaded = load_text(tmp_path, PLAIN)
    drawn = generate_requests(loaded)
    assert drawn == generate_requests(loaded) != generate_requests(msgspec.structs.replace(loaded, seed=2))
    assert len({request.id for request in drawn}) == len(drawn)
    assert assign_zones(5, [3.0, 1.0]).count(0) == 4


def new_server(**changes):
    fields = {
        "cores": 1,
        "speed": 1.0,
        "max_held": 3,
        "report_every": 20,
        "report_lag": 0,
        "cold_from": 0.5,
        "warm_within": 1000,
        "overload_factor": 2.0,
        "overload_window": 100,
        "rng": Random(1),
    }
    return ServerModel(**fields | changes)


def test_a_server_works_in_order_and_turns_away_what_it_cannot_hold():
    model = new_server()
    assert [model.arrive(0, n, 100) for n in range(4)] == [HELD, HELD, HELD, FULL]
    assert model.begin(0) == [(0, 100)]
    assert model.cancel(10, 1) and not model.cancel(10, 0)
    model.finish(100, 0)
    assert model.begin(100) == [(2, 100)]
    assert model.report(130) == (1, 0)


@pytest.mark.parametrize(("works", "crashed"), [([50, 50], False), ([50, 50, 60], True)])
def test_a_cold_server_crashes_when_it_receives_too_much_work(works, crashed):
    model = new_server(started=1000, max_held=9)
    for n, work in enumerate(works):
        model.arrive(1001 + n, n, work)
    assert model.crashed is crashed
    assert model.begin(1010) == ([] if crashed else [(0, 99)])


def test_late_and_false_reports():
    model = new_server(report_lag=100, report_factor=3.0)
    model.arrive(1000, "a", 500)
    model.begin(1010)
    assert model.report(1050) == (0, 0)
    model.arrive(1060, "b", 500)
    assert model.report(1150) == (3, 0)


@pytest.mark.parametrize(
    ("condition", "count"),
    [
        (LinkCondition(), 1000),
        (LinkCondition(cut=True), 0),
        (LinkCondition(silent=True), 0),
        (LinkCondition(loss=0.2), 800),
        (LinkCondition(repeats=0.5), 1500),
        (LinkCondition(reordering=0.5, jitter=50), 1000),
    ],
)
def test_datagrams_of_a_link(condition, count):
    direction = LinkDirection(Random(1))
    direction.condition = condition
    arrivals = [at for sent in range(0, 10_000, 10) for at in direction.datagram_arrivals(sent)]
    assert abs(len(arrivals) - count) <= 0.1 * count
    assert (arrivals != sorted(arrivals)) == bool(condition.reordering)
    direction.condition = LinkCondition(delay=30, jitter=40)
    stream = [direction.stream_arrival(sent) for sent in range(0, 1000, 10)]
    assert stream == sorted(stream) and all(at >= 30 + 10 * n for n, at in enumerate(stream))


CAME = (1000, 0, "b0", "came", "w")
BEGAN = (1001, 0, "b0", "began", "w")
DONE = (1500, 0, "b0", "done", "w")


@pytest.mark.parametrize(
    ("number", "status", "answered", "backends", "roster", "rule"),
    [
        (0, 200, 1501, [CAME, BEGAN, DONE], [], None),
        (0, 0, 30_000, [CAME, BEGAN, DONE], [], 0),
        (0, 200, 21_600, [CAME, BEGAN, DONE], [], 0),
        (0, 200, 1200, [CAME, (1100, 0, "b0", "left", "w"), (1900, 1, "b1", "came", "w")], [], 0),
        (0, 200, 1900, [CAME, (1800, 1, "b1", "came", "w")], [], 1),
        (0, 200, 1900, [CAME, (1100, 0, "b0", "left", "w"), (1800, 1, "b1", "came", "w")], [], None),
        (0, 200, 1900, [CAME, (1100, 0, "b0", "died", ""), (1800, 1, "b1", "came", "w")], [], None),
        (0, 200, 1900, [CAME, (1800, 0, "b0", "came", "w"), (1801, 0, "b0", "gone", "w")], [], None),
        (1, 200, 1900, [CAME, (1100, 0, "b0", "left", "w"), (1800, 1, "b1", "came", "w")], [], 1),
        (1, 503, 1900, [CAME, (1100, 0, "b0", "left", "w")], [], 1),
        (1, 502, 1900, [CAME, (1100, 0, "b0", "left", "w")], [], None),
        (1, 503, 1900, [(1000, 0, "b0", "full", "w")], [], None),
        (1, 200, 1900, [(1000, 0, "b0", "full", "w"), (1050, 1, "b1", "came", "w")], [], None),
        (0, 200, 7000, [(6000, 0, "b0", "came", "w")], [(1000, 3, 2, [("b0", "draining")])], 2),
        (0, 200, 7000, [(6000, 0, "b0", "full", "w")], [(1000, 3, 2, [("b0", "gone")])], 2),
        (0, 200, 7000, [(6000, 0, "b0", "came", "w")], [(1000, 4, 2, [("b0", "gone")])], None),
        (0, 200, 7000, [(5400, 0, "b0", "came", "w")], [(1000, 3, 2, [("b0", "gone")])], None),
        (
            0,
            200,
            7000,
            [(6000, 0, "b0", "came", "w")],
            [(1000, 3, 2, [("b0", "gone")]), (2000, 3, 3, [("b0", "ready")])],
            None,
        ),
        (0, 200, 1501, [CAME, (1300, 2, "b2", "fell", "")], [], 3),
    ],
)
def test_the_rule_checker_finds_each_broken_rule_and_nothing_else(
    tmp_path, number, status, answered, backends, roster, rule
):
    loaded = load_text(tmp_path, PLAIN)
    records = {
        "clients": [("w", 3, number, 990, 1000, answered, status, 0)],
        "backends": backends,
        "roster": roster,
    }
    broken = [name for name, lines in rule_checker.check_rules(loaded, records, [], 4000).items() if lines]
    assert broken == ([] if rule is None else [rule_checker.RULES[rule]])


def test_agents_stopped_by_the_rig_break_no_rule(tmp_path):
    loaded = load_text(tmp_path, PLAIN)
    records = {"clients": [("w", 3, 0, 990, 1000, 30_000, 0, -1)], "backends": [CAME], "roster": []}
    assert rule_checker.check_rules(loaded, records, [], 4000)[rule_checker.RULES[0]]
    assert not rule_checker.check_rules(loaded, records, [(3, 900, None)], 4000)[rule_checker.RULES[0]]
    assert rule_checker.check_rules(loaded, records, [(3, 100, 900)], 4000)[rule_checker.RULES[0]]


@pytest.mark.parametrize(
    ("counters", "late_ms", "broken"),
    [
        ([(0, 0), (30_000, 0)], 69, True),  # a late answer on an idle machine
        ([], 69, True),  # no samples
        ([(0, 0), (21_000, 0), (21_300, 25), (30_000, 25)], 69, False),
        ([(0, 0), (21_000, 0), (21_300, 15), (30_000, 15)], 69, True),  # waited less than it was late
        ([(0, 0), (15_000, 900), (30_000, 900)], 69, True),  # waited long before
        ([(0, 0), (30_000, 900)], 3000, True),  # like the modified build in test_rig, on a busy machine
    ],
)
def test_an_answer_is_late_by_what_its_agent_did_not_wait_for_a_processor(
    tmp_path, counters, late_ms, broken
):
    loaded = load_text(tmp_path, PLAIN)
    expiry = 1000 + round(loaded.category[0].expiry_ms * 10)
    records = {
        "clients": [("w", 3, 0, 990, 1000, expiry + 10 * late_ms, 503, -1)],
        "backends": [],
        "roster": [],
    }
    waits = ProcessorWaits()
    for at, waited_ms in counters:
        waits.add(3, 17, at, waited_ms * 1_000_000)
    assert (
        bool(
            rule_checker.check_rules(loaded, records, [], 4000, processor_waits=waits)[rule_checker.RULES[0]]
        )
        is broken
    )


def test_processor_waits_continue_after_a_restart():
    waits = ProcessorWaits()
    for at, process_id, waited_ms in ((0, 1, 5), (100, 1, 9), (200, 2, 3), (300, 2, 4)):
        waits.add(0, process_id, at, waited_ms * 1_000_000)
    assert [waits.between(0, 0, until) for until in (100, 200, 300, 999)] == [40, 70, 80, 80]
    assert waits.between(0, 250, 260) == 10
    assert waits.between(1, 0, 999) == 0
    assert waits.longest([0, 1], 100) == 40


def test_measures_of_even_load():
    backends = [load_metrics.MeasuredBackend(n, 1.0 + n) for n in range(2)]
    held = [(0, 100, 0), (10, 60, 1), (20, 80, 1), (2000, 2010, 0), (2000, 2100, 1), (2001, 2100, 1)]
    assert load_metrics.peak_held(held)[0] == 2
    assert load_metrics.herd(held) == 2
    assert load_metrics.spread(held, backends)[0] == 0.0
    assert load_metrics.spread(held + [(2002, 2100, 0)], backends)[0] > 0.1
    assert load_metrics.idle(held, backends, 0, 3000, 1500) == [0, 1]
    assert load_metrics.idle(held, backends, 0, 3000, 2500) == []
    assert load_metrics.random_baseline(held, backends, 1) == load_metrics.random_baseline(held, backends, 1)


def test_results_are_written_completely_or_not_at_all(tmp_path):
    folder = tmp_path / "out"
    results.write(folder, {"runs": [1]}, {"a.log": b"x"})
    with pytest.raises(TypeError):
        results.write(folder, {"runs": [2]}, {"a.log": b"y", "b.log": None})
    assert results.read(folder) == {"runs": [1]}
    assert [file.name for file in tmp_path.iterdir()] == ["out"]
    with pytest.raises(ConfigError):
        results.read(Path(tmp_path) / "nowhere")
