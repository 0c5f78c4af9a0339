"""Reads and validates an agent's configuration, and fills in defaults.

`EDGE_CONFIG` is the path of the file; `EDGE_NAME`, `EDGE_LISTEN`, `EDGE_DISCOVERY` and `EDGE_ADMIN_ADDR` are
used for what the file leaves out. Every error names the key at fault.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from nettledeal.configuration_files import ConfigError, decode_config, parse_address_key
from nettledeal.deployment_settings import flatten_settings
from nettledeal.membership_settings import MembershipSection, MembershipSettings, membership_settings
from nettledeal.net.address import Address
from nettledeal.net.clock import SECOND


class _Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024
    longest_mb: int = 40


class _File(msgspec.Struct):
    name: str = ""
    listen: str = ""
    discovery: str = ""
    admin_addr: str = ""
    seed: str = "0"
    limits: _Limits = msgspec.field(default_factory=_Limits)
    known: dict[str, Any] = msgspec.field(default_factory=dict)
    settings: dict[str, Any] = msgspec.field(default_factory=dict)
    log_level: str = "info"
    membership: MembershipSection | None = None


@dataclass(frozen=True, slots=True)
class Configuration:
    """The validated configuration of an agent."""

    name: str
    listen: Address
    discovery: Address
    admin: Address | None  # the admin port
    seed: int
    memory_mb: int
    sockets: int
    longest: int  # the largest body of any message, in bytes
    known: dict[str, Any]
    settings: Mapping[str, Any]  # flat, by dotted names, with the internal names of effects and units
    log_level: str
    keys: Mapping[str, Any]  # the content of the file, nested
    membership: MembershipSettings | None = None

    def setting(self, name: str) -> Any:
        """A setting used by the agent itself rather than by the policy module."""
        return self.settings.get(name, _DEFAULTS[name])

    def default_timeouts(self) -> dict[str, int]:
        """The timeout of requests that state none, by category."""
        indices = self.indices_by_name("categories").items()
        return {name: self.settings.get(f"categories.{n}.expiry", SECOND) for name, n in indices}

    def subtree(self, name: str) -> dict[str, Any]:
        """The setting of this name and all settings below it."""
        prefix = name + "."
        return {key: self.settings[key] for key in self.settings if key == name or key.startswith(prefix)}

    def text_list(self, name: str) -> list[str]:
        """A setting that is a list of texts."""
        return [part for part in str(self.settings.get(name, "")).split(",") if part]

    def indices_by_name(self, group: str) -> dict[str, int]:
        """The indices of a group's entries, such as categories, by the names that requests use."""
        count = self.settings.get(f"{group}.count", 0)
        return {str(self.settings.get(f"{group}.{n}.name", n)): n for n in range(count)}


# Defaults of the settings that the agent itself uses. The policy module has its own defaults for the others.
_DEFAULTS = {
    "allowed.connect_timeout": SECOND,
    "allowed.conn_idle": 10 * SECOND,
    "allowed.max_open": 10_000,
    "discovery": "pushed",
    "feedback.via": "silent",
}
_LOG_LEVELS = ("debug", "info", "warning", "error")


def read_configuration(environment: Mapping[str, str]) -> Configuration:
    path = environment.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG: not set; it names the configuration file")
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"EDGE_CONFIG: {path} cannot be read: {error.strerror}") from None
    return parse_configuration(raw, environment)


def parse_configuration(raw: bytes, environment: Mapping[str, str]) -> Configuration:
    file = decode_config(raw, _File)
    for key, minimum in (("memory_mb", 24), ("sockets", 32), ("longest_mb", 1)):
        if getattr(file.limits, key) < minimum:
            value = getattr(file.limits, key)
            raise ConfigError(f"limits.{key}: {value} is less than the minimum of {minimum}")
    if file.log_level not in _LOG_LEVELS:
        raise ConfigError(f"log_level: {file.log_level!r} is not one of {', '.join(_LOG_LEVELS)}")
    try:
        seed = int(file.seed, 16)
    except ValueError:
        raise ConfigError(f"seed: {file.seed!r} is not a hexadecimal number") from None
    section = file.membership
    admin = file.admin_addr or environment.get("EDGE_ADMIN_ADDR", "")
    return Configuration(
        name=file.name or environment.get("EDGE_NAME", "agent"),
        listen=parse_address_key("listen", file.listen or environment.get("EDGE_LISTEN", "")),
        discovery=parse_address_key("discovery", file.discovery or environment.get("EDGE_DISCOVERY", "")),
        admin=parse_address_key("admin_addr", admin) if admin else None,
        seed=seed,
        memory_mb=file.limits.memory_mb,
        sockets=file.limits.sockets,
        longest=file.limits.longest_mb * 1_000_000,
        known=file.known,
        settings=flatten_settings(file.settings),
        log_level=file.log_level,
        keys=_decode_keys(raw),
        membership=None if section is None else membership_settings(file.name, section),
    )


def _decode_keys(raw: bytes) -> dict[str, Any]:
    keys = msgspec.json.decode(raw, type=dict[str, Any])
    # The known instances may be many; for comparing two files it is enough that the key is present.
    return keys | {"known": {}} if "known" in keys else keys
