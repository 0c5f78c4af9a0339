"""What breaks when, and to whom: pure and seeded, so the same file and seed break the same things.

Troubles of an experiment become `Act`s in order of time. Each names its verb, the ones it goes to and the
figures that are in force from then on; an end is an act of its own that puts the usual figure back.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from nettledeal.fleet.experiment import KINDS, SECOND, Experiment, Trouble
from nettledeal.fleet.links import Condition
from nettledeal.model import Time

# What is the usual figure of each trouble that has one.
USUAL = {
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
class Act:
    at: Time
    verb: str
    who: tuple[int, ...]
    figure: float | bool = 0.0
    condition: Condition | None = None
    others: tuple[int, ...] = ()  # at the other end: backends of links, agents of talk
    label: str = ""  # in the time line of results


@dataclass(frozen=True, slots=True)
class Script:
    acts: list[Act]
    zones: dict[str, list[int]]  # of agents, of backends
    # Agents between which no link fault tells apart share a way to each backend; 0 are those without any.
    ways: list[int] = field(default_factory=list)


def spread(count: int, weights: Sequence[float]) -> list[int]:
    """Numbers of zones for so many, by weight, as even as whole numbers allow."""
    total, given, found = sum(weights), [0.0] * len(weights), []
    for n in range(count):
        # Whoever is furthest behind its part comes next.
        behind = [(weight / total) * (n + 1) - given[z] for z, weight in enumerate(weights)]
        zone = max(range(len(weights)), key=behind.__getitem__)
        given[zone] += 1
        found.append(zone)
    return found


def script(experiment: Experiment) -> Script:
    chance = Random(f"{experiment.seed} script")
    zones = {
        "agents": spread(experiment.agents.count, experiment.clients.zones),
        "backends": spread(experiment.backends.count, experiment.backends.zones),
    }
    acts: list[Act] = []
    touched: list[frozenset[int]] = []
    for trouble in experiment.fault:
        who = _chosen(trouble, zones[KINDS[trouble.kind][0]], chance)
        if trouble.kind == "link":
            touched.append(frozenset(who))
        acts += _acts(trouble, who, experiment, chance)
    ways = [0] * experiment.agents.count
    for n in range(experiment.agents.count):
        # One bit for each link fault that the agent is in.
        ways[n] = sum(1 << bit for bit, group in enumerate(touched) if n in group)
    acts.sort(key=lambda act: act.at)
    return Script(acts, zones, ways)


def _chosen(trouble: Trouble, zones: list[int], chance: Random) -> tuple[int, ...]:
    there = list(range(len(zones)))
    if trouble.zone is not None:
        return tuple(n for n in there if zones[n] == trouble.zone)
    count = len(there) if trouble.share is None else round(trouble.share * len(there))
    if trouble.count is not None:
        count = trouble.count
    return tuple(sorted(chance.sample(there, count)))


def _acts(trouble: Trouble, who: tuple[int, ...], experiment: Experiment, chance: Random) -> list[Act]:
    at, until = _tenths(trouble.at), trouble.until and _tenths(trouble.until)
    label = f"{trouble.kind} {len(who)}"
    match trouble.kind:
        case "pause":
            acts = [Act(at, "pause", who, label=label)]
            return acts + ([Act(until, "go on", who, label="go on")] if until else [])
        case "kill":
            acts = [Act(at, "kill", who, label=label)]
            return acts + ([Act(until, "start", who, label="start again")] if until else [])
        case "restart" | "replace":
            # In a row until the time is over, or all at once.
            step = (until - at) / max(1, len(who)) if until else 0
            return [
                Act(at + int(n * step), trouble.kind, (one,), label=label if not n else "")
                for n, one in enumerate(who)
            ]
        case "crash":
            acts = [Act(at, "crash", who, label=label)]
            return acts + ([Act(until, "return", who, label="cold again")] if until else [])
        case "touch":
            return [Act(at, "touch", who, label=label)]
        case "link" | "talk":
            if trouble.kind == "link":
                count = round(trouble.to * experiment.backends.count)
                others = tuple(sorted(chance.sample(range(experiment.backends.count), count)))
            else:
                others = tuple(n for n in range(experiment.agents.count) if n not in who)
            condition = Condition(
                cut=trouble.cut,
                silent=trouble.silent,
                delay=round(trouble.delay_ms * 10),
                jitter=round(trouble.jitter_ms * 10),
                loss=trouble.loss,
                repeats=trouble.repeats,
                reordering=trouble.reordering,
            )
            ways = ("there", "back") if trouble.way == "both" else (trouble.way,)
            return [
                Act(
                    when,
                    f"{trouble.kind} {way}",
                    who,
                    condition=what,
                    others=others,
                    label=name if not n else "",
                )
                for n, way in enumerate(ways)
                for when, what, name in ((at, condition, label), (until, Condition(), "links whole"))
                if when
            ]
    given = {
        "slow": trouble.times,
        "false_reports": trouble.times,
        "errors": trouble.chance,
        "lost": trouble.chance,
        "late_reports": trouble.by,
        "list_late": trouble.by,
    }
    acts = [Act(at, trouble.kind, who, given.get(trouble.kind, True), label=label)]
    return acts + ([Act(until, trouble.kind, who, USUAL[trouble.kind], label="over")] if until else [])


def _tenths(seconds: float) -> Time:
    return round(seconds * SECOND)
