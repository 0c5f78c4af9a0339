"""What clients may send, how long they may take, and how a process leaves service."""

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from nettledeal.dataplane.ingress import (
    EXPECTED_START_S,
    MAX_START_S,
    MIN_STARTING_RETRY_S,
    RequestLimits,
)
from nettledeal.dataplane.routing_table import RoutingTable
from system.dataplane_rig import LIMITS, StandIn, answer_bytes, chunk_of, entries, event, running, stream_head


def test_a_head_beyond_the_limit_is_refused():
    with running(StandIn("i-1")) as rig:
        assert rig.client().ask(X_Long="x" * 5000)[0] == 431
        assert rig.client().ask(X_Long="x" * 3000)[0] == 200


def test_a_body_beyond_the_limit_is_refused_before_it_comes():
    with running(StandIn("i-1")) as rig:
        client = rig.client()
        client.sock.sendall(b"POST /web/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 300001\r\n\r\n")
        assert client.receive()[0] == 413
        assert not rig.backends[0].seen


def test_a_large_request_before_any_configuration_is_refused_for_now_only():
    with running(StandIn("i-1"), control={}) as rig:
        status, headers, _ = rig.client().ask(body=b"x" * 200_000)
        assert (status, "retry-after" in headers) == (503, True)


def test_a_process_without_a_catalogue_says_when_it_should_be_ready():
    with running(StandIn("i-1")) as rig:
        rig.plane.ingress.has_catalogue = False
        status, headers, _ = rig.client().ask()
        assert (status, float(headers["retry-after"]) >= MIN_STARTING_RETRY_S) == (503, True)
        assert rig.client().ask("/elsewhere/x")[0] == 404


@pytest.mark.parametrize(
    ("uptime_s", "least_s", "most_s"),
    [
        (0.0, EXPECTED_START_S - 1.0, MAX_START_S),  # the rig itself takes a moment
        (EXPECTED_START_S, MIN_STARTING_RETRY_S, MAX_START_S - EXPECTED_START_S),
        (60.0, MIN_STARTING_RETRY_S, MIN_STARTING_RETRY_S),
    ],
)
def test_clients_of_a_starting_process_come_back_when_it_is_surely_ready_not_all_at_once(
    uptime_s, least_s, most_s
):
    with running(StandIn("i-1")) as rig:
        rig.plane.ingress.has_catalogue = False
        rig.plane.ingress.started_at -= uptime_s
        client = rig.client()
        told = [float(client.ask()[1]["retry-after"]) for _ in range(20)]
    assert least_s <= min(told) <= max(told) <= most_s
    assert (len(set(told)) > 1) is (least_s < most_s)


def test_a_head_that_does_not_come_whole_in_time_is_answered_so():
    brief = LIMITS | {"header_timeout_ms": 30}
    with running(StandIn("i-1"), control=entries(limits=brief)) as rig:
        client = rig.client()
        client.sock.sendall(b"POST /web/x HTTP/1.1\r\nHost: ")
        assert client.receive()[0] == 408
        assert client.at_end()


def test_a_connection_that_rests_too_long_is_closed():
    brief = LIMITS | {"idle_timeout_ms": 30}
    with running(StandIn("i-1"), control=entries(limits=brief)) as rig:
        client = rig.client()
        assert client.ask()[0] == 200
        assert client.at_end()


class LengthenedLimits(RequestLimits):
    """Limits whose idle time-out is short when it is asked for first, and long from then on."""

    def __init__(self, table: RoutingTable):
        self.asked_again = Event()
        self.asked = 0
        super().__init__(table)

    @property
    def idle_timeout_s(self) -> float:
        self.asked += 1
        if self.asked == 1:
            return 0.001
        self.asked_again.set()
        return 60.0

    @idle_timeout_s.setter
    def idle_timeout_s(self, value: float) -> None:
        """What the configuration says is not used."""


def test_a_new_configuration_lets_connections_rest_for_longer():
    with running(StandIn("i-1")) as rig:
        limits = LengthenedLimits(rig.plane.table)
        rig.plane.ingress.limits = limits
        client = rig.client()
        assert limits.asked_again.wait(5)
        assert client.ask()[0] == 200


def test_a_request_without_an_id_is_refused():
    with running(StandIn("i-1")) as rig:
        assert rig.client().ask(Request_Id="")[0] == 400
        assert not rig.backends[0].seen


def test_a_client_that_asks_before_its_body_is_told_to_go_on():
    with running(StandIn("i-1")) as rig:
        client = rig.client()
        client.sock.sendall(
            b"POST /web/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n"
            b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
        )
        assert client.sock.recv(64).startswith(b"HTTP/1.1 100 ")
        client.sock.sendall(b"abc")
        assert client.receive()[0] == 200
        assert rig.backends[0].seen[0].body == b"abc"


@pytest.mark.parametrize(
    "smuggled",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
    ],
)
def test_a_body_of_doubtful_length_reaches_no_backend(smuggled):
    with running(StandIn("i-1")) as rig:
        client = rig.client()
        head = b"POST /web/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n"
        client.sock.sendall(head + smuggled)
        assert client.receive()[0] == 400
        assert client.at_end()
        assert not rig.backends[0].seen


def test_leaving_finishes_what_was_read_and_says_that_connections_close():
    proceed = Event()

    def slow(_, sock, seen):
        proceed.wait(5)
        sock.sendall(answer_bytes(seen.request_id))
        return True

    with running(StandIn("i-1", script=slow), grace_s=2.0, ttl_max_s=0.01) as rig:
        client, resting = rig.client(), rig.client()
        client.send()
        assert rig.backends[0].came.wait(5)
        changes = []
        rig.plane.on_ready_changed = changes.append
        leaving = gevent.spawn(rig.plane.stop)
        gevent.sleep(0)
        assert changes == [False]
        late = rig.client()
        proceed.set()
        assert client.receive()[0] == 200
        assert client.at_end()
        status, headers, _ = late.ask(Request_Id="r2")
        assert (status, headers["connection"]) == (200, "close")
        assert resting.at_end()
        leaving.get(timeout=5)
        with pytest.raises(OSError):
            socket.create_connection(rig.frontend)


def test_leaving_lets_a_stream_end():
    proceed = Event()

    def slow(_, sock, seen):
        sock.sendall(stream_head(seen.request_id) + chunk_of(event(1)))
        proceed.wait(5)
        sock.sendall(chunk_of(event(2)) + b"0\r\n\r\n")
        return True

    with running(StandIn("i-1", script=slow), grace_s=2.0, ttl_max_s=0.01) as rig:
        client = rig.client()
        client.send("/stream/x")
        assert rig.backends[0].came.wait(5)
        leaving = gevent.spawn(rig.plane.stop)
        gevent.sleep(0)
        proceed.set()
        assert client.receive()[2] == event(1) + event(2)
        leaving.get(timeout=5)
