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
from nettledeal.distribution.published_source import PublishedSource, SharedMessage
from nettledeal.distribution.publisher_session import PublisherSession

HEARTBEAT_FRACTION = 0.125  # of `contact_ms`
FIRST_MESSAGE_TIMEOUT_S = 3.0
# Bound on findings queued for a slow subscriber; the oldest are dropped.
MAX_QUEUED_REPORTS = 16


class SubscriberConnection:
    """One subscriber's connection, with one greenlet that reads and one that writes pending updates."""

    def __init__(
        self, connection: FrameConnection, sources: Mapping[str, PublishedSource], send_timeout_s: float
    ):
        self.session = PublisherSession(sources, connection.peer)
        self._connection = connection
        self._send_timeout_s = send_timeout_s
        self._send_due = Event()
        self._heartbeat: SharedMessage | None = None
        self._reports: deque[SharedMessage] = deque(maxlen=MAX_QUEUED_REPORTS)
        self._closed = False

    def run(
        self, make_heartbeat: Callable[[], SharedMessage], forward: Callable[[BackendFindings], None]
    ) -> None:
        """Serves the subscriber until the connection ends; raises ServingError with the cause."""
        self.session.receive(self._connection.receive(FIRST_MESSAGE_TIMEOUT_S))
        self.queue_heartbeat(make_heartbeat())
        writer = gevent.spawn(self._send_loop)
        try:
            while True:
                report = self.session.receive(self._connection.receive())
                if report is not None:
                    forward(report)
                self._send_due.set()
        finally:
            self.close()
            writer.kill(block=False)

    def queue_heartbeat(self, heartbeat: SharedMessage) -> None:
        """Schedules a heartbeat; replaces an earlier one that hasn't been sent yet."""
        self._heartbeat = heartbeat
        self._send_due.set()

    def queue_report(self, report: SharedMessage) -> None:
        """Queues an agent's report for sending."""
        self._reports.append(report)
        self._send_due.set()

    def notify(self) -> None:
        """Wakes the writer, since a source has a new version."""
        self._send_due.set()

    def close(self) -> None:
        """Closes the connection."""
        if not self._closed:
            self._closed = True
            self._connection.close()

    def _send_loop(self) -> None:
        sock = self._connection.sock
        sock.settimeout(None)
        try:
            while not self._closed:
                self._send_due.wait()
                self._send_due.clear()
                if frames := self._drain_frames():
                    with gevent.Timeout(self._send_timeout_s):
                        sock.sendall(b"".join(frames))
        except (OSError, gevent.Timeout):
            self.close()

    def _drain_frames(self) -> list[bytes]:
        frames = []
        if self._heartbeat is not None:
            frames.append(self._heartbeat.frame)
            self._heartbeat = None
        frames.extend(report.frame for report in self._reports)
        self._reports.clear()
        protocol = self.session.protocol
        frames.extend(message.frame_for(protocol) for message in self.session.next_messages())
        return frames


class Publisher:
    """Serves all subscribers of this process; whoever updates a source then calls `notify`."""

    def __init__(self, settings: Settings, sources: Mapping[str, PublishedSource]):
        self.sources = sources
        self.subscribers_accepted = 0
        self._send_timeout_s = settings.bounds.contact_ms / 1000
        self._heartbeat_period_s = HEARTBEAT_FRACTION * self._send_timeout_s
        self._address = settings.internal_address(InternalPort.DISTRIBUTION)
        self._connections: dict[str, SubscriberConnection] = {}
        self._server: StreamServer | None = None
        self._heartbeat_greenlet: gevent.Greenlet | None = None

    @property
    def port(self) -> int:
        """The listening port."""
        assert self._server is not None
        return self._server.server_port

    def start(self) -> None:
        """Starts listening and serving; raises OSError if the address is in use."""
        self._server = StreamServer(connections.listening_socket(self._address), self._serve)
        self._server.start()
        self._heartbeat_greenlet = gevent.spawn(self._run_heartbeats)

    def stop(self) -> None:
        """Stops listening and closes all subscriber connections."""
        if self._heartbeat_greenlet is not None:
            self._heartbeat_greenlet.kill(block=False)
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections.values()):
            connection.close()

    def notify(self) -> None:
        """Sends pending updates to every subscriber; called after a source has changed."""
        for connection in self._connections.values():
            connection.notify()

    def acknowledged(self) -> dict[str, dict[str, Version]]:
        """Returns the newest acknowledged versions by subscriber and source."""
        return {
            connection.session.subscriber.subscriber: connection.session.acknowledged()
            for connection in self._connections.values()
            if connection.session.subscriber is not None
        }

    def oldest_acknowledged(self, source: str) -> Version | None:
        """Returns the oldest version of `source` acknowledged by a connected subscriber, if any."""
        versions = (versions[source] for versions in self.acknowledged().values() if source in versions)
        return min(versions, default=None)

    def _serve(self, sock: gevent.socket.socket, address: tuple[str, int]) -> None:
        peer = f"{address[0]}:{address[1]}"
        connections.tune(sock, self._send_timeout_s)
        connection = SubscriberConnection(
            FrameConnection(sock, CODEC, peer), self.sources, self._send_timeout_s
        )
        self._connections[peer] = connection
        self.subscribers_accepted += 1
        try:
            connection.run(
                self._make_heartbeat, lambda findings: self._forward_findings(connection, findings)
            )
        except ServingError as error:
            if error.code is ErrorCode.MALFORMED_MESSAGE:
                log_event("distribution:subscriber_refused", peer=peer, reason=error.reason)
        finally:
            del self._connections[peer]
            connection.close()

    def _forward_findings(self, sender: SubscriberConnection, findings: BackendFindings) -> None:
        shared = SharedMessage(findings)
        for connection in self._connections.values():
            if connection.session.accepts_findings_from(sender.session):
                connection.queue_report(shared)

    def _run_heartbeats(self) -> None:
        while True:
            gevent.sleep(self._heartbeat_period_s)
            heartbeat = self._make_heartbeat()
            for connection in list(self._connections.values()):
                connection.queue_heartbeat(heartbeat)

    def _make_heartbeat(self) -> SharedMessage:
        now_s = time.monotonic()
        statuses = [source.status(now_s) for source in self.sources.values()]
        return SharedMessage(Heartbeat(statuses, PROTOCOL_VERSION))
