import socket as plain
from http import HTTPStatus

import gevent
import pytest
from gevent import socket
from helpers import ListenerRig, asked, until

from nettledeal.net.protocol.client import RequestReader, response_head
from nettledeal.net.transport import client_connection
from nettledeal.net.transport import listener as listener_module
from nettledeal.net.transport import sockets as sockets_module
from nettledeal.net.transport.sockets import peek_byte, peer_closed


def test_a_connection_carries_one_request_after_another():
    rig = ListenerRig()
    client = rig.connect()
    for n in range(3):
        # The event that bytes set was never cleared: every answer was followed by the end.
        assert client.send(asked(b"r%d" % n)).hear().endswith(b"hi"), n
    assert len(rig.listener.connections) == 1
    assert [b"ID: r%d" % n in taken[0].forwarded_headers for n, taken in enumerate(rig.taken)] == [True] * 3


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (asked(id=b""), 400),
        (asked(method=b"TRACE", body=b""), 501),
        (asked(method=b"CONNECT", target=b"host:1", body=b""), 501),
        (asked(target=b"api"), 400),
        (asked(target=b"http://elsewhere/api"), 400),
        (asked(more=b"Content-Length: 2\r\n"), 400),
        (asked(more=b"Transfer-Encoding: chunked\r\n"), 400),
        (asked(body=b"").replace(b"4000", b"soon"), 400),
        (asked(body=b"").replace(b"4000", b"0"), 400),
        (asked(body=b"").replace(b"4000", b"-5"), 400),
        (asked(body=b"").replace(b"4000", b"99999999999"), 400),
        (asked(body=b"").replace(b"X-Req", b"Content-Length: 65537\r\nX-Req"), 413),
        (asked(body=b"").replace(b"X-Req", b"Content-Length: x\r\nX-Req"), 400),
        (asked(more=b"X-Long: " + 17_000 * b"x" + b"\r\n"), 431),
        (asked(more=b"Connection: upgrade\r\nUpgrade: websocket\r\n"), 501),
    ],
)
def test_bad_requests_get_an_answer_and_the_end(text, status):
    rig = ListenerRig()
    client = rig.connect().send(text)
    assert client.hear().startswith(b"HTTP/1.1 %d " % status)
    assert client.hear() == b""
    assert not rig.taken


def test_requests_that_come_together_are_answered_in_turn():
    rig = ListenerRig()
    client = rig.connect().send(asked(b"r1", body=b"one") + asked(b"r2", body=b"two"))
    seen = client.hear()
    while b"two" not in seen:
        seen += client.hear(end=b"two")
    assert seen.index(b"one") < seen.index(b"two")
    assert [b"ID: r%d" % n in taken[0].forwarded_headers for n, taken in enumerate(rig.taken, 1)] == [
        True
    ] * 2


def test_bytes_behind_a_request_that_waits_are_kept_for_their_turn():
    rig = ListenerRig(hold=True)
    client = rig.connect().send(asked(b"r1"))
    assert until(lambda: rig.taken)
    client.send(asked(b"r2"))
    gevent.sleep(0.01)
    assert not rig.left
    rig.taken[0][2].put(HTTPStatus.OK, b"one")
    assert client.hear().endswith(b"one")
    assert until(lambda: len(rig.taken) == 2)


@pytest.mark.parametrize(
    ("body", "passed"),
    [
        (b"", b""),
        (64 * 1024 * b"x", 64 * 1024 * b"x"),
    ],
)
def test_bodies_come_whole_however_they_are_cut(body, passed):
    rig = ListenerRig()
    client = rig.connect()
    text = asked(body=body)
    for n in range(0, len(text), 9_001):
        client.send(text[n : n + 9_001])
        gevent.sleep(0)
    client.hear()
    assert bytes(rig.taken[0][0].body) == passed


def test_a_chunked_body_is_passed_on_as_one():
    rig = ListenerRig()
    head = asked(body=b"", more=b"Transfer-Encoding: chunked\r\n")
    assert rig.connect().send(head + b"3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n").hear().endswith(b"abcd")


