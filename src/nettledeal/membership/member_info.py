"""Members as the other parts of a process see them: roles, and what is known of each live member."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from nettledeal.common.addresses import parse_address
from nettledeal.common.settings import Settings
from nettledeal.membership.view import MemberRecord, Metadata, State


class Role(StrEnum):
    """Which program a member runs."""

    EDGE = "edge"
    CORE = "core"
    RELAY = "relay"


# Members that tell clients which member to connect to. Changes are sent to them at once.
DIRECTORY_ROLES = frozenset({Role.CORE, Role.RELAY})


class MemberInfo(msgspec.Struct, frozen=True):
    """A live member, as far as is known. `incarnation` differs between two processes of the same name."""

    name: str
    role: str
    zone: str
    region: str
    host: str
    frontend: str | None
    ready: bool
    leaving: bool
    suspected: bool
    incarnation: int


def own_metadata(settings: Settings, role: Role) -> Metadata:
    """What a process tells of itself when it starts."""
    frontend = settings.listen.frontend
    port = parse_address(frontend).port if frontend else 0
    return Metadata(str(role), settings.zone, port)


def is_directory(record: MemberRecord) -> bool:
    """Whether the member tells clients which member to connect to."""
    return record.metadata is not None and record.metadata.role in DIRECTORY_ROLES


def member_info(record: MemberRecord, regions: dict[str, str]) -> MemberInfo:
    """What a record with metadata says; `regions` maps zones to regions."""
    metadata = record.metadata
    return MemberInfo(
        name=record.name,
        role=metadata.role,
        zone=metadata.zone,
        region=regions.get(metadata.zone, metadata.zone),
        host=record.host,
        frontend=f"{record.host}:{metadata.frontend_port}" if metadata.frontend_port else None,
        ready=metadata.ready,
        leaving=metadata.leaving,
        suspected=record.state == State.SUSPECT,
        incarnation=record.started_at,
    )
