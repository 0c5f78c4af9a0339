"""Settings that change while work is open: file, module, router."""

import json
from http import HTTPStatus

import pytest
from helpers import BalancerDriver, answers, attempts, balancer_settings, wait_until
from test_program import TOLD, changed
from test_router import RouterRig

from nettledeal.configuration import parse_configuration
from nettledeal.configuration_change import check_replacement
from nettledeal.configuration_files import ConfigError
from nettledeal.model import Outcome, Verdict
from nettledeal.net.protocol.backend import Reply
from nettledeal.net.routing.request_admission import RETIRED_CATEGORY_TENTHS

FORCE = json.loads(json.dumps(TOLD))
FORCE["settings"]["allowed"]["most_hand_offs"] = 3
FORCE["settings"]["categories"].append(
    {"name": "c", "effect": "safe", "expiry": 500_000_000, "due_time": 200_000_000, "payoff": 2.0}
)
OLD = parse_configuration(json.dumps(FORCE).encode(), {})


def edited(path, value=None, drop=False):
    told = json.loads(json.dumps(FORCE))
    *way, last = path.split(".")
    inner = told
    for key in way:
        inner = inner[int(key)] if key.isdigit() else inner[key]
    last = int(last) if last.isdigit() else last
    if drop:
        del inner[last]
    else:
        inner[last] = value
    return json.dumps(told).encode()


HUGE = 10**18
FAULTY = [
    (b"", "the file"),
    (b"{", "the file"),
    (json.dumps(FORCE).encode()[:200], "the file"),
    (b"[]", "the file"),
    (b"null", "the file"),
    (b"7", "the file"),
    (b"{}", "listen"),
    (edited("settings", 5), "settings"),
    (edited("settings", drop=True), "settings"),
    (edited("listen", drop=True), "listen"),
    (edited("limits.sockets", drop=True), "limits.sockets"),
    (edited("settings.categories", drop=True), "settings.categories"),
    (edited("settings.categories", {}), "settings.categories"),
    (edited("settings.allowed", drop=True), "settings.allowed"),
    (edited("settings.allowed.may_duplicate", drop=True), "settings.allowed.may_duplicate"),
    (edited("settings.categories.1.effect", drop=True), "settings.categories.1.effect"),
    (edited("settings.categories.0.expiry", drop=True), "settings.categories.0.expiry"),
    # A new one has at least what all others have.
    (edited("settings.categories.0", {"name": "new", "effect": "safe"}), "settings.categories.0.expiry"),
    *[
        (edited(f"settings.{key}", value), f"settings.{key}")
        for key in ("categories.0.expiry", "categories.1.due_time", "allowed.most_hand_offs")
        for value in (0, -1, True, "9", 1.5, [], HUGE)
    ],
    (edited("settings.categories.0.expiry").replace(b"null", b"NaN"), "the file"),
    (edited("settings.categories.0.effect", 3), "settings.categories.0.effect"),
]


@pytest.mark.parametrize(("raw", "key"), FAULTY)
def test_a_faulty_file_is_refused_by_its_key(raw, key):
    environment = {"EDGE_DISCOVERY": "127.0.0.1:2"}
    with pytest.raises(ConfigError, match=rf"^{key}\b") as fault:
        check_replacement(OLD, parse_configuration(raw, environment))
    assert "\n" not in str(fault.value)


@pytest.mark.parametrize(
    "raw",
    [
        edited("settings.categories.0.effect", "safe"),
        edited("settings.categories.0", drop=True),
        edited("settings.categories.0.name", "renamed"),
        edited("settings.allowed.most_hand_offs", 1),
        edited("settings.more", {"a": 1}),
        edited("known", {"generation": 1, "reset": True, "instances": []}),
    ],
)
def test_a_good_file_is_taken(raw):
    check_replacement(OLD, parse_configuration(raw, {}))


def test_the_same_file_with_other_numbers_takes_its_own_place():
    old = parse_configuration(changed("settings.categories.0.expiry", 1_000_000), {})
    check_replacement(old, parse_configuration(changed("settings.categories.0.expiry", 2_000_000), {}))


def named(*categories, **changes):
    told = {
        key: value for key, value in balancer_settings(**changes).items() if not key.startswith("categories.")
    }
    told["categories.count"] = len(categories)
    for n, (name, effect) in enumerate(categories):
        told |= {
            f"categories.{n}.name": name,
            f"categories.{n}.effect": effect,
            f"categories.{n}.due_time": 10_000,
            f"categories.{n}.expiry": 20_000,
        }
    return told


BOTH = named(("read", "rerunnable"), ("write", "exclusive"))