def test_a_client_that_asks_first_is_told_to_go_on():
    rig = ListenerRig()
    text = asked(more=b"Expect: 100-continue\r\n")
    client = rig.connect().send(text[:-2])
    assert client.hear().startswith(b"HTTP/1.1 100 ")
    assert client.send(text[-2:]).hear().endswith(b"hi")


@pytest.mark.parametrize("half", [True, False])
def test_a_client_that_leaves_is_noticed_while_its_work_item_is_out(half):
    rig = ListenerRig(hold=True)
    client = rig.connect().send(asked())
    assert until(lambda: rig.taken)
    if half:
        client.sock.shutdown(socket.SHUT_WR)
        # It can still read, and a request taken must not end without a whole answer.
        assert client.hear().startswith(b"HTTP/1.1 502 ")
    else:
        client.sock.close()
    assert until(lambda: rig.left == [1])


def test_whatever_goes_wrong_a_work_item_is_answered_by_its_expiry():
    rig = ListenerRig(hold=True)
    client = rig.connect().send(asked().replace(b"4000", b"30"))
    assert client.hear().startswith(b"HTTP/1.1 504 ")
    assert rig.late == [1]


def test_a_fault_of_the_agent_still_gets_an_answer(monkeypatch):
    def faulty(reader):
        raise ZeroDivisionError

    monkeypatch.setattr(RequestReader, "request", faulty)
    rig = ListenerRig()
    assert rig.connect().send(asked()).hear().startswith(b"HTTP/1.1 500 ")
    assert rig.counters["faults"] == 1


