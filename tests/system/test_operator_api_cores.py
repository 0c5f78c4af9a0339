"""Three core machines and their callers, over real sockets and disks: an operator that follows redirects and
sends again what got no clear answer, subscribers that follow the control source, and a crash of the primary.
"""

from __future__ import annotations

import time
from random import Random

import gevent
import pytest
from gevent import socket

from nettledeal.common.addresses import Address, InternalPort, parse_address
from nettledeal.common.settings import FaultTolerance, Listen
from nettledeal.control.node import ControlNode
from nettledeal.distribution.control_source import CONTROL_SOURCE, control_entries
from nettledeal.distribution.published_source import PublishedSource
from nettledeal.distribution.publisher import Publisher
from nettledeal.distribution.subscriber import Subscriber
from nettledeal.operator_api.server import OperatorServer
from tests.system.distribution_support import make_settings
from tests.system.operator_api_support import make_body

HOSTS = ["127.0.8.1", "127.0.8.2", "127.0.8.3"]
ZONES = ["z1", "z2", "z3"]
PATIENCE_S = 15.0
SILENCE_S = 1.0
FINAL = {200, 400, 409, 412}


def free_ports(count: int) -> int:
    """The first of `count` ports in a row that nothing listens on."""
    random = Random()
    while True:
        first = random.randrange(20000, 50000)
        if all(is_free(first + offset) for offset in range(count)):
            return first


def is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((HOSTS[0], port))
        except OSError:
            return False
        return True


class CoreMachine:
    """The parts of a control-plane process that operators and subscribers meet."""

    def __init__(self, host: str, port: int, folder):
        self.settings = make_settings(
            node_name=host,
            ip=host,
            zone=ZONES[HOSTS.index(host)],
            port=port,
            seeds=[f"{other}:{port + 11}" for other in HOSTS],
            bootstrap=True,
            counts_for_quorum=True,
            listen=Listen(control_plane=f"{host}:{port + 11}"),
            fault_tolerance=FaultTolerance(machines=1, zones=1),
        )
        self.source = PublishedSource(CONTROL_SOURCE)
        self.node = ControlNode(self.settings, folder / host)
        self.node.changes.on_commit.append(self._publish)
        self.publisher = Publisher(self.settings, {CONTROL_SOURCE: self.source})
        self.operator_api = OperatorServer(self.settings, self.node)
        self.node.start()
        self.publisher.start()
        self.operator_api.start()
        self._confirming = gevent.spawn(self._confirm)

    def _publish(self, state) -> None:
        self.source.publish((state.sequence,), control_entries(state.entries))
        self.publisher.notify()

    def _confirm(self) -> None:
        while True:
            gevent.sleep(0.1)
            age_s = self.node.confirmed_age_s()
            if age_s < PATIENCE_S:
                self.source.confirm(time.monotonic(), age_s)

    def crash(self) -> None:
        self._confirming.kill(block=False)
        self.operator_api.stop()
        self.publisher.stop()
        self.node.abort()


class Operator:
    """Sends an order to one machine after another until an answer is clear; some answers are lost."""

    def __init__(self, addresses: list[Address], random: Random, loss: float = 0.0):
        self.addresses = addresses
        self.random = random
        self.loss = loss

    def order(self, method: str, path: str, body: bytes = b"", if_match: int | None = None):
        """Status and body of the first clear answer."""
        with gevent.Timeout(PATIENCE_S):
            while True:
                answer = self._try(self.random.choice(self.addresses), method, path, body, if_match)
                if answer is not None and answer[0] in FINAL:
                    return answer
                gevent.sleep(self.random.uniform(0.02, 0.1))

    def put(self, generation: int, version: int, **changes) -> int:
        return self.order("PUT", "/config", make_body(generation, **changes), version)[0]

    def _try(self, address, method, path, body, if_match, redirects=2):
        try:
            status, headers, content = call(address, method, path, body, if_match)
        except OSError:
            return None
        if self.random.random() < self.loss:
            return None
        if status == 307 and redirects:
            target = parse_address(headers["Location"].split("/")[2])
            return self._try(target, method, path, body, if_match, redirects - 1)
        return status, content


