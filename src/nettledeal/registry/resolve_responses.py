"""Selects the data-plane members for a client's location and encodes the responses to `/resolve`."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from heapq import nlargest

import msgspec
import orjson
import xxhash

from nettledeal.membership.member_info import MemberInfo, Role
from nettledeal.registry.region_directories import RegionDirectories

MAX_ADDRESSES = 64
# A zone with fewer serving members than this fraction of its region's mean per zone also gets the region's.
MIN_FRACTION_OF_ZONE_MEAN = 0.6
# A zone or region with fewer serving members than this gets those of the region or of all regions.
MIN_MEMBERS = 2
# Maximum TTL of a response that is likely to be replaced soon by a better one.
SHORT_TTL_S = 0.5
# TTL for clients whose region has lost its directories: each look-up first waits for those.
DIRECTORY_LOST_TTL_S = 3.0
# If there are more members than MAX_ADDRESSES, each of this many client groups gets a different subset.
CLIENT_GROUPS = 128
# Bounds the cache, since clients choose the locations that they send.
MAX_CACHED_RESPONSES = 4096


class ClientLocation(msgspec.Struct, frozen=True):
    """A client's location and the home regions of its host's routes (None: no route has home regions)."""

    region: str
    zone: str
    home_regions: frozenset[str] | None = None

    def admits(self, member: MemberInfo) -> bool:
        """Whether the home regions of the host's routes allow requests through the member."""
        return self.home_regions is None or member.region == self.region or member.region in self.home_regions


def accepting_members(
    members: Iterable[MemberInfo], suspected_zones: Collection[str] = ()
) -> list[MemberInfo]:
    """Returns members that accept clients; suspected members and zones only if there are no others."""
    ready = [member for member in members if _is_edge(member) and member.ready and not member.leaving]
    unsuspected = [member for member in ready if not member.suspected]
    return [member for member in unsuspected if member.zone not in suspected_zones] or unsuspected or ready


def leaving_members(members: Iterable[MemberInfo]) -> list[MemberInfo]:
    """Returns members that are shutting down but still accept connections for a few seconds."""
    return [member for member in members if _is_edge(member) and member.leaving and not member.suspected]


def _is_edge(member: MemberInfo) -> bool:
    return member.role == Role.EDGE and bool(member.frontend)


class MemberSelection(msgspec.Struct, frozen=True):
    """The members to return to a client; not `cacheable` if clients should look them up again soon."""

    members: list[MemberInfo]
    cacheable: bool = True


def select_members(
    members: Iterable[MemberInfo], location: ClientLocation, suspected_zones: Collection[str] = ()
) -> MemberSelection:
    """Selects the members for a client's location.

    `suspected_zones` are zones that may have failed. Members outside the home regions are returned only if no
    member inside is known: while all of those restart, the leaving ones are still returned, with a short TTL.
    """
    members = list(members)
    admitted = [member for member in members if location.admits(member)]
    preferred = nearest_members(admitted, location, suspected_zones)
    if preferred:
        return MemberSelection(preferred)
    leaving = leaving_members(admitted)
    if leaving:
        return MemberSelection(leaving, cacheable=False)
    return MemberSelection(
        nearest_members(members, location, suspected_zones), cacheable=location.home_regions is None
    )


def nearest_members(
    members: Iterable[MemberInfo], location: ClientLocation, suspected_zones: Collection[str] = ()
) -> list[MemberInfo]:
    """Returns the members of the client's zone, or of its region or all regions if those are too few."""
    candidates = accepting_members(members, suspected_zones)
    local = [member for member in candidates if member.zone == location.zone]
    regional = [member for member in candidates if member.region == location.region]
    zones = len({member.zone for member in regional})
    if len(local) >= max(MIN_MEMBERS, MIN_FRACTION_OF_ZONE_MEAN * len(regional) / max(1, zones)):
        return local
    return regional if len(regional) >= MIN_MEMBERS else candidates


def client_group(client_host: str) -> int:
    """Returns the client's group; clients of a group get the same members."""
    return xxhash.xxh64_intdigest(client_host.encode()) % CLIENT_GROUPS


def members_for_group(members: list[MemberInfo], group: int) -> list[MemberInfo]:
    """Selects at most MAX_ADDRESSES members by rendezvous hashing, so that one change doesn't move others."""
    if len(members) <= MAX_ADDRESSES:
        return members
    return nlargest(
        MAX_ADDRESSES, members, key=lambda member: xxhash.xxh64_intdigest(member.name.encode(), group)
    )


class ResolveResponses:
    """Caches encoded responses by location until the membership view or the home regions change."""

    def __init__(
        self, ttl_s: float, directory_lost_ttl_s: float = 0.0, directories: RegionDirectories | None = None
    ):
        """`directory_lost_ttl_s`: TTL for clients whose region has lost its directories."""
        self._ttl_s = ttl_s
        self._directory_lost_ttl_s = max(ttl_s, directory_lost_ttl_s)
        self._directories = directories or RegionDirectories()
        self._encoded: dict[tuple[ClientLocation, int], bytes | None] = {}
        self.suspected_zones: Collection[str] = ()  # zones that may have failed as a whole

    def clear(self) -> None:
        """Clears the cache after a change of the membership view or the configuration."""
        self._encoded.clear()

    def body(
        self, members: Iterable[MemberInfo], location: ClientLocation, client_host: str = ""
    ) -> bytes | None:
        """Returns the JSON response, None if no member accepts clients; reads `members` on a cache miss."""
        key = (location, client_group(client_host))
        if key in self._encoded:
            return self._encoded[key]
        selection = select_members(members, location, self.suspected_zones)
        encoded = self._encode(selection, location, key[1])
        if selection.cacheable:
            if len(self._encoded) >= MAX_CACHED_RESPONSES:
                self._encoded.clear()
            self._encoded[key] = encoded
        return encoded

    def _encode(self, selection: MemberSelection, location: ClientLocation, group: int) -> bytes | None:
        if not selection.members:
            return None
        addresses = [member.frontend for member in members_for_group(selection.members, group)]
        return orjson.dumps({"addresses": addresses, "ttl_s": self._response_ttl_s(selection, location)})

    def _response_ttl_s(self, selection: MemberSelection, location: ClientLocation) -> float:
        if not selection.cacheable:
            return min(SHORT_TTL_S, self._ttl_s)
        return self._directory_lost_ttl_s if self._directories.has_lost(location.region) else self._ttl_s
