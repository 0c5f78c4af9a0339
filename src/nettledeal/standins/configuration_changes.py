"""The configurations of a soak: each adds, drops and exchanges routes, so that answers tell versions apart.

The routes of the requests that clients send all the time are in every configuration. Each one also has a
route of its own, which the next `KEPT_CHANGES` keep and later ones drop, a route whose service changes with
each configuration, one that is split, and one whose backends take longer than its changing time-out.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from types import MappingProxyType

import msgspec

from nettledeal.operator_api.configuration import Configuration, Route, RouteType, Service, WeightedService
from nettledeal.standins.scenario import HOST, WEB_SERVICE, make_configuration

OTHER_WEB_SERVICE = "web-2"
SLOW_SERVICE = "slow"
EXCHANGED_PREFIX = "/exchanged/"
SPLIT_PREFIX = "/split/"
SLOW_PREFIX = "/slow/"
UNKNOWN_PREFIX = "/never/"
SPLIT_WEIGHTS: Mapping[str, float] = MappingProxyType({WEB_SERVICE: 3.0, OTHER_WEB_SERVICE: 1.0})
SLOW_TIMEOUTS_MS = (400.0, 800.0)
KEPT_CHANGES = 2
TIMEOUT_MS = 4000.0

Services = Mapping[str, tuple[str, ...]]  # by path prefix


class Answer(Enum):
    """What the operator has been told of a change."""

    NONE = auto()  # it may or may not be in force
    ACKNOWLEDGED = auto()
    REFUSED = auto()


@dataclass(eq=False)
class ConfigurationChange:
    """A configuration that the operator sends on top of a version. Times are monotonic seconds."""

    generation: int
    expected_version: int
    body: bytes
    services: Services
    slow_timeout_s: float = 0.0
    valid: bool = True
    answer: Answer = Answer.NONE
    sent_at: float | None = None
    acknowledged_at: float | None = None
    refused_at: float | None = None

    def allows(self, prefix: str, service: str | None) -> bool:
        """Whether a request on this prefix is run by `service`, or answered with 404 if that is None."""
        services = self.services.get(prefix, ())
        return service in services if service is not None else not services

    def may_be_in_force_by(self, at: float) -> bool:
        """Whether an edge machine may have gone by it at that time."""
        return (
            self.valid
            and self.answer is not Answer.REFUSED
            and self.sent_at is not None
            and self.sent_at <= at
        )


def added_prefix(generation: int, variant: str = "") -> str:
    """The prefix of the route that the configuration of a generation adds; variants are its rivals."""
    return f"/added-{generation}{variant}/"


def make_change(
    generation: int, expected_version: int, earlier: list[int], variant: str = ""
) -> ConfigurationChange:
    """The next configuration. `earlier` has the generations put before it, the newest last."""
    kept = [added_prefix(kept_generation) for kept_generation in earlier[-KEPT_CHANGES:]]
    exchanged = WEB_SERVICE if len(earlier) % 2 else OTHER_WEB_SERVICE
    services = dict.fromkeys([*kept, added_prefix(generation, variant)], (WEB_SERVICE,))
    services |= {
        EXCHANGED_PREFIX: (exchanged,),
        SPLIT_PREFIX: tuple(SPLIT_WEIGHTS),
        SLOW_PREFIX: (SLOW_SERVICE,),
    }
    slow_timeout_ms = SLOW_TIMEOUTS_MS[len(earlier) % len(SLOW_TIMEOUTS_MS)]
    timeouts_ms = {SLOW_PREFIX: slow_timeout_ms}
    base = msgspec.json.decode(make_configuration(generation), type=Configuration)
    routes = [
        *base.routes,
        *(_route(prefix, names, timeouts_ms.get(prefix, TIMEOUT_MS)) for prefix, names in services.items()),
    ]
    others = [Service(name, "/healthz", max_connections=100) for name in (OTHER_WEB_SERVICE, SLOW_SERVICE)]
    configuration = msgspec.structs.replace(base, routes=routes, services=[*base.services, *others])
    body = msgspec.json.encode(configuration)
    return ConfigurationChange(generation, expected_version, body, services, slow_timeout_ms / 1000)


def _route(prefix: str, services: tuple[str, ...], timeout_ms: float) -> Route:
    split = [WeightedService(service, SPLIT_WEIGHTS[service]) for service in services if len(services) > 1]
    return Route(
        name=prefix.strip("/"),
        hostname=HOST,
        path_prefix=prefix,
        route_type=RouteType.IDEMPOTENT,
        timeout_ms=timeout_ms,
        target_latency_ms=TIMEOUT_MS / 4,
        service=None if split else services[0],
        traffic_split=split or None,
        max_attempts=2 if timeout_ms == TIMEOUT_MS else 1,
    )


class Invalidity(Enum):
    """What is wrong with an invalid configuration."""

    CUT_SHORT = auto()
    UNKNOWN_SERVICE = auto()
    SAME_PLACE = auto()
    NO_WEIGHT = auto()
    NO_TIMEOUT = auto()
    OLD_GENERATION = auto()
    SAME_GENERATION = auto()
    STALE_VERSION = auto()


def make_invalid_change(proper: ConfigurationChange, invalidity: Invalidity) -> ConfigurationChange:
    """The given change made invalid; it must not be acknowledged, nor ever be in force."""
    content = msgspec.json.decode(proper.body)
    expected_version = proper.expected_version
    route = next(route for route in content["routes"] if route.get("service") == WEB_SERVICE)
    match invalidity:
        case Invalidity.UNKNOWN_SERVICE:
            route["service"] = "no-such-service"
        case Invalidity.SAME_PLACE:
            content["routes"].append({**route, "name": "twin"})
        case Invalidity.NO_WEIGHT:
            route.pop("service")
            route["traffic_split"] = [{"service": WEB_SERVICE, "weight": 0}]
        case Invalidity.NO_TIMEOUT:
            route["timeout_ms"] = 0
        case Invalidity.OLD_GENERATION:
            content["generation"] = max(0, expected_version - 1)
        case Invalidity.SAME_GENERATION:
            content["generation"] = expected_version
        case Invalidity.STALE_VERSION:
            expected_version -= 1
    body = msgspec.json.encode(content)
    if invalidity is Invalidity.CUT_SHORT:
        body = body[: len(body) * 2 // 3]
    return ConfigurationChange(proper.generation, expected_version, body, proper.services, valid=False)
