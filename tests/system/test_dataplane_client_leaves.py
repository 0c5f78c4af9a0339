"""A client that leaves is noticed within a tenth of a second, whether it pipelined or not.

That holds whatever its request waits for; nothing of what it pipelined reaches a backend.
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
    Rig,
    Seen,
    StandIn,
    answer_bytes,
    answers_whole,
    chunk_of,
    entries,
    event,
    running,
    stream_head,
)

NOTICED_S = 0.1
REACHED_S = 3.0
RESET = struct.pack("ii", 1, 0)
LONG_BODY = bytes(280_000)
SMALL_BUFFER = 4096


class Waiting(StandIn):
    """A backend that gives the first part of an answer, then waits for its peer to leave."""

    def __init__(self, first_part: Callable[[Seen], bytes]):
        super().__init__("i-1", script=self._wait)
        self.first_part = first_part
        self.reached = Event()
        self.left = Event()
        self.left_at = float("inf")

    def _wait(self, _: StandIn, sock: socket.socket, seen: Seen) -> bool:
        sock.sendall(self.first_part(seen))
        self.reached.set()
        with suppress(OSError):
            sock.recv(1)
        self._note_left()
        return False

    def _note_left(self) -> None:
        self.left_at = time.monotonic()
        self.left.set()


class Unread(Waiting):
    """A backend that reads nothing of a request that is longer than what its socket holds."""

    def start(self) -> None:
        super().start()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)

    def _serve(self, sock: socket.socket, number: int) -> None:
        with sock:
            if not wait_readable(sock):
                return  # a connection that was kept for later
            self.reached.set()
            # Whatever the kernel holds is not read until the peer has left.
            watched, ended = PeerCloseWatcher(), Event()
            watched.watch(sock.fileno(), ended.set)
            if ended.wait(REACHED_S):
                self._note_left()
            watched.unwatch(sock.fileno())


def wait_readable(sock: socket.socket) -> bool:
    """Wait for the first byte, which stays unread; whether one came."""
    with suppress(OSError):
        return bool(sock.recv(1, socket.MSG_PEEK))
    return False


@dataclass(frozen=True)
class State:
    """What the first request waits for when its client leaves."""

    backend: Callable[[], Waiting]
    path: str = "/web/x"
    body: bytes = b"x"


STATES = {
    "the head of its answer": State(lambda: Waiting(lambda seen: b"")),
    "an answer whose head has begun": State(lambda: Waiting(lambda seen: b"HTTP/1.1 200 OK\r\n")),
    "the rest of an answer": State(
        lambda: Waiting(lambda seen: answer_bytes(seen.request_id, bytes(99_000))[:60_000])
    ),
    "the first event": State(lambda: Waiting(lambda seen: stream_head(seen.request_id)), "/stream/x"),
    "the next event": State(
        lambda: Waiting(lambda seen: stream_head(seen.request_id) + chunk_of(event(0))), "/stream/x"
    ),
    "the next event of a resumable stream": State(
        lambda: Waiting(lambda seen: stream_head(seen.request_id) + chunk_of(event(0))), "/resume/x"
    ),
    "its body to be taken": State(lambda: Unread(lambda seen: b""), body=LONG_BODY),
}
PIPELINED = {"nothing": 0, "one request": 1, "more than one buffer": 40}


def ends(client: Client, how: str) -> None:
    """The client leaves: in order, or with a reset."""
    if how == "reset":
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    client.close()


def pipeline(client: Client, count: int) -> None:
    for number in range(count):
        client.send(body=bytes(200), Request_Id=f"behind-{number}")


def begun(rig: Rig, backend: Waiting, state: State) -> Client:
    """A client whose request has got into the state."""
    client = rig.client()
    client.send(state.path, state.body, Request_Id="first")
    assert backend.reached.wait(REACHED_S)
    return client


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("count", PIPELINED.values(), ids=PIPELINED)
@pytest.mark.parametrize("state", STATES.values(), ids=STATES)
def test_a_client_that_leaves_is_noticed(state, count, how):
    backend = state.backend()
    with running(backend) as rig:
        client = begun(rig, backend, state)
        pipeline(client, count)
        await_bytes_noticed(rig, count)
        left_at = time.monotonic()
        ends(client, how)
        rig.clients.clear()
        assert backend.left.wait(REACHED_S)
        assert backend.left_at - left_at < NOTICED_S
        assert [seen.request_id for seen in backend.seen if seen.request_id != "first"] == []


def await_bytes_noticed(rig: Rig, count: int) -> None:
    """Until the agent has looked at what was pipelined, so that the end comes behind it."""
    (connection,) = rig.plane.ingress.connections
    limit = time.monotonic() + REACHED_S
    while count and not connection._more_waits and time.monotonic() < limit:
        gevent.idle()
    assert not count or connection._more_waits


def test_what_was_pipelined_reaches_nobody_where_the_client_left_before_the_first_answer():
    """The end comes together with the requests; both wait until the first answer has gone out."""
    may_answer = Event()

    def answers_later(stand_in: StandIn, sock: socket.socket, seen: Seen) -> bool:
        if seen.request_id == "first":
            may_answer.wait(REACHED_S)
        return answers_whole(stand_in, sock, seen)

    backend = StandIn("i-1", script=answers_later)
    with running(backend) as rig:
        client = rig.client()
        # One write: the second request may be read with the first, and the end be behind it in the kernel.
        client.send(Request_Id="first")
        assert backend.came.wait(REACHED_S)
        pipeline(client, 2)
        client.close()
        rig.clients.clear()
        may_answer.set()
        limit = time.monotonic() + REACHED_S
        while rig.plane.ingress.connections and time.monotonic() < limit:
            gevent.idle()
        assert [seen.request_id for seen in backend.seen] == ["first"]


def test_a_client_that_leaves_while_the_process_gets_ready_is_not_served():
    with running(StandIn("i-1"), control={}) as rig:
        client = rig.client()
        client.send(Request_Id="first")
        limit = time.monotonic() + REACHED_S
        while not rig.plane.ingress.busy and time.monotonic() < limit:
            gevent.idle()
        client.close()
        rig.clients.clear()
        rig.plane.apply_control(2, entries())
        while rig.plane.ingress.connections and time.monotonic() < limit:
            gevent.idle()
        assert rig.backends[0].seen == []


@pytest.mark.parametrize("planted", ["watch", "peer_closed"])
def test_an_agent_that_looks_for_ends_only_in_front_of_what_is_unread_is_caught(monkeypatch, planted):
    if planted == "watch":
        monkeypatch.setattr(PeerCloseWatcher, "watch", lambda *_: None)
        with pytest.raises(AssertionError):
            test_a_client_that_leaves_is_noticed(STATES["the head of its answer"], 1, "end")
    else:
        monkeypatch.setattr("nettledeal.dataplane.ingress.peer_closed", lambda sock: False)
        with pytest.raises(AssertionError):
            test_a_client_that_leaves_while_the_process_gets_ready_is_not_served()


def test_connections_are_watched_only_while_something_waits_behind_their_request():
    backend = StandIn("i-1")
    with running(backend) as rig:
        client = rig.client()
        for number in range(3):
            client.send(Request_Id=f"r{number}")
        assert [client.receive()[0] for _ in range(3)] == [200, 200, 200]
        assert rig.plane.ingress.hang_ups._callbacks == {}
