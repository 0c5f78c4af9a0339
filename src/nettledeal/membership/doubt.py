"""Zones that may be lost as a whole, though not all of their members are found out yet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

# A zone is in doubt when so large a part of its members is suspected, or was found dead of late: what took
# them may have taken the others. A single loss says nothing.
DOUBTED_SHARE = 0.5
LEAST_LOST = 2


def zones_in_doubt(sound: Iterable[str], lost: Iterable[str]) -> frozenset[str]:
    """The zones in doubt; `sound` and `lost` have the zone of each member that is the one or the other."""
    lost_in = Counter(lost)
    sound_in = Counter(sound)
    return frozenset(
        zone
        for zone, count in lost_in.items()
        if count >= LEAST_LOST and count >= DOUBTED_SHARE * (count + sound_in[zone])
    )
