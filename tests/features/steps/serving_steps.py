"""Steps for clients of an agent with fake backends on loopback."""

from __future__ import annotations

from contextlib import ExitStack

import gevent
from behave import given, then, when
from gevent import socket
from gevent.event import Event

from tests.system.dataplane_rig import (
    SIGNATURE,
    FakeBackend,
    chunk_of,
    entries,
    event,
    response_bytes,
    route,
    running,
    stream_head,
)

GRACE_S = 1.0


def full(_, sock, request) -> bool:
    """The backend rejects every request."""
    sock.sendall(
        response_bytes(request.request_id, b"", "503 Service Unavailable", False, "Not-Executed: 1\r\n")
    )
    return True


def loses(*_) -> bool:
    """The backend closes the connection without an answer."""
    return False


def streams(count: int, whole: bool):
    """The backend sends events up to `count`, starting after the request's Last-Event-ID."""

    def script(_, sock, request) -> bool:
        first = int(request.headers.get("last-event-id", 0)) + 1
        sock.sendall(stream_head(request.request_id))
        for number in range(first, count + 1):
            sock.sendall(chunk_of(event(number)))
        if whole:
            sock.sendall(b"0\r\n\r\n")
        return whole

    return script


def start(context, *backends: FakeBackend, **options) -> None:
    """Run an agent until the scenario ends."""
    stack = ExitStack()
    context.add_cleanup(stack.close)
    context.rig = stack.enter_context(running(*backends, grace_s=GRACE_S, ttl_max_s=0.01, **options))
    context.backends = {backend.id: backend for backend in backends}


@given('an agent with backends "{first}" and "{second}"')
def step_agent(context, first, second):
    start(context, *(FakeBackend(name, zone=f"{name.partition('-')[0]}-1") for name in (first, second)))


@given("an agent without a configuration")
def step_unconfigured(context):
    start(context, FakeBackend("north-a"), control={})


@given('backend "{name}" is full')
def step_full(context, name):
    context.backends[name].script = full


@given('backend "{name}" loses its answers')
def step_loses(context, name):
    context.backends[name].script = loses


@given('backend "{name}" breaks its streams off after {count:d} events')
def step_breaks_off(context, name, count):
    context.backends[name].script = streams(count, whole=False)


@given('backend "{name}" streams {count:d} events')
def step_streams(context, name, count):
    context.backends[name].script = streams(count, whole=True)


@given('backend "{name}" takes its time')
def step_slow(context, name):
    context.proceed = Event()

    def script(_, sock, request) -> bool:
        context.proceed.wait(GRACE_S)
        sock.sendall(response_bytes(request.request_id, name.encode()))
        return True

    context.backends[name].script = script


@when('a client asks for "{path}"')
def step_ask(context, path):
    context.served = context.rig.client().ask(path)


@when('the configuration leaves only the route "{prefix}"')
def step_reconfigure(context, prefix):
    context.rig.plane.apply_control(2, entries(route(prefix.strip("/"))))


@when('the zone "{zone}" is evacuated')
def step_evacuate(context, zone):
    context.rig.plane.apply_control(2, entries(evacuated=(zone,)))


@when("the evacuation is taken back")
def step_take_back(context):
    context.rig.plane.apply_control(3, entries())


@when('a client has asked for "{path}" and the agent is told to stop')
def step_stop(context, path):
    context.client = context.rig.client()
    context.client.send(path)
    assert next(iter(context.backends.values())).request_received.wait(GRACE_S)
    context.stopping = gevent.spawn(context.rig.plane.stop)
    gevent.sleep(0)


@then('the client gets {status:d} from backend "{name}"')
def step_served_by(context, status, name):
    assert context.served[0] == status
    assert context.served[2] == name.encode()


@then("the client gets {status:d}")
def step_status(context, status):
    assert context.served[0] == status


@then("the answer bears the stamp of a backend")
def step_stamped(context):
    assert context.served[1]["server-signature"] == SIGNATURE


@then("the answer bears no stamp")
def step_not_stamped(context):
    assert "server-signature" not in context.served[1]


@then("the answer says when to come back")
def step_come_back(context):
    assert float(context.served[1]["retry-after"]) > 0


@then('backend "{name}" got {count:d} requests')
def step_got(context, name, count):
    assert len(context.backends[name].requests) == count


@then("the client gets 200 with events {first:d} to {last:d}, each once")
def step_events(context, first, last):
    assert context.served[0] == 200
    assert context.served[2] == b"".join(event(number) for number in range(first, last + 1))


@then("the agent is not ready")
def step_not_ready(context):
    with socket.create_connection(context.rig.readiness) as sock:
        sock.sendall(b"GET /readyz HTTP/1.1\r\nHost: agent\r\n\r\n")
        assert sock.recv(4096).split()[1] == b"503"


@then("the client still gets its whole answer")
def step_whole_answer(context):
    context.proceed.set()
    assert context.client.receive()[0] == 200


@then("the agent ends within its grace")
def step_ends(context):
    context.stopping.get(timeout=GRACE_S)
