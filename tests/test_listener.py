import socket as std_socket
from http import HTTPStatus

import gevent
import pytest
from gevent import socket
from helpers import ListenerRig, request_bytes, wait_until

from nettledeal.net.protocol.client import RequestReader, response_head
from nettledeal.net.transport import client_connection
from nettledeal.net.transport import listener as listener_module
from nettledeal.net.transport import sockets as sockets_module
from nettledeal.net.transport.sockets import peek_byte, peer_closed


def test_connection_carries_requests_one_after_another():
    rig = ListenerRig()
    client = rig.connect()
    for n in range(3):
        # Guards against a wake event that is never cleared, which closed the connection after every answer.
        assert client.send(request_bytes(b"r%d" % n)).receive_message().endswith(b"hi"), n
    assert len(rig.listener.connections) == 1
    assert [b"ID: r%d" % n in taken[0].forwarded_headers for n, taken in enumerate(rig.accepted)] == [
        True
    ] * 3


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (request_bytes(id=b""), 400),
        (request_bytes(method=b"TRACE", body=b""), 501),
        (request_bytes(method=b"CONNECT", target=b"host:1", body=b""), 501),
        (request_bytes(target=b"api"), 400),
        (request_bytes(target=b"http://elsewhere/api"), 400),
        (request_bytes(more=b"Content-Length: 2\r\n"), 400),
        (request_bytes(more=b"Transfer-Encoding: chunked\r\n"), 400),
        (request_bytes(body=b"").replace(b"4000", b"soon"), 400),
        (request_bytes(body=b"").replace(b"4000", b"0"), 400),
        (request_bytes(body=b"").replace(b"4000", b"-5"), 400),
        (request_bytes(body=b"").replace(b"4000", b"99999999999"), 400),
        (request_bytes(body=b"").replace(b"X-Req", b"Content-Length: 65537\r\nX-Req"), 413),
        (request_bytes(body=b"").replace(b"X-Req", b"Content-Length: x\r\nX-Req"), 400),
        (request_bytes(more=b"X-Long: " + 17_000 * b"x" + b"\r\n"), 431),
        (request_bytes(more=b"Connection: upgrade\r\nUpgrade: websocket\r\n"), 501),
    ],
)
def test_malformed_requests_are_answered_and_the_connection_closed(text, status):
    rig = ListenerRig()
    client = rig.connect().send(text)
    assert client.receive_message().startswith(b"HTTP/1.1 %d " % status)
    assert client.receive_message() == b""
    assert not rig.accepted


def test_pipelined_requests_are_answered_in_order():
    rig = ListenerRig()
    client = rig.connect().send(request_bytes(b"r1", body=b"one") + request_bytes(b"r2", body=b"two"))
    seen = client.receive_message()
    while b"two" not in seen:
        seen += client.receive_message(end=b"two")
    assert seen.index(b"one") < seen.index(b"two")
    assert [b"ID: r%d" % n in taken[0].forwarded_headers for n, taken in enumerate(rig.accepted, 1)] == [
        True
    ] * 2


def test_request_pipelined_behind_a_waiting_one_is_kept():
    rig = ListenerRig(hold_answers=True)
    client = rig.connect().send(request_bytes(b"r1"))
    assert wait_until(lambda: rig.accepted)
    client.send(request_bytes(b"r2"))
    gevent.sleep(0.01)
    assert not rig.disconnected
    rig.accepted[0][2].put(HTTPStatus.OK, b"one")
    assert client.receive_message().endswith(b"one")
    assert wait_until(lambda: len(rig.accepted) == 2)


@pytest.mark.parametrize(
    ("body", "passed"),
    [
        (b"", b""),
        (64 * 1024 * b"x", 64 * 1024 * b"x"),
    ],
)
def test_bodies_are_complete_however_they_are_split(body, passed):
    rig = ListenerRig()
    client = rig.connect()
    text = request_bytes(body=body)
    for n in range(0, len(text), 9_001):
        client.send(text[n : n + 9_001])
        gevent.sleep(0)
    client.receive_message()
    assert bytes(rig.accepted[0][0].body) == passed


def test_chunked_body_is_joined():
    rig = ListenerRig()
    head = request_bytes(body=b"", more=b"Transfer-Encoding: chunked\r\n")
    assert rig.connect().send(head + b"3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n").receive_message().endswith(b"abcd")


