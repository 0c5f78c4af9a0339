"""A process of open-loop clients: each work item is sent at its time, whatever became of those before.

A record is (work item, agent, category, scheduled, sent, answered, status, backend): times on the rig's
clock; status 0 where nothing came before the client stopped waiting, -1 where its agent could not be
reached. Where a baseline is played, its policy takes the agents' place in this process and sends to the
stand-ins itself.
"""

from __future__ import annotations

import mmap
from collections import defaultdict
from random import Random

import gevent
from gevent import socket

from nettledeal.fleet.http import answer
from nettledeal.fleet.wires import Post, now
from nettledeal.net.protocol.load_report import parse_load_report
from nettledeal.net.transport.sockets import disable_nagle, peek_byte

SLACK = 500  # a client asks on for a moment after its expiry, as the rule on answers is judged with one
# It reads on for so long after that, so that an answer which comes late is told from none.
PATIENCE = 50_000


class Pool:
    """Kept connections to one place."""

    def __init__(self, place: tuple[str, int]):
        self.place = place
        self.resting: list[socket.socket] = []

    def ask(self, message: bytes, by: int, patience: int = 0) -> tuple[int, bytes, bytes]:
        """Status, body and load report; status 0 where none came by then and `patience`, -1 where nothing was
        sent."""
        # One whose other end died or closed while it rested is seen to have ended, as usual clients see it.
        while self.resting and peek_byte(self.resting[-1]) is not None:
            self.resting.pop().close()
        fresh = not self.resting
        sock = socket.socket() if fresh else self.resting.pop()
        try:
            sock.settimeout(max(0.001, (by + patience - now()) / 10_000))
            if fresh:
                sock.connect(self.place)
                disable_nagle(sock)
            sock.sendall(message)
        except OSError:
            sock.close()
            # A kept connection that has just been ended: once more on a new one.
            return (-1, b"", b"") if fresh or by <= now() else self.ask(message, by, patience)
        with gevent.Timeout(max(0.001, (by + patience - now()) / 10_000), False):
            heard = answer(sock)
            if heard is None and not fresh and by > now() and message.startswith(b"GET"):
                # Ended under it, read or not: only what may run again is sent once more.
                sock.close()
                return self.ask(message, by, patience)
            if heard is not None:
                status, message_heard = heard
                if message_heard.headers.get(b"connection", b"").lower() == b"close":
                    sock.close()
                else:
                    self.resting.append(sock)
                return status, message_heard.body, message_heard.headers.get(b"x-server-load", b"")
        sock.close()
        return 0, b"", b""


def request(category: dict, id: str, work: int, wait_ms: int) -> bytes:
    method, body = ("GET", b"") if category["effect"] == "safe" else ("POST", b"x")
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} /work?w={work} HTTP/1.1\r\nHost: s\r\nX-Request-ID: {id}\r\n"
        f"X-Priority-Class: {category['name']}\r\nX-Timeout-Ms: {wait_ms}\r\n{length}\r\n"
    ).encode() + body


class Through:
    """By way of the agents."""

    def __init__(self, told: dict):
        self.pools = {int(n): Pool(tuple(place)) for n, place in told["agents"].items()}

    def __call__(self, agent: int, category: dict, message: bytes, by: int) -> tuple[int, bytes]:
        status, body, _ = self.pools[agent].ask(message, by + SLACK, PATIENCE)
        return status, body


class Baseline:
    """A policy that agents are compared with: it picks among all stand-ins and knows no rule of theirs."""

    def __init__(self, policy: str, told: dict):
        self.policy = policy
        self.chance = Random(f"{told['seed']} {policy}")
        self.pools = [Pool(tuple(place)) for place in told["backends"]]
        with open(told["held"], "r+b") as file:
            self.held = mmap.mmap(file.fileno(), 0)
        # By agent: what each was told last, and what it has out; agents share nothing.
        self.heard: dict[int, dict[int, float]] = defaultdict(dict)
        self.out: dict[int, dict[int, int]] = defaultdict(lambda: defaultdict(int))

    def _true(self, n: int) -> int:
        return int.from_bytes(self.held[4 * n : 4 * n + 4], "little")

    def _own(self, agent: int, n: int) -> float:
        return self.heard[agent].get(n, 0.0) + self.out[agent][n]

    def pick(self, agent: int, left: list[int]) -> int:
        chance = self.chance
        if self.policy == "random":
            return chance.choice(left)
        if self.policy == "shortest-true":
            return min(left, key=lambda n: (self._true(n), chance.random()))
        pair = chance.sample(left, min(2, len(left)))
        if self.policy == "two-choices-true":
            return min(pair, key=self._true)
        return min(pair, key=lambda n: self._own(agent, n))

    def __call__(self, agent: int, category: dict, message: bytes, by: int) -> tuple[int, bytes]:
        left = list(range(len(self.pools)))
        for _ in range(min(4, len(left))):
            n = self.pick(agent, left)
            self.out[agent][n] += 1
            status, body, load = self.pools[n].ask(message, by)
            self.out[agent][n] -= 1
            told = parse_load_report(load)
            if "outstanding" in told:
                self.heard[agent][n] = told["outstanding"]
            if status not in (503, -1):
                return status, body
            left.remove(n)
        return 503, b""


class Clients:
    def __init__(self, told: dict, post: Post):
        self.told, self.post = told, post
        policy = told["policy"]
        self.send = Through(told) if policy is None else Baseline(policy, told)
        self.left = len(told["asks"])

    def run(self, start: int) -> None:
        """Sends each work item at its time from `start` on, and says when the last one is through."""
        for at, agent, category, work, id in self.told["asks"]:
            due = start + at
            wait = (due - now()) / 10_000
            if wait > 0:
                gevent.sleep(wait)
            gevent.spawn(self._one, due, agent, category, work, id)

    def _one(self, due: int, agent: int, number: int, work: int, id: str) -> None:
        category = self.told["categories"][number]
        sent = now()
        wait = category["expiry"]
        message = request(category, id, work, wait // 10)
        status, body = self.send(agent, category, message, sent + wait)
        backend = int(body) if status == 200 and body.isdigit() else -1
        self.post.records.append((id, agent, number, due, sent, now(), status, backend))
        self.left -= 1
        if not self.left:
            self.post.say(through=True)


def main() -> None:
    post = Post()
    clients = Clients(post.told(), post)
    post.say(ready=True)

    def order(told: dict) -> None:
        if told["do"] != "start":
            raise ValueError(f"no order {told['do']!r}")
        gevent.spawn(clients.run, told["at"])
        if not clients.left:
            post.say(through=True)

    post.serve(order)
