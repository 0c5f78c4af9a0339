"""Local health awareness, as Lifeguard has it: how far a member trusts its own conclusions."""

from __future__ import annotations

import msgspec

# How ill a member may take itself to be: its patience grows by as many times.
MOST_ILL = 8


class Health(msgspec.Struct):
    """Lifeguard's own-health score, and counts that operators and tests look at."""

    ill: int = 0
    late: int = 0  # times that it was late itself
    accused: int = 0  # suspicions that it has begun
    refuted: int = 0  # suspicions of itself
    declared: int = 0  # deaths that it was the first to tell
    refused: dict[str, int] = {}  # messages and news, by why

    def worse(self, by: int) -> None:
        self.ill = max(0, min(MOST_ILL, self.ill + by))

    def refuse(self, why: str) -> None:
        self.refused[why] = self.refused.get(why, 0) + 1
