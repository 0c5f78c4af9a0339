"""One member: probes others, is probed, suspects, refutes and spreads news; SWIM with the extensions of
Lifeguard.

A state machine. Its host calls `start`, `heard`, `called`, `answered`, `wake`, `leave`, `order` and `forget`
as things happen, each with the time now (whole tenths of a millisecond; Unix time), and carries out the acts
of the `Step` that it gets: datagrams, calls by stream, and what has changed for those above. Chance is
seeded: the same calls give the same steps.

Three things keep the innocent alive. Suspicion comes before death, lasts the longer the fewer accuse, and is
refuted by the accused with a higher incarnation. A member that fails others often, or misses what should have
come, takes itself for ill: its probes become rarer and more patient, its suspicions longer. And one that was
late itself, or that hears nobody, draws no conclusion from what it did not hear.
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import heappop

import msgspec

from nettledeal.membership.dissemination import FAN, Disseminating
from nettledeal.membership.joining import Joining
from nettledeal.membership.packets import ACK, COMPARE, PING, SAME, SWAP, SWAPPED, TELL, Packet
from nettledeal.membership.probing import Probing
from nettledeal.membership.steps import SECOND, Call, Step
from nettledeal.membership.suspicion import Suspecting
from nettledeal.membership.view import Metadata, Order, State, Word
from nettledeal.net.address import Address
from nettledeal.units import Time


class Member(Probing, Suspecting, Disseminating, Joining):
    """The whole protocol; see the parts for what each does."""

    # What its host calls.

    def start(self, now: Time) -> Step:
        self.now = now
        self._at(now + self._some(self.timing.period), "period")
        self._at(now + self._some(self.swap_in), "swap")
        self._at(now + self._some(10 * self.timing.period), "dead")
        self._join()
        return self._step()

    def heard(self, now: Time, packet: Packet, source: Address) -> Step:
        """A datagram. Answers go to where it came from."""
        self._attend(now)
        if self._take(packet, source):
            match packet.kind:
                case "ping":
                    self._answer(packet, source)
                case "ack":
                    self._ack(packet)
                case "nack" if self.probe is not None and packet.number == self.probe.number:
                    self.probe.nacks += 1
                case "ask":
                    self._relay(packet, source)
        return self._step()

    def called(self, now: Time, packet: Packet) -> tuple[Packet | None, Step]:
        """A stream's first message; what is answered to it."""
        self._attend(now)
        answer = None
        if self._take(packet, packet.sender.address):
            if packet.kind == SWAP:
                self.joined = True
                answer = self._whole(SWAPPED, packet.number)
            elif packet.kind == COMPARE:
                same = packet.number == self._digest()
                answer = self._packet(SAME, packet.number) if same else self._whole(SWAPPED, packet.number)
            elif packet.kind == PING and self._is_me(packet.target):
                answer = self._packet(ACK, packet.number)
        return answer, self._step()

    def answered(self, now: Time, call: Call, packet: Packet | None, refused: bool = False) -> Step:
        """The end of a call: its answer, or none. A refusal (nobody listens there) shows that the network is
        heard, and it is the machine there that says so."""
        self._attend(now)
        if refused:
            self.heard_at = self.now
        if packet is not None and self._take(packet, call.address):
            if packet.kind == SWAPPED:
                self.joined = True
                self._compared(call)
            elif packet.kind == ACK:
                self._ack(packet)
        return self._step()

    def wake(self, now: Time) -> Step:
        self._attend(now)
        while self.timers and self.timers[0][0] <= self.now:
            _, _, what, which = heappop(self.timers)
            if not self.silent:
                getattr(self, f"_{what}")(*(() if which is None else (which,)))
        return self._step()

    def order(self, now: Time, subject: str, out: bool) -> Step:
        """An operator's, newer than all that are known of the subject."""
        self._attend(now)
        old = self.view.orders.get(subject)
        self._ordered(Order(subject, max(self.now, old.at + 1 if old else 0), self.name, out), said=False)
        return self._step()

    def forget(self, now: Time, name: str) -> tuple[bool, Step]:
        """A dead member counts as one that has left: it is not called any more, and not counted as
        missing."""
        self._attend(now)
        word = self.view.words.get(name)
        known = word is not None and not word.live
        if known:
            self._tell_of(word, State.LEFT)
        return known, self._step()

    def describe(self, now: Time, metadata: Metadata, first: Iterable[Address] = ()) -> Step:
        """Says something else of itself from here on, to the addresses in `first` at once."""
        self._attend(now)
        if not self.silent and metadata != self.me.metadata:
            self.me = msgspec.structs.replace(self.me, metadata=metadata, incarnation=self.me.incarnation + 1)
            for address in first:
                self._send(TELL, address)
            self._rumour(self.me, minor=True)
        return self._step()

    def tell(self, now: Time, addresses: Iterable[Address]) -> Step:
        """Says what it says of itself to these once more; datagrams are lost now and then."""
        self._attend(now)
        if not self.silent:
            for address in addresses:
                self._send(TELL, address)
        return self._step()

    def leave(self, now: Time) -> Step:
        """Says that it goes, to as many as news is told to at once; the rest hear it from them."""
        self._attend(now)
        if not self.silent:
            self.me = self._said(State.LEFT, self.me.incarnation)
            self._rumour(self.me)
            for word in self._some_of(self.ring, 2 * FAN):
                self._send(TELL, word.address)
            self.silent = True
        return self._step()

    # What others go by.

    def live(self) -> list[Word]:
        """Those that live as far as is known, itself among them, by name."""
        return sorted([*self.view.live(), *(() if self.silent else (self.me,))], key=lambda word: word.name)

    # Time.

    def _attend(self, now: Time) -> None:
        """Whether it was late itself: stopped, starved, or its clock moved on at a jump. Then nothing that it
        waited for can be judged by, and what it holds against others waits as long as it was away."""
        now += self.shift
        if now < self.now:
            # Its clock was set back: it goes on from where it was, or all its timers would stand still.
            self.shift += self.now - now
            now = self.now
        # Against the last call where that came after: what has piled up is handed in one by one.
        due = max(self.now, self.timers[0][0] if self.timers else now)
        self.now = now
        late = now - due
        if late <= self.timing.probe or self.silent:
            return
        self.health.late += 1
        self.health.worse(1 + min(3, late // SECOND))
        self.probe = None
        self.relays.clear()
        self.heard_at = -1
        for suspicion in self.suspicions.values():
            suspicion.delayed += late
        self.timers = sorted(
            (at + late, *rest) if rest[1] == "suspicion" else (at, *rest)
            for at, *rest in self.timers
            if rest[1] not in ("late", "end", "relayed")
        )
        # What has been said of it meanwhile comes soonest from a whole view.
        self._call_some(self.ring)