def call(address, method, path, body, if_match):
    """Make one HTTP call; raises OSError for whatever is not a whole answer."""
    with socket.create_connection(address, timeout=SILENCE_S) as sock:
        lines = [f"{method} {path} HTTP/1.1", "Host: x", "Connection: close", f"Content-Length: {len(body)}"]
        if if_match is not None:
            lines.append(f"If-Match: {if_match}")
        sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
        answer = b""
        while data := sock.recv(65536):
            answer += data
    head, separator, content = answer.partition(b"\r\n\r\n")
    if not separator:
        raise OSError("no answer")
    status, *headers = head.decode().split("\r\n")
    return int(status.split()[1]), dict(line.split(": ", 1) for line in headers), content


class Deployment:
    """The core machines and their subscribers."""

    def __init__(self, folder):
        port = free_ports(12)
        self.cores = {host: CoreMachine(host, port, folder) for host in HOSTS}
        self.addresses = [parse_address(core.settings.listen.control_plane) for core in self.cores.values()]
        self.publishers = [Address(host, port + InternalPort.DISTRIBUTION) for host in HOSTS]
        self.seen: list[list[int]] = []
        self.subscribers = [self._subscribe(number) for number in range(3)]

    def _subscribe(self, number: int) -> Subscriber:
        seen: list[int] = []
        self.seen.append(seen)

        def note(_source, version, entries):
            assert int(entries.get("generation", b"0")) >= 0
            seen.append(version[0])

        targets = self.publishers[number:] + self.publishers[:number]
        subscriber = Subscriber(
            make_settings(node_name=f"edge-{number}"), f"edge-{number}", lambda: targets, ["control"], note
        )
        subscriber.start()
        return subscriber

    def crash_primary(self) -> None:
        host = next(host for host, core in self.cores.items() if core.node.is_primary)
        self.cores.pop(host).crash()

    def stop(self) -> None:
        for subscriber in self.subscribers:
            subscriber.stop()
        for core in self.cores.values():
            core.crash()


@pytest.fixture
def deployment(tmp_path):
    deployment = Deployment(tmp_path)
    yield deployment
    deployment.stop()


def await_that(condition) -> None:
    with gevent.Timeout(PATIENCE_S):
        while not condition():
            gevent.sleep(0.01)


def generations_held(deployment):
    return {subscriber.entries("control").get("generation") for subscriber in deployment.subscribers}


def test_orders_with_lost_answers_and_a_crash_of_the_primary(deployment):
    operator = Operator(deployment.addresses, Random(5), loss=0.4)
    current = 0
    for number in range(1, 13):
        if number == 6:
            deployment.crash_primary()
        assert operator.put(10 * number, current) == 200
        current = 10 * number
        assert operator.put(10 * number, current - 10) == 200, "sent again, it is acknowledged again"
        if number % 4 == 0:
            assert operator.put(current + 1, current - 10) == 412
            assert operator.put(current, current, mood="other") == 400
    assert operator.order("POST", "/evacuations/z2")[0] == 200
    assert operator.order("GET", "/config") == (200, make_body(120))
    await_that(lambda: generations_held(deployment) == {b"120"})
    await_that(lambda: all("evacuation/z2" in each.entries("control") for each in deployment.subscribers))
    for seen in deployment.seen:
        assert seen == sorted(set(seen)), "no subscriber went back, or was told a version twice"


def test_of_two_operators_on_the_same_version_one_wins_each_time(deployment):
    current = 0
    operators = [Operator(deployment.addresses, Random(seed), loss=0.3) for seed in range(2)]
    for number in range(1, 9):
        calls = [
            gevent.spawn(operator.put, 10 * number, current, mood=mood)
            for mood, operator in enumerate(operators)
        ]
        assert sorted(call.get() for call in calls) == [200, 412]
        current = 10 * number
        winner = next(mood for mood, call in enumerate(calls) if call.value == 200)
        body = operators[0].order("GET", "/config")[1]
        assert body == make_body(current, mood=winner)


def test_twenty_orders_at_once(deployment):
    operator = Operator(deployment.addresses, Random(1))
    assert operator.put(1, 0) == 200
    zones = ["z1", "z2", "z3"]
    calls = [gevent.spawn(operator.order, "POST", f"/evacuations/{zones[n % 3]}") for n in range(12)]
    calls += [gevent.spawn(operator.put, 2, 1) for _ in range(8)]
    assert {call.get() if isinstance(call.get(), int) else call.get()[0] for call in calls} == {200}
    await_that(lambda: generations_held(deployment) == {b"2"})
