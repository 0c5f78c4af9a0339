"""Who is asking: the one place where a request becomes a tenant's, and where its prompt is separated."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from http import HTTPStatus

import msgspec

from nettledeal.dataplane.client_request import ClientRequest
from nettledeal.dataplane.routing_table import RouteTarget
from nettledeal.dataplane.selection import Attempt
from nettledeal.operator_api.configuration import TenantPolicy
from nettledeal.tenancy.counters import UNKNOWN_TENANT, RefusalReason, TenantCounters
from nettledeal.tenancy.identity import ProvenTenant, is_name, token_matches
from nettledeal.tenancy.keys import NO_GENERATION, KeyRing
from nettledeal.tenancy.prompts import BadPrompt, SeparatedPrompt, separate

TENANCY_ENTRY = "tenancy"
TENANT_HEADER = b"tenant"
TOKEN_HEADER = b"tenant-token"
PREFIX_HEADER = b"prompt-prefix"
_STATUSES = {
    RefusalReason.TWO_TENANTS: HTTPStatus.BAD_REQUEST,
    RefusalReason.BAD_NAME: HTTPStatus.BAD_REQUEST,
    RefusalReason.BAD_PROMPT: HTTPStatus.BAD_REQUEST,
    RefusalReason.NOT_READY: HTTPStatus.SERVICE_UNAVAILABLE,
}

Separate = Callable[[ProvenTenant, KeyRing, bytes], SeparatedPrompt]


class TenantRefusal(Exception):
    """A tenant's request that is not served; nothing of it was sent to a backend."""

    def __init__(self, reason: RefusalReason, tenant: str = UNKNOWN_TENANT):
        super().__init__(reason.value)
        self.reason = reason
        self.tenant = tenant

    @property
    def status(self) -> HTTPStatus:
        """The status of the answer: 400 for what can't be read, 503 for what may be later, else 401."""
        return _STATUSES.get(self.reason, HTTPStatus.UNAUTHORIZED)


class TenantGate:
    """Admits the requests of tenants' routes by the configuration in force."""

    def __init__(self, keys: KeyRing, separate_prompt: Separate = separate):
        self.keys = keys
        self.counters = TenantCounters()
        self._separate = separate_prompt
        self._policies: dict[str, TenantPolicy] = {}

    def apply(self, entries: Mapping[str, bytes]) -> None:
        """Take tenants and keys of a version of the control state. Raises msgspec.MsgspecError."""
        encoded = entries.get(TENANCY_ENTRY)
        policies = [] if encoded is None else msgspec.json.decode(encoded, type=list[TenantPolicy])
        self._policies = {policy.name: policy for policy in policies}
        self.keys.apply(self._policies, entries)

    def admit(self, request: ClientRequest, target: RouteTarget) -> RouteTarget:
        """Separate the request's prompt; the route as it holds for its tenant. Raises TenantRefusal."""
        try:
            policy = self._policy_of(request, target)
            admitted = _within_homes(target, policy)
            prompt = self._separated(request, policy)
        except TenantRefusal as refusal:
            self.counters.refused(refusal.tenant, refusal.reason)
            raise
        request.separated = prompt
        self.counters.admitted(policy.name, prompt.generation != NO_GENERATION)
        return admitted

    def attempted(self, prompt: SeparatedPrompt, attempt: Attempt) -> None:
        """Count an attempt of an admitted request."""
        self.counters.attempted(prompt.tenant.name, attempt.call.prompt_tokens, attempt.uncached_tokens)

    def _separated(self, request: ClientRequest, policy: TenantPolicy) -> SeparatedPrompt:
        if request.header_count(PREFIX_HEADER) > 1:
            raise TenantRefusal(RefusalReason.BAD_PROMPT, policy.name)
        try:
            return self._separate(ProvenTenant(policy.name), self.keys, request.header(PREFIX_HEADER))
        except BadPrompt:
            raise TenantRefusal(RefusalReason.BAD_PROMPT, policy.name) from None

    def _policy_of(self, request: ClientRequest, target: RouteTarget) -> TenantPolicy:
        """The tenant that the request is proven to come from."""
        named = self._named(request)
        route = target.route
        if route.tenant_by_token:
            return self._by_token(request, named)
        policy = self._policies.get(route.tenant or "")
        if policy is None:
            raise TenantRefusal(RefusalReason.NOT_READY)
        if named and named != policy.name:
            raise TenantRefusal(RefusalReason.CONTRADICTING, policy.name)
        return policy

    def _named(self, request: ClientRequest) -> str:
        """The tenant that the request names, unproven; empty where it names none."""
        if request.header_count(TENANT_HEADER) > 1 or request.header_count(TOKEN_HEADER) > 1:
            raise TenantRefusal(RefusalReason.TWO_TENANTS)
        named = request.header(TENANT_HEADER).decode("latin-1")
        if named and not is_name(named):
            raise TenantRefusal(RefusalReason.BAD_NAME)
        return named

    def _by_token(self, request: ClientRequest, named: str) -> TenantPolicy:
        if not named:
            raise TenantRefusal(RefusalReason.UNPROVEN)
        policy = self._policies.get(named)
        if policy is None:
            raise TenantRefusal(RefusalReason.UNKNOWN)
        if not token_matches(request.header(TOKEN_HEADER), policy.token_digests):
            raise TenantRefusal(RefusalReason.UNPROVEN, policy.name)
        return policy


def _within_homes(target: RouteTarget, policy: TenantPolicy) -> RouteTarget:
    """The route within the homes of the tenant as well as its own."""
    homes = frozenset(policy.home_regions)
    if not homes:
        return target
    both = homes & target.home_regions if target.home_regions else homes
    if not both:
        raise TenantRefusal(RefusalReason.OUTSIDE_HOMES, policy.name)
    return replace(target, home_regions=both)
