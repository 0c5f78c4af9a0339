"""What the registry costs: an answer that is kept, one after the view has changed, and its size."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from nettledeal.capacity import deployment
from nettledeal.capacity.measuring import processor_ms
from nettledeal.capacity.table import Row
from nettledeal.common.addresses import Address
from nettledeal.common.settings import Listen
from nettledeal.membership.node import MemberInfo, Role
from nettledeal.registry.server import RegistryServer

REPEATS = 9
CALLS = 200
MICROSECONDS = 1000.0


@dataclass
class HollowMembership:
    """A view that does not change by itself."""

    known: list[MemberInfo]
    on_change: list = field(default_factory=list)

    def members(self) -> list[MemberInfo]:
        """The members."""
        return self.known

    def zones_in_doubt(self) -> frozenset[str]:
        """None: no member is lost."""
        return frozenset()


def registry(size: int, seed: int) -> Iterator[Row]:
    """Answers about `size` agents."""
    membership = HollowMembership([_member(number) for number in range(size)])
    settings = deployment.settings("core", Address("127.0.0.1", 7000), [], "zone-00")
    listen = Listen(directory="127.0.0.1:7009")
    server = RegistryServer(msgspec.structs.replace(settings, listen=listen), membership)
    zones = sorted(deployment.zones())
    bodies: list[bytes] = []

    def ask(zone: str) -> None:
        environ = {"PATH_INFO": "/resolve", "REQUEST_METHOD": "GET", "QUERY_STRING": f"name=x&zone={zone}"}
        bodies.extend(server.application(environ, lambda status, headers: None))

    def ask_often() -> None:
        for number in range(CALLS):
            ask(zones[number % len(zones)])

    def ask_after_change() -> None:
        for callback in membership.on_change:
            callback()
        for zone in zones:
            ask(zone)

    kept_ms = processor_ms(ask_often, REPEATS) / CALLS
    changed_ms = processor_ms(ask_after_change, REPEATS) / len(zones)
    yield Row("registry", size, "CPU of a kept answer", kept_ms * MICROSECONDS, "us")
    yield Row("registry", size, "CPU of an answer after a change", changed_ms * MICROSECONDS, "us")
    yield Row("registry", size, "largest answer", max(map(len, bodies)), "B", True)


def _member(number: int) -> MemberInfo:
    zone = deployment.zone_of(number)
    return MemberInfo(
        name=f"machine-{number:04d}",
        role=Role.EDGE,
        zone=zone,
        region=deployment.zones()[zone],
        host=f"10.1.{number // 256}.{number % 256}",
        frontend=f"10.1.{number // 256}.{number % 256}:8161",
        ready=True,
        leaving=False,
        suspected=False,
        incarnation=0,
    )
