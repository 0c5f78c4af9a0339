"""The fleet as an agent counts it: how many agents there are and the agent's own index among them.

The last accepted view stays in force until the next one is accepted. A view with fewer than half of the
members alive is more likely a partition than that many deaths, and an agent that took the smaller side for
the whole fleet would claim the whole fleet's share for itself. Members that have left, by their own
announcement or an operator's order, don't count as missing.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from nettledeal.membership.view import State, View
from nettledeal.units import Time

# A view is accepted only after it has not changed for so long: a start or a release changes it step by step,
# and each accepted view gives every agent new shares.
STABLE_FOR_TENTHS = 15_000


@dataclass(slots=True)
class StableView:
    """`size` is the number of members of the last accepted view, 0 before any; `names` are its members in
    order. `candidate` is the latest view, first observed at `candidate_since`."""

    size: int = 0
    names: tuple[str, ...] = ()
    candidate: tuple[str, ...] = ()
    candidate_since: Time = 0
    left_before: int = 0  # members that had already left when the view was accepted

    def observe(self, names: Sequence[str], left: int, dead: int, now: Time) -> bool:
        """Takes the names of the live members in order, and how many have left and are dead. Returns whether
        a new view has been accepted."""
        observed = tuple(names)
        if observed != self.candidate:
            self.candidate, self.candidate_since = observed, now
        if (
            observed == self.names
            or now - self.candidate_since < STABLE_FOR_TENTHS
            or not self.is_plausible(left, dead)
        ):
            return False
        self.names, self.size, self.left_before = observed, len(observed), left
        return True

    def is_plausible(self, left: int, dead: int) -> bool:
        """Whether at least half of the last view is alive, and half of all members known. An agent that has
        just joined has no last view, so only the second condition limits it."""
        return (
            2 * len(self.candidate) >= self.size - max(0, left - self.left_before)
            and len(self.candidate) >= dead
        )


def count_left_and_dead(view: View) -> tuple[int, int]:
    """How many members have left, and how many are dead."""
    states = [record.state for record in view.records.values()]
    return states.count(State.LEFT), states.count(State.DEAD)
