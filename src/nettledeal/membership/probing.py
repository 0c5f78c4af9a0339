"""Failure detection: one probe per protocol period, indirect probes through other members, and their
results."""

from __future__ import annotations

from collections import Counter

from nettledeal.membership.actions import StreamRequest
from nettledeal.membership.member_base import MIN_SAME_ZONE, SAME_ZONE_SHARE, MemberBase
from nettledeal.membership.packets import ACK, NACK, PING, PING_REQUEST, Packet
from nettledeal.membership.pending import Probe
from nettledeal.membership.view import MemberRecord, State
from nettledeal.net.address import Address

# Members asked to probe indirectly.
INDIRECT_PROBES = 3
# When at least the first number of members of one zone are suspected, others of it may have failed for the
# same reason (power, a link). This share of all probes then goes to that zone's unsuspected members;
# otherwise the loss of a zone would be detected one member at a time. A zone with fewer members than the
# third number is covered soon enough without.
MIN_SUSPECTED_IN_ZONE, SUSPECTED_ZONE_PROBE_SHARE, MIN_SUSPECTED_ZONE_SIZE = 2, 0.5, 6


class ProbingMixin(MemberBase):
    """At most one own probe is in progress; each ends before the next one starts."""

    def _probe_round(self) -> None:
        period = self._health_scaled(self.timing.period)
        self._schedule(self.now + period + round(0.2 * self.rng.random() * self.timing.period), "probe_round")
        if self.name_claim is not None:
            self._check_name_claim()
        record = self._next_target()
        if record is None:
            return
        self.sequence_number += 1
        self.probe = Probe(record, self.sequence_number, self.now)
        self._send(PING, record.address, self.sequence_number, record)
        self._schedule(
            self.now + self._health_scaled(self.timing.probe), "probe_indirectly", self.sequence_number
        )
        # Just before the next probe can start.
        self._schedule(self.now + period - 1, "end_probe", self.sequence_number)

    def _next_target(self) -> MemberRecord | None:
        """Round robin over all members, reshuffled after each pass, so that no member goes unprobed for long.
        Members of the own zone are probed more often, in passes of their own."""
        at_risk = self._unsuspected_in_suspected_zones()
        if at_risk and self.rng.random() < SUSPECTED_ZONE_PROBE_SHARE:
            return self.view.records[self.rng.choice(at_risk)]
        if len(self.same_zone_ring) >= MIN_SAME_ZONE and self.rng.random() < SAME_ZONE_SHARE:
            if self.same_zone_index >= len(self.same_zone_ring):
                self.same_zone_index = 0
                self.rng.shuffle(self.same_zone_ring)
            self.same_zone_index += 1
            return self.view.records[self.same_zone_ring[self.same_zone_index - 1]]
        if self.ring_index >= len(self.ring):
            self.ring_index = 0
            self.rng.shuffle(self.ring)
        self.ring_index += 1
        return self.view.records[self.ring[self.ring_index - 1]] if self.ring else None

    def _unsuspected_in_suspected_zones(self) -> list[str]:
        """Members not suspected themselves, of large zones in which several are."""
        if len(self.suspicions) < MIN_SUSPECTED_IN_ZONE:
            return []
        suspected_counts = Counter(self._zone_of(name) for name in self.suspicions)
        zones = {zone for zone, count in suspected_counts.items() if zone and count >= MIN_SUSPECTED_IN_ZONE}
        if not zones:
            return []
        members = [name for name in self.ring if self._zone_of(name) in zones]
        sizes = Counter(self._zone_of(name) for name in members)
        return [
            name
            for name in members
            if name not in self.suspicions and sizes[self._zone_of(name)] >= MIN_SUSPECTED_ZONE_SIZE
        ]

    def _zone_of(self, name: str) -> str:
        metadata = self.view.records[name].metadata
        return "" if metadata is None else metadata.zone

    def _probe_indirectly(self, sequence_number: int) -> None:
        # No ack has arrived in time: other members are asked to ping the target, and it is pinged over a
        # stream.
        probe = self.probe
        if probe is None or probe.sequence_number != sequence_number:
            return
        others = [name for name in self.ring if name != probe.record.name]
        for relay in self._sample(others, INDIRECT_PROBES):
            probe.relays += 1
            self._send(PING_REQUEST, relay.address, sequence_number, probe.record)
        # A stream may get through where datagrams are lost, and it also works without other members.
        self.actions.append(
            StreamRequest(probe.record.address, self._make_packet(PING, sequence_number, probe.record))
        )

    def _end_probe(self, sequence_number: int) -> None:
        # No ack has arrived by the end of the period: the local health falls, and the target is suspected.
        probe = self.probe
        if probe is None or probe.sequence_number != sequence_number:
            return
        self.probe = None
        # Relays that don't even send a nack are evidence against this member, not against the target.
        self.health.adjust(probe.relays - probe.nacks if probe.relays else 1)
        record = self.view.records.get(probe.record.name)
        # A target that has refuted or restarted meanwhile is alive; and a member that has received nothing
        # since it sent the probe has no evidence against anyone.
        if (
            record is None
            or not record.live
            or record.rank[:2] > probe.record.rank[:2]
            or self.last_heard_at <= probe.sent_at
        ):
            return
        self.health.suspicions_started += record.state == State.ALIVE
        self._declare(record, State.SUSPECT)

    def _on_ack(self, packet: Packet) -> None:
        probe = self.probe
        if probe is not None and packet.sequence_number == probe.sequence_number:
            self.probe = None
            self.health.adjust(-1)
        elif (requester := self.relayed_pings.pop(packet.sequence_number, None)) is not None:
            self._send(ACK, requester[0], requester[1])

    def _answer_ping(self, packet: Packet, source: Address) -> None:
        if self._is_own_name(packet.target):
            self._send(
                ACK,
                source,
                packet.sequence_number,
                first_record=self._record_unless_alive(packet.sender.name),
            )

    def _is_own_name(self, target: MemberRecord | None) -> bool:
        """Whether a ping is meant for this member: its address may have belonged to another one before, and
        pings for that one must not be answered."""
        return target is not None and target.name == self.name

    def _relay_ping(self, packet: Packet, source: Address) -> None:
        if packet.target is None or len(self.relayed_pings) > 64:
            return
        self.sequence_number += 1
        self.relayed_pings[self.sequence_number] = source, packet.sequence_number
        self._send(PING, packet.target.address, self.sequence_number, packet.target)
        self._schedule(self.now + round(0.8 * self.timing.probe), "send_nack", self.sequence_number)

    def _send_nack(self, sequence_number: int) -> None:
        """The target has not answered so far. The nack tells the requester that this relay is alive; an ack
        that arrives later is still passed on."""
        if (requester := self.relayed_pings.get(sequence_number)) is not None:
            self._send(NACK, requester[0], requester[1])
            self._schedule(self.now + self.timing.period, "drop_relayed_ping", sequence_number)

    def _drop_relayed_ping(self, sequence_number: int) -> None:
        self.relayed_pings.pop(sequence_number, None)
