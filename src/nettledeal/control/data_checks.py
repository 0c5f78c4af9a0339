"""Consistency checks of a replica's data directory."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec

from nettledeal.common.errors import ServingError
from nettledeal.control.inspection import DataDirectory
from nettledeal.control.state import (
    ACCEPTED_PREFIX,
    CONFIGURATION_KEY,
    CONFIGURATION_META_KEY,
    EVACUATION_PREFIX,
    SHARE_PREFIX,
    TENANTS_KEY,
    ControlState,
    configuration_digest,
)
from nettledeal.operator_api.configuration_checks import parse_configuration

_SEQUENCE_BYTES = 8
# Entries whose values need no check here; a data plane or the primary uses them unchanged.
_PREFIXES = (EVACUATION_PREFIX, SHARE_PREFIX)


def findings(directory: DataDirectory) -> list[str]:
    """One line per inconsistency, starting with its location; empty for a consistent directory."""
    found = [*directory.damage] or [*_identity_faults(directory)]
    return found or [*_configuration_faults(directory.state), *_entry_faults(directory.state)]


def _identity_faults(directory: DataDirectory) -> Iterator[str]:
    meta = directory.meta
    if meta is None:
        if directory.state.entries:
            yield "meta: entries without an identity"
        return
    acceptor = meta.acceptor
    if acceptor.decided is not None and meta.epoch > acceptor.epoch:
        yield f"meta: entries of epoch {meta.epoch}, but the last decided epoch is {acceptor.epoch}"
    if acceptor.accepted is not None and acceptor.accepted.epoch <= acceptor.epoch:
        yield f"meta: accepted epoch {acceptor.accepted.epoch}, which is already decided"


def _configuration_faults(state: ControlState) -> Iterator[str]:
    try:
        body = state.configuration
    except ServingError as error:
        yield f"{CONFIGURATION_KEY}: {error.reason}"
        return
    try:
        meta = state.configuration_meta
    except msgspec.MsgspecError as error:
        yield f"{CONFIGURATION_META_KEY}: {error}"
        return
    if body is None or meta is None:
        if body is not meta:
            yield f"{CONFIGURATION_KEY}: only one of it and {CONFIGURATION_META_KEY} is present"
        return
    if configuration_digest(body) != meta.digest:
        yield f"{CONFIGURATION_KEY}: its digest differs from the recorded one"
    try:
        generation = parse_configuration(body).generation
    except ServingError as error:
        yield f"{CONFIGURATION_KEY}: {error.reason}"
        return
    if generation != meta.generation:
        yield f"{CONFIGURATION_KEY}: generation {generation}, but {meta.generation} is recorded"


def _entry_faults(state: ControlState) -> Iterator[str]:
    is_tenancy_key: Callable[[str], bool] = _always_unknown
    if TENANTS_KEY in state.entries:
        from nettledeal.tenancy.inspection import faults_of_tenancy, is_of_tenancy

        yield from faults_of_tenancy(state.entries)
        is_tenancy_key = is_of_tenancy
    for key, value in state.entries.items():
        if key.startswith(ACCEPTED_PREFIX):
            if len(value) != _SEQUENCE_BYTES or int.from_bytes(value, "big") > state.sequence:
                yield f"{key}: not accepted at any sequence up to {state.sequence}"
        elif not _is_known(key) and not is_tenancy_key(key):
            yield f"{key}: unknown key"


def _always_unknown(_: str) -> bool:
    return False


def _is_known(key: str) -> bool:
    return key in (CONFIGURATION_KEY, CONFIGURATION_META_KEY) or key.startswith(_PREFIXES)
