"""A tenant's prompt as it may be looked up: the only way from a tenant's request to ids of parts."""

from __future__ import annotations

import re
from dataclasses import dataclass

from nettledeal.dataplane.selection import PromptPart
from nettledeal.tenancy.identity import ProvenTenant
from nettledeal.tenancy.keys import KeyRing

MOST_PARTS = 256
_PART = re.compile(r"([0-9a-fA-F]{1,64}):([0-9]{1,9})")


class BadPrompt(ValueError):
    """A `Prompt-Prefix` that cannot be separated."""


@dataclass(frozen=True, slots=True)
class SeparatedPrompt:
    """The parts of a tenant's prompt under ids that only the tenant's key gives.

    `generation` tells the key's; NO_GENERATION says that the ids serve this one request.
    """

    tenant: ProvenTenant
    generation: int
    parts: tuple[PromptPart, ...]

    @property
    def header(self) -> bytes:
        """The value of `Prompt-Prefix` with these ids."""
        return ",".join(f"{part.id}:{part.tokens}" for part in self.parts).encode("latin-1")


def read_parts(header: bytes) -> tuple[PromptPart, ...]:
    """The client's parts. Raises BadPrompt where one is no part, has two lengths, or there are too many."""
    parts = []
    lengths: dict[str, int] = {}
    for text in header.decode("latin-1").split(",") if header else ():
        found = _PART.fullmatch(text.strip())
        if found is None:
            raise BadPrompt("a part that is not ID:TOKENS")
        part_id, tokens = found[1].lower(), int(found[2])
        if lengths.setdefault(part_id, tokens) != tokens:
            raise BadPrompt("a part has two lengths")
        parts.append(PromptPart(part_id, tokens))
        if len(parts) > MOST_PARTS:
            raise BadPrompt("too many parts")
    return tuple(parts)


def separate(tenant: ProvenTenant, keys: KeyRing, header: bytes) -> SeparatedPrompt:
    """The prompt under the tenant's own ids; one-use ids while its key is not known. Raises BadPrompt."""
    parts = read_parts(header)
    key = keys.get(tenant.name) or keys.one_use()
    ids = tuple(PromptPart(key.lookup_id(part.id), part.tokens) for part in parts)
    return SeparatedPrompt(tenant, key.generation, ids)
