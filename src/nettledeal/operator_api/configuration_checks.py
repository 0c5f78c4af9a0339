"""Reads a configuration and checks what its structs can't say."""

from __future__ import annotations

import msgspec

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.operator_api.configuration import Configuration, Route, Service, WeightedService

_DECODER = msgspec.json.Decoder(Configuration)


def parse_configuration(body: bytes) -> Configuration:
    """Read and check a configuration; raises ServingError with INVALID_CONFIGURATION naming the field."""
    try:
        configuration = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _invalid(str(error)) from None
    _check(configuration)
    return configuration


def _check(configuration: Configuration) -> None:
    if configuration.generation <= 0:
        raise _invalid("generation: must be above 0")
    services = _check_services(configuration.services)
    places: set[tuple[str, str]] = set()
    for index, route in enumerate(configuration.routes):
        reason = _fault_of_route(route, services)
        place = (route.hostname.lower(), route.path_prefix)
        if reason is None and place in places:
            reason = "path_prefix: another route has the same host and prefix"
        if reason is not None:
            raise _invalid(f"routes[{index}] ({route.name or route.path_prefix}): {reason}")
        places.add(place)
    if configuration.has_tenants:
        # Loaded only where there are tenants.
        from nettledeal.tenancy.checks import fault_of_tenants

        reason = fault_of_tenants(configuration)
        if reason is not None:
            raise _invalid(reason)


def _check_services(services: list[Service]) -> set[str]:
    names: set[str] = set()
    for index, service in enumerate(services):
        if service.name in names:
            raise _invalid(f"services[{index}].name: {service.name!r} is there twice")
        names.add(service.name)
    return names


def _fault_of_route(route: Route, services: set[str]) -> str | None:
    """What is wrong with a route, beginning with the field; None if nothing is."""
    prefix = route.path_prefix
    if not prefix.startswith("/") or not prefix.endswith("/"):
        return "path_prefix: must begin and end with a slash"
    if not route.timeout_ms > 0:
        return "timeout_ms: must be above 0"
    if route.traffic_split:
        return _fault_of_split(route.traffic_split, services)
    if route.service is None:
        return "service: missing"
    if route.service not in services:
        return f"service: {route.service!r} is unknown"
    return None


def _fault_of_split(split: list[WeightedService], services: set[str]) -> str | None:
    total = 0.0
    for part in split:
        if part.service not in services:
            return f"traffic_split: service {part.service!r} is unknown"
        if not part.weight >= 0:
            return "traffic_split: a weight is below 0"
        total += part.weight
    return None if total > 0 else "traffic_split: the weights add up to 0"


def _invalid(reason: str) -> ServingError:
    return ServingError(ErrorCode.INVALID_CONFIGURATION, "read configuration", reason)
