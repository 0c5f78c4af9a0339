from collections import defaultdict

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.queue import SimpleQueue
from helpers import SECOND, ScriptedServer, reply_script, response_bytes, wait_until

from nettledeal.model import Outcome
from nettledeal.net.clock import MAX_POLL_NS, Clock
from nettledeal.net.counters import Counters
from nettledeal.net.transport import backend_pools as backend_pools_module
from nettledeal.net.transport.backend_pools import BackendPools
from nettledeal.net.transport.budget import ConnectionBudget, split_resources
from nettledeal.net.transport.buffers import MemoryPool
from nettledeal.net.transport.exchange import Exchange

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
HEAD = b"GET /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: r1\r\n\r\n"


class PoolRig:
    """Pools with one backend, and shortcuts to send."""

    def __init__(self, address, most=8, idle=60 * SECOND, memory=4_000_000):
        self.counters = Counters()
        self.memory = MemoryPool(memory)
        self.pools = BackendPools(
            Clock(), self.counters, ConnectionBudget(most), self.memory, 40_000_000, SECOND, idle
        )
        self.pools.set_address("b", address)

    def start(self, wait=5 * SECOND, body=b"", backend="b", probe=False):
        replies_received = []
        exchange = Exchange([HEAD, body], self.pools.clock.now() + wait, replies_received.append, probe)
        if not self.pools.send(backend, exchange):
            return exchange, None
        return exchange, replies_received

    def send(self, **fields):
        _, replies_received = self.start(**fields)
        assert wait_until(lambda: replies_received)
        return replies_received[0]

    @property
    def connections_opened(self):
        return self.counters["backend connections opened"]


def never_answer(peer):
    peer.receive_message()
    gevent.sleep(60)


