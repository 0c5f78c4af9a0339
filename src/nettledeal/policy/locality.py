"""Locality: whether a work item stays in the home zone or overflows to others, by a learned threshold."""

from nettledeal.model import Outcome, Time
from nettledeal.policy.load_estimates import LoadEstimates
from nettledeal.policy.shared_state import SECOND, SharedState
from nettledeal.records import AttemptEnd, Backend, Routing, WorkItem

FIRST_THRESHOLD = 2.0  # before anything has been learned; from the design's paper, for warm containers


class Locality:
    """Stays in the home zone while the mean queue of the home backends is below the threshold."""

    def __init__(self, state: SharedState, loads: LoadEstimates):
        self.state, self.loads = state, loads
        self.threshold, self.learned_at = FIRST_THRESHOLD, 0
        self.mean_worth = 0.0  # smoothed worth of a work item

    def on_request(self, route: Routing) -> bool:
        home = [b for b in route.candidates if b.listing.zone == self.state.zone]
        away = [b for b in route.candidates if b.listing.zone != self.state.zone]
        if route.item.home_only and home:
            away = []
        if home and away:
            mean = self._mean_queue(home, route.now)
            # Backends elsewhere that are no better off would only reject it, or have it wait longer.
            stays = mean < self._threshold(route.item) or self._mean_queue(away, route.now) >= mean
            home, away = (home, []) if stays else ([], away)
        route.cross_zone = not home
        route.candidates = home or away
        return bool(route.candidates)

    def _threshold(self, item: WorkItem) -> float:
        """Crossing zones costs the same for all work items, so the more valuable ones cross first."""
        worth = item.category.payoff
        if self.state.payoff_per_work:
            worth *= self.state.base_time(item.category)
        self.mean_worth = worth if not self.mean_worth else 0.98 * self.mean_worth + 0.02 * worth
        return self.threshold * min(3.0, max(0.5, self.mean_worth / max(worth, 1e-9)))

    def _mean_queue(self, backends: list[Backend], now: Time) -> float:
        return sum(self.loads.cost(b, now) - 1.0 for b in backends) / len(backends)

    def on_end(self, end: AttemptEnd) -> None:
        if end.item is None or end.attempt.cross_zone or end.attempt.backend.listing.zone != self.state.zone:
            return
        timed = end.outcome in (Outcome.FINISHED, Outcome.TIMED_OUT)
        late = end.outcome is Outcome.FULL or timed and end.now > end.item.due_at
        # The step grows with the time since the last answer, within bounds: agents with few answers would
        # otherwise keep sending to a home zone that is full for all of them.
        step = min(4.0, max(1.0, 10.0 * (end.now - self.learned_at) / SECOND))
        self.learned_at = end.now
        if late:
            self.threshold = max(0.25, self.threshold * 0.9**step)
        elif end.outcome is Outcome.FINISHED:
            # In balance where the share of late answers times their cost equals the cost of crossing.
            rise = step * self.state.crossing_cost / (1 - self.state.crossing_cost)
            self.threshold = min(FIRST_THRESHOLD, self.threshold * 0.9**-rise)
