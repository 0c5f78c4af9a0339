"""Runs an experiment for each policy in turn, with the same traffic and faults, and reports the results."""

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
from nettledeal.fleet import load_metrics, results, rule_checker
from nettledeal.fleet.child_processes import SOURCE, RunAborted
from nettledeal.fleet.configurations import DRAIN_GRACE_MS
from nettledeal.fleet.experiment import TICKS_PER_SECOND, Experiment, ExperimentPlan
from nettledeal.fleet.rig import Rig
from nettledeal.fleet.workload import generate_requests

# Window for the longest time that an agent waited for a processor.
PROCESSOR_WAIT_WINDOW = TICKS_PER_SECOND // 10

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


def run_experiment(plan: ExperimentPlan, out: Path | None, as_json: bool, count: int = 1) -> int:
    """Runs `count` consecutive seeds. Exit status 0, or 1 if a rule was broken or a run was aborted."""
    # Signals only set an event that is polled between steps: an exception raised at an arbitrary point could
    # leave a process that has just been started without an owner.
    stopped = Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, stopped.set)
    console = Console(stderr=True)
    runs: list[dict[str, Any]] = []
    files: dict[str, bytes] = {}
    first = plan.experiment.seed
    seeded_experiments = [msgspec.structs.replace(plan.experiment, seed=first + n) for n in range(count)]
    names = dict.fromkeys((*plan.experiment.policies, *plan.trees))
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
        for experiment, policy in ((seeded, name) for seeded in seeded_experiments for name in names):
            tree, traffic = plan.trees.get(policy), generate_requests(experiment)
            baseline = policy if policy != "agents" and tree is None else None

            def progress(what: str, part: float, policy: str = policy) -> None:
                if stopped.is_set():
                    raise RunAborted("interrupted")
                bar.update(task, policy=policy, description=what, completed=part)

            try:
                with tempfile.TemporaryDirectory(prefix="nettledeal-fleet-") as folder:
                    rig = Rig(experiment, baseline, tree or SOURCE, Path(folder), traffic, progress)
                    try:
                        records = rig.run()
                    finally:
                        logs = _read_logs(Path(folder)) if out is not None else {}
                summary = summarize_run(experiment, rig, records)
            except RunAborted as error:
                print(f"nettledeal: {policy}: {error}; all that was started has ended", file=sys.stderr)
                return 1
            runs.append({"policy": policy, "seed": experiment.seed} | summary)
            file_prefix = policy if experiment.seed == first else f"{policy}.{experiment.seed}"
            files |= {f"{file_prefix}.records": msgspec.msgpack.encode(records)}
            files |= {f"{file_prefix}.{name}": raw for name, raw in logs.items()}
    encoded_experiment = msgspec.to_builtins(plan.experiment)
    result = {"about": plan.experiment.about, "experiment": encoded_experiment, "runs": runs}
    if out is not None:
        try:
            results.write(out, result, files)
        except OSError as error:
            raise ConfigError(f"{out}: {error.strerror}") from None
    if as_json:
        print(msgspec.json.encode(result).decode())
    else:
        print_summary(result)
    return 1 if any(run["broken"] for run in runs if run["judged"]) else 0


def _read_logs(folder: Path) -> dict[str, bytes]:
    return {file.name: file.read_bytes() for file in sorted(folder.glob("*.log")) if file.stat().st_size}


