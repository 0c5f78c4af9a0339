"""What the parts of a control plane say on its status page."""

from __future__ import annotations

import math
import time
from collections.abc import Iterable

from nettledeal.common.settings import Settings
from nettledeal.control.node import ControlNode
from nettledeal.control.state import ControlState
from nettledeal.distribution.published_source import PublishedSource
from nettledeal.operator_api.status import BudgetStatus, EpochStatus, SourceStatus
from nettledeal.shares.roster import roster_in


def epoch_status(node: ControlNode) -> EpochStatus:
    """The last decided epoch that `node` knows."""
    record = node.epoch_record
    if record is None:
        return EpochStatus(node.replica_id)
    age_s = node.confirmed_age_s()
    return EpochStatus(
        replica_id=node.replica_id,
        epoch=record.epoch,
        primary=record.primary,
        in_sync=list(record.in_sync),
        voters=[f"{voter.replica_id}@{voter.host}" for voter in record.voters],
        confirmed_age_s=age_s if math.isfinite(age_s) else None,
        reader=node.reader,
    )


def source_status(sources: Iterable[PublishedSource]) -> dict[str, SourceStatus]:
    """Versions, sizes and ages of the sources published here."""
    now_s = time.monotonic()
    return {
        source.name: SourceStatus(source.version, len(source.entries), source.age_s(now_s))
        for source in sources
    }


def budget_status(settings: Settings, state: ControlState) -> BudgetStatus:
    """The budgets that the data planes of the share roster divide."""
    bounds = settings.bounds
    roster = roster_in(state.entries)
    return BudgetStatus(
        members=roster.size,
        granted=len(roster.granted),
        retry_ratio=bounds.retry_budget_ratio,
        retry_slack=bounds.retry_budget_slack,
        retry_window_s=bounds.budget_window_s,
        warmup_overage=bounds.warmup_overage,
        warmup_slack=bounds.warmup_slack,
    )
