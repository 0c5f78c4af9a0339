"""The entries of the `control` source, made from the control state.

Each route and each service is an entry of its own, so that a small change of a large configuration makes a
small update: `route/<hostname> <path_prefix>` and `service/<name>` hold their JSON as the operator sent it;
`limits` and `generation` belong to the configuration; `evacuation/<zone>` is there while its zone is
evacuated; `share/<name>` is a data plane's place in the share roster. Routes of tenants are
`tenant-route/<hostname> <path_prefix>`, so that a data plane of a release without tenants has none of them;
`tenancy` holds the tenants and `tenant-key/<name>` a sealed key.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache
from types import MappingProxyType

import msgspec

from nettledeal.common.compression import unpack_json
from nettledeal.common.errors import ErrorCode, ServingError

CONTROL_SOURCE = "control"
CATALOGUE_SOURCE = "catalogue"
ROUTE_PREFIX = "route/"
SERVICE_PREFIX = "service/"
EVACUATION_PREFIX = "evacuation/"
LIMITS_KEY = "limits"
GENERATION_KEY = "generation"
TENANT_ROUTE_PREFIX = "tenant-route/"
TENANT_KEY_PREFIX = "tenant-key/"
SHARE_PREFIX = "share/"
TENANCY_KEY = "tenancy"
CONFIGURATION_KEY = "configuration"
_PASSED_ON = (EVACUATION_PREFIX, TENANT_KEY_PREFIX, SHARE_PREFIX)
_NO_TENANTS = b"[]"


class _Parts(msgspec.Struct):
    generation: int
    routes: list[msgspec.Raw] = []
    services: list[msgspec.Raw] = []
    limits: msgspec.Raw = msgspec.Raw(b"{}")
    tenants: msgspec.Raw = msgspec.field(default=msgspec.Raw(b"[]"), name="cache_tenants")


class _RouteIdentity(msgspec.Struct):
    hostname: str
    path_prefix: str
    tenant: str | None = msgspec.field(default=None, name="cache_tenant")
    tenant_by_token: bool = msgspec.field(default=False, name="cache_tenant_by_token")

    @property
    def key(self) -> str:
        """The key of the route's entry."""
        key = route_key(self.hostname, self.path_prefix)
        if self.tenant is None and not self.tenant_by_token:
            return key
        return TENANT_ROUTE_PREFIX + key.removeprefix(ROUTE_PREFIX)


class _ServiceIdentity(msgspec.Struct):
    name: str


_PARTS = msgspec.json.Decoder(_Parts)
_ROUTE_IDENTITY = msgspec.json.Decoder(_RouteIdentity)
_SERVICE_IDENTITY = msgspec.json.Decoder(_ServiceIdentity)


def route_key(hostname: str, path_prefix: str) -> str:
    """The key of a route."""
    return f"{ROUTE_PREFIX}{hostname} {path_prefix}"


def control_entries(state: Mapping[str, bytes]) -> dict[str, bytes]:
    """The published entries that belong to the entries of the control state.

    Raises ServingError with INVALID_CONFIGURATION if the stored configuration can't be read.
    """
    entries = {key: value for key, value in state.items() if key.startswith(_PASSED_ON)}
    stored = state.get(CONFIGURATION_KEY)
    if stored is not None:
        entries.update(_configuration_entries(stored))
    return entries


@lru_cache(maxsize=1)
def _configuration_entries(stored: bytes) -> Mapping[str, bytes]:
    """The entries of a configuration. Those of the last one are kept, since few commands change it."""
    try:
        parts = _PARTS.decode(unpack_json(stored))
        entries = {GENERATION_KEY: str(parts.generation).encode(), LIMITS_KEY: bytes(parts.limits)}
        for route in parts.routes:
            entries[_ROUTE_IDENTITY.decode(route).key] = bytes(route)
        for service in parts.services:
            entries[SERVICE_PREFIX + _SERVICE_IDENTITY.decode(service).name] = bytes(service)
        if bytes(parts.tenants) != _NO_TENANTS:
            entries[TENANCY_KEY] = bytes(parts.tenants)
    except msgspec.MsgspecError as error:
        raise ServingError(ErrorCode.INVALID_CONFIGURATION, "publish configuration", str(error)) from None
    return MappingProxyType(entries)
