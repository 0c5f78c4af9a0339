"""The home regions of each host's routes, by the configuration in force."""

from __future__ import annotations

import msgspec

from nettledeal.control.state import ConfigurationMeta, ControlState


class _HomeRoute(msgspec.Struct, frozen=True):
    """The part of a route that matters here."""

    hostname: str = ""
    home_regions: list[str] = []


class _HomeRoutes(msgspec.Struct, frozen=True):
    routes: list[_HomeRoute] = []


_DECODER = msgspec.json.Decoder(_HomeRoutes)


class RouteHomes:
    """Tells, for a host, in which regions its routes with homes may all be served."""

    def __init__(self) -> None:
        self._meta: ConfigurationMeta | None = None
        self._by_host: dict[str, frozenset[str]] = {}

    def update(self, state: ControlState) -> bool:
        """Take over a committed state; whether the configuration in it is another one."""
        meta = state.configuration_meta
        if meta is None or meta == self._meta:
            return False
        self._meta = meta
        self._by_host = _homes_by_host(_DECODER.decode(state.configuration or b"{}").routes)
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
