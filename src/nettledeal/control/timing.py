"""Timeouts and intervals of the control protocol, in seconds, derived from the deployment's bounds."""

from __future__ import annotations

import msgspec

from nettledeal.common.settings import Bounds

HEARTBEAT_INTERVAL_S = 0.25
MAX_SILENCE_S = 1.0
SILENCE_SHARE_OF_ACK = 0.2
SILENCE_SHARE_OF_CONTACT = 0.25


class Timing(msgspec.Struct, frozen=True):
    """Timeouts and intervals.

    A peer counts as silent after `silence_s`. An election starts after that, delayed by `election_stagger_s`
    for each candidate earlier in order plus a random fraction of it. A failed election is retried after a
    random delay of up to `retry_jitter_s`.
    """

    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    silence_s: float = MAX_SILENCE_S
    retry_jitter_s: float = 0.5
    election_stagger_s: float = 0.125
    ballot_timeout_s: float = 0.8
    majority_grace_s: float = 0.12
    resend_after_s: float = 0.5
    max_reading_age_s: float = 1.5
    reader_grace_s: float = 1.5
    announce_interval_s: float = 1.0
    forget_after_s: float = 4.0


def timing_for(bounds: Bounds) -> Timing:
    """Durations that allow a failover to complete within the acknowledgement bound."""
    silence = min(
        MAX_SILENCE_S,
        bounds.ack_ms / 1000 * SILENCE_SHARE_OF_ACK,
        bounds.contact_ms / 1000 * SILENCE_SHARE_OF_CONTACT,
    )
    return Timing(
        heartbeat_interval_s=min(HEARTBEAT_INTERVAL_S, silence / 4),
        silence_s=silence,
        retry_jitter_s=silence / 2,
        election_stagger_s=silence / 8,
        forget_after_s=bounds.contact_ms / 1000,
    )
