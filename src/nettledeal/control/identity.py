"""The identity of a core machine: its disk's id, and where it runs."""

from __future__ import annotations

from uuid import UUID, uuid4

import msgspec
import xxhash

from nettledeal.common.addresses import Address, parse_address
from nettledeal.common.settings import Settings
from nettledeal.control.epoch_consensus import AcceptorState
from nettledeal.control.messages import EpochRecord, ReplicaInfo


class CoreMember(msgspec.Struct, frozen=True):
    """A core machine that takes part in the control state."""

    replica_id: str
    host: str
    zone: str
    region: str
    control_plane: Address | None


def core_member(voter: ReplicaInfo) -> CoreMember:
    """A voter as other packages see it."""
    return CoreMember(
        voter.replica_id,
        voter.host,
        voter.zone,
        voter.region,
        parse_address(voter.control_plane) if voter.control_plane else None,
    )


def own_info(settings: Settings, replica_id: str) -> ReplicaInfo:
    """The description that a replica sends of itself."""
    return ReplicaInfo(
        replica_id, settings.ip, settings.zone, settings.region, settings.listen.control_plane or ""
    )


def first_identity(settings: Settings) -> tuple[str, AcceptorState]:
    """Identity and initial acceptor state for a new disk.

    The seeds of a new deployment derive one another's identities from their addresses.
    """
    seeds = [parse_address(seed).host for seed in settings.seeds]
    if not settings.bootstrap or settings.ip not in seeds:
        return uuid4().hex, AcceptorState()
    voters = tuple(ReplicaInfo(_seed_identity(host, seeds), host) for host in seeds)
    members = tuple(voter.replica_id for voter in voters)
    return _seed_identity(settings.ip, seeds), AcceptorState(EpochRecord(0, "", members, voters))


def _seed_identity(host: str, seeds: list[str]) -> str:
    """An identity that every seed derives in the same way; only for the machine's first disk."""
    digest = xxhash.xxh3_128_hexdigest(" ".join([host, *sorted(seeds)]).encode())
    return UUID(digest).hex
