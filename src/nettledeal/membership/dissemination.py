"""Dissemination of member records and operator orders: applying them from packets, refuting wrong ones, and
gossiping them on."""

from __future__ import annotations

from math import ceil, log10

import msgspec

from nettledeal.membership.actions import SECOND, MemberChanged, NameConflict, OrderReceived
from nettledeal.membership.member_base import MemberBase
from nettledeal.membership.packets import ACK, GOSSIP, PING, SYNC_RESPONSE, Packet
from nettledeal.membership.view import (
    MAX_INCARNATION,
    MemberRecord,
    OperatorOrder,
    State,
    is_valid_order,
    is_valid_record,
)
from nettledeal.net.address import Address
from nettledeal.units import Time

# Members that a gossip round is sent to.
GOSSIP_FANOUT = 3
# Updates dated further in the future are rejected: the clocks of machines differ by less.
MAX_CLOCK_SKEW_TENTHS = 3600 * SECOND


class DisseminationMixin(MemberBase):
    """Applies received updates, refutes wrong ones about this member, and gossips the others."""

    def _apply_packet(self, packet: Packet, source: Address) -> bool:
        """Apply the sender's record and the piggybacked updates that any packet carries. Returns False if the
        packet must not be handled further: its sender has this member's name, is invalid, outdated, or has
        left."""
        sender = packet.sender
        if self.silent:
            return False
        if not is_valid_record(sender, self.now + MAX_CLOCK_SKEW_TENTHS) or sender.state not in (
            State.ALIVE,
            State.LEFT,
        ):
            self.health.count_rejected("sender of no sense")
            return False
        if sender.name == self.name:
            if sender.started_at == self.own_record.started_at:
                return False  # an echo of an own packet
            claim = self.name_claim and self.name_claim[0]
            if claim and sender.started_at == claim.started_at and source == claim.address:
                self.silent = True
                self.actions.append(NameConflict(sender))
            elif sender.started_at < self.own_record.started_at and packet.kind == PING:
                # The earlier process of this name checks this one's claim to it.
                self._send(ACK, source, packet.sequence_number)
            else:
                self._handle_update_about_self(sender)
            return False
        self.last_heard_at = self.now
        if (
            self.probe is not None
            and packet.kind != ACK
            and process_identity(self.probe.record) == process_identity(sender)
        ):
            # The probed member is alive, whether or not it receives the pings: a one-way cut is no death.
            self.probe = None
        known = self.view.records.get(sender.name)
        if known is not None and known.started_at > sender.started_at:
            # A later process bears the sender's name. The sender has to be told, or it would go on for ever.
            self._send(GOSSIP, source, first_record=known)
            return False
        self._apply_record(sender)
        if sender.state == State.LEFT:
            return False
        # The full view that a joining member gets first is known to all the others, and is not gossiped.
        gossip = packet.kind != SYNC_RESPONSE or self.joined
        for record in packet.records:
            self._apply_record(record, gossip)
        for order in packet.orders:
            self._apply_order(order)
        return True

    def _apply_record(self, record: MemberRecord, gossip: bool = True) -> None:
        if not is_valid_record(record, self.now + MAX_CLOCK_SKEW_TENTHS):
            self.health.count_rejected("news of no sense")
            return
        if record.name == self.name:
            self._handle_update_about_self(record)
            return
        known = self.view.records.get(record.name)
        previous_state = known.state if known is not None and known.started_at == record.started_at else None
        if self.view.merge(record, self.now) is None:
            if (
                known is not None
                and record.state == State.SUSPECT
                and process_identity(known) == process_identity(record)
                and (known.state, known.incarnation) == (record.state, record.incarnation)
            ):
                self._confirm_suspicion(record)
            return
        if gossip:
            self._queue_record(
                record, minor=known is not None and previous_state == record.state == State.ALIVE
            )
        self.suspicions.pop(record.name, None)
        if record.live and (known is None or not known.live):
            # Inserted at a random position of the probe order, as in SWIM.
            self.ring.insert(self.rng.randint(0, len(self.ring)), record.name)
        elif not record.live and known is not None and known.live:
            index = self.ring.index(record.name)
            del self.ring[index]
            self.ring_index -= index < self.ring_index
        self._update_same_zone_ring(record)
        if previous_state == State.DEAD and record.live:
            self._on_dead_member_returned()
        if record.state == State.SUSPECT:
            self._start_suspicion(record)
        if (
            previous_state != record.state
            or known.started_at != record.started_at
            or known.metadata != record.metadata
        ):
            self.actions.append(MemberChanged(record, previous_state))

    def _update_same_zone_ring(self, record: MemberRecord) -> None:
        belongs = record.live and self._is_same_zone(record)
        if belongs and record.name not in self.same_zone_ring:
            self.same_zone_ring.insert(self.rng.randint(0, len(self.same_zone_ring)), record.name)
        elif not belongs and record.name in self.same_zone_ring:
            index = self.same_zone_ring.index(record.name)
            del self.same_zone_ring[index]
            self.same_zone_index -= index < self.same_zone_index

    def _declare(self, record: MemberRecord, state: State) -> None:
        """Declare another member to be in that state: applied to the own view first, and gossiped."""
        self._apply_record(msgspec.structs.replace(record, state=state, accuser=self.name))

    def _handle_update_about_self(self, record: MemberRecord) -> None:
        """Refute a wrong update about this member with a higher incarnation or a later start time."""
        if self.silent or record.rank <= self.own_record.rank:
            return
        if record.started_at > self.own_record.started_at:
            # A later process of this name. At this member's own address it was an earlier process of its own,
            # started before the clock went back. At another address it may be a false claim: that address is
            # pinged first, and the claim is overridden if nobody answers.
            if record.address == self.own_record.address:
                self._raise_start_time(record.started_at + 1)
            elif record.state == State.ALIVE and (
                self.name_claim is None or record.started_at > self.name_claim[0].started_at
            ):
                self.name_claim = record, self.now + self.timing.suspicion // 2
                self._check_name_claim()
            elif self.name_claim is None:
                self._raise_start_time(record.started_at + 1)
            return
        self.health.refutations += 1
        if record.state != State.ALIVE:
            self.health.adjust(1)
        if record.incarnation + 1 < MAX_INCARNATION:
            self._refute(record.incarnation + 1)
        else:
            self._raise_start_time(record.started_at + 1)  # only a forged incarnation is that high

    def _refute(self, incarnation: int) -> None:
        self.own_record = self._own_record_with(State.ALIVE, incarnation)
        self._queue_record(self.own_record)
        # Suspicion timeouts are running, so more members are told at once than in a gossip round.
        for record in self._sample(
            self.ring, GOSSIP_FANOUT + ceil(log10(len(self.ring) + 1)) * GOSSIP_FANOUT
        ):
            self._send(GOSSIP, record.address)

    def _check_name_claim(self) -> None:
        record, until = self.name_claim
        if self.now < until:
            self._send(PING, record.address, 0, record)
        else:
            self.name_claim = None
            self._raise_start_time(record.started_at + 1)

    def _raise_start_time(self, started_at: Time) -> None:
        # Overrides updates about this name that have a later start time than this process.
        self.own_record = msgspec.structs.replace(
            self.own_record, started_at=started_at, incarnation=0, state=State.ALIVE
        )
        self._refute(0)

    def _own_record_with(self, state: State, incarnation: int) -> MemberRecord:
        return msgspec.structs.replace(self.own_record, incarnation=incarnation, state=state)

    def _apply_order(self, order: OperatorOrder, notify: bool = True) -> None:
        if not is_valid_order(order, self.now + MAX_CLOCK_SKEW_TENTHS):
            self.health.count_rejected("order of no sense")
        elif self.view.merge_order(order):
            self.updates.add("order", order.subject, order, len(self.codec.encode(order)))
            self._schedule_gossip()
            if notify:
                self.actions.append(OrderReceived(order))

    def _queue_record(self, record: MemberRecord, minor: bool = False) -> None:
        """Queue a record for gossip. `minor` is an update that a live member publishes about itself: it is
        sent less often, as the member itself tells those that need it at once."""
        limit = self.updates.transmit_limit(len(self.ring) + 1)
        transmissions = limit - limit // self.updates.retransmit_factor if minor else 0
        self.updates.add("record", record.name, record, len(self.codec.encode(record)), transmissions)
        self._schedule_gossip()

    def _schedule_gossip(self) -> None:
        if not self.gossip_scheduled:
            self.gossip_scheduled = True
            self._schedule(self.now + self._jittered(self.timing.spread // 2), "gossip_round")

    def _gossip_round(self) -> None:
        self.gossip_scheduled = bool(len(self.updates))
        if not self.gossip_scheduled:
            return
        self._schedule(self.now + self.timing.spread, "gossip_round")
        if not self.ring:
            return
        for record in self._gossip_targets(GOSSIP_FANOUT):
            if len(self.updates):
                self._send(GOSSIP, record.address)


def process_identity(record: MemberRecord) -> tuple[str, str, int, Time]:
    return record.name, record.host, record.port, record.started_at
