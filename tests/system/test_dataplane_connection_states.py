"""Connections to backends and to clients under every kind of answer, one request after the other.

Each request draws what the backends do with it and what its client does; connections are kept and used
again wherever the agent thinks that they may be. Held: each answer belongs to its request and is whole, what
may run once reaches a backend once at the most, a promise that a request has not run is true, and a long body
that was answered early goes on where it was.
"""

from __future__ import annotations

import struct
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum, auto
from http import HTTPStatus

import gevent
from gevent import socket
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from nettledeal.dataplane.backend_response import BackendResponse
from nettledeal.dataplane.forwarding import Exchange
from tests.system.dataplane_rig import (
    Client,
    Seen,
    StandIn,
    answer_bytes,
    chunk_of,
    event,
    read_message,
    running,
    stream_head,
)

GIVEN_UP_MS = 150
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
LONG_BODY = 60_000
EVENTS = 3


class Does(StrEnum):
    """What a backend does with a request."""

    WHOLE = auto()
    CLOSING = auto()
    UNFRAMED = auto()
    UNFRAMED_RESET = auto()
    DOUBLE = auto()
    SURPLUS_FIRST = auto()
    GARBAGE_BEHIND = auto()
    EARLY = auto()
    CUT_HEAD = auto()
    CUT_BODY = auto()
    RESET = auto()
    END = auto()
    GARBAGE = auto()
    DECLINED = auto()
    PROMISE = auto()
    FAILURE = auto()
    UNSIGNED = auto()
    OTHER_ID = auto()
    SILENCE = auto()


class Leaves(StrEnum):
    """What a client does besides waiting for its answer."""

    STAYS = auto()
    PIPELINES = auto()
    GOES = auto()


@dataclass(frozen=True)
class Planned:
    """One request."""

    path: str
    first: Does
    second: Does
    leaves: Leaves = Leaves.STAYS
    long: bool = False


