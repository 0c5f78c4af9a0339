"""The primary's view of the other replicas."""

from __future__ import annotations

import msgspec

from nettledeal.control.epoch_membership import Candidate
from nettledeal.control.messages import NOT_GRANTED, EpochRecord, HeartbeatAck, ReplicaInfo
from nettledeal.control.state import ControlState
from nettledeal.control.timing import Timing

NEVER = float("-inf")
HEARTBEAT_TIMES_KEPT = 32


class Peer(msgspec.Struct):
    """Contact with one replica, and its progress within an epoch.

    `acked_sequence` is the last sequence of this epoch's primary that it has synced, -1 before it was
    reconciled. `behind_since` is when it was first found to lag behind what was sent to it. `incarnation` is
    that of its process, and `leaving` whether the process is shutting down. `admitted_at`: since when commits
    wait for it to catch up.
    """

    info: ReplicaInfo
    heard_at: float = NEVER
    acked_heartbeat: int = 0
    acked_sequence: int = -1
    sent_sequence: int = -1
    reconcile_sent_at: float = NEVER
    last_progress_at: float = NEVER
    resend_factor: int = 1
    behind_since: float | None = None
    storage_ok: bool = True
    reading_age_s: float | None = None
    incarnation: int = NOT_GRANTED
    leaving: bool = False
    admitted_at: float | None = None
    admit_again_at: float = NEVER
    reconciling: ControlState | None = None

    def mark_heard(self, now: float) -> None:
        """Record the arrival of any message from it."""
        self.heard_at = now

    def is_live(self, now: float, timing: Timing) -> bool:
        """Whether it was heard within `silence_s`."""
        return now - self.heard_at <= timing.silence_s

    def update_from_ack(self, message: HeartbeatAck) -> None:
        """Update the status fields from a heartbeat's answer."""
        self.acked_heartbeat = max(self.acked_heartbeat, message.heartbeat_number)
        self.storage_ok = message.storage_ok
        self.incarnation, self.leaving = message.incarnation, message.leaving
        age = message.reading_age_ms
        self.reading_age_s = age / 1000 if age >= 0 else None

    def mark_synced(self, now: float, sequence: int) -> None:
        """Record that it has synced everything up to `sequence`."""
        if sequence > self.acked_sequence:
            self.acked_sequence = sequence
            self.sent_sequence = max(self.sent_sequence, sequence)
            self.last_progress_at = now
            self.behind_since = None
            self.resend_factor = 1

    def to_candidate(self, now: float, sequence: int, timing: Timing) -> Candidate:
        """Its status for choosing the next epoch; joining requires everything up to `sequence`."""
        live = self.is_live(now, timing)
        late = self.behind_since is not None and now - self.behind_since > timing.silence_s
        return Candidate(
            info=self.info,
            live=live,
            usable=live and self.storage_ok and not late,
            caught_up=self.acked_sequence >= sequence,
            leaving=self.leaving,
        )


class PeerTracking:
    """Mixin of `Primary` that tracks which other replicas exist and when they were heard."""

    info: ReplicaInfo
    record: EpochRecord
    peers: dict[str, Peer]
    _proposed_members: set[str]
    _timing: Timing

    def update_peer(self, now: float, info: ReplicaInfo) -> Peer:
        """Record a message from a replica and update its details; returns its peer."""
        if info.replica_id not in self.peers:
            self._forget_earlier_identities(info.host)
        peer = self.peers.setdefault(info.replica_id, Peer(info))
        peer.info = info
        peer.mark_heard(now)
        return peer

    def add_known_peer(self, now: float, info: ReplicaInfo) -> None:
        """Add a replica that this one heard from in an earlier epoch."""
        if info.replica_id in self.peers:
            self.peers[info.replica_id].info = info
        elif info.host not in {peer.info.host for peer in self.peers.values()}:
            self.peers[info.replica_id] = Peer(info, heard_at=now)

    def _forget_earlier_identities(self, host: str) -> None:
        """Drop earlier identities at an address, except voters."""
        stale = [
            name
            for name, peer in self.peers.items()
            if peer.info.host == host and name not in self.record.voter_ids
        ]
        for name in stale:
            del self.peers[name]

    def lacks_majority(self, now: float) -> bool:
        """Whether fewer than a majority of the voters are heard; others may then elect another primary."""
        live = sum(
            1
            for name in self.record.voter_ids
            if name == self.info.replica_id or self.peers[name].is_live(now, self._timing)
        )
        return live < self.record.majority

    def set_last_heard(self, replica_id: str, at: float) -> None:
        """Set when a peer was last heard; the previous primary may have been silent for a long time."""
        if replica_id in self.peers:
            self.peers[replica_id].heard_at = at

    def _forget_silent_peers(self, now: float) -> None:
        gone = [
            name
            for name, peer in self.peers.items()
            if name not in self.record.voter_ids
            and name not in self._proposed_members
            and now - peer.heard_at > self._timing.forget_after_s
        ]
        for name in gone:
            del self.peers[name]
