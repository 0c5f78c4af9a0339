"""Serves the sources of a core machine to its subscribers over TCP."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Mapping

import gevent
from gevent.event import Event
from gevent.server import StreamServer

from nettledeal.common import connections
from nettledeal.common.addresses import InternalPort
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.logs import log_event
from nettledeal.common.messages import FrameConnection
from nettledeal.common.settings import Settings
from nettledeal.distribution.protocol import CODEC, PROTOCOL_VERSION, BackendFindings, Heartbeat, Version
from nettledeal.distribution.publisher_session import PublisherSession
from nettledeal.distribution.source import PublishedSource, SharedMessage

HEARTBEAT_FRACTION = 0.125  # of `contact_ms`
FIRST_MESSAGE_TIMEOUT_S = 3.0
# Reports for a subscriber that has no room for them; older ones are dropped.
MOST_REPORTS = 16


class SubscriberConnection:
    """One subscriber's connection: a greenlet that reads, and one that writes what the subscriber lacks."""

    def __init__(self, connection: FrameConnection, sources: Mapping[str, PublishedSource], silence_s: float):
        self.session = PublisherSession(sources, connection.peer)
        self._connection = connection
        self._silence_s = silence_s
        self._due = Event()
        self._heartbeat: SharedMessage | None = None
        self._reports: deque[SharedMessage] = deque(maxlen=MOST_REPORTS)
        self._closed = False

    def run(
        self, first_heartbeat: Callable[[], SharedMessage], pass_on: Callable[[BackendFindings], None]
    ) -> None:
        """Serve the subscriber until the connection ends; raises ServingError with the cause."""
        self.session.receive(self._connection.receive(FIRST_MESSAGE_TIMEOUT_S))
        self.beat(first_heartbeat())
        writer = gevent.spawn(self._write)
        try:
            while True:
                report = self.session.receive(self._connection.receive())
                if report is not None:
                    pass_on(report)
                self._due.set()
        finally:
            self.close()
            writer.kill(block=False)

    def beat(self, heartbeat: SharedMessage) -> None:
        """Send a heartbeat with what else is due; one that could not be sent yet is replaced."""
        self._heartbeat = heartbeat
        self._due.set()

    def tell(self, report: SharedMessage) -> None:
        """Send an agent's report with what else is due."""
        self._reports.append(report)
        self._due.set()

    def notify(self) -> None:
        """A source has a new version."""
        self._due.set()

    def close(self) -> None:
        """End the connection."""
        if not self._closed:
            self._closed = True
            self._connection.close()

    def _write(self) -> None:
        sock = self._connection.sock
        sock.settimeout(None)
        try:
            while not self._closed:
                self._due.wait()
                self._due.clear()
                if frames := self._frames():
                    with gevent.Timeout(self._silence_s):
                        sock.sendall(b"".join(frames))
        except (OSError, gevent.Timeout):
            self.close()

    def _frames(self) -> list[bytes]:
        frames = []
        if self._heartbeat is not None:
            frames.append(self._heartbeat.frame)
            self._heartbeat = None
        frames.extend(report.frame for report in self._reports)
        self._reports.clear()
        protocol = self.session.protocol
        frames.extend(message.frame_for(protocol) for message in self.session.lacking())
        return frames


class Publisher:
    """All subscribers of this process. Sources are published to by others, who then call `notify`."""

    def __init__(self, settings: Settings, sources: Mapping[str, PublishedSource]):
        self.sources = sources
        self.subscribers_accepted = 0
        self._silence_s = settings.bounds.contact_ms / 1000
        self._heartbeat_period_s = HEARTBEAT_FRACTION * self._silence_s
        self._address = settings.internal_address(InternalPort.DISTRIBUTION)
        self._connections: dict[str, SubscriberConnection] = {}
        self._server: StreamServer | None = None
        self._beating: gevent.Greenlet | None = None

    @property
    def port(self) -> int:
        """The port listened on."""
        assert self._server is not None
        return self._server.server_port

    def start(self) -> None:
        """Listen and serve; raises OSError if the address is taken."""
        self._server = StreamServer(connections.listening_socket(self._address), self._serve)
        self._server.start()
        self._beating = gevent.spawn(self._beat)

    def stop(self) -> None:
        """End all subscriptions."""
        if self._beating is not None:
            self._beating.kill(block=False)
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections.values()):
            connection.close()

    def notify(self) -> None:
        """Have every subscriber sent what it lacks since a source changed."""
        for connection in self._connections.values():
            connection.notify()

    def acknowledged(self) -> dict[str, dict[str, Version]]:
        """The newest versions applied, by subscriber and source."""
        return {
            connection.session.subscriber.subscriber: connection.session.acknowledged()
            for connection in self._connections.values()
            if connection.session.subscriber is not None
        }

    def least_acknowledged(self, source: str) -> Version | None:
        """The oldest version of `source` that a connected subscriber is at; None without subscribers."""
        versions = (versions[source] for versions in self.acknowledged().values() if source in versions)
        return min(versions, default=None)

    def _serve(self, sock: gevent.socket.socket, address: tuple[str, int]) -> None:
        peer = f"{address[0]}:{address[1]}"
        connections.tune(sock, self._silence_s)
        connection = SubscriberConnection(FrameConnection(sock, CODEC, peer), self.sources, self._silence_s)
        self._connections[peer] = connection
        self.subscribers_accepted += 1
        try:
            connection.run(self._heartbeat, lambda findings: self._pass_on(connection, findings))
        except ServingError as error:
            if error.code is ErrorCode.MALFORMED_MESSAGE:
                log_event("distribution:subscriber_refused", peer=peer, reason=error.reason)
        finally:
            del self._connections[peer]
            connection.close()

    def _pass_on(self, sender: SubscriberConnection, findings: BackendFindings) -> None:
        shared = SharedMessage(findings)
        for connection in self._connections.values():
            if connection.session.hears_failures_from(sender.session):
                connection.tell(shared)

    def _beat(self) -> None:
        while True:
            gevent.sleep(self._heartbeat_period_s)
            heartbeat = self._heartbeat()
            for connection in list(self._connections.values()):
                connection.beat(heartbeat)

    def _heartbeat(self) -> SharedMessage:
        now_s = time.monotonic()
        statuses = [source.status(now_s) for source in self.sources.values()]
        return SharedMessage(Heartbeat(statuses, PROTOCOL_VERSION))
