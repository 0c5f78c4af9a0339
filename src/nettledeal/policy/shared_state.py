"""What all stages of the balancer share: its settings, and the categories and backends it knows."""

from collections import deque
from collections.abc import Callable, Mapping
from math import exp
from random import Random

from nettledeal.hash_ring import HashRing, ring_points, stable_hash
from nettledeal.model import BackendId, DedupScope, Effect, Time
from nettledeal.records import Backend, Category

SECOND = 10_000
PROBE_COST_SHARE = 0.01  # points of the result, as a fraction, that probes before sending may cost
RING_POINTS = 12  # of a backend on the ring of keys
SAMPLE_SIZE = 12  # candidates at home and as many elsewhere: beyond a dozen, a random one is as good
# Home backends that an agent uses where connections cost (half as many elsewhere), as it must know each.
# More with much work in flight (`sample`), or a busy agent would overload its own beside idle ones.
SUBSET = 2
MAX_DROPPED = 16  # categories kept after the settings stop naming them


class SharedState:
    """The settings, the random numbers, and the known categories and backends."""

    def __init__(self, seed: int, settings: Mapping):
        self.random, self.seed = Random(seed), seed
        self.backends: dict[BackendId, Backend] = {}
        self.near: list[Backend] = []  # in service, in the home zone
        self.far: list[Backend] = []  # and elsewhere; sampled, or a decision's cost would grow with the fleet
        self.subsets: tuple[list[Backend], list[Backend]] = [], []  # the parts of them used first
        self.key_ring: HashRing[Backend] = HashRing()
        self.cordoned: dict[BackendId, Time] = {}  # taken out of service by an operator, since when
        self.trials: dict[BackendId, Time] = {}  # put back in service, and when each is tried next
        self.running_count, self.processes = 0, 1  # backends in service; processes of this agent
        self.categories: list[Category] = []
        # For a category that is out of range the strictest rules hold.
        self.unknown_category = Category(0, 0, 1.0, 1.0, Effect.AT_MOST_ONCE, DedupScope.ALL, 0)
        self.open, self.mean_open = 0, 0.0  # own attempts in flight: now, and a mean over seconds
        self.open_at = self.last_sent_at = 0  # when `open` last changed; when an attempt was last sent
        self.configure(settings)

    def configure(self, settings: Mapping) -> None:
        self.settings, self.get = settings, settings.get
        self.warm_keys = bool(self.get("family_info.warm_keys", False))
        # Where open connections cost, an agent keeps to a subset of the fleet, ordered by its index, and
        # considers all of it; otherwise a sample includes the backends that reported last.
        self.subsetting, self.index = self.get("tariffs.connection", 0.0) > 0.0, self.get("me", self.seed)
        self.recent: deque[Backend] = deque(maxlen=0 if self.subsetting else SAMPLE_SIZE // 2)
        self.assigned = str(self.get("dealt", "")).split(",")  # by agents that know each other; used first
        self.warmup = max(1, self.get("rules.warm_within", 30 * SECOND))
        self.fleet_size = max(1, int(self.get("balancers", 1)))
        self.zone = self.get("zone", 0)
        self.may_hedge = bool(self.get("allowed.may_duplicate", False))
        self.may_cancel = bool(self.get("allowed.cancelling", False))
        self.may_probe = bool(self.get("allowed.probes", False))
        # Probes are paid from a credit that grows with every work item, at a rate set by their price. A
        # report that counts only waiting work reads 0 at a busy backend: not worth a probe.
        self.probes_first = self.may_probe and "outstanding" in str(self.get("feedback.fields", ""))
        self.probe_refill = min(5.0, PROBE_COST_SHARE / max(1e-6, float(self.get("tariffs.probe", 0.0))))
        # Cost of crossing zones against a late answer; one work item too many makes several behind it late.
        self.crossing_cost = min(0.5, max(0.01, 0.3 * float(self.get("tariffs.cross_zone", 0.0))))
        self.payoff_per_work = self.get("payoff_by", "request") == "work"
        dropped = {category.name: category for category in self.categories}
        found = [Category.from_settings(self.get, n) for n in range(self.get("categories.count", 0))]
        for new in found:
            # New objects, as open work items keep theirs; what was learned goes by the name.
            if was := dropped.pop(new.name, None):
                new.usual_wait, new.base_time, new.samples = was.usual_wait, was.base_time, was.samples
        # Dropped categories come last, for clients that have not seen the change yet.
        self.categories, self.named_count = found + list(dropped.values())[:MAX_DROPPED], len(found)

    @property
    def agent_count(self) -> int:
        """Processes in the fleet, assuming that each agent has as many as this one."""
        return self.processes * self.fleet_size

    def count_open(self, now: Time, change: int = 0) -> None:
        decay = exp(-(now - self.open_at) / (1.5 * SECOND))
        self.mean_open = decay * self.mean_open + (1 - decay) * self.open
        self.open_at, self.open = now, self.open + change
        if change > 0:
            self.last_sent_at = now

    def rebuild_groups(self, now: Time) -> None:
        running = [b for b in self.backends.values() if b.in_service]
        self.running_count = len(running)
        if self.subsetting:
            running.sort(key=lambda b: (str(b.id) not in self.assigned, stable_hash(f"{self.index} {b.id}")))
        self.near = [b for b in running if b.listing.zone == self.zone]
        self.far = [b for b in running if b.listing.zone != self.zone]
        self.subsets = self._subset(self.near, SUBSET, now), self._subset(self.far, SUBSET // 2, now)
        if self.warm_keys:
            for b in self.near:
                b.ring_points = b.ring_points or ring_points(str(b.id), RING_POINTS)
            self.key_ring = HashRing((point, b) for b in self.near for point in b.ring_points)

    def is_cold(self, b: Backend, now: Time) -> bool:
        return b.started_at > 0 and now - b.started_at < self.warmup

    def _subset(self, group: list[Backend], width: int, now: Time) -> list[Backend]:
        """The first `width` backends, plus one for each of them that is still cold."""
        cold = sum(self.is_cold(b, now) for b in group[:width])
        return group[: width + cold] if self.subsetting else group

    def note_report(self, b: Backend) -> None:
        if b in self.recent:
            self.recent.remove(b)
        self.recent.append(b)

    def sample(self, fits: Callable[[Backend], bool], preferred: list[Backend]) -> list[Backend]:
        """Candidates at home and elsewhere: preferred ones, those that reported last, and random ones."""
        found = []
        for group, part, home in ((self.near, self.subsets[0], True), (self.far, self.subsets[1], False)):
            if self.subsetting:  # an agent with much in flight needs more of them
                part = group[: max(len(part), int(max(self.open, self.mean_open) / (3 if home else 6)))]
            some = [b for b in preferred if home and fits(b)]
            for b in self.recent:
                here = (b.listing.zone == self.zone) is home and self.backends.get(b.id) is b
                if here and b.in_service and b not in some and fits(b):
                    some.append(b)
            # Few may fit: a repeat bound to one cell, half a fleet drained. Then one wider sample follows.
            for width in (SAMPLE_SIZE, 4 * SAMPLE_SIZE):
                if width == SAMPLE_SIZE or len(some) < min(len(part), SAMPLE_SIZE // 3):
                    drawn = part if width == SAMPLE_SIZE else group
                    if len(group) > SAMPLE_SIZE and not self.subsetting:
                        drawn = self.random.sample(group, min(len(group), width))
                    some += [b for b in drawn if b not in some and fits(b)]
            del some[len(part) if self.subsetting else SAMPLE_SIZE :]
            found += some
        return found

    def category(self, index: int) -> Category:
        return self.categories[index] if 0 <= index < len(self.categories) else self.unknown_category

    def guess_base_time(self, category: Category) -> float:
        """Before any answer: the same share of the due time as other categories take."""
        named = self.categories[: self.named_count]
        known = [other.base_time / other.due_in for other in named if other.base_time and other.due_in]
        return (sum(known) / len(known) if known else 0.2) * (category.due_in or SECOND)

    def base_time(self, category: Category) -> float:
        """Time to an answer with an empty queue."""
        return category.base_time or self.guess_base_time(category)
