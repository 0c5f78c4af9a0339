"""What a small system serves: its services, routes and backends, and the requests of its clients."""

from __future__ import annotations

import msgspec

from nettledeal.discovery.catalogue import Backend, ServedModel
from nettledeal.operator_api.configuration import (
    ClientLimits,
    Configuration,
    Engine,
    EngineModel,
    Route,
    RouteType,
    Service,
)
from nettledeal.standins.backend import EngineSpeed, StandInBackend
from nettledeal.standins.clients import RequestKind
from nettledeal.standins.layout import Layout, Zone

HOST = "desk.example"
MODEL_SERVICE, WEB_SERVICE = "model", "web"
CACHE_TOKENS = 20_000
MODEL_CAPACITY, WEB_CAPACITY = 16, 8
MODEL_ZONES = (Zone.NORTH_1, Zone.NORTH_2, Zone.SOUTH_1, Zone.SOUTH_1)
WEB_ZONES = (Zone.NORTH_1, Zone.SOUTH_1)

BRIEF = RequestKind("brief", HOST, "/brief/new", shared_tokens=1500, own_tokens=200, events=24)
QUESTION = RequestKind("question", HOST, "/ask/one", shared_tokens=100, own_tokens=60, events=8)
CARD = RequestKind("card", HOST, "/card/show", repeatable=True)
EXTRA = RequestKind("extra", HOST, "/extra/show", repeatable=True)


def make_configuration(generation: int, with_extra_route: bool = False) -> bytes:
    """A configuration with a route per request kind; the one of EXTRA only if `with_extra_route`."""
    routes = [
        _route(BRIEF, MODEL_SERVICE, RouteType.STREAMING, priority=3),
        _route(QUESTION, MODEL_SERVICE, RouteType.STREAMING, priority=1),
        _route(CARD, WEB_SERVICE, RouteType.IDEMPOTENT, priority=1),
    ]
    if with_extra_route:
        routes.append(_route(EXTRA, WEB_SERVICE, RouteType.IDEMPOTENT, priority=1))
    engine = Engine(MODEL_CAPACITY, CACHE_TOKENS, models=[EngineModel("m")])
    services = [
        Service(MODEL_SERVICE, "/healthz", max_connections=200, engine=engine),
        Service(WEB_SERVICE, "/healthz", max_connections=100),
    ]
    return msgspec.json.encode(Configuration(generation, routes, services, ClientLimits()))


def make_backends(layout: Layout, model_speed: EngineSpeed, web_speed: EngineSpeed) -> list[StandInBackend]:
    """The backends of both services."""
    places = [(MODEL_SERVICE, zone) for zone in MODEL_ZONES] + [(WEB_SERVICE, zone) for zone in WEB_ZONES]
    return [
        _backend(layout, number, service, zone, model_speed if service == MODEL_SERVICE else web_speed)
        for number, (service, zone) in enumerate(places)
    ]


def make_web_backends(
    layout: Layout, service: str, speed: EngineSpeed, first_number: int
) -> list[StandInBackend]:
    """The backends of another service like the web service, numbered from `first_number` on."""
    return [
        _backend(layout, first_number + number, service, zone, speed) for number, zone in enumerate(WEB_ZONES)
    ]


def _backend(layout: Layout, number: int, service: str, zone: Zone, speed: EngineSpeed) -> StandInBackend:
    is_model = service == MODEL_SERVICE
    address = layout.backend_address(number)
    catalogue_entry = Backend(
        id=f"{service}-{number + 1}",
        service=service,
        address=str(address),
        zone=str(zone),
        capacity=MODEL_CAPACITY if is_model else WEB_CAPACITY,
        stage="dual" if is_model else None,
        models=(ServedModel("m"),) if is_model else (),
    )
    return StandInBackend(catalogue_entry, address, speed, CACHE_TOKENS if is_model else 0)


def _route(kind: RequestKind, service: str, route_type: RouteType, priority: int) -> Route:
    prefix = f"/{kind.path.split('/')[1]}/"
    return Route(
        name=kind.name,
        hostname=kind.host,
        path_prefix=prefix,
        route_type=route_type,
        timeout_ms=kind.deadline_s * 1000,
        target_latency_ms=1000,
        priority=priority,
        service=service,
        max_attempts=2,
        session_affinity=bool(kind.events),
    )
