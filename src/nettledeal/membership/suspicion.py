"""Suspicion before death: how long it lasts, who else accuses, and its end."""

from __future__ import annotations

from math import log10

from nettledeal.membership.health import MOST_ILL
from nettledeal.membership.machine import Machine
from nettledeal.membership.packets import PING
from nettledeal.membership.pending import Suspicion
from nettledeal.membership.steps import Call
from nettledeal.membership.view import State, Word

# Accusers that shorten a suspicion.
ACCUSERS = 3
# The least time of suspicion serves so many members; news takes longer in larger groups.
SIZED_FOR = 300


class Suspecting(Machine):
    """Suspicions by the name of the accused."""

    def _suspect(self, word: Word) -> None:
        others = len(self.ring)
        grown = max(1.0, log10(others + 2) / log10(SIZED_FOR))
        least = self.timing.suspicion * grown * (1 + self.health.ill / MOST_ILL)
        self.suspicions[word.name] = Suspicion(self.now, least, {word.by}, min(ACCUSERS, max(0, others - 2)))
        self._at(self.suspicions[word.name].end, "suspicion", word.name)

    def _confirm(self, word: Word) -> None:
        """The same accusation by another: independent, as each goes by a probe of its own."""
        suspicion = self.suspicions.get(word.name)
        if suspicion is None or word.by in suspicion.by or len(suspicion.by) > suspicion.needed:
            return
        suspicion.by.add(word.by)
        self._rumour(word)
        self._at(max(self.now, suspicion.end), "suspicion", word.name)

    def _suspicion(self, name: str) -> None:
        suspicion = self.suspicions.get(name)
        if suspicion is None:
            return
        if self.now < suspicion.end:
            return  # another timer stands for the end that it has now
        if not self.hears:
            # Who hears nobody would not have heard a refutation: it tells death of none.
            suspicion.delayed = self.now - suspicion.since
            self._at(max(self.now + self.timing.period, suspicion.end), "suspicion", name)
            return
        word = self.view.words[name]
        if not suspicion.asked:
            # News misses one in some thousands, and that one would tell death of a member that all others
            # know to have refuted: so the accused is asked itself before, by both ways.
            suspicion.asked = True
            self._send(PING, word.address, 0, word)
            self.acts.append(Call(word.address, self._packet(PING, 0, word)))
            self._at(self.now + 2 * self.timing.probe, "suspicion", name)
            return
        self.health.declared += 1
        self._tell_of(word, State.DEAD)
