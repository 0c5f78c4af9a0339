"""One member of the group: SWIM failure detection and dissemination with the Lifeguard extensions.

A deterministic state machine without I/O. Its host calls `start`, `on_datagram`, `on_stream_request`,
`on_stream_response`, `on_timer`, `leave`, `issue_order`, `forget`, `set_metadata`, `set_seeds` and
`announce_to`, each with the current time (Unix time in tenths of a millisecond), and carries out the actions
of the returned `Step`: datagrams, stream requests and notifications of changes. With a seeded random
generator, the same calls give the same steps.

Three mechanisms prevent live members from being declared dead. A suspicion precedes each death; it lasts
longer the fewer members confirm it, and the accused refutes it with a higher incarnation. A member whose
probes often fail, or that misses expected messages, lowers its local health: it then probes more rarely, with
longer timeouts and longer suspicions. And a member that ran late itself, or that receives nothing, draws no
conclusion from missing answers.
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import heappop

import msgspec

from nettledeal.membership.actions import SECOND, Step, StreamRequest
from nettledeal.membership.dissemination import GOSSIP_FANOUT, DisseminationMixin
from nettledeal.membership.joining import JoiningMixin
from nettledeal.membership.packets import (
    ACK,
    COMPARE,
    GOSSIP,
    PING,
    SAME,
    SYNC_REQUEST,
    SYNC_RESPONSE,
    Packet,
)
from nettledeal.membership.probing import ProbingMixin
from nettledeal.membership.suspicion import SuspicionMixin
from nettledeal.membership.view import MemberRecord, Metadata, OperatorOrder, State
from nettledeal.net.address import Address
from nettledeal.units import Time


class Member(ProbingMixin, SuspicionMixin, DisseminationMixin, JoiningMixin):
    """The complete protocol; each base class implements one part."""

    # Called by the host.

    def start(self, now: Time) -> Step:
        self.now = now
        self._schedule(now + self._jittered(self.timing.period), "probe_round")
        self._schedule(now + self._jittered(self.sync_interval), "sync_round")
        self._schedule_retry_check()
        self._join()
        return self._finish_step()

    def on_datagram(self, now: Time, packet: Packet, source: Address) -> Step:
        """Handle a datagram. Answers go to the address that it came from."""
        self._advance_clock(now)
        if self._apply_packet(packet, source):
            match packet.kind:
                case "ping":
                    self._answer_ping(packet, source)
                case "ack":
                    self._on_ack(packet)
                case "nack" if (
                    self.probe is not None and packet.sequence_number == self.probe.sequence_number
                ):
                    self.probe.nacks += 1
                case "ask":
                    self._relay_ping(packet, source)
        return self._finish_step()

    def on_stream_request(self, now: Time, packet: Packet) -> tuple[Packet | None, Step]:
        """Handle the request of an incoming stream; returns the answer to send back, if any."""
        self._advance_clock(now)
        answer = None
        known_before = list(self.ring)
        if self._apply_packet(packet, packet.sender.address):
            if packet.kind == SYNC_REQUEST:
                self._tell_former_group(known_before)
                self._views_exchanged()
                answer = self._make_full_view_packet(SYNC_RESPONSE, packet.sequence_number)
            elif packet.kind == COMPARE:
                answer = self._answer_comparison(packet)
            elif packet.kind == PING and self._is_own_name(packet.target):
                answer = self._make_packet(ACK, packet.sequence_number)
        return answer, self._finish_step()

    def on_stream_response(
        self, now: Time, request: StreamRequest, packet: Packet | None, refused: bool = False
    ) -> Step:
        """Handle the end of a stream request, with or without an answer. A refused connection comes from the
        other machine, so it shows that this member receives from the network."""
        self._advance_clock(now)
        if refused:
            self.last_heard_at = self.now
        known_before = list(self.ring)
        if packet is not None and self._apply_packet(packet, request.address):
            if packet.kind == SYNC_RESPONSE:
                self._tell_former_group(known_before)
                self._views_exchanged()
                self._finish_comparison(request)
            elif packet.kind == SAME:
                self._views_exchanged()
            elif packet.kind == ACK:
                self._on_ack(packet)
        return self._finish_step()

    def on_timer(self, now: Time) -> Step:
        self._advance_clock(now)
        while self.timers and self.timers[0][0] <= self.now:
            _, _, handler, argument = heappop(self.timers)
            if not self.silent:
                getattr(self, f"_{handler}")(*(() if argument is None else (argument,)))
        return self._finish_step()

    def issue_order(self, now: Time, subject: str, cordoned: bool) -> Step:
        """Issue an operator's order, newer than all known orders of the subject."""
        self._advance_clock(now)
        previous = self.view.orders.get(subject)
        self._apply_order(
            OperatorOrder(
                subject, max(self.now, previous.issued_at + 1 if previous else 0), self.name, cordoned
            ),
            notify=False,
        )
        return self._finish_step()

    def forget(self, now: Time, name: str) -> tuple[bool, Step]:
        """Mark a dead member as left: it is no longer contacted, and no longer counted as missing. Returns
        whether it was known and not alive."""
        self._advance_clock(now)
        record = self.view.records.get(name)
        known = record is not None and not record.live
        if known:
            self._declare(record, State.LEFT)
        return known, self._finish_step()

    def set_metadata(self, now: Time, metadata: Metadata, notify: Iterable[Address] = ()) -> Step:
        """Publish new metadata; the addresses in `notify` are told at once."""
        self._advance_clock(now)
        if not self.silent and metadata != self.own_record.metadata:
            self.own_record = msgspec.structs.replace(
                self.own_record, metadata=metadata, incarnation=self.own_record.incarnation + 1
            )
            for address in notify:
                self._send(GOSSIP, address)
            self._queue_record(self.own_record, minor=True)
        return self._finish_step()

    def announce_to(self, now: Time, addresses: Iterable[Address]) -> Step:
        """Send the own record to these addresses once more, since datagrams may be lost."""
        self._advance_clock(now)
        if not self.silent:
            for address in addresses:
                self._send(GOSSIP, address)
        return self._finish_step()

    def set_seeds(self, now: Time, seeds: Iterable[Address]) -> Step:
        """Replace the seeds; a member that knows no other contacts them at once, and goes on trying."""
        self._advance_clock(now)
        self.use_seeds(seeds)
        if not self.silent and not self.ring:
            self._rejoin()
        return self._finish_step()

    def leave(self, now: Time) -> Step:
        """Announce the departure to twice the usual number of members, which gossip it on, and go silent."""
        self._advance_clock(now)
        if not self.silent:
            self.own_record = self._own_record_with(State.LEFT, self.own_record.incarnation)
            self._queue_record(self.own_record)
            for record in self._sample(self.ring, 2 * GOSSIP_FANOUT):
                self._send(GOSSIP, record.address)
            self.silent = True
        return self._finish_step()

    # Queries.

    def live_members(self) -> list[MemberRecord]:
        """Members held alive or suspect, this one among them unless it is silent, by name."""
        return sorted(
            [*self.view.live_records(), *(() if self.silent else (self.own_record,))],
            key=lambda record: record.name,
        )

    # Time.

    def _advance_clock(self, now: Time) -> None:
        """Move on to `now`, and detect whether this member ran late: stopped, starved of CPU, or its clock
        jumped forward. After that, missing answers prove nothing, and the suspicions it holds are prolonged
        by the time that it was away."""
        now += self.clock_correction
        if now < self.now:
            # The clock was set back. Time continues from where it was, or no timer would run until then.
            self.clock_correction += self.now - now
            now = self.now
        # Measured from the last call if that came after the due time: a backlog of messages is handed in one
        # by one.
        due = max(self.now, self.timers[0][0] if self.timers else now)
        self.now = now
        late = now - due
        if late <= self.timing.probe or self.silent:
            return
        self.health.late_wakeups += 1
        self.health.adjust(1 + min(3, late // SECOND))
        self.probe = None
        self.relayed_pings.clear()
        self.last_heard_at = -1
        for suspicion in self.suspicions.values():
            suspicion.delayed_by += late
        self.timers = sorted(
            (at + late, *rest) if rest[1] == "suspicion_timeout" else (at, *rest)
            for at, *rest in self.timers
            if rest[1] not in ("probe_indirectly", "end_probe", "send_nack")
        )
        # A full view is the quickest way to learn what was said about this member meanwhile.
        self._sync_with_random(self.ring)
