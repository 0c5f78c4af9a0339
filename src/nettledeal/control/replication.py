"""Replication from the primary to its peers: appends, and reconciliation by range digests after a gap.

Sans-I/O mixin of `Primary`, which owns the state that the mixins share.
"""

from __future__ import annotations

from nettledeal.control.change_log import ChangeLog
from nettledeal.control.effects import Outbox
from nettledeal.control.messages import (
    Append,
    Appended,
    EpochRecord,
    HeartbeatAck,
    Ranges,
    RangesWanted,
    Reconcile,
)
from nettledeal.control.peers import Peer
from nettledeal.control.replicated_state import ReplicatedState, range_digests, range_entries
from nettledeal.control.timing import Timing

# Limits on unacknowledged data in flight to one replica.
WINDOW_CHANGES = 128
WINDOW_BYTES = 256 << 10
# The resend interval doubles for a replica that acknowledges nothing, up to this multiple.
MAX_RESEND_FACTOR = 4


class Replication:
    """Sends each peer the changes that it lacks and processes its acknowledgements."""

    record: EpochRecord
    acting: bool
    peers: dict[str, Peer]
    _replicated: ReplicatedState
    _outbox: Outbox
    _timing: Timing
    _record_holders: set[str]
    _change_log: ChangeLog

    def advance_commits(self, now: float) -> bool:
        """Commit what all required peers have synced, and answer settled calls."""
        raise NotImplementedError

    def reconcile_record_holders(self, now: float) -> None:
        """Start reconciling peers that have stored the record, without waiting for a heartbeat's answer."""
        if not self.acting:
            return
        for name, peer in self.peers.items():
            if name in self._record_holders and peer.acked_sequence < 0:
                self._reconcile(now, peer)

    def on_heartbeat_ack(self, now: float, peer: Peer, message: HeartbeatAck) -> None:
        """Handle the answer to a heartbeat."""
        peer.update_from_ack(message)
        if message.synced_epoch == self.record.epoch:
            self.on_appended(now, peer, Appended(message.epoch, message.sequence))
        elif self.acting:
            self._reconcile(now, peer)
        self.advance_commits(now)

    def on_appended(self, now: float, peer: Peer, message: Appended) -> None:
        """A peer has synced changes."""
        peer.mark_synced(now, message.sequence)
        self._send_appends(now, peer)
        self.advance_commits(now)

    def on_ranges_wanted(self, peer: Peer, message: RangesWanted) -> None:
        """A peer requests the ranges in which it differs."""
        state = peer.reconciling
        if state is None or state.sequence != message.sequence:
            return
        entries = range_entries(state, message.ranges)
        self._send(peer, Ranges(self.record.epoch, state.sequence, message.ranges, entries))

    def _reconcile(self, now: float, peer: Peer) -> None:
        if now - peer.reconcile_sent_at <= self._timing.resend_after_s:
            return
        peer.reconcile_sent_at = now
        peer.reconciling = self._replicated.latest
        digests = range_digests(peer.reconciling)
        self._send(peer, Reconcile(self.record.epoch, peer.reconciling.sequence, digests))

    def _send_appends(self, now: float, peer: Peer) -> None:
        latest = self._replicated.latest.sequence
        if peer.acked_sequence >= latest:
            return
        if peer.behind_since is None:
            peer.behind_since = now
        if peer.acked_sequence < 0:
            return
        if now - peer.last_progress_at > self._timing.resend_after_s * peer.resend_factor:
            if peer.sent_sequence > peer.acked_sequence:
                peer.resend_factor = min(MAX_RESEND_FACTOR, 2 * peer.resend_factor)
            peer.sent_sequence, peer.last_progress_at = peer.acked_sequence, now
        if not peer.is_live(now, self._timing):
            return
        for sequence in range(peer.sent_sequence + 1, latest + 1):
            changes = self._change_log.get(sequence)
            if changes is None:
                self._reconcile(now, peer)
                return
            if self._window_is_full(peer):
                return
            committed = self._replicated.committed_sequence
            self._send(peer, Append(self.record.epoch, sequence, changes, committed))
            peer.sent_sequence = sequence

    def _window_is_full(self, peer: Peer) -> bool:
        """Whether the peer must acknowledge something before more is sent to it."""
        if peer.sent_sequence - peer.acked_sequence >= WINDOW_CHANGES:
            return True
        return self._change_log.bytes_between(peer.acked_sequence, peer.sent_sequence) >= WINDOW_BYTES

    def _send(self, peer: Peer, message: object) -> None:
        self._outbox.send(peer.info.host, message)
