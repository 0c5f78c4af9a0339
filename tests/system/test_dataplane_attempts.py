"""Attempts: what may be sent again, to whom, and what the client is told."""

import time

import pytest
from gevent import socket

from system.dataplane_rig import HOST, StandIn, answer_bytes, event, running, stream_head


def refuses(_, sock, seen):
    sock.sendall(answer_bytes(seen.request_id, b"", "503 Service Unavailable", False, "Not-Executed: 1\r\n"))
    return True


def misdirected(_, sock, seen):
    sock.sendall(answer_bytes(seen.request_id, b"", "421 Misdirected Request", False))
    return True


def closes(_, sock, seen):
    return False


def answer_with(**parts):
    def script(_, sock, seen):
        sock.sendall(answer_bytes(seen.request_id, **parts))
        return True

    return script


@pytest.mark.parametrize("declines", [refuses, misdirected])
def test_a_request_that_was_not_executed_goes_to_another_backend(declines):
    with running(StandIn("i-1", script=declines), StandIn("i-2")) as rig:
        assert rig.client().ask()[2] == b"i-2"


@pytest.mark.parametrize(("version", "asked_again"), [(None, False), ("7", True)])
def test_a_backend_with_other_weights_is_not_taken_for_one_that_is_gone(version, asked_again):
    """421 may say either; only where the client named no version it says that the address is another's."""
    more = {"Expect_Version": version} if version else {}
    with running(StandIn("i-1", script=misdirected), StandIn("i-2")) as rig:
        client = rig.client()
        assert client.ask(Request_Id="r1", **more)[2] == b"i-2"
        assert rig.backends[1].seen[0].headers.get("expect-version") == version
        client.ask(Request_Id="r2", **more)
        assert (len(rig.backends[0].seen) == 2) is asked_again


def test_max_attempts_bounds_the_backends_that_get_it():
    with running(StandIn("i-1", script=refuses), StandIn("i-2")) as rig:
        status, headers, _ = rig.client().ask("/once/x")
        assert status == 503
        assert float(headers["retry-after"]) > 0
        assert "server-signature" not in headers
        assert not rig.backends[1].seen


def test_an_unreachable_backend_costs_no_attempt():
    with running(StandIn("i-1"), StandIn("i-2")) as rig:
        rig.backends[0].sock.close()
        assert rig.client().ask("/once/x")[2] == b"i-2"


def test_without_an_answer_only_what_may_run_twice_is_sent_again():
    with running(StandIn("i-1", script=closes), StandIn("i-2")) as rig:
        assert rig.client().ask("/web/x")[0] == 502
        assert not rig.backends[1].seen
        assert rig.client().ask("/safe/x")[2] == b"i-2"


def test_a_refusal_without_the_backends_word_becomes_a_failure():
    busy = answer_with(status="503 Service Unavailable")
    with running(StandIn("i-1", script=busy), StandIn("i-2")) as rig:
        status, headers, _ = rig.client().ask()
        assert status == 502
        assert "server-signature" not in headers
        assert not rig.backends[1].seen


def test_a_success_without_a_stamp_is_no_success():
    with running(StandIn("i-1", script=answer_with(signed=False))) as rig:
        assert rig.client().ask()[0] == 502


def test_an_answer_cut_off_is_no_success():
    def cut(_, sock, seen):
        sock.sendall(answer_bytes(seen.request_id, b"a whole body")[:-3])
        return False

    with running(StandIn("i-1", script=cut)) as rig:
        assert rig.client().ask()[0] == 502


def test_bytes_that_form_no_answer_are_a_failure():
    def garbles(_, sock, seen):
        sock.sendall(b"\x00\x01 what is this\r\n\r\n")
        return True

    with running(StandIn("i-1", script=garbles)) as rig:
        assert rig.client().ask()[0] == 502


