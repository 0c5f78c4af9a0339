"""Local health awareness, as in Lifeguard: how far a member trusts its own failure detection."""

from __future__ import annotations

import msgspec

# Upper limit of the local health score; timeouts are multiplied by one more than the score.
MAX_SCORE = 8


class LocalHealth(msgspec.Struct):
    """Lifeguard's local health score, and counters for operators and tests. Zero is healthy."""

    score: int = msgspec.field(default=0, name="ill")
    late_wakeups: int = msgspec.field(default=0, name="late")  # the member itself ran late
    suspicions_started: int = msgspec.field(default=0, name="accused")
    refutations: int = msgspec.field(default=0, name="refuted")  # of suspicions of this member
    deaths_declared: int = msgspec.field(default=0, name="declared")
    # Rejected messages and updates, by reason.
    rejected: dict[str, int] = msgspec.field(default_factory=dict, name="refused")

    def adjust(self, by: int) -> None:
        self.score = max(0, min(MAX_SCORE, self.score + by))

    def count_rejected(self, reason: str) -> None:
        self.rejected[reason] = self.rejected.get(reason, 0) + 1