def driver():
    found = BalancerDriver()
    found.balancer.apply_settings(found.now, BOTH)
    return found


def names(driver):
    """Without those that the drive began with."""
    return [c.name for c in driver.balancer.state.categories if not c.name.isdigit()]


def index(driver, name):
    return [category.name for category in driver.balancer.state.categories].index(name)


@pytest.mark.parametrize(
    ("before", "after", "again"),
    [
        # What is open keeps the effect that it came with; what comes next goes by the new one.
        ("exclusive", "rerunnable", False),
        ("rerunnable", "exclusive", True),
    ],
)
def test_effects_that_change(before, after, again):
    at = driver()
    at.balancer.apply_settings(at.now, named(("x", before)))
    old = attempts(at.submit(0))[0]
    at.balancer.apply_settings(at.now, named(("new", "rerunnable"), ("x", after)))
    assert bool(attempts(at.finish_attempt(old, Outcome.RESET))) is again
    fresh = attempts(at.submit(index(at, "x")))[0]
    assert bool(attempts(at.finish_attempt(fresh, Outcome.RESET))) is not again


def test_attempts_that_change():
    at = driver()
    old = attempts(at.submit(0))[0]
    at.balancer.apply_settings(at.now, {**BOTH, "allowed.most_hand_offs": 1})
    assert attempts(at.finish_attempt(old, Outcome.RESET))
    fresh = attempts(at.submit(0))[0]
    assert not attempts(at.finish_attempt(fresh, Outcome.RESET))


def test_what_was_learned_goes_by_name_not_by_place():
    at = driver()
    for _ in range(30):
        at.finish_attempt(attempts(at.submit(1))[0], after=333)
    was = at.balancer.state.categories[1]
    assert was.samples == 30
    at.balancer.apply_settings(
        at.now, named(("other", "exclusive"), ("write", "exclusive"), ("read", "rerunnable"))
    )
    at.balancer.apply_settings(at.now, named(("write", "exclusive"), ("other", "exclusive")))
    now = at.balancer.state.categories[0]
    assert (now.base_time, now.samples) == (was.base_time, 30) and now is not was
    assert names(at) == ["write", "other", "read"]
    # Added again it is itself, and it is there once.
    at.balancer.apply_settings(at.now, BOTH)
    assert names(at) == ["read", "write", "other"]


def test_a_category_dropped_with_work_open_is_answered_by_its_own_rules():
    at = driver()
    out = attempts(at.submit(1))[0]
    at.balancer.apply_settings(at.now, named(("read", "rerunnable")))
    assert [a.verdict for a in answers(at.finish_attempt(out, Outcome.RESET))] == [Verdict.FAILED]
    # Those that still name it go by them, too.
    out = attempts(at.submit(index(at, "write")))[0]
    assert [a.verdict for a in answers(at.finish_attempt(out, Outcome.RESET))] == [Verdict.FAILED]


def test_dropped_names_do_not_pile_up():
    at = driver()
    for n in range(100):
        at.balancer.apply_settings(at.now, named((f"c{n}", "rerunnable")))
    assert len(at.balancer.state.categories) <= 17


def test_the_owner_takes_new_names_at_once_and_old_ones_for_a_while():
    rig = RouterRig()
    rig.router.update_settings(BOTH, {}, {"read": 100, "write": 200}, 100)
    rig.router.update_settings(
        named(("add", "rerunnable"), ("read", "exclusive")), {}, {"add": 300, "read": 100}, 50
    )
    assert rig.router.admission.max_open == 50
    pending, _ = rig.submit("add")
    rig.nth_exchange().on_reply(Reply(Outcome.FINISHED, report={}))
    assert rig.status_of(pending) is HTTPStatus.OK
    pending, id = rig.submit("write")
    assert id and pending.status is None
    assert 0 < rig.router.admission.retired_until["write"] - rig.clock.now() <= RETIRED_CATEGORY_TENTHS
    rig.router.admission.retired_until["write"] = rig.clock.now() - 1
    pending, id = rig.submit("write")
    assert (pending.status, id) == (HTTPStatus.BAD_REQUEST, None)
    assert rig.submit("read")[1]
    # Its first word counts, however often the settings change meanwhile.
    rig.router.update_settings(named(("add", "rerunnable")), {}, {"add": 300}, 50)
    assert rig.submit("write")[0].status is HTTPStatus.BAD_REQUEST
    rig.router.update_settings(BOTH, {}, {"read": 100, "write": 200}, 100)
    assert rig.submit("write")[1] and wait_until(lambda: not rig.router.queued)
