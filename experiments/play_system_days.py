"""Plays every day of `experiments/system-days` and tells how each kind of trouble came out.

    python experiments/play_system_days.py BENCH SITE... --seeds 1 2 --out DIRECTORY [--only NAME ...]

For each site, day and seed the report of the bench is kept in DIRECTORY; one that is there already is not
played again. At the end a line per play and a table of kinds by site are printed.
"""

import argparse
import json
import subprocess
import sys
import tomllib
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

DAYS = Path(__file__).parent / "system-days"
PLAY_TIMEOUT_S = 600.0
LOW_SCORE = 0.6
# Days of kinds that only the grown sites play, and the names of these sites.
GROWN_PREFIX = "grown-"
GROWN_SUFFIX = "-grown"


@dataclass(frozen=True)
class Play:
    """One day of one site with one seed."""

    site: Path
    day: Path
    seed: int

    def report_path(self, out: Path) -> Path:
        """Where the bench's report of this play is kept."""
        return out / f"{self.site.stem}.{self.day.stem}.{self.seed}.json"


@dataclass(frozen=True)
class Outcome:
    """What came of one play; `score` is None where the bench gave no report."""

    play: Play
    score: float | None
    broken: dict[str, int]
    fault: str | None
    short: list[str]
    exits: float

    @property
    def clean(self) -> bool:
        """No rule broken, no fault, nothing under a floor."""
        return self.score is not None and not self.broken and not self.fault and not self.short


def fits(day: Path, site: Path) -> bool:
    """Whether the site plays the kinds of the day: those of the grown sites need a grown site."""
    return day.stem.startswith(GROWN_PREFIX) == site.stem.endswith(GROWN_SUFFIX)


def run_bench(bench: Path, play: Play, out: Path, why: str) -> None:
    """Plays one day, unless its report is there already; the bench's output is kept beside the report."""
    report = play.report_path(out)
    if report.exists():
        return
    command = [str(bench), "run", str(play.site), str(play.day), "--seed", str(play.seed)]
    command += ["--why", f"{why}: {play.day.stem}", "--report", str(report), "--log", "all"]
    with report.with_suffix(".out").open("w") as output:
        subprocess.run(command, stdout=output, stderr=subprocess.STDOUT, timeout=PLAY_TIMEOUT_S, check=False)


def read_outcome(play: Play, out: Path) -> Outcome:
    """Reads the bench's report of a play."""
    path = play.report_path(out)
    if not path.exists():
        return Outcome(play, None, {}, "no report", [], 0)
    report = json.loads(path.read_text())
    exits = sum(price[1] for price in report["prices"] if price[0] == "exits of its own")
    short = [str(part) for part in report["short"]]
    return Outcome(play, report["G"], report["breaks"], report["fault"], short, exits)


def kinds_of(day: Path) -> dict[str, set[str]]:
    """The kinds of trouble in a day, and the words of `how` that each has there."""
    content = tomllib.loads(day.read_text())
    entries = [*content.get("plan", []), *content.get("faults", [])]
    if "closing" in content:
        entries.append(content["closing"])
    kinds: dict[str, set[str]] = defaultdict(set)
    for entry in entries:
        kinds[entry["kind"]].update(entry.get("how", "").split())
    return kinds


def print_outcomes(outcomes: list[Outcome]) -> None:
    """One line a play: score, what was broken, and whether the score is low."""
    for outcome in outcomes:
        score = "none" if outcome.score is None else f"{outcome.score:.3f}"
        marks = [f"{rule} {count}" for rule, count in outcome.broken.items()]
        marks += [outcome.fault] if outcome.fault else []
        marks += [f"short: {part}" for part in outcome.short]
        marks += [f"exits {outcome.exits:.0f}"] if outcome.exits else []
        marks += ["low"] if outcome.score is not None and outcome.score < LOW_SCORE else []
        play = outcome.play
        print(f"{play.site.stem:24}{play.day.stem:36}{play.seed:>4}  {score}  {'; '.join(marks)}")


def print_table(outcomes: list[Outcome]) -> None:
    """The table of kinds by site: plays, plays with a broken rule, lowest score."""
    by_kind: dict[str, dict[str, list[Outcome]]] = defaultdict(lambda: defaultdict(list))
    ways: dict[str, set[str]] = defaultdict(set)
    for outcome in outcomes:
        for kind, hows in kinds_of(outcome.play.day).items():
            by_kind[kind][outcome.play.site.stem].append(outcome)
            ways[kind] |= hows
    sites = sorted({outcome.play.site.stem for outcome in outcomes})
    print("\n| kind | words of `how` |" + "".join(f" {site} |" for site in sites))
    print("| --- | --- |" + " --- |" * len(sites))
    for kind in sorted(by_kind):
        cells = [cell_of(by_kind[kind][site]) for site in sites]
        print(f"| `{kind}` | {' '.join(sorted(ways[kind]))} |" + "".join(f" {cell} |" for cell in cells))


def cell_of(outcomes: list[Outcome]) -> str:
    """Plays, plays in which a rule broke or a fault came, and the lowest score."""
    scores = [outcome.score for outcome in outcomes if outcome.score is not None]
    broken = sum(1 for outcome in outcomes if outcome.broken or outcome.fault)
    lowest = f"{min(scores):.2f}" if scores else "none"
    return f"{len(outcomes)}, {broken}, {lowest}"


def parse_arguments() -> argparse.Namespace:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench", type=Path)
    parser.add_argument("sites", type=Path, nargs="+")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--only", nargs="*", default=[])
    parser.add_argument("--why", default="every kind of trouble, overlapping: is a rule broken")
    return parser.parse_args()


def main() -> int:
    """Plays what is missing; 1 if any play was not clean."""
    arguments = parse_arguments()
    arguments.out.mkdir(parents=True, exist_ok=True)
    days = sorted(day for day in DAYS.glob("*.toml") if not arguments.only or day.stem in arguments.only)
    plays = [
        Play(site, day, seed)
        for seed in arguments.seeds
        for day in days
        for site in arguments.sites
        if fits(day, site)
    ]
    with ThreadPoolExecutor(arguments.jobs) as pool:
        jobs = [pool.submit(run_bench, arguments.bench, play, arguments.out, arguments.why) for play in plays]
        for job in jobs:
            job.result()
    outcomes = [read_outcome(play, arguments.out) for play in plays]
    print_outcomes(outcomes)
    print_table(outcomes)
    return 0 if all(outcome.clean for outcome in outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
