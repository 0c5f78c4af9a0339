"""A balancer with plain settings, and short ways to drive it."""

from nettledeal.decide import Balancer
from nettledeal.model import Answer, HandOff, Listing, Outcome, Verdict

SECOND = 10_000
DEFERRED, WRITTEN_OFF = Verdict.DEFERRED, Verdict.WRITTEN_OFF


def settings(**changes):
    base = {
        "balancers": 2,
        "zone": 0,
        "resolution": 10,
        "discovery": "pushed",
        "allowed.most_hand_offs": 4,
        "allowed.may_duplicate": False,
        "allowed.cancelling": True,
        "allowed.retry_after": True,
        "allowed.max_retry_after": 2 * SECOND,
        "rules.overload_factor": 3.0,
        "rules.tip_after": 3 * SECOND,
        "rules.warm_within": 8 * SECOND,
        "rules.cold_from": 0.3,
        "rules.ask_within": 10 * SECOND,
        "categories.count": 4,
    }
    effects = [("rerunnable", "all"), ("exclusive", "all"), ("ticketed", "zone"), ("ticketed", "all")]
    for n, (effect, group) in enumerate(effects):
        base |= {
            f"categories.{n}.effect": effect,
            f"categories.{n}.group": group,
            f"categories.{n}.window": 5000,
            f"categories.{n}.due_time": 10_000,
            f"categories.{n}.expiry": 20_000,
            f"categories.{n}.payoff": 4.0,
        }
    return base | {name.replace("__", "."): value for name, value in changes.items()}


def fleet(zones=(0, 0, 0, 1, 1), **fields):
    return [Listing(f"b{n}", zone=zone, **fields) for n, zone in enumerate(zones)]


class Drive:
    def __init__(self, listings=None, seed=1, now=100_000, **changes):
        self.now = now
        self.balancer = Balancer(seed, settings(**changes), now)
        self.balancer.start(now)
        self.ids = 0
        if listings is None:
            listings = fleet()
        self.balancer.roster(now, listings, whole=True, cached=False)

    def take(self, category=0, expiry=20_000, **fields):
        self.ids += 1
        return self.balancer.take(self.now, self.ids, category, self.now + expiry, **fields).acts

    def back(self, ho, outcome=Outcome.FINISHED, after=800, closed=None, report=None):
        self.now += after
        closed = outcome is Outcome.FINISHED if closed is None else closed
        return self.balancer.returned(
            self.now, ho.work_item, ho.number, outcome, after, closed=closed, report=report or {}
        ).acts


def hand_offs(acts):
    return [act for act in acts if isinstance(act, HandOff)]


def answers(acts):
    return [act for act in acts if isinstance(act, Answer)]
