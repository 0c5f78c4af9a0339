"""The home regions of each host's routes in the current configuration."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from nettledeal.distribution.control_source import GENERATION_KEY, ROUTE_PREFIX, TENANT_ROUTE_PREFIX

_ROUTE_PREFIXES = (ROUTE_PREFIX, TENANT_ROUTE_PREFIX)


class _HomeRoute(msgspec.Struct, frozen=True):
    """The fields of a route that determine its home regions."""

    hostname: str = ""
    home_regions: list[str] = []


_DECODER = msgspec.json.Decoder(_HomeRoute)


class HomeRegions:
    """Maps a host to the regions that may serve all of its routes with home regions."""

    def __init__(self) -> None:
        self._generation: bytes | None = None
        self._by_host: dict[str, frozenset[str]] = {}

    @property
    def has_configuration(self) -> bool:
        """Whether a configuration has been received."""
        return self._generation is not None

    def update(self, entries: Mapping[str, bytes]) -> bool:
        """Applies the entries of the `control` source; returns whether the configuration changed."""
        generation = entries.get(GENERATION_KEY)
        if generation is None or generation == self._generation:
            return False
        self._generation = generation
        routes = [value for key, value in entries.items() if key.startswith(_ROUTE_PREFIXES)]
        self._by_host = _home_regions_by_host([_DECODER.decode(route) for route in routes])
        return True

    def for_host(self, hostname: str) -> frozenset[str] | None:
        """Returns the regions common to the host's routes with home regions; None if no route has any."""
        return self._by_host.get(hostname.partition(":")[0].lower())


def _home_regions_by_host(routes: list[_HomeRoute]) -> dict[str, frozenset[str]]:
    homes: dict[str, frozenset[str]] = {}
    for route in routes:
        if not route.home_regions:
            continue
        hostname = route.hostname.lower()
        route_regions = frozenset(route.home_regions)
        homes[hostname] = homes.get(hostname, route_regions) & route_regions
    return homes
