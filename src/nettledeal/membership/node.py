"""A process of the serving system as a member: what the other parts of the process see of all the others."""

from __future__ import annotations

import time
from collections.abc import Callable
from enum import StrEnum
from random import Random

import gevent
import msgspec
from gevent.event import Event

from nettledeal.common.addresses import Address, InternalPort, parse_address
from nettledeal.common.logs import log_event
from nettledeal.common.settings import Settings
from nettledeal.membership.cbor_codec import CborCodec
from nettledeal.membership.doubt import zones_in_doubt
from nettledeal.membership.host import Host
from nettledeal.membership.member import Member
from nettledeal.membership.steps import SECOND, Act, Changed, Timing
from nettledeal.membership.view import Metadata, State, Word

# Members of one deployment; a packet of another one is refused.
CLUSTER = "nd"
# A lost member goes on counting toward shared budgets for so long: it may only be cut off from here.
LOST_COUNTS_S = 60.0
# A member found dead goes on speaking against its zone for so long, unless it comes back.
DEATH_TELLS_S = 8.0
# Streams open at once, in each direction: many processes may join through one seed at the same time.
MAX_STREAMS = 64
# The protocol's period is this part of the deployment's heartbeat.
PERIODS_PER_HEARTBEAT = 3
# How often news is told, in times of the logarithm of the number of members.
NEWS_TOLD = 3
# So long after its start a data-plane process joins although it is not ready: where no seed has a replica, it
# finds the core machines by membership only.
JOIN_UNREADY_AFTER_S = 0.3
# What a member says of itself is repeated to the core members after so many seconds.
REPEAT_AFTER_S = (0.1, 0.4)
# As many data-plane members a process assumes before it has joined: its share is small until it knows.
ASSUMED_BEFORE_JOINING = 64
_NANOSECONDS_PER_TICK = 100_000


class Role(StrEnum):
    """Which program a member runs."""

    EDGE = "edge"
    CORE = "core"
    RELAY = "relay"


_PORTS = {
    Role.EDGE: InternalPort.EDGE_MEMBERSHIP,
    Role.CORE: InternalPort.CORE_MEMBERSHIP,
    Role.RELAY: InternalPort.CORE_MEMBERSHIP,
}
# Members that answer clients asking where to go: what changes is told to them at once.
DIRECTORY_ROLES = frozenset({Role.CORE, Role.RELAY})


class MemberInfo(msgspec.Struct, frozen=True):
    """A member that lives as far as is known. `incarnation` differs between two lives of one name."""

    name: str
    role: str
    zone: str
    region: str
    host: str
    frontend: str | None
    ready: bool
    leaving: bool
    suspected: bool
    incarnation: int


class SteadyClock:
    """Ticks of 0.1 ms: the time of day when the process started, moved on by a clock that never jumps."""

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """The current tick."""
        return (time.monotonic_ns() + self._offset_ns) // _NANOSECONDS_PER_TICK


class _EventLog:
    """The levels of a logger, as events of the system's log. Of other members only deaths are logged: at each
    start and release every process would log every other one."""

    def info(self, event: str, **fields: object) -> None:
        if fields.get("state", "dead") == "dead":
            log_event(f"membership:{event}", **fields)

    warning = error = info

    def debug(self, event: str, **fields: object) -> None:
        pass


def timing_for(heartbeat_ms: float) -> Timing:
    """The protocol's times, from the deployment's heartbeat: a death is known in about two of them."""
    period = max(500, round(heartbeat_ms * 10 / PERIODS_PER_HEARTBEAT))
    return Timing(
        period=period,
        probe=round(0.45 * period),
        suspicion=round(2.5 * period),
        spread=round(0.25 * period),
        swap=75 * period,
        keep=9_000 * period,
        told=NEWS_TOLD,
        compare=True,
    )


