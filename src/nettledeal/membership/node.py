"""Group membership of one process of the serving system, as seen by the other parts of the process."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from random import Random

import gevent
import msgspec
from gevent.event import Event

from nettledeal.common.addresses import Address, InternalPort
from nettledeal.common.logs import log_event
from nettledeal.common.seeds import SeedList
from nettledeal.common.settings import Settings
from nettledeal.membership.actions import Action, Joined, MemberChanged, Timing
from nettledeal.membership.cbor_codec import CborCodec
from nettledeal.membership.host import Host
from nettledeal.membership.member import Member
from nettledeal.membership.member_info import MemberInfo, Role, is_directory, member_info, own_metadata
from nettledeal.membership.recent_deaths import RecentDeaths
from nettledeal.membership.view import State
from nettledeal.membership.zone_suspicion import suspect_zones

# Name of the cluster of one deployment; packets of another cluster are refused.
CLUSTER = "nd"
# A dead member goes on counting toward shared budgets for this time: it may only be cut off from here.
LOST_MEMBER_COUNTED_S = 60.0
# A dead member goes on counting as evidence against its zone for this time, unless it comes back.
DEATH_EVIDENCE_S = 8.0
# Streams open at once, in each direction: many processes may join through one seed at the same time.
MAX_STREAMS = 64
# The protocol's period is this part of the deployment's heartbeat.
PERIODS_PER_HEARTBEAT = 3
# Transmissions of an update per log10 of the group size.
RETRANSMIT_FACTOR = 3
# After this time a data-plane process joins although it is not ready: where no seed has a replica of the
# control state, it finds the core machines through membership only.
JOIN_UNREADY_AFTER_S = 0.3
# A change of a member's own metadata is sent to the core members again after these delays.
REPEAT_AFTER_S = (0.1, 0.4)
# Data-plane members that a process assumes before it has joined, so that its share of a budget starts small.
ASSUMED_BEFORE_JOINING = 64
_NANOSECONDS_PER_TICK = 100_000


_PORTS = {
    Role.EDGE: InternalPort.EDGE_MEMBERSHIP,
    Role.CORE: InternalPort.CORE_MEMBERSHIP,
    Role.RELAY: InternalPort.CORE_MEMBERSHIP,
}


class SteadyClock:
    """Ticks of 0.1 ms: the time of day when the process started, advanced by the monotonic clock."""

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """The current tick."""
        return (time.monotonic_ns() + self._offset_ns) // _NANOSECONDS_PER_TICK


class _EventLog:
    """Maps the levels of a logger to events of the system's log. Of the changes of other members, only deaths
    are logged: otherwise every process would log every other one at each start and release."""

    def info(self, event: str, **fields: object) -> None:
        if fields.get("state", "dead") == "dead":
            log_event(f"membership:{event}", **fields)

    warning = error = info

    def debug(self, event: str, **fields: object) -> None:
        pass


def timing_for(heartbeat_ms: float) -> Timing:
    """The protocol's timing for a heartbeat interval: a death is detected in about two intervals."""
    period = max(500, round(heartbeat_ms * 10 / PERIODS_PER_HEARTBEAT))
    return Timing(
        period=period,
        probe=round(0.45 * period),
        suspicion=round(2.5 * period),
        spread=round(0.25 * period),
        swap=75 * period,
        keep=9_000 * period,
        told=RETRANSMIT_FACTOR,
        compare=True,
    )


