"""How a data plane gets its gate, from its settings and the services of a configuration."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from nettledeal.common.errors import ServingError
from nettledeal.common.logs import log_event
from nettledeal.common.settings import Settings
from nettledeal.operator_api.configuration import Service
from nettledeal.tenancy.gate import TenantGate
from nettledeal.tenancy.keys import KeyRing, Opener


def make_gate(settings: Settings) -> TenantGate:
    """The gate of a process. Without its region's private key it serves tenants without reuse."""
    return TenantGate(KeyRing(settings.region, _opener(settings)))


def rewritten_services(services: Mapping[str, Service]) -> frozenset[str]:
    """The services whose backends get tenants' ids instead of the clients'."""
    return frozenset(
        name
        for name, service in services.items()
        if service.engine is not None and service.engine.rewritable_part_ids
    )


def _opener(settings: Settings) -> Opener | None:
    if settings.tenant_region_key is None:
        log_event("tenancy:no_region_key", region=settings.region)
        return None
    try:
        # libsodium is loaded only where there is a key to open.
        from nettledeal.tenancy.sealing import region_opener

        return region_opener(Path(settings.tenant_region_key))
    except (ServingError, ImportError) as error:
        log_event("tenancy:no_region_key", region=settings.region, error=str(error))
        return None