def test_a_surplus_answer_in_front_is_never_given_to_the_request():
    def surplus_first(_, sock, seen):
        sock.sendall(answer_bytes("other", b"not yours") + answer_bytes(seen.request_id, b"yours"))
        return True

    with running(StandIn("i-1", script=surplus_first)) as rig:
        client = rig.client()
        assert client.ask(Request_Id="r1")[2] == b"yours"
        assert client.ask(Request_Id="r2")[2] == b"yours"
        assert rig.backends[0].connections == 2


def test_bytes_behind_an_answer_end_the_connection():
    def surplus_behind(_, sock, seen):
        sock.sendall(answer_bytes(seen.request_id, b"yours") + answer_bytes("other", b"not yours"))
        return True

    with running(StandIn("i-1", script=surplus_behind)) as rig:
        client = rig.client()
        assert [client.ask(Request_Id=f"r{n}")[2] for n in range(3)] == [b"yours"] * 3
        assert rig.backends[0].connections == 3


def test_connection_close_is_heeded():
    with running(StandIn("i-1", more="Connection: close\r\n")) as rig:
        client = rig.client()
        assert [client.ask(Request_Id=f"r{n}")[0] for n in range(2)] == [200, 200]
        assert rig.backends[0].connections == 2


def test_silence_until_the_routes_timeout_is_a_gateway_timeout():
    def silent(stand_in, sock, seen):
        return bool(sock.recv(1))

    with running(StandIn("i-1", script=silent)) as rig:
        assert rig.client().ask("/brief/x")[0] == 504
        assert rig.backends[0].peer_left.wait(5)


def test_a_client_that_leaves_ends_the_attempt():
    def silent(stand_in, sock, seen):
        return bool(sock.recv(1))

    with running(StandIn("i-1", script=silent), StandIn("i-2")) as rig:
        client = rig.client()
        client.send("/safe/x")
        assert rig.backends[0].came.wait(5)
        client.close()
        assert rig.backends[0].peer_left.wait(5)
        assert not rig.backends[1].seen


def test_a_client_that_leaves_amid_a_stream_ends_the_attempt():
    def goes_on(stand_in, sock, seen):
        sock.sendall(stream_head(seen.request_id) + b"%x\r\n%b\r\n" % (len(event(1)), event(1)))
        return bool(sock.recv(1))

    with running(StandIn("i-1", script=goes_on)) as rig:
        client = rig.client()
        client.send("/stream/x")
        assert b"200 OK" in client.sock.recv(4096)
        client.close()
        assert rig.backends[0].peer_left.wait(5)


def test_no_backend_is_a_refusal_at_once():
    with running(StandIn("i-1")) as rig:
        rig.plane.apply_catalogue((1, 2), {})
        status, headers, _ = rig.client().ask()
        assert status == 503
        assert float(headers["retry-after"]) > 0


def test_readiness_follows_configuration_and_catalogue():
    def ready(rig) -> int:
        with socket.create_connection(rig.readiness) as sock:
            sock.sendall(f"GET /readyz HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
            return int(sock.recv(4096).split()[1])

    with running(StandIn("i-1"), control={}) as rig:
        assert ready(rig) == 503
    with running(StandIn("i-1")) as rig:
        assert ready(rig) == 200


def test_a_connection_that_ends_unanswered_after_a_rest_shortens_later_rests():
    def forgetful(stand_in, sock, seen):
        if seen.request_id == "r2":
            return False
        sock.sendall(answer_bytes(seen.request_id, b"yours"))
        return True

    with running(StandIn("i-1", script=forgetful)) as rig:
        client = rig.client()
        assert client.ask(Request_Id="r1")[0] == 200
        assert rig.plane.connections.learned_idle_limit.value_s(time.monotonic()) == float("inf")
        assert client.ask(Request_Id="r2")[0] == 502
        assert rig.plane.connections.learned_idle_limit.value_s(time.monotonic()) < float("inf")


def test_a_new_connection_that_ends_unanswered_does_not():
    with running(StandIn("i-1", script=closes)) as rig:
        assert rig.client().ask(Request_Id="r1")[0] == 502
        assert rig.plane.connections.learned_idle_limit.value_s(time.monotonic()) == float("inf")
