"""Settings that change while requests are open: in the file, the policy module and the router."""

import json
from http import HTTPStatus

import pytest
from helpers import BalancerDriver, answers, attempts, balancer_settings, wait_until
from test_program import CONFIG, config_with
from test_router import RouterRig

from nettledeal.configuration import parse_configuration
from nettledeal.configuration_change import check_replacement
from nettledeal.configuration_files import ConfigError
from nettledeal.model import Outcome, Verdict
from nettledeal.net.protocol.backend import Reply
from nettledeal.net.routing.request_admission import RETIRED_CATEGORY_TENTHS

IN_FORCE = json.loads(json.dumps(CONFIG))
IN_FORCE["settings"]["allowed"]["most_hand_offs"] = 3
IN_FORCE["settings"]["categories"].append(
    {"name": "c", "effect": "safe", "expiry": 500_000_000, "due_time": 200_000_000, "payoff": 2.0}
)
IN_FORCE_CONFIGURATION = parse_configuration(json.dumps(IN_FORCE).encode(), {})


def edited(path, value=None, drop=False):
    content = json.loads(json.dumps(IN_FORCE))
    *way, last = path.split(".")
    inner = content
    for key in way:
        inner = inner[int(key)] if key.isdigit() else inner[key]
    last = int(last) if last.isdigit() else last
    if drop:
        del inner[last]
    else:
        inner[last] = value
    return json.dumps(content).encode()


TOO_LARGE = 10**18
INVALID_FILES = [
    (b"", "the file"),
    (b"{", "the file"),
    (json.dumps(IN_FORCE).encode()[:200], "the file"),
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
    # A new category must have all keys that the others have in common.
    (edited("settings.categories.0", {"name": "new", "effect": "safe"}), "settings.categories.0.expiry"),
    *[
        (edited(f"settings.{key}", value), f"settings.{key}")
        for key in ("categories.0.expiry", "categories.1.due_time", "allowed.most_hand_offs")
        for value in (0, -1, True, "9", 1.5, [], TOO_LARGE)
    ],
    (edited("settings.categories.0.expiry").replace(b"null", b"NaN"), "the file"),
    (edited("settings.categories.0.effect", 3), "settings.categories.0.effect"),
]


@pytest.mark.parametrize(("raw", "key"), INVALID_FILES)
def test_invalid_file_is_refused_with_its_key(raw, key):
    environment = {"EDGE_DISCOVERY": "127.0.0.1:2"}
    with pytest.raises(ConfigError, match=rf"^{key}\b") as fault:
        check_replacement(IN_FORCE_CONFIGURATION, parse_configuration(raw, environment))
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
def test_valid_change_is_accepted(raw):
    check_replacement(IN_FORCE_CONFIGURATION, parse_configuration(raw, {}))


def test_changed_number_is_accepted():
    old = parse_configuration(config_with("settings.categories.0.expiry", 1_000_000), {})
    check_replacement(old, parse_configuration(config_with("settings.categories.0.expiry", 2_000_000), {}))


def settings_with_categories(*categories, **changes):
    content = {
        key: value for key, value in balancer_settings(**changes).items() if not key.startswith("categories.")
    }
    content["categories.count"] = len(categories)
    for n, (name, effect) in enumerate(categories):
        content |= {
            f"categories.{n}.name": name,
            f"categories.{n}.effect": effect,
            f"categories.{n}.due_time": 10_000,
            f"categories.{n}.expiry": 20_000,
        }
    return content


TWO_CATEGORIES = settings_with_categories(("read", "rerunnable"), ("write", "exclusive"))


def configured_driver():
    found = BalancerDriver()
    found.balancer.apply_settings(found.now, TWO_CATEGORIES)
    return found


def category_names(driver):
    """The names of categories, without the numbered ones that the driver started with."""
    return [c.name for c in driver.balancer.state.categories if not c.name.isdigit()]


def category_index(driver, name):
    return [category.name for category in driver.balancer.state.categories].index(name)


