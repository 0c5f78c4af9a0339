"""A child process of open-loop clients: each request is sent at its time, regardless of earlier ones.

A record is (request, agent, category, scheduled, sent, answered, status, backend), with times on the rig's
clock. Status 0 means that no answer came before the client stopped waiting, -1 that its agent could not be
reached. For a baseline policy, this process takes the place of the agents and sends to the backends directly.
"""

from __future__ import annotations

import mmap
from collections import defaultdict
from random import Random

import gevent
from gevent import socket

from nettledeal.fleet.child_runtime import ControlPipe, now
from nettledeal.fleet.http import read_response
from nettledeal.net.protocol.load_report import parse_load_report
from nettledeal.net.transport.sockets import disable_nagle, peek_byte

# Tenths of a millisecond. Clients may retry a little beyond the deadline, as the rule on answers has a
# tolerance.
DEADLINE_SLACK = 500
# Then they keep reading for this long, to tell a late answer from a missing one.
LATE_ANSWER_WAIT = 50_000


class ConnectionPool:
    """Persistent connections to one address."""

    def __init__(self, address: tuple[str, int]):
        self.address = address
        self.idle_sockets: list[socket.socket] = []

    def send(self, message: bytes, deadline: int, extra_wait: int = 0) -> tuple[int, bytes, bytes]:
        """Returns status, body and load report.

        Status 0 means no answer by the deadline plus `extra_wait`, -1 that nothing was sent.
        """
        # Drop connections that were closed while idle.
        while self.idle_sockets and peek_byte(self.idle_sockets[-1]) is not None:
            self.idle_sockets.pop().close()
        is_new = not self.idle_sockets
        sock = socket.socket() if is_new else self.idle_sockets.pop()
        try:
            sock.settimeout(max(0.001, (deadline + extra_wait - now()) / 10_000))
            if is_new:
                sock.connect(self.address)
                disable_nagle(sock)
            sock.sendall(message)
        except OSError:
            sock.close()
            # A persistent connection that was closed in the meantime: retry on another one.
            return (-1, b"", b"") if is_new or deadline <= now() else self.send(message, deadline, extra_wait)
        with gevent.Timeout(max(0.001, (deadline + extra_wait - now()) / 10_000), False):
            response = read_response(sock)
            if response is None and not is_new and deadline > now() and message.startswith(b"GET"):
                # Closed without an answer, maybe after the request was read: retry only if idempotent.
                sock.close()
                return self.send(message, deadline, extra_wait)
            if response is not None:
                status, http_response = response
                if http_response.headers.get(b"connection", b"").lower() == b"close":
                    sock.close()
                else:
                    self.idle_sockets.append(sock)
                return status, http_response.body, http_response.headers.get(b"x-server-load", b"")
        sock.close()
        return 0, b"", b""


def encode_request(category: dict, request_id: str, work: int, timeout_ms: int) -> bytes:
    method, body = ("GET", b"") if category["effect"] == "safe" else ("POST", b"x")
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} /work?w={work} HTTP/1.1\r\nHost: s\r\nX-Request-ID: {request_id}\r\n"
        f"X-Priority-Class: {category['name']}\r\nX-Timeout-Ms: {timeout_ms}\r\n{length}\r\n"
    ).encode() + body


class AgentSender:
    """Sends requests to the agents."""

    def __init__(self, config: dict):
        self.pools = {
            int(agent): ConnectionPool(tuple(address)) for agent, address in config["agents"].items()
        }

    def __call__(self, agent: int, category: dict, message: bytes, deadline: int) -> tuple[int, bytes]:
        status, body, _ = self.pools[agent].send(message, deadline + DEADLINE_SLACK, LATE_ANSWER_WAIT)
        return status, body


class BaselinePolicy:
    """A simple policy to compare agents with: chooses among all backends and ignores the platform's rules."""

    def __init__(self, policy: str, config: dict):
        self.policy = policy
        self.rng = Random(f"{config['seed']} {policy}")
        self.pools = [ConnectionPool(tuple(address)) for address in config["backends"]]
        with open(config["held"], "r+b") as file:
            self.true_held = mmap.mmap(file.fileno(), 0)
        # By agent and backend: the last reported load and the requests in flight. Agents share no state.
        self.reported_load: dict[int, dict[int, float]] = defaultdict(dict)
        self.outstanding: dict[int, dict[int, int]] = defaultdict(lambda: defaultdict(int))

    def _true_queue(self, backend: int) -> int:
        return int.from_bytes(self.true_held[4 * backend : 4 * backend + 4], "little")

    def _estimated_load(self, agent: int, backend: int) -> float:
        return self.reported_load[agent].get(backend, 0.0) + self.outstanding[agent][backend]

    def pick(self, agent: int, candidates: list[int]) -> int:
        rng = self.rng
        if self.policy == "random":
            return rng.choice(candidates)
        if self.policy == "shortest-true":
            return min(candidates, key=lambda backend: (self._true_queue(backend), rng.random()))
        choices = rng.sample(candidates, min(2, len(candidates)))
        if self.policy == "two-choices-true":
            return min(choices, key=self._true_queue)
        return min(choices, key=lambda backend: self._estimated_load(agent, backend))

    def __call__(self, agent: int, category: dict, message: bytes, deadline: int) -> tuple[int, bytes]:
        candidates = list(range(len(self.pools)))
        for _ in range(min(4, len(candidates))):
            backend = self.pick(agent, candidates)
            self.outstanding[agent][backend] += 1
            status, body, load = self.pools[backend].send(message, deadline)
            self.outstanding[agent][backend] -= 1
            report = parse_load_report(load)
            if "outstanding" in report:
                self.reported_load[agent][backend] = report["outstanding"]
            if status not in (503, -1):
                return status, body
            candidates.remove(backend)
        return 503, b""


class TrafficGenerator:
    def __init__(self, config: dict, pipe: ControlPipe):
        self.config, self.pipe = config, pipe
        policy = config["policy"]
        self.send = AgentSender(config) if policy is None else BaselinePolicy(policy, config)
        self.remaining = len(config["asks"])

    def run(self, start_at: int) -> None:
        """Sends each request at its scheduled time, relative to `start_at`."""
        for offset, agent, category, work, request_id in self.config["asks"]:
            scheduled_at = start_at + offset
            delay_s = (scheduled_at - now()) / 10_000
            if delay_s > 0:
                gevent.sleep(delay_s)
            gevent.spawn(self._send_request, scheduled_at, agent, category, work, request_id)

    def _send_request(
        self, scheduled_at: int, agent: int, category_index: int, work: int, request_id: str
    ) -> None:
        category = self.config["categories"][category_index]
        sent_at = now()
        timeout = category["expiry"]
        message = encode_request(category, request_id, work, timeout // 10)
        status, body = self.send(agent, category, message, sent_at + timeout)
        backend = int(body) if status == 200 and body.isdigit() else -1
        self.pipe.records.append(
            (request_id, agent, category_index, scheduled_at, sent_at, now(), status, backend)
        )
        self.remaining -= 1
        if not self.remaining:
            self.pipe.say(through=True)


def main() -> None:
    pipe = ControlPipe()
    generator = TrafficGenerator(pipe.read_message(), pipe)
    pipe.say(ready=True)

    def order(command: dict) -> None:
        if command["do"] != "start":
            raise ValueError(f"unknown command {command['do']!r}")
        gevent.spawn(generator.run, command["at"])
        if not generator.remaining:
            pipe.say(through=True)

    pipe.serve(order)
