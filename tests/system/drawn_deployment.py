"""A generated deployment of any size: zones, backends and configurations from a seed."""

from __future__ import annotations

from random import Random

import msgspec

from nettledeal.common.addresses import Address
from nettledeal.common.settings import Bounds, Cloud, FaultTolerance, Limits, Settings
from nettledeal.discovery.catalogue import Backend, ServedModel
from nettledeal.operator_api.configuration import Configuration, Engine, EngineModel, Route, Service

REGIONS = 11
ZONES = 23
MODELS = 21
HOME_BOUND_SHARE = 0.21
ENGINE_CAPACITY = 24


def zones() -> dict[str, str]:
    """The region of each zone."""
    return {f"zone-{number:02d}": f"region-{number % REGIONS:02d}" for number in range(ZONES)}


def zone_of(number: int) -> str:
    """The zone of a machine by its number."""
    return f"zone-{number % ZONES:02d}"


def model_name(number: int) -> str:
    """The name of a model and of the service that serves it."""
    return f"model-{number % MODELS:02d}"


def backends(count: int, random: Random, services: int = MODELS) -> list[Backend]:
    """Backends spread over zones and services."""
    return [_backend(number, random, services) for number in range(count)]


def _backend(number: int, random: Random, services: int) -> Backend:
    name = model_name(number % services)
    return Backend(
        id=f"i-{random.getrandbits(32):08x}-{number}",
        service=name,
        address=f"10.{128 + number // 65536}.{number // 256 % 256}.{number % 256}:8080",
        zone=zone_of(number),
        generation="v1",
        capacity=ENGINE_CAPACITY,
        stage="dual",
        models=(ServedModel(name, 1, ("adapter-1", "adapter-2")),),
    )


def configuration(routes: int, random: Random, generation: int = 1) -> Configuration:
    """A configuration with one route per tenant."""
    return Configuration(
        generation=generation,
        routes=[_route(number, random) for number in range(routes)],
        services=[_service(number) for number in range(MODELS)],
    )


def changed_configuration(before: Configuration, random: Random) -> Configuration:
    """The next configuration, in which one route differs."""
    routes = list(before.routes)
    number = random.randrange(len(routes))
    timeout_ms = routes[number].timeout_ms + 1
    routes[number] = msgspec.structs.replace(routes[number], timeout_ms=timeout_ms)
    return msgspec.structs.replace(before, generation=before.generation + 1, routes=routes)


def _route(number: int, random: Random) -> Route:
    bound = random.random() < HOME_BOUND_SHARE
    return Route(
        hostname=f"tenant-{number:04d}.example",
        path_prefix="/v1/chat/",
        timeout_ms=10_000.0,
        name=f"tenant-{number:04d}",
        service=model_name(number),
        target_latency_ms=1600.0,
        max_attempts=2,
        gap_aim_ms=30.0,
        home_regions=[f"region-{random.randrange(REGIONS):02d}"] if bound else [],
    )


def _service(number: int) -> Service:
    name = model_name(number)
    engine = Engine(ENGINE_CAPACITY, 400_000, 131_072, 10_000.0, 1, [EngineModel(name)])
    return Service(name, "/healthz", max_connections=200, engine=engine)


def settings(
    node_name: str,
    address: Address,
    seeds: list[str],
    zone: str,
    cloud: Address | None = None,
    tolerance: FaultTolerance | None = None,
    data_dir: str | None = None,
) -> Settings:
    """Settings of a process of the deployment; `address` is that of its first internal port."""
    places = zones()
    return Settings(
        node_name=node_name,
        role="data-plane",
        machine_class="core",
        serves=[],
        ip=address.host,
        zone=zone,
        region=places[zone],
        port_range=(address.port, address.port + 15),
        seeds=seeds,
        zones=places,
        bootstrap=True,
        data_dir=data_dir,
        fault_tolerance=tolerance or FaultTolerance(machines=1, zones=1),
        limits=Limits(max_fds=16_384),
        bounds=Bounds(),
        cloud=None if cloud is None else Cloud(str(cloud), rate_per_s=44.0),
    )
