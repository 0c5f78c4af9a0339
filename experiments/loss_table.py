"""Where a played day lost its worth, largest first: a table from the report that a run of the bench wrote.

    python3 experiments/loss_table.py REPORT.json [REPORT.json ...]

One column a report, so that days, seeds or two versions stand side by side. What a row costs is in parts of
the day's score before it is placed between its marks: a part's weight times what it lacks, and each price.
Below stand the requests that earned less than they could, by kind, by clients' zone and by second, and how
the last try of those not served ended; seconds in which machines or backends were lost are marked, since what
was in those machines can't be served by any policy.
"""

from __future__ import annotations

import argparse
import json
from collections.abc import Callable, Iterable
from pathlib import Path

LEAST_SHOWN = 0.0005
MOST_WINDOWS = 8
# Troubles that take machines or backends away with the requests in them.
LOSSES = ("loss", "power", "kill", "crash", "cut", "wipe", "freeze", "closing", "dark")

Row = dict[str, float]


def costs(report: dict) -> Row:
    """What each part and each price took of the score."""
    lost = {f"part: {name}": weight * (1.0 - value) for name, weight, value in report["parts"]}
    prices = {f"price: {row[0]}": row[2] for row in report["prices"]}
    return lost | prices


def unserved(report: dict) -> Row:
    """Requests that were not served, by how their last try ended."""
    return {f"last try: {row[0]}": float(row[1]) for row in report["unserved_by"]}


def short_of_worth(report: dict, field: str) -> Row:
    """Late, refused and failed requests, by kind or zone."""
    rows = {}
    for row in report[field]:
        for outcome in ("late", "refused", "failed"):
            rows[f"{row['name']}: {outcome}"] = float(row[outcome])
    return rows


def by_second(report: dict) -> Row:
    """The worst spans of seconds by requests that were not served in time."""
    rows = {}
    for row in report["windows"]:
        began = float(row["name"])
        mark = " (losses)" if _has_losses(report["events"], began) else ""
        rows[f"from {began:.0f} s{mark}"] = float(row["late"] + row["refused"] + row["failed"])
    return rows


def _has_losses(events: list[dict], began: float) -> bool:
    return any(
        event["at_s"] - 2.0 <= began <= event["to_s"] and any(word in event["kind"] for word in LOSSES)
        for event in events
    )


def table(title: str, names: list[str], rows: Iterable[Row], most: int, least: float) -> list[str]:
    """The rows of all reports side by side, the largest of any first."""
    columns = list(rows)
    keys = {key for column in columns for key in column}
    largest = {key: max(column.get(key, 0.0) for column in columns) for key in keys}
    shown = sorted((key for key in keys if largest[key] >= least), key=lambda key: -largest[key])[:most]
    form: Callable[[float], str] = (
        (lambda value: f"{value:.4f}") if least < 1 else (lambda value: f"{value:.0f}")
    )
    lines = ["", f"| {title} | {' | '.join(names)} |", f"| --- |{' --- |' * len(names)}"]
    for key in shown:
        cells = " | ".join(form(column.get(key, 0.0)) for column in columns)
        lines.append(f"| {key} | {cells} |")
    return lines


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description="where played days lost their worth")
    parser.add_argument("reports", nargs="+", type=Path)
    paths = parser.parse_args().reports
    reports = [json.loads(path.read_text()) for path in paths]
    names = [path.stem for path in paths]
    lines = table("score", names, [{"score": report["G"]} for report in reports], 1, 0.0)
    lines += table("costs", names, map(costs, reports), 20, LEAST_SHOWN)
    lines += table("not served", names, map(unserved, reports), 12, 1)
    for field in ("classes", "zones"):
        lines += table(field, names, (short_of_worth(report, field) for report in reports), 18, 1)
    lines += table("seconds", names, map(by_second, reports), MOST_WINDOWS, 1)
    print("\n".join(lines))


if __name__ == "__main__":
    main()
