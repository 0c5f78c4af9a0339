"""Messages between core machines; each is a tagged array on the wire."""

from __future__ import annotations

import msgspec

from nettledeal.common.messages import MessageCodec
from nettledeal.control.state import Change


class ReplicaInfo(msgspec.Struct, frozen=True, array_like=True):
    """A replica: its identity, which is stored on its disk, and where it runs.

    `joined_epoch` is the epoch that made it a voter.
    """

    replica_id: str
    host: str
    zone: str = ""
    region: str = ""
    control_plane: str = ""
    joined_epoch: int = 0


class EpochRecord(msgspec.Struct, frozen=True, array_like=True):
    """An epoch as decided by a majority of the previous epoch's voters. Epoch 0 has no primary.

    `cluster` is drawn at random for epoch 1 and never changes; records of older releases leave it empty.
    """

    epoch: int
    primary: str
    in_sync: tuple[str, ...]
    voters: tuple[ReplicaInfo, ...]
    cluster: str = ""

    @property
    def voter_ids(self) -> frozenset[str]:
        """The identities of the voters."""
        return frozenset(voter.replica_id for voter in self.voters)

    @property
    def majority(self) -> int:
        """How many voters decide the next epoch."""
        return len(self.voters) // 2 + 1


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The number of one attempt to decide an epoch; ballots are totally ordered.

    `nonce` is random, so that a restarted proposer can't reuse a ballot of its previous incarnation.
    """

    round: int = 0
    replica_id: str = ""
    nonce: int = 0


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    pass


class Hello(_Message, tag=1):
    """The first message on every connection: its sender, and the last epoch that the sender knows."""

    sender: ReplicaInfo
    record: EpochRecord | None


class RecordRequest(_Message, tag=2):
    """Requests a decided record of an epoch later than `epoch`."""

    epoch: int


class Decided(_Message, tag=3):
    """A decided record."""

    record: EpochRecord


class RecordStored(_Message, tag=4):
    """The sender has stored the record of `epoch`."""

    epoch: int


class Prepare(_Message, tag=5):
    """Phase 1 of the consensus on epoch `base.epoch + 1`."""

    ballot: Ballot
    base: EpochRecord


class Promise(_Message, tag=6):
    """The sender won't vote in any lower ballot of `epoch`; carries what it has accepted so far."""

    epoch: int
    ballot: Ballot
    accepted_ballot: Ballot
    accepted: EpochRecord | None


class Accept(_Message, tag=7):
    """Phase 2: the proposed record."""

    ballot: Ballot
    record: EpochRecord


class Accepted(_Message, tag=8):
    """The sender has accepted the record of `ballot`."""

    epoch: int
    ballot: Ballot


class Rejected(_Message, tag=9):
    """The sender has promised a higher ballot, or (`has_primary`) still hears the primary."""

    epoch: int
    ballot: Ballot
    promised: Ballot
    has_primary: bool


# In a heartbeat: the primary runs a release that doesn't bind the reader role to an incarnation.
NO_INCARNATIONS = -1
# In a heartbeat: the reader's current incarnation isn't known yet, so nobody may act as the reader.
NOT_GRANTED = 0


class Heartbeat(_Message, tag=10):
    """Sent by the primary. `age_ms`: age of its last confirmation as primary; negative without a majority.

    The replica `reader` reads the platform's list, and only in the incarnation of its process that
    `reader_incarnation` names (or NO_INCARNATIONS, NOT_GRANTED). `released`: the receiver has announced that
    it is leaving, and the epoch, which a majority has stored, no longer needs it.
    """

    epoch: int
    heartbeat_number: int
    committed: int
    age_ms: int
    reader: str
    reader_number: int
    reader_incarnation: int = NO_INCARNATIONS
    released: bool = False


class HeartbeatAck(_Message, tag=11):
    """What the sender has synced: everything up to `sequence` of the primary of `synced_epoch`.

    `reading_age_ms` is the age of its last successful reading of the platform's list, negative if there is
    none. `incarnation` is drawn at random at each process start, 0 in releases that have none. `leaving`:
    the process is shutting down.
    """

    epoch: int
    heartbeat_number: int
    synced_epoch: int
    sequence: int
    storage_ok: bool
    reading_age_ms: int
    incarnation: int = 0
    leaving: bool = False


class Append(_Message, tag=12):
    """The changes of one sequence from the primary of `epoch`."""

    epoch: int
    sequence: int
    changes: tuple[Change, ...]
    committed: int


class Appended(_Message, tag=13):
    """The sender has synced everything up to `sequence` of the primary of `epoch`."""

    epoch: int
    sequence: int


class Reconcile(_Message, tag=14):
    """Digests of the primary's key ranges, for a replica whose state is from an earlier epoch."""

    epoch: int
    sequence: int
    digests: tuple[int, ...]


class RangesWanted(_Message, tag=15):
    """Requests the ranges in which the sender differs from the digests of `sequence`."""

    epoch: int
    sequence: int
    ranges: tuple[int, ...]


class Ranges(_Message, tag=16):
    """The complete contents of the requested ranges at `sequence`."""

    epoch: int
    sequence: int
    ranges: tuple[int, ...]
    entries: tuple[Change, ...]


class ForeignCluster(_Message, tag=17):
    """Refuses the Hello of a replica of another cluster; carries the sender's cluster."""

    cluster: str


Message = (
    Hello
    | RecordRequest
    | Decided
    | RecordStored
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Rejected
    | Heartbeat
    | HeartbeatAck
    | Append
    | Appended
    | Reconcile
    | RangesWanted
    | Ranges
    | ForeignCluster
)


def record_in(message: Message) -> EpochRecord | None:
    """The record that a message carries, decided or proposed.

    Proposals of epoch 1 are ignored: each proposes its own cluster identity, of which one is decided.
    """
    match message:
        case Hello() | Decided():
            return message.record
        case Accept() if message.record.epoch > 1:
            return message.record
        case Prepare():
            return message.base
    return None


CODEC: MessageCodec[Message] = MessageCodec(Message)
