"""How many agents there are and which of them one is, as far as membership is sure of it.

The last full view counts until the next one is believed: fewer than half of it alive is more likely a cut
between them than so many deaths, and whoever took that for the fleet would take its whole share for itself.
Those that have left, by their own word or an operator's, are not missed.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from nettledeal.membership.view import State, View
from nettledeal.units import Time

# A view counts once it has stood so long: a start or a release comes step by step, and each step costs every
# agent new shares. Tenths of a millisecond.
STOOD = 15_000


@dataclass(slots=True)
class Census:
    """`full` is the size of the last view that was believed, 0 before any; `names` its members in order."""

    full: int = 0
    names: tuple[str, ...] = ()
    seen: tuple[str, ...] = ()
    seen_at: Time = 0
    gone: int = 0  # that had left when it was believed

    def look(self, names: Sequence[str], left: int, dead: int, now: Time) -> bool:
        """Names of those that live, in order, how many have left and how many are dead; whether another view
        is believed from now on."""
        found = tuple(names)
        if found != self.seen:
            self.seen, self.seen_at = found, now
        if found == self.names or now - self.seen_at < STOOD or not self.sure(left, dead):
            return False
        self.names, self.full, self.gone = found, len(found), left
        return True

    def sure(self, left: int, dead: int) -> bool:
        """Half of the last view, and half of all that are known: one that has just come has no last view."""
        return 2 * len(self.seen) >= self.full - max(0, left - self.gone) and len(self.seen) >= dead


def missed(view: View) -> tuple[int, int]:
    """How many have left, and how many are dead."""
    states = [word.state for word in view.words.values()]
    return states.count(State.LEFT), states.count(State.DEAD)
