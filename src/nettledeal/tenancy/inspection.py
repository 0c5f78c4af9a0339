"""Whether what a data directory holds of tenants fits together."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import msgspec

from nettledeal.control.state import TENANTS_KEY
from nettledeal.tenancy.bindings import BINDING_PREFIX, tenants_of
from nettledeal.tenancy.keys import TENANT_KEY_PREFIX, decode_key


def is_of_tenancy(key: str) -> bool:
    """Whether an entry of the control state is about tenants."""
    return key == TENANTS_KEY or key.startswith((BINDING_PREFIX, TENANT_KEY_PREFIX))


def faults_of_tenancy(entries: Mapping[str, bytes]) -> Iterator[str]:
    """A line for each entry that can't be right."""
    try:
        tenants = tenants_of(entries)
    except msgspec.MsgspecError as error:
        yield f"{TENANTS_KEY}: {error}"
        return
    for key, value in entries.items():
        if not key.startswith(TENANT_KEY_PREFIX):
            continue
        if key.removeprefix(TENANT_KEY_PREFIX) not in tenants:
            yield f"{key}: a key of no tenant"
        try:
            decode_key(value)
        except msgspec.MsgspecError as error:
            yield f"{key}: {error}"
