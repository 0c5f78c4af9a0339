"""The switch process: every front passes on to one place, by the conditions of its link, each way by
itself.

A front of streams stands for the links from one group of agents to one backend. A front of datagrams
belongs to one member: what comes to it from another member's place is passed on from that one's own front,
so each sees the other at the one address, and the link of any two has a condition a direction.
"""

from __future__ import annotations

from collections import deque
from random import Random

import gevent
from gevent import socket
from gevent.event import AsyncResult, Event

from nettledeal.fleet.links import Condition, Way
from nettledeal.fleet.wires import Post, accepting, now
from nettledeal.net.transport.sockets import disable_nagle, listening_socket

# Bytes of one direction that may wait in the switch; more stay with the sender, as in a full buffer.
MOST = 1 << 20
THERE, BACK = "there", "back"


class Stream:
    """One direction of one connection, handed on in order and in time."""

    def __init__(self, way: Way, back: Way, source: socket.socket, sink: socket.socket, broken: AsyncResult):
        self.way, self.back, self.source, self.sink, self.broken = way, back, source, sink, broken
        self.waiting: deque[tuple[int | None, bytes]] = deque()
        self.size = 0
        self.stirred = Event()

    def read(self) -> None:
        """Takes what comes, as a kernel on the other side of a dead link would still take it."""
        try:
            while True:
                data = self.source.recv(65536)
                self.size += len(data)
                self.waiting.append((self.way.stream(now()), data))
                self.stirred.set()
                if not data:
                    return
                while self.size > MOST:
                    gevent.sleep(0.01)
        except OSError:
            # A reset: what the sender's kernel would still have sent again is dropped with it.
            self.waiting = deque(entry for entry in self.waiting if entry[0] is not None)
            self.broken.set(self.way)

    def write(self) -> None:
        try:
            while True:
                while not self.waiting:
                    self.stirred.clear()
                    self.stirred.wait()
                at, data = self.waiting[0]
                if at is None:
                    # It was sent into a dead link: it arrives once the link is whole.
                    at = self.way.stream(now())
                    if at is None:
                        gevent.sleep(0.02)
                        continue
                    self.waiting[0] = at, data
                if at > now():
                    gevent.sleep((at - now()) / 10_000)
                self.waiting.popleft()
                self.size -= len(data)
                if not data:
                    self.sink.shutdown(socket.SHUT_WR)
                    return
                self.sink.sendall(data)
        except OSError:
            self.broken.set(self.back)


class Front:
    """A place to connect to in place of the real one."""

    def __init__(self, place: tuple[str, int], target: tuple[str, int], chance: Random):
        self.place, self.target = place, target
        self.ways = {THERE: Way(chance), BACK: Way(chance)}
        self.sock = listening_socket(place)
        self.taking = gevent.spawn(accepting, self.sock, self._carry)
        self.plugs: list[socket.socket] = []

    def become(self, way: str, condition: Condition) -> None:
        """Another condition one way. While either way is cut no connection comes up: nobody takes any, and
        the kernel's queue is kept full by ends of our own, so it drops who asks, as a dead link would.
        """
        self.ways[way].condition = condition
        cut = any(way.condition.cut for way in self.ways.values())
        if cut and not self.plugs:
            self.taking.kill()
            self.sock.listen(0)
            for _ in range(2):
                plug = socket.socket()
                plug.setblocking(False)
                plug.connect_ex(self.place)
                self.plugs.append(plug)
        elif not cut and self.plugs:
            for plug in self.plugs:
                plug.close()
            self.plugs = []
            self.sock.listen(1024)
            self.taking = gevent.spawn(accepting, self.sock, self._carry)

    def _carry(self, near: socket.socket, _: tuple) -> None:
        carry(near, self.target, self.ways[THERE], self.ways[BACK])


