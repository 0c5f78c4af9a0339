"""Open work items: the attempts each may still have, and its one final answer."""

from nettledeal.model import Answer, DedupScope, Effect, Time, Verdict, WorkItemId
from nettledeal.policy.shared_state import SharedState
from nettledeal.records import Routing, WorkItem


class OpenWorkItems:
    """Open work items by id, with their limits on attempts and time."""

    def __init__(self, state: SharedState):
        self.state = state
        self.by_id: dict[WorkItemId, WorkItem] = {}
        self.configure()

    def configure(self) -> None:
        self.max_attempts = self.state.get("allowed.most_hand_offs", 1) or 1

    def on_request(self, route: Routing) -> bool:
        return route.now < route.item.expires_at and len(route.item.attempts) < route.item.max_attempts

    def answer(self, item: WorkItem, retry_after: Time) -> Answer:
        del self.by_id[item.id]
        if self.may_defer(item):
            return Answer(item.id, Verdict.DEFERRED, retry_after)
        return Answer(item.id, Verdict.FAILED)

    @staticmethod
    def may_defer(item: WorkItem) -> bool:
        """A deferral tells the client that retrying is safe, so it must be, whatever may have run."""
        effect = item.category.effect
        deduplicated = effect is Effect.DEDUPLICATED and item.category.dedup_scope is DedupScope.ALL
        return effect is Effect.IDEMPOTENT or deduplicated or not item.possibly_ran
