"""Streams: relayed as they arrive, never complete when broken off, resumed if the route allows it."""

import pytest
from gevent.event import Event

from system.dataplane_rig import FakeBackend, chunk_of, event, running, stream_head


def send_events(last: int, complete: bool = True):
    def script(_, sock, request):
        first = int(request.headers.get("last-event-id", 0)) + 1
        sock.sendall(stream_head(request.request_id))
        for number in range(first, last + 1):
            sock.sendall(chunk_of(event(number)))
        if complete:
            sock.sendall(b"0\r\n\r\n")
        return complete

    return script


def test_events_are_relayed_as_they_arrive():
    proceed = Event()

    def script(_, sock, request):
        sock.sendall(stream_head(request.request_id) + chunk_of(event(1)))
        proceed.wait(5)
        sock.sendall(chunk_of(event(2)) + b"0\r\n\r\n")
        return True

    with running(FakeBackend("i-1", script=script)) as rig:
        client = rig.client()
        client.send("/stream/x")
        received = b""
        while event(1) not in received:
            received += client.sock.recv(4096)
        proceed.set()
        while not received.endswith(b"0\r\n\r\n"):
            received += client.sock.recv(4096)
        assert event(2) in received


def test_a_stream_that_breaks_off_is_not_relayed_as_complete():
    with running(FakeBackend("i-1", script=send_events(2, complete=False)), FakeBackend("i-2")) as rig:
        client = rig.client()
        client.send("/stream/x")
        with pytest.raises(EOFError):
            client.receive()
        assert not rig.backends[1].requests


def test_a_resumable_stream_is_resumed_at_another_backend():
    def cut(_, sock, request):
        sock.sendall(stream_head(request.request_id) + chunk_of(event(1)) + chunk_of(event(2) + event(3)[:9]))
        return False

    with running(FakeBackend("i-1", script=cut), FakeBackend("i-2", script=send_events(5))) as rig:
        status, _, body = rig.client().ask("/resume/x")
        assert status == 200
        assert body == b"".join(event(number) for number in range(1, 6))
        assert rig.backends[1].requests[0].headers["last-event-id"] == "2"
