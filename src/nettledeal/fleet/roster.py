"""The list service: each agent asks at a place of its own, so each may hear late, or nothing.

A record is (time, agent, version, [(backend's id, life)]): what has been written to which agent.
"""

from __future__ import annotations

from random import Random

import gevent
import msgspec
from gevent import socket
from gevent.event import Event

from nettledeal.fleet.http import requests, written
from nettledeal.fleet.wires import Post, accepting, now
from nettledeal.net.transport.sockets import listening_socket

ALIVE = 2.0  # seconds between two lines of a watch on which nothing changes


class Ear:
    """What one agent may know by now."""

    def __init__(self, agent: int, place: tuple[str, int], ports: int, roster: Roster):
        self.agent, self.ports, self.roster = agent, ports, roster
        self.version = roster.version
        self.extra, self.deaf = 0.0, False
        self.news = Event()
        gevent.spawn(accepting, listening_socket(place), self._serve)

    def learn(self, version: int, lag: float) -> None:
        gevent.spawn_later(lag + self.extra, self._learned, version)

    def _learned(self, version: int) -> None:
        while self.deaf:
            gevent.sleep(0.02)
        self.version = max(self.version, version)
        self.news.set()

    def _line(self, after: int | None) -> bytes:
        """What changed after that version, as far as this agent may know; all of it without."""
        known = [
            entry
            for entry in self.roster.entries.values()
            if (after is None or entry["version"] > after) and entry["first"] <= self.version
        ]
        listed = []
        for entry in known:
            # Of one that has changed again since, what it was is told.
            state = next(s for s in reversed(entry["states"]) if s[0] <= self.version)
            if after is not None and state[0] <= after:
                continue
            if after is None and state[1] == "gone":
                continue
            host, port = entry["place"]
            listed.append(
                {
                    "instanceId": entry["id"],
                    "hostPort": f"{host}:{port + self.ports}",
                    "zone": entry["zone"],
                    "machineType": entry["kind"],
                    "cell": 0,
                    "lifecycle": state[1],
                    "weight": 1.0,
                    "startedAtMs": state[2],
                }
            )
        told = [(entry["instanceId"], entry["lifecycle"]) for entry in listed]
        if told:
            self.roster.post.records.append((now(), self.agent, self.version, told))
        line = {"generation": self.version, "reset": after is None, "instances": listed}
        return msgspec.json.encode(line) + b"\n"

    def _serve(self, peer: socket.socket, _: tuple) -> None:
        try:
            for heard in requests(peer):
                if self.deaf:
                    gevent.sleep(60)
                if b"watch=1" in heard.url:
                    self._watch(peer, int(heard.url.rpartition(b"from=")[2] or 0))
                else:
                    peer.sendall(written("200 OK", self._line(None)))
        except OSError:
            pass
        finally:
            peer.close()

    def _watch(self, peer: socket.socket, after: int) -> None:
        peer.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        first = True
        while True:
            self.news.clear()
            if self.deaf:
                gevent.sleep(0.02)  # says nothing at all, as behind a cut link
                continue
            line = b"\n"
            if first or self.version > after:
                line, after, first = self._line(after), self.version, False
            peer.sendall(b"%x\r\n%b\r\n" % (len(line), line))
            self.news.wait(ALIVE)


class Roster:
    def __init__(self, told: dict, post: Post):
        self.post, self.lag = post, told["lag"]
        self.chance = Random(told["seed"])
        self.version = 1
        self.entries: dict[str, dict] = {}
        for entry in told["entries"]:
            self._put(entry)
        self.ears = [Ear(agent, tuple(place), ports, self) for agent, place, ports in told["agents"]]

    def _put(self, entry: dict) -> None:
        kept = self.entries.setdefault(
            entry["id"], entry | {"states": [], "first": self.version, "version": 0}
        )
        kept["states"].append((self.version, entry["lifecycle"], entry["started"]))
        kept["version"] = self.version

    def order(self, told: dict) -> None:
        match told["do"]:
            case "change":
                self.version += 1
                for entry in told["entries"]:
                    self._put(entry)
                for ear in self.ears:
                    ear.learn(self.version, self.chance.random() * self.lag)
            case "list_late":
                for agent in told["who"]:
                    self.ears[agent].extra = told["figure"]
            case "list_deaf":
                for agent in told["who"]:
                    self.ears[agent].deaf = bool(told["figure"])
            case unknown:
                raise ValueError(f"no order {unknown!r}")


def main() -> None:
    post = Post()
    roster = Roster(post.told(), post)
    post.say(ready=True)
    post.serve(roster.order)
