"""Seeded schedules of orders, with delays and a primary that is deposed, against the operator's rules."""

from __future__ import annotations

import json
from http import HTTPMethod
from random import Random

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from nettledeal.control import decisions as decisions_module
from nettledeal.control.state import Outcome
from nettledeal.distribution.control_source import control_entries
from nettledeal.distribution.published_source import PublishedSource
from nettledeal.operator_api import api as api_module
from nettledeal.operator_api.api import OperatorApi
from nettledeal.operator_api.messages import Request
from nettledeal.operator_api.node import ControlNode
from tests.system.operator_api_support import MemoryNode, make_body, make_route

ZONES = ["z1", "z2"]
INVALID_ROUTE = make_route(timeout_ms=0)


class Records:
    """What an operator knows of its orders."""

    def __init__(self):
        self.acknowledged: list[tuple[int, bytes]] = []  # version built on, body
        self.refused: set[tuple[int, bytes]] = set()
        self.evacuations: dict[str, bool | None] = {}  # None where the last answer was unclear

    def note(self, version: int, body: bytes, status: int, valid: bool) -> None:
        """Check an answer against those before it. An order is a body on top of a version."""
        order = (version, body)
        if status == 200:
            assert valid, "an invalid configuration was acknowledged"
            assert order not in self.refused, "a refused configuration was acknowledged"
            if order not in self.acknowledged:
                assert version not in [on for on, _ in self.acknowledged], "two on top of the same version"
                self.acknowledged.append(order)
        elif status in (400, 412):
            assert order not in self.acknowledged, "an acknowledged configuration was refused"
            self.refused.add(order)


READ_BACK_WITHIN_S = 30.0


def generation_of(body: bytes) -> int:
    return json.loads(body)["generation"]


class Schedule:
    """One seeded run of a few operators against one machine."""

    def __init__(self, seed: int):
        self.random = Random(seed)
        self.node = MemoryNode()
        self.api = OperatorApi(self.node, "10.0.0.1:8166", lambda: ZONES, answer_within_s=0.001)
        self.records = Records()
        self.sent: list[tuple[int, bytes, bool]] = []
        self.calls: list[gevent.Greenlet] = []

    def play(self) -> None:
        for _ in range(self.random.randrange(5, 40)):
            self.step()
        self.calm()
        self.read_back()

    def step(self) -> None:
        match self.random.randrange(9):
            case 0 | 1 | 2:
                self.put_new()
            case 3 | 4:
                if self.sent:
                    self.start(*self.random.choice(self.sent))
            case 5:
                self.node.open.clear()
            case 6:
                self.node.open.set()
            case 7:
                self.node.deposed = self.random.random() < 0.5
            case 8:
                self.evacuate()
        gevent.sleep(0)

    def put_new(self) -> None:
        current = self.node.state.generation
        version = self.random.choice([current, current, current, max(0, current - 1)])
        generation = current + self.random.choice([1, 1, 2, 3, 0])
        valid = self.random.random() < 0.8
        changes = {} if valid else {"routes": [INVALID_ROUTE]}
        body = make_body(generation, mood=self.random.randrange(1000), **changes)
        self.sent.append((version, body, valid and generation > 0))
        self.start(*self.sent[-1])

    def start(self, version: int, body: bytes, valid: bool) -> None:
        self.calls.append(gevent.spawn(self.call, version, body, valid))

    def call(self, version: int, body: bytes, valid: bool) -> None:
        response = self.api.handle(Request(HTTPMethod.PUT, "/config", str(version), body))
        self.records.note(version, body, response.status, valid)

    def evacuate(self) -> None:
        zone = self.random.choice(ZONES)
        method = self.random.choice([HTTPMethod.POST, HTTPMethod.DELETE])
        response = self.api.handle(Request(method, f"/evacuations/{zone}"))
        self.records.evacuations[zone] = method is HTTPMethod.POST if response.status == 200 else None

    def calm(self) -> None:
        """Everything under way ends, and the machine is the primary without doubt."""
        self.node.deposed = False
        self.node.open.set()
        gevent.joinall(self.calls, raise_error=True)
        gevent.sleep(0)
        for order in self.sent:
            self.call(*order)

    def read_back(self) -> None:
        for zone, evacuated in self.records.evacuations.items():
            assert evacuated in (None, zone in self.node.state.evacuated_zones)
        # With time enough: a busy machine may take longer than the orders above were given.
        patient = OperatorApi(self.node, "10.0.0.1:8166", lambda: ZONES, answer_within_s=READ_BACK_WITHIN_S)
        response = patient.handle(Request(HTTPMethod.GET, "/config"))
        if not self.records.acknowledged:
            assert response.status == 404
            return
        newest = max((body for _, body in self.records.acknowledged), key=generation_of)
        assert response.status == 200
        assert response.body == newest


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 2**32))
def test_the_rules_of_orders_hold_on_any_schedule(seed):
    Schedule(seed).play()


def judge_by_old_state(monkeypatch):
    """A conflict is told without asking the quorum, and the wrong way for what was taken."""
    monkeypatch.setattr(MemoryNode, "submit", lambda self, command: _submit_forgetful(self, command))


def _submit_forgetful(node, command):
    if isinstance(command, api_module.PutConfiguration) and command.expected_version != node.state.generation:
        return Outcome.CONFLICT
    return _SUBMIT(node, command)


_SUBMIT = MemoryNode.submit


def accept_invalid(monkeypatch):
    """Routes are not checked."""
    monkeypatch.setattr("nettledeal.operator_api.configuration_checks._fault_of_route", lambda *_: None)


def accept_on_any_version(monkeypatch):
    """The version that an order builds on is not looked at."""

    def submit(node: ControlNode, command):
        if isinstance(command, api_module.PutConfiguration):
            command = api_module.PutConfiguration(
                node.state.generation, command.generation, command.digest, command.body
            )
        return _SUBMIT(node, command)

    monkeypatch.setattr(MemoryNode, "submit", submit)


def acknowledge_what_is_unclear(monkeypatch):
    """An order that takes long is called done."""
    monkeypatch.setattr(api_module, "unclear", lambda _: api_module.accepted())


@pytest.mark.parametrize(
    "plant", [judge_by_old_state, accept_invalid, accept_on_any_version, acknowledge_what_is_unclear]
)
def test_the_schedules_find_planted_faults(monkeypatch, plant):
    plant(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(500):
            Schedule(seed).play()


def test_many_changes_leave_no_more_than_their_bound(monkeypatch):
    kept, pruned_at_once, log_length = 100, 20, 50
    monkeypatch.setattr(decisions_module, "MAX_ACCEPTED_ORDERS", kept)
    monkeypatch.setattr(decisions_module, "PRUNE_BATCH", pruned_at_once)
    node = MemoryNode()
    api = OperatorApi(node, "10.0.0.1:8166", lambda: ZONES)
    source = PublishedSource("control", log_length)
    changes = 300
    for generation in range(1, changes + 1):
        request = Request(HTTPMethod.PUT, "/config", str(generation - 1), make_body(generation))
        assert api.handle(request).status == 200
        source.publish((node.state.sequence,), control_entries(node.state.entries))
    assert len(node.state.entries) <= kept + pruned_at_once + 2
    assert source.update_since((changes - log_length,)) is not None
    assert source.update_since((changes - log_length - 1,)) is None
    for generation in range(changes - kept + 1, changes):
        request = Request(HTTPMethod.PUT, "/config", str(generation - 1), make_body(generation))
        assert api.handle(request).status == 200
