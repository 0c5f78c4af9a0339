"""Plain requests end to end: what backends and clients receive."""

import gevent

from system.dataplane_rig import SIGNATURE, FakeBackend, response_bytes, running


def test_a_request_and_its_response_are_relayed_unchanged():
    with running(FakeBackend("i-1")) as rig:
        client = rig.client()
        status, headers, body = client.ask(
            "/web/a?b=c", b"payload", X_Own="kept", Connection="X-Hop", X_Hop="1"
        )
        assert (status, body) == (200, b"i-1")
        assert headers["server-signature"] == SIGNATURE
        assert headers["request-id"] == "r1"
        request = rig.backends[0].requests[0]
        assert request.line == "POST /web/a?b=c HTTP/1.1"
        assert request.body == b"payload"
        assert request.headers["expect-instance"] == "i-1"
        assert request.headers["x-own"] == "kept"
        assert request.headers["priority"] == "1"
        assert "x-hop" not in request.headers
        assert 3000 < int(request.headers["deadline-ms"]) < 4000


def test_connections_on_both_sides_are_reused():
    with running(FakeBackend("i-1")) as rig:
        client = rig.client()
        for number in range(5):
            assert client.ask(Request_Id=f"r{number}")[0] == 200
        assert rig.backends[0].connections == 1


def test_pipelined_requests_are_answered_in_order():
    with running(FakeBackend("i-1")) as rig:
        client = rig.client()
        for number in range(3):
            client.send(Request_Id=f"r{number}")
        ids = [client.receive()[1]["request-id"] for _ in range(3)]
        assert ids == ["r0", "r1", "r2"]


def test_a_chunked_body_arrives_complete():
    with running(FakeBackend("i-1")) as rig:
        client = rig.client()
        head = "POST /web/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n"
        client.sock.sendall(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
        gevent.sleep(0)
        client.sock.sendall(b"4\r\ndefg\r\n0\r\n\r\n")
        assert client.receive()[0] == 200
        assert rig.backends[0].requests[0].body == b"abcdefg"


def test_a_body_larger_than_one_buffer_arrives_complete():
    with running(FakeBackend("i-1")) as rig:
        body = bytes(range(256)) * 1000
        assert rig.client().ask(body=body)[0] == 200
        assert rig.backends[0].requests[0].body == body


def test_no_route_is_404_and_no_configuration_is_503():
    with running(FakeBackend("i-1")) as rig:
        assert rig.client().ask("/elsewhere/x")[0] == 404
        assert rig.client().ask(host="other.example")[0] == 404
    with running(FakeBackend("i-1"), control={}) as rig:
        status, headers, _ = rig.client().ask()
        assert status == 503
        assert float(headers["retry-after"]) > 0


def test_a_backend_error_is_relayed_with_its_signature():
    def fail(_, sock, request):
        sock.sendall(response_bytes(request.request_id, b"oops", "500 Internal Server Error"))
        return True

    with running(FakeBackend("i-1", script=fail), FakeBackend("i-2")) as rig:
        status, headers, body = rig.client().ask()
        assert (status, body, headers["server-signature"]) == (500, b"oops", SIGNATURE)
        assert not rig.backends[1].requests
