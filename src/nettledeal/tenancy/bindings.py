"""What a configuration says about whose routes and services are, and what may not change hands.

A backend keeps what it has read, and agents take a new configuration one after the other. So the control
state remembers for good which tenant a route or an unrewritten service belongs to.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import msgspec

from nettledeal.control.state import TENANTS_KEY, Change
from nettledeal.operator_api.configuration import Configuration
from nettledeal.tenancy.checks import ALL_TENANTS, owner_of_route, rewritten_services, service_owners
from nettledeal.tenancy.claims import TenancyClaims
from nettledeal.tenancy.keys import TENANT_KEY_PREFIX
from nettledeal.tenancy.places import fault_of_nesting, place_of

BINDING_PREFIX = "tenant-bound/"
ROUTE_BINDING = BINDING_PREFIX + "route/"
SERVICE_BINDING = BINDING_PREFIX + "service/"


def claims_of(configuration: Configuration) -> TenancyClaims:
    """The claims of a configuration that was checked."""
    owners: dict[str, str] = {}
    unowned: list[str] = []
    for route in configuration.routes:
        key = ROUTE_BINDING + place_of(route.hostname, route.path_prefix)
        owner = owner_of_route(route)
        if owner is None:
            unowned.append(key)
        else:
            owners[key] = owner
    rewritten = rewritten_services(configuration)
    for service, found in service_owners(configuration).items():
        key = SERVICE_BINDING + service
        if None in found:
            unowned.append(key)
        else:
            owners[key] = ALL_TENANTS if service in rewritten else str(next(iter(found)))
    return TenancyClaims([tenant.name for tenant in configuration.tenants], owners, unowned)


def fault_of_claims(entries: Mapping[str, bytes], claims: TenancyClaims) -> str | None:
    """Which binding the claims contradict; None where they contradict none."""
    for key, owner in claims.owners.items():
        bound = entries.get(key)
        if bound is not None and not _may_follow(key, bound.decode(), owner):
            return f"{key.removeprefix(BINDING_PREFIX)}: belongs to tenant {bound.decode()!r} for good"
    for key in claims.unowned:
        if key in entries:
            return f"{key.removeprefix(BINDING_PREFIX)}: belongs to tenants for good"
    return _fault_of_places(entries, claims)


def _fault_of_places(entries: Mapping[str, bytes], claims: TenancyClaims) -> str | None:
    """Whether a tenant's route would be within or around a route that ever was another's."""
    bound = {key: value.decode() for key, value in entries.items() if key.startswith(ROUTE_BINDING)}
    owners: dict[str, str | None] = dict.fromkeys(claims.unowned)
    owners |= bound | claims.owners
    return fault_of_nesting(
        {
            key.removeprefix(ROUTE_BINDING): owner
            for key, owner in owners.items()
            if key.startswith(ROUTE_BINDING)
        }
    )


def changes_for(entries: Mapping[str, bytes], claims: TenancyClaims) -> tuple[Change, ...]:
    """What follows in the control state: new bindings, the names of tenants, keys of those that are gone."""
    return tuple(_changes(entries, claims))


def _changes(entries: Mapping[str, bytes], claims: TenancyClaims) -> Iterator[Change]:
    for key, owner in claims.owners.items():
        if entries.get(key) != owner.encode():
            yield Change(key, owner.encode())
    names = msgspec.msgpack.encode(sorted(claims.tenants))
    if entries.get(TENANTS_KEY) != names:
        yield Change(TENANTS_KEY, names)
    known = set(claims.tenants)
    for key in entries:
        if key.startswith(TENANT_KEY_PREFIX) and key.removeprefix(TENANT_KEY_PREFIX) not in known:
            yield Change(key, None)


def _may_follow(key: str, bound: str, owner: str) -> bool:
    """A service may begin to have ids rewritten: what it keeps under clients' ids is found by nobody."""
    return owner == bound or (key.startswith(SERVICE_BINDING) and owner == ALL_TENANTS)


def tenants_of(entries: Mapping[str, bytes]) -> list[str]:
    """The tenants of the configuration in force."""
    encoded = entries.get(TENANTS_KEY)
    return [] if encoded is None else msgspec.msgpack.decode(encoded, type=list[str])
