"""Fake backends and clients on loopback for tests of the data plane, scripted by the test."""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from random import Random

import gevent
from gevent import socket
from gevent.event import Event

from nettledeal.common.settings import Bounds, Limits, Listen, Settings
from nettledeal.dataplane.agent import DataPlane
from nettledeal.discovery.catalogue import Backend, encode_backend

HOST = "shop.example"
SIGNATURE = "stamp.01"


@dataclass
class ReceivedRequest:
    """A request as received by a fake backend."""

    line: str
    headers: dict[str, str]
    body: bytes
    connection: int

    @property
    def request_id(self) -> str:
        return self.headers.get("request-id", "")


def read_message(stream) -> tuple[str, dict[str, str], bytes] | None:
    """Read an HTTP message: first line, headers by lower-case name, body. None at end of file."""
    line = stream.readline()
    if not line:
        return None
    headers: dict[str, str] = {}
    while (header := stream.readline()) not in (b"\r\n", b""):
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        return line.decode("latin-1").strip(), headers, read_chunks(stream)
    return line.decode("latin-1").strip(), headers, stream.read(int(headers.get("content-length", 0)))


def read_chunks(stream) -> bytes:
    """Read a chunked body; raises EOFError if it is incomplete."""
    body = b""
    while True:
        size = stream.readline()
        if not size.endswith(b"\r\n"):
            raise EOFError("incomplete body")
        data = stream.read(int(size, 16) + 2)
        if not data.endswith(b"\r\n"):
            raise EOFError("incomplete body")
        if data == b"\r\n":
            return body
        body += data[:-2]