def test_expect_continue_gets_a_100():
    rig = ListenerRig()
    text = request_bytes(more=b"Expect: 100-continue\r\n")
    client = rig.connect().send(text[:-2])
    assert client.receive_message().startswith(b"HTTP/1.1 100 ")
    assert client.send(text[-2:]).receive_message().endswith(b"hi")


@pytest.mark.parametrize("half_close", [True, False])
def test_disconnect_is_noticed_while_a_request_is_open(half_close):
    rig = ListenerRig(hold_answers=True)
    client = rig.connect().send(request_bytes())
    assert wait_until(lambda: rig.accepted)
    if half_close:
        client.sock.shutdown(socket.SHUT_WR)
        # It can still read, and an accepted request must get a complete answer.
        assert client.receive_message().startswith(b"HTTP/1.1 502 ")
    else:
        client.sock.close()
    assert wait_until(lambda: rig.disconnected == [1])


def test_request_without_an_answer_gets_504_at_its_expiry():
    rig = ListenerRig(hold_answers=True)
    client = rig.connect().send(request_bytes().replace(b"4000", b"30"))
    assert client.receive_message().startswith(b"HTTP/1.1 504 ")
    assert rig.overdue == [1]


def test_unexpected_exception_gets_500(monkeypatch):
    def faulty(reader):
        raise ZeroDivisionError

    monkeypatch.setattr(RequestReader, "request", faulty)
    rig = ListenerRig()
    assert rig.connect().send(request_bytes()).receive_message().startswith(b"HTTP/1.1 500 ")
    assert rig.counters["faults"] == 1


