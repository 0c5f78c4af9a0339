"""A silent backend is checked by opening a new connection."""

import struct

import gevent
from gevent import socket
from gevent.event import Event

from system.dataplane_rig import FakeBackend, chunk_of, event, response_bytes, running, stream_head

HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Signature: s\r\nConnection: close\r\n\r\n"


def stop_responding(backend, sock, request):
    """Accept the request, then stop responding and refuse new connections."""
    backend.stop()
    backend.never_set.wait()
    return False


def vanishing_backend(name: str, script=stop_responding) -> FakeBackend:
    backend = FakeBackend(name, script=script)
    backend.never_set = Event()
    return backend


def test_a_repeatable_request_moves_away_from_a_crashed_backend():
    with running(vanishing_backend("i-1"), FakeBackend("i-2")) as rig:
        status, _, body = rig.client().ask("/safe/x")
        assert (status, body) == (200, b"i-2")


def test_a_non_repeatable_request_stays_and_others_avoid_the_crashed_backend():
    with running(vanishing_backend("i-1"), FakeBackend("i-2")) as rig:
        status, _, _ = rig.client().ask("/brief/x")
        assert status == 504
        assert not rig.backends[1].requests
        rig.plane.selector.record_unreachable("i-1", 0.0)
        assert rig.client().ask("/web/x")[2] == b"i-2"


def test_a_slow_backend_that_accepts_connections_keeps_its_request():
    def slow(backend, sock, request):
        with gevent.Timeout(5):
            while backend.connections < 2:
                gevent.idle()
        sock.sendall(response_bytes(request.request_id, b"slow"))
        return True

    with running(FakeBackend("i-1", script=slow), FakeBackend("i-2")) as rig:
        assert rig.client().ask("/safe/x")[2] == b"slow"
        assert not rig.backends[1].requests


def test_a_stream_that_stalls_is_resumed_at_another_backend():
    def start_stream(backend, sock, request):
        sock.sendall(stream_head(request.request_id) + chunk_of(event(1)))
        return stop_responding(backend, sock, request)

    def resume_stream(_, sock, request):
        first = int(request.headers["last-event-id"]) + 1
        rest = b"".join(chunk_of(event(number)) for number in range(first, 4))
        sock.sendall(stream_head(request.request_id) + rest + b"0\r\n\r\n")
        return True

    with running(vanishing_backend("i-1", start_stream), FakeBackend("i-2", script=resume_stream)) as rig:
        _, _, body = rig.client().ask("/resume/x")
        assert body == b"".join(event(number) for number in range(1, 4))


def test_silent_backends_do_not_exceed_the_attempts_of_the_route():
    with running(vanishing_backend("i-1"), vanishing_backend("i-2"), FakeBackend("i-3")) as rig:
        status, _, _ = rig.client().ask("/safe/x", Deadline_Ms="900")
        assert status == 504
        assert not rig.backends[2].requests


def test_a_response_without_a_length_ends_with_its_connection():
    def close_after_body(_, sock, request):
        sock.sendall(HEAD_WITHOUT_LENGTH.format(request.request_id).encode() + b"all of it")
        sock.shutdown(socket.SHUT_WR)
        return False

    with running(FakeBackend("i-1", script=close_after_body)) as rig:
        status, _, body = rig.client().ask("/web/x")
        assert (status, body) == (200, b"all of it")


def test_a_reset_response_without_a_length_is_not_relayed_as_complete():
    arrived = Event()

    def reset_after_part(_, sock, request):
        sock.sendall(HEAD_WITHOUT_LENGTH.format(request.request_id).encode() + b"a part")
        arrived.wait(5)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False

    with running(FakeBackend("i-1", script=reset_after_part)) as rig:
        client = rig.client()
        client.send("/web/x")
        received = b""
        while b"a part" not in received:
            received += client.sock.recv(4096)
        arrived.set()
        while piece := client.sock.recv(4096):
            received += piece
        assert not received.endswith(b"0\r\n\r\n")
