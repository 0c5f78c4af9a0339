"""Estimates of backend load: their queues, their learned slowness, and the weighted draw that uses both."""

from math import exp, log

from nettledeal.model import BackendId, LoadReport, Outcome, Time
from nettledeal.policy.health import BackendHealth
from nettledeal.policy.shared_state import SECOND, SharedState
from nettledeal.records import AttemptEnd, Backend, Category, Routing
from nettledeal.time_windows import Trend

HISTORY_WEIGHT = 0.7  # the design's smoothing: of the remembered queue, per new reading or silent second
# Exponent by which the draw prefers short queues. Agents that do not see each other overload a backend that
# all prefer a little; one that all prefer strongly fills with own attempts first, so a sharp draw is safe.
MAX_SHARPNESS = 12.0
MIN_SHARPNESS = 3.0  # with only the machine type known: somewhat more than its share of speed
DECAY = 8 * SECOND  # of what was learned of one backend, towards the pooled values
# How long the draw trusts a reading, in times of a work item: queues change that fast, and agents that trust
# an older one overload the backend.
READING_LIFE = 6.0
KEY_WEIGHT = 200.0  # of a backend that the key of the work item prefers


class LoadEstimates:
    """Estimated queues and speeds of backends, and the random choice weighted by them."""

    def __init__(self, state: SharedState, health: BackendHealth):
        self.state, self.health = state, health
        self.probe_credit = 0.0
        self.costs: dict[BackendId, float] = {}  # cache for one routing pass
        self.counts_own = 1.0  # how often the report with an answer still counts the answered work item
        self.probe_time = Trend()  # fades, or one moment of slow answers would end probing for good
        # Regression of waits on reported queues: late, frozen or false reports fall to 0.
        self.squares, self.products = 20.0, 10.0
        # The same for own attempts: under 1 where work items wait on others for most of their time.
        self.own_squares = self.own_products = 20.0
        # Pooled estimates, for a backend never used, or long ago: by machine type, and by zone.
        self.type_slowness: dict[int, Trend] = {}
        self.queues: dict[int, Trend] = {}
        self.zone_slowness: dict[int, Trend] = {}

    @property
    def trust(self) -> float:
        return min(1.0, max(0.0, self.products / self.squares))

    @property
    def own_weight(self) -> float:
        return min(1.5, max(0.1, self.own_products / self.own_squares))

    def queue(self, b: Backend, now: Time) -> float:
        """Estimated work items at the backend, of this agent and of others."""
        if b.pinned_queue is not None:
            return b.pinned_queue + b.sent_since_reading
        return self.own_weight * len(b.in_flight) + self.trust * self.others_queue(b, now)

    def others_queue(self, b: Backend, now: Time) -> float:
        usual = self.queues[b.listing.zone].faded(now, DECAY) if b.listing.zone in self.queues else 0.0
        if b.read_at is None:
            return usual
        age = now - b.read_at
        fresh = exp(-age / (SECOND / 4))
        known = exp(-age / DECAY)
        return fresh * b.others_reading + (1 - fresh) * (known * b.others_smoothed + (1 - known) * usual)

    def _sharpness(self, b: Backend, now: Time, took: float) -> float:
        """Falls with the age of the reading, and if reports predict nothing: all would pick the same few."""
        age = 0 if b.pinned_queue is not None else now - (b.read_at or 0)
        known = 0.0 if b.read_at is None else exp(-age / (READING_LIFE * took))
        return MIN_SHARPNESS + (MAX_SHARPNESS - MIN_SHARPNESS) * known * min(1.0, 2 * self.trust)

    def _log_slowness(self, b: Backend, now: Time) -> float:
        """Decays towards the values of its machine type and zone, or a recovered backend would get none."""
        kind, zone = self.type_slowness.get(b.listing.machine_type), self.zone_slowness.get(b.listing.zone)
        known = exp(-(now - b.slowness_at) / DECAY) if b.log_slowness else 0.0
        usual = (1 - known) * zone.faded(now, DECAY / 2) if zone else 0.0
        return (kind.value if kind else 0.0) + known * b.log_slowness + usual

    def slowness(self, b: Backend, now: Time) -> float:
        """Learned slowness, and at least what an overdue answer shows."""
        slowness = exp(self._log_slowness(b, now))
        if b.in_flight:
            oldest = next(iter(b.in_flight.values()))
            late = (now - oldest.sent_at) / max(1.0, oldest.expected_by - oldest.sent_at)
            if late > 1.5 and b.answered_at < oldest.sent_at:
                slowness *= late / 1.5
        return slowness / self.health.capacity(b, now)

    def usable(self, b: Backend, now: Time) -> float:
        """Present capacity relative to a sound, warm backend."""
        return self.health.capacity(b, now) * (1.0 - self.health.distrust(b, now))

    def cost(self, b: Backend, now: Time) -> float:
        """Expected time to an answer, relative to an empty queue. Cached, as several stages ask for it."""
        if b.id not in self.costs:
            trust = 1.0 - self.health.distrust(b, now)
            self.costs[b.id] = (1.0 + self.queue(b, now)) * self.slowness(b, now) / max(0.05, trust)
        return self.costs[b.id]

    def on_request(self, route: Routing) -> bool:
        choices = route.candidates
        if len(choices) > 1:
            used = [attempt.backend for attempt in route.item.attempts]
            choices = [b for b in choices if b not in used] or choices
        route.to_probe = self._backends_to_probe(route, choices)
        # Cold backends are weighted by capacity, as the sharp draw would leave them none; by somewhat more
        # than the least that the rules allow for, where they answer sooner than that.
        capacity = self.health.capacity
        took = self.state.base_time(route.item.category)
        caps = [min(1.0, capacity(b, route.now) * exp(max(0.0, min(0.3, -b.log_slowness)))) for b in choices]
        costs = [log(self.cost(b, route.now) * caps[n]) for n, b in enumerate(choices)]
        mean = sum(costs) / len(costs)
        weights = [
            caps[n] * exp(self._sharpness(b, route.now, took) * max(-4.0, min(4.0, mean - costs[n])))
            for n, b in enumerate(choices)
        ]
        # Where a key is warm there is less to do, unless the backend is slower by more than that saves.
        for n, b in enumerate(choices):
            if b in route.preferred and costs[n] <= mean + 1.0:
                weights[n] *= KEY_WEIGHT
        return self._draw(route, choices, weights, caps)

    def _draw(self, route: Routing, choices: list[Backend], weights: list[float], caps: list[float]) -> bool:
        """If an agent's share of a cold backend's budget is below one work item, caps the odds of a draw:
        as all agents of the zone do the same, unseen ones too, their sum stays within the budget."""
        total, clipped = sum(weights), []
        for n, b in enumerate(choices):
            if caps[n] < 1.0 and self.health.budget(b, route.now) < self.state.base_time(route.item.category):
                # As many as share the work, by how often it is in the sample: recent ones always are.
                group = len(self.state.far if route.cross_zone else self.state.near)
                over = group if b in self.state.recent else len(choices)
                if b in route.preferred:
                    over = max(1.0, group * b.key_share)  # chosen because of the key
                weights[n] = min(weights[n], total * 0.7 * self.health.overload_factor * caps[n] / over)
                clipped.append(n)
        rest = total - sum(weights)
        others = sum(w for n, w in enumerate(weights) if n not in clipped)
        if rest > 0.0 and others:
            weights = [w if n in clipped else w + w * rest / others for n, w in enumerate(weights)]
        elif rest > 0.0 and self.state.random.random() * total < rest:
            return False  # all are cold, and together they bear no more
        route.chosen = self.state.random.choices(choices, weights)[0]
        return True

    def _backends_to_probe(self, route: Routing, choices: list[Backend]) -> list[Backend]:
        """Backends to probe before the draw: an agent with little traffic remembers only old queues."""
        if route.item.has_probed or route.item.attempts or not self.state.probes_first or len(choices) < 2:
            return []
        base_time = self.state.base_time(route.item.category)
        if self.probe_time.faded(route.now, 2 * SECOND) > 0.05 * base_time:
            return []  # probes wait in the queue themselves
        old = [b for b in choices if b.read_at is None or route.now - b.read_at > 0.1 * base_time]
        self.state.random.shuffle(old)  # or agents that know equally little would all probe the same few
        old.sort(key=lambda b: self.cost(b, route.now))
        ask = old[: int(self.probe_credit)]
        self.probe_credit -= len(ask)
        return ask

    def record_report(self, b: Backend, report: LoadReport, now: Time, answered: bool = False) -> None:
        if "outstanding" in report:
            # A report that is refreshed only now and then mostly counts the answered work item too. Taken at
            # face value no idle backend would read 0, and all would seem half busy and twice as slow.
            if answered and not b.in_flight:
                self.counts_own += 0.02 * ((report["outstanding"] >= 0.5) - self.counts_own)
            others = max(0.0, report["outstanding"] - len(b.in_flight) - (answered and self.counts_own > 0.9))
        elif "backlog" in report:
            others = report["backlog"]  # only waiting work, 0 at a busy backend: own attempts come on top
        else:  # no report of queues: an answer ends the pin, which would otherwise grow with each send
            b.pinned_queue = None if answered else b.pinned_queue
            return
        if b.read_at is None:
            b.others_smoothed = others
        else:
            keep = HISTORY_WEIGHT ** max(1.0, (now - b.read_at) / SECOND)
            b.others_smoothed = keep * b.others_smoothed + (1 - keep) * others
        usual = self.queues.setdefault(b.listing.zone, Trend(others, now))
        usual.learn(others, now, SECOND / -log(HISTORY_WEIGHT), 0.05)
        b.others_reading, b.read_at, b.sent_since_reading, b.pinned_queue = others, now, 0, None
        self.state.note_report(b)

    def on_end(self, end: AttemptEnd, threshold: float) -> None:
        b = end.attempt.backend
        if end.outcome in (Outcome.FINISHED, Outcome.ERROR, Outcome.FULL):
            b.answered_at = end.now
        if end.outcome is Outcome.FULL:
            b.pinned_queue, b.sent_since_reading = max(threshold, self.queue(b, end.now)), 0
            return
        if end.outcome in (Outcome.UNREACHABLE, Outcome.UNSENT, Outcome.CANCELLED):
            return
        if end.item is not None:
            category = end.item.category
            base_time = self.state.base_time(category)
            # A cold backend is known to be slow: only what exceeds that is learned.
            ratio = (
                max(1, end.took)
                * self.health.capacity(b, end.attempt.sent_at)
                / (base_time * (1.0 + end.attempt.queue_ahead))
            )
            if end.outcome is Outcome.FINISHED:
                own, others = end.attempt.own_ahead, end.attempt.others_ahead
                delay = min(8.0, end.took / (base_time * exp(self._log_slowness(b, end.now))) - 1.0)
                self.own_squares = 0.995 * self.own_squares + 0.1 + own**2
                self.own_products = 0.995 * self.own_products + 0.1 + own * (delay - self.trust * others)
                self.squares = 0.995 * self.squares + 0.1 + others**2
                self.products = 0.995 * self.products + 0.05 + others * (delay - self.own_weight * own)
                self._learn(category, end.took / (1.0 + end.attempt.queue_ahead))
            if end.outcome is Outcome.FINISHED or ratio > 1.0:
                sample = log(min(8.0, max(0.25, ratio)))
                kind = self.type_slowness.setdefault(b.listing.machine_type, Trend(0.0, end.now))
                old = exp(-(end.now - b.slowness_at) / DECAY)  # the rarer its answers, the more each counts
                gain = max(0.05, 0.5 * (1.0 - old))
                b.log_slowness = (1 - gain) * b.log_slowness * old + gain * (sample - kind.value)
                b.slowness_at = end.now
                zone = self.zone_slowness.setdefault(b.listing.zone, Trend(0.0, end.now))
                zone.learn(sample - kind.value, end.now, 2 * SECOND, 0.05)
                kind.learn(sample, end.now, 20 * SECOND, 0.01)
        self.record_report(b, end.report, end.now, end.outcome in (Outcome.FINISHED, Outcome.ERROR))

    def _learn(self, category: Category, base_time: float) -> None:
        category.base_time = category.base_time or self.state.guess_base_time(category)
        category.samples += 1
        # The guess counts as two answers: one may be many times the usual, and a category thought too slow to
        # be on time is deferred and never learned again.
        gain = max(0.02, 1.0 / (category.samples + 2.0))
        # Rises slower than it falls, or the slow answers of an overload would soon pass for the usual.
        rise = gain if base_time < category.base_time else 0.25 * gain
        category.base_time = category.base_time + rise * (base_time - category.base_time)
