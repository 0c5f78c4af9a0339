"""A child process that serves the backend list; each agent has an endpoint that can be delayed or hang.

A record is (time, agent, version, [(backend id, lifecycle)]): the entries that were sent to an agent.
"""

from __future__ import annotations

from random import Random

import gevent
import msgspec
from gevent import socket
from gevent.event import Event

from nettledeal.fleet.child_runtime import ControlPipe, accept_connections, now
from nettledeal.fleet.http import encode_response, read_requests
from nettledeal.net.transport.sockets import listening_socket

KEEPALIVE_S = 2.0  # interval of empty lines on an unchanged watch


class ListEndpoint:
    """Serves the list to one agent, up to the version that this agent may know."""

    def __init__(self, agent: int, address: tuple[str, int], port_offset: int, backend_list: BackendList):
        self.agent, self.port_offset, self.backend_list = agent, port_offset, backend_list
        self.version = backend_list.version
        self.extra_lag_s, self.unresponsive = 0.0, False
        self.changed = Event()
        gevent.spawn(accept_connections, listening_socket(address), self._serve)

    def schedule_update(self, version: int, lag_s: float) -> None:
        gevent.spawn_later(lag_s + self.extra_lag_s, self._apply_update, version)

    def _apply_update(self, version: int) -> None:
        while self.unresponsive:
            gevent.sleep(0.02)
        self.version = max(self.version, version)
        self.changed.set()

    def _line(self, after_version: int | None) -> bytes:
        """Entries changed after that version, or all for None, up to the version this agent may know."""
        known = [
            entry
            for entry in self.backend_list.entries.values()
            if (after_version is None or entry["version"] > after_version) and entry["first"] <= self.version
        ]
        listed = []
        for entry in known:
            # The latest state that this agent may know; the entry may have changed since.
            state = next(candidate for candidate in reversed(entry["states"]) if candidate[0] <= self.version)
            if after_version is not None and state[0] <= after_version:
                continue
            if after_version is None and state[1] == "gone":
                continue
            host, port = entry["place"]
            listed.append(
                {
                    "instanceId": entry["id"],
                    "hostPort": f"{host}:{port + self.port_offset}",
                    "zone": entry["zone"],
                    "machineType": entry["kind"],
                    "cell": 0,
                    "lifecycle": state[1],
                    "weight": 1.0,
                    "startedAtMs": state[2],
                }
            )
        notified = [(entry["instanceId"], entry["lifecycle"]) for entry in listed]
        if notified:
            self.backend_list.pipe.records.append((now(), self.agent, self.version, notified))
        line = {"generation": self.version, "reset": after_version is None, "instances": listed}
        return msgspec.json.encode(line) + b"\n"

    def _serve(self, connection: socket.socket, _: tuple) -> None:
        try:
            for request in read_requests(connection):
                if self.unresponsive:
                    gevent.sleep(60)
                if b"watch=1" in request.url:
                    self._watch(connection, int(request.url.rpartition(b"from=")[2] or 0))
                else:
                    connection.sendall(encode_response("200 OK", self._line(None)))
        except OSError:
            pass
        finally:
            connection.close()

    def _watch(self, connection: socket.socket, after_version: int) -> None:
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        first = True
        while True:
            self.changed.clear()
            if self.unresponsive:
                gevent.sleep(0.02)  # sends nothing, as if the link were cut
                continue
            line = b"\n"
            if first or self.version > after_version:
                line, after_version, first = self._line(after_version), self.version, False
            connection.sendall(b"%x\r\n%b\r\n" % (len(line), line))
            self.changed.wait(KEEPALIVE_S)


class BackendList:
    def __init__(self, config: dict, pipe: ControlPipe):
        self.pipe, self.lag_s = pipe, config["lag"]
        self.rng = Random(config["seed"])
        self.version = 1
        self.entries: dict[str, dict] = {}
        for entry in config["entries"]:
            self._put(entry)
        self.endpoints = [
            ListEndpoint(agent, tuple(address), port_offset, self)
            for agent, address, port_offset in config["agents"]
        ]

    def _put(self, entry: dict) -> None:
        stored = self.entries.setdefault(
            entry["id"], entry | {"states": [], "first": self.version, "version": 0}
        )
        stored["states"].append((self.version, entry["lifecycle"], entry["started"]))
        stored["version"] = self.version

    def handle_message(self, message: dict) -> None:
        match message["do"]:
            case "change":
                self.version += 1
                for entry in message["entries"]:
                    self._put(entry)
                for endpoint in self.endpoints:
                    endpoint.schedule_update(self.version, self.rng.random() * self.lag_s)
            case "list_late":
                for agent in message["who"]:
                    self.endpoints[agent].extra_lag_s = message["figure"]
            case "list_deaf":
                for agent in message["who"]:
                    self.endpoints[agent].unresponsive = bool(message["figure"])
            case unknown:
                raise ValueError(f"unknown command {unknown!r}")


def main() -> None:
    pipe = ControlPipe()
    backend_list = BackendList(pipe.read_message(), pipe)
    pipe.say(ready=True)
    pipe.serve(backend_list.handle_message)
