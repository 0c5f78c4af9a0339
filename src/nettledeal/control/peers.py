"""What the primary knows of the other replicas."""

from __future__ import annotations

import msgspec

from nettledeal.control.composition import Candidate
from nettledeal.control.messages import NOT_GRANTED, EpochRecord, HeartbeatAck, ReplicaInfo
from nettledeal.control.state import ControlState
from nettledeal.control.timing import Timing

NEVER = float("-inf")
BEATS_KEPT = 32


class Peer(msgspec.Struct):
    """Contact and progress of one replica within an epoch.

    `acked` is the sequence that it has synced of this epoch's primary, -1 before it was reconciled.
    `behind_since` is when it was first found not to have synced what was sent to it. `life` is its process's,
    and `leaving` whether that is about to end. `admitted_at`: since when commits wait for it to catch up.
    """

    info: ReplicaInfo
    heard_at: float = NEVER
    beat: int = 0
    acked: int = -1
    sent: int = -1
    asked_at: float = NEVER
    progress_at: float = NEVER
    resend_factor: int = 1
    behind_since: float | None = None
    storage_ok: bool = True
    reading_age_s: float | None = None
    life: int = NOT_GRANTED
    leaving: bool = False
    admitted_at: float | None = None
    admit_again_at: float = NEVER
    reconciling: ControlState | None = None

    def heard(self, now: float) -> None:
        """Any message has arrived."""
        self.heard_at = now

    def live(self, now: float, timing: Timing) -> bool:
        """Whether it was heard within the bound of silence."""
        return now - self.heard_at <= timing.silence_s

    def acknowledged(self, message: HeartbeatAck) -> None:
        """Take over what a heartbeat's answer tells."""
        self.beat = max(self.beat, message.beat)
        self.storage_ok = message.storage_ok
        self.life, self.leaving = message.life, message.leaving
        age = message.reading_age_ms
        self.reading_age_s = age / 1000 if age >= 0 else None

    def synced(self, now: float, sequence: int) -> None:
        """It has synced everything up to `sequence`."""
        if sequence > self.acked:
            self.acked = sequence
            self.sent = max(self.sent, sequence)
            self.progress_at = now
            self.behind_since = None
            self.resend_factor = 1

    def candidate(self, now: float, sequence: int, timing: Timing) -> Candidate:
        """Its standing in the choice of the next epoch, where joining takes all up to `sequence`."""
        live = self.live(now, timing)
        late = self.behind_since is not None and now - self.behind_since > timing.silence_s
        return Candidate(
            info=self.info,
            live=live,
            usable=live and self.storage_ok and not late,
            caught_up=self.acked >= sequence,
            leaving=self.leaving,
        )


class Contacts:
    """The part of a primary that knows which other replicas there are; a base of `Primary`."""

    info: ReplicaInfo
    record: EpochRecord
    peers: dict[str, Peer]
    _proposed: set[str]
    _timing: Timing

    def meet(self, now: float, info: ReplicaInfo) -> Peer:
        """The peer of that identity, with its latest details."""
        if info.replica_id not in self.peers:
            self._forget_host(info.host)
        peer = self.peers.setdefault(info.replica_id, Peer(info))
        peer.info = info
        peer.heard(now)
        return peer

    def introduce(self, now: float, info: ReplicaInfo) -> None:
        """A replica that this one has heard of in an earlier epoch."""
        if info.replica_id in self.peers:
            self.peers[info.replica_id].info = info
        elif info.host not in {peer.info.host for peer in self.peers.values()}:
            self.peers[info.replica_id] = Peer(info, heard_at=now)

    def _forget_host(self, host: str) -> None:
        """Drop earlier identities at an address, apart from voters."""
        stale = [
            name
            for name, peer in self.peers.items()
            if peer.info.host == host and name not in self.record.voter_ids
        ]
        for name in stale:
            del self.peers[name]

    def quiet(self, now: float) -> bool:
        """Whether too few voters are heard to act; others may then elect another primary."""
        live = sum(
            1
            for name in self.record.voter_ids
            if name == self.info.replica_id or self.peers[name].live(now, self._timing)
        )
        return live < self.record.majority

    def last_heard(self, replica_id: str, at: float) -> None:
        """When a peer was heard last: the primary before this one may have been silent for long."""
        if replica_id in self.peers:
            self.peers[replica_id].heard_at = at

    def _forget_gone(self, now: float) -> None:
        gone = [
            name
            for name, peer in self.peers.items()
            if name not in self.record.voter_ids
            and name not in self._proposed
            and now - peer.heard_at > self._timing.gone_s
        ]
        for name in gone:
            del self.peers[name]
