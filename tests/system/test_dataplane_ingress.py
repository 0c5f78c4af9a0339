"""Limits for client requests, behaviour at startup, and draining."""

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from nettledeal.dataplane.client_connection import (
    EXPECTED_START_S,
    MAX_START_S,
    MIN_STARTING_RETRY_S,
    RequestLimits,
)
from nettledeal.dataplane.routing_table import RoutingTable
from system.dataplane_rig import (
    LIMITS,
    FakeBackend,
    chunk_of,
    entries,
    event,
    response_bytes,
    running,
    stream_head,
)


def test_a_head_over_the_limit_is_rejected():
    with running(FakeBackend("i-1")) as rig:
        assert rig.client().ask(X_Long="x" * 5000)[0] == 431
        assert rig.client().ask(X_Long="x" * 3000)[0] == 200


def test_a_body_over_the_limit_is_rejected_before_it_is_sent():
    with running(FakeBackend("i-1")) as rig:
        client = rig.client()
        client.sock.sendall(b"POST /web/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 300001\r\n\r\n")
        assert client.receive()[0] == 413
        assert not rig.backends[0].requests


def test_without_a_configuration_a_large_request_is_told_to_retry():
    with running(FakeBackend("i-1"), control={}) as rig:
        status, headers, _ = rig.client().ask(body=b"x" * 200_000)
        assert (status, "retry-after" in headers) == (503, True)


def test_without_a_catalogue_requests_are_told_when_to_retry():
    with running(FakeBackend("i-1")) as rig:
        rig.plane.ingress.has_catalogue = False
        status, headers, _ = rig.client().ask()
        assert (status, float(headers["retry-after"]) >= MIN_STARTING_RETRY_S) == (503, True)
        assert rig.client().ask("/elsewhere/x")[0] == 404


@pytest.mark.parametrize(
    ("uptime_s", "least_s", "most_s"),
    [
        (0.0, EXPECTED_START_S - 1.0, MAX_START_S),  # starting the rig takes some time
        (EXPECTED_START_S, MIN_STARTING_RETRY_S, MAX_START_S - EXPECTED_START_S),
        (60.0, MIN_STARTING_RETRY_S, MIN_STARTING_RETRY_S),
    ],
)
def test_retries_at_startup_are_late_enough_and_spread_out(uptime_s, least_s, most_s):
    with running(FakeBackend("i-1")) as rig:
        rig.plane.ingress.has_catalogue = False
        rig.plane.ingress.started_at -= uptime_s
        client = rig.client()
        retry_after_s = [float(client.ask()[1]["retry-after"]) for _ in range(20)]
    assert least_s <= min(retry_after_s) <= max(retry_after_s) <= most_s
    assert (len(set(retry_after_s)) > 1) is (least_s < most_s)


def test_an_incomplete_head_times_out_with_408():
    short_timeout = LIMITS | {"header_timeout_ms": 30}
    with running(FakeBackend("i-1"), control=entries(limits=short_timeout)) as rig:
        client = rig.client()
        client.sock.sendall(b"POST /web/x HTTP/1.1\r\nHost: ")
        assert client.receive()[0] == 408
        assert client.is_closed()


def test_a_connection_idle_for_too_long_is_closed():
    short_timeout = LIMITS | {"idle_timeout_ms": 30}
    with running(FakeBackend("i-1"), control=entries(limits=short_timeout)) as rig:
        client = rig.client()
        assert client.ask()[0] == 200
        assert client.is_closed()


class ExtendedLimits(RequestLimits):
    """Limits whose idle timeout is short at the first read and long from then on."""

    def __init__(self, table: RoutingTable):
        self.read_again = Event()
        self.read_count = 0
        super().__init__(table)

    @property
    def idle_timeout_s(self) -> float:
        self.read_count += 1
        if self.read_count == 1:
            return 0.001
        self.read_again.set()
        return 60.0

    @idle_timeout_s.setter
    def idle_timeout_s(self, value: float) -> None:
        """Ignores the configured value."""


def test_a_new_configuration_extends_the_idle_timeout_of_open_connections():
    with running(FakeBackend("i-1")) as rig:
        limits = ExtendedLimits(rig.plane.table)
        rig.plane.ingress.limits = limits
        client = rig.client()
        assert limits.read_again.wait(5)
        assert client.ask()[0] == 200


def test_a_request_without_an_id_is_rejected():
    with running(FakeBackend("i-1")) as rig:
        assert rig.client().ask(Request_Id="")[0] == 400
        assert not rig.backends[0].requests


def test_expect_100_continue_is_answered():
    with running(FakeBackend("i-1")) as rig:
        client = rig.client()
        client.sock.sendall(
            b"POST /web/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n"
            b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
        )
        assert client.sock.recv(64).startswith(b"HTTP/1.1 100 ")
        client.sock.sendall(b"abc")
        assert client.receive()[0] == 200
        assert rig.backends[0].requests[0].body == b"abc"


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
    ],
)
def test_a_request_with_ambiguous_length_reaches_no_backend(framing):
    with running(FakeBackend("i-1")) as rig:
        client = rig.client()
        head = b"POST /web/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n"
        client.sock.sendall(head + framing)
        assert client.receive()[0] == 400
        assert client.is_closed()
        assert not rig.backends[0].requests


def test_stopping_finishes_requests_and_announces_closing():
    proceed = Event()

    def slow(_, sock, request):
        proceed.wait(5)
        sock.sendall(response_bytes(request.request_id))
        return True

    with running(FakeBackend("i-1", script=slow), grace_s=2.0, ttl_max_s=0.01) as rig:
        client, idle_client = rig.client(), rig.client()
        client.send()
        assert rig.backends[0].request_received.wait(5)
        changes = []
        rig.plane.on_ready_changed = changes.append
        stopping = gevent.spawn(rig.plane.stop)
        gevent.sleep(0)
        assert changes == [False]
        late_client = rig.client()
        proceed.set()
        assert client.receive()[0] == 200
        assert client.is_closed()
        status, headers, _ = late_client.ask(Request_Id="r2")
        assert (status, headers["connection"]) == (200, "close")
        assert idle_client.is_closed()
        stopping.get(timeout=5)
        with pytest.raises(OSError):
            socket.create_connection(rig.frontend)


def test_stopping_waits_for_a_stream():
    proceed = Event()

    def slow(_, sock, request):
        sock.sendall(stream_head(request.request_id) + chunk_of(event(1)))
        proceed.wait(5)
        sock.sendall(chunk_of(event(2)) + b"0\r\n\r\n")
        return True

    with running(FakeBackend("i-1", script=slow), grace_s=2.0, ttl_max_s=0.01) as rig:
        client = rig.client()
        client.send("/stream/x")
        assert rig.backends[0].request_received.wait(5)
        stopping = gevent.spawn(rig.plane.stop)
        gevent.sleep(0)
        proceed.set()
        assert client.receive()[2] == event(1) + event(2)
        stopping.get(timeout=5)
