"""The part of a primary that brings its changes to the other replicas: appends, range digests after a gap.

Sans-I/O; a base of `Primary`, which keeps the state that the parts share.
"""

from __future__ import annotations

from nettledeal.control.change_log import ChangeLog
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
from nettledeal.control.replicated import Replicated, range_digests, range_entries
from nettledeal.control.steps import Outbox
from nettledeal.control.timing import Timing

# What may be on its way to one replica unacknowledged.
WINDOW_CHANGES = 128
WINDOW_BYTES = 256 << 10
# One that acknowledges nothing is sent the same again ever more rarely, up to this multiple of the time.
MAX_RESEND_FACTOR = 4


class Replication:
    """Sends each peer what it lacks of the latest version, and takes its acknowledgements."""

    record: EpochRecord
    acting: bool
    peers: dict[str, Peer]
    _replicated: Replicated
    _outbox: Outbox
    _timing: Timing
    _stored: set[str]
    _log: ChangeLog

    def progress(self, now: float) -> bool:
        """Commit and answer what has become so; whether anything was committed."""
        raise NotImplementedError

    def reconcile_stored(self, now: float) -> None:
        """Reconcile those that have stored the record, without waiting for a heartbeat's answer."""
        if not self.acting:
            return
        for name, peer in self.peers.items():
            if name in self._stored and peer.acked < 0:
                self._reconcile(now, peer)

    def acknowledged(self, now: float, peer: Peer, message: HeartbeatAck) -> None:
        """A heartbeat's answer."""
        peer.acknowledged(message)
        if message.synced_epoch == self.record.epoch:
            self.appended(now, peer, Appended(message.epoch, message.sequence))
        elif self.acting:
            self._reconcile(now, peer)
        self.progress(now)

    def appended(self, now: float, peer: Peer, message: Appended) -> None:
        """A peer has synced changes."""
        peer.synced(now, message.sequence)
        self._send_appends(now, peer)
        self.progress(now)

    def ranges_wanted(self, peer: Peer, message: RangesWanted) -> None:
        """A peer differs in some ranges."""
        state = peer.reconciling
        if state is None or state.sequence != message.sequence:
            return
        entries = range_entries(state, message.ranges)
        self._send(peer, Ranges(self.record.epoch, state.sequence, message.ranges, entries))

    def _reconcile(self, now: float, peer: Peer) -> None:
        if now - peer.asked_at <= self._timing.resend_s:
            return
        peer.asked_at = now
        peer.reconciling = self._replicated.latest
        digests = range_digests(peer.reconciling)
        self._send(peer, Reconcile(self.record.epoch, peer.reconciling.sequence, digests))

    def _send_appends(self, now: float, peer: Peer) -> None:
        latest = self._replicated.latest.sequence
        if peer.acked >= latest:
            return
        if peer.behind_since is None:
            peer.behind_since = now
        if peer.acked < 0:
            return
        if now - peer.progress_at > self._timing.resend_s * peer.resend_factor:
            if peer.sent > peer.acked:
                peer.resend_factor = min(MAX_RESEND_FACTOR, 2 * peer.resend_factor)
            peer.sent, peer.progress_at = peer.acked, now
        if not peer.live(now, self._timing):
            return
        for sequence in range(peer.sent + 1, latest + 1):
            changes = self._log.get(sequence)
            if changes is None:
                self._reconcile(now, peer)
                return
            if self._window_is_full(peer):
                return
            committed = self._replicated.committed_sequence
            self._send(peer, Append(self.record.epoch, sequence, changes, committed))
            peer.sent = sequence

    def _window_is_full(self, peer: Peer) -> bool:
        """Whether a peer has to acknowledge something before it is sent more."""
        if peer.sent - peer.acked >= WINDOW_CHANGES:
            return True
        return self._log.bytes_between(peer.acked, peer.sent) >= WINDOW_BYTES

    def _send(self, peer: Peer, message: object) -> None:
        self._outbox.send(peer.info.host, message)
