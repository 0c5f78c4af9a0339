"""State, timers and sending shared by the parts of a member's state machine."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import heappush
from random import Random

from nettledeal.membership.actions import SECOND, Action, SendDatagram, Step, Timing
from nettledeal.membership.health import LocalHealth
from nettledeal.membership.packets import MAX_DATAGRAM_BYTES, PING, VERSION, Codec, MsgpackCodec, Packet
from nettledeal.membership.pending import Probe, Suspicion
from nettledeal.membership.piggyback import PiggybackQueue
from nettledeal.membership.view import MemberRecord, Metadata, OperatorOrder, State, View
from nettledeal.net.address import Address
from nettledeal.units import Time

# With at least this many other members in its zone, a member sends this share of its probes and gossip to
# them.
MIN_SAME_ZONE, SAME_ZONE_SHARE = 2, 0.75
# First delay before a member that has not joined contacts a seed again.
INITIAL_JOIN_BACKOFF_TENTHS = SECOND // 2


class MemberBase:
    """State of one member. The parts of the protocol are mixins on top of it; `Member` combines them."""

    def __init__(
        self,
        name: str,
        address: Address,
        cluster: str,
        seeds: Iterable[Address],
        timing: Timing,
        rng: Random,
        now: Time,
        zone_number: int = 0,
        codec: Codec | None = None,
        metadata: Metadata | None = None,
    ):
        self.codec = codec or MsgpackCodec()
        self.name, self.address, self.cluster = name, address, cluster
        self.timing, self.rng = timing, rng
        self.now = now
        self.seed_since: dict[Address, Time] = {}  # since when each seed has been one
        self.use_seeds(seeds)
        self.view, self.updates, self.health = View(), PiggybackQueue(timing.told), LocalHealth()
        self.own_record = MemberRecord(name, *address, now, 0, State.ALIVE, "", zone_number, metadata)
        self.clock_correction: Time = 0  # added to the host's clock, which may be set back
        self.silent = False  # it has left, or another process bears its name
        # A later process that is said to bear this member's name, and until when it is pinged.
        self.name_claim: tuple[MemberRecord, Time] | None = None
        self.ring: list[str] = []  # other live members, in probe order
        self.same_zone_ring: list[str] = []  # those of them in this member's zone
        self.ring_index = self.same_zone_index = 0
        self.probe: Probe | None = None
        # Pings sent for others, by own sequence number: the requester and its sequence number.
        self.relayed_pings: dict[int, tuple[Address, int]] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.last_heard_at: Time = -1  # when a message last showed that this member receives anything
        # When a member held dead last turned out to be alive.
        self.last_return_at: Time = now - timing.swap
        self.sequence_number = 0
        self.timers: list[tuple[Time, int, str, object]] = []
        self.timer_count = 0
        self.gossip_scheduled = False
        self.joined = not self.seeds
        self.joining = False  # whether another attempt to join is scheduled
        self.join_backoff = INITIAL_JOIN_BACKOFF_TENTHS
        # The first exchange comes early: when many members join at once, some miss others and would go on
        # missing them until the next full exchange. With digests it comes after most updates of a common
        # start have spread, because views that differ are sent in full.
        self.sync_interval = min(timing.swap, (10 if timing.compare else 4) * timing.period)
        self.actions: list[Action] = []

    def use_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the seeds; nobody is contacted."""
        self.seeds = [seed for seed in seeds if seed != self.address]
        self.seed_since = {seed: self.seed_since.get(seed, self.now) for seed in self.seeds}

    @property
    def is_receiving(self) -> bool:
        """Whether a recent message shows that this member receives anything at all."""
        return self.now - self.last_heard_at <= self._health_scaled(3 * self.timing.period)

    def _schedule(self, when: Time, handler: str, argument: object = None) -> None:
        # The method `_{handler}` is called at that time.
        self.timer_count += 1
        heappush(self.timers, (when, self.timer_count, handler, argument))

    def _jittered(self, span: Time) -> Time:
        """Between half and one and a half times the span, so that members started together don't act in
        step."""
        return max(1, round(span * (0.5 + self.rng.random())))

    def _health_scaled(self, span: Time) -> Time:
        return span * (1 + self.health.score)

    def _sample(self, names: list[str], count: int) -> list[MemberRecord]:
        return [self.view.records[name] for name in self.rng.sample(names, min(count, len(names)))]

    def _is_same_zone(self, record: MemberRecord) -> bool:
        """Whether the metadata of both name the same zone; False if either has no metadata."""
        own, other = self.own_record.metadata, record.metadata
        return own is not None and other is not None and own.zone == other.zone

    def _gossip_targets(self, count: int) -> list[MemberRecord]:
        """Mostly members of the own zone, as traffic between zones is expensive, and some drawn from all."""
        if len(self.same_zone_ring) < MIN_SAME_ZONE:
            return self._sample(self.ring, count)
        same_zone_count = sum(self.rng.random() < SAME_ZONE_SHARE for _ in range(count))
        targets = {record.name: record for record in self._sample(self.same_zone_ring, same_zone_count)}
        targets.update((record.name, record) for record in self._sample(self.ring, count - same_zone_count))
        return list(targets.values())

    def _make_packet(
        self,
        kind: str,
        sequence_number: int,
        target: MemberRecord | None = None,
        records: Iterable[MemberRecord] = (),
        orders: Iterable[OperatorOrder] = (),
    ) -> Packet:
        return Packet(
            VERSION, self.cluster, kind, sequence_number, self.own_record, target, list(records), list(orders)
        )

    def _record_unless_alive(self, name: str) -> MemberRecord | None:
        record = self.view.records.get(name)
        return record if record is not None and record.state != State.ALIVE else None

    def _send(
        self,
        kind: str,
        address: Address,
        sequence_number: int = 0,
        target: MemberRecord | None = None,
        first_record: MemberRecord | None = None,
    ) -> None:
        """Send a datagram filled up with piggybacked updates. `first_record` is always included; a ping
        includes what is held against its target, so that the target can refute it."""
        packet = self._make_packet(kind, sequence_number, target)
        if kind == PING and target is not None:
            first_record = self._record_unless_alive(target.name)
        if first_record is not None:
            packet.records.append(first_record)
        if len(self.updates):
            room_bytes = MAX_DATAGRAM_BYTES - len(self.codec.encode(packet)) - 8
            for update_kind, update in self.updates.take(room_bytes, len(self.ring) + 1):
                (packet.records if update_kind == "record" else packet.orders).append(update)
        self.actions.append(SendDatagram(address, packet))

    def _finish_step(self) -> Step:
        actions, self.actions = self.actions, []
        if self.silent:
            self.timers.clear()
        return Step(
            actions, (self.timers[0][0] if self.timers else self.now + SECOND) - self.clock_correction
        )
