"""The home regions of each host's routes, by the configuration in force."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from nettledeal.distribution.control_source import GENERATION_KEY, ROUTE_PREFIX, TENANT_ROUTE_PREFIX

_ROUTES = (ROUTE_PREFIX, TENANT_ROUTE_PREFIX)


class _HomeRoute(msgspec.Struct, frozen=True):
    """The part of a route that matters here."""

    hostname: str = ""
    home_regions: list[str] = []


_DECODER = msgspec.json.Decoder(_HomeRoute)


class RouteHomes:
    """Tells, for a host, in which regions its routes with homes may all be served."""

    def __init__(self) -> None:
        self._generation: bytes | None = None
        self._by_host: dict[str, frozenset[str]] = {}

    @property
    def known(self) -> bool:
        """Whether a configuration has been taken over."""
        return self._generation is not None

    def update(self, entries: Mapping[str, bytes]) -> bool:
        """Take over the entries of the `control` source; whether the configuration in them is another one."""
        generation = entries.get(GENERATION_KEY)
        if generation is None or generation == self._generation:
            return False
        self._generation = generation
        routes = [value for key, value in entries.items() if key.startswith(_ROUTES)]
        self._by_host = _homes_by_host([_DECODER.decode(route) for route in routes])
        return True

    def of_host(self, hostname: str) -> frozenset[str] | None:
        """The regions that are home to every route with homes at the host; None where no route has homes."""
        return self._by_host.get(hostname.partition(":")[0].lower())


def _homes_by_host(routes: list[_HomeRoute]) -> dict[str, frozenset[str]]:
    homes: dict[str, frozenset[str]] = {}
    for route in routes:
        if not route.home_regions:
            continue
        hostname = route.hostname.lower()
        own = frozenset(route.home_regions)
        homes[hostname] = homes.get(hostname, own) & own
    return homes
