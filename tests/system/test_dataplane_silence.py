"""A backend that falls silent: whether it is there is asked by a new connection."""

import struct

import gevent
from gevent import socket
from gevent.event import Event

from system.dataplane_rig import StandIn, answer_bytes, chunk_of, event, running, stream_head

HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Signature: s\r\nConnection: close\r\n\r\n"


def goes_dark(stand_in, sock, seen):
    """Takes the request and is never heard of again; no connection comes up either."""
    stand_in.stop()
    stand_in.gone.wait()
    return False


def dark(name: str, script=goes_dark) -> StandIn:
    stand_in = StandIn(name, script=script)
    stand_in.gone = Event()
    return stand_in


def test_a_request_that_may_run_twice_leaves_a_backend_that_went_dark():
    with running(dark("i-1"), StandIn("i-2")) as rig:
        status, _, body = rig.client().ask("/safe/x")
        assert (status, body) == (200, b"i-2")


def test_a_request_that_may_run_once_stays_and_others_avoid_the_dark_backend():
    with running(dark("i-1"), StandIn("i-2")) as rig:
        status, _, _ = rig.client().ask("/brief/x")
        assert status == 504
        assert not rig.backends[1].seen
        rig.plane.selector.record_unreachable("i-1", 0.0)
        assert rig.client().ask("/web/x")[2] == b"i-2"


def test_a_slow_backend_that_takes_connections_keeps_its_request():
    def slow(stand_in, sock, seen):
        with gevent.Timeout(5):
            while stand_in.connections < 2:
                gevent.idle()
        sock.sendall(answer_bytes(seen.request_id, b"slow"))
        return True

    with running(StandIn("i-1", script=slow), StandIn("i-2")) as rig:
        assert rig.client().ask("/safe/x")[2] == b"slow"
        assert not rig.backends[1].seen


def test_a_stream_that_falls_silent_midway_is_taken_up_elsewhere():
    def begins(stand_in, sock, seen):
        sock.sendall(stream_head(seen.request_id) + chunk_of(event(1)))
        return goes_dark(stand_in, sock, seen)

    def goes_on(_, sock, seen):
        first = int(seen.headers["last-event-id"]) + 1
        rest = b"".join(chunk_of(event(number)) for number in range(first, 4))
        sock.sendall(stream_head(seen.request_id) + rest + b"0\r\n\r\n")
        return True

    with running(dark("i-1", begins), StandIn("i-2", script=goes_on)) as rig:
        _, _, body = rig.client().ask("/resume/x")
        assert body == b"".join(event(number) for number in range(1, 4))


def test_no_silence_sends_a_request_to_more_backends_than_its_route_allows():
    with running(dark("i-1"), dark("i-2"), StandIn("i-3")) as rig:
        status, _, _ = rig.client().ask("/safe/x", Deadline_Ms="900")
        assert status == 504
        assert not rig.backends[2].seen


def test_an_answer_without_a_length_ends_with_its_connection():
    def ends(_, sock, seen):
        sock.sendall(HEAD_WITHOUT_LENGTH.format(seen.request_id).encode() + b"all of it")
        sock.shutdown(socket.SHUT_WR)
        return False

    with running(StandIn("i-1", script=ends)) as rig:
        status, _, body = rig.client().ask("/web/x")
        assert (status, body) == (200, b"all of it")


def test_an_answer_without_a_length_that_is_reset_does_not_look_complete():
    arrived = Event()

    def resets(_, sock, seen):
        sock.sendall(HEAD_WITHOUT_LENGTH.format(seen.request_id).encode() + b"a part")
        arrived.wait(5)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False

    with running(StandIn("i-1", script=resets)) as rig:
        client = rig.client()
        client.send("/web/x")
        received = b""
        while b"a part" not in received:
            received += client.sock.recv(4096)
        arrived.set()
        while piece := client.sock.recv(4096):
            received += piece
        assert not received.endswith(b"0\r\n\r\n")
