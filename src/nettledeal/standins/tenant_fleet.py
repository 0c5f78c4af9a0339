"""A fleet of agents and backends without I/O, for simulated schedules of tenants.

The parts are the production ones: control state and its published entries, routing table, gate, selection
and the request as sent to a backend. The caller passes the time.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random

from nettledeal.dataplane.call_description import describe_call
from nettledeal.dataplane.client_request import ClientRequest
from nettledeal.dataplane.routing_table import RoutingTable, updated_table
from nettledeal.dataplane.selection import AttemptOutcome, Refusal, Selector, ServiceProfile, Tuning
from nettledeal.discovery.catalogue import Backend
from nettledeal.net.protocol.framing import MalformedMessage
from nettledeal.standins.prefix_cache import RecordingCache, parse_prompt
from nettledeal.standins.tenant_faults import Fault, Hints, faulty_separate
from nettledeal.tenancy.gate import TenantGate, TenantRefusal
from nettledeal.tenancy.keys import KeyRing, Opener
from nettledeal.tenancy.prompts import separate
from nettledeal.tenancy.wiring import rewritten_services

ZONES = {"north-1": "north", "south-1": "south"}
MAX_HEADER_BYTES, MAX_BODY_BYTES = 16_384, 65_536
# Keys of the control source that a data plane of the release without tenants reads.
OLD_RELEASE_KEY_PREFIXES = ("route/", "service/", "evacuation/", "limits", "generation")


@dataclass
class Engine:
    """One incarnation of a backend and its cache."""

    catalogue_entry: Backend
    cache: RecordingCache

    def read(self, tenant: str, sent: bytes) -> None:
        """Parse a request as sent over the wire and process its prompt."""
        request = ClientRequest(MAX_HEADER_BYTES, MAX_BODY_BYTES)
        request.read(bytearray(sent), len(sent))
        self.cache.prefill_for(tenant, parse_prompt(request.header(b"prompt-prefix").decode("latin-1")))


@dataclass
class Agent:
    """The parts of a data plane that a request passes on its way to a backend."""

    zone: str
    opener: Opener | None
    random: Random
    fault: Fault | None = None
    hints: Hints = field(default_factory=dict)
    of_old_release: bool = False
    version: int = -1

    def __post_init__(self) -> None:
        self.table = RoutingTable()
        region = ZONES[self.zone]
        self.selector = Selector(Tuning(), self.zone, region, ZONES, self.random)
        separated = separate if self.fault is None else faulty_separate(self.fault, self.hints)
        self.gate = TenantGate(KeyRing(region, self.opener, self.random.randbytes), separated)
        self.rewritten: frozenset[str] = frozenset()
        self._first_seen: dict[str, bool] = {}

    def apply(self, version: int, entries: Mapping[str, bytes], now: float) -> None:
        """Apply a version of the control source."""
        if self.of_old_release:
            entries = {
                key: value for key, value in entries.items() if key.startswith(OLD_RELEASE_KEY_PREFIXES)
            }
        self.version = version
        self.table = updated_table(self.table, entries)
        self.selector.update_services([ServiceProfile(name) for name in self.table.services], now)
        self.gate.apply(entries)
        self.rewritten = rewritten_services(self.table.services)

    def serve(self, text: bytes, tenant: str, engines: Mapping[str, Engine], now: float) -> HTTPStatus:
        """Serve a client's request as `ingress` and `forwarding` do; returns the status of the answer."""
        request = ClientRequest(MAX_HEADER_BYTES, MAX_BODY_BYTES)
        try:
            request.read(bytearray(text), len(text))
            request.validate()
        except MalformedMessage as error:
            return HTTPStatus(error.status)
        target = self.table.find(request.header(b"host"), request.path)
        if target is None:
            return HTTPStatus.NOT_FOUND if self.table.configured else HTTPStatus.SERVICE_UNAVAILABLE
        if target.requires_tenant:
            try:
                target = self.gate.admit(request, target)
            except TenantRefusal as refusal:
                return refusal.status
        service = target.pick_service(self.random)
        request.rewrites_prompt = self._rewrites(target.route.name, service)
        call = describe_call(request, target, service, 0)
        chosen = self.selector.choose(call, now)
        if isinstance(chosen, Refusal):
            return HTTPStatus.SERVICE_UNAVAILABLE
        attempt = self.selector.start_attempt(chosen.id, call, now)
        if request.separated is not None:
            self.gate.attempted(request.separated, attempt)
        engine = engines.get(chosen.id)
        if engine is None:
            self.selector.finish_attempt(attempt, AttemptOutcome.UNREACHABLE, now)
            return HTTPStatus.SERVICE_UNAVAILABLE
        engine.read(tenant, b"".join(request.encode_for_backend(chosen.id, 1, 1.0)))
        self.selector.record_first_event(attempt, now + 0.01)
        self.selector.finish_attempt(attempt, AttemptOutcome.COMPLETED, now + 0.02)
        return HTTPStatus.OK

    def _rewrites(self, route_name: str, service: str) -> bool:
        rewrites = service in self.rewritten
        if self.fault is Fault.STALE_AFTER_MOVE:
            return self._first_seen.setdefault(route_name, rewrites)
        return rewrites
