from upgrades import run


def test_upgrades_under_load_lose_nothing_and_run_nothing_twice(tmp_path):
    seen = run(count=3, failed=2, rate=100, folder=tmp_path)
    assert (seen["lost"], seen["run twice"]) == (0, 0), seen
    assert seen["200"] > 0.9 * seen["asked"] > 100, seen
