"""How far apart the events of a service's streams usually come: longer pauses tell of load at the backend."""

from __future__ import annotations

# What a pause weighs in the mean; the first ones weigh alike.
GAIN = 0.05
# One long pause says little of the usual ones.
MOST_TAKEN = 5.0
# Pauses of up to so many usual ones tell nothing.
USUAL_SPREAD = 2.0
# Events that come in one packet have no pause between them.
LEAST_MEAN_S = 0.005


class EventPace:
    """The mean pause between events over all backends of a service, in seconds."""

    def __init__(self) -> None:
        self.mean_s = LEAST_MEAN_S
        self._taken = 0

    def excess_s(self, pause_s: float) -> float:
        """How much longer than usual a pause is; it then counts to the mean."""
        usual_s = self.mean_s if self._taken else max(pause_s, LEAST_MEAN_S)
        taken_s = min(pause_s, MOST_TAKEN * usual_s)
        self._taken += 1
        gain = max(GAIN, 1.0 / self._taken)
        self.mean_s = max(LEAST_MEAN_S, usual_s + gain * (taken_s - usual_s))
        return max(0.0, pause_s - USUAL_SPREAD * usual_s)
