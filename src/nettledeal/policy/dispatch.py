"""The way of a work item out through the stages, to a hand-off, a probe or its final answer."""

from collections.abc import Mapping
from heapq import heappush

from nettledeal.model import Act, BackendId, Effect, HandOff, Probe, Recall, Time, WorkItemId
from nettledeal.policy.admission import Admission
from nettledeal.policy.discovery import Discovery
from nettledeal.policy.health import BackendHealth
from nettledeal.policy.key_affinity import KeyAffinity
from nettledeal.policy.locality import Locality
from nettledeal.policy.memory import Memory
from nettledeal.policy.retries import RetryRules
from nettledeal.policy.shared_state import SECOND, SharedState
from nettledeal.policy.work_items import OpenWorkItems
from nettledeal.records import RoutingPass, SentHandOff, WorkItem

# Answers of a category from which its usual time is known.
LEARNED = 20


class Dispatch:
    """Takes work items out through the stages and hands them off; `Balancer` adds the calls of the host."""

    def __init__(self, seed: int, settings: Mapping, now: Time):
        self.state = SharedState(seed, settings)
        self.health = BackendHealth(self.state)
        self.memory = Memory(self.state, self.health)
        self.work_items = OpenWorkItems(self.state)
        self.admission = Admission(self.state, self.memory)
        self.retries = RetryRules(self.state)
        self.locality = Locality(self.state, self.memory)
        self.discovery = Discovery(self.state, now)
        self.key_affinity = KeyAffinity(self.state)
        self.stages = (self.work_items, self.admission, self.locality, self.memory)
        self.alarms: list[tuple[Time, int, WorkItemId, int]] = []
        self.alarm_count, self.copies = 0, 3.0
        self.asking: dict[BackendId, list[WorkItemId]] = {}
        self.resolution = max(1, self.state.get("resolution", 10))
        self.in_flight: dict[tuple[WorkItemId, int], SentHandOff] = {}
        self.acts: list[Act] = []

    def _route(self, wi: WorkItem, now: Time, extra: bool = False) -> None:
        p = RoutingPass(wi, now, extra=extra)
        self.memory.views.clear()
        p.favoured = self.key_affinity.preferred(wi.key) if wi.key is not None else []
        if self._trial(p):
            return
        # What the effect allows and what is sound goes into the look around, so that a sample has both.
        p.choices = self.state.sample(
            lambda b: (
                self.retries.allows(wi, b, now)
                and self.health.allows(wi, b, now)
                and not (extra and any(ho.backend is b for ho in wi.sent))
            ),
            p.favoured,
        )
        if all(stage.on_request(p) for stage in self.stages) and self._legal(p):
            if p.ask and self._ask(p):
                return
            self._hand_off(p)
        elif not wi.open:
            # Given up on: it gets its answer now, not near its expiry.
            self.acts.append(self.work_items.answer(wi, self.admission.retry_after(wi, now)))

    def _trial(self, p: RoutingPass) -> bool:
        """Back in service a backend is as good as unknown, and others look better for long: one first try
        now and then goes there until one is answered."""
        for id, at in self.state.trials.items() if not p.wi.sent else ():
            b = self.state.backends.get(id)
            if at <= p.now and b is not None:
                p.pick, p.offload = b, b.listing.zone != self.state.home
                if self._legal(p):
                    self.state.trials[id] = p.now + SECOND // 2
                    self._hand_off(p)
                    return True
        return False

    def _legal(self, p: RoutingPass) -> bool:
        """The last look before a hand-off, whatever the stages made of it."""
        return (
            p.wi.id in self.work_items.open
            and not p.wi.streaming
            and self.work_items.on_request(p)
            and self.retries.allows(p.wi, p.pick, p.now)
            and self.health.allows(p.wi, p.pick, p.now)
        )

    def _ask(self, p: RoutingPass) -> bool:
        """Probe before the draw; whether the work item is kept until the probes are back."""
        wi, memory = p.wi, self.memory
        wi.asked = True
        self.acts += [Probe(b.id) for b in p.ask]
        patience = 2 * self.resolution + int(2 * memory.probe_took.value)
        if patience > 0.1 * self.state.expected(wi.category):
            return False
        wi.asking = len(p.ask)
        for b in p.ask:
            self.asking.setdefault(b.id, []).append(wi.id)
        self._alarm(p.now + patience, wi, -1)
        return True

    def _hand_off(self, p: RoutingPass) -> None:
        wi, now, backend = p.wi, p.now, p.pick
        expected = self.state.expected(wi.category)
        ahead = self.memory.queue(backend, now)
        due_back = now + int((1 + ahead) * expected * self.memory.pace(backend, now)) + 1
        others, begin_by = self.memory.others(backend, now), self.retries.window(wi)
        ho = SentHandOff(len(wi.sent), backend, now, due_back, ahead, len(backend.own), others, p.offload)
        wi.sent.append(ho)
        self.in_flight[(wi.id, ho.number)] = ho
        wi.open += 1
        self.state.count_open(now, 1)
        backend.own[(wi.id, ho.number)] = ho
        backend.own_since += 1
        self.health.sent(p)
        if p.extra:
            self.copies -= 1.0
        # The answer must reach the client before its expiry, so the last time-out comes a little sooner.
        time_out = max(1, wi.expiry - now - 2 * self.resolution)
        patience = int(max(4 * (due_back - now), 4 * expected))
        self._alarm(now + patience, wi, ho.number)
        # Where no copy may go beside it, a straggler is given up while another backend can still be on time;
        # only in an idle fleet whose usual time is known, since what was begun goes on and is done twice.
        again = wi.category.effect is Effect.RERUNNABLE and len(wi.sent) < 2 and not self.state.may_copy
        idle = wi.category.seen >= LEARNED and self.admission.slowdown < 1.5
        if again and idle and wi.due - now - patience > expected:
            time_out = min(time_out, patience)
        self.acts.append(HandOff(wi.id, ho.number, backend.id, time_out, begin_by))

    def _alarm(self, at: Time, wi: WorkItem, number: int) -> None:
        """Look again at hand-off `number`; at -1 for a work item kept for its probes."""
        self.alarm_count += 1
        heappush(self.alarms, (at, self.alarm_count, wi.id, number))

    def _close(self, wi: WorkItem) -> None:
        """The client has its answer; what still runs for it is recalled where that is allowed."""
        del self.work_items.open[wi.id]
        if self.state.may_recall and not wi.streaming:
            self.acts += [Recall(wi.id, ho.number) for ho in wi.sent if ho.outcome is None]

    def _overdue(self, wi: WorkItem, ho: SentHandOff, now: Time) -> None:
        """Nothing has come of a hand-off for several times as long as it should have taken."""
        # A backend that answers others may be at work on a heavy one: a copy would double the heaviest work.
        # A lone heavy item looks like silence, so a probe asks first.
        if ho.backend.heard_at >= ho.at:
            return
        if self.state.may_probe and not ho.asked:
            ho.asked = True
            self.acts.append(Probe(ho.backend.id))
            self._alarm(now + int(self.state.expected(wi.category)), wi, ho.number)
            return
        # A backend that swallows some of its work would otherwise fill the limit with what never returns.
        ho.lost = True
        self.state.count_open(now, -1)
        self.health.judge(ho.backend, True, now)
        if wi.due - now <= self.state.expected(wi.category) or len(wi.sent) != ho.number + 1:
            return
        if self.state.may_copy and self.copies >= 1.0:
            self._route(wi, now, extra=True)
        elif not self.state.may_copy and self.state.may_recall and wi.category.effect is Effect.RERUNNABLE:
            self.acts.append(Recall(wi.id, ho.number))
