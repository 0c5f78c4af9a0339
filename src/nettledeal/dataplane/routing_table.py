"""Routes by host and path. A table is immutable; a change creates a new one that replaces it atomically.

The table is built from keyed entries of the configuration: `route/<hostname> <prefix>`, or `tenant-route/...`
for routes with tenants, `service/<name>`, `limits` and `evacuation/<zone>`. Only entries that differ between
two versions are decoded.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random

import msgspec

from nettledeal.operator_api.configuration import ClientLimits, Route, RouteType, Service

ROUTE_KEY = "route/"
TENANT_ROUTE_KEY = "tenant-route/"
SERVICE_KEY = "service/"
ROUTE_KEYS = (ROUTE_KEY, TENANT_ROUTE_KEY)
EVACUATION_KEY = "evacuation/"
LIMITS_KEY = "limits"
GENERATION_KEY = "generation"
TENANCY_KEY = "tenancy"

MS_PER_S = 1000.0
GOLDEN_RATIO = (5**0.5 - 1) / 2


class LowDiscrepancySequence:
    """Evenly spread numbers in [0, 1): multiples of the golden ratio, modulo 1.

    With independent random numbers, a traffic split over a few hundred requests would be off by some percent.
    """

    __slots__ = ("_last",)

    def __init__(self) -> None:
        self._last: float | None = None

    def next(self, random: Random) -> float:
        """The next number; `random` provides the first."""
        self._last = random.random() if self._last is None else (self._last + GOLDEN_RATIO) % 1.0
        return self._last


@dataclass(frozen=True, slots=True)
class RouteTarget:
    """A route with precomputed values for its requests."""

    route: Route
    services: tuple[str, ...]
    cumulative_weights: tuple[float, ...]
    home_regions: frozenset[str]
    timeout_s: float
    target_latency_s: float
    repeatable: bool
    resumable: bool
    requires_tenant: bool = False
    split_sequence: LowDiscrepancySequence = field(default_factory=LowDiscrepancySequence, compare=False)

    def pick_service(self, random: Random) -> str:
        """Pick a service by the weights of the traffic split."""
        if len(self.services) == 1:
            return self.services[0]
        point = self.split_sequence.next(random) * self.cumulative_weights[-1]
        last = len(self.services) - 1
        return self.services[bisect_right(self.cumulative_weights, point, 0, last)]


def route_target(route: Route) -> RouteTarget:
    """Precompute the values for the requests of `route`."""
    split = [part for part in route.weighted_services if part.weight > 0]
    resumable = route.route_type is RouteType.STREAMING and route.resumable
    return RouteTarget(
        route=route,
        services=tuple(part.service for part in split),
        cumulative_weights=tuple(accumulate(part.weight for part in split)),
        home_regions=frozenset(route.home_regions),
        timeout_s=route.timeout_ms / MS_PER_S,
        target_latency_s=route.target_latency_ms / MS_PER_S,
        repeatable=resumable or route.repeatable,
        resumable=resumable,
        requires_tenant=route.is_of_tenants,
    )


class RoutingTable(msgspec.Struct, frozen=True):
    """All routes in force, with services, limits and evacuated zones."""

    entries: Mapping[str, bytes] = {}
    hosts: Mapping[str, Mapping[str, RouteTarget]] = {}
    services: Mapping[str, Service] = {}
    limits: ClientLimits | None = None
    evacuated: frozenset[str] = frozenset()

    @property
    def configured(self) -> bool:
        """Whether a configuration has been applied."""
        return self.limits is not None

    def find(self, host: bytes, target: bytes) -> RouteTarget | None:
        """The route with the longest matching path prefix for the host."""
        name = host.partition(b":")[0].decode("latin-1").lower()
        prefixes = self.hosts.get(name)
        if prefixes is None:
            return None
        path = target.partition(b"?")[0].decode("latin-1")
        end = path.rfind("/")
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None


def updated_table(table: RoutingTable, entries: Mapping[str, bytes]) -> RoutingTable:
    """The table for `entries`; decodes only what differs from `table`.

    Raises msgspec.ValidationError or msgspec.DecodeError if an entry can't be decoded.
    """
    entries = dict(entries)
    hosts = dict(table.hosts)
    services = dict(table.services)
    copied_hosts: set[str] = set()
    for key in table.entries.keys() - entries.keys():
        _remove_entry(key, hosts, services, copied_hosts)
    for key, value in entries.items():
        if table.entries.get(key) != value:
            _apply_entry(key, value, hosts, services, copied_hosts)
    limits = entries.get(LIMITS_KEY)
    return RoutingTable(
        entries=entries,
        hosts=hosts,
        services=services,
        limits=None if limits is None else msgspec.json.decode(limits, type=ClientLimits),
        evacuated=frozenset(key[len(EVACUATION_KEY) :] for key in entries if key.startswith(EVACUATION_KEY)),
    )


def _apply_entry(
    key: str,
    value: bytes,
    hosts: dict[str, Mapping[str, RouteTarget]],
    services: dict[str, Service],
    copied_hosts: set[str],
) -> None:
    if key.startswith(ROUTE_KEYS):
        route = msgspec.json.decode(value, type=Route)
        _copy_once(route.hostname.lower(), hosts, copied_hosts)[route.path_prefix] = route_target(route)
    elif key.startswith(SERVICE_KEY):
        service = msgspec.json.decode(value, type=Service)
        services[service.name] = service


def _remove_entry(
    key: str,
    hosts: dict[str, Mapping[str, RouteTarget]],
    services: dict[str, Service],
    copied_hosts: set[str],
) -> None:
    if key.startswith(ROUTE_KEYS):
        host, _, prefix = key.partition("/")[2].partition(" ")
        _copy_once(host.lower(), hosts, copied_hosts).pop(prefix, None)
    elif key.startswith(SERVICE_KEY):
        services.pop(key[len(SERVICE_KEY) :], None)


def _copy_once(
    host: str, hosts: dict[str, Mapping[str, RouteTarget]], copied_hosts: set[str]
) -> dict[str, RouteTarget]:
    """The prefixes of a host, copied at the first change so that the current table stays unchanged."""
    if host not in copied_hosts:
        hosts[host] = dict(hosts.get(host, {}))
        copied_hosts.add(host)
    return hosts[host]