@pytest.mark.parametrize(
    ("before", "after", "again"),
    [
        # An open request keeps the effect that it was submitted with; later ones have the new effect.
        ("exclusive", "rerunnable", False),
        ("rerunnable", "exclusive", True),
    ],
)
def test_changed_effect_applies_to_new_requests_only(before, after, again):
    driver = configured_driver()
    driver.balancer.apply_settings(driver.now, settings_with_categories(("x", before)))
    old = attempts(driver.submit(0))[0]
    driver.balancer.apply_settings(driver.now, settings_with_categories(("new", "rerunnable"), ("x", after)))
    assert bool(attempts(driver.finish_attempt(old, Outcome.RESET))) is again
    fresh = attempts(driver.submit(category_index(driver, "x")))[0]
    assert bool(attempts(driver.finish_attempt(fresh, Outcome.RESET))) is not again


def test_changed_attempt_limit_applies_to_new_requests_only():
    driver = configured_driver()
    old = attempts(driver.submit(0))[0]
    driver.balancer.apply_settings(driver.now, {**TWO_CATEGORIES, "allowed.most_hand_offs": 1})
    assert attempts(driver.finish_attempt(old, Outcome.RESET))
    fresh = attempts(driver.submit(0))[0]
    assert not attempts(driver.finish_attempt(fresh, Outcome.RESET))


def test_learned_state_follows_a_categorys_name_not_its_index():
    driver = configured_driver()
    for _ in range(30):
        driver.finish_attempt(attempts(driver.submit(1))[0], after=333)
    was = driver.balancer.state.categories[1]
    assert was.samples == 30
    driver.balancer.apply_settings(
        driver.now,
        settings_with_categories(("other", "exclusive"), ("write", "exclusive"), ("read", "rerunnable")),
    )
    driver.balancer.apply_settings(
        driver.now, settings_with_categories(("write", "exclusive"), ("other", "exclusive"))
    )
    now = driver.balancer.state.categories[0]
    assert (now.base_time, now.samples) == (was.base_time, 30) and now is not was
    assert category_names(driver) == ["write", "other", "read"]
    # A category that is added again keeps its state and is listed once.
    driver.balancer.apply_settings(driver.now, TWO_CATEGORIES)
    assert category_names(driver) == ["read", "write", "other"]


def test_removed_category_keeps_its_rules_for_its_requests():
    driver = configured_driver()
    out = attempts(driver.submit(1))[0]
    driver.balancer.apply_settings(driver.now, settings_with_categories(("read", "rerunnable")))
    assert [a.verdict for a in answers(driver.finish_attempt(out, Outcome.RESET))] == [Verdict.FAILED]
    # They hold also for new requests that still name it.
    out = attempts(driver.submit(category_index(driver, "write")))[0]
    assert [a.verdict for a in answers(driver.finish_attempt(out, Outcome.RESET))] == [Verdict.FAILED]


def test_number_of_removed_categories_is_bounded():
    driver = configured_driver()
    for n in range(100):
        driver.balancer.apply_settings(driver.now, settings_with_categories((f"c{n}", "rerunnable")))
    assert len(driver.balancer.state.categories) <= 17


def test_router_accepts_new_categories_at_once_and_removed_ones_for_a_while():
    rig = RouterRig()
    rig.router.update_settings(TWO_CATEGORIES, {}, {"read": 100, "write": 200}, 100)
    rig.router.update_settings(
        settings_with_categories(("add", "rerunnable"), ("read", "exclusive")),
        {},
        {"add": 300, "read": 100},
        50,
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
    # The time of the removal counts, however often the settings change afterwards.
    rig.router.update_settings(settings_with_categories(("add", "rerunnable")), {}, {"add": 300}, 50)
    assert rig.submit("write")[0].status is HTTPStatus.BAD_REQUEST
    rig.router.update_settings(TWO_CATEGORIES, {}, {"read": 100, "write": 200}, 100)
    assert rig.submit("write")[1] and wait_until(lambda: not rig.router.queued)
