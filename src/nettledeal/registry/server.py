"""The registry's HTTP server: `GET /resolve?name&region&zone`."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping
from urllib.parse import parse_qs

from nettledeal.common.addresses import parse_address
from nettledeal.common.http_server import HttpServer
from nettledeal.common.settings import Settings
from nettledeal.membership.node import MembershipNode
from nettledeal.registry.answers import FAR_TTL_S, Answers, Place
from nettledeal.registry.directories import Directories
from nettledeal.registry.homes import RouteHomes
from nettledeal.registry.leaving import LeavingMembers

RETRY_AFTER_S = "0.5"


class RegistryServer(HttpServer):
    """Serves `/resolve` from the view of this process's membership."""

    def __init__(self, settings: Settings, membership: MembershipNode, awaits_configuration: bool = False):
        """`awaits_configuration`: nothing is told before the homes of routes are known."""
        self._awaits_configuration = awaits_configuration
        self._membership = membership
        self._regions = settings.zones
        self._homes = RouteHomes()
        bounds = settings.bounds
        self._directories = Directories()
        far_ttl_s = min(FAR_TTL_S, bounds.ttl_max_s)
        self._answers = Answers(bounds.resolve_ttl_s, far_ttl_s, self._directories)
        self._leaving = LeavingMembers(bounds.resolve_hold_s)
        membership.on_change.append(self._view_changed)
        super().__init__(parse_address(settings.listen.directory), self.application)

    def configure(self, entries: Mapping[str, bytes]) -> None:
        """Go by the homes of routes in the entries of the `control` source."""
        if self._homes.update(entries):
            self._answers.clear()

    def _view_changed(self) -> None:
        members = self._membership.members()
        self._leaving.note(members, time.monotonic())
        self._directories.note(members)
        self._answers.doubted = self._membership.suspect_zones()
        self._answers.clear()

    def application(self, environ: dict, start_response) -> Iterable[bytes]:
        """The WSGI application."""
        if environ["PATH_INFO"] != "/resolve" or environ["REQUEST_METHOD"] != "GET":
            return _respond(start_response, "404 Not Found", b"{}")
        query = parse_qs(environ.get("QUERY_STRING", ""))
        zone = query.get("zone", [""])[0]
        region = self._regions.get(zone) or query.get("region", [""])[0]
        place = Place(region, zone, self._homes.of_host(query.get("name", [""])[0]))
        members = self._leaving.without_late(self._membership.members(), time.monotonic())
        waiting = self._awaits_configuration and not self._homes.known
        body = None if waiting else self._answers.body(members, place, environ.get("REMOTE_ADDR", ""))
        if body is None:
            return _respond(start_response, "503 Service Unavailable", b"{}", ("Retry-After", RETRY_AFTER_S))
        return _respond(start_response, "200 OK", body)


def _respond(start_response, status: str, body: bytes, *headers: tuple[str, str]) -> Iterable[bytes]:
    start_response(
        status, [("Content-Type", "application/json"), ("Content-Length", str(len(body))), *headers]
    )
    return [body]
