"""Randomized test of connections to backends and clients with all kinds of responses.

For each request, the behaviour of the backends and of the client is drawn at random; the agent reuses
connections when it considers them reusable. Checked: each response is complete and belongs to its request, a
non-repeatable request is executed at most once, a not-executed guarantee is true, and a long request body is
sent completely even if the response arrives early.
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
    FakeBackend,
    ReceivedRequest,
    chunk_of,
    event,
    read_message,
    response_bytes,
    running,
    stream_head,
)

DEADLINE_MS = 150
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
LONG_BODY = 60_000
EVENTS = 3


class Behaviour(StrEnum):
    """How a backend handles a request."""

    COMPLETE = auto()
    CONNECTION_CLOSE = auto()
    UNTIL_CLOSE = auto()
    UNTIL_CLOSE_RESET = auto()
    DUPLICATE = auto()
    OTHER_RESPONSE_FIRST = auto()
    GARBAGE_AFTER = auto()
    EARLY_RESPONSE = auto()
    TRUNCATED_HEAD = auto()
    TRUNCATED_BODY = auto()
    RESET = auto()
    CLOSE = auto()
    GARBAGE = auto()
    NOT_EXECUTED = auto()
    UNCONFIRMED_503 = auto()
    ERROR_500 = auto()
    UNSIGNED = auto()
    OTHER_ID = auto()
    NO_RESPONSE = auto()


class ClientAction(StrEnum):
    """What a client does besides waiting for its response."""

    WAIT = auto()
    PIPELINE = auto()
    DISCONNECT = auto()


@dataclass(frozen=True)
class PlannedRequest:
    """One request."""

    path: str
    first: Behaviour
    second: Behaviour
    client_action: ClientAction = ClientAction.WAIT
    long_body: bool = False


PLANS = st.builds(
    PlannedRequest,
    path=st.sampled_from(["/web/x", "/safe/x", "/stream/x", "/once/x"]),
    first=st.sampled_from(Behaviour),
    second=st.sampled_from(Behaviour),
    client_action=st.sampled_from([ClientAction.WAIT] * 6 + [ClientAction.PIPELINE, ClientAction.DISCONNECT]),
    long_body=st.booleans(),
)


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def body_of(request_id: str, length: int) -> bytes:
    return (request_id.encode() * (length // len(request_id) + 1))[:length]


@dataclass
class Scenario:
    """The plan for each request, and how often the backends received it."""

    plans: dict[str, PlannedRequest] = field(default_factory=dict)
    behaviours_by_request: dict[str, list[Behaviour]] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)

    def next(self, request: ReceivedRequest) -> Behaviour:
        behaviours = self.behaviours_by_request.setdefault(request.request_id, [])
        plan = self.plans.get(request.request_id)
        if plan is None:
            self.faults.append(f"a backend got {request.request_id!r}, which no client sent")
            return Behaviour.CLOSE
        behaviours.append((plan.first, plan.second)[min(len(behaviours), 1)])
        return behaviours[-1]


class ScriptedBackend(FakeBackend):
    """Handles each request according to its plan."""

    def __init__(self, id: str, scenario: Scenario):
        super().__init__(id)
        self.scenario = scenario

    def _serve(self, sock, number):
        with sock, suppress(OSError), sock.makefile("rb") as stream:
            while (message := self._read(stream, sock, number)) is not None:
                if not self._handle(sock, message):
                    return

    def _read(self, stream, sock, number) -> ReceivedRequest | None:
        """Read a request; with EARLY_RESPONSE, the response is sent before the body is read."""
        line = stream.readline()
        if not line:
            return None
        headers = {}
        while (header := stream.readline()) not in (b"\r\n", b""):
            name, _, value = header.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        request = ReceivedRequest(line.decode("latin-1").strip(), headers, b"", number)
        behaviour = self.scenario.next(request)
        length = int(headers.get("content-length", 0))
        if behaviour is Behaviour.EARLY_RESPONSE:
            self._respond(sock, request)
        body = stream.read(length)
        if len(body) == length and body != body_of(request.request_id, length):
            self.scenario.faults.append(f"{request.request_id} has another body")
        if len(body) < length:
            return None
        self.requests.append(request)
        self._behaviour = behaviour
        return request

    def _body(self, request: ReceivedRequest) -> bytes:
        return f"{self.id} {request.request_id}".encode()

    def _respond(
        self, sock, request: ReceivedRequest, extra_headers: str = "Keep-Alive: timeout=5\r\n"
    ) -> None:
        if request.line.split()[1].startswith("/stream"):
            pieces = b"".join(chunk_of(event(number)) for number in range(EVENTS))
            sock.sendall(stream_head(request.request_id) + pieces + b"0\r\n\r\n")
        else:
            sock.sendall(response_bytes(request.request_id, self._body(request), extra_headers=extra_headers))

    def _handle(self, sock, request: ReceivedRequest) -> bool:
        """Carry out the planned behaviour; returns whether the connection stays open."""
        complete_response = response_bytes(request.request_id, self._body(request))
        match self._behaviour:
            case Behaviour.COMPLETE:
                self._respond(sock, request)
                return True
            case Behaviour.EARLY_RESPONSE:
                return True
            case Behaviour.CONNECTION_CLOSE:
                self._respond(sock, request, "Connection: close\r\n")
            case Behaviour.UNTIL_CLOSE | Behaviour.UNTIL_CLOSE_RESET:
                head, _, body = complete_response.partition(b"\r\n\r\n")
                lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
                reset_now = self._behaviour is Behaviour.UNTIL_CLOSE_RESET
                sock.sendall(b"\r\n".join(lines) + b"\r\n\r\n" + (body[:-3] if reset_now else body))
                if reset_now:
                    reset(sock)
            case Behaviour.DUPLICATE:
                sock.sendall(complete_response + complete_response)
                return True
            case Behaviour.OTHER_RESPONSE_FIRST:
                sock.sendall(response_bytes("r-surplus", b"of another") + complete_response)
                return True
            case Behaviour.GARBAGE_AFTER:
                sock.sendall(complete_response + b"\x00\x01rubbish")
                return True
            case Behaviour.TRUNCATED_HEAD:
                sock.sendall(complete_response[:20])
            case Behaviour.TRUNCATED_BODY:
                sock.sendall(complete_response[:-3])
            case Behaviour.RESET:
                reset(sock)
            case Behaviour.CLOSE:
                pass
            case Behaviour.GARBAGE:
                sock.sendall(b"\x16\x03\x01 no answer\r\n\r\n")
            case Behaviour.NOT_EXECUTED:
                extra_headers = "Not-Executed: full\r\nRetry-After: 0.1\r\n"
                sock.sendall(
                    response_bytes(request.request_id, b"full", "503 Full", extra_headers=extra_headers)
                )
                return True
            case Behaviour.UNCONFIRMED_503:
                sock.sendall(response_bytes(request.request_id, b"no", "503 Broken"))
                return True
            case Behaviour.ERROR_500:
                sock.sendall(response_bytes(request.request_id, b"bad", "500 Broken"))
                return True
            case Behaviour.UNSIGNED:
                sock.sendall(response_bytes(request.request_id, self._body(request), signed=False))
                return True
            case Behaviour.OTHER_ID:
                sock.sendall(response_bytes("r-other", b"of another"))
                return True
            case Behaviour.NO_RESPONSE:
                sock.recv(1)  # until the agent closes the connection
        return False


class Player:
    """Sends the planned requests and checks the responses."""

    def __init__(self, rig, scenario: Scenario):
        self.rig, self.scenario = rig, scenario
        self.client: Client | None = None

    def play(self, number: int, plan: PlannedRequest) -> None:
        request_id = f"r{number:04d}"
        self.scenario.plans[request_id] = plan
        body = body_of(request_id, LONG_BODY if plan.long_body else 30)
        client = self.client = self.client or self.rig.client()
        try:
            client.send(plan.path, body, Request_Id=request_id, Deadline_Ms=str(DEADLINE_MS))
            if plan.client_action is ClientAction.DISCONNECT:
                self._disconnect()
                return
            if plan.client_action is ClientAction.PIPELINE:
                self._pipeline(client, f"p{number:04d}")
            self._check_response(request_id, plan, client)
            if plan.client_action is ClientAction.PIPELINE:
                self._check_response(f"p{number:04d}", self.scenario.plans[f"p{number:04d}"], client)
        except (EOFError, OSError, ValueError, gevent.Timeout):
            self._disconnect()  # truncated, as it must be if the backend's response was

    def _disconnect(self) -> None:
        self.client.close()
        self.rig.clients.remove(self.client)
        self.client = None

    def _pipeline(self, client: Client, request_id: str) -> None:
        self.scenario.plans[request_id] = PlannedRequest("/web/x", Behaviour.COMPLETE, Behaviour.COMPLETE)
        client.send("/web/x", body_of(request_id, 30), Request_Id=request_id, Deadline_Ms="2000")

    def _check_response(self, request_id: str, plan: PlannedRequest, client: Client) -> None:
        with gevent.Timeout(5):
            message = read_message(client.stream)
        if message is None:
            raise EOFError("no response")
        line, headers, content = message
        status = int(line.split()[1])
        fault = self._find_fault(request_id, plan, status, headers, content)
        if fault:
            self.scenario.faults.append(f"{request_id} {plan}: {line} {headers} {content[:60]}: {fault}")
        if headers.get("connection") == "close":
            self._disconnect()

    def _find_fault(
        self, request_id: str, plan: PlannedRequest, status: int, headers: dict, content: bytes
    ) -> str:
        if headers.get("request-id") != request_id:
            return "the response to another request"
        behaviours = self.scenario.behaviours_by_request.get(request_id, [])
        executed = [behaviour for behaviour in behaviours if behaviour is not Behaviour.NOT_EXECUTED]
        if status in NOT_EXECUTED_STATUSES and executed:
            return "a false not-executed status"
        if status >= 300:
            return ""
        if "server-signature" not in headers:
            return "a success without a signature"
        if plan.path.startswith("/stream") and headers.get("content-type") == "text/event-stream":
            return "" if content == b"".join(map(event, range(EVENTS))) else "a stream with other events"
        return "" if content.split()[1:] == [request_id.encode()] else "another body"


def find_duplicate_executions(scenario: Scenario) -> list[str]:
    found = []
    for request_id, behaviours in scenario.behaviours_by_request.items():
        executed = [behaviour for behaviour in behaviours if behaviour is not Behaviour.NOT_EXECUTED]
        if len(behaviours) > 2:
            found.append(f"{request_id} reached {len(behaviours)} backends")
        if len(executed) > 1 and not scenario.plans[request_id].path.startswith("/safe"):
            found.append(f"{request_id} ran {len(executed)} times: {behaviours}")
    return found


def run_plans(plans: list[PlannedRequest]) -> list[str]:
    scenario = Scenario()
    backends = [ScriptedBackend(name, scenario) for name in ("b1", "b2")]
    with running(*backends, ack_ms=1.0) as rig:
        player = Player(rig, scenario)
        for number, plan in enumerate(plans):
            player.play(number, plan)
    return scenario.faults + find_duplicate_executions(scenario)


@settings(max_examples=60, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.lists(PLANS, min_size=1, max_size=12))
def test_responses_match_their_requests_and_nothing_runs_twice(plans):
    assert run_plans(plans) == []


def run_each_behaviour() -> list[str]:
    """Each behaviour in turn, followed by complete responses on the kept connections."""
    found = []
    for first in Behaviour:
        plans = [
            PlannedRequest("/web/x", first, Behaviour.COMPLETE, long_body=long_body)
            for long_body in (False, True)
        ]
        plans += [
            PlannedRequest("/web/x", Behaviour.COMPLETE, Behaviour.COMPLETE),
            PlannedRequest("/safe/x", first, Behaviour.COMPLETE),
        ]
        plans += [PlannedRequest("/web/x", Behaviour.COMPLETE, Behaviour.COMPLETE)] * 2
        found += run_plans(plans)
    return found


def test_each_behaviour_followed_by_complete_responses():
    assert run_each_behaviour() == []


def test_a_forbidden_retry_after_a_reset_is_detected(monkeypatch):
    monkeypatch.setattr(Exchange, "_may_retry", lambda self: True)
    assert any("ran 2 times" in fault for fault in run_each_behaviour())


def test_relaying_a_response_to_another_request_is_detected(monkeypatch):
    monkeypatch.setattr(BackendResponse, "read_head", BackendResponse._read_one_head)
    assert any("of another" in fault for fault in run_each_behaviour())


def test_a_false_not_executed_guarantee_is_detected(monkeypatch):
    def respond_503(self):
        self.relay.respond_directly(HTTPStatus.SERVICE_UNAVAILABLE, 1.0)

    monkeypatch.setattr(Exchange, "_give_up", respond_503)
    assert any("a false not-executed status" in fault for fault in run_each_behaviour())
