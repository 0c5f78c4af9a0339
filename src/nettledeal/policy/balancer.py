"""The decisions of nettledeal as its hosts call them.

One `Balancer` serves one agent. Its host calls `start` once, then the others as things happen, each with
the time now. Each call gives a `Step`: acts to carry out at once, in order, and the time of the next `wake`.
Times are whole tenths of a millisecond. No clock, no I/O, no globals: the same calls give the same steps.
"""

from collections.abc import Iterable, Mapping
from heapq import heappop

from nettledeal.model import BackendId, Life, Listing, Outcome, Report, Step, Time, WorkItemId
from nettledeal.policy.dispatch import Dispatch
from nettledeal.policy.shared_state import SECOND
from nettledeal.records import Backend, Category, HandOffResult, WorkItem


class Balancer(Dispatch):
    """The calls of the host; `start` comes first and once."""

    def start(self, now: Time) -> Step:
        return self._step(now)

    def take(
        self, now: Time, id: WorkItemId, category: int, expiry: Time, *, customer: int = 0,
        key: str | None = None, again: bool = False, long: bool = False,
    ) -> Step:  # fmt: skip
        kind = self.state.category(category)
        due = expiry
        # When a long one will be whole is not known: until then it counts as one with all its time.
        if kind.due and not long:
            due = min(expiry, self._first_taken(now, kind, expiry, again) + kind.due)
        wi = WorkItem(id, kind, now, due, expiry, customer, again, self.work_items.most, key)
        self.work_items.open[id] = wi
        self.admission.taken(wi, now)
        if key is not None and self.state.warm_keys:
            self.key_affinity.taken(key)
        self.copies = min(5.0, self.copies + 0.03)
        self.memory.probes = min(10.0, self.memory.probes + self.state.probe_gain / self.state.processes)
        self._route(wi, now)
        return self._step(now)

    def _first_taken(self, now: Time, category: Category, expiry: Time, again: bool) -> Time:
        """When the client first asked, since its due time runs from there and late repeats are wasted work. A
        first try may wait as long as other first tries; a repeat that may wait for another time has what is
        left of the category's whole expiry."""
        if not again:
            category.usual = expiry - now
        elif abs(expiry - now - category.usual) > 2 * self.resolution:
            return min(now, expiry - category.expiry)
        return now

    def returned(
        self, now: Time, id: WorkItemId, number: int, outcome: Outcome, took: Time, *, closed: bool,
        report: Report,
    ) -> Step:  # fmt: skip
        ho = self.in_flight.pop((id, number), None)
        if ho is None:
            return self._step(now)
        ho.backend.own.pop((id, number), None)
        ho.outcome = outcome
        self.state.count_open(now, -1 if not ho.lost else 0)
        wi = self.work_items.open.get(id)
        r = HandOffResult(wi, ho, outcome, took, report, now)
        self.admission.on_result(r)
        self.memory.on_result(r, self.locality.threshold)
        self.locality.on_result(r)
        self.health.on_result(r)
        ho.backend.known = ho.backend.known or outcome is Outcome.FINISHED
        if outcome is Outcome.FINISHED:
            self.state.trials.pop(ho.backend.id, None)
        if wi is None:
            return self._step(now)
        wi.open -= 1
        if closed or outcome is Outcome.FINISHED:
            self._close(wi)
        elif not wi.open:
            wi.must_home = wi.must_home or ho.offload
            self._route(wi, now)
        return self._step(now)

    def update_backends(self, now: Time, listings: Iterable[Listing], *, whole: bool, cached: bool) -> Step:
        self.discovery.apply(listings, now, whole, cached)
        if not cached:
            self.discovery.heard()
        return self._step(now)

    def retune(self, now: Time, settings: Mapping) -> Step:
        """Other settings; what is open keeps the category that it came with."""
        self.state.tune(settings)
        for stage in (self.work_items, self.admission, self.health):
            stage.tune()
        self.state.regroup(now)  # its zone, its number or the price of connections may be others
        return self._step(now)

    def share(self, processes: int) -> None:
        """So many are one agent for a while, and each has its part of what one may do; whole again alone."""
        part = self.state.processes / processes
        self.admission.limit, self.admission.safe = part * self.admission.limit, part * self.admission.safe
        self.state.processes = processes

    def cordon(self, now: Time, id: BackendId, heard: bool = False) -> bool:
        """Out of service until `uncordon`, whatever the list says; whether there is such a backend, as there
        is for another process that has been told so."""
        state, b = self.state, self.state.backends.get(id)
        if heard or b is not None and b.listing.life is not Life.GONE:
            state.cordoned.setdefault(id, now)
            state.trials.pop(id, None)
            if b is not None:
                b.cordoned = True
            state.regroup(now)
        return id in state.cordoned

    def uncordon(self, now: Time, id: BackendId) -> bool:
        """Used again as the list allows, like one just named: what was learned of it counts no more."""
        state, b = self.state, self.state.backends.get(id)
        if b is None and id not in state.cordoned:
            return False
        since = state.cordoned.pop(id, None)
        if b is not None and since is not None:
            fresh = Backend.begin(b.listing, b.known, now, b)
            # It is taken out to be restarted, and the list may tell that late: cold until it tells.
            fresh.cold_since = now if b.listing.started < since else 0
            state.backends[id] = fresh
            state.trials[id] = now + SECOND
            self.health.judged.pop(id, None)
            state.regroup(now)
        return True

    def discovery_failed(self, now: Time) -> Step:
        self.discovery.failed(now)
        return self._step(now)

    def withdrawn(self, now: Time, id: WorkItemId) -> Step:
        wi = self.work_items.open.get(id)
        if wi is not None:
            self._close(wi)
        return self._step(now)

    def probed(self, now: Time, id: BackendId, outcome: Outcome, took: Time, report: Report) -> Step:
        backend = self.state.backends.get(id)
        if backend is not None:
            if outcome is Outcome.FINISHED:
                backend.heard_at = now
                self.memory.read(backend, report, now)
            if outcome not in (Outcome.FULL, Outcome.UNSENT):
                self.health.judge(backend, outcome is not Outcome.FINISHED, now)
        self.memory.probe_took.learn(took, now, SECOND, 0.1)
        for waiting in self.asking.pop(id, ()):
            wi = self.work_items.open.get(waiting)
            if wi is not None and wi.asking:
                wi.asking -= 1
                if not wi.asking:
                    self._route(wi, now)
        return self._step(now)

    def streaming(self, now: Time, id: WorkItemId, number: int) -> Step:
        wi = self.work_items.open.get(id)
        if wi is not None:
            wi.streaming = True
        return self._step(now)

    def handed_on(self, now: Time, id: WorkItemId, number: int) -> Step:
        """It goes out while it comes, and can't be sent again; its backend begins it with its last byte."""
        ho = self.in_flight.get((id, number))
        wi = self.work_items.open.get(id)
        if ho is not None and wi is not None:
            wi.streaming = ho.lost = True
            ho.backend.own.pop((id, number), None)
            self.state.count_open(now, -1)
        return self._step(now)

    def wake(self, now: Time) -> Step:
        while self.alarms and self.alarms[0][0] <= now:
            _, _, id, number = heappop(self.alarms)
            wi = self.work_items.open.get(id)
            if number < 0:
                if wi is not None and wi.asking:
                    wi.asking = 0
                    self._route(wi, now)
            elif wi is not None and not wi.streaming and wi.sent[number].outcome is None:
                self._overdue(wi, wi.sent[number], now)
        return self._step(now)

    def _step(self, now: Time) -> Step:
        self.acts += self.discovery.wake(now)
        acts, self.acts = self.acts, []
        times = [self.alarms[0][0]] if self.alarms else []
        if self.discovery.next is not None:
            times.append(self.discovery.next)
        return Step(acts, min(times, default=None))
