"""Short soaks of a whole system: overlapping losses, signals and changes under lasting connections."""

from __future__ import annotations

import pytest

from nettledeal.standins.soak import Soak


@pytest.mark.parametrize(
    ("seed", "edges", "relays"), [(1, 3, 3), (2, 3, 3), (3, 14, 6)], ids=["small", "small-2", "crowded"]
)
def test_a_system_recovers_from_overlapping_events_and_loses_no_answer(tmp_path, seed, edges, relays):
    report = Soak(seed, tmp_path, edges, relays, network=seed % 4).run(15.0)
    assert report.broken == [], report.line()
    assert report.served > 0
