"""Failure detection: probes round after round, indirect probes through others, and what their ends say."""

from __future__ import annotations

from collections import Counter

from nettledeal.membership.machine import NEAR_ENOUGH, NEAR_SHARE, Machine
from nettledeal.membership.packets import ACK, ASK, NACK, PING, Packet
from nettledeal.membership.pending import Probe
from nettledeal.membership.steps import Call
from nettledeal.membership.view import State, Word
from nettledeal.net.address import Address

# Others asked to probe in its place.
RELAYS = 3
# Where so many of one zone are accused, others of it may be gone for the same reason (power, a link): of all
# probes this share goes to them, or the loss of a zone would be known one member after the other. A zone with
# fewer members than the third is soon gone through without.
DOUBTED_AFTER, DOUBTED_SHARE, DOUBTED_ZONE = 2, 0.5, 6


class Probing(Machine):
    """One probe at a time; each ends before the next one begins."""

    def _period(self) -> None:
        patience = self._patience(self.timing.period)
        self._at(self.now + patience + round(0.2 * self.chance.random() * self.timing.period), "period")
        if self.claim is not None:
            self._press_claim()
        word = self._next()
        if word is None:
            return
        self.number += 1
        self.probe = Probe(word, self.number, self.now)
        self._send(PING, word.address, self.number, word)
        self._at(self.now + self._patience(self.timing.probe), "late", self.number)
        # Judged before the next one begins.
        self._at(self.now + patience - 1, "end", self.number)

    def _next(self) -> Word | None:
        """Round after round, each in an order of its own, so none goes unprobed for long; those that are near
        more often, in rounds of their own."""
        doubted = self._doubted()
        if doubted and self.chance.random() < DOUBTED_SHARE:
            return self.view.words[self.chance.choice(doubted)]
        if len(self.near) >= NEAR_ENOUGH and self.chance.random() < NEAR_SHARE:
            if self.near_turn >= len(self.near):
                self.near_turn = 0
                self.chance.shuffle(self.near)
            self.near_turn += 1
            return self.view.words[self.near[self.near_turn - 1]]
        if self.turn >= len(self.ring):
            self.turn = 0
            self.chance.shuffle(self.ring)
        self.turn += 1
        return self.view.words[self.ring[self.turn - 1]] if self.ring else None

    def _doubted(self) -> list[str]:
        """Those not accused of large zones in which several are."""
        if len(self.suspicions) < DOUBTED_AFTER:
            return []
        accused = Counter(self._zone_of(name) for name in self.suspicions)
        zones = {zone for zone, count in accused.items() if zone and count >= DOUBTED_AFTER}
        if not zones:
            return []
        of_zones = [name for name in self.ring if self._zone_of(name) in zones]
        sizes = Counter(self._zone_of(name) for name in of_zones)
        return [
            name
            for name in of_zones
            if name not in self.suspicions and sizes[self._zone_of(name)] >= DOUBTED_ZONE
        ]

    def _zone_of(self, name: str) -> str:
        about = self.view.words[name].metadata
        return "" if about is None else about.zone

    def _late(self, number: int) -> None:
        probe = self.probe
        if probe is None or probe.number != number:
            return
        others = [name for name in self.ring if name != probe.word.name]
        for word in self._some_of(others, RELAYS):
            probe.asked += 1
            self._send(ASK, word.address, number, probe.word)
        # Where datagrams are lost a stream may pass; also to one that has no other neighbours.
        self.acts.append(Call(probe.word.address, self._packet(PING, number, probe.word)))

    def _end(self, number: int) -> None:
        probe = self.probe
        if probe is None or probe.number != number:
            return
        self.probe = None
        # Relays that say nothing at all are a sign against oneself, not against the one probed.
        self.health.worse(probe.asked - probe.nacks if probe.asked else 1)
        word = self.view.words.get(probe.word.name)
        # Refuted or begun anew meanwhile, it lives; and who has heard nobody since has no case against
        # anyone.
        if word is None or not word.live or word.rank[:2] > probe.word.rank[:2] or self.heard_at <= probe.at:
            return
        self.health.accused += word.state == State.ALIVE
        self._tell_of(word, State.SUSPECT)

    def _ack(self, packet: Packet) -> None:
        probe = self.probe
        if probe is not None and packet.number == probe.number:
            self.probe = None
            self.health.worse(-1)
        elif (asked := self.relays.pop(packet.number, None)) is not None:
            self._send(ACK, asked[0], asked[1])

    def _answer(self, packet: Packet, source: Address) -> None:
        if self._is_me(packet.target):
            self._send(ACK, source, packet.number, about=self._held_against(packet.sender.name))

    def _is_me(self, target: Word | None) -> bool:
        """An address may have got another bearer: a probe for the one before is not to be answered by it."""
        return target is not None and target.name == self.name

    def _relay(self, packet: Packet, source: Address) -> None:
        if packet.target is None or len(self.relays) > 64:
            return
        self.number += 1
        self.relays[self.number] = source, packet.number
        self._send(PING, packet.target.address, self.number, packet.target)
        self._at(self.now + round(0.8 * self.timing.probe), "relayed", self.number)

    def _relayed(self, number: int) -> None:
        """No answer so far: it says so, that its own silence is not taken for the other's. One that comes
        late is still passed on."""
        if (asked := self.relays.get(number)) is not None:
            self._send(NACK, asked[0], asked[1])
            self._at(self.now + self.timing.period, "unrelayed", number)

    def _unrelayed(self, number: int) -> None:
        self.relays.pop(number, None)
