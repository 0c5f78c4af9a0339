"""An agent among others that it can talk with: what membership tells it, and what it makes of that.

Program's layer: it wires `membership/` to the router and decides nothing itself. How many agents there are
and which one this is come from `census.py`, its part of the fleet from `dealing.py`, and cordons from the
newest order heard. An agent without the key `membership` never loads this.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from functools import lru_cache
from random import Random
from typing import Any

import gevent
import structlog

from nettledeal.learned_state import set_fleet_size
from nettledeal.membership.census import Census, missed
from nettledeal.membership.dealing import deal
from nettledeal.membership.host import Host, spoken
from nettledeal.membership.member import Member
from nettledeal.membership.steps import Act, Changed, Ordered, Timing, Usurped
from nettledeal.membership_settings import MembershipSettings
from nettledeal.net.address import format_address
from nettledeal.net.clock import SECOND, Clock
from nettledeal.net.counters import Counters
from nettledeal.net.routing.router import Router
from nettledeal.policy.shared_state import SUBSET

log = structlog.get_logger()

# How often the census looks whether a view has stood long enough.
LOOK = 0.5


@lru_cache(maxsize=4)
def dealt_out(agents: tuple[str, ...], backends: tuple[str, ...], width: int) -> Mapping[str, Sequence[str]]:
    """`deal`, worked out anew only where somebody has come or gone: it is asked for at every look."""
    return deal(agents, backends, width)


class Peers:
    def __init__(
        self,
        told: MembershipSettings,
        name: str,
        zone: int,
        seed: int,
        clock: Clock,
        counters: Counters,
        router: Router,
        cordon: Callable[[str, bool], None],
    ):
        """`cordon` puts an order of another agent in force here."""
        self.router, self.clock, self.counters, self.cordon = router, clock, counters, cordon
        self.census = Census()
        self.zone = zone
        self.dealt: tuple[str, ...] = ()
        self.member = Member(
            name,
            told.advertise,
            told.cluster,
            told.seeds,
            Timing(**told.timing),
            Random(seed),
            clock.now(),
            zone,
        )
        self.host = Host(self.member, told.listen, clock.now, self._heard, self._count, log)
        self.jobs: list[gevent.Greenlet] = []

    def start(self) -> None:
        self.host.start()
        self.jobs.append(gevent.spawn(self._mind))

    def end(self, heir: bool) -> None:
        """Says that it leaves, unless another process of this agent goes on under its name."""
        if not heir:
            self.host.leave()
        gevent.killall(self.jobs, block=False)
        self.host.close()

    def ordered(self, backend: str, out: bool) -> None:
        """An order that an operator gave here, and that has been carried out here."""
        self.host.order(backend, out)

    def forget(self, name: str) -> bool:
        return self.host.forget(name)

    def members(self) -> dict[str, Any]:
        now, member = self.clock.now(), self.member
        words = sorted([*member.view.words.values(), member.me], key=lambda word: word.name)
        return {
            "name": member.name,
            "cluster": member.cluster,
            "joined": member.joined,
            "silent": member.silent,
            "ill": member.health.ill,
            "counted": self.census.full,
            "sure": self.census.sure(*missed(member.view)),
            "accused": member.health.accused,
            "refuted": member.health.refuted,
            "late": member.health.late,
            "members": [
                {
                    "name": word.name,
                    "at": format_address(word.address),
                    "state": spoken(word.state),
                    "by": word.by,
                    "incarnation": word.incarnation,
                    "for_s": round((now - member.view.since.get(word.name, member.me.life)) / SECOND, 1),
                }
                for word in words
            ],
        }

    def overlay(self) -> dict[str, Any]:
        """Settings that stand for those of the file while a view is believed."""
        if not self.census.names:
            return {}
        state = self.router.balancer.state
        return {"balancers": state.fleet_size, "me": state.index, "dealt": ",".join(self.dealt)}

    def _count(self, what: str) -> None:
        self.counters[what] += 1

    def _heard(self, act: Act) -> None:
        if isinstance(act, Ordered):
            # Carried out by a greenlet of its own: the router may be at work, and the member must not wait.
            gevent.spawn(self.cordon, act.order.subject, act.order.out)
        elif isinstance(act, Usurped):
            self.counters["member: usurped"] += 1
        elif isinstance(act, Changed) and act.word.state:
            self.counters[f"member: others {spoken(act.word.state)}"] += 1

    def _mind(self) -> None:
        while True:
            gevent.sleep(LOOK)
            try:
                self._look()
            except Exception:
                self.counters.record_exception("census")

    def _look(self) -> None:
        """What the module goes by follows a view that is believed; any other leaves all as it was."""
        member = self.member
        if member.silent or not member.joined:
            return
        live = member.live()
        changed = self.census.look([word.name for word in live], *missed(member.view), self.clock.now())
        if changed:
            log.info("agents counted", agents=self.census.full)
        if not self.census.names:
            return
        dealt = self._dealt({word.name: word.place for word in live})
        if changed or dealt != self.dealt:
            self.dealt = dealt
            number = self.census.names.index(member.name) if member.name in self.census.names else 0
            balancer, now = self.router.balancer, self.clock.now()
            self.router.execute(set_fleet_size, balancer, now, self.census.full, number, dealt)

    def _dealt(self, places: dict[str, int]) -> tuple[str, ...]:
        """Home backends are dealt to the agents of their zone, all others to all that are not at home
        there."""
        state = self.router.balancer.state
        if not state.subsetting:
            return ()
        agents = [name for name in self.census.names if name in places]
        found: list[str] = []
        for home, width in ((True, SUBSET), (False, SUBSET // 2)):
            group = tuple(
                str(b.id)
                for b in state.backends.values()
                if b.in_service and (b.listing.zone == self.zone) is home
            )
            mates = tuple(name for name in agents if places[name] == self.zone)
            found += dealt_out(mates, group, width).get(self.member.name, ())
        return tuple(found)
