"""Connections between core machines.

Each connection carries messages one way: a replica sends only on connections that it opened itself.
"""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Callable

import gevent
from gevent.event import Event

from nettledeal.common.addresses import Address
from nettledeal.common.connections import connect, listening_socket, tune
from nettledeal.common.errors import ServingError
from nettledeal.common.logs import log_event
from nettledeal.common.messages import FrameConnection
from nettledeal.control.messages import CODEC, ForeignCluster, Hello, Message, ReplicaInfo

CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 2.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
MAX_QUEUED_MESSAGES = 512
ACCEPT_PAUSE_S = 0.05


class Link:
    """The connection to one host, reopened whenever it ends. Messages that can't be sent are dropped."""

    def __init__(
        self,
        address: Address,
        hello: Callable[[], Hello],
        on_refused: Callable[[str, str], None],
        silence_s: float,
    ):
        self._address, self._hello, self._silence_s = address, hello, silence_s
        self._on_refused = on_refused
        self._queue: deque[Message] = deque()
        self._queue_filled = Event()
        self._connection: FrameConnection | None = None
        self._greenlet = gevent.spawn(self._run)

    def send(self, message: Message) -> None:
        """Queue a message; it is dropped if there is no connection or the queue is full."""
        if self._connection is None or len(self._queue) >= MAX_QUEUED_MESSAGES:
            return
        self._queue.append(message)
        self._queue_filled.set()

    def close(self) -> None:
        """Close the connection permanently."""
        self._greenlet.kill(block=False)
        self._close_connection()

    def _run(self) -> None:
        retry_s = RETRY_MIN_S
        while True:
            try:
                sock = connect(self._address, CONNECT_TIMEOUT_S, self._silence_s)
            except ServingError:
                gevent.sleep(retry_s)
                retry_s = min(retry_s * 2, RETRY_MAX_S)
                continue
            retry_s = RETRY_MIN_S
            self._connection = FrameConnection(sock, CODEC, str(self._address))
            log_event("control:connected", host=self._address.host)
            watcher = gevent.spawn(self._watch_for_end, self._connection)
            self._send_all(self._connection)
            watcher.kill(block=False)
            self._close_connection()
            gevent.sleep(RETRY_MIN_S)

    def _send_all(self, connection: FrameConnection) -> None:
        try:
            connection.send(self._hello())
            while self._connection is connection:
                self._queue_filled.wait()
                self._queue_filled.clear()
                while self._queue:
                    connection.send(self._queue.popleft())
        except ServingError:
            return

    def _watch_for_end(self, connection: FrameConnection) -> None:
        """Detect that the connection has ended; the peer sends nothing on it except a refusal."""
        with contextlib.suppress(ServingError):
            answer = connection.receive()
            if isinstance(answer, ForeignCluster):
                self._on_refused(self._address.host, answer.cluster)
        if self._connection is connection:
            self._connection = None
            self._queue_filled.set()

    def _close_connection(self) -> None:
        connection, self._connection = self._connection, None
        self._queue.clear()
        if connection is not None:
            connection.close()


class Mesh:
    """Links to other core machines, and the connections that they opened to this one.

    `own_cluster_if_foreign` returns this machine's cluster if a Hello comes from a different one;
    `on_refused` is called with the host that refused this machine's Hello and that host's cluster.
    """

    def __init__(
        self,
        own: Address,
        hello: Callable[[], Hello],
        on_message: Callable[[ReplicaInfo, Message], None],
        own_cluster_if_foreign: Callable[[Hello], str | None],
        on_refused: Callable[[str, str], None],
        silence_s: float,
    ):
        self._own, self._hello, self._on_message, self._silence_s = own, hello, on_message, silence_s
        self._own_cluster_if_foreign, self._on_refused = own_cluster_if_foreign, on_refused
        self._links: dict[str, Link] = {}
        self._incoming: dict[str, FrameConnection] = {}
        self._listener = None
        self._stopped = False

    def start(self) -> None:
        """Start accepting connections. Raises OSError if the port is taken."""
        self._listener = listening_socket(self._own)
        gevent.spawn(self._accept)

    def stop(self) -> None:
        """Close all links and connections."""
        self._stopped = True
        for link in self._links.values():
            link.close()
        for connection in list(self._incoming.values()):
            connection.close()
        if self._listener is not None:
            self._listener.close()

    def set_hosts(self, hosts: set[str]) -> None:
        """Maintain links to exactly these hosts."""
        for host in hosts - self._links.keys() - {self._own.host}:
            address = Address(host, self._own.port)
            self._links[host] = Link(address, self._hello, self._on_refused, self._silence_s)
        for host in self._links.keys() - hosts:
            self._links.pop(host).close()

    def send(self, host: str, message: Message) -> None:
        """Send to a host if there is a link to it."""
        link = self._links.get(host)
        if link is not None:
            link.send(message)

    def _accept(self) -> None:
        while not self._stopped:
            try:
                sock, (host, _) = self._listener.accept()
                tune(sock, self._silence_s)
            except OSError as error:
                # Out of file descriptors, or the peer has gone already; the listener itself stays open.
                if not self._stopped:
                    log_event("control:accept_failed", reason=str(error))
                    gevent.sleep(ACCEPT_PAUSE_S)
                continue
            gevent.spawn(self._serve, FrameConnection(sock, CODEC, host))

    def _serve(self, connection: FrameConnection) -> None:
        host = None
        try:
            hello = connection.receive(HELLO_TIMEOUT_S)
            if not isinstance(hello, Hello):
                return
            own_cluster = self._own_cluster_if_foreign(hello)
            if own_cluster is not None:
                connection.send(ForeignCluster(own_cluster))
                return
            host = hello.sender.host
            earlier = self._incoming.pop(host, None)
            if earlier is not None:
                earlier.close()
            self._incoming[host] = connection
            log_event("control:heard", host=host, epoch=hello.record.epoch if hello.record else None)
            self._on_message(hello.sender, hello)
            while True:
                self._on_message(hello.sender, connection.receive())
        except ServingError:
            return
        finally:
            connection.close()
            if host is not None and self._incoming.get(host) is connection:
                del self._incoming[host]