PLANS = st.builds(
    Planned,
    path=st.sampled_from(["/web/x", "/safe/x", "/stream/x", "/once/x"]),
    first=st.sampled_from(Does),
    second=st.sampled_from(Does),
    leaves=st.sampled_from([Leaves.STAYS] * 6 + [Leaves.PIPELINES, Leaves.GOES]),
    long=st.booleans(),
)


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def body_of(request_id: str, length: int) -> bytes:
    return (request_id.encode() * (length // len(request_id) + 1))[:length]


@dataclass
class World:
    """What the backends are to do with each request, and what they saw of it."""

    plans: dict[str, Planned] = field(default_factory=dict)
    arrivals: dict[str, list[Does]] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)

    def next(self, seen: Seen) -> Does:
        came = self.arrivals.setdefault(seen.request_id, [])
        plan = self.plans.get(seen.request_id)
        if plan is None:
            self.faults.append(f"a backend got {seen.request_id!r}, which no client sent")
            return Does.END
        came.append((plan.first, plan.second)[min(len(came), 1)])
        return came[-1]


class ScriptedBackend(StandIn):
    """Does with each request what its plan says."""

    def __init__(self, id: str, world: World):
        super().__init__(id)
        self.world = world

    def _serve(self, sock, number):
        with sock, suppress(OSError), sock.makefile("rb") as stream:
            while (message := self._read(stream, sock, number)) is not None:
                if not self._do(sock, message):
                    return

    def _read(self, stream, sock, number) -> Seen | None:
        """A request; one that is to be answered early is read on after its answer."""
        line = stream.readline()
        if not line:
            return None
        headers = {}
        while (header := stream.readline()) not in (b"\r\n", b""):
            name, _, value = header.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        seen = Seen(line.decode("latin-1").strip(), headers, b"", number)
        does = self.world.next(seen)
        length = int(headers.get("content-length", 0))
        if does is Does.EARLY:
            self._answer(sock, seen)
        body = stream.read(length)
        if len(body) == length and body != body_of(seen.request_id, length):
            self.world.faults.append(f"{seen.request_id} has another body")
        if len(body) < length:
            return None
        self.seen.append(seen)
        self._does = does
        return seen

    def _content(self, seen: Seen) -> bytes:
        return f"{self.id} {seen.request_id}".encode()

    def _answer(self, sock, seen: Seen, more: str = "Keep-Alive: timeout=5\r\n") -> None:
        if seen.line.split()[1].startswith("/stream"):
            pieces = b"".join(chunk_of(event(number)) for number in range(EVENTS))
            sock.sendall(stream_head(seen.request_id) + pieces + b"0\r\n\r\n")
        else:
            sock.sendall(answer_bytes(seen.request_id, self._content(seen), more=more))

    def _do(self, sock, seen: Seen) -> bool:
        """Carry out what is planned; whether the connection goes on."""
        whole = answer_bytes(seen.request_id, self._content(seen))
        match self._does:
            case Does.WHOLE:
                self._answer(sock, seen)
                return True
            case Does.EARLY:
                return True
            case Does.CLOSING:
                self._answer(sock, seen, "Connection: close\r\n")
            case Does.UNFRAMED | Does.UNFRAMED_RESET:
                head, _, body = whole.partition(b"\r\n\r\n")
                lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
                reset_now = self._does is Does.UNFRAMED_RESET
                sock.sendall(b"\r\n".join(lines) + b"\r\n\r\n" + (body[:-3] if reset_now else body))
                if reset_now:
                    reset(sock)
            case Does.DOUBLE:
                sock.sendall(whole + whole)
                return True
            case Does.SURPLUS_FIRST:
                sock.sendall(answer_bytes("r-surplus", b"of another") + whole)
                return True
            case Does.GARBAGE_BEHIND:
                sock.sendall(whole + b"\x00\x01rubbish")
                return True
            case Does.CUT_HEAD:
                sock.sendall(whole[:20])
            case Does.CUT_BODY:
                sock.sendall(whole[:-3])
            case Does.RESET:
                reset(sock)
            case Does.END:
                pass
            case Does.GARBAGE:
                sock.sendall(b"\x16\x03\x01 no answer\r\n\r\n")
            case Does.DECLINED:
                more = "Not-Executed: full\r\nRetry-After: 0.1\r\n"
                sock.sendall(answer_bytes(seen.request_id, b"full", "503 Full", more=more))
                return True
            case Does.PROMISE:
                sock.sendall(answer_bytes(seen.request_id, b"no", "503 Broken"))
                return True
            case Does.FAILURE:
                sock.sendall(answer_bytes(seen.request_id, b"bad", "500 Broken"))
                return True
            case Does.UNSIGNED:
                sock.sendall(answer_bytes(seen.request_id, self._content(seen), signed=False))
                return True
            case Does.OTHER_ID:
                sock.sendall(answer_bytes("r-other", b"of another"))
                return True
            case Does.SILENCE:
                sock.recv(1)  # until the agent gives up
        return False


class Player:
    """Sends the planned requests and judges their answers."""

    def __init__(self, rig, world: World):
        self.rig, self.world = rig, world
        self.client: Client | None = None

    def play(self, number: int, plan: Planned) -> None:
        request_id = f"r{number:04d}"
        self.world.plans[request_id] = plan
        body = body_of(request_id, LONG_BODY if plan.long else 30)
        client = self.client = self.client or self.rig.client()
        try:
            client.send(plan.path, body, Request_Id=request_id, Deadline_Ms=str(GIVEN_UP_MS))
            if plan.leaves is Leaves.GOES:
                self._leave()
                return
            if plan.leaves is Leaves.PIPELINES:
                self._pipeline(client, f"p{number:04d}")
            self._judge(request_id, plan, client)
            if plan.leaves is Leaves.PIPELINES:
                self._judge(f"p{number:04d}", self.world.plans[f"p{number:04d}"], client)
        except (EOFError, OSError, ValueError, gevent.Timeout):
            self._leave()  # an answer cut short, as it must be where its backend's was

    def _leave(self) -> None:
        self.client.close()
        self.rig.clients.remove(self.client)
        self.client = None

    def _pipeline(self, client: Client, request_id: str) -> None:
        self.world.plans[request_id] = Planned("/web/x", Does.WHOLE, Does.WHOLE)
        client.send("/web/x", body_of(request_id, 30), Request_Id=request_id, Deadline_Ms="2000")

    def _judge(self, request_id: str, plan: Planned, client: Client) -> None:
        with gevent.Timeout(5):
            message = read_message(client.stream)
        if message is None:
            raise EOFError("no answer")
        line, headers, content = message
        status = int(line.split()[1])
        fault = self._fault(request_id, plan, status, headers, content)
        if fault:
            self.world.faults.append(f"{request_id} {plan}: {line} {headers} {content[:60]}: {fault}")
        if headers.get("connection") == "close":
            self._leave()

    def _fault(self, request_id: str, plan: Planned, status: int, headers: dict, content: bytes) -> str:
        if headers.get("request-id") != request_id:
            return "the answer of another request"
        came = self.world.arrivals.get(request_id, [])
        ran = [does for does in came if does is not Does.DECLINED]
        if status in NOT_EXECUTED_STATUSES and ran:
            return "a false promise"
        if status >= 300:
            return ""
        if "server-signature" not in headers:
            return "a success without a stamp"
        if plan.path.startswith("/stream") and headers.get("content-type") == "text/event-stream":
            return "" if content == b"".join(map(event, range(EVENTS))) else "a stream with other events"
        return "" if content.split()[1:] == [request_id.encode()] else "another body"


def runs_too_often(world: World) -> list[str]:
    found = []
    for request_id, came in world.arrivals.items():
        ran = [does for does in came if does is not Does.DECLINED]
        if len(came) > 2:
            found.append(f"{request_id} reached {len(came)} backends")
        if len(ran) > 1 and not world.plans[request_id].path.startswith("/safe"):
            found.append(f"{request_id} ran {len(ran)} times: {came}")
    return found


def faults_of(plans: list[Planned]) -> list[str]:
    world = World()
    backends = [ScriptedBackend(name, world) for name in ("b1", "b2")]
    with running(*backends, ack_ms=1.0) as rig:
        player = Player(rig, world)
        for number, plan in enumerate(plans):
            player.play(number, plan)
    return world.faults + runs_too_often(world)


@settings(max_examples=60, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.lists(PLANS, min_size=1, max_size=12))
def test_each_answer_belongs_to_its_request_and_nothing_runs_twice(plans):
    assert faults_of(plans) == []


def with_each_behaviour() -> list[str]:
    """Each behaviour in turn, with whole answers behind it on the connections that are kept."""
    found = []
    for first in Does:
        plans = [Planned("/web/x", first, Does.WHOLE, long=long) for long in (False, True)]
        plans += [Planned("/web/x", Does.WHOLE, Does.WHOLE), Planned("/safe/x", first, Does.WHOLE)]
        plans += [Planned("/web/x", Does.WHOLE, Does.WHOLE)] * 2
        found += faults_of(plans)
    return found


def test_each_behaviour_before_whole_answers_on_kept_connections():
    assert with_each_behaviour() == []


def test_a_request_that_is_sent_again_after_a_reset_is_caught(monkeypatch):
    monkeypatch.setattr(Exchange, "_may_retry", lambda self: True)
    assert any("ran 2 times" in fault for fault in with_each_behaviour())


def test_an_answer_that_is_taken_whatever_its_request_is_caught(monkeypatch):
    monkeypatch.setattr(BackendResponse, "read_head", BackendResponse._read_one_head)
    assert any("of another" in fault for fault in with_each_behaviour())


def test_a_promise_after_something_was_sent_is_caught(monkeypatch):
    def promise(self):
        self.relay.respond_directly(HTTPStatus.SERVICE_UNAVAILABLE, 1.0)

    monkeypatch.setattr(Exchange, "_give_up", promise)
    assert any("a false promise" in fault for fault in with_each_behaviour())
