"""Attempts: which requests are retried, at which backends, and what the client receives."""

import time

import pytest
from gevent import socket

from system.dataplane_rig import HOST, FakeBackend, event, response_bytes, running, stream_head


def refuse(_, sock, request):
    sock.sendall(
        response_bytes(request.request_id, b"", "503 Service Unavailable", False, "Not-Executed: 1\r\n")
    )
    return True


def misdirect(_, sock, request):
    sock.sendall(response_bytes(request.request_id, b"", "421 Misdirected Request", False))
    return True


def close(_, sock, request):
    return False


def answer_with(**parts):
    def script(_, sock, request):
        sock.sendall(response_bytes(request.request_id, **parts))
        return True

    return script


@pytest.mark.parametrize("decline", [refuse, misdirect])
def test_a_request_that_was_not_executed_goes_to_another_backend(decline):
    with running(FakeBackend("i-1", script=decline), FakeBackend("i-2")) as rig:
        assert rig.client().ask()[2] == b"i-2"


@pytest.mark.parametrize(("version", "retried_there"), [(None, False), ("7", True)])
def test_421_for_a_requested_version_does_not_mark_a_backend_replaced(version, retried_there):
    """421 means a replaced backend only if the client didn't ask for a version of the weights."""
    extra_headers = {"Expect_Version": version} if version else {}
    with running(FakeBackend("i-1", script=misdirect), FakeBackend("i-2")) as rig:
        client = rig.client()
        assert client.ask(Request_Id="r1", **extra_headers)[2] == b"i-2"
        assert rig.backends[1].requests[0].headers.get("expect-version") == version
        client.ask(Request_Id="r2", **extra_headers)
        assert (len(rig.backends[0].requests) == 2) is retried_there


def test_max_attempts_limits_the_backends_that_get_a_request():
    with running(FakeBackend("i-1", script=refuse), FakeBackend("i-2")) as rig:
        status, headers, _ = rig.client().ask("/once/x")
        assert status == 503
        assert float(headers["retry-after"]) > 0
        assert "server-signature" not in headers
        assert not rig.backends[1].requests


def test_an_unreachable_backend_does_not_count_as_an_attempt():
    with running(FakeBackend("i-1"), FakeBackend("i-2")) as rig:
        rig.backends[0].sock.close()
        assert rig.client().ask("/once/x")[2] == b"i-2"


def test_without_a_response_only_repeatable_requests_are_retried():
    with running(FakeBackend("i-1", script=close), FakeBackend("i-2")) as rig:
        assert rig.client().ask("/web/x")[0] == 502
        assert not rig.backends[1].requests
        assert rig.client().ask("/safe/x")[2] == b"i-2"


def test_a_503_without_not_executed_becomes_a_502():
    busy = answer_with(status="503 Service Unavailable")
    with running(FakeBackend("i-1", script=busy), FakeBackend("i-2")) as rig:
        status, headers, _ = rig.client().ask()
        assert status == 502
        assert "server-signature" not in headers
        assert not rig.backends[1].requests


def test_a_success_without_a_signature_is_a_failure():
    with running(FakeBackend("i-1", script=answer_with(signed=False))) as rig:
        assert rig.client().ask()[0] == 502


def test_a_truncated_response_is_a_failure():
    def cut(_, sock, request):
        sock.sendall(response_bytes(request.request_id, b"a whole body")[:-3])
        return False

    with running(FakeBackend("i-1", script=cut)) as rig:
        assert rig.client().ask()[0] == 502


def test_a_malformed_response_is_a_failure():
    def send_garbage(_, sock, request):
        sock.sendall(b"\x00\x01 what is this\r\n\r\n")
        return True

    with running(FakeBackend("i-1", script=send_garbage)) as rig:
        assert rig.client().ask()[0] == 502