def carry(near: socket.socket, target: tuple[str, int], there: Way, back: Way) -> None:
    """One connection, from its accept to its end."""
    broken = AsyncResult()  # by which way the word of it has to go
    far = socket.socket()
    disable_nagle(far)
    try:
        # The connection itself comes up, as the switch accepted it: what follows goes by the link.
        far.connect(target)
        streams = [Stream(there, back, near, far, broken), Stream(back, there, far, near, broken)]
        readers = [gevent.spawn(stream.read) for stream in streams]
        writers = [gevent.spawn(stream.write) for stream in streams]
        gevent.spawn(lambda: (gevent.joinall(writers), broken.set(None)))
        way = broken.get()
        # A break is news too, and a dead link carries none.
        while way is not None and way.condition.stopped:
            gevent.sleep(0.05)
        gevent.killall(readers + writers, block=False)
    except OSError:
        pass
    finally:
        near.close()
        far.close()


class Members:
    """Fronts of members for datagrams and streams, and a way for each pair of them, there and back alike."""

    def __init__(self, chance: Random):
        self.chance = chance
        self.fronts: dict[int, socket.socket] = {}
        self.places: dict[int, tuple[str, int]] = {}
        self.members: dict[tuple[str, int], int] = {}
        self.ways: dict[tuple[int, int], Way] = {}
        self.streams: dict[tuple[int, int], Way] = {}  # which keep an order of their own
        self.hosts: dict[str, int] = {}
        self.usual = Condition()
        self.strangers = 0

    def add(self, member: int, front: tuple[str, int], place: tuple[str, int]) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(front)
        self.fronts[member], self.places[member], self.members[place] = sock, place, member
        self.hosts[place[0]] = member
        gevent.spawn(self._carry, member, sock)
        gevent.spawn(accepting, listening_socket(front), lambda near, peer: self._stream(member, near, peer))

    def become(self, source: int, target: int, condition: Condition) -> None:
        for ways in (self.ways, self.streams):
            self._way(ways, source, target).condition = condition

    def all_become(self, condition: Condition) -> None:
        self.usual = condition
        for way in (*self.ways.values(), *self.streams.values()):
            way.condition = condition

    def _way(self, ways: dict[tuple[int, int], Way], source: int, target: int) -> Way:
        if (source, target) not in ways:
            ways[source, target] = Way(self.chance)
            ways[source, target].condition = self.usual
        return ways[source, target]

    def _stream(self, target: int, near: socket.socket, peer: tuple) -> None:
        """Who calls is known by the address it calls from."""
        source = self.hosts.get(peer[0])
        if source is None:
            self.strangers += 1
            near.close()
            return
        there, back = self._way(self.streams, source, target), self._way(self.streams, target, source)
        if there.condition.stopped or back.condition.stopped:
            # Nothing passes, not even a refusal, until the caller has had enough.
            try:
                while near.recv(65536):
                    pass
            except OSError:
                pass
            near.close()
            return
        carry(near, self.places[target], there, back)

    def _carry(self, target: int, sock: socket.socket) -> None:
        while True:
            data, address = sock.recvfrom(65536)
            source = self.members.get(address)
            if source is None:
                self.strangers += 1
                continue
            for at in self._way(self.ways, source, target).datagram(now()):
                if (wait := at - now()) > 0:
                    gevent.spawn_later(wait / 10_000, self._pass, source, target, data)
                else:
                    self._pass(source, target, data)

    def _pass(self, source: int, target: int, data: bytes) -> None:
        self.fronts[source].sendto(data, self.places[target])


class Switch:
    def __init__(self, seed: str):
        self.chance = Random(seed)
        self.fronts: dict[tuple[int, int], Front] = {}  # by group of agents and backend
        self.members = Members(self.chance)

    def order(self, told: dict) -> None:
        match told["do"]:
            case "fronts":
                for way, backend, place, target in told["fronts"]:
                    self.fronts[way, backend] = Front(tuple(place), tuple(target), self.chance)
            case "members":
                for member, front, place in told["members"]:
                    self.members.add(member, tuple(front), tuple(place))
            case "links":
                condition = Condition(**told["condition"])
                for way, backend in told["fronts"]:
                    self.fronts[way, backend].become(told["way"], condition)
            case "member links":
                condition = Condition(**told["condition"])
                if told["pairs"] is None:
                    self.members.all_become(condition)
                for source, target in told["pairs"] or ():
                    self.members.become(source, target, condition)
            case unknown:
                raise ValueError(f"no order {unknown!r}")


def main() -> None:
    post = Post()
    switch = Switch(post.told()["seed"])
    post.say(ready=True)
    post.serve(switch.order)
