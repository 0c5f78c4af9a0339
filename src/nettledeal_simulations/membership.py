"""Membership in virtual time: the members' protocol code on a simulated network with faulty links and clocks.

All activity in a `Simulation` comes from one event heap, so two runs with the same seed are identical, event
for event. `generate_faults` makes a fault schedule from a seed; `run_schedule` runs it and returns the
invariants that were violated. Times are integers in tenths of a millisecond.
"""

from __future__ import annotations

import multiprocessing
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from random import Random
from typing import Any

from nettledeal.membership.actions import (
    SECOND,
    MemberChanged,
    NameConflict,
    OrderReceived,
    SendDatagram,
    Step,
    StreamRequest,
    Timing,
)
from nettledeal.membership.member import Member
from nettledeal.membership.view import MemberRecord, State
from nettledeal.units import Time

START: Time = 17_000_000_000_000
# Datagrams that a paused process finds in its socket buffer when it resumes; the kernel drops the rest.
MAX_QUEUED_DATAGRAMS = 500
STREAM_TIMEOUT = SECOND
# IP and UDP headers. TCP headers are larger, but stream requests are rare.
HEADER_BYTES = 28
FAULT_KINDS = ("crash", "leave", "pause", "restart", "jump", "split", "deaf", "mute", "weather")
# Shorter than in production so that schedules run fast; only the proportions between the values matter.
FAST_TIMING = Timing(period=2_000, probe=600, suspicion=12_000, spread=400, swap=40_000, keep=40_000_000)


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """Conditions on every link; `loss` and `duplicates` are fractions of the datagrams."""

    loss: float = 0.0
    duplicates: float = 0.0
    delay: Time = 2
    jitter: Time = 8


