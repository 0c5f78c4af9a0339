"""The section `membership` of an agent's configuration file: validation, defaults and conversion of units."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import ip_address

import msgspec

from nettledeal.configuration_files import ConfigError, parse_address_key
from nettledeal.net.address import Address
from nettledeal.net.clock import SECOND


class MembershipSection(msgspec.Struct, forbid_unknown_fields=True):
    """The section as it stands in the file."""

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
    """Membership settings of an agent; `timing` is in tenths of a millisecond."""

    listen: Address
    advertise: Address  # where other members reach it
    cluster: str
    seeds: tuple[Address, ...]
    timing: Mapping[str, int]


def membership_settings(name: str, section: MembershipSection) -> MembershipSettings:
    """Settings of the agent of that name. Raises ConfigError that names the invalid key."""
    if not 0 < len(name) <= 64:
        raise ConfigError("name: membership identifies agents by it, and it has 1 to 64 characters")
    listen = _parse_ip_address("membership.listen", section.listen)
    advertise = _parse_ip_address("membership.advertise", section.advertise) if section.advertise else listen
    if ip_address(advertise[0]).is_unspecified:
        raise ConfigError("membership.advertise: others cannot connect to a wildcard address")
    if not section.seeds:
        raise ConfigError("membership.seeds: none is named; the first agent of a cluster may name itself")
    seeds = tuple(_parse_ip_address(f"membership.seeds.{n}", seed) for n, seed in enumerate(section.seeds))
    for key, other in (("advertise", advertise), *((f"seeds.{n}", seed) for n, seed in enumerate(seeds))):
        if (":" in other[0]) != (":" in listen[0]):
            raise ConfigError(f"membership.{key}: {other[0]} is of another family than {listen[0]}")
    if not 0 < len(section.cluster) <= 64:
        raise ConfigError("membership.cluster: a name has 1 to 64 characters")
    _check_times(section)
    return MembershipSettings(
        listen,
        advertise,
        section.cluster,
        seeds,
        {
            "period": section.period_ms * 10,
            "probe": section.probe_ms * 10,
            "suspicion": section.suspicion_ms * 10,
            "spread": section.spread_ms * 10,
            "swap": section.swap_s * SECOND,
            "keep": section.keep_s * SECOND,
        },
    )


def _check_times(section: MembershipSection) -> None:
    for key in ("period_ms", "probe_ms", "suspicion_ms", "spread_ms", "swap_s", "keep_s"):
        if not 0 < getattr(section, key) <= 24 * 3600 * 1000:
            raise ConfigError(f"membership.{key}: {getattr(section, key)} is not from 1 to 86400000")
    for smaller, larger in (("probe_ms", "period_ms"), ("period_ms", "suspicion_ms")):
        if getattr(section, smaller) >= getattr(section, larger):
            lower = getattr(section, smaller)
            raise ConfigError(
                f"membership.{larger}: {getattr(section, larger)} is not above {smaller}, {lower}"
            )
    if section.keep_s * 1000 < 10 * section.suspicion_ms:
        raise ConfigError(
            f"membership.keep_s: {section.keep_s} is under ten times suspicion_ms; "
            "outdated updates circulate for that long"
        )


def _parse_ip_address(key: str, text: str) -> Address:
    """Parse an address and port. Host names are rejected: they may not resolve during an outage."""
    parsed = parse_address_key(key, text)
    try:
        ip_address(parsed[0])
    except ValueError:
        raise ConfigError(f"{key}: {parsed[0]!r} is no IP address") from None
    if not parsed[1]:
        raise ConfigError(f"{key}: a port is needed")
    return parsed