def response_bytes(
    request_id: str,
    body: bytes = b"hello",
    status: str = "200 OK",
    signed: bool = True,
    extra_headers: str = "",
) -> bytes:
    """A complete response with a Content-Length."""
    signature = f"Server-Signature: {SIGNATURE}\r\n" if signed else ""
    head = (
        f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n{signature}{extra_headers}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def stream_head(request_id: str) -> bytes:
    """The head of an event stream response."""
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Signature: {SIGNATURE}\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk_of(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


Script = Callable[["FakeBackend", socket.socket, ReceivedRequest], bool]


def respond(backend: FakeBackend, sock: socket.socket, request: ReceivedRequest) -> bool:
    """Respond with the backend's id and keep the connection open."""
    sock.sendall(response_bytes(request.request_id, backend.id.encode(), extra_headers=backend.extra_headers))
    return True


@dataclass
class FakeBackend:
    """A backend that handles each request with its script."""

    id: str
    service: str = "web"
    zone: str = "north-1"
    script: Script = respond
    extra_headers: str = "Keep-Alive: timeout=5\r\n"
    requests: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0
    request_received: Event = field(default_factory=Event)
    connection_closed: Event = field(default_factory=Event)

    def start(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.greenlet = gevent.spawn(self._accept)

    def stop(self) -> None:
        self.greenlet.kill()
        self.sock.close()

    @property
    def catalogue_entry(self) -> Backend:
        host, port = self.sock.getsockname()
        return Backend(self.id, self.service, f"{host}:{port}", self.zone, capacity=8)

    def _accept(self) -> None:
        while True:
            sock, _ = self.sock.accept()
            self.connections += 1
            gevent.spawn(self._serve, sock, self.connections)

    def _serve(self, sock: socket.socket, number: int) -> None:
        with sock, suppress(OSError), sock.makefile("rb") as stream:
            while (message := read_message(stream)) is not None:
                request = ReceivedRequest(*message, number)
                self.requests.append(request)
                self.request_received.set()
                if not self.script(self, sock, request):
                    return
        self.connection_closed.set()


class Client:
    """A client connection."""

    def __init__(self, address: tuple[str, int]):
        self.sock = socket.create_connection(address)
        self.stream = self.sock.makefile("rb")

    def send(
        self, path: str = "/web/x", body: bytes = b"", host: str = HOST, method: str = "POST", **headers
    ):
        values = {"Request-Id": "r1", "Deadline-Ms": "4000"}
        values |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = "".join(f"{name}: {value}\r\n" for name, value in values.items() if value)
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
        self.sock.sendall(head.encode() + body)

    def receive(self) -> tuple[int, dict[str, str], bytes]:
        """Status, headers and body; raises EOFError if the response is incomplete."""
        with gevent.Timeout(5):
            message = read_message(self.stream)
        if message is None:
            raise EOFError("no response")
        return int(message[0].split()[1]), message[1], message[2]

    def ask(self, path: str = "/web/x", body: bytes = b"", **headers) -> tuple[int, dict[str, str], bytes]:
        self.send(path, body, **headers)
        return self.receive()

    def is_closed(self) -> bool:
        """Whether the agent has closed the connection; waits up to 5 s for it."""
        with gevent.Timeout(5):
            return self.stream.read(1) == b""

    def close(self) -> None:
        self.stream.close()
        self.sock.close()


def route(name: str, **changed) -> dict:
    """The configuration of a route for `/name/`."""
    return {
        "name": f"r-{name}",
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "route_type": "non_idempotent",
        "timeout_ms": 4000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": "web",
        "max_attempts": 2,
        "session_affinity": False,
        "resumable": False,
        "home_regions": [],
    } | changed


ROUTES = (
    route("web"),
    route("safe", route_type="idempotent"),
    route("stream", route_type="streaming"),
    route("resume", route_type="streaming", resumable=True),
    route("once", max_attempts=1),
    route("brief", timeout_ms=200),
)
SERVICE = {"name": "web", "health_check": "/healthz", "max_connections": 100}
LIMITS = {
    "max_header_bytes": 4096,
    "max_body_bytes": 300_000,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def entries(*routes: dict, limits: dict = LIMITS, evacuated: tuple[str, ...] = ()) -> dict[str, bytes]:
    """The encoded control state by key."""
    state = {f"route/{item['hostname']} {item['path_prefix']}": item for item in routes or ROUTES}
    state["service/web"] = SERVICE
    state["limits"] = limits
    encoded = {key: json.dumps(value).encode() for key, value in state.items()}
    return encoded | {f"evacuation/{zone}": b"{}" for zone in evacuated}


def catalogue(*backends: Backend) -> dict[str, bytes]:
    """Encoded backends by id."""
    return {backend.id: encode_backend(backend) for backend in backends}


# A loopback address specific to this process, so that other test runs don't take its free ports.
LOOPBACK_HOST = f"127.{1 + os.getpid() // 65536 % 250}.{os.getpid() // 256 % 256}.{os.getpid() % 256}"


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind((LOOPBACK_HOST, 0))
        return f"{LOOPBACK_HOST}:{probe.getsockname()[1]}"


def make_settings(**bounds) -> Settings:
    return Settings(
        node_name="edge-1",
        role="data-plane",
        machine_class="edge",
        serves=["edge"],
        ip="127.0.0.1",
        zone="north-1",
        region="north",
        port_range=(7000, 7015),
        seeds=[],
        zones={"north-1": "north", "south-1": "south"},
        listen=Listen(frontend=free_address(), readiness=free_address()),
        limits=Limits(max_fds=2000),
        bounds=Bounds(**bounds),
    )


@dataclass
class Rig:
    """A running data plane with its backends and clients."""

    plane: DataPlane
    backends: list[FakeBackend]
    clients: list[Client] = field(default_factory=list)

    @property
    def frontend(self) -> tuple[str, int]:
        host, _, port = self.plane.settings.listen.frontend.partition(":")
        return host, int(port)

    @property
    def readiness(self) -> tuple[str, int]:
        host, _, port = self.plane.settings.listen.readiness.partition(":")
        return host, int(port)

    def client(self) -> Client:
        client = Client(self.frontend)
        self.clients.append(client)
        return client

    def apply_catalogue(self) -> None:
        self.plane.apply_catalogue((1, 1), catalogue(*(backend.catalogue_entry for backend in self.backends)))

    def set_preference(self, *order: FakeBackend) -> None:
        """Make the selector prefer backends in this order."""
        selector = self.plane.selector
        by_id = {backend.id: rank for rank, backend in enumerate(order)}
        selector.placement.random = PreferredOrder(by_id)


class PreferredOrder(Random):
    """Replaces the weighted random choice of a backend by a fixed order of preference."""

    def __init__(self, ranks: dict[str, int]):
        super().__init__(1)
        self.ranks = ranks

    def choices(self, population, weights=None, *, cum_weights=None, k=1):
        return [min(population, key=lambda record: self.ranks[record.backend.id])]


@contextmanager
def running(*backends: FakeBackend, control: dict[str, bytes] | None = None, **bounds) -> Iterator[Rig]:
    """Run a data plane with the control state `control` and a catalogue of `backends`."""
    plane = DataPlane(make_settings(**bounds), Random(1))
    rig = Rig(plane, list(backends))
    for backend in backends:
        backend.start()
    plane.start()
    plane.apply_control(1, entries() if control is None else control)
    rig.apply_catalogue()
    plane.set_data_plane_members(1, ["edge-1"])
    rig.set_preference(*backends)
    try:
        yield rig
    finally:
        for client in rig.clients:
            client.close()
        plane.ingress.stop_accepting()
        plane.close()
        for backend in backends:
            backend.stop()