class MembershipNode:
    """Runs the membership protocol in greenlets of its own and answers queries from the current view."""

    def __init__(self, settings: Settings, role: Role, seeds: SeedList | None = None):
        """`seeds`: the seeds in force, where they may change."""
        self._settings = settings
        self._seeds = seeds or SeedList(settings)
        self._seeds.on_change.append(self._review_seeds)
        self._replica_hosts: list[str] = []
        self._role = role
        self._ready = Event()
        self._stopped = False
        self._clock = SteadyClock()
        # Called when the view has changed, or what follows from it: evidence of deaths expires, the group is
        # known.
        self.on_change: list[Callable[[], None]] = []
        self._members: list[MemberInfo] | None = None
        address = settings.internal_address(_PORTS[role])
        self.member = Member(
            settings.node_name if role is Role.EDGE else settings.control_member_name,
            tuple(address),
            CLUSTER,
            self._seed_addresses(),
            timing_for(settings.heartbeat_ms),
            Random(),
            self._clock.now(),
            codec=CborCodec(),
            metadata=own_metadata(settings, role),
        )
        self._recent_deaths = RecentDeaths(self.member.view, self._clock.now, self._on_view_changed)
        self._host = Host(
            self.member,
            tuple(address),
            self._clock.now,
            self._on_action,
            _ignore_count,
            _EventLog(),
            MAX_STREAMS,
        )

    def start(self) -> None:
        """Listen and join. Returns at once; joining is retried until a member answers.

        A data-plane process joins when it is ready, or after `JOIN_UNREADY_AFTER_S`, so that usually one
        update to all members is enough.
        """
        self._on_view_changed()
        gevent.spawn(self._join_when_ready)

    def leave(self) -> None:
        """Announce to the core members that this process is about to stop; it stays a member until `stop`."""
        self._update_metadata(leaving=True, ready=False)

    def stop(self) -> None:
        """Announce that this process has left, and close."""
        self._stopped = True
        self._recent_deaths.stop()
        self._host.leave()
        self._host.close()

    def set_ready(self, ready: bool) -> None:
        """Publish whether this process accepts clients."""
        if ready != self.member.own_record.metadata.ready:
            self._update_metadata(ready=ready)
        if ready:
            self._ready.set()

    def members(self) -> list[MemberInfo]:
        """The live members by name, this process among them; a cached list that callers must not change."""
        if self._members is None:
            self._members = [
                member_info(record, self._settings.zones)
                for record in self.member.live_members()
                if record.metadata is not None
            ]
        return self._members

    def use_replica_hosts(self, hosts: Iterable[str]) -> None:
        """Also try these hosts of core machines, beside the seeds, which may all be gone."""
        self._replica_hosts = sorted(hosts)
        self._review_seeds()

    def core_hosts(self) -> list[str]:
        """The hosts of live processes that have a replica of the control state."""
        return [member.host for member in self.members() if member.role == Role.CORE]

    def suspect_zones(self) -> frozenset[str]:
        """Zones that may have failed as a whole, judged by members suspected or recently found dead."""
        members = self.members()
        lost = [member.zone for member in members if member.suspected]
        lost += [record.metadata.zone for record in self._recent_deaths.within(DEATH_EVIDENCE_S)]
        return suspect_zones((member.zone for member in members if not member.suspected), lost)

    def is_member(self, name: str) -> bool:
        """Whether a process of that name is alive, as far as is known."""
        return any(member.name == name for member in self.members())

    def data_plane_count(self) -> int:
        """Number of data-plane members that share a budget: live ones and recently lost ones."""
        live = sum(member.role == Role.EDGE for member in self.members())
        recent = self._recent_deaths.within(LOST_MEMBER_COUNTED_S)
        lost = sum(record.metadata.role == Role.EDGE for record in recent)
        return max(1 if self.member.joined else ASSUMED_BEFORE_JOINING, live + lost)

    def _seed_addresses(self) -> list[tuple[str, int]]:
        seeds = self._seeds.addresses(InternalPort.CORE_MEMBERSHIP)
        port = self._settings.port_range[0] + InternalPort.CORE_MEMBERSHIP
        replicas = (Address(host, port) for host in self._replica_hosts)
        return [tuple(address) for address in dict.fromkeys((*seeds, *replicas))]

    def _review_seeds(self) -> None:
        if not self._stopped:
            self._host.set_seeds(self._seed_addresses())

    def _join_when_ready(self) -> None:
        if self._role == Role.EDGE:
            self._ready.wait(JOIN_UNREADY_AFTER_S)
        if not self._stopped:
            self._host.start()

    def _update_metadata(self, **changes: object) -> None:
        metadata = msgspec.structs.replace(self.member.own_record.metadata, **changes)
        directories = [
            Address(*record.address) for record in self.member.view.live_records() if is_directory(record)
        ]
        self._host.set_metadata(metadata, directories)
        for delay_s in REPEAT_AFTER_S:
            gevent.spawn_later(delay_s, self._host.announce_to, directories)
        self._on_view_changed()

    def _on_action(self, action: Action) -> None:
        if isinstance(action, Joined):
            self._on_view_changed()
        elif isinstance(action, MemberChanged):
            self._on_member_changed(action)

    def _on_member_changed(self, action: MemberChanged) -> None:
        if action.previous_state is None and action.record.live and is_directory(action.record):
            # A directory member that has just joined may have received an outdated record of this one.
            self._host.announce_to([Address(*action.record.address)])
        if action.record.state == State.DEAD:
            self._recent_deaths.add((DEATH_EVIDENCE_S, LOST_MEMBER_COUNTED_S))
        self._on_view_changed()

    def _on_view_changed(self) -> None:
        self._members = None
        for callback in self.on_change:
            callback()


def _ignore_count(_: str) -> None:
    pass
