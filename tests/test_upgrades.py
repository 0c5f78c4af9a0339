from upgrades import run


def test_upgrades_under_load_lose_nothing_and_run_nothing_twice(tmp_path):
    counts = run(count=3, failed=2, rate=100, folder=tmp_path)
    assert (counts["lost"], counts["run twice"]) == (0, 0), counts
    assert counts["200"] > 0.9 * counts["asked"] > 100, counts
