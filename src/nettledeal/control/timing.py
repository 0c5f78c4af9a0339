"""Durations of the control protocol, in seconds, derived from the deployment's bounds."""

from __future__ import annotations

import msgspec

from nettledeal.common.settings import Bounds

HEARTBEAT_S = 0.25
SILENCE_BOUND_S = 1.0
SILENCE_SHARE_OF_ACK = 0.2
SILENCE_SHARE_OF_CONTACT = 0.25


class Timing(msgspec.Struct, frozen=True):
    """Bounds of waiting.

    A peer is silent after `silence_s`; an election follows it by a turn of `turn_s` for each candidate before
    and a random part of one. One that failed is repeated within `jitter_s`.
    """

    heartbeat_s: float = HEARTBEAT_S
    silence_s: float = SILENCE_BOUND_S
    jitter_s: float = 0.5
    turn_s: float = 0.125
    ballot_s: float = 0.8
    majority_grace_s: float = 0.12
    resend_s: float = 0.5
    reading_s: float = 1.5
    reader_grace_s: float = 1.5
    announce_s: float = 1.0
    gone_s: float = 4.0


def timing_for(bounds: Bounds) -> Timing:
    """Durations that leave room for a failover within the bound of an acknowledgement."""
    silence = min(
        SILENCE_BOUND_S,
        bounds.ack_ms / 1000 * SILENCE_SHARE_OF_ACK,
        bounds.contact_ms / 1000 * SILENCE_SHARE_OF_CONTACT,
    )
    return Timing(
        heartbeat_s=min(HEARTBEAT_S, silence / 4),
        silence_s=silence,
        jitter_s=silence / 2,
        turn_s=silence / 8,
        gone_s=bounds.contact_ms / 1000,
    )
