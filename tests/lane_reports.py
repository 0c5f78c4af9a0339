"""Passes the reports of one lane's run to the next run, so that its summary counts both lanes."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

COUNTED = ("passed", "failed", "error", "skipped", "xfailed", "xpassed")


def save(config: pytest.Config, stats: dict[str, list], file: Path) -> None:
    """Write all reports that the summary line counts."""
    kept = {}
    for outcome in COUNTED:
        reports = [report for report in stats.get(outcome, []) if isinstance(report, pytest.TestReport)]
        for report in reports:
            vars(report).pop("node", None)  # the worker's connection, which xdist adds
        kept[outcome] = [
            config.hook.pytest_report_to_serializable(config=config, report=report) for report in reports
        ]
    file.write_text(json.dumps(kept))


def add(config: pytest.Config, stats: dict[str, list], file: Path) -> None:
    """Add the reports of that file to this run's."""
    for outcome, reports in json.loads(file.read_text()).items():
        read = [config.hook.pytest_report_from_serializable(config=config, data=one) for one in reports]
        if read:
            stats.setdefault(outcome, []).extend(read)