class MembershipNode:
    """Runs the protocol in greenlets of its own and answers from the current view."""

    def __init__(self, settings: Settings, role: Role):
        self._settings = settings
        self._role = role
        self._ready = Event()
        self._stopped = False
        self._clock = SteadyClock()
        self.on_change: list[Callable[[], None]] = []
        self._members: list[MemberInfo] | None = None
        address = settings.internal_address(_PORTS[role])
        self.member = Member(
            settings.node_name if role is Role.EDGE else settings.control_member_name,
            tuple(address),
            CLUSTER,
            [tuple(seed) for seed in settings.seed_addresses(InternalPort.CORE_MEMBERSHIP)],
            timing_for(settings.heartbeat_ms),
            Random(),
            self._clock.now(),
            codec=CborCodec(),
            metadata=_own_metadata(settings, role),
        )
        self._host = Host(
            self.member, tuple(address), self._clock.now, self._told, _ignore_count, _EventLog(), MAX_STREAMS
        )

    def start(self) -> None:
        """Listen and join; returns at once, and goes on trying for as long as nobody answers.

        A data-plane process joins when it is ready, or a little later if it is not: what all have to be told
        of it is told once.
        """
        self._changed()
        gevent.spawn(self._join_when_ready)

    def leave(self) -> None:
        """Say that this process is about to stop, to every core member at once; it stays a member till
        `stop`."""
        self._describe(leaving=True, ready=False)

    def stop(self) -> None:
        """Say that this process is gone, and close."""
        self._stopped = True
        self._host.leave()
        self._host.close()

    def set_ready(self, ready: bool) -> None:
        """Whether this process takes clients."""
        if ready != self.member.me.metadata.ready:
            self._describe(ready=ready)
        if ready:
            self._ready.set()

    def members(self) -> list[MemberInfo]:
        """The live ones by name, this process among them; the list is shared, not to be changed."""
        if self._members is None:
            self._members = [
                _member_info(word, self._settings.zones)
                for word in self.member.live()
                if word.metadata is not None
            ]
        return self._members

    def core_hosts(self) -> list[str]:
        """The hosts of live processes that have a replica of the control state."""
        return [member.host for member in self.members() if member.role == Role.CORE]

    def zones_in_doubt(self) -> frozenset[str]:
        """Zones that may be lost as a whole, by the members that are suspected or were found dead of late."""
        members = self.members()
        since = self._clock.now() - round(DEATH_TELLS_S * SECOND)
        lost = [member.zone for member in members if member.suspected]
        lost += [word.metadata.zone for word in self._dead_since(since)]
        return zones_in_doubt((member.zone for member in members if not member.suspected), lost)

    def _dead_since(self, since: int) -> list[Word]:
        view = self.member.view
        return [
            word
            for word in view.words.values()
            if word.state == State.DEAD and word.metadata is not None and view.since[word.name] > since
        ]

    def is_member(self, name: str) -> bool:
        """Whether a process of that name lives, as far as is known."""
        return any(member.name == name for member in self.members())

    def data_plane_count(self) -> int:
        """Data-plane members for shares of a shared budget: the live ones, and those lost of late."""
        live = sum(member.role == Role.EDGE for member in self.members())
        since = self._clock.now() - round(LOST_COUNTS_S * SECOND)
        lost = sum(word.metadata.role == Role.EDGE for word in self._dead_since(since))
        return max(1 if self.member.joined else ASSUMED_BEFORE_JOINING, live + lost)

    def _join_when_ready(self) -> None:
        if self._role == Role.EDGE:
            self._ready.wait(JOIN_UNREADY_AFTER_S)
        if not self._stopped:
            self._host.start()

    def _describe(self, **changes: object) -> None:
        metadata = msgspec.structs.replace(self.member.me.metadata, **changes)
        cores = [Address(*word.address) for word in self.member.view.live() if _is_told_at_once(word)]
        self._host.describe(metadata, cores)
        for delay_s in REPEAT_AFTER_S:
            gevent.spawn_later(delay_s, self._host.tell, cores)
        self._changed()

    def _told(self, act: Act) -> None:
        if not isinstance(act, Changed):
            return
        if act.before is None and act.word.live and _is_told_at_once(act.word):
            # A core member that has just come may have been told of this one by somebody who knows less.
            self._host.tell([Address(*act.word.address)])
        self._changed()

    def _changed(self) -> None:
        self._members = None
        for callback in self.on_change:
            callback()


def _own_metadata(settings: Settings, role: Role) -> Metadata:
    frontend = settings.listen.frontend
    port = parse_address(frontend).port if frontend else 0
    return Metadata(str(role), settings.zone, port)


def _is_told_at_once(word: Word) -> bool:
    return word.metadata is not None and word.metadata.role in DIRECTORY_ROLES


def _member_info(word: Word, regions: dict[str, str]) -> MemberInfo:
    about = word.metadata
    return MemberInfo(
        name=word.name,
        role=about.role,
        zone=about.zone,
        region=regions.get(about.zone, about.zone),
        host=word.host,
        frontend=f"{word.host}:{about.frontend_port}" if about.frontend_port else None,
        ready=about.ready,
        leaving=about.leaving,
        suspected=word.state == State.SUSPECT,
        incarnation=word.life,
    )


def _ignore_count(_: str) -> None:
    pass
