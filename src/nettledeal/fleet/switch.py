"""The switch process: proxies that simulate the conditions of network links, separately for each direction.

A `LinkProxy` proxies the TCP links from one group of agents to one backend. A member has one proxy address
for datagrams and streams: a datagram from another member is forwarded from that member's proxy address, so
members see each other at one address only, and each pair of members has a condition for each direction.
"""

from __future__ import annotations

from collections import deque
from random import Random

import gevent
from gevent import socket
from gevent.event import AsyncResult, Event

from nettledeal.fleet.child_runtime import ControlPipe, accept_connections, now
from nettledeal.fleet.links import LinkCondition, LinkDirection
from nettledeal.net.transport.sockets import disable_nagle, listening_socket

# Limit of buffered data per direction; above it the switch stops reading, like a full socket buffer.
MAX_BUFFERED_BYTES = 1 << 20
THERE, BACK = "there", "back"


class StreamRelay:
    """Relays one direction of a connection, in order and with the delays of its link."""

    def __init__(
        self,
        direction: LinkDirection,
        reverse: LinkDirection,
        source: socket.socket,
        sink: socket.socket,
        failed_direction: AsyncResult,
    ):
        self.direction, self.reverse, self.source, self.sink, self.failed_direction = (
            direction,
            reverse,
            source,
            sink,
            failed_direction,
        )
        self.pending: deque[tuple[int | None, bytes]] = deque()
        self.buffered_bytes = 0
        self.data_available = Event()

    def read(self) -> None:
        """Reads data even while the link is blocked, as the sender's kernel would buffer it."""
        try:
            while True:
                data = self.source.recv(65536)
                self.buffered_bytes += len(data)
                self.pending.append((self.direction.stream_arrival(now()), data))
                self.data_available.set()
                if not data:
                    return
                while self.buffered_bytes > MAX_BUFFERED_BYTES:
                    gevent.sleep(0.01)
        except OSError:
            # On a reset, data that the sender's kernel would still have retransmitted is dropped.
            self.pending = deque(entry for entry in self.pending if entry[0] is not None)
            self.failed_direction.set(self.direction)

    def write(self) -> None:
        try:
            while True:
                while not self.pending:
                    self.data_available.clear()
                    self.data_available.wait()
                at, data = self.pending[0]
                if at is None:
                    # Sent while the link was blocked: it arrives once the link works again.
                    at = self.direction.stream_arrival(now())
                    if at is None:
                        gevent.sleep(0.02)
                        continue
                    self.pending[0] = at, data
                if at > now():
                    gevent.sleep((at - now()) / 10_000)
                self.pending.popleft()
                self.buffered_bytes -= len(data)
                if not data:
                    self.sink.shutdown(socket.SHUT_WR)
                    return
                self.sink.sendall(data)
        except OSError:
            self.failed_direction.set(self.reverse)


class LinkProxy:
    """Accepts connections in place of a backend and relays them."""

    def __init__(self, address: tuple[str, int], target: tuple[str, int], rng: Random):
        self.address, self.target = address, target
        self.directions = {THERE: LinkDirection(rng), BACK: LinkDirection(rng)}
        self.sock = listening_socket(address)
        self.accept_loop = gevent.spawn(accept_connections, self.sock, self._relay)
        self.backlog_fillers: list[socket.socket] = []

    def set_condition(self, direction: str, condition: LinkCondition) -> None:
        """Sets the condition of one direction.

        While either direction is cut, no connection can be established: the proxy accepts none and fills its
        own backlog, so that the kernel drops connection attempts, as on a dead link.
        """
        self.directions[direction].condition = condition
        cut = any(direction.condition.cut for direction in self.directions.values())
        if cut and not self.backlog_fillers:
            self.accept_loop.kill()
            self.sock.listen(0)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.address)
                self.backlog_fillers.append(filler)
        elif not cut and self.backlog_fillers:
            for filler in self.backlog_fillers:
                filler.close()
            self.backlog_fillers = []
            self.sock.listen(1024)
            self.accept_loop = gevent.spawn(accept_connections, self.sock, self._relay)

    def _relay(self, client: socket.socket, _: tuple) -> None:
        relay_connection(client, self.target, self.directions[THERE], self.directions[BACK])


def relay_connection(
    client: socket.socket, target: tuple[str, int], forward: LinkDirection, backward: LinkDirection
) -> None:
    """Relays one connection until it ends."""
    failed_direction = AsyncResult()  # the direction in which the failure must be signalled
    server = socket.socket()
    disable_nagle(server)
    try:
        # The connection is established regardless of the link; the data is subject to its conditions.
        server.connect(target)
        streams = [
            StreamRelay(forward, backward, client, server, failed_direction),
            StreamRelay(backward, forward, server, client, failed_direction),
        ]
        readers = [gevent.spawn(stream.read) for stream in streams]
        writers = [gevent.spawn(stream.write) for stream in streams]
        gevent.spawn(lambda: (gevent.joinall(writers), failed_direction.set(None)))
        direction = failed_direction.get()
        # A failure is signalled by packets as well, which a blocked link doesn't carry.
        while direction is not None and direction.condition.blocked:
            gevent.sleep(0.05)
        gevent.killall(readers + writers, block=False)
    except OSError:
        pass
    finally:
        client.close()
        server.close()