def unconnectable_socket():
    """A socket with a full backlog, where connecting hangs, and the sockets that fill it."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(0)
    pending = [socket.socket() for _ in range(4)]
    for other in pending:
        gevent.spawn(other.connect, sock.getsockname())
    gevent.sleep(0.05)
    return sock, pending


def close_after_request(peer):
    peer.receive_message()
    peer.sock.close()


@pytest.mark.parametrize(
    ("script", "outcome", "body"),
    [
        (reply_script(response_bytes(b"42")), Outcome.FINISHED, b"42"),
        (reply_script(CHUNKED + b"2\r\n42\r\n0\r\n\r\n"), Outcome.FINISHED, b"42"),
        (reply_script(response_bytes(64 * 1024 * b"x")), Outcome.FINISHED, 64 * 1024 * b"x"),
        (reply_script(response_bytes(status=b"500 Oops")), Outcome.ERROR, None),
        (reply_script(response_bytes(status=b"404 What")), Outcome.ERROR, None),
        (
            reply_script(response_bytes(status=b"503 Full", more=b"X-Not-Processed: 1\r\n")),
            Outcome.FULL,
            None,
        ),
        (
            reply_script(response_bytes(status=b"504 Late", more=b"X-Not-Processed: 1\r\n")),
            Outcome.FULL,
            None,
        ),
        # Only this header proves that it never ran, and only with these statuses.
        (reply_script(response_bytes(status=b"503 Full")), Outcome.ERROR, None),
        (
            reply_script(response_bytes(status=b"503 Full", more=b"X-Not-Processed: 0\r\n")),
            Outcome.ERROR,
            None,
        ),
        (
            reply_script(response_bytes(status=b"500 Oops", more=b"X-Not-Processed: 1\r\n")),
            Outcome.ERROR,
            None,
        ),
        # A request with an unreadable response may have run.
        (reply_script(b"garbage\r\n\r\n"), Outcome.RESET, None),
        (reply_script(OK + b"Content-Length: 3000000000\r\n\r\n" + 999 * b"x"), Outcome.RESET, None),
        (
            reply_script(CHUNKED + 9 * (b"1000\r\n%b\r\n" % bytes(4096)) + b"0\r\n\r\n"),
            Outcome.FINISHED,
            bytes(9 * 4096),
        ),
        # No body, whatever length is declared.
        (reply_script(response_bytes(b"", status=b"204 None")), Outcome.ERROR, None),
        (reply_script(b"HTTP/1.1 304 Same\r\nContent-Length: 900\r\n\r\n"), Outcome.ERROR, None),
        # Up to the end of the connection, if that is announced.
        (
            reply_script(OK + b"Connection: a, Close \r\n\r\nup to the end", close=True),
            Outcome.FINISHED,
            b"up to the end",
        ),
        (
            reply_script(b"HTTP/1.0 200 OK\r\n\r\nup to the end", close=True),
            Outcome.FINISHED,
            b"up to the end",
        ),
        (reply_script(OK + b"CONTENT-length:\t2 \t\r\n\r\n42"), Outcome.FINISHED, b"42"),
        (
            reply_script(OK + b"Transfer-encoding:Chunked \r\n\r\n1;a=b\r\n4\r\n1\r\n2\r\n0\r\nX: 1\r\n\r\n"),
            Outcome.FINISHED,
            b"42",
        ),
        # Interim responses and load reports are no part of the response.
        (
            reply_script(
                b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n" + response_bytes(b"42")
            ),
            Outcome.FINISHED,
            b"42",
        ),
        (reply_script(9 * b"HTTP/1.1 102 Wait\r\n\r\n"), Outcome.RESET, None),
        (reply_script(response_bytes(b"42", more=b"X-Server-Load: \x01\x00\r\n")), Outcome.FINISHED, b"42"),
        (reply_script(response_bytes(b"42", more=b"X-Other: \x01\x00\r\n")), Outcome.RESET, None),
        (reply_script(CHUNKED + b"2\r\n42\r\n0\r\n\r\nnoise"), Outcome.FINISHED, b"42"),
        (reply_script(CHUNKED + b"2\r\n42\r\nzz\r\n42\r\n"), Outcome.RESET, None),
        (reply_script(CHUNKED + b"2\r\n42", close=True), Outcome.RESET, None),
        (reply_script(OK + b"Content-Length: 2\nX: 1\r\n\r\n42"), Outcome.RESET, None),
        (reply_script(OK + b"Content-Length: 9\r\n\r\nshort", close=True), Outcome.RESET, None),
        (reply_script(OK + b"\r\nup to the end", close=True), Outcome.RESET, None),
        (reply_script(OK + b"X: " + 20_000 * b"x", close=True), Outcome.RESET, None),
        (close_after_request, Outcome.RESET, None),
    ],
)
def test_outcome_and_body_of_each_response(script, outcome, body):
    reply = PoolRig(ScriptedServer(script).address).send()
    assert reply.outcome is outcome
    if body is not None:
        assert bytes(reply.body) == body


def test_response_time_is_measured_where_the_response_is_read():
    def answer_late(peer):
        while peer.receive_message():
            gevent.sleep(0.03)
            peer.send(response_bytes())

    rig = PoolRig(ScriptedServer(answer_late).address)
    for _ in range(2):
        assert rig.send().duration >= 300


class FakeTime:
    """Replaces the time module with a clock set by the test: real polls take as long as the machine needs."""

    def __init__(self, now_ns=0):
        self.now_ns = now_ns

    def monotonic_ns(self):
        return self.now_ns

    time_ns = monotonic_ns


@pytest.mark.parametrize(
    ("last_poll", "wait_began", "woke_up", "arrival"),
    [
        (0, 100_000_000, 100_000_000, 500),  # found at once: arrived at some time while the loop was busy
        (0, 100_000_000, 100_000_000 + MAX_POLL_NS, 501),
        (0, 100_000_000, 101_000_000, 1010),  # the loop was waiting and woke up for this
        (90_000_000, 90_000_000, 101_000_000, 1010),
    ],
)
def test_arrival_time_is_between_polls_when_busy_and_at_wake_up_when_waiting(
    monkeypatch, last_poll, wait_began, woke_up, arrival
):
    fake_time = FakeTime()
    monkeypatch.setattr("nettledeal.net.clock.time", fake_time)
    clock = Clock()
    clock.last_poll_ns, fake_time.now_ns = last_poll, wait_began
    clock._before_wait()
    fake_time.now_ns = woke_up
    clock._after_wait()
    assert clock.arrival_time() == arrival


def test_events_that_arrive_while_the_loop_is_busy_are_dated_back(monkeypatch):
    fake_time = FakeTime()
    monkeypatch.setattr("nettledeal.net.clock.time", fake_time)
    clock, seen = Clock(), []
    clock.track_loop()
    near, server = socket.socketpair()
    gevent.spawn(lambda: (server.recv(1), seen.append((clock.arrival_time(), clock.now()))))
    gevent.sleep(0.001)
    near.sendall(b"x")
    fake_time.now_ns += 100_000_000  # the loop is busy
    assert wait_until(lambda: seen)
    # By half of the time, as it may have arrived at any moment in between.
    assert seen == [(500, 1000)]


def test_timeout_closes_the_connection():
    server = ScriptedServer(never_answer, reply_script(response_bytes()))
    rig = PoolRig(server.address)
    assert rig.send(wait=200).outcome is Outcome.TIMED_OUT
    # A late response on that connection must not be taken for the next one.
    assert rig.send().outcome is Outcome.FINISHED
    assert rig.connections_opened == 2


def test_refused_connection_is_unreachable():
    server = ScriptedServer(never_answer)
    server.sock.close()
    assert PoolRig(server.address).send().outcome is Outcome.UNREACHABLE


def test_connect_timeout_is_unreachable():
    sock, _pending = unconnectable_socket()
    assert PoolRig(sock.getsockname()).send(wait=2000).outcome is Outcome.UNREACHABLE


def test_connect_timeout_adapts_to_recent_connects_and_grows_after_timeouts():
    pools = PoolRig(("127.0.0.1", 9)).pools
    assert pools.current_connect_timeout == SECOND
    pools.record_connect(5)
    assert pools.current_connect_timeout == backend_pools_module.MIN_CONNECT_TIMEOUT_TENTHS
    for _ in range(40):
        pools.record_connect(None)
    assert pools.current_connect_timeout == SECOND
    pools.record_connect(200)
    for _ in range(20):
        pools.record_connect(60)
    assert pools.current_connect_timeout == 480


def test_lost_connect_is_given_up_well_before_the_limit():
    sock, _pending = unconnectable_socket()
    rig = PoolRig(ScriptedServer(reply_script(response_bytes())).address)
    rig.send()
    rig.pools.set_address("lost", sock.getsockname())
    reply = rig.send(backend="lost", wait=20 * SECOND)
    assert reply.outcome is Outcome.UNREACHABLE and reply.duration < rig.pools.max_connect_timeout


def test_expired_exchange_is_not_sent_and_opens_no_connection():
    server = ScriptedServer(reply_script(response_bytes(b"42")))
    rig = PoolRig(server.address)
    # An agent short of CPU may get to an exchange after its deadline: it would be started for nobody.
    assert rig.send(wait=0).outcome is Outcome.UNSENT
    assert not server.peers
    assert rig.send().outcome is Outcome.FINISHED
    assert rig.send(wait=0).outcome is Outcome.UNSENT
    assert rig.send().outcome is Outcome.FINISHED
    assert len(server.peers) == 1 and len(server.peers[0].received) == 2
    assert rig.counters["hand-offs late before they were sent"] == 2


def test_partly_written_body_is_unreachable():
    # The peer reads nothing and the body exceeds the kernel's buffers: its last byte is never written.
    rig = PoolRig(ScriptedServer(lambda peer: gevent.sleep(60)).address)
    assert rig.send(wait=2000, body=bytes(30_000_000)).outcome is Outcome.UNREACHABLE


def test_most_recently_used_connection_is_reused_first():
    server = ScriptedServer(reply_script(response_bytes()))
    rig = PoolRig(server.address)
    waiting = [rig.start()[1] for _ in range(3)]
    assert wait_until(lambda: all(waiting))
    last = rig.pools.pools["b"].idle[-1]
    rig.send()
    assert rig.connections_opened == 3
    assert rig.pools.pools["b"].idle[-1] is last


@pytest.mark.parametrize(
    "first",
    [
        reply_script(response_bytes(more=b"Connection: close\r\n")),
        reply_script(response_bytes(), close=True),
        reply_script(response_bytes() + b"left over"),
        reply_script(CHUNKED + b"6\r\nserved\r\n0\r\n\r\n" + response_bytes(b"copy")),
    ],
)
def test_ended_connection_or_one_with_stray_bytes_is_not_reused(first):
    rig = PoolRig(ScriptedServer(first, reply_script(response_bytes(b"second"))).address)
    assert rig.send().outcome is Outcome.FINISHED
    gevent.sleep(0.01)
    assert bytes(rig.send().body) == b"second"
    assert rig.connections_opened == 2


def test_break_on_a_reused_connection_is_a_reset_and_not_resent():
    def once(peer):
        peer.receive_message()
        peer.send(response_bytes())
        peer.receive_message()
        peer.sock.close()

    server = ScriptedServer(once, reply_script(response_bytes()))
    rig = PoolRig(server.address)
    assert rig.send().outcome is Outcome.FINISHED
    # The pool doesn't retry by itself: the backend had the whole request.
    assert rig.send().outcome is Outcome.RESET
    assert len(server.peers) == 1


def test_idle_connections_are_closed_well_before_the_backend_closes_them():
    rig = PoolRig(ScriptedServer(reply_script(response_bytes())).address, idle=400)
    rig.send()
    assert rig.pools.max_idle <= 200
    assert wait_until(lambda: not rig.pools.budget.in_use)


def test_cancel_after_writing():
    server = ScriptedServer(never_answer)
    rig = PoolRig(server.address)
    exchange, replies_received = rig.start()
    assert wait_until(lambda: exchange.fully_written)
    exchange.cancel()
    assert wait_until(lambda: replies_received)
    assert replies_received[0].outcome is Outcome.CANCELLED
    assert wait_until(lambda: not rig.pools.budget.in_use)


@pytest.mark.parametrize("cancels", [False, True])
def test_connection_is_closed_before_the_result_is_reported(cancels):
    rig, reply_queue, open_then = PoolRig(ScriptedServer(never_answer).address), SimpleQueue(), []
    exchange = Exchange([HEAD], rig.pools.clock.now() + SECOND // 20, reply_queue.put)
    assert rig.pools.send("b", exchange)
    assert wait_until(lambda: exchange.fully_written)
    sock = exchange.connection.sock._sock

    def retry():
        reply_queue.get()
        # gevent may close a socket one turn later: a retry sent before that would run in parallel.
        open_then.append(sock.fileno() >= 0)

    gevent.spawn(retry)
    if cancels:
        exchange.cancel()
    assert wait_until(lambda: open_then)
    assert open_then == [False]


@pytest.mark.parametrize("end", ["cancelled", "removed", "moved"])
def test_cancelled_or_removed_before_writing_is_unsent(end):
    server = ScriptedServer(reply_script(response_bytes()))
    rig = PoolRig(server.address)
    exchange, replies_received = rig.start()
    if end == "cancelled":
        exchange.cancel()
    elif end == "removed":
        rig.pools.remove("b")
    else:
        rig.pools.set_address("b", ("127.0.0.2", 9))
    assert wait_until(lambda: replies_received)
    assert replies_received[0].outcome is Outcome.UNSENT
    assert not server.peers or wait_until(lambda: server.peers[0].received == [])


def test_moved_backend_is_reached_at_its_new_address_only():
    old, new = (
        ScriptedServer(reply_script(response_bytes(b"old"))),
        ScriptedServer(reply_script(response_bytes(b"new"))),
    )
    rig = PoolRig(old.address)
    assert bytes(rig.send().body) == b"old"
    rig.pools.set_address("b", new.address)
    assert bytes(rig.send().body) == b"new"
    assert wait_until(lambda: rig.pools.budget.in_use == 1)


def test_response_body_survives_the_next_response_on_its_connection():
    rig = PoolRig(ScriptedServer(reply_script(response_bytes(b"first"), response_bytes(b"other"))).address)
    first = rig.send()
    rig.send()
    # The slice keeps its buffer: if it were overwritten, a client would get another client's answer.
    assert bytes(first.body) == b"first"
    assert rig.connections_opened == 1


def test_budget_is_kept_and_idle_connections_make_room():
    server, other = ScriptedServer(never_answer), ScriptedServer(reply_script(response_bytes()))
    rig = PoolRig(server.address, most=2)
    rig.pools.set_address("c", other.address)
    assert rig.send(backend="c").outcome is Outcome.FINISHED
    rig.start()
    # Probes evict no connection: with few sockets, connections would be reopened all the time.
    assert rig.start(probe=True)[1] is None
    assert rig.start()[1] is not None  # the idle one to c was closed
    assert rig.start()[1] is None
    assert rig.pools.budget.in_use == 2


def test_responses_stay_within_the_memory_limit():
    rig = PoolRig(ScriptedServer(reply_script(response_bytes(60_000 * b"x"))).address, memory=360_000)
    kept_replies = []
    # Each buffer counts as long as a slice of it is held, even while its connection carries on.
    while (reply := rig.send()).outcome is Outcome.FINISHED:
        kept_replies.append(reply)
        assert 60_000 * len(kept_replies) <= rig.memory.used_bytes <= 360_000
    assert len(kept_replies) >= 4 and reply.outcome is Outcome.RESET
    del kept_replies[:]
    # An idle connection doesn't keep its last response either.
    assert wait_until(lambda: not rig.memory.used_bytes)
    assert rig.send().outcome is Outcome.FINISHED


@pytest.mark.parametrize(
    ("sockets", "memory"), [(32, 64), (256, 32), (1024, 32), (64, 192), (1024, 64), (1024, 192), (4096, 2048)]
)
def test_budgets_stay_within_sockets_and_memory(sockets, memory):
    budgets = split_resources(sockets, memory)
    assert budgets.clients.limit >= 4 <= budgets.backends.limit
    whole = budgets.clients.limit + budgets.backends.limit
    assert whole <= sockets
    assert whole * 12 * 1024 + budgets.requests.limit + budgets.answers.limit <= (memory - 20) * 1024 * 1024


@pytest.mark.parametrize("cancelled", [False, True])
def test_abandoned_exchange_resets_its_connection(cancelled):
    """After a normal close the kernel would retransmit the request once a broken link is up again."""
    seen = []

    def script(peer):
        peer.receive_message()
        try:
            seen.append(peer.sock.recv(10))
        except OSError as fault:
            seen.append(type(fault))

    rig = PoolRig(ScriptedServer(script).address)
    exchange, replies_received = rig.start(wait=5 * SECOND if cancelled else 300)
    assert wait_until(lambda: exchange.fully_written)
    if cancelled:
        exchange.cancel()
    assert wait_until(lambda: replies_received and seen)
    assert replies_received[0].outcome is (Outcome.CANCELLED if cancelled else Outcome.TIMED_OUT)
    assert seen == [ConnectionResetError]


@pytest.mark.parametrize(
    ("field", "counter"),
    [
        ("is_wanted", "hand-offs whose client left before they were sent"),
        ("begin_by", "repeats past their window before they were sent"),
    ],
)
def test_exchange_that_ends_while_connecting_is_not_sent(field, counter):
    heard = []
    server = ScriptedServer(lambda peer: heard.append(peer.receive_message()))
    rig, replies_received = PoolRig(server.address), []
    exchange = Exchange([HEAD, b""], rig.pools.clock.now() + 5 * SECOND, replies_received.append)
    original = rig.pools.record_connect

    def end_while_connecting(took):
        # The exchange was still valid when connecting began.
        original(took)
        setattr(exchange, field, (lambda: False) if field == "is_wanted" else rig.pools.clock.now())

    rig.pools.record_connect = end_while_connecting
    rig.pools.send("b", exchange)
    assert wait_until(lambda: replies_received)
    assert (replies_received[0].outcome, rig.connections_opened, rig.counters[counter]) == (
        Outcome.UNSENT,
        1,
        1,
    )
    # The connection itself is fine: it is kept and carries the next exchange.
    assert rig.start()[1] == [] and wait_until(lambda: heard)
    assert rig.connections_opened == 1 and heard == [HEAD]


def test_late_second_response_is_not_taken_for_the_next_one():
    """A backend that answers twice, the second time some milliseconds later."""

    late = defaultdict(Event)

    def twice(peer):
        while heard := peer.receive_message():
            number = heard.split(b"ID: ")[1][:2]
            peer.send(response_bytes(number))
            late[number].wait()
            peer.send(response_bytes(b"again " + number))

    rig, bodies = PoolRig(ScriptedServer(twice).address), []

    def send(n):
        replies_received = []
        exchange = Exchange(
            [HEAD.replace(b"r1", b"r%d" % n)], rig.pools.clock.now() + SECOND, replies_received.append
        )
        assert rig.pools.send("b", exchange)
        # Right after the next request, which is written at the greenlet's turn.
        late[b"r%d" % (n - 1)].set()
        assert wait_until(lambda: replies_received)
        bodies.append(bytes(replies_received[0].body))

    # Detected once on an idle connection; from then on the backend is known to do this.
    send(1)
    late[b"r1"].set()
    assert wait_until(lambda: not rig.pools.budget.in_use)
    for n in range(2, 9):
        send(n)
    assert bodies == [b"r%d" % n for n in range(1, 9)]


def test_backend_without_stray_bytes_keeps_one_connection():
    rig = PoolRig(ScriptedServer(reply_script(response_bytes())).address)
    for _ in range(20):
        rig.send()
    assert rig.connections_opened == 1
