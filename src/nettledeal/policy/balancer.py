"""The interface of the decision module to its hosts.

One `Balancer` serves one agent. Its host calls `start` once, then the other methods as events happen, each
with the current time, and gets a `Step`: actions to carry out in order, and the time of the next `wake`.
Times are whole tenths of a millisecond. No clock, no I/O, no globals: the same calls give the same steps.
"""

from collections.abc import Iterable, Mapping
from heapq import heappop

from nettledeal.model import BackendId, Lifecycle, Listing, LoadReport, Outcome, Step, Time, WorkItemId
from nettledeal.policy.dispatch import Dispatch
from nettledeal.policy.shared_state import SECOND
from nettledeal.records import AttemptEnd, Backend, Category, WorkItem


class Balancer(Dispatch):
    """The methods that the host calls; `start` first, and only once."""

    def start(self, now: Time) -> Step:
        return self._step(now)

    def submit(
        self, now: Time, id: WorkItemId, category_index: int, expiry: Time, *, customer: int = 0,
        key: str | None = None, is_retry: bool = False, is_long: bool = False,
    ) -> Step:  # fmt: skip
        category = self.state.category(category_index)
        due = expiry
        if category.due_in and not is_long:  # the end of a long upload is unknown, so it has its whole time
            due = min(expiry, self._first_tried(now, category, expiry, is_retry) + category.due_in)
        item = WorkItem(id, category, now, due, expiry, customer, is_retry, self.work_items.max_attempts, key)
        self.work_items.by_id[id] = item
        self.admission.record_received(item, now)
        if key is not None and self.state.warm_keys:
            self.key_affinity.count_key(key)
        self.hedge_credit = min(5.0, self.hedge_credit + 0.03)
        self.loads.probe_credit = min(
            10.0, self.loads.probe_credit + self.state.probe_refill / self.state.processes
        )
        self._route(item, now)
        return self._step(now)

    def _first_tried(self, now: Time, category: Category, expiry: Time, is_retry: bool) -> Time:
        """When the client first tried, as the due time runs from there and late retries are wasted work. A
        retry that does not wait as long as first tries do has the rest of the category's expiry left."""
        if not is_retry:
            category.usual_wait = expiry - now
        elif abs(expiry - now - category.usual_wait) > 2 * self.resolution:
            return min(now, expiry - category.expires_in)
        return now

    def on_attempt_end(
        self, now: Time, id: WorkItemId, number: int, outcome: Outcome, took: Time, *, closed: bool,
        report: LoadReport,
    ) -> Step:  # fmt: skip
        attempt = self.in_flight.pop((id, number), None)
        if attempt is None:
            return self._step(now)
        attempt.backend.in_flight.pop((id, number), None)
        attempt.outcome = outcome
        self.state.count_open(now, -1 if not attempt.lost else 0)
        item = self.work_items.by_id.get(id)
        end = AttemptEnd(item, attempt, outcome, took, report, now)
        self.admission.on_end(end)
        self.loads.on_end(end, self.locality.threshold)
        self.locality.on_end(end)
        self.health.on_end(end)
        attempt.backend.confirmed = attempt.backend.confirmed or outcome is Outcome.FINISHED
        if outcome is Outcome.FINISHED:
            self.state.trials.pop(attempt.backend.id, None)
        if item is None:
            return self._step(now)
        item.open_attempts -= 1
        if closed or outcome is Outcome.FINISHED:
            self._close(item)
        elif not item.open_attempts:
            item.home_only = item.home_only or attempt.cross_zone
            self._route(item, now)
        return self._step(now)

    def update_backends(self, now: Time, listings: Iterable[Listing], *, whole: bool, cached: bool) -> Step:
        self.discovery.apply(listings, now, whole, cached)
        if not cached:
            self.discovery.on_list()
        return self._step(now)

    def apply_settings(self, now: Time, settings: Mapping) -> Step:
        """New settings; open work items keep the categories that they came with."""
        self.state.configure(settings)
        for stage in (self.work_items, self.admission, self.health):
            stage.configure()
        self.state.rebuild_groups(now)  # zone, index or connection price may have changed
        return self._step(now)

    def set_processes(self, processes: int) -> None:
        """Several processes form one agent for a while, and each gets its part of the agent's limits."""
        part = self.state.processes / processes
        self.admission.limit, self.admission.knee = part * self.admission.limit, part * self.admission.knee
        self.state.processes = processes

    def cordon(self, now: Time, id: BackendId, heard: bool = False) -> bool:
        """Takes a backend out of service until `uncordon`, whatever the list says. Returns whether it is
        known, which one `heard` of from another process always is."""
        state, b = self.state, self.state.backends.get(id)
        if heard or b is not None and b.listing.lifecycle is not Lifecycle.GONE:
            state.cordoned.setdefault(id, now)
            state.trials.pop(id, None)
            if b is not None:
                b.cordoned = True
            state.rebuild_groups(now)
        return id in state.cordoned

    def uncordon(self, now: Time, id: BackendId) -> bool:
        """Puts it back in service as the list allows, with nothing learned. Returns whether it is known."""
        state, b = self.state, self.state.backends.get(id)
        if b is None and id not in state.cordoned:
            return False
        since = state.cordoned.pop(id, None)
        if b is not None and since is not None:
            fresh = Backend.fresh(b.listing, b.confirmed, now, b)
            # Probably restarted meanwhile, which the list may tell late: cold until it does.
            fresh.assumed_start = now if b.listing.started_at < since else 0
            state.backends[id] = fresh
            state.trials[id] = now + SECOND
            self.health.tested.pop(id, None)
            state.rebuild_groups(now)
        return True

    def on_discovery_failed(self, now: Time) -> Step:
        self.discovery.on_failure(now)
        return self._step(now)

    def on_withdrawn(self, now: Time, id: WorkItemId) -> Step:
        item = self.work_items.by_id.get(id)
        if item is not None:
            self._close(item)
        return self._step(now)

    def on_probe(self, now: Time, id: BackendId, outcome: Outcome, took: Time, report: LoadReport) -> Step:
        backend = self.state.backends.get(id)
        if backend is not None:
            if outcome is Outcome.FINISHED:
                backend.answered_at = now
                self.loads.record_report(backend, report, now)
            if outcome not in (Outcome.FULL, Outcome.UNSENT):
                self.health.record_result(backend, outcome is not Outcome.FINISHED, now)
        self.loads.probe_time.learn(took, now, SECOND, 0.1)
        for waiting in self.awaiting_probe.pop(id, ()):
            item = self.work_items.by_id.get(waiting)
            if item is not None and item.pending_probes:
                item.pending_probes -= 1
                if not item.pending_probes:
                    self._route(item, now)
        return self._step(now)

    def on_streaming(self, now: Time, id: WorkItemId, number: int) -> Step:
        item = self.work_items.by_id.get(id)
        if item is not None:
            item.streaming = True
        return self._step(now)

    def on_upload_forwarded(self, now: Time, id: WorkItemId, number: int) -> Step:
        """A streamed upload cannot be sent again, and its backend starts work only after the last byte."""
        attempt = self.in_flight.get((id, number))
        item = self.work_items.by_id.get(id)
        if attempt is not None and item is not None:
            item.streaming = attempt.lost = True
            attempt.backend.in_flight.pop((id, number), None)
            self.state.count_open(now, -1)
        return self._step(now)

    def wake(self, now: Time) -> Step:
        while self.timers and self.timers[0][0] <= now:
            _, _, id, number = heappop(self.timers)
            item = self.work_items.by_id.get(id)
            if number < 0:
                if item is not None and item.pending_probes:
                    item.pending_probes = 0
                    self._route(item, now)
            elif item is not None and not item.streaming and item.attempts[number].outcome is None:
                self._on_overdue(item, item.attempts[number], now)
        return self._step(now)

    def _step(self, now: Time) -> Step:
        self.actions += self.discovery.wake(now)
        actions, self.actions = self.actions, []
        times = [self.timers[0][0]] if self.timers else []
        if self.discovery.ask_at is not None:
            times.append(self.discovery.ask_at)
        return Step(actions, min(times, default=None))
