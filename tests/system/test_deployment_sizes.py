"""Costs that must not grow with a deployment, and membership across many machines, on production code."""

from __future__ import annotations

from random import Random

import msgspec
import pytest
import xxhash

from nettledeal.control.decisions import decide
from nettledeal.control.state import ControlState, PutConfiguration
from nettledeal.distribution.control_source import CONTROL_SOURCE, control_entries
from nettledeal.distribution.protocol import CODEC, NO_VERSION
from nettledeal.distribution.published_source import PublishedSource
from nettledeal.distribution.subscriber_session import SubscribedSource

from . import drawn_deployment
from .simulated_members import CORES, Group

FRAME_HEADER_BYTES = 4
AGENTS = 6
JOIN_LIMIT_S = 20
LOST_S = 30
RETURN_LIMIT_S = 60


class Pipeline:
    """The control state, the source published from it and one agent's copy, without network."""

    def __init__(self, routes: int, seed: int):
        self.random = Random(seed)
        self.configuration = drawn_deployment.configuration(routes, self.random)
        self.state = ControlState()
        self.source = PublishedSource(CONTROL_SOURCE)
        self.copy = SubscribedSource(CONTROL_SOURCE)
        self.commit_configuration()

    def commit_configuration(self) -> bytes:
        """Commit the configuration and propagate it to the agent's copy; returns the update's frame."""
        body = msgspec.json.encode(self.configuration)
        digest = xxhash.xxh3_128_digest(body)
        order = PutConfiguration(self.state.generation, self.configuration.generation, digest, body)
        decision = decide(self.state, order)
        known_version = self.source.version if self.copy.version else NO_VERSION
        self.state = self.state.after(self.state.sequence + 1, decision.changes)
        self.source.publish((self.state.sequence,), control_entries(self.state.entries))
        frame = self.source.update_since(known_version).frame
        self.copy.apply(CODEC.decode(frame[FRAME_HEADER_BYTES:]))
        return frame

    def change(self) -> bytes:
        """Change one route; returns the update's frame."""
        self.configuration = drawn_deployment.changed_configuration(self.configuration, self.random)
        return self.commit_configuration()


def test_an_update_of_one_route_does_not_grow_with_the_configuration():
    few, many = Pipeline(10, 1), Pipeline(400, 1)
    assert len(many.change()) < 1.2 * len(few.change())
    assert len(msgspec.json.encode(many.configuration)) > 10 * len(msgspec.json.encode(few.configuration))
    assert many.copy.entries == many.source.entries


def test_entries_do_not_accumulate_over_changes():
    pipeline = Pipeline(100, 1)
    for _ in range(2500):
        pipeline.change()
    assert len(pipeline.state.entries) < 2200


def test_a_deployment_is_determined_by_its_seed():
    first, again = (drawn_deployment.backends(200, Random(4)) for _ in range(2))
    assert first == again
    assert len({backend.id for backend in first}) == len({backend.address for backend in first}) == 200
    regions = {drawn_deployment.zones()[backend.zone] for backend in first}
    assert len(regions) == drawn_deployment.REGIONS


def test_a_changed_configuration_differs_in_one_route():
    before = drawn_deployment.configuration(30, Random(1))
    after = drawn_deployment.changed_configuration(before, Random(2))
    assert after.generation == before.generation + 1
    assert sum(one != other for one, other in zip(before.routes, after.routes, strict=True)) == 1
    assert msgspec.json.encode(before.services) == msgspec.json.encode(after.services)


def test_members_discover_all_others_and_survive_the_loss_of_a_region():
    group = Group(AGENTS, 3)
    assert max(group.complete_after(CORES + AGENTS, JOIN_LIMIT_S)) < JOIN_LIMIT_S
    lost = list(group.members)[CORES :: drawn_deployment.REGIONS]
    group.cut_off = frozenset(lost)
    group.run(LOST_S)
    rest = [member for address, member in group.members.items() if address not in group.cut_off]
    assert all(len(member.live_members()) == len(group.members) - len(lost) for member in rest)
    group.cut_off = frozenset()
    assert max(group.complete_after(len(group.members), RETURN_LIMIT_S)) < RETURN_LIMIT_S


@pytest.mark.parametrize(("other", "alike"), [(7, True), (8, False)])
def test_a_membership_run_is_determined_by_its_seed(other, alike):
    groups = Group(AGENTS, 7), Group(AGENTS, other)
    for group in groups:
        group.run(LOST_S)
    assert (groups[0].sent_bytes == groups[1].sent_bytes) is alike
