"""Steps that call the operator API over HTTP, with the control state in memory."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass, field

import gevent
from behave import given, then, when
from gevent import socket

from nettledeal.common.settings import Listen
from nettledeal.operator_api.server import OperatorServer
from tests.system.distribution_support import make_settings
from tests.system.operator_api_support import MemoryNode, make_body, make_route

PRIMARY = "10.0.0.4:8080"
FAULTS = {
    "an unknown service": make_body(7, routes=[make_route(service="unknown")]),
    "two routes on the same prefix": make_body(7, routes=[make_route(), make_route(name="r-2")]),
    "weights that add up to 0": make_body(
        7, routes=[make_route(traffic_split=[{"service": "cart", "weight": 0}])]
    ),
    "a timeout of 0": make_body(7, routes=[make_route(timeout_ms=0)]),
    "its end missing": make_body(7)[:-30],
    "the number of the current one": make_body(5, routes=[]),
}


@dataclass
class Answer:
    """The answer to a call."""

    status: int
    body: bytes
    location: str | None


@dataclass
class Operator:
    """An operator that calls one machine and records the answers."""

    port: int
    answers: list[Answer] = field(default_factory=list)

    def call(self, method: str, path: str, body: bytes = b"", if_match: int | None = None) -> Answer:
        """Make a call and record its answer."""
        task = gevent.get_hub().threadpool.spawn(self._call, method, path, body, if_match)
        answer = task.get(timeout=10)
        self.answers.append(answer)
        return answer

    def put(self, body: bytes, version: int) -> Answer:
        """Put a configuration on top of a version."""
        return self.call("PUT", "/config", body, version)

    def _call(self, method: str, path: str, body: bytes, if_match: int | None) -> Answer:
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=5)
        headers = {} if if_match is None else {"If-Match": str(if_match)}
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        answer = Answer(response.status, response.read(), response.getheader("Location"))
        connection.close()
        return answer


def free_port() -> int:
    """A port that nothing listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@given("a running control plane")
def running_control_plane(context):
    context.node = MemoryNode()
    address = f"127.0.0.1:{free_port()}"
    server = OperatorServer(make_settings(listen=Listen(control_plane=address)), context.node)
    server.start()
    context.add_cleanup(server.stop)
    context.operator = Operator(server.port)


@given("configuration {number:d} is in force")
def in_force(context, number):
    assert context.operator.put(make_body(number), 0).status == 200
    context.node.submitted.clear()


@given("commits are held up")
def commits_held_up(context):
    context.node.open.clear()


@given("another machine is the primary")
def another_primary(context):
    context.node.is_primary = False
    context.node.primary_address = PRIMARY


@given("another machine has become the primary unnoticed")
def deposed(context):
    context.node.deposed = True


@when("commits go on")
def commits_go_on(context):
    context.node.open.set()


@when("the operator puts configuration {number:d} on top of {version:d}")
@when("the operator puts configuration {number:d} on top of {version:d} again")
def put(context, number, version):
    context.operator.put(make_body(number), version)


@when("two operators put different configurations {number:d} on top of {version:d} at the same time")
def put_at_once(context, number, version):
    context.node.open.clear()
    bodies = [make_body(number, mood=mood) for mood in ("mine", "theirs")]
    calls = [gevent.spawn(context.operator.put, body, version) for body in bodies]
    with gevent.Timeout(10):
        while len(context.node.submitted) < len(bodies):
            gevent.sleep(0.001)
    context.node.open.set()
    context.race = [call.get() for call in calls]


@when("the operator puts configuration 7 with {fault}")
def put_invalid(context, fault):
    context.operator.put(FAULTS[fault], 5)


@when("the operator reads the configuration")
def read(context):
    context.operator.call("GET", "/config")


@when("the operator evacuates zone {zone}")
def evacuate(context, zone):
    context.operator.call("POST", f"/evacuations/{zone}")


@when("the operator takes back zone {zone}")
def take_back(context, zone):
    context.operator.call("DELETE", f"/evacuations/{zone}")


@then("the answer is {status:d}")
def answer_is(context, status):
    assert context.operator.answers[-1].status == status, context.operator.answers[-1]


@then("the answer names {name}")
def answer_names(context, name):
    assert name in json.loads(context.operator.answers[-1].body)["reason"]


@then("the answer leads to the primary")
def answer_leads(context):
    assert context.operator.answers[-1].location == f"http://{PRIMARY}/config"


@then("one of them is answered 200 and the other 412")
def one_wins(context):
    assert sorted(answer.status for answer in context.race) == [200, 412]


@then("configuration {number:d} is read back as it was sent")
def read_back(context, number):
    answer = context.operator.call("GET", "/config")
    assert (answer.status, answer.body) == (200, make_body(number))


@then("it was carried out once")
def carried_out_once(context):
    assert context.node.state.sequence == 2  # one change for each configuration


@then("zone {zone} is evacuated")
def is_evacuated(context, zone):
    assert context.node.state.evacuated_zones == {zone}


@then("no zone is evacuated")
def none_evacuated(context):
    assert context.node.state.evacuated_zones == frozenset()
