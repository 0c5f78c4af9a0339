"""Every decision of nettledeal.

One `Balancer` serves one agent. Its host calls `start` once, then `take`, `returned`, `roster`,
`roster_failed`, `withdrawn`, `probed`, `streaming` and `wake` as things happen, each with the time
now. Each call gives a `Step`: acts to carry out at once, in order, and the time of the next `wake`.
The types are in `model.py`, its own notes in `records.py`; times are whole tenths of a millisecond.
No clock, no I/O, no globals: the same calls give the same steps.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from hashlib import blake2b
from heapq import heappop, heappush
from math import exp, log
from random import Random

from nettledeal.model import (
    Act,
    Answer,
    BackendId,
    Effect,
    Enquiry,
    Group,
    HandOff,
    Life,
    Listing,
    Outcome,
    Probe,
    Recall,
    Report,
    Step,
    Time,
    Verdict,
    WorkItemId,
)
from nettledeal.records import Backend, Category, Passage, Return, Sent, WorkItem
from nettledeal.ring import Ring

SECOND = 10_000
# The design's smoothing: how much of the remembered queue survives a new reading or a silent second.
HISTORY = 0.7
# The design's threshold before anything has been learned: the paper's warm containers.
FIRST_THRESHOLD = 2.0
# How strongly the draw favours short queues. Agents that cannot see each other crowd a backend that all
# of them like a little; one that all like much fills in own hand-offs first, so a sharp draw is safe.
SHARPNESS = 12.0
# The same for a backend of which only its kind is known: somewhat more than its share of speed.
BLUNT = 3.0
# How long what was learned of one backend counts against what is usual; and, in times of what a work item
# takes, how long the draw trusts a reading: a queue forgets as fast, and all who go on trusting crowd it.
STALE = 8 * SECOND
KNOWN = 6.0
# Work items at a backend beyond which more of them only wait: several times what keeps it busy.
CROWD = 6.0
# Answers of a category from which its usual time is known.
LEARNED = 20
# Marks of a backend on the circle of keys; how much its own keys favour it; work items counted by key.
KEY_MARKS = 12
KEY_PULL = 200.0
KEYS_COUNTED = 100
# Points of the result, as a fraction, that probing before draws may cost.
PROBE_SPEND = 0.01
# Backends looked at in one decision, at home and as many away: beyond a dozen, chance finds one as good.
SAMPLE = 12
# Backends at home that an agent keeps to where connections cost, half as many away: it must know each. More
# with much work out (`sample`), or a busy agent would crowd its own beside others that have nothing to do.
PART = 2
# Categories kept that the settings name no more.
DROPPED = 16


def mark_of(text: str) -> int:
    """The same at every agent and in every process, which Python's own hash is not."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())


@dataclass(slots=True)
class Trend:
    """What many backends have in common, from whichever of them answers."""

    value: float = 0.0
    at: Time = 0
    seen: float = 0.0

    def learn(self, sample: float, now: Time, span: float, least: float) -> None:
        """Moves by the time since the last sample, or an agent that hears little would learn too slowly."""
        self.seen += 1.0
        # Shrunk towards nothing known while samples are few.
        gain = max(least, 1.0 / (self.seen + 4.0), 1.0 - exp(-(now - self.at) / span))
        self.value += min(gain, 0.5) * (sample - self.value)
        self.at = now

    def faded(self, now: Time, span: float) -> float:
        return self.value and self.value * exp(-(now - self.at) / span)