def test_a_response_to_another_request_is_never_relayed():
    def respond_to_other_first(_, sock, request):
        sock.sendall(response_bytes("other", b"not yours") + response_bytes(request.request_id, b"yours"))
        return True

    with running(FakeBackend("i-1", script=respond_to_other_first)) as rig:
        client = rig.client()
        assert client.ask(Request_Id="r1")[2] == b"yours"
        assert client.ask(Request_Id="r2")[2] == b"yours"
        assert rig.backends[0].connections == 2


def test_extra_bytes_after_a_response_close_the_connection():
    def respond_to_other_after(_, sock, request):
        sock.sendall(response_bytes(request.request_id, b"yours") + response_bytes("other", b"not yours"))
        return True

    with running(FakeBackend("i-1", script=respond_to_other_after)) as rig:
        client = rig.client()
        assert [client.ask(Request_Id=f"r{n}")[2] for n in range(3)] == [b"yours"] * 3
        assert rig.backends[0].connections == 3


def test_connection_close_is_respected():
    with running(FakeBackend("i-1", extra_headers="Connection: close\r\n")) as rig:
        client = rig.client()
        assert [client.ask(Request_Id=f"r{n}")[0] for n in range(2)] == [200, 200]
        assert rig.backends[0].connections == 2


def test_no_response_within_the_route_timeout_is_a_504():
    def silent(backend, sock, request):
        return bool(sock.recv(1))

    with running(FakeBackend("i-1", script=silent)) as rig:
        assert rig.client().ask("/brief/x")[0] == 504
        assert rig.backends[0].connection_closed.wait(5)


def test_a_client_disconnect_cancels_the_attempt():
    def silent(backend, sock, request):
        return bool(sock.recv(1))

    with running(FakeBackend("i-1", script=silent), FakeBackend("i-2")) as rig:
        client = rig.client()
        client.send("/safe/x")
        assert rig.backends[0].request_received.wait(5)
        client.close()
        assert rig.backends[0].connection_closed.wait(5)
        assert not rig.backends[1].requests


def test_a_client_disconnect_during_a_stream_cancels_the_attempt():
    def start_stream(backend, sock, request):
        sock.sendall(stream_head(request.request_id) + b"%x\r\n%b\r\n" % (len(event(1)), event(1)))
        return bool(sock.recv(1))

    with running(FakeBackend("i-1", script=start_stream)) as rig:
        client = rig.client()
        client.send("/stream/x")
        assert b"200 OK" in client.sock.recv(4096)
        client.close()
        assert rig.backends[0].connection_closed.wait(5)


def test_without_backends_requests_are_refused_at_once():
    with running(FakeBackend("i-1")) as rig:
        rig.plane.apply_catalogue((1, 2), {})
        status, headers, _ = rig.client().ask()
        assert status == 503
        assert float(headers["retry-after"]) > 0


def test_readiness_follows_configuration_and_catalogue():
    def ready(rig) -> int:
        with socket.create_connection(rig.readiness) as sock:
            sock.sendall(f"GET /readyz HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
            return int(sock.recv(4096).split()[1])

    with running(FakeBackend("i-1"), control={}) as rig:
        assert ready(rig) == 503
    with running(FakeBackend("i-1")) as rig:
        assert ready(rig) == 200


def test_a_reset_of_an_idle_connection_shortens_the_idle_limit():
    def drop_second(backend, sock, request):
        if request.request_id == "r2":
            return False
        sock.sendall(response_bytes(request.request_id, b"yours"))
        return True

    with running(FakeBackend("i-1", script=drop_second)) as rig:
        client = rig.client()
        assert client.ask(Request_Id="r1")[0] == 200
        assert rig.plane.connections.learned_idle_limit.value_s(time.monotonic()) == float("inf")
        assert client.ask(Request_Id="r2")[0] == 502
        assert rig.plane.connections.learned_idle_limit.value_s(time.monotonic()) < float("inf")


def test_a_reset_of_a_new_connection_does_not_shorten_the_idle_limit():
    with running(FakeBackend("i-1", script=close)) as rig:
        assert rig.client().ask(Request_Id="r1")[0] == 502
        assert rig.plane.connections.learned_idle_limit.value_s(time.monotonic()) == float("inf")
