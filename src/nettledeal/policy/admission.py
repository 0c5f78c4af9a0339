"""Admission control: a learned limit on own attempts in flight; work over it is deferred at once."""

from nettledeal.model import Outcome, Time
from nettledeal.policy.load_estimates import LoadEstimates
from nettledeal.policy.shared_state import SECOND, SharedState
from nettledeal.records import AttemptEnd, Category, Routing, WorkItem
from nettledeal.time_windows import WindowedSums

OVERLOAD = 6.0  # work items at a backend beyond which more only wait: several times what keeps it busy


class Admission:
    """Defers work that cannot earn its payoff, and first that with the least payoff for its cost."""

    def __init__(self, state: SharedState, loads: LoadEstimates):
        self.state, self.loads = state, loads
        self.configure()
        # Own attempts in flight per sound backend. Starts at an equal share of what overloads a backend, as
        # all agents may start at once, each seeing idle backends.
        self.limit = OVERLOAD / state.agent_count
        self.expected_wait, self.slowdown, self.learned_at = 0.0, 1.0, 0
        # As with TCP slow start the limit doubles with each round of answers up to here: until the first cut,
        # and then to half of what was borne before, or a fleet that has recovered would be kept idle.
        self.knee = 4 * OVERLOAD
        self.last_cut_at, self.was_cut = 0, False

    def configure(self) -> None:
        state = self.state
        self.max_retry_after = state.get("allowed.max_retry_after", 0) * state.get(
            "allowed.retry_after", False
        )
        self.over_share_factor = float(state.get("surplus_payoff", 1.0))
        count = state.get("projects.count", 0)
        self.shares = [float(state.get(f"projects.{n}.share", 0.0)) for n in range(count)]
        self.usage = WindowedSums(5 * SECOND, max(1, count), 10)

    def record_received(self, item: WorkItem, now: Time) -> None:
        if self.shares and 0 <= item.customer < len(self.shares):
            self.usage.add(now, item.customer, self.state.base_time(item.category))

    def _payoff_rate(self, category: Category) -> float:
        """Payoff per unit of work."""
        if self.state.payoff_per_work:
            return category.payoff
        return category.payoff / max(1.0, self.state.base_time(category))

    def _rank(self, item: WorkItem, now: Time) -> float:
        """Payoff per unit of work relative to the best category: 0 to 1."""
        best = max(map(self._payoff_rate, self.state.categories[: self.state.named_count]), default=0.0)
        rank = self._payoff_rate(item.category) / best if best > 0 else 1.0
        if item.is_retry:
            rank *= 0.7  # part of its due time has passed, and serving retries feeds a retry storm
        if self.shares and 0 <= item.customer < len(self.shares):
            total = sum(self.usage.total(now, n) for n in range(len(self.shares)))
            if self.usage.total(now, item.customer) > 1.25 * self.shares[item.customer] * total:
                rank *= max(self.over_share_factor, 0.05)
        return rank

    def on_request(self, route: Routing) -> bool:
        item = route.item
        if not route.candidates:
            return True
        rank = self._rank(item, route.now)
        # Cold and distrusted backends count only for what they can bear.
        usable = sum(self.loads.usable(b, route.now) for b in route.candidates) / len(route.candidates)
        room = (0.4 + 0.6 * rank) * self.limit * self.state.running_count * usable
        # With hundreds of agents the room is below one work item, so the mean over time counts: one for each
        # would be several times the whole. Two at once are chance; and while answers are as quick as usual,
        # one long work item is no overload, or a quiet agent would defer the next.
        room *= 3.0 if self.slowdown < 1.5 else 1.0
        self.state.count_open(route.now)
        if self.state.open > 2 and self.state.open >= room or room < 2.0 and self.state.mean_open >= room:
            return False
        self.expected_wait = min(
            self.loads.cost(b, route.now) for b in route.candidates
        ) * self.state.base_time(item.category)
        if item.category.late_payoff > 0:
            return True
        time_left = item.due_at - route.now
        if time_left <= 0:
            return False
        if not self.state.open and route.now - self.state.last_sent_at > 2 * SECOND:
            return True  # a trial: an agent that defers everything would never learn that answers are quick
        # Work that is almost sure to be late only takes time from what could still be on time.
        relative_wait = self.expected_wait / max(1, item.due_at - item.received_at)
        return time_left > 0.5 * self.expected_wait and relative_wait < 0.5 + 0.9 * rank

    def on_end(self, end: AttemptEnd) -> None:
        """Learn how many own attempts the backends bear: fewer while answers are slow, more otherwise."""
        if end.item is None or end.outcome in (Outcome.UNSENT, Outcome.CANCELLED, Outcome.UNREACHABLE):
            return
        category, backend = end.item.category, end.attempt.backend
        base_time = self.state.base_time(category)
        sample = 2 * OVERLOAD if end.outcome is Outcome.FULL else min(2 * OVERLOAD, end.took / base_time)
        # Slowness that the backend's queue does not explain comes from the network or this agent: a cut is no
        # cure. Without a report the last reading counts, if the backend has answered others since.
        queue = end.report.get("outstanding", 2 * OVERLOAD)
        if not end.report and backend.read_at is not None and backend.answered_at >= end.attempt.sent_at:
            queue = backend.others_reading + len(backend.in_flight) + 1
        if end.outcome is not Outcome.FULL and self.loads.trust > 0.1:
            sample = min(sample, 2.0 + 1.5 * queue)
        # Weighted by elapsed time, so that an agent with few answers does not learn too late.
        elapsed_s, self.learned_at = (end.now - self.learned_at) / SECOND, end.now
        self.slowdown += max(0.05, min(0.5, 0.15 * elapsed_s)) * (sample - self.slowdown)
        # A heavy work item may take most of its due time with an empty queue; that does not make a backend
        # slow. Nor, where no report tells of queues, do answers well before the due time.
        due_ratio = (category.due_in or OVERLOAD * base_time) / base_time
        early = 0.45 * due_ratio if backend.read_at is None else 0.0
        bearable = max(1.5, min(0.6 * OVERLOAD, 0.6 * due_ratio), early)
        if self.slowdown > max(0.75 * OVERLOAD, 1.25 * early) and end.attempt.sent_at >= self.last_cut_at:
            self.last_cut_at = end.now  # once a round: answers to what was sent before say nothing of the cut
            self._cut(0.5)
        elif self.slowdown > bearable:
            self._cut(min(0.97, 0.8 ** min(1.0, elapsed_s)))
        else:
            count = max(1, self.state.running_count)
            # One attempt over the mean is chance, and no sign that the limit was reached.
            if max(self.state.mean_open, self.state.open - 1) >= 0.5 * self.limit * count:
                self.limit = min(4 * OVERLOAD, self.limit + (1.0 if self.limit < self.knee else 0.2) / count)

    def _cut(self, factor: float) -> None:
        # Back to half of what was borne before the first cut, not further.
        self.knee = 0.5 * self.limit if self.limit > self.knee or not self.was_cut else 0.99 * self.knee
        self.was_cut = True
        # At one work item per backend, over all agents, any backlog clears: no lower.
        self.limit = max(1.0 / self.state.agent_count, factor * self.limit)

    def retry_after(self, item: WorkItem, now: Time) -> Time:
        if not self.max_retry_after:
            return 0
        if item.due_at <= now:
            return self.max_retry_after
        return int(min(self.max_retry_after, max(self.expected_wait, 500)))
