"""Input and output of a member's state machine: its timing parameters, and the actions that its host carries
out after each call."""

from __future__ import annotations

import msgspec

from nettledeal.membership.packets import Packet
from nettledeal.membership.piggyback import RETRANSMIT_FACTOR
from nettledeal.membership.view import MemberRecord, OperatorOrder
from nettledeal.net.address import Address
from nettledeal.units import Time

SECOND = 10_000


class Timing(msgspec.Struct, frozen=True):
    """Timing of the protocol, in tenths of a millisecond."""

    period: Time = 4_000  # between two probes
    probe: Time = 1_500  # until a probe without an ack is repeated through other members
    suspicion: Time = 50_000  # minimum time from suspicion to death
    spread: Time = 1_000  # between two gossip rounds
    swap: Time = 300_000  # between two full view exchanges (push-pull)
    keep: Time = 36_000_000  # how long dead members are remembered
    told: int = RETRANSMIT_FACTOR  # transmissions of an update per log10 of the group size
    compare: bool = False  # whether views are compared by digest before they are exchanged in full


class SendDatagram(msgspec.Struct, frozen=True):
    address: Address
    packet: Packet


class StreamRequest(msgspec.Struct, frozen=True):
    """Send one message over a stream and read one answer; no answer within the timeout is reported, too."""

    address: Address
    packet: Packet


class MemberChanged(msgspec.Struct, frozen=True):
    """A member's record has changed. `previous_state` is None if no record of this process was known."""

    record: MemberRecord
    previous_state: int | None


class OrderReceived(msgspec.Struct, frozen=True):
    order: OperatorOrder


class NameConflict(msgspec.Struct, frozen=True):
    """Another process with this member's name started later and answers: this member goes silent."""

    record: MemberRecord


class Joined(msgspec.Struct, frozen=True):
    """Views were exchanged with another member for the first time: this member knows the group."""


Action = SendDatagram | StreamRequest | MemberChanged | OrderReceived | NameConflict | Joined


class Step(msgspec.Struct, frozen=True):
    actions: list[Action]
    wake_at: Time  # when `on_timer` is due