def test_readiness_check_is_answered_at_once():
    rig = ListenerRig(hold_answers=True)
    client = rig.connect().send(b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n")
    assert client.receive_message().startswith(b"HTTP/1.1 200 ")
    assert not rig.accepted


def test_silent_clients_are_evicted():
    rig = ListenerRig(max_connections=2)
    silent = [rig.connect() for _ in range(2)]
    assert wait_until(lambda: len(rig.listener.unserved) == 2)
    gevent.sleep(0.11)
    assert rig.connect().send(request_bytes()).receive_message().startswith(b"HTTP/1.1 200 ")
    assert silent[0].receive_message() == b""


def test_clients_over_the_budget_get_503():
    rig = ListenerRig(max_connections=2, hold_answers=True)
    busy = [rig.connect().send(request_bytes()) for _ in range(2)]
    assert wait_until(lambda: len(rig.accepted) == 2)
    assert rig.connect().send(request_bytes()).receive_message().startswith(b"HTTP/1.1 503 ")
    assert len(rig.accepted) == 2 == len(busy)


def test_slow_clients_are_evicted(monkeypatch):
    monkeypatch.setattr(listener_module, "SLOW_REQUEST_TENTHS", 0)
    rig = ListenerRig(max_connections=1)
    slow = rig.connect().send(request_bytes()[:20])
    assert wait_until(lambda: rig.listener.reading)
    gevent.sleep(0.01)
    assert rig.connect().send(request_bytes()).receive_message().startswith(b"HTTP/1.1 200 ")
    assert slow.receive_message() == b""


def test_silent_clients_do_not_evict_a_served_one(monkeypatch):
    monkeypatch.setattr(listener_module, "NEW_CONNECTION_TENTHS", 0)
    rig = ListenerRig(max_connections=4)
    usual = rig.connect()
    assert usual.send(request_bytes()).receive_message().endswith(b"hi")
    silent = [rig.connect() for _ in range(40)]
    assert wait_until(lambda: silent[20].receive_message() == b"")
    assert usual.send(request_bytes(b"r2")).receive_message().endswith(b"hi")
    assert len(rig.listener.connections) <= 4 + 8


@pytest.mark.parametrize("trickle", [False, True])
def test_incomplete_request_gets_408(monkeypatch, trickle):
    monkeypatch.setattr(client_connection, "HEAD_TIMEOUT_S", 0.05)
    rig = ListenerRig()
    client = rig.connect().send(request_bytes()[:-30])
    for n in range(-30, -1):
        # A trickle of bytes doesn't extend the timeout.
        if trickle and rig.listener.reading:
            client.send(request_bytes()[n : n + 1])
            gevent.sleep(0.005)
    assert client.receive_message().startswith(b"HTTP/1.1 408 ")
    assert not rig.accepted


def test_silent_connection_is_closed(monkeypatch):
    monkeypatch.setattr(client_connection, "HEAD_TIMEOUT_S", 0.02)
    rig = ListenerRig()
    assert rig.connect().receive_message() == b""
    assert wait_until(lambda: not rig.listener.connections)


@pytest.mark.parametrize(("max_connections", "closed"), [(1, True), (8, False)])
def test_idle_timeout_is_shorter_when_crowded(monkeypatch, max_connections, closed):
    monkeypatch.setattr(client_connection, "CROWDED_IDLE_TIMEOUT_S", 0.01)
    rig = ListenerRig(max_connections=max_connections)
    client = rig.connect().send(request_bytes())
    client.receive_message()
    gevent.sleep(0.05)
    assert bool(rig.listener.connections) is not closed


def test_idle_connections_leave_room_for_others():
    rig = ListenerRig(max_connections=10)
    peers = []
    for n in range(30):
        peers.append(rig.connect())
        assert peers[-1].send(request_bytes(b"r%d" % n)).receive_message().endswith(b"hi")
    # Fewer than the budget allows, and the most recently used ones.
    assert wait_until(lambda: len(rig.listener.connections) <= 7)
    assert peers[0].receive_message() == b""
    assert peers[-1].send(request_bytes(b"more")).receive_message().endswith(b"hi")


@pytest.mark.parametrize("served", [True, False])
def test_simultaneous_new_connections_evict_one_each(served, monkeypatch):
    monkeypatch.setattr(listener_module, "NEW_CONNECTION_TENTHS", 0)
    rig = ListenerRig(max_connections=10)
    peers = [rig.connect() for _ in range(6)]
    for n, peer in enumerate(peers):
        if served:
            assert peer.send(request_bytes(b"r%d" % n)).receive_message().endswith(b"hi")
    assert wait_until(lambda: len(rig.listener.idle) + len(rig.listener.unserved) == 6)
    # All are in the accept queue before the listener runs. The same idle connection used to be closed four
    # times.
    newcomers = [std_socket.create_connection(rig.listener.sock.getsockname()) for _ in range(4)]
    assert wait_until(lambda: len(rig.listener.connections) == 6)
    gevent.sleep(0.01)
    assert len(rig.listener.connections) == 6 and len(newcomers) == 4


def test_too_long_body_is_refused_by_its_content_length():
    rig = ListenerRig()
    client = rig.connect().send(
        request_bytes(body=b"").replace(b"X-Req", b"Content-Length: 60000000\r\nX-Req")
    )
    assert client.receive_message().startswith(b"HTTP/1.1 413 ")
    with pytest.raises(OSError):
        while True:
            client.send(bytes(1_000_000))
    assert not rig.listener.memory.used_bytes and wait_until(lambda: not rig.listener.connections)


def test_requests_beyond_the_memory_limit_are_deferred():
    rig = ListenerRig(memory_bytes=20_000)
    assert (
        rig.connect().send(request_bytes(body=bytes(30_000))).receive_message().startswith(b"HTTP/1.1 503 ")
    )
    assert not rig.accepted


def test_draining_listener_serves_clients_and_closes_their_connections():
    rig = ListenerRig(hold_answers=True)
    idle, waiting = rig.connect(), rig.connect()
    waiting.send(request_bytes())
    assert wait_until(lambda: rig.accepted and len(rig.listener.unserved) == 1)
    rig.listener.draining = True
    rig.listener.close_idle()
    assert idle.receive_message() == b""
    assert rig.listener.busy
    fresh = rig.connect().send(request_bytes())
    assert wait_until(lambda: len(rig.accepted) == 2)
    for _, _, pending in rig.accepted:
        pending.put(HTTPStatus.OK, b"ok")
    for client in (waiting, fresh):
        assert b"Connection: close" in client.receive_message()
        assert client.receive_message() == b""
    assert wait_until(lambda: not rig.listener.busy)


@pytest.mark.parametrize(
    ("retry_after", "text"), [(0, None), (1, b"0.0001"), (5_000, b"0.5"), (20_000, b"2"), (12_345, b"1.2345")]
)
def test_retry_after_is_in_seconds(retry_after, text):
    head = response_head(HTTPStatus.SERVICE_UNAVAILABLE, b"", keep_alive=True, retry_after=retry_after)
    assert (b"Retry-After: %b\r\n" % text in head) if text else (b"Retry-After" not in head)


def test_quiesced_listener_is_not_ready_serves_and_closes_idle_connections(monkeypatch):
    monkeypatch.setattr(listener_module, "DRAIN_STEPS_S", ((0.02, 0.0),))
    monkeypatch.setattr(listener_module, "DRAINED_IDLE_TENTHS", 0)
    rig = ListenerRig(hold_answers=True)
    health = b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n"
    idle, waiting, partial = rig.connect(), rig.connect(), rig.connect()
    waiting.send(request_bytes())
    partial.send(request_bytes(b"cut")[:-40])
    assert wait_until(lambda: rig.accepted and len(rig.listener.reading) == 1)
    rig.listener.quiesce()
    rig.listener.quiesce()
    assert rig.connect().send(health).receive_message().startswith(b"HTTP/1.1 503 ")
    assert idle.receive_message() == b""
    # A request that has begun to arrive isn't cut off, nor one that is being answered; both connections end
    # after it.
    partial.send(request_bytes(b"cut")[-40:])
    assert wait_until(lambda: len(rig.accepted) == 2)
    for _, _, pending in rig.accepted:
        pending.put(HTTPStatus.OK, b"ok")
    for client in (waiting, partial):
        assert b"Connection: close" in client.receive_message()
    late = rig.connect()
    assert late.receive_message() == b""
    rig.listener.resume()
    client = rig.connect()
    for _ in range(2):
        assert client.send(health).receive_message().startswith(b"HTTP/1.1 200 ")
    gevent.sleep(0.15)
    assert len(rig.listener.connections) == 1


def test_drain_that_is_resumed_closes_no_connection(monkeypatch):
    monkeypatch.setattr(listener_module, "DRAIN_STEPS_S", ((0.02, 0.0),))
    rig = ListenerRig()
    idle = rig.connect()
    assert idle.send(request_bytes()).receive_message()
    rig.listener.quiesce()
    rig.listener.resume()
    gevent.sleep(0.05)
    assert idle.send(request_bytes(b"r2")).receive_message().endswith(b"hi")


def test_clients_in_the_accept_queue_are_served_before_the_listener_closes():
    rig = ListenerRig(max_connections=64)
    # Nothing accepts: the clients have sent their requests and are in the accept queue.
    rig.greenlet.kill()
    clients = [rig.connect().send(request_bytes(b"r%d" % n)) for n in range(20)]
    rig.listener.draining = True
    rig.listener.close()
    assert all(client.receive_message().endswith(b"hi") for client in clients)


def test_close_after_an_answer_is_no_reset_despite_unread_bytes():
    rig = ListenerRig(hold_answers=True)
    client = rig.connect().send(request_bytes(b"r1"))
    assert wait_until(lambda: rig.accepted)
    # More than is read along with the first request: the rest is in the kernel when the connection ends.
    client.send(request_bytes(b"r2", body=30_000 * b"x"))
    rig.listener.draining = True
    rig.accepted[0][2].put(HTTPStatus.OK, b"one")
    answer = client.receive_message()
    assert b"Connection: close" in answer and answer.endswith(b"one")
    assert client.receive_message() == b"" and len(rig.accepted) == 1


def test_nothing_is_read_after_a_body_that_was_answered_early():
    rig = ListenerRig()
    rig.listener.max_body_bytes = 1_000_000
    body = 200_000 * b"x"
    client = rig.connect().send(request_bytes(b"r1", body=body)[:-130_000])
    assert client.receive_message().startswith(b"HTTP/1.1 200 ")
    # The agent's sending side is shut down, but both requests could still be read.
    client.send(body[:130_000] + request_bytes(b"r2"))
    assert client.receive_message() == b""
    assert wait_until(lambda: not rig.listener.connections)
    assert [b"ID: r1" in taken[0].forwarded_headers for taken in rig.accepted] == [True]


@pytest.mark.parametrize(
    ("sent", "ended", "seen"),
    [(b"", False, False), (b"", True, True), (b"bytes", False, False), (b"bytes", True, True)],
)
def test_peer_close_is_detected_behind_unread_bytes(sent, ended, seen, monkeypatch):
    near, server = socket.socketpair()
    if not sent and not ended:
        # Bytes that arrive between the two checks are no close either.
        def peek_then_send(sock):
            found = peek_byte(sock)
            server.send(b"just now")
            return found

        monkeypatch.setattr(sockets_module, "peek_byte", peek_then_send)
    server.sendall(sent)
    if ended:
        server.close()
    assert peer_closed(near) is seen
