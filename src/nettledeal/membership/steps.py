"""What a member's state machine is given and gives back: its times, its steps and their acts."""

from __future__ import annotations

import msgspec

from nettledeal.membership.packets import Packet
from nettledeal.membership.rumours import TOLD
from nettledeal.membership.view import Order, Word
from nettledeal.net.address import Address
from nettledeal.units import Time

SECOND = 10_000


class Timing(msgspec.Struct, frozen=True):
    """Times in tenths of a millisecond."""

    period: Time = 4_000  # between two probes
    probe: Time = 1_500  # until others are asked, too
    suspicion: Time = 50_000  # the least between accusation and death
    spread: Time = 1_000  # between two rounds of news
    swap: Time = 300_000  # between two exchanges of all that is known
    keep: Time = 36_000_000  # how long the dead are remembered
    told: int = TOLD  # how often news is told, in times of the logarithm of the group
    compare: bool = False  # whether views are compared by digests before they are exchanged whole


class Send(msgspec.Struct, frozen=True):
    address: Address
    packet: Packet


class Call(msgspec.Struct, frozen=True):
    """By stream: one message there, one back, or none in time."""

    address: Address
    packet: Packet


class Changed(msgspec.Struct, frozen=True):
    """A member's word that is another than before; `before` is its state till now, None if it had none."""

    word: Word
    before: int | None


class Ordered(msgspec.Struct, frozen=True):
    order: Order


class Usurped(msgspec.Struct, frozen=True):
    """Another process bears this one's name, is younger and answers: this one says no more."""

    word: Word


Act = Send | Call | Changed | Ordered | Usurped


class Step(msgspec.Struct, frozen=True):
    acts: list[Act]
    wake: Time
