"""Two tenants, their routes and services, and their clients' requests, with common and distinct prompts.

Each tenant has its own service, whose backends get the client's part ids, and both share a pooled one, whose
backends get rewritten ids. A route may be moved between its tenant's own service and the pooled one.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from nettledeal.operator_api.configuration import (
    Configuration,
    Engine,
    Route,
    RouteType,
    Service,
    TenantPolicy,
    TenantRegion,
)
from nettledeal.tenancy.identity import token_digest

HOST = "packs.example"
FUND, BANK = "fund", "bank"
TENANTS = (FUND, BANK)
POOLED = "pooled"
BANK_HOMES = ("north",)
ANY_PATH = "any"
MATERIALS = 4
SHARED_TOKENS, OWN_TOKENS = 900, 60
CAPACITY, MEMORY_TOKENS = 16, 200_000


def own_service(tenant: str) -> str:
    """The service that is dedicated to one tenant."""
    return f"{tenant}-own"


def token_of(tenant: str) -> bytes:
    """The secret by which a tenant's clients prove who they are."""
    return b"token of " + tenant.encode()


@dataclass(frozen=True)
class Plan:
    """Parameters of a configuration; `places` maps each tenant to the service of its own route."""

    generation: int
    places: Mapping[str, str]
    public_keys: Mapping[str, str]
    separated: bool = True


def make_configuration(plan: Plan) -> bytes:
    """The configuration of a plan; without separation, the same routes and services have no tenants."""
    routes = [_route(plan, tenant, place) for tenant, place in plan.places.items()]
    pooled = _route(plan, ANY_PATH, POOLED)
    routes.append(msgspec.structs.replace(pooled, tenant=None, tenant_by_token=plan.separated))
    services = [_service(POOLED, rewritable=plan.separated)]
    services += [_service(own_service(tenant), rewritable=False) for tenant in TENANTS]
    configuration = Configuration(plan.generation, routes, services)
    if plan.separated:
        configuration = msgspec.structs.replace(
            configuration,
            tenants=[_policy(tenant) for tenant in plan.places],
            tenant_regions=[TenantRegion(region, key) for region, key in plan.public_keys.items()],
        )
    return msgspec.json.encode(configuration)


def request_text(tenant: str, path: str, material: str, request_id: str, extra: bytes = b"") -> bytes:
    """A client's request as sent over the wire."""
    return (
        b"POST /%b/new HTTP/1.1\r\nHost: %b\r\nRequest-Id: %b\r\nDeadline-Ms: 5000\r\nModel: m\r\n"
        b"Token-Usage: %d,4\r\nPrompt-Prefix: %b\r\n%bContent-Length: 2\r\n\r\n{}"
        % (
            path.encode(),
            HOST.encode(),
            request_id.encode(),
            2 * SHARED_TOKENS + OWN_TOKENS,
            prompt_header(material, request_id).encode(),
            proof(tenant) + extra if path == ANY_PATH else extra,
        )
    )


def prompt_header(material: str, request_id: str) -> str:
    """A prompt of two shared parts and one that is unique to the request."""
    return f"{material}01:{SHARED_TOKENS},{material}02:{SHARED_TOKENS},{request_id}:{OWN_TOKENS}"


def proof(tenant: str) -> bytes:
    """The header lines that prove a client's tenant."""
    return b"Tenant: %b\r\nTenant-Token: %b\r\n" % (tenant.encode(), token_of(tenant))


def material_of(tenant: str, number: int, of: int = MATERIALS) -> str:
    """The id of a shared prompt; the first half of the numbers is common to all tenants."""
    owner = 0 if number < of // 2 else 1 + TENANTS.index(tenant)
    return f"{owner:02x}{number:02x}"


def _policy(tenant: str) -> TenantPolicy:
    homes = list(BANK_HOMES) if tenant == BANK else []
    return TenantPolicy(tenant, homes, [token_digest(token_of(tenant))])


def _route(plan: Plan, name: str, service: str) -> Route:
    return Route(
        name=name,
        hostname=HOST,
        path_prefix=f"/{name}/",
        route_type=RouteType.STREAMING,
        timeout_ms=5000,
        service=service,
        max_attempts=2,
        session_affinity=True,
        home_regions=list(BANK_HOMES) if name == BANK else [],
        tenant=name if plan.separated else None,
    )


def _service(name: str, rewritable: bool) -> Service:
    engine = Engine(CAPACITY, MEMORY_TOKENS, rewritable_part_ids=rewritable)
    return Service(name, "/healthz", max_connections=200, engine=engine)
