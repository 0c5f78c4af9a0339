"""The types that pass between the decisions and whatever hosts them.

All times are whole tenths of a millisecond on one clock that only moves forward. Ids of work items
and backends are the host's and are handed back unchanged.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from enum import Enum

from nettledeal.units import Time

WorkItemId = Hashable
BackendId = Hashable


class Effect(Enum):
    RERUNNABLE = "rerunnable"
    TICKETED = "ticketed"
    EXCLUSIVE = "exclusive"


class Group(Enum):
    """The backends that drop a repeat of a ticketed work item which one of them has run."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How one hand-off ended."""

    FINISHED = "finished"
    ERROR = "error"
    FULL = "full"
    OVERDUE = "overdue"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    RECALLED = "recalled"
    UNSENT = "unsent"

    @property
    def ran_not(self) -> bool:
        """The hand-off is known not to have run."""
        return self in (Outcome.FULL, Outcome.UNREACHABLE, Outcome.UNSENT)


class Verdict(Enum):
    """The final answers that the balancer gives itself; a finished one reaches the client unaided."""

    DEFERRED = "deferred"
    WRITTEN_OFF = "written off"


class Life(Enum):
    RUNNING = "running"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Listing:
    """What discovery says of one backend; `started` is 0 for one that has run for long."""

    backend: BackendId
    life: Life = Life.RUNNING
    zone: int = 0
    kind: int = 0
    cell: int = 0
    size: float = 1.0
    started: Time = 0


@dataclass(frozen=True, slots=True)
class HandOff:
    """Send the work item to the backend; hand-offs of a work item are numbered from 0 in this order."""

    work_item: WorkItemId
    number: int
    backend: BackendId
    time_out: Time
    begin_by: Time | None = None  # the moment from which it must not begin any more, where there is one


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer; `retry_after` is how long the client should wait, 0 for no advice."""

    work_item: WorkItemId
    verdict: Verdict
    retry_after: Time = 0


@dataclass(frozen=True, slots=True)
class Recall:
    """Stop waiting for a hand-off that nobody needs any more."""

    work_item: WorkItemId
    number: int


@dataclass(frozen=True, slots=True)
class Probe:
    backend: BackendId


@dataclass(frozen=True, slots=True)
class Enquiry:
    """Ask the list service to keep this agent informed of changes."""


Act = HandOff | Answer | Recall | Probe | Enquiry


@dataclass(frozen=True, slots=True)
class Step:
    """What one call leads to: things to do now, in order, and when to call `wake` at the latest."""

    acts: list[Act]
    wake: Time | None


Report = Mapping[str, float]
