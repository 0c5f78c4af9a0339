"""The client listener and its connections, and what they share: the routes in force and their limits."""

from __future__ import annotations

import time

import gevent
from gevent import socket
from gevent.event import Event

from nettledeal.dataplane.client_connection import ClientConnection, RequestLimits
from nettledeal.dataplane.configuration_in_force import ConfigurationInForce
from nettledeal.dataplane.forwarding import Forwarding
from nettledeal.dataplane.routing_table import RoutingTable
from nettledeal.net.transport.buffers import MemoryPool
from nettledeal.net.transport.peer_close_watcher import PeerCloseWatcher

ACCEPT_PAUSE_S = 0.05


class Ingress:
    """The client listener and its accepted connections."""

    def __init__(
        self,
        forwarding: Forwarding,
        memory_pool: MemoryPool,
        max_connections: int,
        configuration: ConfigurationInForce | None = None,
    ):
        self.forwarding = forwarding
        self.configuration = configuration or ConfigurationInForce()
        self.memory_pool = memory_pool
        self.max_connections = max_connections
        self.table = RoutingTable()
        self.limits = RequestLimits(self.table)
        self.connections: dict[ClientConnection, None] = {}
        self.draining = False
        self.has_catalogue = False
        self.started_at = time.monotonic()
        self.last_accepted_at = 0.0
        self.peer_close_watcher = PeerCloseWatcher()
        self._can_serve_event = Event()
        self._listener: socket.socket | None = None
        self._accept_loop: gevent.Greenlet | None = None

    def use_table(self, table: RoutingTable) -> None:
        """Use a new table for all later requests."""
        self.table = table
        self.limits = RequestLimits(table)
        self._signal_can_serve()

    def set_catalogue_received(self) -> None:
        """Note that a catalogue was received."""
        self.has_catalogue = True
        self._signal_can_serve()

    @property
    def can_serve(self) -> bool:
        """Whether there are a configuration and a catalogue, both required to serve requests."""
        return self.table.configured and self.has_catalogue

    def wait_until_can_serve(self, timeout_s: float) -> bool:
        """Wait until requests can be served; returns whether they can."""
        return self.can_serve or (self._can_serve_event.wait(timeout_s) and self.can_serve)

    def _signal_can_serve(self) -> None:
        if self.can_serve:
            self._can_serve_event.set()

    def start(self, listener: socket.socket) -> None:
        """Accept connections on a listening socket."""
        self._listener = listener
        self._accept_loop = gevent.spawn(self._accept, listener)

    def stop_accepting(self) -> None:
        """Close the listener; existing connections stay open."""
        if self._accept_loop is not None:
            self._accept_loop.kill()
            self._accept_loop = None
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def drain(self) -> None:
        """Close connections after their next response, which announces it."""
        self.draining = True
        for connection in self.connections:
            connection.closing = connection.closing or not connection.idle

    def close_idle(self) -> None:
        """Close the connections on which no part of a request has been read."""
        for connection in list(self.connections):
            connection.close_if_idle()

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request that is partly read or has no response yet."""
        return sum(not connection.idle for connection in self.connections)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                # Out of file descriptors, or the client disconnected at once; the listener itself stays open.
                gevent.sleep(ACCEPT_PAUSE_S)
                continue
            if len(self.connections) >= self.max_connections:
                self._close_one_idle()
            self.last_accepted_at = time.monotonic()
            gevent.spawn(ClientConnection(self, sock).run)

    def _close_one_idle(self) -> None:
        for connection in self.connections:
            if connection.close_if_idle():
                return
