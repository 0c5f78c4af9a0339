"""Plots of a result: response times of every policy, and load per second with faults marked."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from typing import Any

import matplotlib
import msgspec
from hdrh.histogram import HdrHistogram

from nettledeal.configuration_files import ConfigError
from nettledeal.fleet import results, rule_checker
from nettledeal.fleet.experiment import TICKS_PER_SECOND

matplotlib.use("Agg")  # writes files without a display
from matplotlib import pyplot  # noqa: E402

PERCENTILES = [0.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9]


def draw(folder: Path, to: Path) -> list[Path]:
    """Writes the plots and returns their paths.

    Raises ConfigError if the folder has no complete result.
    """
    result = results.read(folder)
    to.mkdir(parents=True, exist_ok=True)
    return [_plot_response_times(result, to / "times.png"), _plot_load(result, folder, to / "load.png")]


def _plot_response_times(result: dict[str, Any], path: Path) -> Path:
    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    histograms: dict[str, HdrHistogram] = {}
    for run in result["runs"]:
        histogram = HdrHistogram.decode(run["histogram"])
        if run["policy"] in histograms:
            histograms[run["policy"]].add(histogram)
        else:
            histograms[run["policy"]] = histogram
    for policy, histogram in histograms.items():
        values = [histogram.get_value_at_percentile(percentile) / 10 for percentile in PERCENTILES]
        axes.plot([100 / (100 - percentile) for percentile in PERCENTILES], values, marker=".", label=policy)
    axes.set_xscale("log")
    axes.set_xticks(
        [100 / (100 - percentile) for percentile in PERCENTILES],
        [f"{percentile:g}" for percentile in PERCENTILES],
    )
    axes.set_xlabel("percentile of successful requests")
    axes.set_ylabel("ms from the scheduled start")
    axes.set_title(result["about"], fontsize=9)
    axes.legend(fontsize=8)
    return _save(figure, path)


def _plot_load(result: dict[str, Any], folder: Path, path: Path) -> Path:
    """Plots maximum and mean requests per backend in each second, with one row for each policy."""
    runs = [run for run in result["runs"] if run["seed"] == result["experiment"]["seed"]]
    figure, rows = pyplot.subplots(len(runs), 1, figsize=(8, 2 * len(runs)), sharex=True, squeeze=False)
    count = result["experiment"]["backends"]["count"]
    for (axes,), run in zip(rows, runs, strict=True):
        try:
            raw = (folder / f"{run['policy']}.records").read_bytes()
        except OSError as error:
            raise ConfigError(f"{folder}: {run['policy']}.records: {error.strerror}") from None
        records = msgspec.msgpack.decode(raw)
        start = min((record[3] for record in records["clients"]), default=0)
        held: dict[int, dict[int, int]] = defaultdict(lambda: defaultdict(int))
        for trail in rule_checker.request_trails(records["backends"]).values():
            for visit in trail.visits:
                first, last = visit.arrived_at - start, (visit.ended_at or visit.arrived_at) - start
                for second in range(first // TICKS_PER_SECOND, last // TICKS_PER_SECOND + 1):
                    held[second][visit.backend] += 1
        seconds = sorted(held)
        axes.plot(seconds, [max(held[second].values()) for second in seconds], label="maximum of one backend")
        axes.plot(seconds, [sum(held[second].values()) / count for second in seconds], label="mean")
        for at, label in run["marks"]:
            axes.axvline(at / 1000, color="grey", linewidth=0.5)
            axes.text(at / 1000, axes.get_ylim()[1], label, fontsize=6, rotation=90, va="top")
        axes.set_ylabel(run["policy"], fontsize=8)
    rows[0][0].legend(fontsize=7)
    rows[0][0].set_title(f"requests per backend in each second\n{result['about']}", fontsize=8)
    rows[-1][0].set_xlabel("s")
    return _save(figure, path)


def _save(figure: Any, path: Path) -> Path:
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
    return path
