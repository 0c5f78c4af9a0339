"""Orders about tenants, judged against the control state that they would follow."""

from __future__ import annotations

import msgspec

from nettledeal.control.state import Change, ControlState, Decision, Outcome, SetTenantKey
from nettledeal.tenancy.bindings import changes_for, fault_of_claims, tenants_of
from nettledeal.tenancy.claims import TenancyClaims
from nettledeal.tenancy.keys import TENANT_KEY_PREFIX, SealedKey, decode_key


def judge_claims(state: ControlState, claims: TenancyClaims | None) -> Decision:
    """What a configuration means for tenants. CONFLICT where it was read without regard to them."""
    if claims is None:
        return Decision(Outcome.CONFLICT)
    if fault_of_claims(state.entries, claims) is not None:
        return Decision(Outcome.INVALID)
    return Decision(Outcome.ACCEPTED, changes_for(state.entries, claims))


def judge_key(state: ControlState, command: SetTenantKey) -> Decision:
    """A new generation of a key, or a drop, must be the next one of a tenant in force."""
    if command.tenant not in tenants_of(state.entries):
        return Decision(Outcome.INVALID)
    key = TENANT_KEY_PREFIX + command.tenant
    if state.entries.get(key) == command.entry:
        return Decision(Outcome.ACCEPTED)
    current = key_in_force(state, command.tenant)
    if decode_key(command.entry).generation != current.generation + 1:
        return Decision(Outcome.CONFLICT)
    return Decision(Outcome.ACCEPTED, (Change(key, command.entry),))


def key_in_force(state: ControlState, tenant: str) -> SealedKey:
    """The tenant's sealed key; generation 0, sealed for no region, where it has none."""
    encoded = state.entries.get(TENANT_KEY_PREFIX + tenant)
    return SealedKey(0) if encoded is None else decode_key(encoded)


class TenantStatus(msgspec.Struct, frozen=True):
    """A tenant as operators see it; `regions` are those that its key is sealed for."""

    name: str
    generation: int
    regions: list[str]


def tenant_statuses(state: ControlState) -> list[TenantStatus]:
    """All tenants of the configuration in force."""
    keys = {name: key_in_force(state, name) for name in tenants_of(state.entries)}
    return [TenantStatus(name, key.generation, sorted(key.sealed)) for name, key in keys.items()]
