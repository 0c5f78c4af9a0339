"""The prefix cache of a stand-in engine: prompt parts whose prefill can be skipped."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt: its id, which requests may share, and its length."""

    id: str
    tokens: int


def parse_prompt(header: str) -> list[PromptPart]:
    """Parse the parts of a `Prompt-Prefix` header, in order; raises ValueError."""
    parts = []
    for text in filter(None, header.split(",")):
        part_id, separator, tokens = text.strip().partition(":")
        if not separator:
            raise ValueError(f"Prompt-Prefix: no tokens in {text!r}")
        parts.append(PromptPart(part_id, int(tokens)))
    return parts


class PrefixCache:
    """An LRU cache of prompt parts. A part is a hit only if all parts before it are cached too."""

    def __init__(self, capacity_tokens: int):
        self.capacity_tokens = capacity_tokens
        self.used_tokens = 0
        self._tokens_by_path: OrderedDict[tuple[str, ...], int] = OrderedDict()

    def prefill(self, parts: list[PromptPart]) -> int:
        """Process a prompt: caches all of its parts and returns how many of its tokens were cached before."""
        hit_tokens = 0
        prefix_cached = True
        path: tuple[str, ...] = ()
        for part in parts:
            path = (*path, part.id)
            prefix_cached = prefix_cached and path in self._tokens_by_path
            if prefix_cached:
                hit_tokens += part.tokens
            self._keep(path, part.tokens)
        return hit_tokens

    def _keep(self, path: tuple[str, ...], tokens: int) -> None:
        if path not in self._tokens_by_path:
            self._tokens_by_path[path] = tokens
            self.used_tokens += tokens
        self._tokens_by_path.move_to_end(path)
        while self.used_tokens > self.capacity_tokens:
            self._evict()

    def _evict(self) -> None:
        _, evicted_tokens = self._tokens_by_path.popitem(last=False)
        self.used_tokens -= evicted_tokens


@dataclass(frozen=True, slots=True)
class Lookup:
    """One request's cache hits in its shared parts: tokens stored by its own tenant, and by others."""

    tenant: str
    shared_tokens: int
    own_hit_tokens: int
    cross_tenant_hit_tokens: int


class RecordingCache(PrefixCache):
    """Records which tenant stored and hit which part. The caller names the tenant that sent the request."""

    def __init__(self, capacity_tokens: int):
        super().__init__(capacity_tokens)
        self.lookups: list[Lookup] = []
        self._tenants_by_path: dict[tuple[str, ...], set[str]] = {}

    def prefill_for(self, tenant: str, parts: list[PromptPart]) -> int:
        """Process a tenant's prompt as `prefill` does, and record which tenants' entries it hit."""
        own_hit_tokens = cross_tenant_hit_tokens = 0
        path: tuple[str, ...] = ()
        for part in parts[:-1]:
            path = (*path, part.id)
            if path not in self._tokens_by_path:
                break
            if tenant in self._tenants_by_path[path]:
                own_hit_tokens += part.tokens
            else:
                cross_tenant_hit_tokens += part.tokens
        hit_tokens = self.prefill(parts)
        self._record_tenant(tenant, parts)
        shared = sum(part.tokens for part in parts[:-1])
        self.lookups.append(Lookup(tenant, shared, own_hit_tokens, cross_tenant_hit_tokens))
        return hit_tokens

    def tenants_by_path(self) -> Iterator[tuple[tuple[str, ...], set[str]]]:
        """The cached paths (a part with those before it) and the tenants that stored each."""
        return iter(self._tenants_by_path.items())

    def _record_tenant(self, tenant: str, parts: list[PromptPart]) -> None:
        path: tuple[str, ...] = ()
        for part in parts:
            path = (*path, part.id)
            if path in self._tokens_by_path:
                self._tenants_by_path.setdefault(path, set()).add(tenant)

    def _evict(self) -> None:
        path, evicted_tokens = self._tokens_by_path.popitem(last=False)
        self.used_tokens -= evicted_tokens
        self._tenants_by_path.pop(path, None)
