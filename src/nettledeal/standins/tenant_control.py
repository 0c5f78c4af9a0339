"""The control state of a schedule, decided as in production; each change makes a new version."""

from __future__ import annotations

from collections.abc import Mapping
from secrets import token_bytes

import xxhash

from nettledeal.common.errors import ServingError
from nettledeal.control.decisions import decide
from nettledeal.control.state import (
    TENANTS_KEY,
    Change,
    ControlState,
    Outcome,
    PutConfiguration,
    SetTenantKey,
)
from nettledeal.distribution.control_source import control_entries
from nettledeal.operator_api.configuration_checks import parse_configuration
from nettledeal.tenancy.bindings import BINDING_PREFIX, claims_of, tenants_of
from nettledeal.tenancy.keys import MakeSecret, SealedKey, encode_key
from nettledeal.tenancy.orders import key_in_force
from nettledeal.tenancy.sealing import make_sealed_key


class ControlHistory:
    """All versions of the control state of a schedule, oldest first."""

    def __init__(self, enforces_bindings: bool = True, make_secret: MakeSecret = token_bytes):
        self.state = ControlState()
        self.versions: list[Mapping[str, bytes]] = []
        self._enforces_bindings = enforces_bindings
        self._make_secret = make_secret

    @property
    def newest(self) -> int:
        """The number of the newest version, -1 before the first."""
        return len(self.versions) - 1

    @property
    def tenants(self) -> list[str]:
        """The tenants of the configuration in force."""
        return tenants_of(self.state.entries)

    def put_configuration(self, body: bytes) -> bool:
        """Put a configuration on top of the one in force; returns whether it was accepted."""
        try:
            configuration = parse_configuration(body)
        except ServingError:
            return False
        involves_tenants = configuration.has_tenants or TENANTS_KEY in self.state.entries
        command = PutConfiguration(
            self.state.generation,
            configuration.generation,
            xxhash.xxh3_128_digest(body),
            body,
            claims_of(configuration) if involves_tenants else None,
        )
        return self._carry_out(command)

    def rotate(self, tenant: str, public_keys: Mapping[str, str]) -> bool:
        """Put the next key of a tenant, sealed for these regions; returns whether it was accepted."""
        generation = key_in_force(self.state, tenant).generation + 1
        return self._put_key(tenant, make_sealed_key(generation, public_keys, self._make_secret))

    def drop(self, tenant: str) -> bool:
        """Drop a tenant's cached data; returns whether the command was accepted."""
        return self._put_key(tenant, SealedKey(key_in_force(self.state, tenant).generation + 1))

    def _put_key(self, tenant: str, key: SealedKey) -> bool:
        return self._carry_out(SetTenantKey(tenant, encode_key(key)))

    def _carry_out(self, command: PutConfiguration | SetTenantKey) -> bool:
        decision = decide(self.state, command)
        if decision.outcome is not Outcome.ACCEPTED:
            return False
        changes = tuple(change for change in decision.changes if self._is_applied(change))
        self.state = self.state.after(self.state.sequence + 1, changes)
        self.versions.append(control_entries(self.state.entries))
        return True

    def _is_applied(self, change: Change) -> bool:
        return self._enforces_bindings or not change.key.startswith(BINDING_PREFIX)
