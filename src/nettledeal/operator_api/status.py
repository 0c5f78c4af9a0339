"""The status page of a core machine: what it knows of the system, as structs for both sides of the call.

Sections and fields that the other side doesn't know are ignored, and missing ones have defaults, so a command
line of one release reads the page of another.
"""

from __future__ import annotations

import msgspec

Version = tuple[int, ...]


class ControlStatus(msgspec.Struct, frozen=True):
    """The control state known here, and who leads it."""

    is_primary: bool = False
    primary: str | None = None
    sequence: int = 0
    generation: int = 0
    evacuated_zones: list[str] = []


class EpochStatus(msgspec.Struct, frozen=True):
    """The last decided epoch known here. Ages are in seconds; None where there is none."""

    replica_id: str = ""
    epoch: int = -1
    primary: str = ""
    in_sync: list[str] = []
    voters: list[str] = []
    confirmed_age_s: float | None = None
    reader: str | None = None


class MemberStatus(msgspec.Struct, frozen=True):
    """A process that lives as far as is known."""

    name: str
    role: str = ""
    zone: str = ""
    region: str = ""
    host: str = ""
    frontend: str | None = None
    ready: bool = False
    leaving: bool = False
    suspected: bool = False


class CoreStatus(msgspec.Struct, frozen=True):
    """A core machine that votes."""

    replica_id: str
    host: str = ""
    zone: str = ""
    region: str = ""
    control_plane: list[str | int] | str | None = None


class SourceStatus(msgspec.Struct, frozen=True):
    """A source published here: its version, how many entries it has and how old its confirmation is."""

    version: Version = ()
    entries: int = 0
    age_s: float | None = None


class BudgetStatus(msgspec.Struct, frozen=True):
    """Budgets that data planes share: among how many they are divided, and how many may spend their part."""

    members: int = 1
    granted: int = 0
    retry_ratio: float = 0.0
    retry_slack: float = 0.0
    retry_window_s: float = 0.0
    warmup_overage: float = 0.0
    warmup_slack: float = 0.0


class StatusReport(msgspec.Struct, frozen=True):
    """The whole page. `streams` has the versions that each subscriber of this machine acknowledged."""

    control: ControlStatus = ControlStatus()
    epoch: EpochStatus = EpochStatus()
    members: list[MemberStatus] = []
    cores: list[CoreStatus] = []
    sources: dict[str, SourceStatus] = {}
    streams: dict[str, dict[str, Version]] = {}
    budgets: BudgetStatus = BudgetStatus()
