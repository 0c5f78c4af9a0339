"""Catalogue entries and connections to backends."""

import time

from nettledeal.dataplane.backend_connections import FIRST_CONNECT_TIMEOUT_S, MIN_CONNECT_TIMEOUT_S
from nettledeal.dataplane.known_backends import KnownBackends
from nettledeal.dataplane.selection import Tuning
from nettledeal.discovery.catalogue import Backend, BackendState
from system.dataplane_rig import FakeBackend, catalogue, entries, response_bytes, running

COLD = Backend("i-1", "web", "127.0.0.1:1", "north-1", warmup_left_ms=3000.0)


def test_a_warm_up_counts_down_from_when_its_entry_was_received():
    known = KnownBackends()
    assert known.update(catalogue(COLD), 10.0)[0].warmup_left_ms == 3000.0
    assert known.update(catalogue(COLD), 11.0)[0].warmup_left_ms == 2000.0
    assert known.update(catalogue(COLD), 20.0)[0].warmup_left_ms == 0.0
    again = Backend("i-1", "web", "127.0.0.1:1", "north-1", warmup_left_ms=4000.0)
    assert known.update(catalogue(again), 21.0)[0].warmup_left_ms == 4000.0


def test_an_unreadable_entry_does_not_affect_others():
    known = KnownBackends()
    listed = known.update(catalogue(COLD) | {"i-2": b"\xff\x00"}, 0.0)
    assert [backend.id for backend in listed] == ["i-1"]


def test_a_draining_backend_gets_no_new_requests_and_its_idle_connections_close():
    with running(FakeBackend("i-1"), FakeBackend("i-2")) as rig:
        client = rig.client()
        assert client.ask()[2] == b"i-1"
        first, second = (backend.catalogue_entry for backend in rig.backends)
        draining = Backend(first.id, "web", first.address, "north-1", state=BackendState.DRAINING)
        rig.plane.apply_catalogue((1, 2), catalogue(draining, second))
        assert rig.backends[0].connection_closed.wait(5)
        assert client.ask(Request_Id="r2")[2] == b"i-2"


def test_an_evacuated_zone_gets_no_new_requests():
    with running(FakeBackend("i-1"), FakeBackend("i-2", zone="south-1")) as rig:
        client = rig.client()
        assert client.ask()[2] == b"i-1"
        rig.plane.apply_control(2, entries(evacuated=("north-1",)))
        assert client.ask(Request_Id="r2")[2] == b"i-2"


def test_an_idle_connection_closed_by_its_backend_fails_no_request():
    def respond_and_close(_, sock, request):
        sock.sendall(response_bytes(request.request_id, b"once", extra_headers="Keep-Alive: timeout=5\r\n"))
        return False

    with running(FakeBackend("i-1", script=respond_and_close)) as rig:
        client = rig.client()
        for number in range(5):
            assert client.ask(Request_Id=f"r{number}")[0] == 200


def test_an_idle_connection_is_not_reused_beyond_its_limit():
    with running(FakeBackend("i-1", extra_headers="Keep-Alive: timeout=2\r\n")) as rig:
        assert rig.client().ask()[0] == 200
        pool = rig.plane.connections.pool("i-1")
        connection = pool.idle[0]
        assert 0.5 < connection.idle_limit_s < 2.0
        assert connection.reusable(connection.idle_since + 0.5)
        assert not connection.reusable(connection.idle_since + 1.9)


def test_connections_are_limited_to_this_agents_part():
    with running(FakeBackend("i-1")) as rig:
        rig.plane.set_data_plane_members(20, ["edge-1"])
        assert rig.plane.connections.pool("i-1").max_open == 4


def test_the_connect_timeout_adapts_to_the_last_connect():
    with running(FakeBackend("i-1", extra_headers="Connection: close\r\n")) as rig:
        pool = rig.plane.connections.pool("i-1")
        assert pool.connect_timeout_s == FIRST_CONNECT_TIMEOUT_S
        assert rig.client().ask()[0] == 200
        assert pool.connect_timeout_s == MIN_CONNECT_TIMEOUT_S
        rig.backends[0].sock.close()
        assert rig.client().ask()[0] == 503
        assert pool.connect_timeout_s == MIN_CONNECT_TIMEOUT_S
        assert rig.client().ask()[0] == 503
        assert pool.connect_timeout_s == MIN_CONNECT_TIMEOUT_S


def test_a_non_repeatable_request_uses_no_long_idle_connection():
    """The backend may be gone, or have dropped the connection without notice: the request would be lost."""
    with running(FakeBackend("i-1", extra_headers="Keep-Alive: timeout=20\r\n")) as rig:
        client = rig.client()
        client.ask("/web/x")
        pool = rig.plane.connections.pool("i-1")
        too_long_s = Tuning().max_idle_s + 0.1
        pool.idle[0].idle_since -= too_long_s
        client.ask("/safe/x")
        assert rig.backends[0].connections == 1
        pool.idle[0].idle_since -= too_long_s
        client.ask("/web/x")
        assert rig.backends[0].connections == 2
        client.ask("/web/x")
        assert rig.backends[0].connections == 2


def test_after_a_failure_in_the_zone_the_idle_limit_is_shorter():
    with running(FakeBackend("i-1", extra_headers="Keep-Alive: timeout=5\r\n")) as rig:
        client = rig.client()
        client.ask("/web/x")
        pool = rig.plane.connections.pool("i-1")
        pool.idle[0].idle_since -= 0.6
        client.ask("/web/x")
        assert rig.backends[0].connections == 1
        rig.plane.selector.zone_failures.record("north-1", time.monotonic())
        pool.idle[0].idle_since -= 0.6
        client.ask("/web/x")
        assert rig.backends[0].connections == 2
