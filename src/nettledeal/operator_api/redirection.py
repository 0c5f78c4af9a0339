"""Sends operators' calls on from a machine that has no replica of the control state."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from nettledeal.common.addresses import parse_address
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.http_server import HttpServer
from nettledeal.common.settings import Settings
from nettledeal.distribution.core_directory import CoreMachine
from nettledeal.membership.member_info import MemberInfo, Role
from nettledeal.operator_api.messages import Response, redirected, unclear


class CoreChooser:
    """Chooses the core machine that a call is sent to; if it is not the primary, it sends the call on."""

    def __init__(
        self,
        settings: Settings,
        members: Callable[[], Iterable[MemberInfo]],
        cores: Callable[[], Iterable[CoreMachine]],
    ):
        self._port = parse_address(settings.listen.control_plane).port
        self._zone, self._region = settings.zone, settings.region
        self._members = members
        self._cores = cores

    def authority(self) -> str | None:
        """The `host:port` of the primary, else of the nearest core machine that lives; None without any."""
        cores = [member for member in self._members() if member.role == Role.CORE]
        live = {member.host for member in cores if not member.suspected}
        found = [core for core in self._cores() if core.host in live]
        if not found:
            host = min(live, default=None)
            return None if host is None else f"{host}:{self._port}"
        return f"{min(found, key=self._preference).host}:{self._port}"

    def _preference(self, core: CoreMachine) -> tuple[bool, bool, bool, str]:
        return not core.primary, core.zone != self._zone, core.region != self._region, core.host


class RedirectionServer(HttpServer):
    """The HTTP server at the address that the settings give for `control_plane`."""

    def __init__(self, settings: Settings, chooser: CoreChooser):
        address = settings.listen.control_plane
        if address is None:
            raise ServingError(ErrorCode.INVALID_SETTINGS, "redirect orders", "listen.control_plane: none")
        super().__init__(parse_address(address), self._serve)
        self._chooser = chooser

    def _serve(self, environ: dict, start_response: Callable) -> list[bytes]:
        """The WSGI application."""
        return self._answer(environ["PATH_INFO"]).begin(start_response)

    def _answer(self, path: str) -> Response:
        authority = self._chooser.authority()
        return unclear("no core machine is known") if authority is None else redirected(authority, path)
