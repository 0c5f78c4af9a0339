"""Real members in simulated time, with every packet encoded; a cut can go between them.

All follows from the seed. Times are those of the members' own clocks, in tenths of a millisecond.
"""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random

from nettledeal.membership.cbor_codec import CborCodec
from nettledeal.membership.member import Member
from nettledeal.membership.node import CLUSTER, Role, timing_for
from nettledeal.membership.packets import MOST_STREAM
from nettledeal.membership.steps import SECOND, Call, Send, Step
from nettledeal.membership.view import Metadata

from .drawn_deployment import zone_of

HEARTBEAT_MS = 1200.0
CORES = 13
SEEDS = 3
FRONTEND_PORT = 8161
ONE_WAY = SECOND // 100
QUOTA_PERIOD = SECOND // 10


class Group:
    """Members on a network that delivers after `ONE_WAY`, except across a cut."""

    def __init__(self, size: int, seed: int):
        self.random = Random(seed)
        self.now = SECOND * 1_000
        self.codec = CborCodec()
        self.events: list[tuple[int, int, str, object]] = []
        self.numbers = 0
        self.members: dict[tuple[str, int], Member] = {}
        self.cut: frozenset[tuple[str, int]] = frozenset()
        self.quotas: dict[tuple[str, int], float] = {}  # share of the processor, by member
        self.sent_bytes = 0
        self.seeds = [("10.1.0.0", 7722), ("10.1.0.1", 7722), ("10.1.0.2", 7722)][:SEEDS]
        for number in range(CORES + size):
            self.add(number)

    def add(self, number: int) -> tuple[str, int]:
        """Start the member of that number, anew if there was one."""
        core = number < CORES
        address = (f"10.1.{number // 256}.{number % 256}", 7722 if core else 7723)
        role, frontend_port = (Role.CORE, 0) if core else (Role.EDGE, FRONTEND_PORT)
        member = Member(
            f"machine-{number:04d}",
            address,
            CLUSTER,
            self.seeds,
            timing_for(HEARTBEAT_MS),
            Random(self.random.getrandbits(64)),
            self.now,
            codec=self.codec,
            metadata=Metadata(role, zone_of(number), frontend_port),
        )
        self.members[address] = member
        self._carry_out(address, member.start(self.now))
        return address

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + round(seconds * SECOND)
        while self.events and self.events[0][0] <= end:
            self.now, _, what, about = heappop(self.events)
            pause = self._pause(tuple(about[0]))
            if pause:
                self._put(pause, what, *about)
            else:
                getattr(self, f"_{what}")(*about)
        self.now = end

    def _pause(self, address: tuple[str, int]) -> int:
        """How long a member whose processor quota is spent does nothing from now on."""
        quota = self.quotas.get(address)
        if quota is None:
            return 0
        phase = (self.now + sum(address[0].encode())) % QUOTA_PERIOD
        return 0 if phase < quota * QUOTA_PERIOD else QUOTA_PERIOD - phase

    def _put(self, after: int, what: str, *about: object) -> None:
        self.numbers += 1
        heappush(self.events, (self.now + after, self.numbers, what, about))

    def _carry_out(self, address: tuple[str, int], step: Step) -> None:
        member = self.members[address]
        for act in step.acts:
            if isinstance(act, Send):
                raw = self.codec.encode(act.packet)
                self.sent_bytes += len(raw)
                if self._passes(address, act.address):
                    self._put(ONE_WAY, "deliver", tuple(act.address), address, raw)
            elif isinstance(act, Call):
                self._call(address, act)
        self._put(max(0, step.wake - self.now), "wake", address, member, step.wake)

    def _call(self, address: tuple[str, int], act: Call) -> None:
        raw = self.codec.encode(act.packet)
        self.sent_bytes += len(raw)
        if self._passes(address, act.address):
            self._put(2 * ONE_WAY, "serve", tuple(act.address), address, act, raw)
        else:
            self._put(SECOND, "answer", address, act, None)

    def _passes(self, source: tuple[str, int], target: tuple[str, int]) -> bool:
        return (source in self.cut) == (tuple(target) in self.cut)

    def _deliver(self, target: tuple[str, int], source: tuple[str, int], raw: bytes) -> None:
        member = self.members.get(target)
        if member is not None:
            packet = self.codec.decode(raw, CLUSTER, len(raw))
            self._carry_out(target, member.heard(self.now, packet, source))

    def _serve(self, target: tuple[str, int], source: tuple[str, int], act: Call, raw: bytes) -> None:
        member = self.members.get(target)
        if member is None:
            self._put(ONE_WAY, "answer", source, act, None)
            return
        answer, step = member.called(self.now, self.codec.decode(raw, CLUSTER, MOST_STREAM))
        self._carry_out(target, step)
        encoded = None if answer is None else self.codec.encode(answer)
        self.sent_bytes += len(encoded or b"")
        self._put(ONE_WAY, "answer", source, act, encoded)

    def _answer(self, address: tuple[str, int], act: Call, raw: bytes | None) -> None:
        member = self.members.get(address)
        if member is not None:
            packet = None if raw is None else self.codec.decode(raw, CLUSTER, MOST_STREAM)
            self._carry_out(address, member.answered(self.now, act, packet))

    def _wake(self, address: tuple[str, int], member: Member, due: int) -> None:
        # Of the wakes that were asked for only the last one of this life still holds.
        if self.members.get(address) is member and member.timers and member.timers[0][0] <= self.now <= due:
            self._carry_out(address, member.wake(self.now))

    def complete_after(self, wanted: int, limit_s: float) -> list[float]:
        """Seconds until each member knows `wanted` live ones; those that do not within the limit count it."""
        started, times = self.now, {}
        while len(times) < len(self.members) and self.now - started < limit_s * SECOND:
            self.run(0.25)
            for address, member in self.members.items():
                if address not in times and len(member.live()) == wanted:
                    times[address] = (self.now - started) / SECOND
        return [times.get(address, limit_s) for address in self.members]
