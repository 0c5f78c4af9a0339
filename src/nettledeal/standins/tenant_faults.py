"""Faults injected into tenant isolation, to show that the count of cross-tenant hits detects each."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

from nettledeal.dataplane.selection import PromptPart
from nettledeal.tenancy.gate import Separate
from nettledeal.tenancy.identity import ProvenTenant
from nettledeal.tenancy.keys import NO_GENERATION, KeyRing, TenantKey
from nettledeal.tenancy.prompts import SeparatedPrompt, read_parts, separate

KEY_OF_ANOTHER = TenantKey(1, bytes(32))


class Fault(StrEnum):
    """An isolation guard that is broken."""

    KEY_MISSING = "key_missing"  # without a key, the client's part ids are used as they are
    KEY_OF_ANOTHER = "key_of_another"  # one key serves all tenants
    STALE_AFTER_MOVE = "stale_after_move"  # a moved route keeps its first service's rule
    HINT_WITHOUT_TENANT = "hint_without_tenant"  # agents share headers by the client's ids alone
    BINDING_IGNORED = "binding_ignored"  # a tenant's service is given to another tenant


class Hints(Protocol):
    """Headers that agents share, keyed by the shared part of the client's header."""

    def get(self, shared: bytes) -> str | None:
        """The header that an earlier request used."""

    def __setitem__(self, shared: bytes, header: str) -> None:
        """Share a header."""


def faulty_separate(fault: Fault, hints: Hints) -> Separate:
    """The function that separates prompts, with a fault."""

    def by_one_key(tenant: ProvenTenant, _: KeyRing, header: bytes) -> SeparatedPrompt:
        ids = tuple(PromptPart(KEY_OF_ANOTHER.lookup_id(part.id), part.tokens) for part in read_parts(header))
        return SeparatedPrompt(tenant, KEY_OF_ANOTHER.generation, ids)

    def by_client_without_key(tenant: ProvenTenant, keys: KeyRing, header: bytes) -> SeparatedPrompt:
        if keys.get(tenant.name) is not None:
            return separate(tenant, keys, header)
        return SeparatedPrompt(tenant, NO_GENERATION, read_parts(header))

    def by_hint(tenant: ProvenTenant, keys: KeyRing, header: bytes) -> SeparatedPrompt:
        prompt = separate(tenant, keys, header)
        shared, _, own = header.rpartition(b",")
        hint = hints.get(shared)
        if hint is None:
            hints[shared] = prompt.header.decode().rpartition(",")[0]
            return prompt
        return SeparatedPrompt(tenant, prompt.generation, read_parts(hint.encode() + b"," + own))

    chosen = {
        Fault.KEY_MISSING: by_client_without_key,
        Fault.KEY_OF_ANOTHER: by_one_key,
        Fault.HINT_WITHOUT_TENANT: by_hint,
    }
    return chosen.get(fault, separate)
