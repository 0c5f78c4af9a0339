"""Types exchanged between the decision module (`policy`) and its hosts: the agent and the simulator bridge.

All times are whole tenths of a millisecond on one monotonic clock. The host chooses the ids of work items
and backends, and gets them back unchanged.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from enum import Enum

from nettledeal.units import Time

WorkItemId = Hashable
BackendId = Hashable


# Whether a work item may run more than once. The values are those of the settings.
class Effect(Enum):
    IDEMPOTENT = "rerunnable"
    DEDUPLICATED = "ticketed"  # backends drop a repeat, within a scope and a time window
    AT_MOST_ONCE = "exclusive"


class DedupScope(Enum):
    """Which backends drop a repeat of a deduplicated work item that one of them has run."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How one attempt ended."""

    FINISHED = "finished"
    ERROR = "error"
    FULL = "full"  # rejected by an overloaded backend without running
    TIMED_OUT = "overdue"
    UNREACHABLE = "unreachable"
    RESET = "reset"  # the connection was lost after the request was sent
    CANCELLED = "recalled"
    UNSENT = "unsent"

    @property
    def never_ran(self) -> bool:
        """Whether the attempt is known not to have run."""
        return self in (Outcome.FULL, Outcome.UNREACHABLE, Outcome.UNSENT)


class Verdict(Enum):
    """Final answers that the balancer gives itself; a successful response needs no verdict."""

    DEFERRED = "deferred"  # the client may safely retry later
    FAILED = "written off"


class Lifecycle(Enum):
    RUNNING = "running"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Listing:
    """What discovery says about one backend; `started_at` is 0 if it has been running for long."""

    backend: BackendId
    lifecycle: Lifecycle = Lifecycle.RUNNING
    zone: int = 0
    machine_type: int = 0
    cell: int = 0
    weight: float = 1.0
    started_at: Time = 0


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the work item to the backend. The attempts of a work item are numbered from 0 in this order."""

    work_item: WorkItemId
    number: int
    backend: BackendId
    timeout: Time
    begin_by: Time | None = None  # if set, the backend must not start it at or after this time


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer; `retry_after` is how long the client should wait, 0 for no advice."""

    work_item: WorkItemId
    verdict: Verdict
    retry_after: Time = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt whose response is no longer needed."""

    work_item: WorkItemId
    number: int


@dataclass(frozen=True, slots=True)
class Probe:
    backend: BackendId


@dataclass(frozen=True, slots=True)
class SubscribeToList:
    """Ask the discovery service to keep this agent informed of changes to the list of backends."""


Action = SendAttempt | Answer | CancelAttempt | Probe | SubscribeToList


@dataclass(frozen=True, slots=True)
class Step:
    """Result of one call: actions to carry out now, in order, and the time to call `wake` at the latest."""

    actions: list[Action]
    wake_at: Time | None


LoadReport = Mapping[str, float]
