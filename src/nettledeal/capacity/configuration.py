"""What configurations cost: reading, publishing and taking up one of many routes, and a day of changes."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

import msgspec
import xxhash

from nettledeal.capacity import deployment
from nettledeal.capacity.measuring import processor_ms, resident_bytes
from nettledeal.capacity.table import Row
from nettledeal.common.addresses import Address
from nettledeal.control.decisions import decide
from nettledeal.control.messages import CODEC as REPLICATION
from nettledeal.control.messages import Append
from nettledeal.control.state import CONFIGURATION_KEY, ControlState, Decision, PutConfiguration
from nettledeal.dataplane.agent import DataPlane
from nettledeal.distribution.control_source import CONTROL_SOURCE, control_entries
from nettledeal.distribution.protocol import CODEC, NO_VERSION
from nettledeal.distribution.source import PublishedSource
from nettledeal.distribution.subscriber_session import SubscribedSource
from nettledeal.operator_api.configuration import Configuration
from nettledeal.operator_api.configuration_checks import parse_configuration

REPEATS = 9
ROUTES_OF_DAY = 100


class Pipeline:
    """The state, the source published from it and one agent's copy, without sockets."""

    def __init__(self, routes: int, seed: int):
        self.random = Random(seed)
        self.configuration = deployment.configuration(routes, self.random)
        self.state = ControlState()
        self.source = PublishedSource(CONTROL_SOURCE)
        self.copy = SubscribedSource(CONTROL_SOURCE)

    def decided(self) -> Decision:
        """The decision on the current configuration as the next command."""
        body = msgspec.json.encode(self.configuration)
        return decide(
            self.state,
            PutConfiguration(
                self.state.generation, self.configuration.generation, xxhash.xxh3_128_digest(body), body
            ),
        )

    def publish(self, decision: Decision) -> None:
        """Commit a decision and publish what follows from it."""
        self.state = self.state.after(self.state.sequence + 1, decision.changes)
        self.source.publish((self.state.sequence,), control_entries(self.state.entries))

    def change(self) -> bytes:
        """Change one route, all the way to the agent's copy; returns the update's frame."""
        self.configuration = deployment.changed_configuration(self.configuration, self.random)
        before = self.source.version
        self.publish(self.decided())
        frame = self.source.update_since(before).frame
        self.copy.apply(CODEC.decode(frame[4:]))
        return frame


def configuration(size: int, seed: int) -> Iterator[Row]:
    """A configuration of `size` routes."""
    pipeline = Pipeline(size, seed)
    body = msgspec.json.encode(pipeline.configuration)
    decision = pipeline.decided()
    append = REPLICATION.frame(Append(1, 1, decision.changes, 0))
    pipeline.publish(decision)
    whole = pipeline.source.update_since(NO_VERSION)
    pipeline.copy.apply(CODEC.decode(whole.frame[4:]))
    update = pipeline.change()
    yield Row("configuration", size, "body", len(body), "B", True)
    yield Row("configuration", size, "replicated to a backup for a change", len(append), "B", True)
    yield Row("configuration", size, "whole copy for an agent", len(whole.compressed_frame), "B", True)
    yield Row("configuration", size, "update of an agent for a change", len(update), "B", True)
    yield Row("configuration", size, "CPU of checking", processor_ms(lambda: _check(body), REPEATS), "ms")
    publish_ms = processor_ms(lambda: control_entries({CONFIGURATION_KEY: body}), REPEATS)
    yield Row("configuration", size, "CPU of making entries", publish_ms, "ms")
    yield from _agent(size, pipeline)


def _check(body: bytes) -> Configuration:
    return parse_configuration(body)


def _agent(size: int, pipeline: Pipeline) -> Iterator[Row]:
    agent = DataPlane(deployment.settings("agent", Address("127.0.0.1", 7000), [], "zone-00"))
    before = resident_bytes()
    agent.apply_control(pipeline.copy.version, pipeline.copy.entries)
    yield Row("configuration", size, "memory of an agent", (resident_bytes() - before) / 1024, "KB")
    copies = []
    for _ in range(REPEATS):
        pipeline.change()
        copies.append((pipeline.copy.version, pipeline.copy.entries))
    following = iter(copies)
    apply_ms = processor_ms(lambda: agent.apply_control(*next(following)), REPEATS)
    yield Row("configuration", size, "CPU of an agent for a change", apply_ms, "ms")


def day_of_changes(size: int, seed: int) -> Iterator[Row]:
    """`size` changes in a row: what they weigh for an agent, and whether anything grows with them."""
    pipeline = Pipeline(ROUTES_OF_DAY, seed)
    pipeline.publish(pipeline.decided())
    pipeline.copy.apply(CODEC.decode(pipeline.source.update_since(NO_VERSION).frame[4:]))
    before = resident_bytes()
    sent = sum(len(pipeline.change()) for _ in range(size))
    yield Row("changes", size, "sent to an agent", sent, "B", True)
    yield Row("changes", size, "entries of the control state", len(pipeline.state.entries), "entries", True)
    yield Row("changes", size, "memory gained", (resident_bytes() - before) / 1024, "KB")