def summarize_run(experiment: Experiment, rig: Rig, records: dict[str, list]) -> dict[str, Any]:
    """All metrics of one run, as they stand in result.json."""
    start = rig.start_at
    since, until = (
        start + round(experiment.settle * TICKS_PER_SECOND),
        start + round(experiment.seconds * TICKS_PER_SECOND),
    )
    broken = rule_checker.check_rules(
        experiment, records, rig.agents.disruptions, DRAIN_GRACE_MS * 10, processor_waits=rig.processor_waits
    )
    trails = rule_checker.request_trails(records["backends"])
    all_holds = load_metrics.hold_intervals(trails, since, until)
    # Backends that were replaced, crashed or cold are excluded: the balance among the others shows what the
    # balancer does.
    excluded = {
        backend for _, backend, _, event, _ in records["backends"] if event in ("died", "fell")
    } | rig.configurations.cold
    capacity = experiment.backends.cores
    eligible = [
        load_metrics.MeasuredBackend(backend, rig.configurations.speed(backend) * capacity)
        for backend in range(experiment.backends.count)
        if backend not in excluded
    ]
    eligible_holds = [interval for interval in all_holds if interval[2] not in excluded]
    spread, random_spread = load_metrics.spread(eligible_holds, eligible)
    peak_held, mean_held = load_metrics.peak_held(all_holds)
    random_peak, random_herd = load_metrics.random_baseline(eligible_holds, eligible, experiment.seed)
    idle_after = round(experiment.idle_after * TICKS_PER_SECOND) or load_metrics.idle_after(
        eligible_holds, eligible, until - since
    )
    idle = load_metrics.idle(eligible_holds, eligible, since, until, idle_after)
    service = load_metrics.service_metrics(experiment, records["clients"], since, until)
    first_request_waits = load_metrics.first_request_waits(rig.faults.returned, trails)
    probes = sum(1 for at, _, _, event, _ in records["backends"] if event == "probe" and since <= at < until)
    return service | {
        "lost": service["unanswered"] + service["failed"],
        "spread": spread,
        "spread_by_chance": random_spread,
        "spread_to_chance": spread / random_spread if random_spread else 0.0,
        "peak_held": peak_held,
        "mean_held": mean_held,
        "peak_by_chance": random_peak,
        "herd": load_metrics.herd(eligible_holds),
        "herd_by_chance": random_herd,
        "idle": len(idle),
        "idle_after_ms": idle_after / 10,
        "first_work_ms": {name: duration and duration / 10 for name, duration in first_request_waits.items()},
        "probes_each": probes / max(1, service["asked"]),
        "hand_offs_each": len(all_holds) / max(1, service["asked"]),
        "judged": rig.policy is None,
        "broken": {rule: lines for rule, lines in broken.items() if lines},
        "rules": _rules_summary(rig, broken),
        "marks": [((at - start) / 10, label) for at, label in rig.faults.marks],
        "agent_waited_most_ms": rig.processor_waits.longest(
            range(experiment.agents.count), PROCESSOR_WAIT_WINDOW
        )
        / 10,
        "histogram": _encode_histogram(experiment, records["clients"], since, until),
    }


def _rules_summary(rig: Rig, broken: dict[str, list[str]]) -> str:
    count = sum(map(len, broken.values()))
    if rig.policy is not None:
        return "-"
    return "kept" if not count else f"{count} broken"


def _encode_histogram(experiment: Experiment, clients: list, since: int, until: int) -> str:
    """Response times of successful requests in tenths of a millisecond, in the encoding of HDR histograms."""
    longest = max(round(c.expiry_ms * 10) for c in experiment.category) * 2
    histogram = HdrHistogram(1, max(2, longest), 3)
    for _, _, _, due, _, answered, status, _ in clients:
        if status == 200 and since <= due < until:
            histogram.record_value(max(1, answered - due))
    return histogram.encode().decode()


def _values(runs: list[dict], key: str) -> list:
    return [run[key] for run in runs]


def _median_or_worst(runs: list[dict], key: str) -> Any:
    """The median over seeds; for texts the longest, which is the worst."""
    values = _values(runs, key)
    return max(values, key=len) if isinstance(values[0], str) else median(values)


def print_summary(result: dict[str, Any]) -> None:
    """Prints the table of a result, and the first violations of each broken rule."""
    console = Console(width=140)
    table = Table(title=result["about"])
    for title, _, _ in COLUMNS:
        table.add_column(title, justify="right" if title != "policy" else "left")
    groups: dict[str, list[dict]] = {}
    for run in result["runs"]:
        groups.setdefault(run["policy"], []).append(run)
    for runs in groups.values():
        table.add_row(*(form.format(_median_or_worst(runs, key)) for _, key, form in COLUMNS))
    console.print(table)
    for policy, runs in groups.items() if len(result["runs"]) > len(groups) else ():
        ranges = "; ".join(
            f"{title} {form.format(min(_values(runs, key)))} to {form.format(max(_values(runs, key)))}"
            for title, key, form in COLUMNS
            if isinstance(runs[0][key], float)
        )
        console.print(f"{policy}, {len(runs)} seeds: {ranges}", highlight=False)
    for run in result["runs"]:
        figures = (run["peak_by_chance"], run["herd_by_chance"], run["probes_each"], run["hand_offs_each"])
        console.print(
            "{}: random assignment: peak {:.1f}, herd {:.1f}; {:.2f} probes, {:.2f} attempts/request".format(
                run["policy"], *figures
            ),
            highlight=False,
        )
        if run["client_late_p99_ms"] > 20:
            console.print(
                f"{run['policy']}: clients sent {run['client_late_p99_ms']:.0f} ms late (p99): "
                "the machine was too busy for these results to be valid",
                highlight=False,
            )
        if run["judged"]:
            for rule, lines in run["broken"].items():
                line = f"{run['policy']}: {rule}: {len(lines)} violations, such as {'; '.join(lines[:3])}"
                console.print(line, highlight=False)
