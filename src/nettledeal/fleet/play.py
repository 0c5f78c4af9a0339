"""Plays an experiment, one policy after another on the same traffic and the same faults, and tells the
outcome.
"""

from __future__ import annotations

import signal
import sys
import tempfile
from pathlib import Path
from statistics import median
from typing import Any

import gevent
import msgspec
from gevent.event import Event
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from nettledeal.configuration_files import ConfigError
from nettledeal.fleet import checker, measures, results
from nettledeal.fleet.configurations import GRACE_MS
from nettledeal.fleet.experiment import SECOND, Asked, Experiment
from nettledeal.fleet.processes import SOURCE, Broken
from nettledeal.fleet.rig import Rig
from nettledeal.fleet.traffic import asks

WAITED_SPAN = SECOND // 10  # in which the longest wait of an agent for a processor is told

COLUMNS = (
    ("policy", "policy", "{}"),
    ("on time", "on_time", "{:.4f}"),
    ("p50 ms", "p50_ms", "{:.0f}"),
    ("p99 ms", "p99_ms", "{:.0f}"),
    ("deferred", "deferred", "{:.4f}"),
    ("lost", "lost", "{:.4f}"),
    ("spread", "spread", "{:.3f}"),
    ("/chance", "spread_to_chance", "{:.2f}"),
    ("peak", "peak_held", "{:.0f}"),
    ("herd", "herd", "{:.0f}"),
    ("idle", "idle", "{:.0f}"),
    ("rules", "rules", "{}"),
)


def play(asked: Asked, out: Path | None, as_json: bool, count: int = 1) -> int:
    """Plays `count` seeds. Exit status: 0, or 1 where a rule was broken or a run was cut off."""
    # Noticed between two steps: an exception at any point could lose a process that has just been started.
    stopped = Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, stopped.set)
    console = Console(stderr=True)
    found: list[dict[str, Any]] = []
    files: dict[str, bytes] = {}
    first = asked.experiment.seed
    days = [msgspec.structs.replace(asked.experiment, seed=first + n) for n in range(count)]
    names = dict.fromkeys((*asked.experiment.policies, *asked.trees))
    with Progress(
        TextColumn("{task.fields[policy]}"),
        BarColumn(),
        TextColumn("{task.description}"),
        TimeElapsedColumn(),
        console=console,
        transient=True,
        disable=not console.is_terminal,
    ) as bar:
        task = bar.add_task("", total=1.0, policy="")
        for experiment, policy in ((day, name) for day in days for name in names):
            tree, traffic = asked.trees.get(policy), asks(experiment)
            baseline = policy if policy != "agents" and tree is None else None

            def progress(what: str, part: float, policy: str = policy) -> None:
                if stopped.is_set():
                    raise Broken("interrupted")
                bar.update(task, policy=policy, description=what, completed=part)

            try:
                with tempfile.TemporaryDirectory(prefix="nettledeal-fleet-") as folder:
                    rig = Rig(experiment, baseline, tree or SOURCE, Path(folder), traffic, progress)
                    try:
                        records = rig.play()
                    finally:
                        kept = _logs(Path(folder)) if out is not None else {}
                result = outcome(experiment, rig, records)
            except Broken as fault:
                print(f"nettledeal: {policy}: {fault}; all that was started has ended", file=sys.stderr)
                return 1
            found.append({"policy": policy, "seed": experiment.seed} | result)
            mark = policy if experiment.seed == first else f"{policy}.{experiment.seed}"
            files |= {f"{mark}.records": msgspec.msgpack.encode(records)}
            files |= {f"{mark}.{name}": raw for name, raw in kept.items()}
    told = msgspec.to_builtins(asked.experiment)
    whole = {"about": asked.experiment.about, "experiment": told, "runs": found}
    if out is not None:
        try:
            results.write(out, whole, files)
        except OSError as fault:
            raise ConfigError(f"{out}: {fault.strerror}") from None
    if as_json:
        print(msgspec.json.encode(whole).decode())
    else:
        show(whole)
    return 1 if any(run["broken"] for run in found if run["judged"]) else 0


def _logs(folder: Path) -> dict[str, bytes]:
    return {file.name: file.read_bytes() for file in sorted(folder.glob("*.log")) if file.stat().st_size}


