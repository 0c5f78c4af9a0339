"""Validates commands against the control state and derives the changes to commit."""

from __future__ import annotations

import msgspec

from nettledeal.common.compression import pack_json
from nettledeal.control.state import (
    ACCEPTED_PREFIX,
    CONFIGURATION_KEY,
    CONFIGURATION_META_KEY,
    EVACUATION_PREFIX,
    SHARE_PREFIX,
    TENANTS_KEY,
    Change,
    ChangeShares,
    Command,
    ConfigurationMeta,
    ControlState,
    Decision,
    Outcome,
    PutConfiguration,
    SetEvacuation,
    SetTenantKey,
    accepted_key,
    configuration_digest,
)

# Accepted orders that are remembered, so that a retry of one of them is acknowledged again.
MAX_ACCEPTED_ORDERS = 2000
PRUNE_BATCH = 100


def decide(state: ControlState, command: Command) -> Decision:
    """Validate a command against the state that it would be applied to."""
    if isinstance(command, PutConfiguration):
        return _decide_configuration(state, command)
    if isinstance(command, SetTenantKey):
        from nettledeal.tenancy.orders import judge_key

        return judge_key(state, command)
    if isinstance(command, ChangeShares):
        return _decide_shares(state, command)
    return _decide_evacuation(state, command)


def _decide_configuration(state: ControlState, command: PutConfiguration) -> Decision:
    body_digest = configuration_digest(command.body)
    if state.has_accepted(command.digest) or _put_in_force(state, command, body_digest):
        return Decision(Outcome.ACCEPTED)
    if command.expected_version != state.generation:
        return Decision(Outcome.CONFLICT)
    if command.generation <= state.generation:
        return Decision(Outcome.INVALID)
    tenancy = _judge_tenancy(state, command)
    if tenancy.outcome is not Outcome.ACCEPTED:
        return tenancy
    meta = ConfigurationMeta(command.generation, body_digest)
    accepted_at = (state.sequence + 1).to_bytes(8, "big")
    changes = (
        Change(CONFIGURATION_KEY, pack_json(command.body)),
        Change(CONFIGURATION_META_KEY, msgspec.msgpack.encode(meta)),
        Change(accepted_key(command.digest), accepted_at),
    )
    return Decision(Outcome.ACCEPTED, changes + tenancy.changes + _prune_accepted(state))


def _put_in_force(state: ControlState, command: PutConfiguration, body_digest: bytes) -> bool:
    """Whether the order put the configuration in force there: accepted orders of earlier releases were
    remembered by their body alone."""
    meta = state.configuration_meta
    return meta is not None and meta.digest == body_digest and command.expected_version < meta.generation


def _judge_tenancy(state: ControlState, command: PutConfiguration) -> Decision:
    if command.claims is None and TENANTS_KEY not in state.entries:
        return Decision(Outcome.ACCEPTED)
    from nettledeal.tenancy.orders import judge_claims

    return judge_claims(state, command.claims)


def _prune_accepted(state: ControlState) -> tuple[Change, ...]:
    """Removals of the oldest accepted orders once there are too many; batched since it sorts all of them."""
    if len(state.entries) < MAX_ACCEPTED_ORDERS + PRUNE_BATCH:
        return ()
    accepted = sorted((value, key) for key, value in state.entries.items() if key.startswith(ACCEPTED_PREFIX))
    return tuple(Change(key, None) for _, key in accepted[:-MAX_ACCEPTED_ORDERS])


def _decide_evacuation(state: ControlState, command: SetEvacuation) -> Decision:
    key = EVACUATION_PREFIX + command.zone
    if (key in state.entries) == command.evacuated:
        return Decision(Outcome.ACCEPTED)
    return Decision(Outcome.ACCEPTED, (Change(key, b"" if command.evacuated else None),))


def _decide_shares(state: ControlState, command: ChangeShares) -> Decision:
    for change in command.changes:
        if state.entries.get(SHARE_PREFIX + change.name) != change.before:
            return Decision(Outcome.CONFLICT)
    changes = tuple(Change(SHARE_PREFIX + change.name, change.after) for change in command.changes)
    return Decision(Outcome.ACCEPTED, changes)
