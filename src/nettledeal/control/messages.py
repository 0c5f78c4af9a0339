"""The messages that core machines exchange; each is a tagged array on the wire."""

from __future__ import annotations

import msgspec

from nettledeal.common.messages import MessageCodec
from nettledeal.control.state import Change


class ReplicaInfo(msgspec.Struct, frozen=True, array_like=True):
    """A replica: its identity, which belongs to its disk, and where it runs.

    `joined` is the epoch that made it a voter.
    """

    replica_id: str
    host: str
    zone: str = ""
    region: str = ""
    control_plane: str = ""
    joined: int = 0


class EpochRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a majority of the voters of the epoch before has decided. Epoch 0 has no primary.

    `cluster` is drawn with epoch 1 and stays; empty in records of releases that had none.
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
    """An attempt to decide an epoch; attempts are ordered.

    `nonce` is random, so that a proposer that restarted cannot use a ballot of its earlier life again.
    """

    round: int = 0
    replica_id: str = ""
    nonce: int = 0


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    pass


class Hello(_Message, tag=1):
    """First on every connection: who sends on it, and the last epoch that it knows."""

    sender: ReplicaInfo
    record: EpochRecord | None


class RecordRequest(_Message, tag=2):
    """Asks for a decided record of a later epoch than `epoch`."""

    epoch: int


class Decided(_Message, tag=3):
    """A decided record."""

    record: EpochRecord


class RecordStored(_Message, tag=4):
    """The sender has stored the record of `epoch`."""

    epoch: int


class Prepare(_Message, tag=5):
    """First phase of deciding `base.epoch + 1`."""

    ballot: Ballot
    base: EpochRecord


class Promise(_Message, tag=6):
    """The sender takes part in no lower ballot of `epoch`; with what it has accepted so far."""

    epoch: int
    ballot: Ballot
    accepted_ballot: Ballot
    accepted: EpochRecord | None


class Accept(_Message, tag=7):
    """Second phase: the record proposed."""

    ballot: Ballot
    record: EpochRecord


class Accepted(_Message, tag=8):
    """The sender has accepted the record of `ballot`."""

    epoch: int
    ballot: Ballot


class Rejected(_Message, tag=9):
    """The sender has promised another ballot, or (`has_primary`) hears the primary and wants no election."""

    epoch: int
    ballot: Ballot
    promised: Ballot
    has_primary: bool


# In a heartbeat: the primary is of a release that grants the reader's part to no particular life.
NO_LIVES = -1
# In a heartbeat: the reader's present life is not known yet; nobody acts as the reader.
NOT_GRANTED = 0


class Heartbeat(_Message, tag=10):
    """From the primary. `age_ms`: since when its state is confirmed; negative while it cannot act.

    The replica `reader` reads the platform's list in the one life of its process that `reader_life` names
    (or NO_LIVES, NOT_GRANTED). `released`: the receiver has said that it is leaving, and the epoch, which a
    majority has stored, needs it no more.
    """

    epoch: int
    beat: int
    committed: int
    age_ms: int
    reader: str
    reader_number: int
    reader_life: int = NO_LIVES
    released: bool = False


class HeartbeatAck(_Message, tag=11):
    """What the sender has on its disk: `sequence` of the primary of `synced_epoch`.

    `reading_age_ms` is the age of its last good reading of the platform's list, negative if there is none.
    `life` is drawn by each process at its start, 0 in releases without. `leaving`: the process is about to
    end.
    """

    epoch: int
    beat: int
    synced_epoch: int
    sequence: int
    storage_ok: bool
    reading_age_ms: int
    life: int = 0
    leaving: bool = False


class Append(_Message, tag=12):
    """One change of the primary of `epoch`."""

    epoch: int
    sequence: int
    changes: tuple[Change, ...]
    committed: int


class Appended(_Message, tag=13):
    """The sender has synced everything up to `sequence` of the primary of `epoch`."""

    epoch: int
    sequence: int


class Reconcile(_Message, tag=14):
    """Digests of the primary's key ranges, for a replica whose state is of an earlier epoch."""

    epoch: int
    sequence: int
    digests: tuple[int, ...]


class RangesWanted(_Message, tag=15):
    """The ranges in which the sender differs from the digests of `sequence`."""

    epoch: int
    sequence: int
    ranges: tuple[int, ...]


class Ranges(_Message, tag=16):
    """The whole contents of some ranges at `sequence`."""

    epoch: int
    sequence: int
    ranges: tuple[int, ...]
    entries: tuple[Change, ...]


class ForeignCluster(_Message, tag=17):
    """The answer to a Hello of another cluster's replica: the sender's cluster."""

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

    Proposals of epoch 1 are left out: each has an identity for the cluster, and one of them is decided.
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
