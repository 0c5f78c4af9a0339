"""Chooses the members of an epoch: minimum in-sync set, and voters that join, are replaced or leave."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from nettledeal.common.settings import FaultTolerance
from nettledeal.control.messages import EpochRecord, ReplicaInfo


class Candidate(msgspec.Struct, frozen=True):
    """A replica as the primary sees it.

    `live`: heard recently. `usable`: may be in sync (live, its disk works, it acknowledges in time).
    `caught_up`: has synced everything that the primary has. `leaving`: its process is shutting down.
    """

    info: ReplicaInfo
    live: bool
    usable: bool
    caught_up: bool
    leaving: bool = False

    @property
    def staying(self) -> bool:
        """Whether it is live and isn't shutting down."""
        return self.live and not self.leaving


def satisfies_tolerance(
    in_sync: Collection[str], voters: Iterable[ReplicaInfo], tolerance: FaultTolerance
) -> bool:
    """Whether at least one member of `in_sync` survives any loss that `tolerance` allows."""
    voters = tuple(voters)
    members = [voter for voter in voters if voter.replica_id in in_sync]
    if len(members) < tolerance.machines + 1:
        return False
    zones = {voter.zone for voter in voters}
    regions = {voter.region for voter in voters}
    zones_needed = min(len(zones), max(tolerance.zones + 1, 2))
    regions_needed = min(len(regions), tolerance.regions + 1)
    spread_zones = len({member.zone for member in members})
    spread_regions = len({member.region for member in members})
    return spread_zones >= zones_needed and spread_regions >= regions_needed


def failover_record(
    base: EpochRecord, primary: str, reachable: Collection[str], tolerance: FaultTolerance
) -> EpochRecord:
    """The next epoch with `primary`; of the previous in-sync set, the members in `reachable` are kept.

    The in-sync set is kept unchanged if the reachable members alone don't satisfy the tolerance.
    """
    kept = tuple(member for member in base.in_sync if member == primary or member in reachable)
    if not satisfies_tolerance(kept, base.voters, tolerance):
        kept = base.in_sync
    return EpochRecord(base.epoch + 1, primary, kept, base.voters, base.cluster)


class FailoverChoice(msgspec.Struct, frozen=True):
    """Chooses the record of a replica that takes over, given the voters that promised.

    `new_cluster` is the cluster's identity if this is its first epoch.
    """

    base: EpochRecord
    primary: str
    tolerance: FaultTolerance
    new_cluster: str = ""

    def __call__(self, promised: frozenset[str]) -> EpochRecord:
        record = failover_record(self.base, self.primary, promised, self.tolerance)
        return msgspec.structs.replace(record, cluster=self.new_cluster) if self.base.epoch == 0 else record


class FixedChoice(msgspec.Struct, frozen=True):
    """Always chooses the given record."""

    record: EpochRecord

    def __call__(self, promised: frozenset[str]) -> EpochRecord:
        return self.record


def next_record(
    base: EpochRecord, candidates: dict[str, Candidate], tolerance: FaultTolerance
) -> EpochRecord | None:
    """The epoch that the primary should propose next, or None if the current one needs no change.

    `candidates` includes the primary itself.
    """
    joining = [
        candidate.info
        for name, candidate in candidates.items()
        if name not in base.in_sync and candidate.usable and candidate.caught_up and not candidate.leaving
    ]
    wanted, voters = _next_members(base, joining, candidates, tolerance)
    voter_ids = {voter.replica_id for voter in voters}
    in_sync = tuple(name for name in wanted if name in voter_ids)
    record = EpochRecord(base.epoch + 1, base.primary, in_sync, voters, base.cluster)
    same = set(in_sync) == set(base.in_sync) and voters == base.voters
    return None if same else record