class MemberLinks:
    """Proxies of members for datagrams and streams, and a link condition for each ordered pair of members."""

    def __init__(self, rng: Random):
        self.rng = rng
        self.proxy_sockets: dict[int, socket.socket] = {}
        self.addresses: dict[int, tuple[str, int]] = {}
        self.members_by_address: dict[tuple[str, int], int] = {}
        self.datagram_links: dict[tuple[int, int], LinkDirection] = {}
        self.stream_links: dict[tuple[int, int], LinkDirection] = {}  # separate, as streams keep their order
        self.members_by_host: dict[str, int] = {}
        self.default_condition = LinkCondition()
        self.unknown_senders = 0

    def add(self, member: int, proxy_address: tuple[str, int], address: tuple[str, int]) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(proxy_address)
        self.proxy_sockets[member], self.addresses[member], self.members_by_address[address] = (
            sock,
            address,
            member,
        )
        self.members_by_host[address[0]] = member
        gevent.spawn(self._relay_datagrams, member, sock)
        gevent.spawn(
            accept_connections,
            listening_socket(proxy_address),
            lambda client, peer: self._relay_stream(member, client, peer),
        )

    def set_condition(self, source: int, target: int, condition: LinkCondition) -> None:
        for links in (self.datagram_links, self.stream_links):
            self._link(links, source, target).condition = condition

    def set_all_conditions(self, condition: LinkCondition) -> None:
        self.default_condition = condition
        for link in (*self.datagram_links.values(), *self.stream_links.values()):
            link.condition = condition

    def _link(self, links: dict[tuple[int, int], LinkDirection], source: int, target: int) -> LinkDirection:
        if (source, target) not in links:
            links[source, target] = LinkDirection(self.rng)
            links[source, target].condition = self.default_condition
        return links[source, target]

    def _relay_stream(self, target: int, client: socket.socket, peer: tuple) -> None:
        """Relays a stream; the calling member is identified by its source address."""
        source = self.members_by_host.get(peer[0])
        if source is None:
            self.unknown_senders += 1
            client.close()
            return
        forward, backward = (
            self._link(self.stream_links, source, target),
            self._link(self.stream_links, target, source),
        )
        if forward.condition.blocked or backward.condition.blocked:
            # Nothing passes, not even a refusal: read until the caller gives up.
            try:
                while client.recv(65536):
                    pass
            except OSError:
                pass
            client.close()
            return
        relay_connection(client, self.addresses[target], forward, backward)

    def _relay_datagrams(self, target: int, sock: socket.socket) -> None:
        while True:
            data, address = sock.recvfrom(65536)
            source = self.members_by_address.get(address)
            if source is None:
                self.unknown_senders += 1
                continue
            for at in self._link(self.datagram_links, source, target).datagram_arrivals(now()):
                if (wait := at - now()) > 0:
                    gevent.spawn_later(wait / 10_000, self._deliver, source, target, data)
                else:
                    self._deliver(source, target, data)

    def _deliver(self, source: int, target: int, data: bytes) -> None:
        self.proxy_sockets[source].sendto(data, self.addresses[target])


class Switch:
    def __init__(self, seed: str):
        self.rng = Random(seed)
        self.proxies: dict[tuple[int, int], LinkProxy] = {}  # by link group and backend
        self.member_links = MemberLinks(self.rng)

    def handle_message(self, message: dict) -> None:
        match message["do"]:
            case "fronts":
                for group, backend, address, target in message["fronts"]:
                    self.proxies[group, backend] = LinkProxy(tuple(address), tuple(target), self.rng)
            case "members":
                for member, proxy_address, address in message["members"]:
                    self.member_links.add(member, tuple(proxy_address), tuple(address))
            case "links":
                condition = LinkCondition(**message["condition"])
                for group, backend in message["fronts"]:
                    self.proxies[group, backend].set_condition(message["way"], condition)
            case "member links":
                condition = LinkCondition(**message["condition"])
                if message["pairs"] is None:
                    self.member_links.set_all_conditions(condition)
                for source, target in message["pairs"] or ():
                    self.member_links.set_condition(source, target, condition)
            case unknown:
                raise ValueError(f"unknown command {unknown!r}")


def main() -> None:
    pipe = ControlPipe()
    switch = Switch(pipe.read_message()["seed"])
    pipe.say(ready=True)
    pipe.serve(switch.handle_message)
