"""A child process that hosts simulated backends: `ServerModel`s behind sockets, with records of events.

A record is (time, backend, id in the backend list, event, request). Events of requests: `came` (received and
queued), `full` (rejected), `began`, `done`, `left` (its agent disconnected while it was queued), `gone` (its
agent disconnected while it was running). Other events: `probe`, `connected`, `no place` (connection
rejected), `died` (crash), `fell` (crash from overload while cold).
"""

from __future__ import annotations

import mmap
from random import Random
from urllib.parse import parse_qs, urlsplit

import gevent
from gevent import socket
from gevent.event import Event

from nettledeal.fleet.child_runtime import ControlPipe, accept_connections, now
from nettledeal.fleet.http import HttpMessage, encode_response, read_requests
from nettledeal.fleet.server_model import FULL, ServerModel
from nettledeal.net.transport.sockets import listening_socket, reset_connection, wait_readable

REJECTION = encode_response("503 Full", extra_headers="X-Not-Processed: 1\r\n")


class Backend:
    def __init__(self, number: int, config: dict, pipe: ControlPipe, held: mmap.mmap):
        self.number, self.config, self.pipe, self.held = number, config, pipe, held
        self.address = tuple(config["place"])
        self.incarnation, self.name = 0, f"b{number}"
        self.listener: socket.socket | None = None
        self.connections: set[socket.socket] = set()
        self.completions: dict[tuple[bytes, int], Event] = {}  # by request id and sequence number
        self.request_count = 0
        self.rng = Random(f"{config['seed']} backend {number}")
        self.server = self._new_server(now() if config["cold"] else 0)
        self._listen()

    def _new_server(self, started: int) -> ServerModel:
        config = self.config
        return ServerModel(
            config["cores"],
            config["speed"],
            config["queue"],
            config["report_every"],
            config["report_lag"],
            config["cold_from"],
            config["warm_within"],
            config["push"],
            config["push_for"],
            self.rng,
            started=started,
        )

    def _listen(self) -> None:
        self.listener = listening_socket(self.address)
        gevent.spawn(accept_connections, self.listener, self._serve)

    def _record(self, event: str, request_id: bytes = b"") -> None:
        self.pipe.records.append(
            (now(), self.number, self.name, event, request_id.decode("ascii", "replace"))
        )

    def crash(self) -> None:
        """Simulates a crash: connections are reset, held requests are lost, new connections are refused."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for connection in list(self.connections):
            reset_connection(connection)
        self.connections.clear()
        self._record("died")
        self.incarnation += 1
        completions, self.completions = self.completions, {}
        self.server = self._new_server(now())
        for completed in completions.values():
            completed.set()  # the waiting greenlet sees that the incarnation has changed
        self._publish_held()

    def restart(self, name: str) -> None:
        """Listens again at the same address, cold; a replacement gets a new id."""
        self.name = name
        self.server.started = now()
        self._listen()

    def _publish_held(self) -> None:
        """Publishes the number of held requests in shared memory, for policies that see true queues."""
        offset = 4 * self.number
        self.held[offset : offset + 4] = self.server.held.to_bytes(4, "little")

    def _serve(self, connection: socket.socket, _: tuple) -> None:
        if len(self.connections) >= self.config["places"]:
            self._record("no place")
            connection.sendall(REJECTION)
            connection.close()
            return
        self.connections.add(connection)
        self._record("connected")
        try:
            for request in read_requests(connection):
                self._request(connection, request)
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            connection.close()

    def _load_report(self) -> str:
        held, waiting = self.server.report(now())
        return f"X-Server-Load: inflight={held},queue={waiting}\r\n"

    def _request(self, connection: socket.socket, request: HttpMessage) -> None:
        if request.url.startswith((b"/_load", b"/ping")):
            self._record("probe")
            if self.server.hung:
                gevent.sleep(60)  # a hung backend doesn't answer
            report = self._load_report()[15:-2].encode() if request.url.startswith(b"/_load") else b""
            connection.sendall(encode_response("200 OK", report))
            return
        request_id, incarnation = request.headers.get(b"x-request-id", b""), self.incarnation
        work = int(parse_qs(urlsplit(request.url).query).get(b"w", [b"1"])[0])
        server, completed = self.server, Event()
        self.request_count += 1
        key, was_crashed = (request_id, self.request_count), server.crashed
        if server.arrive(now(), key, work) == FULL:
            self._record("full", request_id)
            if server.crashed and not was_crashed:
                self._record("fell")
            connection.sendall(
                encode_response("503 Full", extra_headers="X-Not-Processed: 1\r\n" + self._load_report())
            )
            return
        self._record("came", request_id)
        self.completions[key] = completed
        self._publish_held()
        self._start_waiting(server)
        wait_readable(completed, connection, None)
        if self.completions.get(key) is completed:
            # Not completed, so the connection became readable. During a request that can only mean that it
            # was closed.
            del self.completions[key]
            was_waiting = server.cancel(now(), key)
            self._record("left" if was_waiting else "gone", request_id)
            self._publish_held()
            raise OSError("the agent has disconnected")
        if incarnation != self.incarnation:
            raise OSError("died")
        if self.rng.random() < server.lost_answer_share:
            while connection.recv(4096):
                pass  # executed, but the answer is lost
            raise OSError("lost")
        if self.rng.random() < server.error_share:
            connection.sendall(encode_response("500 Error", extra_headers=self._load_report()))
            return
        connection.sendall(encode_response("200 OK", b"%d" % self.number, self._load_report()))

    def _start_waiting(self, server: ServerModel) -> None:
        for key, duration in server.begin(now()):
            self._record("began", key[0])
            gevent.spawn_later(duration / 10_000, self._finish, server, key)

    def _finish(self, server: ServerModel, key: tuple[bytes, int]) -> None:
        if server is not self.server:
            return
        server.finish(now(), key)
        self._record("done", key[0])
        self._publish_held()
        completed = self.completions.pop(key, None)
        if completed is not None:
            completed.set()
        self._start_waiting(server)

    def order(self, verb: str, value: float | bool | str) -> None:
        server = self.server
        match verb:
            case "slow":
                server.slowdown = value
            case "hang":
                server.hung = bool(value)
                self._start_waiting(server)
            case "errors":
                server.error_share = value
            case "lost":
                server.lost_answer_share = value
            case "late_reports":
                server.extra_lag = round(value * 10_000)
            case "false_reports":
                server.report_factor = value
            case "chill":
                server.started = now()
            case "crash":
                self.crash()
            case "return":
                self.restart(str(value))
            case unknown:
                raise ValueError(f"unknown command {unknown!r}")


def main() -> None:
    pipe = ControlPipe()
    config = pipe.read_message()
    with open(config["held"], "r+b") as file:
        held = mmap.mmap(file.fileno(), 0)
    backends = {
        backend_config["number"]: Backend(backend_config["number"], backend_config, pipe, held)
        for backend_config in config["backends"]
    }
    pipe.say(ready=True)

    def order(message: dict) -> None:
        for number in message["who"]:
            if number in backends:
                backends[number].order(message["do"], message["figure"])

    pipe.serve(order)
