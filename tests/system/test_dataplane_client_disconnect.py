"""A client disconnect is noticed within 0.1 s, whether or not the client pipelined requests.

This holds in every state of the first request; pipelined requests never reach a backend.
"""

from __future__ import annotations

import struct
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from nettledeal.net.transport.peer_close_watcher import PeerCloseWatcher
from tests.system.dataplane_rig import (
    Client,
    FakeBackend,
    ReceivedRequest,
    Rig,
    chunk_of,
    entries,
    event,
    respond,
    response_bytes,
    running,
    stream_head,
)

MAX_NOTICE_S = 0.1
WAIT_S = 3.0
RESET = struct.pack("ii", 1, 0)
LONG_BODY = bytes(280_000)
SMALL_BUFFER = 4096


class WaitingBackend(FakeBackend):
    """A backend that sends the start of a response, then waits for its peer to disconnect."""

    def __init__(self, response_start: Callable[[ReceivedRequest], bytes]):
        super().__init__("i-1", script=self._wait)
        self.response_start = response_start
        self.state_reached = Event()
        self.client_disconnected = Event()
        self.disconnected_at = float("inf")

    def _wait(self, _: FakeBackend, sock: socket.socket, request: ReceivedRequest) -> bool:
        sock.sendall(self.response_start(request))
        self.state_reached.set()
        with suppress(OSError):
            sock.recv(1)
        self._record_disconnect()
        return False

    def _record_disconnect(self) -> None:
        self.disconnected_at = time.monotonic()
        self.client_disconnected.set()


class UnreadingBackend(WaitingBackend):
    """A backend that doesn't read a request larger than its socket buffer."""

    def start(self) -> None:
        super().start()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)

    def _serve(self, sock: socket.socket, number: int) -> None:
        with sock:
            if not wait_readable(sock):
                return  # an idle connection that was closed
            self.state_reached.set()
            # Nothing is read from the kernel buffer until the peer has disconnected.
            watched, ended = PeerCloseWatcher(), Event()
            watched.watch(sock.fileno(), ended.set)
            if ended.wait(WAIT_S):
                self._record_disconnect()
            watched.unwatch(sock.fileno())


def wait_readable(sock: socket.socket) -> bool:
    """Wait for the first byte without consuming it; returns whether one arrived."""
    with suppress(OSError):
        return bool(sock.recv(1, socket.MSG_PEEK))
    return False


@dataclass(frozen=True)
class WaitState:
    """What the first request waits for when its client disconnects."""

    backend: Callable[[], WaitingBackend]
    path: str = "/web/x"
    body: bytes = b"x"


WAIT_STATES = {
    "the response head": WaitState(lambda: WaitingBackend(lambda request: b"")),
    "the rest of the response head": WaitState(
        lambda: WaitingBackend(lambda request: b"HTTP/1.1 200 OK\r\n")
    ),
    "the rest of the response body": WaitState(
        lambda: WaitingBackend(lambda request: response_bytes(request.request_id, bytes(99_000))[:60_000])
    ),
    "the first event": WaitState(
        lambda: WaitingBackend(lambda request: stream_head(request.request_id)), "/stream/x"
    ),
    "the next event": WaitState(
        lambda: WaitingBackend(lambda request: stream_head(request.request_id) + chunk_of(event(0))),
        "/stream/x",
    ),
    "the next event of a resumable stream": WaitState(
        lambda: WaitingBackend(lambda request: stream_head(request.request_id) + chunk_of(event(0))),
        "/resume/x",
    ),
    "its body to be sent": WaitState(lambda: UnreadingBackend(lambda request: b""), body=LONG_BODY),
}
PIPELINED = {"nothing": 0, "one request": 1, "more than one buffer": 40}


def disconnect(client: Client, how: str) -> None:
    """Disconnect the client: normally or with a reset."""
    if how == "reset":
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    client.close()


def pipeline(client: Client, count: int) -> None:
    for number in range(count):
        client.send(body=bytes(200), Request_Id=f"behind-{number}")


