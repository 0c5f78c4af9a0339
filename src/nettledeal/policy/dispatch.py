"""Dispatch: runs a work item through the stages, to an attempt, a probe or its final answer."""

from collections.abc import Mapping
from heapq import heappush

from nettledeal.model import Action, BackendId, CancelAttempt, Effect, Probe, SendAttempt, Time, WorkItemId
from nettledeal.policy.admission import Admission
from nettledeal.policy.discovery import Discovery
from nettledeal.policy.health import BackendHealth
from nettledeal.policy.key_affinity import KeyAffinity
from nettledeal.policy.load_estimates import LoadEstimates
from nettledeal.policy.locality import Locality
from nettledeal.policy.retries import RetryRules
from nettledeal.policy.shared_state import SECOND, SharedState
from nettledeal.policy.work_items import OpenWorkItems
from nettledeal.records import Attempt, Routing, WorkItem

MIN_SAMPLES = 20  # answers of a category after which its base time counts as known


class Dispatch:
    """Routes work items through the stages and sends them; `Balancer` adds the calls of the host."""

    def __init__(self, seed: int, settings: Mapping, now: Time):
        self.state = SharedState(seed, settings)
        self.health = BackendHealth(self.state)
        self.loads = LoadEstimates(self.state, self.health)
        self.work_items = OpenWorkItems(self.state)
        self.admission = Admission(self.state, self.loads)
        self.retries = RetryRules(self.state)
        self.locality = Locality(self.state, self.loads)
        self.discovery = Discovery(self.state, now)
        self.key_affinity = KeyAffinity(self.state)
        self.stages = (self.work_items, self.admission, self.locality, self.loads)
        self.timers: list[tuple[Time, int, WorkItemId, int]] = []
        self.timer_count, self.hedge_credit = 0, 3.0
        self.awaiting_probe: dict[BackendId, list[WorkItemId]] = {}
        self.resolution = max(1, self.state.get("resolution", 10))
        self.in_flight: dict[tuple[WorkItemId, int], Attempt] = {}
        self.actions: list[Action] = []

    def _route(self, item: WorkItem, now: Time, is_hedge: bool = False) -> None:
        route = Routing(item, now, is_hedge=is_hedge)
        self.loads.costs.clear()
        route.preferred = self.key_affinity.preferred(item.key) if item.key is not None else []
        if self._send_trial(route):
            return
        # Retry rules and health filter the sample itself, so that enough candidates remain.
        route.candidates = self.state.sample(
            lambda b: (
                self.retries.allows(item, b, now)
                and self.health.allows(item, b, now)
                and not (is_hedge and any(attempt.backend is b for attempt in item.attempts))
            ),
            route.preferred,
        )
        if all(stage.on_request(route) for stage in self.stages) and self._may_send(route):
            if route.to_probe and self._probe_first(route):
                return
            self._send(route)
        elif not item.open_attempts:  # answered now, rather than near its expiry
            self.actions.append(self.work_items.answer(item, self.admission.retry_after(item, now)))

    def _send_trial(self, route: Routing) -> bool:
        """Sends a first attempt now and then to each backend put back in service, until one is answered: with
        nothing learned about it, others would look better for long."""
        for id, at in self.state.trials.items() if not route.item.attempts else ():
            b = self.state.backends.get(id)
            if at <= route.now and b is not None:
                route.chosen, route.cross_zone = b, b.listing.zone != self.state.zone
                if self._may_send(route):
                    self.state.trials[id] = route.now + SECOND // 2
                    self._send(route)
                    return True
        return False

    def _may_send(self, route: Routing) -> bool:
        """Final check of all rules before an attempt, independent of the stages."""
        return (
            route.item.id in self.work_items.by_id
            and not route.item.streaming
            and self.work_items.on_request(route)
            and self.retries.allows(route.item, route.chosen, route.now)
            and self.health.allows(route.item, route.chosen, route.now)
        )

    def _probe_first(self, route: Routing) -> bool:
        """Sends probes; returns whether the work item waits for their answers before it is sent."""
        item, loads = route.item, self.loads
        item.has_probed = True
        self.actions += [Probe(b.id) for b in route.to_probe]
        patience = 2 * self.resolution + int(2 * loads.probe_time.value)
        if patience > 0.1 * self.state.base_time(item.category):
            return False
        item.pending_probes = len(route.to_probe)
        for b in route.to_probe:
            self.awaiting_probe.setdefault(b.id, []).append(item.id)
        self._set_timer(route.now + patience, item, -1)
        return True

    def _send(self, route: Routing) -> None:
        item, now, backend = route.item, route.now, route.chosen
        base_time = self.state.base_time(item.category)
        ahead = self.loads.queue(backend, now)
        eta = now + int((1 + ahead) * base_time * self.loads.slowness(backend, now)) + 1
        others, begin_by = self.loads.others_queue(backend, now), self.retries.deadline(item)
        attempt = Attempt(
            len(item.attempts), backend, now, eta, ahead, len(backend.in_flight), others, route.cross_zone
        )
        item.attempts.append(attempt)
        self.in_flight[(item.id, attempt.number)] = attempt
        item.open_attempts += 1
        self.state.count_open(now, 1)
        backend.in_flight[(item.id, attempt.number)] = attempt
        backend.sent_since_reading += 1
        self.health.record_sent(route)
        if route.is_hedge:
            self.hedge_credit -= 1.0
        # Slightly before the expiry, as the answer must reach the client by then.
        timeout = max(1, item.expires_at - now - 2 * self.resolution)
        patience = int(max(4 * (eta - now), 4 * base_time))
        self._set_timer(now + patience, item, attempt.number)
        # Without hedging a straggler times out while another backend can still be on time; only in an idle
        # fleet and with a known base time, since the backend goes on and the work is done twice.
        retry = (
            item.category.effect is Effect.IDEMPOTENT and len(item.attempts) < 2 and not self.state.may_hedge
        )
        idle = item.category.samples >= MIN_SAMPLES and self.admission.slowdown < 1.5
        if retry and idle and item.due_at - now - patience > base_time:
            timeout = min(timeout, patience)
        self.actions.append(SendAttempt(item.id, attempt.number, backend.id, timeout, begin_by))

    def _set_timer(self, at: Time, item: WorkItem, number: int) -> None:
        """Checks attempt `number` at that time; -1 stands for a work item that waits for its probes."""
        self.timer_count += 1
        heappush(self.timers, (at, self.timer_count, item.id, number))

    def _close(self, item: WorkItem) -> None:
        """The client has its answer; attempts still in flight are cancelled where that is allowed."""
        del self.work_items.by_id[item.id]
        if self.state.may_cancel and not item.streaming:
            self.actions += [
                CancelAttempt(item.id, sent.number) for sent in item.attempts if sent.outcome is None
            ]

    def _on_overdue(self, item: WorkItem, sent: Attempt, now: Time) -> None:
        """The attempt has taken several times as long as expected."""
        # A backend that has answered since may be busy with a heavy work item, and a hedge would double the
        # heaviest work. A lone heavy work item looks like a dead backend, so probe it first.
        if sent.backend.answered_at >= sent.sent_at:
            return
        if self.state.may_probe and not sent.probed:
            sent.probed = True
            self.actions.append(Probe(sent.backend.id))
            self._set_timer(now + int(self.state.base_time(item.category)), item, sent.number)
            return
        sent.lost = True  # a backend that loses work would otherwise use up the limit
        self.state.count_open(now, -1)
        self.health.record_result(sent.backend, True, now)
        if item.due_at - now <= self.state.base_time(item.category) or len(item.attempts) != sent.number + 1:
            return
        if self.state.may_hedge and self.hedge_credit >= 1.0:
            self._route(item, now, is_hedge=True)
        elif not self.state.may_hedge and self.state.may_cancel and item.category.effect is Effect.IDEMPOTENT:
            self.actions.append(CancelAttempt(item.id, sent.number))
