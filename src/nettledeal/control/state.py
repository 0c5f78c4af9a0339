"""The control state and the commands that change it; `decisions` evaluates them.

The state is a small map from keys to bytes. `sequence` increases by one with each command that changes the
state, and is the version under which the state is distributed.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec
import xxhash
from pyrsistent import PMap, pmap

from nettledeal.common.compression import unpack_json

if TYPE_CHECKING:
    from nettledeal.tenancy.claims import TenancyClaims

CONFIGURATION_KEY = "configuration"
CONFIGURATION_META_KEY = "configuration-meta"
ACCEPTED_PREFIX = "accepted/"
EVACUATION_PREFIX = "evacuation/"
# One entry for each data plane that shares the budgets, see `shares.roster`.
SHARE_PREFIX = "share/"
# Present once a configuration has named tenants; `tenancy`, loaded only then, evaluates the consequences.
TENANTS_KEY = "tenants"


class ConfigurationMeta(msgspec.Struct, frozen=True, array_like=True):
    """Summary of the active configuration, available without parsing it."""

    generation: int
    digest: bytes


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A key's new value, or None if the key is removed."""

    key: str
    value: bytes | None


def configuration_digest(body: bytes) -> bytes:
    """Identifies the content of a configuration."""
    return xxhash.xxh3_128_digest(body)


def accepted_key(digest: bytes) -> str:
    """The key of an accepted order."""
    return ACCEPTED_PREFIX + digest.hex()


class ControlState(msgspec.Struct, frozen=True):
    """An immutable version of the control state."""

    sequence: int = 0
    entries: PMap[str, bytes] = pmap()

    @property
    def generation(self) -> int:
        """The generation of the active configuration, 0 if there is none."""
        meta = self.configuration_meta
        return meta.generation if meta else 0

    @property
    def configuration_meta(self) -> ConfigurationMeta | None:
        """The generation and digest of the active configuration."""
        encoded = self.entries.get(CONFIGURATION_META_KEY)
        return msgspec.msgpack.decode(encoded, type=ConfigurationMeta) if encoded else None

    @property
    def configuration(self) -> bytes | None:
        """The active configuration as the operator sent it."""
        stored = self.entries.get(CONFIGURATION_KEY)
        return None if stored is None else unpack_json(stored)

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """The evacuated zones; nothing is sent to their backends."""
        return frozenset(
            key.removeprefix(EVACUATION_PREFIX) for key in self.entries if key.startswith(EVACUATION_PREFIX)
        )

    def has_accepted(self, digest: bytes) -> bool:
        """Whether the order with that digest is remembered as accepted."""
        return accepted_key(digest) in self.entries

    def after(self, sequence: int, changes: tuple[Change, ...]) -> ControlState:
        """The state after these changes."""
        evolver = self.entries.evolver()
        for change in changes:
            if change.value is not None:
                evolver[change.key] = change.value
            elif change.key in evolver:
                del evolver[change.key]
        return msgspec.structs.replace(self, sequence=sequence, entries=evolver.persistent())


class PutConfiguration(msgspec.Struct, frozen=True):
    """Replace the configuration of generation `expected_version`.

    `digest` identifies the order when it is sent again: by its body and the version that it builds on.
    """

    expected_version: int
    generation: int
    digest: bytes
    body: bytes
    claims: TenancyClaims | None = None


class SetEvacuation(msgspec.Struct, frozen=True):
    """Start or end the evacuation of a zone."""

    zone: str
    evacuated: bool


class SetTenantKey(msgspec.Struct, frozen=True):
    """Store the next generation of a tenant's key; `entry` is the encoded sealed key."""

    tenant: str
    entry: bytes


class ShareChange(msgspec.Struct, frozen=True):
    """One data plane's entry in the share roster before and after the change, None for no entry."""

    name: str
    before: bytes | None
    after: bytes | None


class ChangeShares(msgspec.Struct, frozen=True):
    """Change the share roster atomically; nothing changes if any entry isn't as expected."""

    changes: tuple[ShareChange, ...]


Command = PutConfiguration | SetEvacuation | SetTenantKey | ChangeShares


class Outcome(StrEnum):
    """The outcome of a command."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


class Decision(msgspec.Struct, frozen=True):
    """The outcome of a command and the changes to commit before the outcome is reported."""

    outcome: Outcome
    changes: tuple[Change, ...] = ()
