"""The settings file of a process: read, checked and given defaults.

Durations in the file are milliseconds or seconds as their names say; properties of `Settings` give seconds.
Unknown fields are ignored, so a file of a newer deployment can be read.
"""

from __future__ import annotations

import os
import tomllib
from pathlib import Path

import msgspec

from nettledeal.common.addresses import Address, InternalPort, parse_address
from nettledeal.common.errors import ErrorCode, ServingError

SETTINGS_VARIABLE = "NETTLEDEAL_SETTINGS"


class Listen(msgspec.Struct, frozen=True):
    """Addresses on which a process serves callers from outside."""

    frontend: str | None = None
    readiness: str | None = None
    control_plane: str | None = None
    directory: str | None = None


class Limits(msgspec.Struct, frozen=True):
    """Resources of one process."""

    cpu_share: float = 1.0
    cores: int = 1
    memory_mb: int = 256
    max_fds: int = 1024
    link_mbps: float = 1000.0
    disk_mb: int = 0


class FaultTolerance(msgspec.Struct, frozen=True):
    """What may be lost at one time while every guarantee still holds."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


# Clients ask anew where to go after this long, so that they leave a dead machine soon.
RESOLVE_TTL_S = 1.0
# Some clients hold on to an answer for this many times its lifetime.
RESOLVE_HOLD_FACTOR = 3.0


class Bounds(msgspec.Struct, frozen=True):
    """Figures of the guarantees in force; names and units follow the file."""

    seed_lag_s: float = 3.0
    reuse_after_s: float = 2.0
    contact_ms: float = 4000.0
    ack_ms: float = 5000.0
    catch_up_s: float = 4.0
    drain_ms: float = 4000.0
    grace_s: float = 8.0
    loss_slack_ms: float = 200.0
    config_apply_ms: float = 2500.0
    rollback_slack_ms: float = 250.0
    max_skew_ms: float = 6000.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    retry_budget_slack: float = 10.0
    warmup_overage: float = 1.5
    warmup_slack: float = 5.0
    evacuate_ms: float = 5000.0
    recovery_s: float = 12.0
    pass_ms: float = 300.0
    again_s: float = 10.0
    ttl_max_s: float = 5.0

    @property
    def resolve_ttl_s(self) -> float:
        """The lifetime of an answer of the registry."""
        return min(RESOLVE_TTL_S, self.ttl_max_s)

    @property
    def resolve_hold_s(self) -> float:
        """By so long after it has left the answers a machine gets no new connections from clients that
        reached the registry."""
        return RESOLVE_HOLD_FACTOR * self.resolve_ttl_s


class Cloud(msgspec.Struct, frozen=True):
    """The platform's list of backends."""

    address: str
    rate_per_s: float = 10.0
    max_lag_ms: float = 1000.0


class Settings(msgspec.Struct, frozen=True):
    """One process's settings file."""

    node_name: str
    role: str
    machine_class: str
    serves: list[str]
    ip: str
    zone: str
    region: str
    port_range: tuple[int, int]
    seeds: list[str]
    zones: dict[str, str]
    bootstrap: bool = False
    counts_for_quorum: bool = False
    data_dir: str | None = None
    heartbeat_ms: float = 1200.0
    contracts: list[str] = []
    listen: Listen = Listen()
    limits: Limits = Limits()
    fault_tolerance: FaultTolerance = FaultTolerance()
    bounds: Bounds = Bounds()
    cloud: Cloud | None = None
    # A file with the private key of this process's region, for the keys of tenants.
    tenant_region_key: str | None = None
    # Whether a data plane logs for each request which configuration it was routed by.
    log_requests: bool = False

    @property
    def keeps_control_state(self) -> bool:
        """Whether this machine has a replica of the control state: it has a disk, and what may be lost at
        one time is bounded."""
        return self.data_dir is not None and self.counts_for_quorum

    @property
    def control_member_name(self) -> str:
        """The name of a process of the control side: a data plane on the same machine has the machine's."""
        return f"{self.node_name}/{self.role}"

    def internal_address(self, port: InternalPort) -> Address:
        """This process's own address for internal traffic of one kind."""
        return Address(self.ip, self.port_range[0] + port)


def settings_path(path: Path | None = None) -> Path:
    """The settings file: `path`, or the one that the environment names.

    Raises ServingError with INVALID_SETTINGS if neither is given.
    """
    named = os.environ.get(SETTINGS_VARIABLE)
    if path is None and not named:
        raise ServingError(ErrorCode.INVALID_SETTINGS, "read settings", f"{SETTINGS_VARIABLE}: not set")
    return path or Path(named)


def read_settings(path: Path | None = None) -> Settings:
    """Read and check the file at `path`, or the one that the environment names.

    Raises ServingError with INVALID_SETTINGS and a reason that names the field.
    """
    chosen = settings_path(path)
    try:
        contents = chosen.read_bytes()
    except OSError as error:
        raise ServingError(ErrorCode.INVALID_SETTINGS, "read settings", f"{chosen}: {error}") from None
    return parse_settings(contents, chosen)


def parse_settings(contents: bytes, path: Path) -> Settings:
    """Check the contents of the file at `path`; raises as `read_settings` does."""
    try:
        settings = msgspec.convert(tomllib.loads(contents.decode()), Settings)
        _check(settings)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, ValueError) as error:
        raise ServingError(ErrorCode.INVALID_SETTINGS, "read settings", f"{path}: {error}") from None
    return settings


def _check(settings: Settings) -> None:
    if settings.zone not in settings.zones:
        raise ValueError("zone: not among `zones`")
    first, last = settings.port_range
    if last - first < max(InternalPort):
        raise ValueError("port_range: too few ports")
    for seed in settings.seeds:
        parse_address(seed)
    for address in msgspec.structs.astuple(settings.listen):
        if address is not None:
            parse_address(address)
