"""Derives the schedule of faults from an experiment. Deterministic: it depends on the file and the seed only.

Each fault becomes one or more `FaultAction`s, sorted by time. An action has a verb, its targets and the value
that applies from then on; the end of a fault is an action that restores the normal value.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from nettledeal.fleet.experiment import FAULT_KINDS, TICKS_PER_SECOND, Experiment, Trouble
from nettledeal.fleet.links import LinkCondition
from nettledeal.model import Time

# The value that the end of a fault restores, by kind of fault.
NORMAL_VALUES = {
    "slow": 1.0,
    "errors": 0.0,
    "lost": 0.0,
    "late_reports": 0.0,
    "false_reports": 1.0,
    "hang": False,
    "list_late": 0.0,
    "list_deaf": False,
}


@dataclass(frozen=True, slots=True)
class FaultAction:
    at: Time
    verb: str
    targets: tuple[int, ...]
    value: float | bool = 0.0
    condition: LinkCondition | None = None
    peers: tuple[int, ...] = ()  # at the other end: backends for links, agents for membership traffic
    label: str = ""  # shown in the timeline of results


@dataclass(frozen=True, slots=True)
class FaultSchedule:
    actions: list[FaultAction]
    zones: dict[str, list[int]]  # zone indexes of "agents" and "backends"
    # By agent. Agents that are subject to the same link faults share a group; group 0 has none.
    link_groups: list[int] = field(default_factory=list)


def assign_zones(count: int, weights: Sequence[float]) -> list[int]:
    """Zone index of each of `count` members, in proportion to the weights."""
    total, assigned, result = sum(weights), [0.0] * len(weights), []
    for n in range(count):
        # The zone that is furthest below its share gets the next one.
        deficits = [(weight / total) * (n + 1) - assigned[zone] for zone, weight in enumerate(weights)]
        chosen = max(range(len(weights)), key=deficits.__getitem__)
        assigned[chosen] += 1
        result.append(chosen)
    return result


def build_schedule(experiment: Experiment) -> FaultSchedule:
    rng = Random(f"{experiment.seed} script")
    zones = {
        "agents": assign_zones(experiment.agents.count, experiment.clients.zones),
        "backends": assign_zones(experiment.backends.count, experiment.backends.zones),
    }
    actions: list[FaultAction] = []
    link_fault_agents: list[frozenset[int]] = []
    for fault in experiment.fault:
        targets = _choose_targets(fault, zones[FAULT_KINDS[fault.kind][0]], rng)
        if fault.kind == "link":
            link_fault_agents.append(frozenset(targets))
        actions += _actions_of(fault, targets, experiment, rng)
    link_groups = [0] * experiment.agents.count
    for n in range(experiment.agents.count):
        # One bit for each link fault that applies to the agent.
        link_groups[n] = sum(1 << bit for bit, group in enumerate(link_fault_agents) if n in group)
    actions.sort(key=lambda action: action.at)
    return FaultSchedule(actions, zones, link_groups)


def _choose_targets(fault: Trouble, zones: list[int], rng: Random) -> tuple[int, ...]:
    candidates = list(range(len(zones)))
    if fault.zone is not None:
        return tuple(index for index in candidates if zones[index] == fault.zone)
    count = len(candidates) if fault.share is None else round(fault.share * len(candidates))
    if fault.count is not None:
        count = fault.count
    return tuple(sorted(rng.sample(candidates, count)))


def _actions_of(
    fault: Trouble, targets: tuple[int, ...], experiment: Experiment, rng: Random
) -> list[FaultAction]:
    at, until = _ticks(fault.at), fault.until and _ticks(fault.until)
    label = f"{fault.kind} {len(targets)}"
    match fault.kind:
        case "pause":
            actions = [FaultAction(at, "pause", targets, label=label)]
            return actions + ([FaultAction(until, "go on", targets, label="go on")] if until else [])
        case "kill":
            actions = [FaultAction(at, "kill", targets, label=label)]
            return actions + ([FaultAction(until, "start", targets, label="start again")] if until else [])
        case "restart" | "replace":
            # Spread evenly until the end of the fault, or all at once.
            interval = (until - at) / max(1, len(targets)) if until else 0
            return [
                FaultAction(at + int(n * interval), fault.kind, (target,), label=label if not n else "")
                for n, target in enumerate(targets)
            ]
        case "crash":
            actions = [FaultAction(at, "crash", targets, label=label)]
            return actions + ([FaultAction(until, "return", targets, label="cold again")] if until else [])
        case "touch":
            return [FaultAction(at, "touch", targets, label=label)]
        case "link" | "talk":
            if fault.kind == "link":
                count = round(fault.to * experiment.backends.count)
                peers = tuple(sorted(rng.sample(range(experiment.backends.count), count)))
            else:
                peers = tuple(n for n in range(experiment.agents.count) if n not in targets)
            condition = LinkCondition(
                cut=fault.cut,
                silent=fault.silent,
                delay=round(fault.delay_ms * 10),
                jitter=round(fault.jitter_ms * 10),
                loss=fault.loss,
                repeats=fault.repeats,
                reordering=fault.reordering,
            )
            directions = ("there", "back") if fault.way == "both" else (fault.way,)
            return [
                FaultAction(
                    time,
                    f"{fault.kind} {direction}",
                    targets,
                    condition=state,
                    peers=peers,
                    label=text if not n else "",
                )
                for n, direction in enumerate(directions)
                for time, state, text in ((at, condition, label), (until, LinkCondition(), "links whole"))
                if time
            ]
    values = {
        "slow": fault.times,
        "false_reports": fault.times,
        "errors": fault.chance,
        "lost": fault.chance,
        "late_reports": fault.by,
        "list_late": fault.by,
    }
    actions = [FaultAction(at, fault.kind, targets, values.get(fault.kind, True), label=label)]
    return actions + (
        [FaultAction(until, fault.kind, targets, NORMAL_VALUES[fault.kind], label="over")] if until else []
    )


def _ticks(seconds: float) -> Time:
    return round(seconds * TICKS_PER_SECOND)
