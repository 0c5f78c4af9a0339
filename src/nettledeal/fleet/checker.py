"""Counts broken rules from what clients, stand-ins and the list service wrote down. It knows no balancer.

Each finding is one line with the work item or backend that it is about. What a process wrote down a moment
late is no break: every limit of time is `SLACK` longer, and so is the time in which an agent was stopped by
the rig. An answer is late by what is left of its delay without the agent's own wait for a processor.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import chain

from nettledeal.fleet.experiment import Experiment
from nettledeal.fleet.processor_waits import ProcessorWaits
from nettledeal.model import Time

SLACK = 500  # tenths of a millisecond, as the platform's rules have it
RULES = ("one answer", "no effect twice", "drains kept", "no cold backend pushed over")
# What a stand-in writes of a work item that has reached it whole, and of its end there.
CAME, ENDS = "came", ("done", "left", "gone")


@dataclass(slots=True)
class Stay:
    """A work item at one stand-in, from its last byte to its answer or its agent's end of the connection."""

    backend: int
    name: str
    came: Time
    ended: Time | None = None
    began: bool = False


@dataclass(slots=True)
class Trail:
    """All that stand-ins saw of one work item."""

    stays: list[Stay] = field(default_factory=list)
    turned_away: list[tuple[Time, str]] = field(default_factory=list)

    def arrivals(self) -> list[tuple[Time, str]]:
        return [(stay.came, stay.name) for stay in self.stays] + self.turned_away


def trails(records: Sequence[Sequence]) -> dict[str, Trail]:
    found: dict[str, Trail] = defaultdict(Trail)
    stay_of_none = Stay(-1, "", 0)  # for what is told of a stay that has ended
    # By backend's name, by work item: more than one where a repeat came before the end of the first was seen.
    held: dict[str, dict[str, list[Stay]]] = defaultdict(lambda: defaultdict(list))
    for at, backend, name, what, id in records:
        if what == CAME:
            stay = Stay(backend, name, at)
            found[id].stays.append(stay)
            held[name][id].append(stay)
        elif what == "full":
            found[id].turned_away.append((at, name))
        elif what == "began" and id in held[name]:
            next((stay for stay in held[name][id] if not stay.began), stay_of_none).began = True
        elif what in ENDS and id in held[name]:
            stay = next((stay for stay in held[name][id] if stay.ended is None), stay_of_none)
            stay.ended = at
        elif what == "died":
            for stay in chain.from_iterable(held.pop(name, {}).values()):
                stay.ended = stay.ended or at
    return found


def check(
    experiment: Experiment,
    records: dict[str, list],
    harm: Sequence[Sequence],
    grace: Time,
    slack: Time = SLACK,
    waits: ProcessorWaits | None = None,
) -> dict[str, list[str]]:
    """Findings by rule; `grace` on drains in tenths of a millisecond, `harm` as (agent, from, until)."""
    waits = waits or ProcessorWaits()
    found: dict[str, list[str]] = {rule: [] for rule in RULES}
    seen = trails(records["backends"])
    told = _told(records["roster"])
    harmed = defaultdict(list)
    for agent, since, until in harm:
        harmed[agent].append((since, until))
    for id, agent, number, _, sent, answered, status, _ in records["clients"]:
        category, trail = experiment.category[number], seen.get(id, Trail())
        expiry = sent + round(category.expiry_ms * 10)
        hurt = any(
            since <= expiry + slack and (until is None or until >= sent) for since, until in harmed[agent]
        )
        if not hurt:
            waited = waits.between(agent, expiry - slack, answered) if answered > expiry + slack else 0
            found[RULES[0]] += _answers(id, status, answered, expiry, trail, slack, waited)
        # What an agent did before it was killed its client could not know: only what ran counts then.
        found[RULES[1]] += _effects(id, category.effect, status, trail, slack, hurt)
        for at, name in trail.arrivals():
            since = _drained(told.get((agent, name), ()), at)
            if since is not None and at > since + grace + slack and not hurt:
                after = f"{(at - since) / 10:.0f} ms after agent {agent} was told"
                found[RULES[2]].append(f"{id} came to {name} {after}")
    found[RULES[3]] = [f"{name} fell over" for _, _, name, what, _ in records["backends"] if what == "fell"]
    return found


def _answers(
    id: str, status: int, answered: Time, expiry: Time, trail: Trail, slack: Time, waited: Time
) -> list[str]:
    if status < 0:
        return []  # never taken
    if status == 0:
        return [f"{id} got no answer"]
    if answered > expiry + slack + waited:
        late = f"{(answered - expiry) / 10:.0f} ms after its expiry"
        return [f"{id} was answered {late}, its agent waited {waited / 10:.0f} ms for a processor"]
    late = [name for at, name in trail.arrivals() if at > answered + slack]
    return [f"{id} was sent to {late[0]} after its answer"] if late else []


def _effects(id: str, effect: str, status: int, trail: Trail, slack: Time, hurt: bool) -> list[str]:
    stays = trail.stays
    if effect == "unsafe":
        if sum(stay.began for stay in stays) > 1:
            return [f"{id} ran twice, at {stays[0].name} and {stays[1].name}"]
        if len(stays) > 1 and not hurt:
            return [f"{id} was handed to {stays[1].name} though it may have run at {stays[0].name}"]
        if stays and status in (429, 503):
            return [f"{id} was deferred though it may have run at {stays[0].name}"]
        return []
    for n, stay in enumerate(stays):
        for later in stays[n + 1 :]:
            if stay.ended is None or stay.ended > later.came + slack:
                return [f"{id} came to {later.name} while {stay.name} had it"]
    return []


def _told(records: Sequence[Sequence]) -> dict[tuple[int, str], list[tuple[Time, bool]]]:
    """By agent and backend: when it was told that it is in use, or no more."""
    found: dict[tuple[int, str], list[tuple[Time, bool]]] = defaultdict(list)
    for at, agent, _, entries in records:
        for name, life in entries:
            found[agent, name].append((at, life == "ready"))
    return found


def _drained(states: Sequence[tuple[Time, bool]], at: Time) -> Time | None:
    """Since when, as of `at`, the agent knew that nothing new was wanted there."""
    since = None
    for when, wanted in states:
        if when > at:
            break
        since = None if wanted else (when if since is None else since)
    return since
