"""Learned state that one process of an agent passes to the next, or keeps when its settings change.

Copies between the balancer's records and plain values, and decides nothing. Values of a backend belong to one
id and start time, and are ignored if it has restarted since. The meaning of a value also depends on some
settings: where one of these differs or is not known, the value is reset.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from nettledeal.model import Time
from nettledeal.policy.admission import Admission
from nettledeal.policy.balancer import Balancer
from nettledeal.policy.load_estimates import LoadEstimates
from nettledeal.policy.locality import Locality
from nettledeal.time_windows import Trend

# Values of a backend older than this are not exported.
_MAX_AGE_TENTHS = 80_000
# The settings that each part of the learned state depends on. Besides these, what is learned of a category
# depends on its name, and distrust on the id and start time of the backend.
_DEPENDS_ON = {
    "limit": ("balancers", "zone", "zones", "tariffs.connection"),
    "threshold": ("zone", "zones", "tariffs.cross_zone"),
    "belief": ("feedback.fields", "feedback.via"),
    "paces": ("kinds",),
}
# The attributes of each part, in the order of their values in a stored record.
_LIMIT = {"limit": float, "knee": float, "slowdown": float, "was_cut": bool}
_THRESHOLD = {"threshold": float}
_BELIEF = {
    "squares": float,
    "products": float,
    "own_squares": float,
    "own_products": float,
    "counts_own": float,
}


def dependencies(settings: Mapping[str, Any]) -> dict[str, list[str]]:
    return {part: [str(settings.get(name, "")) for name in names] for part, names in _DEPENDS_ON.items()}


def _values(thing: Any, names: Mapping[str, type]) -> tuple:
    return tuple(getattr(thing, name) for name in names)


def _reset(thing: Any, fresh: Any, names: Mapping[str, type]) -> None:
    for name in names:
        setattr(thing, name, getattr(fresh, name))


def reset_changed(balancer: Balancer, before: Mapping[str, list[str]], now: Time) -> list[str]:
    """Called after a change of settings: resets the parts that depend on a changed one, and returns them."""
    state, loads, admission = balancer.state, balancer.loads, balancer.admission
    changed = [part for part, values in dependencies(state.settings).items() if before.get(part) != values]
    if "limit" in changed:
        _reset(admission, Admission(state, loads), _LIMIT)
        admission.last_cut_at = now
        # The mean belongs to the old load: against the new limit it would defer work for a second.
        state.mean_open = 0.0
    if "threshold" in changed:
        _reset(balancer.locality, Locality(state, loads), _THRESHOLD)
    if "belief" in changed:
        _reset(loads, LoadEstimates(state, balancer.health), _BELIEF)
        loads.queues.clear()
        for b in state.backends.values():
            b.read_at = b.pinned_queue = None
    if "paces" in changed:
        loads.type_slowness.clear()
        for b in state.backends.values():
            b.log_slowness = 0.0
    return changed


def set_fleet_size(balancer: Balancer, now: Time, agents: int, index: int, assigned: Sequence[str]) -> None:
    """The number of agents changed by membership, not by settings: learned limits are scaled to the new share
    instead of being reset."""
    state, admission = balancer.state, balancer.admission
    scale = state.fleet_size / agents
    balancer.apply_settings(
        now, {**state.settings, "balancers": agents, "me": index, "dealt": ",".join(assigned)}
    )
    admission.limit, admission.knee = scale * admission.limit, scale * admission.knee


def export_learned(balancer: Balancer, now: Time) -> dict[str, Any]:
    loads, admission = balancer.loads, balancer.admission
    return {
        "at": now,
        "shape": dependencies(balancer.state.settings),
        "categories": {
            category.name: (category.usual_wait, category.base_time, category.samples)
            for category in balancer.state.categories
        },
        "limit": _values(admission, _LIMIT),
        "threshold": balancer.locality.threshold,
        "kinds": {
            str(kind): (trend.value, trend.learned_at, trend.samples)
            for kind, trend in loads.type_slowness.items()
        },
        "belief": _values(loads, _BELIEF),
        "backends": {
            str(b.id): (b.listing.started_at, b.log_slowness, b.slowness_at, b.distrust, b.distrust_at)
            for b in balancer.state.backends.values()
            if now - max(b.slowness_at, b.distrust_at) < _MAX_AGE_TENTHS
        },
    }


def import_learned(balancer: Balancer, now: Time, record: dict[str, Any]) -> bool:
    """Returns whether the record was valid; an invalid one changes nothing."""
    try:
        changes = _changes(balancer, now, record)
    except (KeyError, TypeError, ValueError, AttributeError):
        return False
    for change in changes:
        change()
    return True


def _changes(balancer: Balancer, now: Time, record: dict[str, Any]) -> list:
    """The changes to make; the whole record is read before the first is made."""
    state, loads, admission = balancer.state, balancer.loads, balancer.admission
    changes = []
    # Records of older versions have no "shape"; then only names and ids are sure to mean the same.
    shape = record.get("shape", {})
    same = {
        part for part, values in dependencies(state.settings).items() if list(shape.get(part, ())) == values
    }

    def restore(thing: Any, *numbers: float, **names: type) -> None:
        values = {name: kind(number) for (name, kind), number in zip(names.items(), numbers, strict=True)}
        if any(value != value or abs(value) > 1e15 for value in values.values()):
            raise ValueError("not a finite number within range")
        changes.append(lambda: [setattr(thing, name, value) for name, value in values.items()])

    for category in state.categories:
        learned = record["categories"].get(category.name)
        # What this process has learned itself takes precedence.
        if learned is not None and not category.samples:
            restore(category, *learned[:3], usual_wait=int, base_time=float, samples=int)
    if "limit" in same:
        # Written while both processes run, so the limit is already that of one process.
        restore(admission, *record["limit"], **_LIMIT)
    if "threshold" in same:
        restore(balancer.locality, record["threshold"], **_THRESHOLD)
    if "belief" in same:
        restore(loads, *record["belief"], **_BELIEF)
    for kind, (value, at, samples) in record["kinds"].items() if "paces" in same else ():
        trend = Trend(float(value), min(now, int(at)), float(samples))
        changes.append(lambda kind=int(kind), trend=trend: loads.type_slowness.setdefault(kind, trend))
    for id, (started_at, log_slowness, slowness_at, distrust, distrust_at) in record["backends"].items():
        b = state.backends.get(id)
        if (
            b is not None
            and b.listing.started_at == started_at
            and not b.assumed_start
            and not b.log_slowness
        ):
            restore(b, distrust, min(now, distrust_at), distrust=float, distrust_at=int)
            if "paces" in same:
                restore(b, log_slowness, min(now, slowness_at), log_slowness=float, slowness_at=int)
    return changes