class Facts:
    """What the stages share: the settings, the chance, the categories and the backends heard of."""

    def __init__(self, seed: int, settings: Mapping):
        self.chance, self.seed = Random(seed), seed
        self.backends: dict[BackendId, Backend] = {}
        # Those that run, by where they stand; a decision looks at a sample of each, or its cost would
        # grow with the fleet.
        self.near: list[Backend] = []
        self.far: list[Backend] = []
        self.parts: tuple[list[Backend], list[Backend]] = [], []  # of these, what is looked at first
        self.circle: list[tuple[int, Backend]] = []
        self.out: dict[BackendId, Time] = {}  # of service by an operator's call, since when
        self.owed: dict[BackendId, Time] = {}  # back in service, and when each is tried next
        self.running, self.processes = 0, 1  # backends; and processes that are one agent for a while
        self.categories: list[Category] = []
        # A category out of range has unknown rights: it gets the strictest ones.
        self.unknown = Category(0, 0, 1.0, 1.0, Effect.EXCLUSIVE, Group.ALL, 0)
        self.open, self.mean_open = 0, 0.0  # hand-offs out now, and over the last seconds
        self.open_at = self.sent_at = 0  # when they changed, and when the last one was sent
        self.tune(settings)

    def tune(self, settings: Mapping) -> None:
        self.settings, self.get = settings, settings.get
        self.warm_keys = bool(self.get("family_info.warm_keys", False))
        # Where open connections cost, an agent keeps to a part of the fleet, by its own order, and looks
        # at all of that; elsewhere a sample has those heard from last.
        self.kept, self.me = self.get("tariffs.connection", 0.0) > 0.0, self.get("me", self.seed)
        self.recent: deque[Backend] = deque(maxlen=0 if self.kept else SAMPLE // 2)
        self.dealt = str(self.get("dealt", "")).split(",")  # where agents see each other: first in that order
        self.warm_within = max(1, self.get("rules.warm_within", 30 * SECOND))
        self.fleet = max(1, int(self.get("balancers", 1)))
        self.home = self.get("zone", 0)
        self.may_copy = bool(self.get("allowed.may_duplicate", False))
        self.may_recall = bool(self.get("allowed.cancelling", False))
        self.may_probe = bool(self.get("allowed.probes", False))
        # Probes are paid from a purse that fills with every work item, by what a probe costs.
        # What only counts waiting work reads 0 at a busy backend: not worth the price.
        self.asks_first = self.may_probe and "outstanding" in str(self.get("feedback.fields", ""))
        self.probe_gain = min(5.0, PROBE_SPEND / max(1e-6, float(self.get("tariffs.probe", 0.0))))
        # What a crossing costs beside a late answer: one work item too many makes several behind it late.
        self.crossing = min(0.5, max(0.01, 0.3 * float(self.get("tariffs.cross_zone", 0.0))))
        self.by_work = self.get("payoff_by", "request") == "work"
        old = {category.name: category for category in self.categories}
        found = [self._category(n) for n in range(self.get("categories.count", 0))]
        for category in found:
            # Anew, as what is open keeps the object that it came with; what was learned stays with the name.
            if was := old.pop(category.name, None):
                category.usual, category.base, category.seen = was.usual, was.base, was.seen
        # Behind them those that are named no more, for clients a moment behind the change.
        self.categories, self.named = found + list(old.values())[:DROPPED], len(found)

    @property
    def agents(self) -> int:
        """Those that cannot be seen, each of as many processes as this one."""
        return self.processes * self.fleet

    def count_open(self, now: Time, change: int = 0) -> None:
        old = exp(-(now - self.open_at) / (1.5 * SECOND))
        self.mean_open = old * self.mean_open + (1 - old) * self.open
        self.open_at, self.open = now, self.open + change
        if change > 0:
            self.sent_at = now

    def regroup(self, now: Time) -> None:
        running = [b for b in self.backends.values() if b.runs]
        self.running = len(running)
        if self.kept:
            running.sort(key=lambda b: (str(b.id) not in self.dealt, mark_of(f"{self.me} {b.id}")))
        self.near = [b for b in running if b.listing.zone == self.home]
        self.far = [b for b in running if b.listing.zone != self.home]
        self.parts = self._part(self.near, PART, now), self._part(self.far, PART // 2, now)
        if self.warm_keys:
            for b in self.near:
                b.marks = b.marks or [mark_of(f"{b.id} {n}") for n in range(KEY_MARKS)]
            self.circle = sorted(((mark, b) for b in self.near for mark in b.marks), key=lambda at: at[0])

    def cold(self, b: Backend, now: Time) -> bool:
        return b.started > 0 and now - b.started < self.warm_within

    def _part(self, group: list[Backend], width: int, now: Time) -> list[Backend]:
        """The first few, whatever the others are; one more for each that is still cold."""
        cold = sum(self.cold(b, now) for b in group[:width])
        return group[: width + cold] if self.kept else group

    def heard(self, b: Backend) -> None:
        if b in self.recent:
            self.recent.remove(b)
        self.recent.append(b)

    def sample(self, fits: Callable[[Backend], bool], favoured: list[Backend]) -> list[Backend]:
        """Some backends of home and of elsewhere: favoured, heard from last, and others by chance."""
        found = []
        for group, part, home in ((self.near, self.parts[0], True), (self.far, self.parts[1], False)):
            if self.kept:  # who has much out needs more of them
                part = group[: max(len(part), int(max(self.open, self.mean_open) / (3 if home else 6)))]
            some = [b for b in favoured if home and fits(b)]
            for b in self.recent:
                here = (b.listing.zone == self.home) is home and self.backends.get(b.id) is b
                if here and b.runs and b not in some and fits(b):
                    some.append(b)
            # Few may fit: a ticket bound to one cell, half a fleet drained. One wider look follows, no more.
            for width in (SAMPLE, 4 * SAMPLE):
                if width == SAMPLE or len(some) < min(len(part), SAMPLE // 3):
                    drawn = part if width == SAMPLE else group
                    if len(group) > SAMPLE and not self.kept:
                        drawn = self.chance.sample(group, min(len(group), width))
                    some += [b for b in drawn if b not in some and fits(b)]
            del some[len(part) if self.kept else SAMPLE :]
            found += some
        return found

    def _category(self, n: int) -> Category:
        prefix = f"categories.{n}."
        return Category(
            due=self.get(prefix + "due_time", 0),
            expiry=self.get(prefix + "expiry", 0),
            payoff=float(self.get(prefix + "payoff", 1.0)),
            late_payoff=float(self.get(prefix + "overdue_payoff", 0.0)),
            effect=Effect(self.get(prefix + "effect", "exclusive")),
            group=Group(self.get(prefix + "group", "all")),
            window=self.get(prefix + "window", 0),
            name=str(self.get(prefix + "name", n)),
        )

    def category(self, index: int) -> Category:
        return self.categories[index] if 0 <= index < len(self.categories) else self.unknown

    def guess(self, category: Category) -> float:
        """Before any answer: as large a part of the due time as other categories take."""
        named = self.categories[: self.named]
        known = [other.base / other.due for other in named if other.base and other.due]
        return (sum(known) / len(known) if known else 0.2) * (category.due or SECOND)

    def expected(self, category: Category) -> float:
        """How long a work item of it takes where nothing is ahead of it."""
        return category.base or self.guess(category)


class Ledger:
    """Open work items, their one answer and their expiry."""

    def __init__(self, facts: Facts):
        self.facts = facts
        self.open: dict[WorkItemId, WorkItem] = {}
        self.tune()

    def tune(self) -> None:
        self.most = self.facts.get("allowed.most_hand_offs", 1) or 1

    def out(self, p: Passage) -> bool:
        return p.now < p.wi.expiry and len(p.wi.sent) < p.wi.most

    def answer(self, wi: WorkItem, come_back: Time) -> Answer:
        del self.open[wi.id]
        if self.may_defer(wi):
            return Answer(wi.id, Verdict.DEFERRED, come_back)
        return Answer(wi.id, Verdict.WRITTEN_OFF)

    @staticmethod
    def may_defer(wi: WorkItem) -> bool:
        """A deferral says that retrying is harmless: so it must be, whatever has run by now."""
        effect = wi.category.effect
        dropped = effect is Effect.TICKETED and wi.category.group is Group.ALL
        return effect is Effect.RERUNNABLE or dropped or not wi.doubtful


class Admission:
    """Turns away at once what cannot earn its payoff, and least payoff for its work first."""

    def __init__(self, facts: Facts, memory: Memory):
        self.facts, self.memory = facts, memory
        self.tune()
        # Own hand-offs out for each sound backend. Until answers say otherwise, an equal share of what
        # crowds a backend: all agents may start at once, each seeing idle backends.
        self.limit = CROWD / facts.agents
        self.outlook, self.slowdown, self.learned_at = 0.0, 1.0, 0
        # Up to here the limit doubles with each round of answers: till the first cut, and to half of what
        # was borne before, or a fleet that has recovered would be kept idle.
        self.safe = 4 * CROWD
        self.cut_at, self.was_cut = 0, False

    def tune(self) -> None:
        facts = self.facts
        self.longest_wait = facts.get("allowed.max_retry_after", 0) * facts.get("allowed.retry_after", False)
        self.surplus = float(facts.get("surplus_payoff", 1.0))
        count = facts.get("projects.count", 0)
        self.shares = [float(facts.get(f"projects.{n}.share", 0.0)) for n in range(count)]
        self.usage = Ring(5 * SECOND, max(1, count), 10)

    def taken(self, wi: WorkItem, now: Time) -> None:
        if self.shares and 0 <= wi.customer < len(self.shares):
            self.usage.add(now, wi.customer, self.facts.expected(wi.category))

    def _density(self, category: Category) -> float:
        """Payoff for the work it costs."""
        if self.facts.by_work:
            return category.payoff
        return category.payoff / max(1.0, self.facts.expected(category))

    def _rank(self, wi: WorkItem, now: Time) -> float:
        """Payoff for the work it costs, against the best category's: 0 to 1."""
        best = max(map(self._density, self.facts.categories[: self.facts.named]), default=0.0)
        rank = self._density(wi.category) / best if best > 0 else 1.0
        if wi.again:
            rank *= 0.7  # part of its due time has gone, and a storm of retries feeds on being served
        if self.shares and 0 <= wi.customer < len(self.shares):
            total = sum(self.usage.total(now, n) for n in range(len(self.shares)))
            if self.usage.total(now, wi.customer) > 1.25 * self.shares[wi.customer] * total:
                rank *= max(self.surplus, 0.05)
        return rank

    def out(self, p: Passage) -> bool:
        wi = p.wi
        if not p.choices:
            return True
        rank = self._rank(wi, p.now)
        # Backends still cold, or distrusted, add only what they bear: half a fleet replaced is no fleet.
        worthy = sum(self.memory.worthy(b, p.now) for b in p.choices) / len(p.choices)
        room = (0.4 + 0.6 * rank) * self.limit * self.facts.running * worthy
        # With hundreds of agents a share is a fraction of one work item: taken by time, or the one that each
        # may have would be several times the whole. Two at once are out by chance; and while answers come as
        # quick as usual one long work item is no crowd, or a quiet agent would defer the next.
        room *= 3.0 if self.slowdown < 1.5 else 1.0
        self.facts.count_open(p.now)
        if self.facts.open > 2 and self.facts.open >= room or room < 2.0 and self.facts.mean_open >= room:
            return False
        self.outlook = min(self.memory.view(b, p.now) for b in p.choices) * self.facts.expected(wi.category)
        if wi.category.late_payoff > 0:
            return True
        left = wi.due - p.now
        if left <= 0:
            return False
        if not self.facts.open and p.now - self.facts.sent_at > 2 * SECOND:
            return True  # a trial: who defers everything never learns that answers have become quick
        # What is nearly sure to come late only takes time from what could still be on time.
        mean = self.outlook / max(1, wi.due - wi.taken)
        return left > 0.5 * self.outlook and mean < 0.5 + 0.9 * rank

    def back(self, r: Return) -> None:
        """Learn how many own hand-offs the backends bear: fewer while answers are slow, more while not."""
        if r.wi is None or r.outcome in (Outcome.UNSENT, Outcome.RECALLED, Outcome.UNREACHABLE):
            return
        category, b = r.wi.category, r.ho.backend
        expected = self.facts.expected(category)
        sample = 2 * CROWD if r.outcome is Outcome.FULL else min(2 * CROWD, r.took / expected)
        # What no queue there explains comes of the way, or of the agent's own lateness: no cut cures it. The
        # last reading tells where the backend has answered others since.
        told = r.report.get("outstanding", 2 * CROWD)
        if not r.report and b.read_at is not None and b.heard_at >= r.ho.at:
            told = b.others + len(b.own) + 1
        if r.outcome is not Outcome.FULL and self.memory.belief > 0.1:
            sample = min(sample, 2.0 + 1.5 * told)
        # By the time gone by: what an agent with a trickle of answers learns must not come too late.
        since, self.learned_at = (r.now - self.learned_at) / SECOND, r.now
        self.slowdown += max(0.05, min(0.5, 0.15 * since)) * (sample - self.slowdown)
        # A heavy work item may take most of its due time with nothing ahead: no backend is slow by that; nor,
        # where no report tells of queues, by answers that come well before they are due.
        ample = (category.due or CROWD * expected) / expected
        early = 0.45 * ample if b.read_at is None else 0.0
        bearable = max(1.5, min(0.6 * CROWD, 0.6 * ample), early)
        if self.slowdown > max(0.75 * CROWD, 1.25 * early) and r.ho.at >= self.cut_at:
            # A jam: halved once a round of answers, as those sent before the last cut say nothing of it.
            self.cut_at = r.now
            self._cut(0.5)
        elif self.slowdown > bearable:
            self._cut(min(0.97, 0.8 ** min(1.0, since)))
        else:
            sound = max(1, self.facts.running)
            # One more than the mean is out by chance, and no sign that the limit was met.
            if max(self.facts.mean_open, self.facts.open - 1) >= 0.5 * self.limit * sound:
                self.limit = min(4 * CROWD, self.limit + (1.0 if self.limit < self.safe else 0.2) / sound)

    def _cut(self, keep: float) -> None:
        # Quick growth goes back to half of what was borne before the first cut, not further.
        self.safe = 0.5 * self.limit if self.limit > self.safe or not self.was_cut else 0.99 * self.safe
        self.was_cut = True
        # One work item a backend, over all agents, is never a crowd: a jam clears at that too.
        self.limit = max(1.0 / self.facts.agents, keep * self.limit)

    def come_back(self, wi: WorkItem, now: Time) -> Time:
        if not self.longest_wait:
            return 0
        if wi.due <= now:
            return self.longest_wait
        return int(min(self.longest_wait, max(self.outlook, 500)))


class Repeats:
    """What the effect of a work item still allows once it may have run."""

    def __init__(self, facts: Facts):
        self.facts = facts

    @staticmethod
    def window(wi: WorkItem) -> Time | None:
        """Where one may have run: up to when its group drops another, which sent later would run twice."""
        if wi.category.effect is Effect.RERUNNABLE or not wi.doubtful:
            return None
        return wi.doubtful[0].at + (wi.category.window if wi.category.effect is Effect.TICKETED else 0)

    def allows(self, wi: WorkItem, backend: Backend, now: Time) -> bool:
        if wi.open and not self.facts.may_copy:
            return False
        window = self.window(wi)
        if window is None or now >= window:
            return window is None
        group, there = wi.category.group, backend.listing
        for ho in wi.doubtful:
            ran = ho.backend.listing
            if group is Group.ZONE and ran.zone != there.zone:
                return False
            if group is Group.CELL and (ran.cell != there.cell or ran.zone != there.zone):
                return False
        return True


class Soundness:
    """Drains, cold budgets and distrust."""

    def __init__(self, facts: Facts):
        self.facts = facts
        self.median, self.median_at = 0.0, -SECOND
        self.judged: dict[BackendId, tuple[Backend, Time]] = {}  # of late, the oldest first
        self.tune()

    def tune(self) -> None:
        self.factor = float(self.facts.get("rules.overload_factor", 1.0))
        self.span = max(1, self.facts.get("rules.tip_after", SECOND))
        self.cold_from = float(self.facts.get("rules.cold_from", 0.1))

    def capacity(self, backend: Backend, now: Time) -> float:
        if not self.facts.cold(backend, now):
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0, now - backend.started) / self.facts.warm_within

    def allows(self, wi: WorkItem, backend: Backend, now: Time) -> bool:
        if not backend.runs:
            return False
        if not backend.known and len(backend.own) >= 2:
            return False  # named by a stale list only: it may be gone, or cold
        if self.capacity(backend, now) >= 1.0:
            return True
        spent = backend.budget.total(now, 0) if backend.budget else 0.0
        cost, budget = self.facts.expected(wi.category), self.budget(backend, now)
        # Under one work item the budget is taken by chance, in the draw; a look at it here would halve that.
        return (spent + cost <= budget or budget < cost) and len(backend.own) < 3

    def budget(self, backend: Backend, now: Time) -> float:
        """Half the push that topples it, shared with agents that cannot be seen; never in one burst."""
        whole = 0.5 * self.factor * self.span * self.capacity(backend, now - self.span // 2)
        return whole / self.facts.agents

    def sent(self, p: Passage) -> None:
        backend = p.pick
        if self.capacity(backend, p.now) < 1.0:
            if backend.budget is None:
                backend.budget = Ring(self.span, 1)
            backend.budget.add(p.now, 0, self.facts.expected(p.wi.category))

    def _median(self, now: Time) -> float:
        """Over the whole fleet; backends not judged of late have failed nothing and need no look."""
        if now - self.median_at >= SECOND // 4:
            self.median_at = now
            for id, (_, at) in list(self.judged.items()):
                if now - at < 4 * SECOND:
                    break
                del self.judged[id]
            shares = sorted((self._share(b, now) for b, _ in self.judged.values()), reverse=True)
            middle = self.facts.running - self.facts.running // 2 - 1
            self.median = shares[middle] if middle < len(shares) else 0.0
        return self.median

    @staticmethod
    def _share(backend: Backend, now: Time) -> float:
        return backend.tally.total(now, 1) / (backend.tally.total(now, 0) + 0.5)

    @staticmethod
    def distrust(backend: Backend, now: Time) -> float:
        """Fades by half every 1.5 s, so that one trial soon finds a backend that has recovered."""
        if not backend.distrust:
            return 0.0
        return backend.distrust * 0.5 ** ((now - backend.distrust_at) / (1.5 * SECOND))

    def back(self, r: Return) -> None:
        if r.outcome not in (Outcome.FULL, Outcome.UNSENT, Outcome.RECALLED) and (
            r.outcome is Outcome.FINISHED or not r.ho.lost
        ):
            self.judge(r.ho.backend, r.outcome is not Outcome.FINISHED, r.now)

    def judge(self, backend: Backend, failed: bool, now: Time) -> None:
        if backend.tally is None:
            backend.tally = Ring(4 * SECOND, 2, 8)
        backend.tally.add(now, 0, 1.0)
        self.judged.pop(backend.id, None)
        self.judged[backend.id] = backend, now
        if len(self.judged) > 2 * self.facts.running + SAMPLE:
            del self.judged[next(iter(self.judged))]  # fleets are replaced for ever
        level = self.distrust(backend, now)
        if failed:
            backend.tally.add(now, 1, 1.0)
            # Against the fleet's median: what all share is no fault of one, and nobody is exiled for it. But
            # what fails nearly always gets no work for company: half of a fleet cut off is no excuse.
            usual = min(0.5, self._median(now))
            level = max(level, min(0.95, self._share(backend, now) + 0.25 - usual))
        else:
            level *= 0.5
        backend.distrust, backend.distrust_at = max(0.0, level), now


class Keys:
    """Where a key is kept warm: agents that share nothing name the same few home backends by a hash."""

    def __init__(self, facts: Facts):
        self.facts = facts
        self.counts: dict[str, float] = {}
        self.total, self.asked = 0.0, 0

    def taken(self, key: str) -> None:
        """Counts own work items by key, the old ones fading, so that a hot key is known as one."""
        self.counts[key] = self.counts.get(key, 0.0) + 1.0
        self.total += 1.0
        if self.total >= 2 * KEYS_COUNTED:
            self.total = 0.0
            for key, count in list(self.counts.items()):
                if count > 1.0:
                    self.counts[key] = 0.5 * count
                    self.total += 0.5 * count
                else:
                    del self.counts[key]

    def preferred(self, key: str) -> list[Backend]:
        """A hot key takes more than one backend bears, so as many as its share of the work asks for."""
        circle = self.facts.circle
        if not circle:
            return []
        share = (self.counts.get(key, 1.0) - 1.0) / (self.total + 10.0)
        wanted = 1 + min(int(2 * share * len(self.facts.near)), SAMPLE // 2)
        start = bisect_left(circle, mark_of(key), key=lambda at: at[0])
        turn = (circle[(start + n) % len(circle)][1] for n in range(min(len(circle), 4 * SAMPLE)))
        found = list(dict.fromkeys(turn))[:wanted]
        self.asked += 1
        for b in found:  # the part of the work items that name it, over as many as keys are counted
            old = exp(-(self.asked - b.pulled_at) / KEYS_COUNTED)
            b.pull, b.pulled_at = old * b.pull + (1.0 - exp(-1.0 / KEYS_COUNTED)), self.asked
        return found


class Memory:
    """Remembered queues, learned speeds, and the random choice that goes by them."""

    def __init__(self, facts: Facts, soundness: Soundness):
        self.facts, self.soundness = facts, soundness
        self.probes = 0.0
        self.views: dict[BackendId, float] = {}  # of this passage
        self.counted = 1.0  # how often a report that comes with an answer still counts that one
        self.probe_took = Trend()  # fades, or one moment in which all were slow would end probing for good
        # How far reports foretell waits, learned by regression; late, frozen or false ones fall to 0.
        self.squares, self.products = 20.0, 10.0
        # How much each own hand-off there lengthens an answer: less than a whole one where answers wait
        # on others for most of their time.
        self.own_squares = self.own_products = 20.0
        # Pooled, so that a backend never used, or long ago, is guessed well: how slow its kind is, and how
        # long queues are in its zone.
        self.kinds: dict[int, Trend] = {}
        self.zones: dict[int, Trend] = {}
        self.slow: dict[int, Trend] = {}  # and how slow its answers are, of late

    @property
    def belief(self) -> float:
        return min(1.0, max(0.0, self.products / self.squares))

    @property
    def crowding(self) -> float:
        return min(1.5, max(0.1, self.own_products / self.own_squares))

    def queue(self, b: Backend, now: Time) -> float:
        """Work items at the backend: the last reading, own sends since, fading into the smoothed one."""
        if b.pinned is not None:
            return b.pinned + b.own_since
        return self.crowding * len(b.own) + self.belief * self.others(b, now)

    def others(self, b: Backend, now: Time) -> float:
        usual = self.zones[b.listing.zone].faded(now, STALE) if b.listing.zone in self.zones else 0.0
        if b.read_at is None:
            return usual
        age = now - b.read_at
        fresh = exp(-age / (SECOND / 4))
        known = exp(-age / STALE)
        return fresh * b.others + (1 - fresh) * (known * b.smoothed + (1 - known) * usual)

    def _power(self, b: Backend, now: Time, took: float) -> float:
        """As sharp as the memory is fresh; reports that foretell nothing are none: all would crowd a few."""
        age = 0 if b.pinned is not None else now - (b.read_at or 0)
        known = 0.0 if b.read_at is None else exp(-age / (KNOWN * took))
        return BLUNT + (SHARPNESS - BLUNT) * known * min(1.0, 2 * self.belief)

    def _faded(self, b: Backend, now: Time) -> float:
        """What has been learned of a backend's speed fades to what its kind and its zone show, or one that
        recovers would never be tried."""
        kind, zone = self.kinds.get(b.listing.kind), self.slow.get(b.listing.zone)
        known = exp(-(now - b.paced_at) / STALE) if b.pace else 0.0
        usual = (1 - known) * zone.faded(now, STALE / 2) if zone else 0.0
        return (kind.value if kind else 0.0) + known * b.pace + usual

    def pace(self, b: Backend, now: Time) -> float:
        """Learned slowness; silence counts: what is overdue shows at least so slow a backend."""
        pace = exp(self._faded(b, now))
        if b.own:
            oldest = next(iter(b.own.values()))
            late = (now - oldest.at) / max(1.0, oldest.due_back - oldest.at)
            if late > 1.5 and b.heard_at < oldest.at:
                pace *= late / 1.5
        return pace / self.soundness.capacity(b, now)

    def worthy(self, b: Backend, now: Time) -> float:
        """How much of a sound, warm backend this one is now."""
        return self.soundness.capacity(b, now) * (1.0 - self.soundness.distrust(b, now))

    def view(self, b: Backend, now: Time) -> float:
        """The time an answer from there is expected to take, in times of one with nothing ahead. Kept for the
        passage, in which the stages ask for it several times."""
        if b.id not in self.views:
            trust = 1.0 - self.soundness.distrust(b, now)
            self.views[b.id] = (1.0 + self.queue(b, now)) * self.pace(b, now) / max(0.05, trust)
        return self.views[b.id]

    def out(self, p: Passage) -> bool:
        choices = p.choices
        if len(choices) > 1:
            used = [ho.backend for ho in p.wi.sent]
            choices = [b for b in choices if b not in used] or choices
        p.ask = self._stale(p, choices)
        # A cold one by what it bears, or by the power of the draw it would get none; by somewhat more than
        # the least that the rules allow for, where it has answered sooner than that.
        able = self.soundness.capacity
        took = self.facts.expected(p.wi.category)
        bears = [min(1.0, able(b, p.now) * exp(max(0.0, min(0.3, -b.pace)))) for b in choices]
        views = [log(self.view(b, p.now) * bears[n]) for n, b in enumerate(choices)]
        mean = sum(views) / len(views)
        weights = [
            bears[n] * exp(self._power(b, p.now, took) * max(-4.0, min(4.0, mean - views[n])))
            for n, b in enumerate(choices)
        ]
        # Where a key is warm there is less to do, unless the backend is slower by more than that saves.
        for n, b in enumerate(choices):
            if b in p.favoured and views[n] <= mean + 1.0:
                weights[n] *= KEY_PULL
        return self._draw(p, choices, weights, bears)

    def _draw(self, p: Passage, choices: list[Backend], weights: list[float], bears: list[float]) -> bool:
        """Where an equal share of a cold backend's budget is under one work item, it is taken by chance: as a
        part of own work items. If all agents of its zone keep to that, unseen ones too, their sum does."""
        total, clipped = sum(weights), []
        for n, b in enumerate(choices):
            if bears[n] < 1.0 and self.soundness.budget(b, p.now) < self.facts.expected(p.wi.category):
                # As many as share the work, by how often it is in the sample: recent ones always are.
                group = len(self.facts.far if p.offload else self.facts.near)
                over = group if b in self.facts.recent else len(choices)
                if b in p.favoured:
                    over = max(1.0, group * b.pull)  # a draw that is its own by a key
                weights[n] = min(weights[n], total * 0.7 * self.soundness.factor * bears[n] / over)
                clipped.append(n)
        rest = total - sum(weights)
        others = sum(w for n, w in enumerate(weights) if n not in clipped)
        if rest > 0.0 and others:
            weights = [w if n in clipped else w + w * rest / others for n, w in enumerate(weights)]
        elif rest > 0.0 and self.facts.chance.random() * total < rest:
            return False  # all are cold, and together they bear no more
        p.pick = self.facts.chance.choices(choices, weights)[0]
        return True

    def _stale(self, p: Passage, choices: list[Backend]) -> list[Backend]:
        """Backends to ask before the draw: an agent with a trickle of traffic remembers only old queues."""
        if p.wi.asked or p.wi.sent or not self.facts.asks_first or len(choices) < 2:
            return []
        expected = self.facts.expected(p.wi.category)
        if self.probe_took.faded(p.now, 2 * SECOND) > 0.05 * expected:
            return []  # such a probe waits in line itself
        old = [b for b in choices if b.read_at is None or p.now - b.read_at > 0.1 * expected]
        # In the order of a sample: agents that know equally little would else all ask the same few.
        self.facts.chance.shuffle(old)
        old.sort(key=lambda b: self.view(b, p.now))
        ask = old[: int(self.probes)]
        self.probes -= len(ask)
        return ask

    def read(self, b: Backend, report: Report, now: Time, answered: bool = False) -> None:
        if "outstanding" in report:
            # Refreshed now and then, it mostly counts the answered one, too: then no idle backend reads 0.
            # Believed, that makes all seem half busy and twice as slow under load as they are.
            if answered and not b.own:
                self.counted += 0.02 * ((report["outstanding"] >= 0.5) - self.counted)
            others = max(0.0, report["outstanding"] - len(b.own) - (answered and self.counted > 0.9))
        elif "backlog" in report:
            # A count of what only waits reads 0 at a busy backend: own hand-offs come on top.
            others = report["backlog"]
        else:
            # Where reports tell of no queue an answer does: a pin would never end, and grow with each send.
            b.pinned = None if answered else b.pinned
            return
        if b.read_at is None:
            b.smoothed = others
        else:
            keep = HISTORY ** max(1.0, (now - b.read_at) / SECOND)
            b.smoothed = keep * b.smoothed + (1 - keep) * others
        usual = self.zones.setdefault(b.listing.zone, Trend(others, now))
        usual.learn(others, now, SECOND / -log(HISTORY), 0.05)
        b.others, b.read_at, b.own_since, b.pinned = others, now, 0, None
        self.facts.heard(b)

    def back(self, r: Return, threshold: float) -> None:
        b = r.ho.backend
        if r.outcome in (Outcome.FINISHED, Outcome.ERROR, Outcome.FULL):
            b.heard_at = r.now
        if r.outcome is Outcome.FULL:
            b.pinned, b.own_since = max(threshold, self.queue(b, r.now)), 0
            return
        if r.outcome in (Outcome.UNREACHABLE, Outcome.UNSENT, Outcome.RECALLED):
            return
        if r.wi is not None:
            category = r.wi.category
            expected = self.facts.expected(category)
            # A cold one is known to be slow: what it takes on top of that is its own.
            ratio = max(1, r.took) * self.soundness.capacity(b, r.ho.at) / (expected * (1.0 + r.ho.ahead))
            if r.outcome is Outcome.FINISHED:
                own, others = r.ho.own, r.ho.others
                longer = min(8.0, r.took / (expected * exp(self._faded(b, r.now))) - 1.0)
                self.own_squares = 0.995 * self.own_squares + 0.1 + own**2
                self.own_products = 0.995 * self.own_products + 0.1 + own * (longer - self.belief * others)
                self.squares = 0.995 * self.squares + 0.1 + others**2
                self.products = 0.995 * self.products + 0.05 + others * (longer - self.crowding * own)
                self._learn(category, r.took / (1.0 + r.ho.ahead))
            if r.outcome is Outcome.FINISHED or ratio > 1.0:
                sample = log(min(8.0, max(0.25, ratio)))
                kind = self.kinds.setdefault(b.listing.kind, Trend(0.0, r.now))
                # Of a backend heard from rarely each answer must say more.
                old = exp(-(r.now - b.paced_at) / STALE)
                gain = max(0.05, 0.5 * (1.0 - old))
                b.pace = (1 - gain) * b.pace * old + gain * (sample - kind.value)
                b.paced_at = r.now
                slow = self.slow.setdefault(b.listing.zone, Trend(0.0, r.now))
                slow.learn(sample - kind.value, r.now, 2 * SECOND, 0.05)
                kind.learn(sample, r.now, 20 * SECOND, 0.01)
        self.read(b, r.report, r.now, r.outcome in (Outcome.FINISHED, Outcome.ERROR))

    def _learn(self, category: Category, alone: float) -> None:
        category.base = category.base or self.facts.guess(category)
        category.seen += 1
        # The guess counts as two answers: one alone may be many times the usual, and a category thought
        # too slow to be on time is deferred and never learned again.
        gain = max(0.02, 1.0 / (category.seen + 2.0))
        # Rises slower than it falls, or a jam would soon pass for the usual.
        rise = gain if alone < category.base else 0.25 * gain
        category.base = category.base + rise * (alone - category.base)


class Zoning:
    """The home test: home while the mean of the home backends' queues is under the threshold."""

    def __init__(self, facts: Facts, memory: Memory):
        self.facts, self.memory = facts, memory
        self.threshold, self.learned_at = FIRST_THRESHOLD, 0
        self.worth = 0.0  # the usual worth of a work item

    def out(self, p: Passage) -> bool:
        home = [b for b in p.choices if b.listing.zone == self.facts.home]
        away = [b for b in p.choices if b.listing.zone != self.facts.home]
        if p.wi.must_home and home:
            away = []
        if home and away:
            mean = self._mean(home, p.now)
            # An offload to peers no better off would only be declined, or wait longer there.
            stays = mean < self._bearable(p.wi) or self._mean(away, p.now) >= mean
            home, away = (home, []) if stays else ([], away)
        p.offload = not home
        p.choices = home or away
        return bool(p.choices)

    def _bearable(self, wi: WorkItem) -> float:
        """A crossing costs the same for all: what is worth more, and moves more work, crosses first."""
        worth = wi.category.payoff
        if self.facts.by_work:
            worth *= self.facts.expected(wi.category)
        self.worth = worth if not self.worth else 0.98 * self.worth + 0.02 * worth
        return self.threshold * min(3.0, max(0.5, self.worth / max(worth, 1e-9)))

    def _mean(self, backends: list[Backend], now: Time) -> float:
        return sum(self.memory.view(b, now) - 1.0 for b in backends) / len(backends)

    def back(self, r: Return) -> None:
        if r.wi is None or r.ho.offload or r.ho.backend.listing.zone != self.facts.home:
            return
        late = r.outcome is Outcome.FULL or (
            r.outcome in (Outcome.FINISHED, Outcome.OVERDUE) and r.now > r.wi.due
        )
        # By the time since the last answer, within bounds: with a trickle of them a home zone that is full
        # for all its agents would go on being full for as many answers.
        step = min(4.0, max(1.0, 10.0 * (r.now - self.learned_at) / SECOND))
        self.learned_at = r.now
        if late:
            self.threshold = max(0.25, self.threshold * 0.9**step)
        elif r.outcome is Outcome.FINISHED:
            # It stands still where the share of late answers times what lateness costs meets that price.
            rise = step * self.facts.crossing / (1 - self.facts.crossing)
            self.threshold = min(FIRST_THRESHOLD, self.threshold * 0.9**-rise)


class Roster:
    """Asks for the list of backends where it must be asked for, and notices when the answers stop."""

    def __init__(self, facts: Facts, now: Time):
        self.facts = facts
        self.within = facts.get("rules.ask_within", 10 * SECOND)
        self.asks = facts.get("discovery", "pushed") == "on_request"
        self.backoff = max(1, self.within // 16)
        self.next: Time | None = None
        if self.asks:
            # Agents that start together would otherwise all call in the same instant.
            self.next = now + int(facts.chance.random() * self.within / 8)

    def wake(self, now: Time) -> list[Act]:
        if self.next is None or now < self.next:
            return []
        # Asked again if neither news nor a failure comes: an answer can get lost too.
        self.next = now + self.within // 2
        return [Enquiry()]

    def heard(self) -> None:
        self.next, self.backoff = None, max(1, self.within // 16)

    def failed(self, now: Time) -> None:
        self.next = now + int(self.backoff * (1 + self.facts.chance.random()))
        self.backoff = min(2 * self.backoff, max(1, self.within // 4))

    def apply(self, listings: Iterable[Listing], now: Time, whole: bool, cached: bool) -> None:
        backends = self.facts.backends
        named = {}
        for entry in listings:
            named[entry.backend] = entry
            known = backends.get(entry.backend)
            if known is None or known.listing.started != entry.started or known.listing.life is Life.GONE:
                fresh = Backend(entry.backend, entry, known=not cached, paced_at=now, distrust_at=now)
                if known is not None:
                    fresh.own = known.own
                    fresh.budget = known.budget
                    if known.listing.started == entry.started:
                        fresh.cold_since = known.cold_since
                fresh.out = entry.backend in self.facts.out
                backends[entry.backend] = fresh
            else:
                known.listing = entry
                known.known = known.known or not cached
        if whole:
            for id, backend in backends.items():
                if id not in named:
                    backend.listing = replace(backend.listing, life=Life.GONE)
        # Fleets are replaced for ever: what is gone and holds nothing of ours must not pile up.
        for id in [id for id, b in backends.items() if b.listing.life is Life.GONE and not b.own]:
            del backends[id]
        self.facts.regroup(now)


class Balancer:
    def __init__(self, seed: int, settings: Mapping, now: Time):
        self.facts = Facts(seed, settings)
        self.soundness = Soundness(self.facts)
        self.memory = Memory(self.facts, self.soundness)
        self.ledger = Ledger(self.facts)
        self.admission = Admission(self.facts, self.memory)
        self.repeats = Repeats(self.facts)
        self.zoning = Zoning(self.facts, self.memory)
        self.roster_keeper = Roster(self.facts, now)
        self.keys = Keys(self.facts)
        self.stages = (self.ledger, self.admission, self.zoning, self.memory)
        self.alarms: list[tuple[Time, int, WorkItemId, int]] = []
        self.alarm_count, self.copies = 0, 3.0
        self.asking: dict[BackendId, list[WorkItemId]] = {}
        self.resolution = max(1, self.facts.get("resolution", 10))
        self.out: dict[tuple[WorkItemId, int], Sent] = {}
        self.acts: list[Act] = []

    # The calls of the host.

    def start(self, now: Time) -> Step:
        return self._step(now)

    def take(
        self, now: Time, id: WorkItemId, category: int, expiry: Time, *, customer: int = 0,
        key: str | None = None, again: bool = False, long: bool = False,
    ) -> Step:
        kind = self.facts.category(category)
        due = expiry
        # When a long one will be whole is not known: until then it counts as one with all its time.
        if kind.due and not long:
            due = min(expiry, self._first_taken(now, kind, expiry, again) + kind.due)
        wi = WorkItem(id, kind, now, due, expiry, customer, again, self.ledger.most, key)
        self.ledger.open[id] = wi
        self.admission.taken(wi, now)
        if key is not None and self.facts.warm_keys:
            self.keys.taken(key)
        self.copies = min(5.0, self.copies + 0.03)
        self.memory.probes = min(10.0, self.memory.probes + self.facts.probe_gain / self.facts.processes)
        self._route(wi, now)
        return self._step(now)

    def _first_taken(self, now: Time, category: Category, expiry: Time, again: bool) -> Time:
        """When the client first asked: its due time runs from there, and late repeats are wasted work.

        A first try may wait as long as other first tries; a repeat that may wait for another time has
        what is left of the category's whole expiry.
        """
        if not again:
            category.usual = expiry - now
        elif abs(expiry - now - category.usual) > 2 * self.resolution:
            return min(now, expiry - category.expiry)
        return now

    def returned(
        self, now: Time, id: WorkItemId, number: int, outcome: Outcome, took: Time, *, closed: bool,
        report: Report,
    ) -> Step:
        ho = self.out.pop((id, number), None)
        if ho is None:
            return self._step(now)
        ho.backend.own.pop((id, number), None)
        ho.outcome = outcome
        self.facts.count_open(now, -1 if not ho.lost else 0)
        wi = self.ledger.open.get(id)
        r = Return(wi, ho, outcome, took, report, now)
        self.admission.back(r)
        self.memory.back(r, self.zoning.threshold)
        self.zoning.back(r)
        self.soundness.back(r)
        ho.backend.known = ho.backend.known or outcome is Outcome.FINISHED
        if outcome is Outcome.FINISHED:
            self.facts.owed.pop(ho.backend.id, None)
        if wi is None:
            return self._step(now)
        wi.open -= 1
        if closed or outcome is Outcome.FINISHED:
            self._close(wi)
        elif not wi.open:
            wi.must_home = wi.must_home or ho.offload
            self._route(wi, now)
        return self._step(now)

    def roster(self, now: Time, listings: Iterable[Listing], *, whole: bool, cached: bool) -> Step:
        self.roster_keeper.apply(listings, now, whole, cached)
        if not cached:
            self.roster_keeper.heard()
        return self._step(now)

    def retune(self, now: Time, settings: Mapping) -> Step:
        """Other settings; what is open keeps the category that it came with."""
        self.facts.tune(settings)
        for stage in (self.ledger, self.admission, self.soundness):
            stage.tune()
        self.facts.regroup(now)  # its zone, its number or the price of connections may be others
        return self._step(now)

    def share(self, processes: int) -> None:
        """So many are one agent for a while, and each has its part of what one may do; whole again alone."""
        part = self.facts.processes / processes
        self.admission.limit, self.admission.safe = part * self.admission.limit, part * self.admission.safe
        self.facts.processes = processes

    def cordon(self, now: Time, id: BackendId, heard: bool = False) -> bool:
        """Out of service until `uncordon`, whatever the list says; whether there is such a backend, as there
        is for another process that has been told so."""
        facts, b = self.facts, self.facts.backends.get(id)
        if heard or b is not None and b.listing.life is not Life.GONE:
            facts.out.setdefault(id, now)
            facts.owed.pop(id, None)
            if b is not None:
                b.out = True
            facts.regroup(now)
        return id in facts.out

    def uncordon(self, now: Time, id: BackendId) -> bool:
        """Used again as the list allows, like one just named: what was learned of it counts no more."""
        facts, b = self.facts, self.facts.backends.get(id)
        if b is None and id not in facts.out:
            return False
        since = facts.out.pop(id, None)
        if b is not None and since is not None:
            fresh = Backend(id, b.listing, known=b.known, paced_at=now, distrust_at=now)
            fresh.own, fresh.budget = b.own, b.budget
            # It is taken out to be restarted, and the list may tell that late: cold until it tells.
            fresh.cold_since = now if b.listing.started < since else 0
            facts.backends[id] = fresh
            facts.owed[id] = now + SECOND
            self.soundness.judged.pop(id, None)
            facts.regroup(now)
        return True

    def roster_failed(self, now: Time) -> Step:
        self.roster_keeper.failed(now)
        return self._step(now)

    def withdrawn(self, now: Time, id: WorkItemId) -> Step:
        wi = self.ledger.open.get(id)
        if wi is not None:
            self._close(wi)
        return self._step(now)

    def probed(self, now: Time, id: BackendId, outcome: Outcome, took: Time, report: Report) -> Step:
        backend = self.facts.backends.get(id)
        if backend is not None:
            if outcome is Outcome.FINISHED:
                backend.heard_at = now
                self.memory.read(backend, report, now)
            if outcome not in (Outcome.FULL, Outcome.UNSENT):
                self.soundness.judge(backend, outcome is not Outcome.FINISHED, now)
        self.memory.probe_took.learn(took, now, SECOND, 0.1)
        for waiting in self.asking.pop(id, ()):
            wi = self.ledger.open.get(waiting)
            if wi is not None and wi.asking:
                wi.asking -= 1
                if not wi.asking:
                    self._route(wi, now)
        return self._step(now)

    def streaming(self, now: Time, id: WorkItemId, number: int) -> Step:
        wi = self.ledger.open.get(id)
        if wi is not None:
            wi.streaming = True
        return self._step(now)

    def handed_on(self, now: Time, id: WorkItemId, number: int) -> Step:
        """It goes out while it comes, and can't be sent again; its backend begins it with its last byte."""
        ho = self.out.get((id, number))
        wi = self.ledger.open.get(id)
        if ho is not None and wi is not None:
            wi.streaming = ho.lost = True
            ho.backend.own.pop((id, number), None)
            self.facts.count_open(now, -1)
        return self._step(now)

    def wake(self, now: Time) -> Step:
        while self.alarms and self.alarms[0][0] <= now:
            _, _, id, number = heappop(self.alarms)
            wi = self.ledger.open.get(id)
            if number < 0:
                if wi is not None and wi.asking:
                    wi.asking = 0
                    self._route(wi, now)
            elif wi is not None and not wi.streaming and wi.sent[number].outcome is None:
                self._overdue(wi, wi.sent[number], now)
        return self._step(now)

    def _overdue(self, wi: WorkItem, ho: Sent, now: Time) -> None:
        """Nothing has come of a hand-off for several times as long as it should have taken."""
        # A backend that answers others may be at work on a heavy one: a copy would double the heaviest work.
        # A lone heavy item looks like silence, so a probe asks first.
        if ho.backend.heard_at >= ho.at:
            return
        if self.facts.may_probe and not ho.asked:
            ho.asked = True
            self.acts.append(Probe(ho.backend.id))
            self._alarm(now + int(self.facts.expected(wi.category)), wi, ho.number)
            return
        # A backend that swallows some of its work would otherwise fill the limit with what never returns.
        ho.lost = True
        self.facts.count_open(now, -1)
        self.soundness.judge(ho.backend, True, now)
        if wi.due - now <= self.facts.expected(wi.category) or len(wi.sent) != ho.number + 1:
            return
        if self.facts.may_copy and self.copies >= 1.0:
            self._route(wi, now, extra=True)
        elif not self.facts.may_copy and self.facts.may_recall and wi.category.effect is Effect.RERUNNABLE:
            self.acts.append(Recall(wi.id, ho.number))

    # Out through the stages.

    def _route(self, wi: WorkItem, now: Time, extra: bool = False) -> None:
        p = Passage(wi, now, extra=extra)
        self.memory.views.clear()
        p.favoured = self.keys.preferred(wi.key) if wi.key is not None else []
        if self._owed(p):
            return
        # What the effect allows and what is sound goes into the look around, so that a sample has both.
        p.choices = self.facts.sample(
            lambda b: self.repeats.allows(wi, b, now)
            and self.soundness.allows(wi, b, now)
            and not (extra and any(ho.backend is b for ho in wi.sent)),
            p.favoured,
        )
        if all(stage.out(p) for stage in self.stages) and self._legal(p):
            if p.ask and self._ask(p):
                return
            self._hand_off(p)
        elif not wi.open:
            # Given up on: it gets its answer now, not near its expiry.
            self.acts.append(self.ledger.answer(wi, self.admission.come_back(wi, now)))

    def _owed(self, p: Passage) -> bool:
        """Back in service a backend is as good as unknown, and others look better for long: one first try
        now and then goes there until one is answered."""
        for id, at in self.facts.owed.items() if not p.wi.sent else ():
            b = self.facts.backends.get(id)
            if at <= p.now and b is not None:
                p.pick, p.offload = b, b.listing.zone != self.facts.home
                if self._legal(p):
                    self.facts.owed[id] = p.now + SECOND // 2
                    self._hand_off(p)
                    return True
        return False

    def _legal(self, p: Passage) -> bool:
        """The last look before a hand-off, whatever the stages made of it."""
        return (
            p.wi.id in self.ledger.open
            and not p.wi.streaming
            and self.ledger.out(p)
            and self.repeats.allows(p.wi, p.pick, p.now)
            and self.soundness.allows(p.wi, p.pick, p.now)
        )

    def _ask(self, p: Passage) -> bool:
        """Probe before the draw; whether the work item is kept until the probes are back."""
        wi, memory = p.wi, self.memory
        wi.asked = True
        self.acts += [Probe(b.id) for b in p.ask]
        patience = 2 * self.resolution + int(2 * memory.probe_took.value)
        if patience > 0.1 * self.facts.expected(wi.category):
            return False
        wi.asking = len(p.ask)
        for b in p.ask:
            self.asking.setdefault(b.id, []).append(wi.id)
        self._alarm(p.now + patience, wi, -1)
        return True

    def _hand_off(self, p: Passage) -> None:
        wi, now, backend = p.wi, p.now, p.pick
        expected = self.facts.expected(wi.category)
        ahead = self.memory.queue(backend, now)
        due_back = now + int((1 + ahead) * expected * self.memory.pace(backend, now)) + 1
        others, begin_by = self.memory.others(backend, now), self.repeats.window(wi)
        ho = Sent(len(wi.sent), backend, now, due_back, ahead, len(backend.own), others, p.offload)
        wi.sent.append(ho)
        self.out[(wi.id, ho.number)] = ho
        wi.open += 1
        self.facts.count_open(now, 1)
        backend.own[(wi.id, ho.number)] = ho
        backend.own_since += 1
        self.soundness.sent(p)
        if p.extra:
            self.copies -= 1.0
        # The answer must reach the client before its expiry, so the last time-out comes a little sooner.
        time_out = max(1, wi.expiry - now - 2 * self.resolution)
        patience = int(max(4 * (due_back - now), 4 * expected))
        self._alarm(now + patience, wi, ho.number)
        # Where no copy may go beside it, a straggler is given up while another backend can still be on time;
        # only in an idle fleet whose usual time is known, since what was begun goes on and is done twice.
        again = wi.category.effect is Effect.RERUNNABLE and len(wi.sent) < 2 and not self.facts.may_copy
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
        del self.ledger.open[wi.id]
        if self.facts.may_recall and not wi.streaming:
            self.acts += [Recall(wi.id, ho.number) for ho in wi.sent if ho.outcome is None]

    def _step(self, now: Time) -> Step:
        self.acts += self.roster_keeper.wake(now)
        acts, self.acts = self.acts, []
        times = [self.alarms[0][0]] if self.alarms else []
        if self.roster_keeper.next is not None:
            times.append(self.roster_keeper.next)
        return Step(acts, min(times, default=None))
