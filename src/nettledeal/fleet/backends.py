"""A process of stand-in backends: `server.Server`s on sockets, and what each saw written down.

A record is (time, backend, id in the list, what, work item): `came` and begins to wait, `full`, `began`,
`done`, `left` (its agent went away while it waited), `gone` (went away while it ran), `probe`, `connected`,
`fell`.
"""

from __future__ import annotations

import mmap
from random import Random
from urllib.parse import parse_qs, urlsplit

import gevent
from gevent import socket
from gevent.event import Event

from nettledeal.fleet.http import Heard, requests, written
from nettledeal.fleet.server import FULL, Server
from nettledeal.fleet.wires import Post, accepting, now
from nettledeal.net.transport.sockets import listening_socket, reset_connection, wait_readable

TURNED_AWAY = written("503 Full", more="X-Not-Processed: 1\r\n")


class Backend:
    def __init__(self, number: int, told: dict, post: Post, held: mmap.mmap):
        self.number, self.told, self.post, self.held = number, told, post, held
        self.place = tuple(told["place"])
        self.life, self.name = 0, f"b{number}"
        self.sock: socket.socket | None = None
        self.peers: set[socket.socket] = set()
        self.ends: dict[tuple[bytes, int], Event] = {}  # by work item and how many came before it
        self.count = 0
        self.chance = Random(f"{told['seed']} backend {number}")
        self.server = self._server(now() if told["cold"] else 0)
        self._listen()

    def _server(self, started: int) -> Server:
        told = self.told
        return Server(
            told["cores"],
            told["speed"],
            told["queue"],
            told["report_every"],
            told["report_lag"],
            told["cold_from"],
            told["warm_within"],
            told["push"],
            told["push_for"],
            self.chance,
            started=started,
        )

    def _listen(self) -> None:
        self.sock = listening_socket(self.place)
        gevent.spawn(accepting, self.sock, self._serve)

    def _note(self, what: str, id: bytes = b"") -> None:
        self.post.records.append((now(), self.number, self.name, what, id.decode("ascii", "replace")))

    def crash(self) -> None:
        """Dies: its connections are reset, what it held is lost, new ones are refused."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None
        for peer in list(self.peers):
            reset_connection(peer)  # a reset, as a dead process leaves it
        self.peers.clear()
        self._note("died")
        self.life += 1
        ends, self.ends = self.ends, {}
        self.server = self._server(now())
        for end in ends.values():
            end.set()  # whoever waits for it finds another life
        self._show()

    def come_back(self, name: str) -> None:
        """At the same place, cold; a successor has an id of its own."""
        self.name = name
        self.server.started = now()
        self._listen()

    def _show(self) -> None:
        """For policies that see true queues, in memory that all processes share."""
        at = 4 * self.number
        self.held[at : at + 4] = self.server.held.to_bytes(4, "little")

    def _serve(self, peer: socket.socket, _: tuple) -> None:
        if len(self.peers) >= self.told["places"]:
            self._note("no place")
            peer.sendall(TURNED_AWAY)
            peer.close()
            return
        self.peers.add(peer)
        self._note("connected")
        try:
            for heard in requests(peer):
                self._request(peer, heard)
        except OSError:
            pass
        finally:
            self.peers.discard(peer)
            peer.close()

    def _report(self) -> str:
        held, waiting = self.server.report(now())
        return f"X-Server-Load: inflight={held},queue={waiting}\r\n"

    def _request(self, peer: socket.socket, heard: Heard) -> None:
        if heard.url.startswith((b"/_load", b"/ping")):
            self._note("probe")
            if self.server.hung:
                gevent.sleep(60)  # a hung process answers nothing
            report = self._report()[15:-2].encode() if heard.url.startswith(b"/_load") else b""
            peer.sendall(written("200 OK", report))
            return
        id, life = heard.headers.get(b"x-request-id", b""), self.life
        work = int(parse_qs(urlsplit(heard.url).query).get(b"w", [b"1"])[0])
        server, end = self.server, Event()
        self.count += 1
        key, fell = (id, self.count), server.fallen
        if server.arrive(now(), key, work) == FULL:
            self._note("full", id)
            if server.fallen and not fell:
                self._note("fell")
            peer.sendall(written("503 Full", more="X-Not-Processed: 1\r\n" + self._report()))
            return
        self._note("came", id)
        self.ends[key] = end
        self._show()
        self._begin(server)
        wait_readable(end, peer, None)
        if self.ends.get(key) is end:
            # Not done yet, so the connection has woken it, and nothing but an end comes on one at work.
            del self.ends[key]
            left = server.leave(now(), key)
            self._note("left" if left else "gone", id)
            self._show()
            raise OSError("its agent has gone")
        if life != self.life:
            raise OSError("died")
        if self.chance.random() < server.losing:
            while peer.recv(4096):
                pass  # it was done, and nobody is told
            raise OSError("lost")
        if self.chance.random() < server.erring:
            peer.sendall(written("500 Error", more=self._report()))
            return
        peer.sendall(written("200 OK", b"%d" % self.number, self._report()))

    def _begin(self, server: Server) -> None:
        for key, took in server.begin(now()):
            self._note("began", key[0])
            gevent.spawn_later(took / 10_000, self._done, server, key)

    def _done(self, server: Server, key: tuple[bytes, int]) -> None:
        if server is not self.server:
            return
        server.done(now(), key)
        self._note("done", key[0])
        self._show()
        end = self.ends.pop(key, None)
        if end is not None:
            end.set()
        self._begin(server)

    def order(self, verb: str, figure: float | bool | str) -> None:
        server = self.server
        match verb:
            case "slow":
                server.slower = figure
            case "hang":
                server.hung = bool(figure)
                self._begin(server)
            case "errors":
                server.erring = figure
            case "lost":
                server.losing = figure
            case "late_reports":
                server.extra_lag = round(figure * 10_000)
            case "false_reports":
                server.false = figure
            case "chill":
                server.started = now()
            case "crash":
                self.crash()
            case "return":
                self.come_back(str(figure))
            case unknown:
                raise ValueError(f"no order {unknown!r}")


def main() -> None:
    post = Post()
    told = post.told()
    with open(told["held"], "r+b") as file:
        held = mmap.mmap(file.fileno(), 0)
    backends = {one["number"]: Backend(one["number"], one, post, held) for one in told["backends"]}
    post.say(ready=True)

    def order(told: dict) -> None:
        for number in told["who"]:
            if number in backends:
                backends[number].order(told["do"], told["figure"])

    post.serve(order)