def outcome(experiment: Experiment, rig: Rig, records: dict[str, list]) -> dict[str, Any]:
    """All figures of one run."""
    start = rig.start_at
    since, until = start + round(experiment.settle * SECOND), start + round(experiment.seconds * SECOND)
    broken = checker.check(experiment, records, rig.agents.harmed, GRACE_MS * 10, waits=rig.waits)
    trails = checker.trails(records["backends"])
    found = measures.holds(trails, since, until)
    # Backends that were not replaced, crashed or cold: what is even among them is the balancer's doing.
    spoiled = {n for _, n, _, what, _ in records["backends"] if what in ("died", "fell")} | rig.told.cold
    capacity = experiment.backends.cores
    fit = [
        measures.Fit(n, rig.told.speed(n) * capacity)
        for n in range(experiment.backends.count)
        if n not in spoiled
    ]
    among = [hold for hold in found if hold[2] not in spoiled]
    spread, chance = measures.spread(among, fit)
    peak, mean = measures.peak_held(found)
    chance_peak, chance_herd = measures.by_chance(among, fit, experiment.seed)
    after = round(experiment.idle_after * SECOND) or measures.idle_after(among, fit, until - since)
    idle = measures.idle(among, fit, since, until, after)
    served = measures.service(experiment, records["clients"], since, until)
    waits = measures.first_work(rig.faults.returned, trails)
    probes = sum(1 for at, _, _, what, _ in records["backends"] if what == "probe" and since <= at < until)
    return served | {
        "lost": served["unanswered"] + served["failed"],
        "spread": spread,
        "spread_by_chance": chance,
        "spread_to_chance": spread / chance if chance else 0.0,
        "peak_held": peak,
        "mean_held": mean,
        "peak_by_chance": chance_peak,
        "herd": measures.herd(among),
        "herd_by_chance": chance_herd,
        "idle": len(idle),
        "idle_after_ms": after / 10,
        "first_work_ms": {name: wait and wait / 10 for name, wait in waits.items()},
        "probes_each": probes / max(1, served["asked"]),
        "hand_offs_each": len(found) / max(1, served["asked"]),
        "judged": rig.policy is None,
        "broken": {rule: lines for rule, lines in broken.items() if lines},
        "rules": _rules(rig, broken),
        "marks": [((at - start) / 10, label) for at, label in rig.faults.marks],
        "agent_waited_most_ms": rig.waits.most(range(experiment.agents.count), WAITED_SPAN) / 10,
        "histogram": _histogram(experiment, records["clients"], since, until),
    }


def _rules(rig: Rig, broken: dict[str, list[str]]) -> str:
    count = sum(map(len, broken.values()))
    if rig.policy is not None:
        return "-"
    return "kept" if not count else f"{count} broken"


def _histogram(experiment: Experiment, clients: list, since: int, until: int) -> str:
    """Answer times of what was answered well, in tenths of a millisecond, in the form that HDR tools read."""
    longest = max(round(c.expiry_ms * 10) for c in experiment.category) * 2
    histogram = HdrHistogram(1, max(2, longest), 3)
    for _, _, _, due, _, answered, status, _ in clients:
        if status == 200 and since <= due < until:
            histogram.record_value(max(1, answered - due))
    return histogram.encode().decode()


def _values(runs: list[dict], key: str) -> list:
    return [run[key] for run in runs]


def _middle(runs: list[dict], key: str) -> Any:
    """The median over seeds; of words the worst."""
    values = _values(runs, key)
    return max(values, key=len) if isinstance(values[0], str) else median(values)


def show(whole: dict[str, Any]) -> None:
    """The table of a result, and each broken rule by its first findings."""
    console = Console(width=140)
    table = Table(title=whole["about"])
    for title, _, _ in COLUMNS:
        table.add_column(title, justify="right" if title != "policy" else "left")
    groups: dict[str, list[dict]] = {}
    for run in whole["runs"]:
        groups.setdefault(run["policy"], []).append(run)
    for runs in groups.values():
        table.add_row(*(form.format(_middle(runs, key)) for _, key, form in COLUMNS))
    console.print(table)
    for policy, runs in groups.items() if len(whole["runs"]) > len(groups) else ():
        ranges = "; ".join(
            f"{title} {form.format(min(_values(runs, key)))} to {form.format(max(_values(runs, key)))}"
            for title, key, form in COLUMNS
            if isinstance(runs[0][key], float)
        )
        console.print(f"{policy}, {len(runs)} seeds: {ranges}", highlight=False)
    for run in whole["runs"]:
        chance = (run["peak_by_chance"], run["herd_by_chance"], run["probes_each"], run["hand_offs_each"])
        console.print(
            "{}: by chance peak {:.1f}, herd {:.1f}; {:.2f} probes and {:.2f} hand-offs a work item".format(
                run["policy"], *chance
            ),
            highlight=False,
        )
        if run["client_late_p99_ms"] > 20:
            console.print(
                f"{run['policy']}: clients themselves were {run['client_late_p99_ms']:.0f} ms late (p99): "
                "the machine was too busy for these figures",
                highlight=False,
            )
        if run["judged"]:
            for rule, lines in run["broken"].items():
                said = f"{run['policy']}: {rule}: {len(lines)}, as {'; '.join(lines[:3])}"
                console.print(said, highlight=False)
