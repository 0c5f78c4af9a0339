"""Which replicas an epoch consists of: the floor of the in-sync set, joining, replacing and leaving."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from nettledeal.common.settings import FaultTolerance
from nettledeal.control.messages import EpochRecord, ReplicaInfo


class Candidate(msgspec.Struct, frozen=True):
    """A replica as the primary sees it.

    `live`: heard lately. `usable`: may be in sync (live, its disk works, it acknowledges in time).
    `caught_up`: has synced everything that the primary has. `leaving`: its process is about to end.
    """

    info: ReplicaInfo
    live: bool
    usable: bool
    caught_up: bool
    leaving: bool = False

    @property
    def staying(self) -> bool:
        """Whether it is heard and goes on."""
        return self.live and not self.leaving


def satisfies_floor(
    in_sync: Collection[str], voters: Iterable[ReplicaInfo], tolerance: FaultTolerance
) -> bool:
    """Whether losing what `tolerance` allows leaves one member of `in_sync`."""
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
    """The next epoch under `primary`, of whose predecessors those in `reachable` stay in sync.

    The in-sync set stays whole where the reachable members would fall below the floor.
    """
    kept = tuple(member for member in base.in_sync if member == primary or member in reachable)
    if not satisfies_floor(kept, base.voters, tolerance):
        kept = base.in_sync
    return EpochRecord(base.epoch + 1, primary, kept, base.voters, base.cluster)


class FailoverChoice(msgspec.Struct, frozen=True):
    """Chooses the record of a replica that takes over, from the voters that promised.

    `new_cluster` is the identity that the cluster gets if this is its first epoch.
    """

    base: EpochRecord
    primary: str
    tolerance: FaultTolerance
    new_cluster: str = ""

    def __call__(self, promised: frozenset[str]) -> EpochRecord:
        record = failover_record(self.base, self.primary, promised, self.tolerance)
        return msgspec.structs.replace(record, cluster=self.new_cluster) if self.base.epoch == 0 else record


class FixedChoice(msgspec.Struct, frozen=True):
    """Chooses a record made beforehand."""

    record: EpochRecord

    def __call__(self, promised: frozenset[str]) -> EpochRecord:
        return self.record


def next_record(
    base: EpochRecord, candidates: dict[str, Candidate], tolerance: FaultTolerance
) -> EpochRecord | None:
    """The epoch that the primary wants next, or None if the present one is right.

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
    """The members in sync, and the voters.

    Those that are leaving are left out one after the other, as far as the floor allows; the others have to
    wait until some replica more is in sync. Members that are not usable stay only below the floor.
    """
    usable = [name for name in base.in_sync if name in candidates and candidates[name].usable]
    leaving = tuple(name for name in usable if candidates[name].leaving)
    staying = tuple(name for name in usable if name not in leaving)
    added = tuple(info.replica_id for info in joining)
    for count in range(len(leaving) + 1):
        held = leaving[:count]
        wanted = staying + held + added
        voters = _next_voters(base, joining, candidates, tolerance, protected=frozenset(held))
        if satisfies_floor(wanted, voters, tolerance):
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
    voters = [_with_details(voter, candidates) for voter in base.voters]
    for info in joining:
        if info.replica_id not in base.voter_ids:
            joined = msgspec.structs.replace(info, joined=base.epoch + 1)
            voters = _with_joined(voters, joined, protected)
    superseded = {
        voter.replica_id
        for voter in voters
        if voter.replica_id not in protected and _superseded(voter, voters, candidates)
    }
    remaining = [voter for voter in voters if voter.replica_id not in superseded]
    return _without_spare(remaining, candidates, tolerance, protected)


def _without_spare(
    voters: list[ReplicaInfo],
    candidates: dict[str, Candidate],
    tolerance: FaultTolerance,
    protected: frozenset[str],
) -> tuple[ReplicaInfo, ...]:
    """The voters, less one that is leaving or silent if it can be spared.

    An even number with one absent bears one loss less than the odd number without it. From an odd number that
    the tolerance needs none is left out: it would bear no more, and less once the absent one is back.
    """
    needed = 2 * tolerance.machines + 1
    if len(voters) % 2 == 1 and len(voters) <= needed:
        return tuple(voters)
    absent = [
        voter
        for voter in voters
        if voter.replica_id not in protected and not _stays(voter.replica_id, candidates)
    ]
    if not absent:
        return tuple(voters)
    spared = min(absent, key=lambda voter: (not _leaves(voter.replica_id, candidates), voter.joined))
    return tuple(voter for voter in voters if voter is not spared)


def _stays(replica_id: str, candidates: dict[str, Candidate]) -> bool:
    return replica_id in candidates and candidates[replica_id].staying


def _leaves(replica_id: str, candidates: dict[str, Candidate]) -> bool:
    return replica_id in candidates and candidates[replica_id].leaving


def _with_joined(
    voters: list[ReplicaInfo], joined: ReplicaInfo, protected: frozenset[str]
) -> list[ReplicaInfo]:
    """A replica with a new identity takes the place of the voter at its address, which lost its disk."""
    staying = [voter for voter in voters if voter.host != joined.host or voter.replica_id in protected]
    return [*staying, joined]


def _superseded(voter: ReplicaInfo, voters: list[ReplicaInfo], candidates: dict[str, Candidate]) -> bool:
    """Whether a voter is silent or leaving and one that joined its zone later has taken its place.

    Should it come back, it joins again.
    """
    if _stays(voter.replica_id, candidates):
        return False
    return any(
        other.zone == voter.zone and other.joined > voter.joined and _stays(other.replica_id, candidates)
        for other in voters
    )


def _with_details(voter: ReplicaInfo, candidates: dict[str, Candidate]) -> ReplicaInfo:
    """The voter with its zone, region and address for callers, which the seeds are not known by at first."""
    candidate = candidates.get(voter.replica_id)
    if candidate is None:
        return voter
    return msgspec.structs.replace(candidate.info, joined=voter.joined)
