"""What may be wrong with the tenants of a configuration."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from nettledeal.operator_api.configuration import Configuration, Route, TenantPolicy
from nettledeal.tenancy.identity import is_digest, is_name
from nettledeal.tenancy.places import fault_of_nesting, place_of

MOST_TENANTS = 1000
MOST_TOKENS = 2
PUBLIC_KEY_HEX = 64
# The owner of what belongs to several tenants, kept apart by ids.
ALL_TENANTS = "*"


def fault_of_tenants(configuration: Configuration) -> str | None:
    """The first fault, beginning with the field; None for a sound configuration."""
    return next(_faults(configuration), None)


def owner_of_route(route: Route) -> str | None:
    """The tenant of a route's requests, ALL_TENANTS where each proves its own, None where there is none."""
    return ALL_TENANTS if route.tenant_by_token else route.tenant


def service_owners(configuration: Configuration) -> dict[str, set[str | None]]:
    """Whose requests reach each service that has engines; None among them stands for those of no tenant."""
    with_engines = {service.name for service in configuration.services if service.engine is not None}
    owners: dict[str, set[str | None]] = {}
    for route in configuration.routes:
        for part in route.weighted_services:
            if part.service in with_engines:
                owners.setdefault(part.service, set()).add(owner_of_route(route))
    return owners


def rewritten_services(configuration: Configuration) -> frozenset[str]:
    """The services whose backends take ids other than the client's."""
    return frozenset(
        service.name
        for service in configuration.services
        if service.engine is not None and service.engine.rewritable_part_ids
    )


def _faults(configuration: Configuration) -> Iterator[str]:
    tenants = {tenant.name: tenant for tenant in configuration.tenants}
    yield from _faults_of_names(configuration)
    for index, tenant in enumerate(configuration.tenants):
        yield from (f"cache_tenants[{index}] ({tenant.name}): {fault}" for fault in _faults_of_tenant(tenant))
    for index, route in enumerate(configuration.routes):
        fault = _fault_of_route(route, tenants)
        if fault is not None:
            yield f"routes[{index}] ({route.name or route.path_prefix}): {fault}"
    nesting = fault_of_nesting(
        {place_of(route.hostname, route.path_prefix): owner_of_route(route) for route in configuration.routes}
    )
    if nesting is not None:
        yield f"routes: {nesting}"
    yield from _faults_of_services(configuration)


def _faults_of_names(configuration: Configuration) -> Iterator[str]:
    if len(configuration.tenants) > MOST_TENANTS:
        yield f"cache_tenants: more than {MOST_TENANTS}"
    yield from _repeated("cache_tenants", (tenant.name for tenant in configuration.tenants))
    yield from _repeated("cache_tenant_regions", (region.name for region in configuration.tenant_regions))
    for region in configuration.tenant_regions:
        if len(region.public_key) != PUBLIC_KEY_HEX or not _is_hex(region.public_key):
            yield f"cache_tenant_regions ({region.name}): public_key: not {PUBLIC_KEY_HEX} hex digits"


def _repeated(field: str, names: Iterable[str]) -> Iterator[str]:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            yield f"{field}: {name!r} is there twice"
        seen.add(name)


def _faults_of_tenant(tenant: TenantPolicy) -> Iterator[str]:
    if not is_name(tenant.name):
        yield "name: not up to 63 lower-case letters, digits and inner hyphens"
    if len(tenant.token_digests) > MOST_TOKENS:
        yield f"token_digests: more than {MOST_TOKENS}"
    if not all(is_digest(digest) for digest in tenant.token_digests):
        yield "token_digests: not a BLAKE2b digest of 32 bytes in hex"


def _fault_of_route(route: Route, tenants: dict[str, TenantPolicy]) -> str | None:
    if route.tenant is None:
        return None
    if route.tenant_by_token:
        return "cache_tenant: stands beside cache_tenant_by_token"
    tenant = tenants.get(route.tenant)
    if tenant is None:
        return f"cache_tenant: {route.tenant!r} is unknown"
    if tenant.home_regions and route.home_regions and not set(tenant.home_regions) & set(route.home_regions):
        return "home_regions: none in common with the tenant's"
    return None


def _faults_of_services(configuration: Configuration) -> Iterator[str]:
    """A backend finds what it has read by the ids that it gets, whoever asks."""
    rewritten = rewritten_services(configuration)
    for service, owners in service_owners(configuration).items():
        if owners == {None}:
            continue
        if None in owners:
            yield f"services ({service}): serves tenants and routes without one"
        if service not in rewritten and (len(owners) > 1 or ALL_TENANTS in owners):
            yield f"services ({service}): serves several tenants without rewritable_part_ids"


def _is_hex(text: str) -> bool:
    return all(digit in "0123456789abcdefABCDEF" for digit in text)
