"""Records that the stages of the balancer keep about work items, attempts and backends; no decisions here."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from nettledeal.model import (
    BackendId,
    DedupScope,
    Effect,
    Lifecycle,
    Listing,
    LoadReport,
    Outcome,
    Time,
    WorkItemId,
)
from nettledeal.time_windows import WindowedSums


# A class of work items: its deadlines, its payoff and how it may be retried.
@dataclass(slots=True)
class Category:
    due_in: Time
    expires_in: Time
    payoff: float
    late_payoff: float
    effect: Effect
    dedup_scope: DedupScope
    dedup_window: Time
    name: str = ""
    usual_wait: Time = 0  # learned: how long clients wait for the answer to a first try
    base_time: float = 0.0  # learned: time to an answer with an empty queue
    samples: int = 0

    @classmethod
    def from_settings(cls, get: Callable[..., Any], index: int) -> Category:
        """The category at `index` of the settings; `get` looks up a setting by name, with a default."""
        prefix = f"categories.{index}."
        return cls(
            due_in=get(prefix + "due_time", 0),
            expires_in=get(prefix + "expiry", 0),
            payoff=float(get(prefix + "payoff", 1.0)),
            late_payoff=float(get(prefix + "overdue_payoff", 0.0)),
            effect=Effect(get(prefix + "effect", "exclusive")),
            dedup_scope=DedupScope(get(prefix + "group", "all")),
            dedup_window=get(prefix + "window", 0),
            name=str(get(prefix + "name", index)),
        )


@dataclass(slots=True)
class Attempt:
    """One sending of a work item to a backend, and what was known when it was sent."""

    number: int
    backend: Backend
    sent_at: Time
    expected_by: Time
    queue_ahead: float
    own_ahead: int
    others_ahead: float
    cross_zone: bool
    outcome: Outcome | None = None
    probed: bool = False  # its backend was probed because the answer was overdue
    lost: bool = False  # no longer counted as in flight: presumed lost, or forwarded as a stream


@dataclass(slots=True)
class WorkItem:
    id: WorkItemId
    category: Category
    received_at: Time
    due_at: Time
    expires_at: Time
    customer: int
    is_retry: bool
    max_attempts: int  # by the settings in force when it arrived
    key: str | None = None
    attempts: list[Attempt] = field(default_factory=list)
    open_attempts: int = 0
    home_only: bool = False
    pending_probes: int = 0  # probes it waits for before a backend is chosen
    has_probed: bool = False
    streaming: bool = False

    @property
    def possibly_ran(self) -> list[Attempt]:
        """Attempts that ran, may have run or may still run, in the order sent."""
        return [sent for sent in self.attempts if sent.outcome is None or not sent.outcome.never_ran]


@dataclass(slots=True, eq=False)
class Backend:
    id: BackendId
    listing: Listing
    confirmed: bool  # named by a current list, or answered since; otherwise only by a cached list
    others_reading: float = 0.0  # work items of other agents at the last reading
    others_smoothed: float = 0.0
    read_at: Time | None = None
    sent_since_reading: int = 0
    in_flight: dict[tuple[WorkItemId, int], Attempt] = field(default_factory=dict)  # of this agent
    pinned_queue: float | None = None  # assumed queue after a rejection, until the next reading
    log_slowness: float = 0.0  # learned, relative to its machine type
    slowness_at: Time = 0
    distrust: float = 0.0
    distrust_at: Time = 0
    ring_points: list[int] = field(default_factory=list)  # its positions on the ring of keys
    key_share: float = 0.0  # decaying share of own keyed work items whose key prefers it
    key_share_at: int = 0  # count of key look-ups at the last update
    answered_at: Time = -1  # when it last answered anything
    cordoned: bool = False  # taken out of service by an operator
    assumed_start: Time = 0  # set while a restart may not be in the list yet
    result_counts: WindowedSums | None = None
    cold_work: WindowedSums | None = None

    @classmethod
    def fresh(cls, listing: Listing, confirmed: bool, now: Time, previous: Backend | None) -> Backend:
        """A backend with nothing learned. Attempts in flight and the work sent while cold carry over."""
        fresh = cls(listing.backend, listing, confirmed, slowness_at=now, distrust_at=now)
        if previous is not None:
            fresh.in_flight, fresh.cold_work = previous.in_flight, previous.cold_work
        return fresh

    @property
    def in_service(self) -> bool:
        return self.listing.lifecycle is Lifecycle.RUNNING and not self.cordoned

    @property
    def started_at(self) -> Time:
        return max(self.listing.started_at, self.assumed_start)


@dataclass(slots=True)
class Routing:
    """The state of one pass of a work item through the routing stages."""

    item: WorkItem
    now: Time
    candidates: list[Backend] = field(default_factory=list)
    is_hedge: bool = False
    preferred: list[Backend] = field(default_factory=list)
    cross_zone: bool = False
    chosen: Backend | None = None
    to_probe: list[Backend] = field(default_factory=list)


@dataclass(slots=True)
class AttemptEnd:
    """The end of an attempt; `item` is None if the work item has been answered already."""

    item: WorkItem | None
    attempt: Attempt
    outcome: Outcome
    took: Time
    report: LoadReport
    now: Time
