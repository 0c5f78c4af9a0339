"""Members in virtual time: the same machines as on sockets, on a network and clocks that a seed makes bad.

A `Rehearsal` owns a heap of events and nothing else happens: two of one seed are equal event for event.
`drawn` makes a schedule of faults from a seed, `rehearse` plays it and says what of the promises did not
hold. Times are whole tenths of a millisecond.
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
    SendDatagram,
    Step,
    StreamRequest,
    Timing,
)
from nettledeal.membership.member import Member
from nettledeal.membership.view import MemberRecord, State
from nettledeal.units import Time

START: Time = 17_000_000_000_000
# What a stopped process finds in its socket when it goes on; more has been dropped by its kernel.
KEPT = 500
CALL_WITHIN = SECOND
# Of IP and UDP; those of TCP are more, and calls are rare.
HEADERS = 28
# Quick figures for schedules: what matters is their proportion.
KINDS = ("crash", "leave", "pause", "restart", "jump", "split", "deaf", "mute", "weather")
BRISK = Timing(period=2_000, probe=600, suspicion=12_000, spread=400, swap=40_000, keep=40_000_000)


@dataclass(frozen=True, slots=True)
class Weather:
    """Of every link; shares are of datagrams."""

    loss: float = 0.0
    repeats: float = 0.0
    delay: Time = 2
    jitter: Time = 8


@dataclass(slots=True)
class Node:
    number: int
    member: Member | None = None  # none once it has crashed
    paused: bool = False
    ahead: Time = 0  # its clock before the true one
    held: deque = field(default_factory=deque)  # what came while it was paused
    wake: Time = -1
    life: int = 0


@dataclass(frozen=True, slots=True)
class Fault:
    """`what` at `at`, to `who`, and undone at `until` where it can be."""

    what: str
    at: Time
    until: Time
    who: tuple[int, ...]
    figure: float = 0.0


class Rehearsal:
    def __init__(
        self,
        count: int,
        seed: object,
        timing: Timing = BRISK,
        build: Callable[..., Member] = Member,
        together: Time = 0,
        weigh: bool = False,
        seeds: int = 1,
        places: int = 2,
    ):
        self.chance = Random(f"{seed} network")
        self.seed, self.timing, self.build, self.weigh, self.seeds = seed, timing, build, weigh, seeds
        self.places = places
        self.now: Time = START
        self.events: list[tuple[Time, int, Callable, tuple]] = []
        self.count = 0
        self.weather = Weather()
        self.cuts: set[tuple[int, int]] = set()  # from, to
        self.nodes = [Node(n) for n in range(count)]
        self.changes: list[tuple[Time, int, MemberChanged]] = []  # true time, at whom, what
        self.orders: list[tuple[Time, int, Any]] = []
        self.usurped: list[tuple[Time, int]] = []
        self.sent = self.bytes = self.bytes_between = 0
        for node in self.nodes:
            self.at(self.now + round(self.chance.random() * together), self.begin, node.number)

    # What a schedule does.

    def at(self, when: Time, call: Callable, *arguments: Any) -> None:
        self.count += 1
        heappush(self.events, (when, self.count, call, arguments))

    def begin(self, n: int) -> None:
        """A new process at that place, under the same name."""
        node = self.nodes[n]
        node.life += 1
        node.held.clear()
        node.paused = False
        now = self.now + node.ahead
        node.member = self.build(
            f"m{n}",
            self.address(n),
            "rehearsal",
            [self.address(s) for s in range(self.seeds)],
            self.timing,
            Random(f"{self.seed} {n} {node.life}"),
            now,
            zone_number=n % self.places,
        )
        self._do(node, node.member.start(now))

    def crash(self, n: int) -> None:
        self.nodes[n].member = None

    def leave(self, n: int) -> None:
        node = self.nodes[n]
        if node.member is not None:
            self._do(node, node.member.leave(self.now + node.ahead))
            self.at(self.now + 1, self.crash, n)

    def pause(self, n: int) -> None:
        self.nodes[n].paused = True

    def go_on(self, n: int) -> None:
        node = self.nodes[n]
        node.paused = False
        if node.member is not None:
            while node.held:
                self._hand(node, *node.held.popleft())
            self._wake(n, node.life)

    def jump(self, n: int, by: Time) -> None:
        self.nodes[n].ahead += by
        node = self.nodes[n]
        if node.member is not None and not node.paused:
            self._wake(n, node.life)

    @staticmethod
    def address(n: int) -> tuple[str, int]:
        return f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", 7946

    def _number(self, address: tuple[str, int]) -> int:
        _, a, b, c = map(int, address[0].split("."))
        return a << 16 | b << 8 | c

    # What happens.

    def run(self, until: Time) -> None:
        events = self.events
        while events and events[0][0] <= until:
            self.now, _, call, arguments = heappop(events)
            call(*arguments)
        self.now = until

    def _do(self, node: Node, step: Step) -> None:
        for act in step.actions:
            if isinstance(act, SendDatagram):
                self._send(node.number, act)
            elif isinstance(act, StreamRequest):
                self._call(node, act)
            elif isinstance(act, MemberChanged):
                self.changes.append((self.now, node.number, act))
            elif isinstance(act, NameConflict):
                self.usurped.append((self.now, node.number))
            else:
                self.orders.append((self.now, node.number, act.order))
        wake = step.wake_at - node.ahead
        # The earliest one stands; what was to come later finds nothing to do.
        if node.wake <= self.now or wake < node.wake:
            node.wake = wake
            self.at(max(wake, self.now + 1), self._wake, node.number, node.life)

    def _wake(self, n: int, life: int) -> None:
        node = self.nodes[n]
        if node.member is not None and node.life == life and not node.paused:
            node.wake = -1
            self._do(node, node.member.on_timer(self.now + node.ahead))

    def _late(self) -> Time:
        return self.now + 1 + self.weather.delay + round(self.chance.random() * self.weather.jitter)

    def _send(self, n: int, act: SendDatagram) -> None:
        self.sent += 1
        if self.weigh:
            self._weigh(n, self._number(act.address), act.packet)
        to, weather = self._number(act.address), self.weather
        if (n, to) in self.cuts or to >= len(self.nodes) or self.chance.random() < weather.loss:
            return
        for _ in range(2 if self.chance.random() < weather.repeats else 1):
            self.at(self._late(), self._arrive, to, act.packet, self.address(n))

    def _weigh(self, n: int, to: int, packet: Any) -> None:
        size = len(self.nodes[n].member.codec.encode(packet)) + HEADERS
        self.bytes += size
        if n % self.places != to % self.places:
            self.bytes_between += size

    def _arrive(self, n: int, packet: Any, source: tuple[str, int]) -> None:
        node = self.nodes[n]
        if node.member is None:
            return
        if node.paused:
            if len(node.held) < KEPT:
                node.held.append((packet, source))
            return
        self._hand(node, packet, source)

    def _hand(self, node: Node, packet: Any, source: tuple[str, int]) -> None:
        self._do(node, node.member.on_datagram(self.now + node.ahead, packet, source))

    def _call(self, node: Node, act: StreamRequest) -> None:
        """A stream gets through whatever the loss, if late; a cut link or a stopped process say nothing."""
        n, to, life = node.number, self._number(act.address), node.life
        if self.weigh:
            self._weigh(n, to, act.packet)
        if to >= len(self.nodes):
            return
        if (n, to) in self.cuts or (to, n) in self.cuts:
            self.at(self.now + CALL_WITHIN, self._answered, n, life, act, None, False)
        elif self.nodes[to].member is None:
            self.at(self._late(), self._answered, n, life, act, None, True)
        elif self.nodes[to].paused:
            self.at(self.now + CALL_WITHIN, self._answered, n, life, act, None, False)
        else:
            self.at(self._late() + 3 * self.weather.delay, self._called, n, life, act, to)

    def _called(self, n: int, life: int, act: StreamRequest, to: int) -> None:
        there = self.nodes[to]
        if there.member is None or there.paused:
            self.at(self.now + CALL_WITHIN, self._answered, n, life, act, None, there.member is None)
            return
        answer, step = there.member.on_stream_request(self.now + there.ahead, act.packet)
        if self.weigh and answer is not None:
            self._weigh(to, n, answer)
        self._do(there, step)
        self.at(self._late(), self._answered, n, life, act, answer, False)

    def _answered(self, n: int, life: int, act: StreamRequest, answer: Any, refused: bool) -> None:
        node = self.nodes[n]
        if node.member is not None and node.life == life and not node.paused:
            self._do(node, node.member.on_stream_response(self.now + node.ahead, act, answer, refused))

    # What came of it.

    @property
    def up(self) -> list[Node]:
        return [node for node in self.nodes if node.member is not None]

    def play(self, faults: Sequence[Fault]) -> None:
        for fault in faults:
            self.at(START + fault.at, self._break, fault)

    def _break(self, fault: Fault) -> None:
        end = START + fault.until
        for n in fault.who if fault.what in ("crash", "leave", "pause", "restart", "jump") else ():
            match fault.what:
                case "crash":
                    self.crash(n)
                case "leave":
                    self.leave(n)
                case "restart":
                    self.crash(n)
                    self.at(end, self.begin, n)
                case "pause":
                    self.pause(n)
                    self.at(end, self.go_on, n)
                case "jump":
                    self.jump(n, round(fault.figure))
        others = [n for n in range(len(self.nodes)) if n not in fault.who]
        ways = {
            "split": [way for one in fault.who for other in others for way in ((one, other), (other, one))],
            "deaf": [(other, one) for one in fault.who for other in others],
            "mute": [(one, other) for one in fault.who for other in others[: len(others) // 2]],
        }.get(fault.what, ())
        if ways:
            self.cuts.update(ways)
            self.at(end, self.cuts.difference_update, ways)
        if fault.what == "weather":
            self.weather = Weather(
                loss=fault.figure,
                repeats=fault.figure / 2,
                delay=round(400 * fault.figure),
                jitter=round(2_000 * fault.figure),
            )
            self.at(end, self._clear)

    def _clear(self) -> None:
        self.weather = Weather()


def drawn(seed: int, count: int, length: Time) -> list[Fault]:
    """One to five faults of any kind, to any of them, that overlap as they will; all end with the length."""
    chance, found = Random(f"{seed} faults"), []
    for _ in range(chance.randint(1, 5)):
        what = chance.choice(KINDS)
        at = SECOND + round(chance.random() * 0.6 * length)
        until = min(length, at + round(chance.random() ** 2 * length) + SECOND // 10)
        # Where all seeds are gone for good, nobody can join: one stays, or comes back.
        first = 1 if what in ("crash", "leave") else 0
        who = tuple(chance.sample(range(first, count), chance.randint(1, max(1, count // 2))))
        figure = chance.uniform(-30, 60) * SECOND if what == "jump" else chance.uniform(0.05, 0.4)
        found.append(Fault(what, at, until, who, figure))
    return sorted(found, key=lambda fault: fault.at)


def promises(rehearsal: Rehearsal) -> list[str]:
    """What does not hold of the views now that all faults are over; empty where all is well."""
    up = rehearsal.up
    true = {f"m{node.number}": node.member.own_record.started_at for node in up}
    broken = []
    for node in up:
        member = node.member
        if member.silent:
            broken.append(f"m{node.number} says nothing, and nobody took its place")
            continue
        for name, life in true.items():
            word = member.own_record if name == member.name else member.view.records.get(name)
            if word is None or not word.live or word.started_at != life:
                broken.append(f"m{node.number} holds live {name} for {_spoken(word)}")
        for word in member.view.live_records():
            if word.name not in true:
                broken.append(f"m{node.number} holds crashed {word.name} for {_spoken(word)}")
    words = [
        {word.name: word.rank for word in (*node.member.view.live_records(), node.member.own_record)}
        for node in up
    ]
    if not broken and any(other != words[0] for other in words[1:]):
        broken.append("views differ")
    return broken


def _spoken(word: MemberRecord | None) -> str:
    return "unknown" if word is None else State(word.state).name.lower()


def rehearse(
    seed: int,
    count: int = 6,
    build: Callable[..., Member] = Member,
    length: Time = 12 * SECOND,
    quiet: Time = 24 * SECOND,
) -> list[str]:
    """Plays the schedule of that seed; what of the promises is broken `quiet` after its last fault."""
    faults = drawn(seed, count, length)
    rehearsal = Rehearsal(count, seed, build=build, together=SECOND, seeds=2)
    rehearsal.play(faults)
    rehearsal.run(START + length + quiet)
    return promises(rehearsal)


def many(play: Callable[[int], list[str]], seeds: Iterable[int]) -> Iterator[tuple[int, list[str]]]:
    """Schedules on all cores; those of which a promise did not hold, with what."""
    with multiprocessing.get_context("spawn").Pool() as pool:
        for seed, broken in pool.imap_unordered(partial(_played, play), seeds, 20):
            if broken:
                yield seed, broken


def _played(play: Callable[[int], list[str]], seed: int) -> tuple[int, list[str]]:
    return seed, play(seed)
