"""The configuration of the serving system: its structs, which `configuration_checks` reads and checks.

Unknown fields are ignored, so a configuration of a newer release can be read; the body itself is stored and
returned as it came. Durations are in the units that the names say.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class RouteType(StrEnum):
    """What may be done with a route's requests. A type not known here is treated with the greatest care."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"

    @classmethod
    def _missing_(cls, value: object) -> RouteType:
        return cls.NON_IDEMPOTENT


class WeightedService(msgspec.Struct, frozen=True):
    """A service's part of a route's requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where the requests for a host and a path prefix go, and how."""

    hostname: str
    path_prefix: str
    timeout_ms: float
    name: str = ""
    route_type: RouteType = RouteType.NON_IDEMPOTENT
    service: str | None = None
    traffic_split: list[WeightedService] | None = None
    target_latency_ms: float = 1000.0
    priority: int = 5
    max_attempts: int = 1
    session_affinity: bool = False
    resumable: bool = False
    gap_aim_ms: float | None = None
    rate_per_s: float | None = None
    home_regions: list[str] = []
    # Named apart from what a deployment may say of tenants for purposes of its own.
    tenant: str | None = msgspec.field(default=None, name="cache_tenant")
    tenant_by_token: bool = msgspec.field(default=False, name="cache_tenant_by_token")

    @property
    def weighted_services(self) -> list[WeightedService]:
        """The services that share the route's requests."""
        if self.traffic_split:
            return self.traffic_split
        return [] if self.service is None else [WeightedService(self.service, 1.0)]

    @property
    def is_of_tenants(self) -> bool:
        """Whether each request belongs to a tenant: the route's, or the one that it proves to come from."""
        return self.tenant is not None or self.tenant_by_token

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.route_type is RouteType.IDEMPOTENT


class EngineModel(msgspec.Struct, frozen=True):
    """A model that an engine can serve."""

    name: str


class Engine(msgspec.Struct, frozen=True):
    """What is known of a service's model backends."""

    capacity: int = 1
    kv_cache_tokens: int = 0
    kv_token_bytes: int = 0
    link_mbps: float = 0.0
    stride: int = 1
    models: list[EngineModel] = []
    # Whether the backends take ids of parts other than the client's; see docs/tenant-isolation.md.
    rewritable_part_ids: bool = False


class Service(msgspec.Struct, frozen=True):
    """A set of backends that are alike."""

    name: str
    health_check: str = ""
    max_connections: int = 100
    protocol: str = "h1"
    tls: bool = False
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0
    engine: Engine | None = None


class ClientLimits(msgspec.Struct, frozen=True):
    """Bounds on what a client may send, and on how long it may take or stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 5000.0
    idle_timeout_ms: float = 30000.0


class TenantPolicy(msgspec.Struct, frozen=True):
    """A tenant: the regions that it is served in (all, where none is named) and digests of its tokens."""

    name: str
    home_regions: list[str] = []
    token_digests: list[str] = []


class TenantRegion(msgspec.Struct, frozen=True):
    """A region for which tenants' keys are sealed, with its public key in hex."""

    name: str
    public_key: str


class Configuration(msgspec.Struct, frozen=True):
    """A whole configuration."""

    generation: int
    routes: list[Route]
    services: list[Service]
    limits: ClientLimits = ClientLimits()
    tenants: list[TenantPolicy] = msgspec.field(default_factory=list, name="cache_tenants")
    tenant_regions: list[TenantRegion] = msgspec.field(default_factory=list, name="cache_tenant_regions")

    @property
    def has_tenants(self) -> bool:
        """Whether anything in it is about tenants."""
        return bool(self.tenants or self.tenant_regions) or any(route.is_of_tenants for route in self.routes)
