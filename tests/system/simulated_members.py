"""Real members in simulated time, on a simulated network that can be partitioned; every packet is encoded.

A run is determined by its seed. Times are in tenths of a millisecond, and all members share one clock.
"""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random

from nettledeal.membership.actions import SECOND, SendDatagram, Step, StreamRequest
from nettledeal.membership.cbor_codec import CborCodec
from nettledeal.membership.member import Member
from nettledeal.membership.member_info import Role
from nettledeal.membership.node import CLUSTER, timing_for
from nettledeal.membership.packets import MAX_STREAM_BYTES
from nettledeal.membership.view import Metadata

from .drawn_deployment import zone_of

HEARTBEAT_MS = 1200.0
CORES = 13
SEEDS = 3
FRONTEND_PORT = 8161
ONE_WAY_TENTHS = SECOND // 100
QUOTA_PERIOD_TENTHS = SECOND // 10


class Group:
    """Members on a network that delivers after `ONE_WAY_TENTHS`, except across a partition."""

    def __init__(self, size: int, seed: int):
        self.random = Random(seed)
        self.now = SECOND * 1_000
        self.codec = CborCodec()
        self.events: list[tuple[int, int, str, object]] = []
        self.event_count = 0
        self.members: dict[tuple[str, int], Member] = {}
        self.cut_off: frozenset[tuple[str, int]] = frozenset()
        self.quotas: dict[tuple[str, int], float] = {}  # share of the CPU, by member
        self.sent_bytes = 0
        self.seeds = [("10.1.0.0", 7722), ("10.1.0.1", 7722), ("10.1.0.2", 7722)][:SEEDS]
        for number in range(CORES + size):
            self.add(number)

    def add(self, number: int) -> tuple[str, int]:
        """Start the member of that number, or restart it."""
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
        """Advance the simulated time."""
        end = self.now + round(seconds * SECOND)
        while self.events and self.events[0][0] <= end:
            self.now, _, handler, arguments = heappop(self.events)
            pause = self._quota_pause(tuple(arguments[0]))
            if pause:
                self._schedule(pause, handler, *arguments)
            else:
                getattr(self, f"_{handler}")(*arguments)
        self.now = end

    def _quota_pause(self, address: tuple[str, int]) -> int:
        """How long a member whose CPU quota is spent is stopped from now on; 0 if it runs."""
        quota = self.quotas.get(address)
        if quota is None:
            return 0
        phase = (self.now + sum(address[0].encode())) % QUOTA_PERIOD_TENTHS
        return 0 if phase < quota * QUOTA_PERIOD_TENTHS else QUOTA_PERIOD_TENTHS - phase

    def _schedule(self, delay: int, handler: str, *arguments: object) -> None:
        # The method `_{handler}` is called after the delay; its first argument is the address of the member.
        self.event_count += 1
        heappush(self.events, (self.now + delay, self.event_count, handler, arguments))

    def _carry_out(self, address: tuple[str, int], step: Step) -> None:
        member = self.members[address]
        for action in step.actions:
            if isinstance(action, SendDatagram):
                raw = self.codec.encode(action.packet)
                self.sent_bytes += len(raw)
                if self._is_connected(address, action.address):
                    self._schedule(ONE_WAY_TENTHS, "deliver", tuple(action.address), address, raw)
            elif isinstance(action, StreamRequest):
                self._request(address, action)
        self._schedule(max(0, step.wake_at - self.now), "wake", address, member, step.wake_at)

    def _request(self, address: tuple[str, int], request: StreamRequest) -> None:
        raw = self.codec.encode(request.packet)
        self.sent_bytes += len(raw)
        if self._is_connected(address, request.address):
            self._schedule(2 * ONE_WAY_TENTHS, "serve", tuple(request.address), address, request, raw)
        else:
            self._schedule(SECOND, "answer", address, request, None)

    def _is_connected(self, source: tuple[str, int], target: tuple[str, int]) -> bool:
        return (source in self.cut_off) == (tuple(target) in self.cut_off)

    def _deliver(self, target: tuple[str, int], source: tuple[str, int], raw: bytes) -> None:
        member = self.members.get(target)
        if member is not None:
            packet = self.codec.decode(raw, CLUSTER, len(raw))
            self._carry_out(target, member.on_datagram(self.now, packet, source))

    def _serve(
        self, target: tuple[str, int], source: tuple[str, int], request: StreamRequest, raw: bytes
    ) -> None:
        member = self.members.get(target)
        if member is None:
            self._schedule(ONE_WAY_TENTHS, "answer", source, request, None)
            return
        answer, step = member.on_stream_request(self.now, self.codec.decode(raw, CLUSTER, MAX_STREAM_BYTES))
        self._carry_out(target, step)
        encoded = None if answer is None else self.codec.encode(answer)
        self.sent_bytes += len(encoded or b"")
        self._schedule(ONE_WAY_TENTHS, "answer", source, request, encoded)

    def _answer(self, address: tuple[str, int], request: StreamRequest, raw: bytes | None) -> None:
        member = self.members.get(address)
        if member is not None:
            packet = None if raw is None else self.codec.decode(raw, CLUSTER, MAX_STREAM_BYTES)
            self._carry_out(address, member.on_stream_response(self.now, request, packet))

    def _wake(self, address: tuple[str, int], member: Member, due: int) -> None:
        # Only the last requested wake-up of the current process is still valid.
        if self.members.get(address) is member and member.timers and member.timers[0][0] <= self.now <= due:
            self._carry_out(address, member.on_timer(self.now))

    def complete_after(self, wanted: int, limit_s: float) -> list[float]:
        """Seconds until each member knows `wanted` live ones, or the limit for a member that does not."""
        started, times = self.now, {}
        while len(times) < len(self.members) and self.now - started < limit_s * SECOND:
            self.run(0.25)
            for address, member in self.members.items():
                if address not in times and len(member.live_members()) == wanted:
                    times[address] = (self.now - started) / SECOND
        return [times.get(address, limit_s) for address in self.members]
