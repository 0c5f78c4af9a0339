"""The key `membership` of an agent's file: read, checked and given defaults."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import ip_address

import msgspec

from nettledeal.configuration_files import ConfigError, address
from nettledeal.net.address import Address
from nettledeal.net.clock import SECOND


class MembershipSection(msgspec.Struct, forbid_unknown_fields=True):
    """The key as the file has it."""

    listen: str
    seeds: list[str]
    advertise: str = ""
    cluster: str = "fleet"
    period_ms: int = 400
    probe_ms: int = 150
    suspicion_ms: int = 5000
    spread_ms: int = 100
    swap_s: int = 30
    keep_s: int = 3600


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """How an agent talks with others, where it may: `timing` in tenths of a millisecond."""

    listen: Address
    advertise: Address  # where others reach it
    cluster: str
    seeds: tuple[Address, ...]
    timing: Mapping[str, int]


def membership_settings(name: str, told: MembershipSection) -> MembershipSettings:
    """Those of the agent of that name. Raises ConfigError naming the key at fault."""
    if not 0 < len(name) <= 64:
        raise ConfigError("name: agents that talk are told apart by it, and it has up to 64 characters")
    listen = _place("membership.listen", told.listen)
    advertise = _place("membership.advertise", told.advertise) if told.advertise else listen
    if ip_address(advertise[0]).is_unspecified:
        raise ConfigError("membership.advertise: others cannot reach it at an address that stands for all")
    if not told.seeds:
        raise ConfigError("membership.seeds: none is named; the first agent of all may name itself")
    seeds = tuple(_place(f"membership.seeds.{n}", seed) for n, seed in enumerate(told.seeds))
    for key, place in (("advertise", advertise), *((f"seeds.{n}", seed) for n, seed in enumerate(seeds))):
        if (":" in place[0]) != (":" in listen[0]):
            raise ConfigError(f"membership.{key}: {place[0]} is of another family than {listen[0]}")
    if not 0 < len(told.cluster) <= 64:
        raise ConfigError("membership.cluster: a name has 1 to 64 characters")
    _check_times(told)
    return MembershipSettings(
        listen,
        advertise,
        told.cluster,
        seeds,
        {
            "period": told.period_ms * 10,
            "probe": told.probe_ms * 10,
            "suspicion": told.suspicion_ms * 10,
            "spread": told.spread_ms * 10,
            "swap": told.swap_s * SECOND,
            "keep": told.keep_s * SECOND,
        },
    )


def _check_times(told: MembershipSection) -> None:
    for key in ("period_ms", "probe_ms", "suspicion_ms", "spread_ms", "swap_s", "keep_s"):
        if not 0 < getattr(told, key) <= 24 * 3600 * 1000:
            raise ConfigError(f"membership.{key}: {getattr(told, key)} is no number from 1 to a day")
    for less, more in (("probe_ms", "period_ms"), ("period_ms", "suspicion_ms")):
        if getattr(told, less) >= getattr(told, more):
            last = getattr(told, less)
            raise ConfigError(f"membership.{more}: {getattr(told, more)} is not above {less}, {last}")
    if told.keep_s * 1000 < 10 * told.suspicion_ms:
        raise ConfigError(
            f"membership.keep_s: {told.keep_s} is under ten times suspicion_ms; old news lasts so"
        )


def _place(key: str, text: str) -> Address:
    """Of agents among each other: numbers, as names would have to be looked up amid an outage."""
    place = address(key, text)
    try:
        ip_address(place[0])
    except ValueError:
        raise ConfigError(f"{key}: {place[0]!r} is no IP address") from None
    if not place[1]:
        raise ConfigError(f"{key}: a port is needed")
    return place
