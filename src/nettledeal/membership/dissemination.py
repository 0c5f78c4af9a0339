"""News of members and of orders: what is taken from packets, refuted and spread."""

from __future__ import annotations

from math import ceil, log10

import msgspec

from nettledeal.membership.machine import Machine
from nettledeal.membership.packets import ACK, PING, SWAPPED, TELL, Packet
from nettledeal.membership.steps import SECOND, Changed, Ordered, Usurped
from nettledeal.membership.view import MOST_INCARNATION, Order, State, Word, sound, sound_order
from nettledeal.net.address import Address
from nettledeal.units import Time

# Members told at each turn.
FAN = 3
# News from so far in the future is none: clocks of machines differ by less.
AHEAD = 3600 * SECOND


class Disseminating(Machine):
    """Takes in news, overrules what is wrong of itself, and tells the rest on."""

    def _take(self, packet: Packet, source: Address) -> bool:
        """What any message says beside its own purpose. False where it is this one's own, or not fit."""
        sender = packet.sender
        if self.silent:
            return False
        if not sound(sender, self.now + AHEAD) or sender.state not in (State.ALIVE, State.LEFT):
            self.health.refuse("sender of no sense")
            return False
        if sender.name == self.name:
            if sender.life == self.me.life:
                return False  # an echo
            claim = self.claim and self.claim[0]
            if claim and sender.life == claim.life and source == claim.address:
                self.silent = True
                self.acts.append(Usurped(sender))
            elif sender.life < self.me.life and packet.kind == PING:
                self._send(ACK, source, packet.number)  # the one before it asks whether it is so
            else:
                self._of_me(sender)
            return False
        self.heard_at = self.now
        if self.probe is not None and packet.kind != ACK and identity(self.probe.word) == identity(sender):
            # It lives, whether or not it hears this one: a way that is cut there is no death.
            self.probe = None
        known = self.view.words.get(sender.name)
        if known is not None and known.life > sender.life:
            # Its name has a younger bearer: it hears so from the answer, or it would go on for ever.
            self._send(TELL, source, about=known)
            return False
        self._learn(sender)
        if sender.state == State.LEFT:
            return False
        # What the first one that it meets tells is known to all: only what comes later is news.
        said = packet.kind != SWAPPED or self.joined
        for word in packet.words:
            self._learn(word, said)
        for order in packet.orders:
            self._ordered(order)
        return True

    def _learn(self, word: Word, said: bool = True) -> None:
        if not sound(word, self.now + AHEAD):
            self.health.refuse("news of no sense")
            return
        if word.name == self.name:
            self._of_me(word)
            return
        known = self.view.words.get(word.name)
        before = known.state if known is not None and known.life == word.life else None
        if self.view.merge(word, self.now) is None:
            if (
                known is not None
                and word.state == State.SUSPECT
                and identity(known) == identity(word)
                and (known.state, known.incarnation) == (word.state, word.incarnation)
            ):
                self._confirm(word)
            return
        if said:
            self._rumour(word, minor=known is not None and before == word.state == State.ALIVE)
        self.suspicions.pop(word.name, None)
        if word.live and (known is None or not known.live):
            # Anywhere in the round, as SWIM has it.
            self.ring.insert(self.chance.randint(0, len(self.ring)), word.name)
        elif not word.live and known is not None and known.live:
            at = self.ring.index(word.name)
            del self.ring[at]
            self.turn -= at < self.turn
        self._place(word)
        if before == State.DEAD and word.live:
            self._returned()
        if word.state == State.SUSPECT:
            self._suspect(word)
        if before != word.state or known.life != word.life or known.metadata != word.metadata:
            self.acts.append(Changed(word, before))

    def _place(self, word: Word) -> None:
        near = word.live and self._is_near(word)
        if near and word.name not in self.near:
            self.near.insert(self.chance.randint(0, len(self.near)), word.name)
        elif not near and word.name in self.near:
            at = self.near.index(word.name)
            del self.near[at]
            self.near_turn -= at < self.near_turn

    def _tell_of(self, word: Word, state: State) -> None:
        """What this one says of another, to itself first."""
        self._learn(msgspec.structs.replace(word, state=state, by=self.name))

    def _of_me(self, word: Word) -> None:
        """What others say of this one. Whatever is not so is overruled by a higher incarnation."""
        if self.silent or word.rank <= self.me.rank:
            return
        if word.life > self.me.life:
            # A younger one of this name. At this one's own address it was its earlier life, by a clock that
            # has gone back since. Elsewhere it may be no more than said: asked first, overruled if silent.
            if word.address == self.me.address:
                self._reborn(word.life + 1)
            elif word.state == State.ALIVE and (self.claim is None or word.life > self.claim[0].life):
                self.claim = word, self.now + self.timing.suspicion // 2
                self._press_claim()
            elif self.claim is None:
                self._reborn(word.life + 1)
            return
        self.health.refuted += 1
        if word.state != State.ALIVE:
            self.health.worse(1)
        if word.incarnation + 1 < MOST_INCARNATION:
            self._refute(word.incarnation + 1)
        else:
            self._reborn(word.life + 1)  # so high only by forgery

    def _refute(self, incarnation: int) -> None:
        self.me = self._said(State.ALIVE, incarnation)
        self._rumour(self.me)
        # Accusers' time is running: more are told at once than at a usual turn.
        for word in self._some_of(self.ring, FAN + ceil(log10(len(self.ring) + 1)) * FAN):
            self._send(TELL, word.address)

    def _press_claim(self) -> None:
        word, until = self.claim
        if self.now < until:
            self._send(PING, word.address, 0, word)
        else:
            self.claim = None
            self._reborn(word.life + 1)

    def _reborn(self, life: Time) -> None:
        self.me = msgspec.structs.replace(self.me, life=life, incarnation=0, state=State.ALIVE)
        self._refute(0)

    def _said(self, state: State, incarnation: int) -> Word:
        return msgspec.structs.replace(self.me, incarnation=incarnation, state=state)

    def _ordered(self, order: Order, said: bool = True) -> None:
        if not sound_order(order, self.now + AHEAD):
            self.health.refuse("order of no sense")
        elif self.view.ordered(order):
            self.rumours.add("order", order.subject, order, len(self.codec.encode(order)))
            self._wake_spread()
            if said:
                self.acts.append(Ordered(order))

    def _rumour(self, word: Word, minor: bool = False) -> None:
        """`minor` is what a live member says of itself: those whom it concerns are told by itself."""
        most = self.rumours.most(len(self.ring) + 1)
        told = most - most // self.rumours.times if minor else 0
        self.rumours.add("word", word.name, word, len(self.codec.encode(word)), told)
        self._wake_spread()

    def _wake_spread(self) -> None:
        if not self.spreading:
            self.spreading = True
            self._at(self.now + self._some(self.timing.spread // 2), "spread")

    def _spread(self) -> None:
        self.spreading = bool(len(self.rumours))
        if not self.spreading:
            return
        self._at(self.now + self.timing.spread, "spread")
        if not self.ring:
            return
        for word in self._gossip_targets(FAN):
            if len(self.rumours):
                self._send(TELL, word.address)


def identity(word: Word) -> tuple[str, str, int, Time]:
    return word.name, word.host, word.port, word.life