def _next_members(
    base: EpochRecord,
    joining: list[ReplicaInfo],
    candidates: dict[str, Candidate],
    tolerance: FaultTolerance,
) -> tuple[tuple[str, ...], tuple[ReplicaInfo, ...]]:
    """The in-sync members and the voters of the next epoch.

    As many leaving members as the tolerance allows are dropped; the others have to wait until another
    replica is in sync. Unusable members are kept only if the tolerance can't be satisfied without them.
    """
    usable = [name for name in base.in_sync if name in candidates and candidates[name].usable]
    leaving = tuple(name for name in usable if candidates[name].leaving)
    staying = tuple(name for name in usable if name not in leaving)
    added = tuple(info.replica_id for info in joining)
    for count in range(len(leaving) + 1):
        retained = leaving[:count]
        wanted = staying + retained + added
        voters = _next_voters(base, joining, candidates, tolerance, protected=frozenset(retained))
        if satisfies_tolerance(wanted, voters, tolerance):
            return wanted, voters
    voters = _next_voters(base, joining, candidates, tolerance, protected=frozenset(base.in_sync))
    return base.in_sync + added, voters


def _next_voters(
    base: EpochRecord,
    joining: list[ReplicaInfo],
    candidates: dict[str, Candidate],
    tolerance: FaultTolerance,
    protected: frozenset[str],
) -> tuple[ReplicaInfo, ...]:
    voters = [_with_current_info(voter, candidates) for voter in base.voters]
    for info in joining:
        if info.replica_id not in base.voter_ids:
            joined = msgspec.structs.replace(info, joined_epoch=base.epoch + 1)
            voters = _add_voter(voters, joined, protected)
    superseded = {
        voter.replica_id
        for voter in voters
        if voter.replica_id not in protected and _is_superseded(voter, voters, candidates)
    }
    remaining = [voter for voter in voters if voter.replica_id not in superseded]
    return _drop_spare_voter(remaining, candidates, tolerance, protected)


def _drop_spare_voter(
    voters: list[ReplicaInfo],
    candidates: dict[str, Candidate],
    tolerance: FaultTolerance,
    protected: frozenset[str],
) -> tuple[ReplicaInfo, ...]:
    """The voters, without one that is leaving or silent if it isn't needed.

    An even number of voters with one absent survives one loss less than the odd number without it. An odd
    number that the tolerance needs is left alone: dropping one would survive no more losses now, and fewer
    once the absent voter is back.
    """
    needed = 2 * tolerance.machines + 1
    if len(voters) % 2 == 1 and len(voters) <= needed:
        return tuple(voters)
    absent = [
        voter
        for voter in voters
        if voter.replica_id not in protected and not _is_staying(voter.replica_id, candidates)
    ]
    if not absent:
        return tuple(voters)
    dropped = min(
        absent, key=lambda voter: (not _is_leaving(voter.replica_id, candidates), voter.joined_epoch)
    )
    return tuple(voter for voter in voters if voter is not dropped)


def _is_staying(replica_id: str, candidates: dict[str, Candidate]) -> bool:
    return replica_id in candidates and candidates[replica_id].staying


def _is_leaving(replica_id: str, candidates: dict[str, Candidate]) -> bool:
    return replica_id in candidates and candidates[replica_id].leaving


def _add_voter(
    voters: list[ReplicaInfo], joined: ReplicaInfo, protected: frozenset[str]
) -> list[ReplicaInfo]:
    """Add a voter. It replaces the voter at the same address, which has lost its disk and so its identity."""
    staying = [voter for voter in voters if voter.host != joined.host or voter.replica_id in protected]
    return [*staying, joined]


def _is_superseded(voter: ReplicaInfo, voters: list[ReplicaInfo], candidates: dict[str, Candidate]) -> bool:
    """Whether a voter is silent or leaving and a voter that joined its zone later has replaced it.

    If it comes back, it joins again.
    """
    if _is_staying(voter.replica_id, candidates):
        return False
    return any(
        other.zone == voter.zone
        and other.joined_epoch > voter.joined_epoch
        and _is_staying(other.replica_id, candidates)
        for other in voters
    )


def _with_current_info(voter: ReplicaInfo, candidates: dict[str, Candidate]) -> ReplicaInfo:
    """The voter with its current zone, region and control-plane address, unknown at first for seeds."""
    candidate = candidates.get(voter.replica_id)
    if candidate is None:
        return voter
    return msgspec.structs.replace(candidate.info, joined_epoch=voter.joined_epoch)
