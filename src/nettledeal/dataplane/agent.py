"""The data plane of one process: wires ingress, selection, forwarding and connections together."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Mapping
from functools import lru_cache
from random import Random

import gevent

from nettledeal.common.addresses import parse_address
from nettledeal.common.connections import cooperative, listening_socket
from nettledeal.common.listeners import StandardSocket
from nettledeal.common.logs import log_event
from nettledeal.common.settings import Settings
from nettledeal.dataplane.backend_connections import BackendConnections
from nettledeal.dataplane.configuration_in_force import ConfigurationInForce
from nettledeal.dataplane.draining import Drain
from nettledeal.dataplane.forwarding import Forwarding
from nettledeal.dataplane.ingress import Ingress
from nettledeal.dataplane.known_backends import BackendChanges, KnownBackends
from nettledeal.dataplane.readiness import ReadinessServer
from nettledeal.dataplane.retry_budget import BudgetTerms, EqualShare, LeasedShare, RetryBudget
from nettledeal.dataplane.routing_table import TENANCY_KEY, RoutingTable, updated_table
from nettledeal.dataplane.selection import BackendReport, Selector, ServiceProfile, Tuning, WarmupBounds
from nettledeal.discovery.catalogue import Backend, BackendState
from nettledeal.net.transport.buffers import MemoryPool
from nettledeal.operator_api.configuration import Service
from nettledeal.shares.lease import ShareLease
from nettledeal.shares.roster import roster_in

MAINTENANCE_INTERVAL_S = 0.5
# Share of the process memory for buffering messages beyond the first bytes of each.
MESSAGE_MEMORY_SHARE = 0.25
MEBIBYTE = 1 << 20
# File descriptors not available to clients: open files and what the process itself uses.
RESERVED_FDS = 264
CLIENT_FDS_SHARE = 0.7
ADDRESS_CACHE_SIZE = 16_384


class DataPlane:
    """Serves clients according to the latest configuration and catalogue."""

    def __init__(self, settings: Settings, random: Random | None = None):
        self.settings = settings
        self.random = random or Random()
        now = time.monotonic()
        bounds = settings.bounds
        self.lease = ShareLease(settings.node_name, now)
        self.equal_share = EqualShare()
        terms = BudgetTerms(bounds.retry_budget_ratio, bounds.retry_budget_slack, bounds.budget_window_s)
        self.budget = RetryBudget(
            terms, LeasedShare(self.lease, terms.window_s + terms.window_margin_s, self.equal_share)
        )
        tuning = Tuning(warmup=WarmupBounds(bounds.warmup_overage, bounds.warmup_slack))
        self.selector = Selector(tuning, settings.zone, settings.region, settings.zones, self.random)
        self.selector.warmup.lease = self.lease
        self.memory_pool = MemoryPool(int(settings.limits.memory_mb * MEBIBYTE * MESSAGE_MEMORY_SHARE))
        self.connections = BackendConnections(self.memory_pool)
        self.selector.placement.has_idle_connection = self._has_idle_connection
        self.forwarding = Forwarding(self.selector, self.budget, self.connections, self.random)
        max_clients = int((settings.limits.max_fds - RESERVED_FDS) * CLIENT_FDS_SHARE)
        self.configuration = ConfigurationInForce(settings.log_requests)
        self.ingress = Ingress(self.forwarding, self.memory_pool, max(16, max_clients), self.configuration)
        self.readiness = ReadinessServer(lambda: self.ready, self.tenants_page)
        self.control_version: object = None
        self.catalogue_version: object = None
        self.known_backends = KnownBackends()
        self._catalogue_applied = False  # whether the last catalogue was applied without an error
        self._applied_connection_config: tuple[object, ...] = ()
        self.on_ready_changed: Callable[[bool], None] = lambda ready: None
        self._table = RoutingTable()
        self._maintenance: gevent.Greenlet | None = None
        self._probing: set[str] = set()

    @property
    def table(self) -> RoutingTable:
        """The routes in force."""
        return self._table

    @property
    def ready(self) -> bool:
        """Whether clients may connect: configuration and catalogue are present, no drain has begun."""
        return self.ingress.can_serve and not self.ingress.draining

    def start(self, listener: StandardSocket | None = None) -> None:
        """Accept clients, from `listener` if given, and readiness checks. Raises OSError."""
        frontend, readiness = self.settings.listen.frontend, self.settings.listen.readiness
        if listener is not None:
            self.ingress.start(cooperative(listener))
        elif frontend is not None:
            self.ingress.start(listening_socket(parse_address(frontend)))
        if readiness is not None:
            self.readiness.start(parse_address(readiness))
        self._maintenance = gevent.spawn(self._run_maintenance)

    def apply_control(self, version: object, entries: Mapping[str, bytes]) -> None:
        """Apply the complete control state as of `version`, by key."""
        was_ready = self.ready
        now = time.monotonic()
        table = updated_table(self._table, entries)
        self._table = table
        self.control_version = version
        self.lease.update_roster(roster_in(entries))
        self.selector.update_services([_profile(service) for service in table.services.values()], now)
        self.selector.set_evacuated(table.evacuated, now)
        if self._applied_connection_config != self._connection_config():
            self._update_connections()
        if TENANCY_KEY in entries or self.forwarding.tenants is not None:
            self._update_tenants(entries)
        self.ingress.use_table(table)
        self.configuration.change(version, entries, table)
        self._publish_ready_change(was_ready)

    def _update_tenants(self, entries: Mapping[str, bytes]) -> None:
        """Apply tenants and their keys; the first configuration that has any imports the modules for them."""
        from nettledeal.tenancy.wiring import make_gate, rewritten_services

        if self.forwarding.tenants is None:
            self.forwarding.tenants = make_gate(self.settings)
        self.forwarding.tenants.apply(entries)
        self.forwarding.rewritten_services = rewritten_services(self._table.services)

    def tenants_page(self) -> bytes | None:
        """Counts of lookups and refusals per tenant, in JSON; None while no configuration has had tenants."""
        gate = self.forwarding.tenants
        return None if gate is None else gate.counters.page()

    def apply_catalogue(
        self, version: object, entries: Mapping[str, bytes], changed_keys: Collection[str] | None = None
    ) -> None:
        """Apply the complete catalogue as of `version`, encoded backends by id.

        `changed_keys`, if given, contains all keys that differ from the last applied catalogue.
        """
        was_ready = self.ready
        now = time.monotonic()
        full_update = changed_keys is None or not self._catalogue_applied
        self._catalogue_applied = False
        if full_update:
            self.selector.update_backends(self.known_backends.update(entries, now), now)
            self._update_connections()
        else:
            self._apply_catalogue_changes(self.known_backends.change(entries, changed_keys, now), now)
        self._catalogue_applied = True
        self.catalogue_version = version
        self.ingress.set_catalogue_received()
        self._publish_ready_change(was_ready)

    def _apply_catalogue_changes(self, changes: BackendChanges, now: float) -> None:
        self.selector.change_backends(changes.changed, changes.removed, now)
        for backend_id in changes.removed:
            self.connections.remove(backend_id)
        for backend in changes.changed:
            if self._is_connectable(backend):
                address = _backend_address(backend.address)
                self.connections.change(backend.id, address, self._max_connections(backend))
            else:
                self.connections.remove(backend.id)

    def apply_report(self, report: BackendReport) -> None:
        """Apply a report on backends from another agent of the zone."""
        self.selector.apply_report(report, time.monotonic())

    def set_data_plane_members(self, count: int, names: Collection[str]) -> None:
        """Set the live data-plane members, including this process."""
        self.equal_share.set_members(count, time.monotonic())
        self.connections.members = max(1, count)
        self.selector.set_agents(names, self.settings.node_name, time.monotonic())

    def set_suspect_zones(self, zones: Collection[str]) -> None:
        """Set the zones that may have failed as a whole, judging by the members that did."""
        self.selector.set_suspect_zones(zones)

    def stop(self) -> None:
        """Drain and stop; returns once every request has its response, or the grace period is nearly over."""
        was_ready = self.ready
        self.ingress.drain()
        self._publish_ready_change(was_ready)
        Drain(self.ingress, self.settings.bounds).run()
        self.close()

    def close(self) -> None:
        """Close all but the connections of clients, without a drain."""
        self.connections.close()
        self.readiness.stop()
        if self._maintenance is not None:
            self._maintenance.kill()

    def _has_idle_connection(self, backend_id: str, now: float) -> bool:
        return self.connections.has_idle(backend_id, now, self.selector.max_idle_s(backend_id, now))

    def _update_connections(self) -> None:
        self._applied_connection_config = self._connection_config()
        usable = [
            backend
            for backend in self.known_backends.as_of(time.monotonic())
            if self._is_connectable(backend)
        ]
        self.connections.update(
            {backend.id: _backend_address(backend.address) for backend in usable},
            {backend.id: self._max_connections(backend) for backend in usable},
        )

    def _connection_config(self) -> tuple[object, ...]:
        """The part of the configuration that connections depend on."""
        services = self._table.services
        return self._table.evacuated, {name: service.max_connections for name, service in services.items()}

    def _is_connectable(self, backend: Backend) -> bool:
        return backend.state is BackendState.READY and backend.zone not in self._table.evacuated

    def _max_connections(self, backend: Backend) -> int:
        service = self._table.services.get(backend.service)
        return 0 if service is None else service.max_connections

    def _publish_ready_change(self, was_ready: bool) -> None:
        if self.ready != was_ready:
            log_event("dataplane:ready", ready=self.ready)
            self.on_ready_changed(self.ready)

    def _run_maintenance(self) -> None:
        while True:
            gevent.sleep(MAINTENANCE_INTERVAL_S)
            now = time.monotonic()
            self.connections.close_idle(now)
            self.selector.report_silent_backends(now)
            for backend_id in self.selector.unreachable_backends(now):
                if backend_id not in self._probing:
                    self._probing.add(backend_id)
                    gevent.spawn(self._probe, backend_id)

    def _probe(self, backend_id: str) -> None:
        """Try to connect to an unreachable backend."""
        pool = self.connections.pool(backend_id)
        try:
            if pool is not None and pool.try_connect(time.monotonic()):
                self.selector.record_reachable(backend_id, time.monotonic())
        finally:
            self._probing.discard(backend_id)


# Cached, since every change of the connection configuration goes through all backends.
_backend_address = lru_cache(maxsize=ADDRESS_CACHE_SIZE)(parse_address)


def _profile(service: Service) -> ServiceProfile:
    engine = service.engine
    return ServiceProfile(
        name=service.name,
        max_connections=service.max_connections,
        warmup_s=service.warmup_s,
        warmup_per_s=service.warmup_per_s,
        engine_capacity=0 if engine is None else engine.capacity,
        kv_cache_tokens=0 if engine is None else engine.kv_cache_tokens,
    )
