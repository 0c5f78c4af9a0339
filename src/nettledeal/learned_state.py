"""What one process of an agent leaves to the next, and other settings leave of it: figures with their age.

Decides nothing: it copies between the balancer's notes and plain values. A backend's figures are those of
one id and one start; a process that finds another start there leaves them. What a figure means hangs on some
settings, too: where one of these is another, or not known, the figure begins afresh.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from nettledeal.model import Time
from nettledeal.policy.admission import Admission
from nettledeal.policy.balancer import Balancer
from nettledeal.policy.locality import Locality
from nettledeal.policy.memory import Memory
from nettledeal.ring import Trend

# Older than this a figure of one backend says nothing any more.
_OLD = 80_000
# By part: the settings that it hangs on. What is learned of a category goes by its name, and what is
# distrusted by its id and start.
_HANGS = {
    "limit": ("balancers", "zone", "zones", "tariffs.connection"),
    "threshold": ("zone", "zones", "tariffs.cross_zone"),
    "belief": ("feedback.fields", "feedback.via"),
    "paces": ("kinds",),
}
# The figures of a part, in the order in which a record tells them.
_LIMIT = {"limit": float, "safe": float, "slowdown": float, "was_cut": bool}
_THRESHOLD = {"threshold": float}
_BELIEF = {"squares": float, "products": float, "own_squares": float, "own_products": float, "counted": float}


def meaning_of(settings: Mapping[str, Any]) -> dict[str, list[str]]:
    return {part: [str(settings.get(name, "")) for name in names] for part, names in _HANGS.items()}


def _figures(thing: Any, names: Mapping[str, type]) -> tuple:
    return tuple(getattr(thing, name) for name in names)


def _begin(thing: Any, fresh: Any, names: Mapping[str, type]) -> None:
    for name in names:
        setattr(thing, name, getattr(fresh, name))


def reset_changed(balancer: Balancer, before: Mapping[str, list[str]], now: Time) -> list[str]:
    """Once other settings are in force: begins afresh what meant something else under the old ones."""
    state, memory, admission = balancer.state, balancer.memory, balancer.admission
    changed = [part for part, values in meaning_of(state.settings).items() if before.get(part) != values]
    if "limit" in changed:
        _begin(admission, Admission(state, memory), _LIMIT)
        admission.cut_at = now
        # What was out on average is of the old load: against the new share it would defer for a second.
        state.mean_open = 0.0
    if "threshold" in changed:
        _begin(balancer.locality, Locality(state, memory), _THRESHOLD)
    if "belief" in changed:
        _begin(memory, Memory(state, balancer.health), _BELIEF)
        memory.zones.clear()
        for b in state.backends.values():
            b.read_at = b.pinned = None
    if "paces" in changed:
        memory.kinds.clear()
        for b in state.backends.values():
            b.pace = 0.0
    return changed


def set_fleet_size(balancer: Balancer, now: Time, agents: int, number: int, dealt: Sequence[str]) -> None:
    """Another number of agents, seen and not told: each has its part of what all may do, so what it has
    learned of that goes on in proportion, where other settings would have it begin afresh."""
    state, admission = balancer.state, balancer.admission
    part = state.fleet / agents
    balancer.retune(now, {**state.settings, "balancers": agents, "me": number, "dealt": ",".join(dealt)})
    admission.limit, admission.safe = part * admission.limit, part * admission.safe


def export_learned(balancer: Balancer, now: Time) -> dict[str, Any]:
    memory, admission = balancer.memory, balancer.admission
    return {
        "at": now,
        "shape": meaning_of(balancer.state.settings),
        "categories": {
            category.name: (category.usual, category.base, category.seen)
            for category in balancer.state.categories
        },
        "limit": _figures(admission, _LIMIT),
        "threshold": balancer.locality.threshold,
        "kinds": {str(kind): (trend.value, trend.at, trend.seen) for kind, trend in memory.kinds.items()},
        "belief": _figures(memory, _BELIEF),
        "backends": {
            str(b.id): (b.listing.started, b.pace, b.paced_at, b.distrust, b.distrust_at)
            for b in balancer.state.backends.values()
            if now - max(b.paced_at, b.distrust_at) < _OLD
        },
    }


def import_learned(balancer: Balancer, now: Time, left: dict[str, Any]) -> bool:
    """Whether it could be read; what can't changes nothing."""
    try:
        taken = _taken(balancer, now, left)
    except (KeyError, TypeError, ValueError, AttributeError):
        return False
    for change in taken:
        change()
    return True


def _taken(balancer: Balancer, now: Time, left: dict[str, Any]) -> list:
    """The changes, all read before the first is made."""
    state, memory, admission = balancer.state, balancer.memory, balancer.admission
    changes = []
    # A record of a former version tells no shape, and then only names and ids are sure to mean the same.
    told = left.get("shape", {})
    same = {part for part, values in meaning_of(state.settings).items() if list(told.get(part, ())) == values}

    def to(thing: Any, *numbers: float, **names: type) -> None:
        values = {name: kind(number) for (name, kind), number in zip(names.items(), numbers, strict=True)}
        if any(value != value or abs(value) > 1e15 for value in values.values()):
            raise ValueError("no sensible number")
        changes.append(lambda: [setattr(thing, name, value) for name, value in values.items()])

    for category in state.categories:
        figures = left["categories"].get(category.name)
        # What has been learned here counts more.
        if figures is not None and not category.seen:
            to(category, *figures[:3], usual=int, base=float, seen=int)
    if "limit" in same:
        # Written down while both run, so it is a part already.
        to(admission, *left["limit"], **_LIMIT)
    if "threshold" in same:
        to(balancer.locality, left["threshold"], **_THRESHOLD)
    if "belief" in same:
        to(memory, *left["belief"], **_BELIEF)
    for kind, (value, at, seen) in left["kinds"].items() if "paces" in same else ():
        trend = Trend(float(value), min(now, int(at)), float(seen))
        changes.append(lambda kind=int(kind), trend=trend: memory.kinds.setdefault(kind, trend))
    for id, (started, pace, paced_at, distrust, distrust_at) in left["backends"].items():
        b = state.backends.get(id)
        if b is not None and b.listing.started == started and not b.cold_since and not b.pace:
            to(b, distrust, min(now, distrust_at), distrust=float, distrust_at=int)
            if "paces" in same:
                to(b, pace, min(now, paced_at), pace=float, paced_at=int)
    return changes
