"""Which data-plane members a client of a zone is told, nearest first."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from heapq import nlargest

import msgspec
import orjson
import xxhash

from nettledeal.membership.node import MemberInfo, Role
from nettledeal.registry.directories import Directories

MAX_ADDRESSES = 64
# A zone with fewer live members than this part of the mean of its region's zones gets the region's as well.
ENOUGH_OF_MEAN = 0.6
# A place with fewer live members than this gets those of the larger place as well.
MIN_MEMBERS = 2
# An answer that is soon to be replaced by a better one is kept by clients for no longer than this.
SHORT_TTL_S = 0.5
# An answer to clients whose region has lost its directories is kept for this long: each of their look-ups
# first waits for those that are gone.
FAR_TTL_S = 3.0
# Where there are more members than fit, clients are told different ones, by as many groups of clients.
CLIENT_GROUPS = 128
# Places come from clients; answers for no more of them than this are kept.
MAX_CACHED_ANSWERS = 4096


class Place(msgspec.Struct, frozen=True):
    """Where a client is, and the home regions that bind the routes of its host (None: no route has homes)."""

    region: str
    zone: str
    homes: frozenset[str] | None = None

    def admits(self, member: MemberInfo) -> bool:
        """Whether the host's requests may go through that member, by the homes of its routes."""
        return self.homes is None or member.region == self.region or member.region in self.homes


def serving(members: Iterable[MemberInfo], doubted: Collection[str] = ()) -> list[MemberInfo]:
    """Members that take clients. Suspected ones, and those of doubted zones, only if there are no others."""
    ready = [member for member in members if _is_edge(member) and member.ready and not member.leaving]
    sound = [member for member in ready if not member.suspected]
    return [member for member in sound if member.zone not in doubted] or sound or ready


def leaving(members: Iterable[MemberInfo]) -> list[MemberInfo]:
    """Members that are about to stop; they accept connections for some seconds more."""
    return [member for member in members if _is_edge(member) and member.leaving and not member.suspected]


def _is_edge(member: MemberInfo) -> bool:
    return member.role == Role.EDGE and bool(member.frontend)


class Choice(msgspec.Struct, frozen=True):
    """The members to be told; `lasting` unless others should be asked for again soon."""

    members: list[MemberInfo]
    lasting: bool = True


def choose(members: Iterable[MemberInfo], place: Place, doubted: Collection[str] = ()) -> Choice:
    """The members for a client's place.

    `doubted` has the zones that may be lost. Homes of routes are left only where no member inside them is
    known: while all of these restart, those that are leaving go on being told, for a short time each.
    """
    members = list(members)
    admitted = [member for member in members if place.admits(member)]
    found = nearest(admitted, place, doubted)
    if found:
        return Choice(found)
    last = leaving(admitted)
    if last:
        return Choice(last, lasting=False)
    return Choice(nearest(members, place, doubted), lasting=place.homes is None)


def nearest(members: Iterable[MemberInfo], place: Place, doubted: Collection[str] = ()) -> list[MemberInfo]:
    """The members of a client's zone, or of its region or of all where they are few."""
    everyone = serving(members, doubted)
    local = [member for member in everyone if member.zone == place.zone]
    regional = [member for member in everyone if member.region == place.region]
    zones = len({member.zone for member in regional})
    if len(local) >= max(MIN_MEMBERS, ENOUGH_OF_MEAN * len(regional) / max(1, zones)):
        return local
    return regional if len(regional) >= MIN_MEMBERS else everyone


def client_group(client_host: str) -> int:
    """The group of clients that are told the same members."""
    return xxhash.xxh64_intdigest(client_host.encode()) % CLIENT_GROUPS


def share_of_group(members: list[MemberInfo], group: int) -> list[MemberInfo]:
    """At most MAX_ADDRESSES of the members, by rendezvous hashing: a change of one moves no other."""
    if len(members) <= MAX_ADDRESSES:
        return members
    return nlargest(
        MAX_ADDRESSES, members, key=lambda member: xxhash.xxh64_intdigest(member.name.encode(), group)
    )


class Answers:
    """Encoded answers by place, kept until the view or the homes of routes change."""

    def __init__(self, ttl_s: float, far_ttl_s: float = 0.0, directories: Directories | None = None):
        """`far_ttl_s`: how long answers are kept by clients whose region has lost its directories."""
        self._ttl_s = ttl_s
        self._far_ttl_s = max(ttl_s, far_ttl_s)
        self._directories = directories or Directories()
        self._encoded: dict[tuple[Place, int], bytes | None] = {}
        self.doubted: Collection[str] = ()  # zones that may be lost as a whole

    def clear(self) -> None:
        """The view or the configuration has changed."""
        self._encoded.clear()

    def body(self, members: Iterable[MemberInfo], place: Place, client_host: str = "") -> bytes | None:
        """The answer's JSON, None if no member takes clients. `members` is gone through only if need be."""
        key = (place, client_group(client_host))
        if key in self._encoded:
            return self._encoded[key]
        choice = choose(members, place, self.doubted)
        encoded = self._encode(choice, place, key[1])
        if choice.lasting:
            if len(self._encoded) >= MAX_CACHED_ANSWERS:
                self._encoded.clear()
            self._encoded[key] = encoded
        return encoded

    def _encode(self, choice: Choice, place: Place, group: int) -> bytes | None:
        if not choice.members:
            return None
        addresses = [member.frontend for member in share_of_group(choice.members, group)]
        return orjson.dumps({"addresses": addresses, "ttl_s": self._lifetime_s(choice, place)})

    def _lifetime_s(self, choice: Choice, place: Place) -> float:
        if not choice.lasting:
            return min(SHORT_TTL_S, self._ttl_s)
        return self._far_ttl_s if self._directories.lost(place.region) else self._ttl_s