def test_readiness_is_answered_at_once():
    rig = ListenerRig(hold=True)
    client = rig.connect().send(b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n")
    assert client.hear().startswith(b"HTTP/1.1 200 ")
    assert not rig.taken


def test_silent_clients_give_up_their_places():
    rig = ListenerRig(most=2)
    silent = [rig.connect() for _ in range(2)]
    assert until(lambda: len(rig.listener.unserved) == 2)
    gevent.sleep(0.11)
    assert rig.connect().send(asked()).hear().startswith(b"HTTP/1.1 200 ")
    assert silent[0].hear() == b""


def test_clients_over_the_budget_are_answered_not_kept_waiting():
    rig = ListenerRig(most=2, hold=True)
    busy = [rig.connect().send(asked()) for _ in range(2)]
    assert until(lambda: len(rig.taken) == 2)
    assert rig.connect().send(asked()).hear().startswith(b"HTTP/1.1 503 ")
    assert len(rig.taken) == 2 == len(busy)


def test_slow_clients_give_up_their_places(monkeypatch):
    monkeypatch.setattr(listener_module, "SLOW_REQUEST_TENTHS", 0)
    rig = ListenerRig(most=1)
    slow = rig.connect().send(asked()[:20])
    assert until(lambda: rig.listener.reading)
    gevent.sleep(0.01)
    assert rig.connect().send(asked()).hear().startswith(b"HTTP/1.1 200 ")
    assert slow.hear() == b""


def test_hundreds_that_say_nothing_do_not_drive_out_a_usual_client(monkeypatch):
    monkeypatch.setattr(listener_module, "NEW_CONNECTION_TENTHS", 0)
    rig = ListenerRig(most=4)
    usual = rig.connect()
    assert usual.send(asked()).hear().endswith(b"hi")
    silent = [rig.connect() for _ in range(40)]
    assert until(lambda: silent[20].hear() == b"")
    assert usual.send(asked(b"r2")).hear().endswith(b"hi")
    assert len(rig.listener.connections) <= 4 + 8


@pytest.mark.parametrize("trickle", [False, True])
def test_a_request_that_never_comes_whole_is_answered(monkeypatch, trickle):
    monkeypatch.setattr(client_connection, "HEAD_TIMEOUT_S", 0.05)
    rig = ListenerRig()
    client = rig.connect().send(asked()[:-30])
    for n in range(-30, -1):
        # A byte now and then puts nothing off.
        if trickle and rig.listener.reading:
            client.send(asked()[n : n + 1])
            gevent.sleep(0.005)
    assert client.hear().startswith(b"HTTP/1.1 408 ")
    assert not rig.taken


def test_a_connection_that_never_says_anything_is_closed(monkeypatch):
    monkeypatch.setattr(client_connection, "HEAD_TIMEOUT_S", 0.02)
    rig = ListenerRig()
    assert rig.connect().hear() == b""
    assert until(lambda: not rig.listener.connections)


@pytest.mark.parametrize(("most", "closed"), [(1, True), (8, False)])
def test_connections_rest_for_less_while_places_are_short(monkeypatch, most, closed):
    monkeypatch.setattr(client_connection, "CROWDED_IDLE_TIMEOUT_S", 0.01)
    rig = ListenerRig(most=most)
    client = rig.connect().send(asked())
    client.hear()
    gevent.sleep(0.05)
    assert bool(rig.listener.connections) is not closed


def test_connections_that_rest_for_good_leave_places_to_others():
    rig = ListenerRig(most=10)
    peers = []
    for n in range(30):
        peers.append(rig.connect())
        assert peers[-1].send(asked(b"r%d" % n)).hear().endswith(b"hi")
    # Fewer than there are places, and those that asked last.
    assert until(lambda: len(rig.listener.connections) <= 7)
    assert peers[0].hear() == b""
    assert peers[-1].send(asked(b"more")).hear().endswith(b"hi")


@pytest.mark.parametrize("served", [True, False])
def test_newcomers_that_come_together_end_one_each(served, monkeypatch):
    monkeypatch.setattr(listener_module, "NEW_CONNECTION_TENTHS", 0)
    rig = ListenerRig(most=10)
    peers = [rig.connect() for _ in range(6)]
    for n, peer in enumerate(peers):
        if served:
            assert peer.send(asked(b"r%d" % n)).hear().endswith(b"hi")
    assert until(lambda: len(rig.listener.idle) + len(rig.listener.unserved) == 6)
    # All in the queue before the listener's turn: the first of those that rest had been told four times.
    newcomers = [plain.create_connection(rig.listener.sock.getsockname()) for _ in range(4)]
    assert until(lambda: len(rig.listener.connections) == 6)
    gevent.sleep(0.01)
    assert len(rig.listener.connections) == 6 and len(newcomers) == 4


def test_a_long_body_is_refused_by_its_head_alone():
    rig = ListenerRig()
    client = rig.connect().send(asked(body=b"").replace(b"X-Req", b"Content-Length: 60000000\r\nX-Req"))
    assert client.hear().startswith(b"HTTP/1.1 413 ")
    with pytest.raises(OSError):
        while True:
            client.send(bytes(1_000_000))
    assert not rig.listener.memory.used_bytes and until(lambda: not rig.listener.connections)


def test_requests_beyond_the_memory_are_deferred():
    rig = ListenerRig(memory=20_000)
    assert rig.connect().send(asked(body=bytes(30_000))).hear().startswith(b"HTTP/1.1 503 ")
    assert not rig.taken


def test_at_the_end_clients_are_still_served_and_sent_away():
    rig = ListenerRig(hold=True)
    resting, waiting = rig.connect(), rig.connect()
    waiting.send(asked())
    assert until(lambda: rig.taken and len(rig.listener.unserved) == 1)
    rig.listener.draining = True
    rig.listener.close_idle()
    assert resting.hear() == b""
    assert rig.listener.busy
    fresh = rig.connect().send(asked())
    assert until(lambda: len(rig.taken) == 2)
    for _, _, pending in rig.taken:
        pending.put(HTTPStatus.OK, b"ok")
    for client in (waiting, fresh):
        assert b"Connection: close" in client.hear()
        assert client.hear() == b""
    assert until(lambda: not rig.listener.busy)


@pytest.mark.parametrize(
    ("retry_after", "text"), [(0, None), (1, b"0.0001"), (5_000, b"0.5"), (20_000, b"2"), (12_345, b"1.2345")]
)
def test_the_time_to_come_back_is_told_in_seconds(retry_after, text):
    head = response_head(HTTPStatus.SERVICE_UNAVAILABLE, b"", keep_alive=True, retry_after=retry_after)
    assert (b"Retry-After: %b\r\n" % text in head) if text else (b"Retry-After" not in head)


def test_a_drained_listener_says_no_serves_on_and_ends_all_that_rest(monkeypatch):
    monkeypatch.setattr(listener_module, "DRAIN_STEPS_S", ((0.02, 0.0),))
    monkeypatch.setattr(listener_module, "DRAINED_IDLE_TENTHS", 0)
    rig = ListenerRig(hold=True)
    health = b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n"
    resting, waiting, cut = rig.connect(), rig.connect(), rig.connect()
    waiting.send(asked())
    cut.send(asked(b"cut")[:-40])
    assert until(lambda: rig.taken and len(rig.listener.reading) == 1)
    rig.listener.quiesce()
    rig.listener.quiesce()
    assert rig.connect().send(health).hear().startswith(b"HTTP/1.1 503 ")
    assert resting.hear() == b""
    # One whose first bytes have come is not cut, nor one whose answer is out; both end with it.
    cut.send(asked(b"cut")[-40:])
    assert until(lambda: len(rig.taken) == 2)
    for _, _, pending in rig.taken:
        pending.put(HTTPStatus.OK, b"ok")
    for client in (waiting, cut):
        assert b"Connection: close" in client.hear()
    late = rig.connect()
    assert late.hear() == b""
    rig.listener.resume()
    client = rig.connect()
    for _ in range(2):
        assert client.send(health).hear().startswith(b"HTTP/1.1 200 ")
    gevent.sleep(0.15)
    assert len(rig.listener.connections) == 1


def test_a_drain_ended_early_ends_nobody(monkeypatch):
    monkeypatch.setattr(listener_module, "DRAIN_STEPS_S", ((0.02, 0.0),))
    rig = ListenerRig()
    resting = rig.connect()
    assert resting.send(asked()).hear()
    rig.listener.quiesce()
    rig.listener.resume()
    gevent.sleep(0.05)
    assert resting.send(asked(b"r2")).hear().endswith(b"hi")


def test_clients_that_wait_to_be_met_are_met_before_the_listener_closes():
    rig = ListenerRig(most=64)
    # Nobody accepts: they have sent their requests, and lie in the queue.
    rig.greenlet.kill()
    clients = [rig.connect().send(asked(b"r%d" % n)) for n in range(20)]
    rig.listener.draining = True
    rig.listener.close()
    assert all(client.hear().endswith(b"hi") for client in clients)


def test_an_end_behind_an_answer_is_no_reset_though_bytes_are_unread():
    rig = ListenerRig(hold=True)
    client = rig.connect().send(asked(b"r1"))
    assert until(lambda: rig.taken)
    # More than is read along with the first: it lies in the kernel when the connection ends.
    client.send(asked(b"r2", body=30_000 * b"x"))
    rig.listener.draining = True
    rig.taken[0][2].put(HTTPStatus.OK, b"one")
    answer = client.hear()
    assert b"Connection: close" in answer and answer.endswith(b"one")
    assert client.hear() == b"" and len(rig.taken) == 1


def test_nothing_behind_a_body_that_was_answered_early_is_taken():
    rig = ListenerRig()
    rig.listener.max_body_bytes = 1_000_000
    body = 200_000 * b"x"
    client = rig.connect().send(asked(b"r1", body=body)[:-130_000])
    assert client.hear().startswith(b"HTTP/1.1 200 ")
    # The side that would answer is shut; both could be read all the same.
    client.send(body[:130_000] + asked(b"r2"))
    assert client.hear() == b""
    assert until(lambda: not rig.listener.connections)
    assert [b"ID: r1" in taken[0].forwarded_headers for taken in rig.taken] == [True]


@pytest.mark.parametrize(
    ("sent", "ended", "seen"),
    [(b"", False, False), (b"", True, True), (b"bytes", False, False), (b"bytes", True, True)],
)
def test_an_end_is_seen_behind_bytes_and_bytes_are_no_end(sent, ended, seen, monkeypatch):
    near, far = socket.socketpair()
    if not sent and not ended:
        # What comes between two looks is no end either.
        def look(sock):
            found = peek_byte(sock)
            far.send(b"just now")
            return found

        monkeypatch.setattr(sockets_module, "peek_byte", look)
    far.sendall(sent)
    if ended:
        far.close()
    assert peer_closed(near) is seen
