"""What one process of an agent leaves to the next: figures learned, each with its age.

Decides nothing: it copies between the balancer's notes and plain values. A backend's figures are those of
one id and one start; a process that finds another start there leaves them.
"""

from __future__ import annotations

from typing import Any

from nettledeal.decide import Balancer, Trend
from nettledeal.model import Time

# Older than this a figure of one backend says nothing any more.
_OLD = 80_000


def bequeath(balancer: Balancer, now: Time) -> dict[str, Any]:
    memory, admission = balancer.memory, balancer.admission
    return {
        "at": now,
        "categories": {
            category.name: (category.usual, category.base, category.seen)
            for category in balancer.facts.categories
        },
        "limit": (admission.limit, admission.safe, admission.slowdown, admission.was_cut),
        "threshold": balancer.zoning.threshold,
        "kinds": {str(kind): (trend.value, trend.at, trend.seen) for kind, trend in memory.kinds.items()},
        "belief": (memory.squares, memory.products, memory.own_squares, memory.own_products, memory.counted),
        "backends": {
            str(b.id): (b.listing.started, b.pace, b.paced_at, b.distrust, b.distrust_at)
            for b in balancer.facts.backends.values()
            if now - max(b.paced_at, b.distrust_at) < _OLD
        },
    }


def inherit(balancer: Balancer, now: Time, left: dict[str, Any]) -> bool:
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
    facts, memory, admission = balancer.facts, balancer.memory, balancer.admission
    changes = []

    def to(thing: Any, *numbers: float, **names: type) -> None:
        values = {name: kind(number) for (name, kind), number in zip(names.items(), numbers, strict=True)}
        if any(value != value or abs(value) > 1e15 for value in values.values()):
            raise ValueError("no sensible number")
        changes.append(lambda: [setattr(thing, name, value) for name, value in values.items()])

    for category in facts.categories:
        figures = left["categories"].get(category.name)
        # What has been learned here counts more.
        if figures is not None and not category.seen:
            to(category, *figures[:3], usual=int, base=float, seen=int)
    # Written down while both run, so it is a part already.
    to(admission, *left["limit"], limit=float, safe=float, slowdown=float, was_cut=bool)
    to(balancer.zoning, left["threshold"], threshold=float)
    to(memory, *left["belief"], squares=float, products=float, own_squares=float, own_products=float,
       counted=float)
    for kind, (value, at, seen) in left["kinds"].items():
        trend = Trend(float(value), min(now, int(at)), float(seen))
        changes.append(lambda kind=int(kind), trend=trend: memory.kinds.setdefault(kind, trend))
    for id, (started, *figures) in left["backends"].items():
        b = facts.backends.get(id)
        if b is not None and b.listing.started == started and not b.cold_since and not b.pace:
            pace, paced_at, distrust, distrust_at = figures
            to(b, pace, min(now, paced_at), distrust, min(now, distrust_at),
               pace=float, paced_at=int, distrust=float, distrust_at=int)
    return changes
