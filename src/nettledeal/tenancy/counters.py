"""Counts of lookups, reuse and refusals by tenant, at one agent since its start."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

import msgspec

# Refusals of requests whose tenant is not in the configuration are counted together: names are the client's.
UNKNOWN_TENANT = ""


class RefusalReason(StrEnum):
    """Why a tenant's request is not served."""

    TWO_TENANTS = "two_tenants"
    BAD_NAME = "bad_name"
    CONTRADICTING = "contradicting"
    UNKNOWN = "unknown"
    UNPROVEN = "unproven"
    BAD_PROMPT = "bad_prompt"
    OUTSIDE_HOMES = "outside_homes"
    NOT_READY = "not_ready"


class TenantUse(msgspec.Struct):
    """One tenant's counts. Tokens are those of whole prompts, as far as this agent's own attempts tell."""

    requests: int = 0
    without_key: int = 0
    attempts: int = 0
    prompt_tokens: int = 0
    expected_reused_tokens: int = 0
    refusals: dict[str, int] = {}


class TenantCounters:
    """The counts of one agent."""

    def __init__(self) -> None:
        self._uses: dict[str, TenantUse] = {}
        self._refusals: dict[str, Counter[str]] = {}

    def admitted(self, tenant: str, has_key: bool) -> None:
        """A request was taken."""
        use = self._use(tenant)
        use.requests += 1
        use.without_key += not has_key

    def refused(self, tenant: str, reason: RefusalReason) -> None:
        """A request was refused."""
        self._refusals.setdefault(tenant, Counter())[reason.value] += 1

    def attempted(self, tenant: str, prompt_tokens: int, uncached_tokens: int) -> None:
        """A request was sent to a backend, which is expected to read `uncached_tokens` of it."""
        use = self._use(tenant)
        use.attempts += 1
        use.prompt_tokens += prompt_tokens
        use.expected_reused_tokens += prompt_tokens - uncached_tokens

    def report(self) -> dict[str, TenantUse]:
        """All counts, by tenant; UNKNOWN_TENANT has the refusals of names that the configuration lacks."""
        names = self._uses.keys() | self._refusals.keys()
        return {
            name: msgspec.structs.replace(
                self._uses.get(name, TenantUse()), refusals=dict(self._refusals.get(name, {}))
            )
            for name in sorted(names)
        }

    def page(self) -> bytes:
        """The report in JSON."""
        return msgspec.json.encode(self.report())

    def _use(self, tenant: str) -> TenantUse:
        return self._uses.setdefault(tenant, TenantUse())
