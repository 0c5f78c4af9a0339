"""Rules for each request: remaining time, token headers, client disconnects."""

import pytest

from system.dataplane_rig import (
    FakeBackend,
    chunk_of,
    entries,
    event,
    respond,
    response_bytes,
    route,
    running,
    stream_head,
)

TOKENS = {"Model": "m", "Token-Usage": "1460,80", "Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250"}


def refuse(_, sock, request):
    sock.sendall(
        response_bytes(request.request_id, b"", "503 Service Unavailable", False, "Not-Executed: 1\r\n")
    )
    return True


def silent_first(backend, sock, request):
    return bool(sock.recv(1)) if len(backend.requests) == 1 else respond(backend, sock, request)


def start_stream(_, sock, request):
    sock.sendall(stream_head(request.request_id) + chunk_of(event(1)))
    return bool(sock.recv(1))


@pytest.mark.parametrize("deadline_ms, max_ms", [("900", 900), ("", 4000), ("99000", 4000), ("soon", 4000)])
def test_no_backend_gets_a_longer_deadline_than_remains(deadline_ms, max_ms):
    with running(FakeBackend("i-1", script=refuse), FakeBackend("i-2")) as rig:
        assert rig.client().ask("/safe/x", Deadline_Ms=deadline_ms)[2] == b"i-2"
        first, second = (int(backend.requests[0].headers["deadline-ms"]) for backend in rig.backends)
        assert second <= first <= max_ms


def test_every_backend_gets_the_token_headers_of_the_client():
    with running(FakeBackend("i-1", script=refuse), FakeBackend("i-2", script=refuse)) as rig:
        rig.client().ask("/safe/x", **TOKENS)
        for backend in rig.backends:
            assert {name: backend.requests[0].headers[name.lower()] for name in TOKENS} == TOKENS


def test_a_stream_ends_incomplete_at_its_routes_timeout():
    control = entries(route("brief", route_type="streaming", timeout_ms=200))
    with running(FakeBackend("i-1", script=start_stream), control=control) as rig:
        client = rig.client()
        client.send("/brief/x")
        with pytest.raises(EOFError):
            client.receive()
        assert rig.backends[0].connection_closed.wait(5)


@pytest.mark.parametrize("path", ["/web/x", "/safe/x", "/resume/x"])
def test_nothing_is_retried_for_a_disconnected_client(path):
    with running(FakeBackend("i-1", script=silent_first), FakeBackend("i-2")) as rig:
        client = rig.client()
        client.send(path)
        assert rig.backends[0].request_received.wait(5)
        client.close()
        assert rig.backends[0].connection_closed.wait(5)
        assert rig.client().ask("/once/x")[0] == 200
        paths = [request.line.split()[1] for backend in rig.backends for request in backend.requests]
        assert paths == [path, "/once/x"]


def test_a_non_resumable_stream_is_never_retried():
    def break_off(_, sock, request):
        sock.sendall(stream_head(request.request_id))
        return False

    with running(FakeBackend("i-1", script=break_off), FakeBackend("i-2")) as rig:
        assert rig.client().ask("/stream/x")[0] == 502
        assert not rig.backends[1].requests
