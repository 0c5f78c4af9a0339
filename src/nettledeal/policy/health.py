"""Health of backends: drains, cold starts, and distrust of backends that fail."""

from nettledeal.model import BackendId, Outcome, Time
from nettledeal.policy.shared_state import SAMPLE_SIZE, SECOND, SharedState
from nettledeal.records import AttemptEnd, Backend, Routing, WorkItem
from nettledeal.time_windows import WindowedSums


class BackendHealth:
    """Which backends may get work, how much while they warm up, and how far each is distrusted."""

    def __init__(self, state: SharedState):
        self.state = state
        self.median, self.median_at = 0.0, -SECOND
        self.tested: dict[BackendId, tuple[Backend, Time]] = {}  # the oldest first
        self.configure()

    def configure(self) -> None:
        self.overload_factor = float(self.state.get("rules.overload_factor", 1.0))
        self.window = max(1, self.state.get("rules.tip_after", SECOND))  # this much overload topples one
        self.cold_from = float(self.state.get("rules.cold_from", 0.1))

    def capacity(self, backend: Backend, now: Time) -> float:
        if not self.state.is_cold(backend, now):
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0, now - backend.started_at) / self.state.warmup

    def allows(self, item: WorkItem, backend: Backend, now: Time) -> bool:
        if not backend.in_service:
            return False
        if not backend.confirmed and len(backend.in_flight) >= 2:
            return False  # known from a cached list only: it may be gone, or cold
        if self.capacity(backend, now) >= 1.0:
            return True
        spent = backend.cold_work.total(now, 0) if backend.cold_work else 0.0
        cost, budget = self.state.base_time(item.category), self.budget(backend, now)
        # A budget below one work item is spent by chance, in the draw; checking it here too would halve it.
        return (spent + cost <= budget or budget < cost) and len(backend.in_flight) < 3

    def budget(self, backend: Backend, now: Time) -> float:
        """This agent's share, in time of work, of half the overload that makes a cold backend fail. Agents do
        not see each other, so each keeps to its share, and never spends it in one burst."""
        whole = 0.5 * self.overload_factor * self.window * self.capacity(backend, now - self.window // 2)
        return whole / self.state.agent_count

    def record_sent(self, route: Routing) -> None:
        backend = route.chosen
        if self.capacity(backend, route.now) < 1.0:
            backend.cold_work = backend.cold_work or WindowedSums(self.window, 1)
            backend.cold_work.add(route.now, 0, self.state.base_time(route.item.category))

    def _median_rate(self, now: Time) -> float:
        """Median over the whole fleet; backends without recent results count as 0."""
        if now - self.median_at >= SECOND // 4:
            self.median_at = now
            for id, (_, at) in list(self.tested.items()):
                if now - at < 4 * SECOND:
                    break
                del self.tested[id]
            rates = sorted((self._failure_rate(b, now) for b, _ in self.tested.values()), reverse=True)
            middle = self.state.running_count - self.state.running_count // 2 - 1
            self.median = rates[middle] if middle < len(rates) else 0.0
        return self.median

    @staticmethod
    def _failure_rate(backend: Backend, now: Time) -> float:
        return backend.result_counts.total(now, 1) / (backend.result_counts.total(now, 0) + 0.5)

    @staticmethod
    def distrust(backend: Backend, now: Time) -> float:
        """Halves every 1.5 s, so that a trial soon finds a backend that has recovered."""
        if not backend.distrust:
            return 0.0
        return backend.distrust * 0.5 ** ((now - backend.distrust_at) / (1.5 * SECOND))

    def on_end(self, end: AttemptEnd) -> None:
        finished = end.outcome is Outcome.FINISHED
        if end.outcome not in (Outcome.FULL, Outcome.UNSENT, Outcome.CANCELLED) and (
            finished or not end.attempt.lost
        ):
            self.record_result(end.attempt.backend, not finished, end.now)

    def record_result(self, backend: Backend, failed: bool, now: Time) -> None:
        backend.result_counts = backend.result_counts or WindowedSums(4 * SECOND, 2, 8)
        backend.result_counts.add(now, 0, 1.0)
        self.tested.pop(backend.id, None)
        self.tested[backend.id] = backend, now
        if len(self.tested) > 2 * self.state.running_count + SAMPLE_SIZE:
            del self.tested[next(iter(self.tested))]  # bounded, as fleets are replaced again and again
        level = self.distrust(backend, now)
        if failed:
            backend.result_counts.add(now, 1, 1.0)
            # Relative to the fleet's median, as a failure that all share is no fault of one. The median is
            # capped, as a backend that almost always fails must get no work even if half of the fleet does.
            usual = min(0.5, self._median_rate(now))
            level = max(level, min(0.95, self._failure_rate(backend, now) + 0.25 - usual))
        else:
            level *= 0.5
        backend.distrust, backend.distrust_at = max(0.0, level), now