@dataclass(slots=True)
class Node:
    number: int
    member: Member | None = None  # None after a crash
    paused: bool = False
    clock_offset: Time = 0  # of its clock from the simulation's
    queued_datagrams: deque = field(default_factory=deque)  # received while paused
    wake_at: Time = -1
    starts: int = 0  # processes started so far; events of earlier processes are ignored


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of `kind` on the given nodes from `begins_at`, undone at `ends_at` if it can be undone.

    Both times count from `START`. `magnitude` is the clock step of a "jump" and the loss of "weather".
    """

    kind: str
    begins_at: Time
    ends_at: Time
    node_numbers: tuple[int, ...]
    magnitude: float = 0.0


class Simulation:
    """A group of members on a simulated network.

    The nodes start at random times within `start_spread`; the first `seed_count` are the seeds of all.
    `measure_bytes` encodes each packet to count its bytes.
    """

    def __init__(
        self,
        count: int,
        seed: object,
        timing: Timing = FAST_TIMING,
        build: Callable[..., Member] = Member,
        start_spread: Time = 0,
        measure_bytes: bool = False,
        seed_count: int = 1,
        zone_count: int = 2,
    ):
        self.rng = Random(f"{seed} network")
        self.seed, self.timing, self.build, self.measure_bytes, self.seed_count = (
            seed,
            timing,
            build,
            measure_bytes,
            seed_count,
        )
        self.zone_count = zone_count
        self.now: Time = START
        self.events: list[tuple[Time, int, Callable, tuple]] = []
        self.event_count = 0
        self.link_conditions = LinkConditions()
        self.cut_links: set[tuple[int, int]] = set()  # (sender, receiver)
        self.nodes = [Node(n) for n in range(count)]
        self.changes: list[tuple[Time, int, MemberChanged]] = []  # simulation time, observing node, change
        self.orders: list[tuple[Time, int, Any]] = []
        self.name_conflicts: list[tuple[Time, int]] = []
        self.datagrams_sent = self.bytes_sent = self.bytes_between_zones = 0
        for node in self.nodes:
            self.schedule(self.now + round(self.rng.random() * start_spread), self.start, node.number)

    # Operations of schedules and tests.

    def schedule(self, when: Time, callback: Callable, *arguments: Any) -> None:
        self.event_count += 1
        heappush(self.events, (when, self.event_count, callback, arguments))

    def start(self, n: int) -> None:
        """Start a new process on a node, under the same name as any earlier one."""
        node = self.nodes[n]
        node.starts += 1
        node.queued_datagrams.clear()
        node.paused = False
        now = self.now + node.clock_offset
        node.member = self.build(
            f"m{n}",
            self.address(n),
            "rehearsal",
            [self.address(s) for s in range(self.seed_count)],
            self.timing,
            Random(f"{self.seed} {n} {node.starts}"),
            now,
            zone_number=n % self.zone_count,
        )
        self.perform(node, node.member.start(now))

    def crash(self, n: int) -> None:
        self.nodes[n].member = None

    def leave(self, n: int) -> None:
        node = self.nodes[n]
        if node.member is not None:
            self.perform(node, node.member.leave(self.now + node.clock_offset))
            self.schedule(self.now + 1, self.crash, n)

    def pause(self, n: int) -> None:
        self.nodes[n].paused = True

    def resume(self, n: int) -> None:
        node = self.nodes[n]
        node.paused = False
        if node.member is not None:
            while node.queued_datagrams:
                self._handle_datagram(node, *node.queued_datagrams.popleft())
            self._on_timer(n, node.starts)

    def step_clock(self, n: int, by: Time) -> None:
        self.nodes[n].clock_offset += by
        node = self.nodes[n]
        if node.member is not None and not node.paused:
            self._on_timer(n, node.starts)

    @staticmethod
    def address(n: int) -> tuple[str, int]:
        return f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", 7946

    def _node_number(self, address: tuple[str, int]) -> int:
        _, a, b, c = map(int, address[0].split("."))
        return a << 16 | b << 8 | c

    # Event handling.

    def run(self, until: Time) -> None:
        events = self.events
        while events and events[0][0] <= until:
            self.now, _, callback, arguments = heappop(events)
            callback(*arguments)
        self.now = until

    def perform(self, node: Node, step: Step) -> None:
        for action in step.actions:
            if isinstance(action, SendDatagram):
                self._send_datagram(node.number, action)
            elif isinstance(action, StreamRequest):
                self._send_stream_request(node, action)
            elif isinstance(action, MemberChanged):
                self.changes.append((self.now, node.number, action))
            elif isinstance(action, NameConflict):
                self.name_conflicts.append((self.now, node.number))
            elif isinstance(action, OrderReceived):
                self.orders.append((self.now, node.number, action.order))
        wake_at = step.wake_at - node.clock_offset
        # Only an earlier timer is scheduled; a later one that is already in the heap does no harm.
        if node.wake_at <= self.now or wake_at < node.wake_at:
            node.wake_at = wake_at
            self.schedule(max(wake_at, self.now + 1), self._on_timer, node.number, node.starts)

    def _on_timer(self, n: int, starts: int) -> None:
        node = self.nodes[n]
        if node.member is not None and node.starts == starts and not node.paused:
            node.wake_at = -1
            self.perform(node, node.member.on_timer(self.now + node.clock_offset))

    def _arrival_time(self) -> Time:
        return (
            self.now + 1 + self.link_conditions.delay + round(self.rng.random() * self.link_conditions.jitter)
        )

    def _send_datagram(self, n: int, action: SendDatagram) -> None:
        self.datagrams_sent += 1
        if self.measure_bytes:
            self._count_bytes(n, self._node_number(action.address), action.packet)
        to, conditions = self._node_number(action.address), self.link_conditions
        if (n, to) in self.cut_links or to >= len(self.nodes) or self.rng.random() < conditions.loss:
            return
        for _ in range(2 if self.rng.random() < conditions.duplicates else 1):
            self.schedule(self._arrival_time(), self._on_datagram, to, action.packet, self.address(n))

    def _count_bytes(self, n: int, to: int, packet: Any) -> None:
        size = len(self.nodes[n].member.codec.encode(packet)) + HEADER_BYTES
        self.bytes_sent += size
        if n % self.zone_count != to % self.zone_count:
            self.bytes_between_zones += size

    def _on_datagram(self, n: int, packet: Any, source: tuple[str, int]) -> None:
        node = self.nodes[n]
        if node.member is None:
            return
        if node.paused:
            if len(node.queued_datagrams) < MAX_QUEUED_DATAGRAMS:
                node.queued_datagrams.append((packet, source))
            return
        self._handle_datagram(node, packet, source)

    def _handle_datagram(self, node: Node, packet: Any, source: tuple[str, int]) -> None:
        self.perform(node, node.member.on_datagram(self.now + node.clock_offset, packet, source))

    def _send_stream_request(self, node: Node, action: StreamRequest) -> None:
        """A stream request is delayed but never lost; over a cut link or to a paused process it times out."""
        n, to, starts = node.number, self._node_number(action.address), node.starts
        if self.measure_bytes:
            self._count_bytes(n, to, action.packet)
        if to >= len(self.nodes):
            return
        if (n, to) in self.cut_links or (to, n) in self.cut_links:
            self.schedule(self.now + STREAM_TIMEOUT, self._on_stream_response, n, starts, action, None, False)
        elif self.nodes[to].member is None:
            self.schedule(self._arrival_time(), self._on_stream_response, n, starts, action, None, True)
        elif self.nodes[to].paused:
            self.schedule(self.now + STREAM_TIMEOUT, self._on_stream_response, n, starts, action, None, False)
        else:
            self.schedule(
                self._arrival_time() + 3 * self.link_conditions.delay,
                self._on_stream_request,
                n,
                starts,
                action,
                to,
            )

    def _on_stream_request(self, n: int, starts: int, action: StreamRequest, to: int) -> None:
        receiver = self.nodes[to]
        if receiver.member is None or receiver.paused:
            self.schedule(
                self.now + STREAM_TIMEOUT,
                self._on_stream_response,
                n,
                starts,
                action,
                None,
                receiver.member is None,
            )
            return
        response, step = receiver.member.on_stream_request(self.now + receiver.clock_offset, action.packet)
        if self.measure_bytes and response is not None:
            self._count_bytes(to, n, response)
        self.perform(receiver, step)
        self.schedule(self._arrival_time(), self._on_stream_response, n, starts, action, response, False)

    def _on_stream_response(
        self, n: int, starts: int, action: StreamRequest, response: Any, refused: bool
    ) -> None:
        node = self.nodes[n]
        if node.member is not None and node.starts == starts and not node.paused:
            self.perform(
                node,
                node.member.on_stream_response(self.now + node.clock_offset, action, response, refused),
            )

    @property
    def running_nodes(self) -> list[Node]:
        return [node for node in self.nodes if node.member is not None]

    # Faults.

    def schedule_faults(self, faults: Sequence[Fault]) -> None:
        for fault in faults:
            self.schedule(START + fault.begins_at, self._inject, fault)

    def _inject(self, fault: Fault) -> None:
        end = START + fault.ends_at
        for n in fault.node_numbers if fault.kind in ("crash", "leave", "pause", "restart", "jump") else ():
            match fault.kind:
                case "crash":
                    self.crash(n)
                case "leave":
                    self.leave(n)
                case "restart":
                    self.crash(n)
                    self.schedule(end, self.start, n)
                case "pause":
                    self.pause(n)
                    self.schedule(end, self.resume, n)
                case "jump":
                    self.step_clock(n, round(fault.magnitude))
        others = [n for n in range(len(self.nodes)) if n not in fault.node_numbers]
        links = {
            "split": [
                link
                for one in fault.node_numbers
                for other in others
                for link in ((one, other), (other, one))
            ],
            "deaf": [(other, n) for n in fault.node_numbers for other in others],
            "mute": [(n, other) for n in fault.node_numbers for other in others[: len(others) // 2]],
        }.get(fault.kind, ())
        if links:
            self.cut_links.update(links)
            self.schedule(end, self.cut_links.difference_update, links)
        if fault.kind == "weather":
            self.link_conditions = LinkConditions(
                loss=fault.magnitude,
                duplicates=fault.magnitude / 2,
                delay=round(400 * fault.magnitude),
                jitter=round(2_000 * fault.magnitude),
            )
            self.schedule(end, self._reset_link_conditions)

    def _reset_link_conditions(self) -> None:
        self.link_conditions = LinkConditions()


def generate_faults(seed: int, count: int, length: Time) -> list[Fault]:
    """One to five faults of random kinds on random nodes. They may overlap; all end within `length`."""
    rng, faults = Random(f"{seed} faults"), []
    for _ in range(rng.randint(1, 5)):
        kind = rng.choice(FAULT_KINDS)
        begins_at = SECOND + round(rng.random() * 0.6 * length)
        ends_at = min(length, begins_at + round(rng.random() ** 2 * length) + SECOND // 10)
        # Nobody could join if all seeds were gone for good, so node 0 never crashes or leaves.
        first = 1 if kind in ("crash", "leave") else 0
        node_numbers = tuple(rng.sample(range(first, count), rng.randint(1, max(1, count // 2))))
        magnitude = rng.uniform(-30, 60) * SECOND if kind == "jump" else rng.uniform(0.05, 0.4)
        faults.append(Fault(kind, begins_at, ends_at, node_numbers, magnitude))
    return sorted(faults, key=lambda fault: fault.begins_at)


def find_violations(simulation: Simulation) -> list[str]:
    """The invariants that the views violate now that all faults have ended; empty if there are none.

    Everyone sees each running member as live with its current process, nobody sees a crashed member as live,
    and all views are equal.
    """
    running = simulation.running_nodes
    start_times = {f"m{node.number}": node.member.own_record.started_at for node in running}
    violations = []
    for node in running:
        member = node.member
        if member.silent:
            violations.append(f"m{node.number} is silent although no other process took its name")
            continue
        for name, started_at in start_times.items():
            record = member.own_record if name == member.name else member.view.records.get(name)
            if record is None or not record.live or record.started_at != started_at:
                violations.append(f"m{node.number} sees running {name} as {_state_name(record)}")
        for record in member.view.live_records():
            if record.name not in start_times:
                violations.append(f"m{node.number} sees crashed {record.name} as {_state_name(record)}")
    ranks = [
        {record.name: record.rank for record in (*node.member.view.live_records(), node.member.own_record)}
        for node in running
    ]
    if not violations and any(other != ranks[0] for other in ranks[1:]):
        violations.append("views differ")
    return violations


def _state_name(record: MemberRecord | None) -> str:
    return "unknown" if record is None else State(record.state).name.lower()


def run_schedule(
    seed: int,
    count: int = 6,
    build: Callable[..., Member] = Member,
    length: Time = 12 * SECOND,
    settle_time: Time = 24 * SECOND,
) -> list[str]:
    """Run the fault schedule of a seed; returns the violations that are left `settle_time` after `length`."""
    faults = generate_faults(seed, count, length)
    simulation = Simulation(count, seed, build=build, start_spread=SECOND, seed_count=2)
    simulation.schedule_faults(faults)
    simulation.run(START + length + settle_time)
    return find_violations(simulation)


def run_schedules(
    run_one: Callable[[int], list[str]], seeds: Iterable[int]
) -> Iterator[tuple[int, list[str]]]:
    """Run schedules on all cores; yields each seed that violated an invariant, with its violations."""
    with multiprocessing.get_context("spawn").Pool() as pool:
        for seed, violations in pool.imap_unordered(partial(_run_with_seed, run_one), seeds, 20):
            if violations:
                yield seed, violations


def _run_with_seed(run_one: Callable[[int], list[str]], seed: int) -> tuple[int, list[str]]:
    return seed, run_one(seed)
