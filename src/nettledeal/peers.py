"""Connects the membership of an agent to its router: how other agents' state affects this one.

How many agents there are and which one this is come from `membership/stable_view.py`, the agent's subset of
the backends from `membership/subsetting.py`, and cordons from the newest operator order received. An agent
without the setting `membership` never loads this module.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from functools import lru_cache
from random import Random
from typing import Any

import gevent
import structlog

from nettledeal.learned_state import set_fleet_size
from nettledeal.membership.actions import Action, MemberChanged, NameConflict, OrderReceived, Timing
from nettledeal.membership.host import Host, state_name
from nettledeal.membership.member import Member
from nettledeal.membership.stable_view import StableView, count_left_and_dead
from nettledeal.membership.subsetting import assign_subsets
from nettledeal.membership_settings import MembershipSettings
from nettledeal.net.address import format_address
from nettledeal.net.clock import SECOND, Clock
from nettledeal.net.counters import Counters
from nettledeal.net.routing.router import Router
from nettledeal.policy.shared_state import SUBSET

log = structlog.get_logger()

# Interval at which the current view is checked for having been stable long enough.
VIEW_CHECK_S = 0.5


@lru_cache(maxsize=4)
def cached_subsets(
    agents: tuple[str, ...], backends: tuple[str, ...], width: int
) -> Mapping[str, Sequence[str]]:
    """`assign_subsets`, computed again only when an agent or a backend has come or gone, though it is asked
    for at every check of the view."""
    return assign_subsets(agents, backends, width)


class Peers:
    def __init__(
        self,
        settings: MembershipSettings,
        name: str,
        zone: int,
        seed: int,
        clock: Clock,
        counters: Counters,
        router: Router,
        cordon: Callable[[str, bool], None],
    ):
        """`cordon` applies an order received from another agent."""
        self.router, self.clock, self.counters, self.cordon = router, clock, counters, cordon
        self.stable_view = StableView()
        self.zone = zone
        self.subset: tuple[str, ...] = ()
        self.member = Member(
            name,
            settings.advertise,
            settings.cluster,
            settings.seeds,
            Timing(**settings.timing),
            Random(seed),
            clock.now(),
            zone,
        )
        self.host = Host(self.member, settings.listen, clock.now, self._on_action, self._count, log)
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        self.host.start()
        self.greenlets.append(gevent.spawn(self._check_view_periodically))

    def stop(self, has_successor: bool) -> None:
        """Stop, and announce the departure unless another process of this agent continues under its name."""
        if not has_successor:
            self.host.leave()
        gevent.killall(self.greenlets, block=False)
        self.host.close()

    def publish_order(self, backend: str, cordoned: bool) -> None:
        """Disseminate an operator's order that this agent has already carried out."""
        self.host.issue_order(backend, cordoned)

    def forget(self, name: str) -> bool:
        return self.host.forget(name)

    def members(self) -> dict[str, Any]:
        now, member = self.clock.now(), self.member
        records = sorted([*member.view.records.values(), member.own_record], key=lambda record: record.name)
        return {
            "name": member.name,
            "cluster": member.cluster,
            "joined": member.joined,
            "silent": member.silent,
            "ill": member.health.score,
            "counted": self.stable_view.size,
            "sure": self.stable_view.is_plausible(*count_left_and_dead(member.view)),
            "accused": member.health.suspicions_started,
            "refuted": member.health.refutations,
            "late": member.health.late_wakeups,
            "members": [
                {
                    "name": record.name,
                    "at": format_address(record.address),
                    "state": state_name(record.state),
                    "by": record.accuser,
                    "incarnation": record.incarnation,
                    "for_s": round(
                        (now - member.view.state_since.get(record.name, member.own_record.started_at))
                        / SECOND,
                        1,
                    ),
                }
                for record in records
            ],
        }

    def overlay(self) -> dict[str, Any]:
        """Settings that override those of the file once a view has been accepted."""
        if not self.stable_view.names:
            return {}
        state = self.router.balancer.state
        return {"balancers": state.fleet_size, "me": state.index, "dealt": ",".join(self.subset)}

    def _count(self, name: str) -> None:
        self.counters[name] += 1

    def _on_action(self, action: Action) -> None:
        if isinstance(action, OrderReceived):
            # Applied in a greenlet of its own: the router may be busy, and the member must not wait for it.
            gevent.spawn(self.cordon, action.order.subject, action.order.cordoned)
        elif isinstance(action, NameConflict):
            self.counters["member: usurped"] += 1
        elif isinstance(action, MemberChanged) and action.record.state:
            self.counters[f"member: others {state_name(action.record.state)}"] += 1

    def _check_view_periodically(self) -> None:
        while True:
            gevent.sleep(VIEW_CHECK_S)
            try:
                self._check_view()
            except Exception:
                self.counters.record_exception("census")

    def _check_view(self) -> None:
        """Pass a newly accepted view on to the balancer; any other view changes nothing."""
        member = self.member
        if member.silent or not member.joined:
            return
        live = member.live_members()
        changed = self.stable_view.observe(
            [record.name for record in live], *count_left_and_dead(member.view), self.clock.now()
        )
        if changed:
            log.info("agents counted", agents=self.stable_view.size)
        if not self.stable_view.names:
            return
        subset = self._compute_subset({record.name: record.zone_number for record in live})
        if changed or subset != self.subset:
            self.subset = subset
            own_index = (
                self.stable_view.names.index(member.name) if member.name in self.stable_view.names else 0
            )
            balancer, now = self.router.balancer, self.clock.now()
            self.router.execute(set_fleet_size, balancer, now, self.stable_view.size, own_index, subset)

    def _compute_subset(self, zones: dict[str, int]) -> tuple[str, ...]:
        """This agent's backends: a subset of those in its own zone, and a smaller one of the others. Both are
        divided among the agents of its zone."""
        state = self.router.balancer.state
        if not state.subsetting:
            return ()
        agents = [name for name in self.stable_view.names if name in zones]
        subset: list[str] = []
        for is_home, width in ((True, SUBSET), (False, SUBSET // 2)):
            backends = tuple(
                str(b.id)
                for b in state.backends.values()
                if b.in_service and (b.listing.zone == self.zone) is is_home
            )
            zone_agents = tuple(name for name in agents if zones[name] == self.zone)
            subset += cached_subsets(zone_agents, backends, width).get(self.member.name, ())
        return tuple(subset)
