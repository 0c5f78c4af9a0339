"""The registry's HTTP server: `GET /resolve?name&region&zone`."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping
from urllib.parse import parse_qs

from nettledeal.common.addresses import parse_address
from nettledeal.common.http_server import HttpServer
from nettledeal.common.settings import Settings
from nettledeal.membership.node import MembershipNode
from nettledeal.registry.home_regions import HomeRegions
from nettledeal.registry.leaving_members import LeavingMembers
from nettledeal.registry.region_directories import RegionDirectories
from nettledeal.registry.resolve_responses import DIRECTORY_LOST_TTL_S, ClientLocation, ResolveResponses

RETRY_AFTER_S = "0.5"


class RegistryServer(HttpServer):
    """Serves `/resolve` from this process's membership view."""

    def __init__(self, settings: Settings, membership: MembershipNode, requires_configuration: bool = False):
        """`requires_configuration`: responds with 503 until the home regions of routes are known."""
        self._requires_configuration = requires_configuration
        self._membership = membership
        self._regions = settings.zones
        self._home_regions = HomeRegions()
        bounds = settings.bounds
        self._directories = RegionDirectories()
        directory_lost_ttl_s = min(DIRECTORY_LOST_TTL_S, bounds.ttl_max_s)
        self._responses = ResolveResponses(bounds.resolve_ttl_s, directory_lost_ttl_s, self._directories)
        self._leaving = LeavingMembers(bounds.resolve_hold_s)
        membership.on_change.append(self._view_changed)
        super().__init__(parse_address(settings.listen.directory), self.application)

    def configure(self, entries: Mapping[str, bytes]) -> None:
        """Applies the home regions of routes in the entries of the `control` source."""
        if self._home_regions.update(entries):
            self._responses.clear()

    def _view_changed(self) -> None:
        members = self._membership.members()
        self._leaving.update(members, time.monotonic())
        self._directories.update(members)
        self._responses.suspected_zones = self._membership.suspect_zones()
        self._responses.clear()

    def application(self, environ: dict, start_response) -> Iterable[bytes]:
        """The WSGI application."""
        if environ["PATH_INFO"] != "/resolve" or environ["REQUEST_METHOD"] != "GET":
            return _respond(start_response, "404 Not Found", b"{}")
        query = parse_qs(environ.get("QUERY_STRING", ""))
        zone = query.get("zone", [""])[0]
        region = self._regions.get(zone) or query.get("region", [""])[0]
        location = ClientLocation(region, zone, self._home_regions.for_host(query.get("name", [""])[0]))
        members = self._leaving.without_expired(self._membership.members(), time.monotonic())
        waiting = self._requires_configuration and not self._home_regions.has_configuration
        body = None if waiting else self._responses.body(members, location, environ.get("REMOTE_ADDR", ""))
        if body is None:
            return _respond(start_response, "503 Service Unavailable", b"{}", ("Retry-After", RETRY_AFTER_S))
        return _respond(start_response, "200 OK", body)


def _respond(start_response, status: str, body: bytes, *headers: tuple[str, str]) -> Iterable[bytes]:
    start_response(
        status, [("Content-Type", "application/json"), ("Content-Length", str(len(body))), *headers]
    )
    return [body]
