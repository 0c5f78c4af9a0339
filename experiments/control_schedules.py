"""Seeded schedules of the control state with severe faults, many at once, on one version of the sources.

    python3 experiments/control_schedules.py run SHAPE SEEDS [--processes N] [--results FILE]
    python3 experiments/control_schedules.py status [--results FILE]

plays the first SEEDS seeds of a shape (three, six, six-serving) and keeps the outcome of each chunk, so that
a run which was stopped goes on where it was. Outcomes belong to the digest of the sources that gave them;
those of other sources are not counted. Ends with 1 if a schedule broke a promise.
"""

from __future__ import annotations

import argparse
import hashlib
import os
import sqlite3
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import islice
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "src")]

from tests.system.control_severe_faults import SHAPES, run_severe_schedule  # noqa: E402

CHUNK = 50
PROGRESS_EVERY_S = 20.0
RESULTS = ROOT / "results" / "control-schedules.sqlite"
# Of what is loaded, what an outcome depends on.
SOURCES = ("nettledeal.control", "nettledeal.common.settings", "tests.system")


@dataclass(frozen=True, slots=True)
class Chunk:
    """Consecutive seeds of a shape."""

    shape: str
    first: int
    count: int


@dataclass(frozen=True, slots=True)
class Broken:
    """A schedule in which something did not hold."""

    seed: int
    what: str


def version() -> str:
    """The digest of the loaded sources on which an outcome depends."""
    digest = hashlib.sha256()
    for name, module in sorted(sys.modules.items()):
        if name.startswith(SOURCES) and module.__file__ is not None:
            digest.update(Path(module.__file__).read_bytes())
    return digest.hexdigest()[:16]


class Outcomes:
    """The chunks played so far, in a file."""

    def __init__(self, path: Path, version: str):
        path.parent.mkdir(parents=True, exist_ok=True)
        self._version = version
        self._database = sqlite3.connect(path)
        with self._database:
            self._database.execute(
                "CREATE TABLE IF NOT EXISTS chunks"
                " (version, shape, first, count, seconds, PRIMARY KEY (version, shape, first))"
            )
            self._database.execute(
                "CREATE TABLE IF NOT EXISTS broken (version, shape, seed, what,"
                " PRIMARY KEY (version, shape, seed))"
            )

    def played(self, shape: str) -> set[int]:
        """The first seeds of the chunks that were played."""
        rows = self._database.execute(
            "SELECT first FROM chunks WHERE version = ? AND shape = ?", (self._version, shape)
        )
        return {first for (first,) in rows}

    def add(self, chunk: Chunk, seconds: float, broken: list[Broken]) -> None:
        """Keep a chunk's outcome, whole or not at all."""
        with self._database:
            self._database.execute(
                "INSERT OR REPLACE INTO chunks VALUES (?, ?, ?, ?, ?)",
                (self._version, chunk.shape, chunk.first, chunk.count, seconds),
            )
            self._database.executemany(
                "INSERT OR REPLACE INTO broken VALUES (?, ?, ?, ?)",
                [(self._version, chunk.shape, one.seed, one.what) for one in broken],
            )

    def summary(self) -> Iterator[str]:
        """A line for each shape, and one for each broken schedule."""
        rows = self._database.execute(
            "SELECT shape, SUM(count), SUM(seconds) FROM chunks WHERE version = ? GROUP BY shape",
            (self._version,),
        )
        for shape, count, seconds in rows.fetchall():
            broken = self.broken(shape)
            yield f"{shape}: {count} schedules, {seconds:.0f} s of processor, {len(broken)} broken"
            yield from (f"  seed {one.seed}: {one.what}" for one in broken)

    def broken(self, shape: str) -> list[Broken]:
        """The schedules in which something did not hold."""
        rows = self._database.execute(
            "SELECT seed, what FROM broken WHERE version = ? AND shape = ? ORDER BY seed",
            (self._version, shape),
        )
        return [Broken(seed, what) for seed, what in rows]


def play(chunk: Chunk) -> tuple[Chunk, float, list[Broken]]:
    """Play a chunk in this process."""
    began = time.process_time()
    broken = []
    for seed in range(chunk.first, chunk.first + chunk.count):
        found = run_severe_schedule(seed, SHAPES[chunk.shape])
        if found:
            broken.append(Broken(seed, "; ".join(found[:3])))
    return chunk, time.process_time() - began, broken


def run(outcomes: Outcomes, shape: str, seeds: int, processes: int) -> int:
    """Play what is missing of the first seeds; the exit status."""
    played = outcomes.played(shape)
    missing = (Chunk(shape, first, CHUNK) for first in range(0, seeds, CHUNK) if first not in played)
    told_at = time.monotonic()
    with ProcessPoolExecutor(processes) as pool:
        # No more is handed out than is worked on, so that an interrupted run ends soon.
        while batch := list(islice(missing, 4 * processes)):
            for chunk, seconds, broken in pool.map(play, batch):
                outcomes.add(chunk, seconds, broken)
                for one in broken:
                    print(f"{shape} seed {one.seed}: {one.what}", flush=True)
            if time.monotonic() - told_at > PROGRESS_EVERY_S:
                told_at = time.monotonic()
                print(f"{shape}: {CHUNK * len(outcomes.played(shape))} of {seeds}", flush=True)
    print(*outcomes.summary(), sep="\n", flush=True)
    return 1 if outcomes.broken(shape) else 0


def main() -> int:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    verbs = parser.add_subparsers(dest="verb", required=True)
    running = verbs.add_parser("run", help="play the first seeds of a shape")
    running.add_argument("shape", choices=sorted(SHAPES))
    running.add_argument("seeds", type=int, help=f"rounded up to {CHUNK}")
    running.add_argument("--processes", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    status = verbs.add_parser("status", help="what has been played on the present sources")
    for verb in (running, status):
        verb.add_argument("--results", type=Path, default=RESULTS)
    told = parser.parse_args()
    outcomes = Outcomes(told.results, version())
    if told.verb == "run":
        return run(outcomes, told.shape, told.seeds, told.processes)
    print(*outcomes.summary(), sep="\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
