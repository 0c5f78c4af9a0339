"""Detects zones that may have failed as a whole before all of their members have been found dead."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

# A zone is suspected when at least this share of its members is suspected or was recently found dead: the
# cause may have taken the others down as well. A single loss is no evidence.
MIN_LOST_SHARE = 0.5
MIN_LOST_MEMBERS = 2


def suspect_zones(healthy: Iterable[str], lost: Iterable[str]) -> frozenset[str]:
    """The zones that may have failed; `healthy` and `lost` give the zone of each such member."""
    lost_counts = Counter(lost)
    healthy_counts = Counter(healthy)
    return frozenset(
        zone
        for zone, count in lost_counts.items()
        if count >= MIN_LOST_MEMBERS and count >= MIN_LOST_SHARE * (count + healthy_counts[zone])
    )
