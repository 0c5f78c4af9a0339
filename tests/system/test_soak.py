"""Short soaks of a whole system: overlapping losses, signals and changes under lasting connections."""

from __future__ import annotations

from pathlib import Path

import pytest

from nettledeal.standins.soak import Soak

PROGRAMS = Path(__file__).parent


@pytest.mark.parametrize(
    ("seed", "edges", "relays"), [(1, 3, 3), (2, 3, 3), (3, 14, 6)], ids=["small", "small-2", "crowded"]
)
def test_a_system_recovers_from_overlapping_events_and_loses_no_answer(tmp_path, seed, edges, relays):
    report = Soak(seed, tmp_path, edges, relays, network=seed % 4).run(15.0)
    assert report.broken == [], report.line()
    assert report.served > 0
    assert report.probes > 0


@pytest.mark.parametrize(
    ("program", "finding"),
    [("edge_skips_changes_program.py", "was acknowledged"), ("edge_goes_back_program.py", "went back")],
)
def test_a_soak_finds_an_edge_machine_that_goes_by_another_configuration(tmp_path, program, finding):
    soak = Soak(1, tmp_path, edges=3, relays=0)
    soak.system.edges[0].process.program = PROGRAMS / program
    report = soak.run(0.0)
    assert any(finding in line for line in report.broken), report.line()
    assert all(line.startswith("edge-1 ") for line in report.broken), report.line()
