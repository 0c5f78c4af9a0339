"""Joining by seeds, and whole views exchanged now and then (push-pull), also with the dead."""

from __future__ import annotations

from math import log
from zlib import crc32

from nettledeal.membership.machine import Machine
from nettledeal.membership.packets import COMPARE, SWAP, Packet
from nettledeal.membership.steps import SECOND, Call
from nettledeal.membership.view import State, Word
from nettledeal.net.address import Address

# After a member held dead turns out to live: so many exchanges soon after, about so many periods apart, and
# no further ones that begin within this part of the time between the usual exchanges.
RETURN_EXCHANGES, RETURN_PERIODS, RETURN_AGAIN = 3, 4, 0.5
# Whoever has joined nobody calls seeds ever more rarely, down to this.
CALL_AGAIN_MOST = 8 * SECOND


class Joining(Machine):
    """Whole views by stream."""

    def _join(self) -> None:
        """Any seed, time and again, until it is in."""
        if not self.ring and self.seeds:
            self._call_seeds()
            self._at(self.now + self._some(self.again), "join")
            self.again = min(CALL_AGAIN_MOST, 2 * self.again)

    def _call_seeds(self) -> None:
        for seed in self.chance.sample(self.seeds, min(2, len(self.seeds))):
            self._swap_with(seed)

    def _swap(self) -> None:
        larger = max(0.0, log(max(1, len(self.ring)) / 32, 2))
        self.swap_in = min(round(self.timing.swap * (1 + larger)), 2 * self.swap_in)
        self._at(self.now + self._some(self.swap_in), "swap")
        gone = [
            word.name
            for word in self.view.words.values()
            if not word.live and self.now - self.view.since[word.name] > self.timing.keep
        ]
        self.view.drop(gone)
        self.view.drop_orders(self.now - self.timing.keep)
        self._exchange(self._gossip_targets(1) if self.timing.compare else self._some_of(self.ring, 1))

    def _exchange(self, words: list[Word]) -> None:
        """Whole views; where they are compared before, only with those that know another one."""
        for word in words:
            if self.timing.compare:
                self.acts.append(Call(word.address, self._packet(COMPARE, self._digest())))
            else:
                self._swap_with(word.address)

    def _returned(self) -> None:
        """One that was held dead lives, in the life that it had: after a partition its refutation, and others
        that come with it, are told out while some members still hold their tellers dead, and would be known
        to those only at the next usual exchange."""
        if self.now < self.returned_at + round(RETURN_AGAIN * self.timing.swap):
            return
        self.returned_at = self.now
        for number in range(1, RETURN_EXCHANGES + 1):
            self._at(self.now + self._some(number * RETURN_PERIODS * self.timing.period), "reconcile")

    def _reconcile(self) -> None:
        # Of all zones alike: members of one zone were apart from the others together, and lack the same.
        self._exchange(self._some_of(self.ring, 1))

    def _dead(self) -> None:
        """Now and then one of the dead is called: after a partition both sides take each other for dead. As
        rarely as they are few, or all would call one."""
        self._at(self.now + self._some(10 * self.timing.period), "dead")
        dead = {word.address for word in self.view.words.values() if word.state == State.DEAD}
        # A seed that has left may have been started again, with nobody else to call.
        dead |= set(self.seeds) - {self.view.words[name].address for name in self.ring}
        if dead and self.chance.random() < len(dead) / (len(dead) + len(self.ring)) + 0.01:
            self._swap_with(self.chance.choice(sorted(dead)))
        if not self.ring and self.joined:
            self._call_seeds()  # all others have gone

    def _call_some(self, names: list[str]) -> None:
        for word in self._some_of(names, 1):
            self._swap_with(word.address)

    def _swap_with(self, address: Address) -> None:
        self.number += 1
        self.acts.append(Call(address, self._whole(SWAP, self.number)))

    def _digest(self) -> int:
        """Equal for two members that know the same of all; a word of the last moment makes it differ."""
        words = [word for word in (*self.view.words.values(), self.me) if word.live]
        known = sorted((word.name, word.life, word.incarnation, int(word.state)) for word in words)
        return crc32(repr(known).encode())

    def _compared(self, call: Call) -> None:
        """Another view has come for an answer and is merged: the other one lacks what is still unlike it."""
        if call.packet.kind == COMPARE:
            self._swap_with(call.address)

    def _whole(self, kind: str, number: int) -> Packet:
        # Those long dead are told no more, or they would be handed on for ever.
        young = [
            word
            for word in self.view.words.values()
            if word.live or self.now - self.view.since[word.name] < self.timing.keep // 2
        ]
        return self._packet(kind, number, words=young, orders=list(self.view.orders.values()))
