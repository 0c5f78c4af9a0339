"""Retries: whether a work item that may have run may be sent again, and to which backends."""

from nettledeal.model import DedupScope, Effect, Time
from nettledeal.policy.shared_state import SharedState
from nettledeal.records import Backend, WorkItem


class RetryRules:
    """What the effect of a work item still allows once an attempt may have run."""

    def __init__(self, state: SharedState):
        self.state = state

    @staticmethod
    def deadline(item: WorkItem) -> Time | None:
        """Time until which backends drop a repeat, which could run twice if sent later; None for no limit."""
        if item.category.effect is Effect.IDEMPOTENT or not item.possibly_ran:
            return None
        return item.possibly_ran[0].sent_at + (
            item.category.dedup_window if item.category.effect is Effect.DEDUPLICATED else 0
        )

    def allows(self, item: WorkItem, backend: Backend, now: Time) -> bool:
        if item.open_attempts and not self.state.may_hedge:
            return False
        deadline = self.deadline(item)
        if deadline is None or now >= deadline:
            return deadline is None
        scope, target = item.category.dedup_scope, backend.listing
        for attempt in item.possibly_ran:
            ran = attempt.backend.listing
            if scope is DedupScope.ZONE and ran.zone != target.zone:
                return False
            if scope is DedupScope.CELL and (ran.cell != target.cell or ran.zone != target.zone):
                return False
        return True
