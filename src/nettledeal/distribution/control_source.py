"""Builds the entries of the `control` source from the control state.

Each route and each service has its own entry, so that a small change to a large configuration produces a
small update: `route/<hostname> <path_prefix>` and `service/<name>` hold their JSON as the operator sent it;
`limits` and `generation` belong to the configuration; `evacuation/<zone>` exists while its zone is
evacuated; `share/<name>` is a data plane's place in the share roster. Tenant routes have the key
`tenant-route/<hostname> <path_prefix>`, so that data planes of releases without tenant support ignore them;
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
_UNCHANGED_PREFIXES = (EVACUATION_PREFIX, TENANT_KEY_PREFIX, SHARE_PREFIX)
_EMPTY_TENANT_LIST = b"[]"


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
        """The key of the route's entry, which differs for tenant routes."""
        key = route_key(self.hostname, self.path_prefix)
        if self.tenant is None and not self.tenant_by_token:
            return key
        return TENANT_ROUTE_PREFIX + key.removeprefix(ROUTE_PREFIX)


class _ServiceIdentity(msgspec.Struct):
    name: str


_CONFIGURATION_DECODER = msgspec.json.Decoder(_Parts)
_ROUTE_IDENTITY_DECODER = msgspec.json.Decoder(_RouteIdentity)
_SERVICE_IDENTITY_DECODER = msgspec.json.Decoder(_ServiceIdentity)


def route_key(hostname: str, path_prefix: str) -> str:
    """Returns the entry key of a route without tenants."""
    return f"{ROUTE_PREFIX}{hostname} {path_prefix}"


def control_entries(state: Mapping[str, bytes]) -> dict[str, bytes]:
    """Returns the entries to publish for a control state.

    Raises ServingError with INVALID_CONFIGURATION if the stored configuration can't be read.
    """
    entries = {key: value for key, value in state.items() if key.startswith(_UNCHANGED_PREFIXES)}
    stored = state.get(CONFIGURATION_KEY)
    if stored is not None:
        entries.update(_configuration_entries(stored))
    return entries


@lru_cache(maxsize=1)
def _configuration_entries(stored: bytes) -> Mapping[str, bytes]:
    """Returns the entries of a configuration; cached, since few commands change it."""
    try:
        configuration = _CONFIGURATION_DECODER.decode(unpack_json(stored))
        entries = {
            GENERATION_KEY: str(configuration.generation).encode(),
            LIMITS_KEY: bytes(configuration.limits),
        }
        for route in configuration.routes:
            entries[_ROUTE_IDENTITY_DECODER.decode(route).key] = bytes(route)
        for service in configuration.services:
            entries[SERVICE_PREFIX + _SERVICE_IDENTITY_DECODER.decode(service).name] = bytes(service)
        if bytes(configuration.tenants) != _EMPTY_TENANT_LIST:
            entries[TENANCY_KEY] = bytes(configuration.tenants)
    except msgspec.MsgspecError as error:
        raise ServingError(ErrorCode.INVALID_CONFIGURATION, "publish configuration", str(error)) from None
    return MappingProxyType(entries)