def start_request(rig: Rig, backend: WaitingBackend, state: WaitState) -> Client:
    """A client whose request has reached the state."""
    client = rig.client()
    client.send(state.path, state.body, Request_Id="first")
    assert backend.state_reached.wait(WAIT_S)
    return client


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("count", PIPELINED.values(), ids=PIPELINED)
@pytest.mark.parametrize("state", WAIT_STATES.values(), ids=WAIT_STATES)
def test_a_client_disconnect_is_noticed(state, count, how):
    backend = state.backend()
    with running(backend) as rig:
        client = start_request(rig, backend, state)
        pipeline(client, count)
        wait_until_pipelined_seen(rig, count)
        disconnected_at = time.monotonic()
        disconnect(client, how)
        rig.clients.clear()
        assert backend.client_disconnected.wait(WAIT_S)
        assert backend.disconnected_at - disconnected_at < MAX_NOTICE_S
        assert [request.request_id for request in backend.requests if request.request_id != "first"] == []


def wait_until_pipelined_seen(rig: Rig, count: int) -> None:
    """Wait until the agent has noticed the pipelined requests, so that the disconnect follows them."""
    (connection,) = rig.plane.ingress.connections
    limit = time.monotonic() + WAIT_S
    while count and not connection._pipelined_unread and time.monotonic() < limit:
        gevent.idle()
    assert not count or connection._pipelined_unread


def test_pipelined_requests_are_dropped_if_the_client_disconnects_first():
    """Requests and disconnect arrive together; both wait until the first response has been sent."""
    may_answer = Event()

    def answers_later(backend: FakeBackend, sock: socket.socket, request: ReceivedRequest) -> bool:
        if request.request_id == "first":
            may_answer.wait(WAIT_S)
        return respond(backend, sock, request)

    backend = FakeBackend("i-1", script=answers_later)
    with running(backend) as rig:
        client = rig.client()
        # The second request may be read together with the first, with the disconnect still in the kernel.
        client.send(Request_Id="first")
        assert backend.request_received.wait(WAIT_S)
        pipeline(client, 2)
        client.close()
        rig.clients.clear()
        may_answer.set()
        limit = time.monotonic() + WAIT_S
        while rig.plane.ingress.connections and time.monotonic() < limit:
            gevent.idle()
        assert [request.request_id for request in backend.requests] == ["first"]


def test_a_client_that_disconnects_during_startup_is_not_served():
    with running(FakeBackend("i-1"), control={}) as rig:
        client = rig.client()
        client.send(Request_Id="first")
        limit = time.monotonic() + WAIT_S
        while not rig.plane.ingress.busy_connections and time.monotonic() < limit:
            gevent.idle()
        client.close()
        rig.clients.clear()
        rig.plane.apply_control(2, entries())
        while rig.plane.ingress.connections and time.monotonic() < limit:
            gevent.idle()
        assert rig.backends[0].requests == []


@pytest.mark.parametrize("fault", ["watch", "peer_closed"])
def test_a_missing_disconnect_check_behind_unread_bytes_is_detected(monkeypatch, fault):
    if fault == "watch":
        monkeypatch.setattr(PeerCloseWatcher, "watch", lambda *_: None)
        with pytest.raises(AssertionError):
            test_a_client_disconnect_is_noticed(WAIT_STATES["the response head"], 1, "end")
    else:
        monkeypatch.setattr("nettledeal.dataplane.client_connection.peer_closed", lambda sock: False)
        with pytest.raises(AssertionError):
            test_a_client_that_disconnects_during_startup_is_not_served()


def test_connections_are_watched_only_while_pipelined_requests_wait():
    backend = FakeBackend("i-1")
    with running(backend) as rig:
        client = rig.client()
        for number in range(3):
            client.send(Request_Id=f"r{number}")
        assert [client.receive()[0] for _ in range(3)] == [200, 200, 200]
        assert rig.plane.ingress.peer_close_watcher._callbacks == {}
