from collections import defaultdict

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.queue import SimpleQueue
from helpers import SECOND, Far, replies, served, until

from nettledeal.model import Outcome
from nettledeal.net.clock import GLANCE, Clock
from nettledeal.net.counters import Counters
from nettledeal.net.transport import pools as pools_module
from nettledeal.net.transport.budget import Budget, shares
from nettledeal.net.transport.buffers import MemoryPool
from nettledeal.net.transport.exchange import Exchange
from nettledeal.net.transport.pools import Pools

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
HEAD = b"GET /api HTTP/1.1\r\nHost: b\r\nX-Request-ID: r1\r\n\r\n"


class Ways:
    """Pools to one backend, and short ways to send."""

    def __init__(self, address, most=8, idle=60 * SECOND, memory=4_000_000):
        self.counters = Counters()
        self.memory = MemoryPool(memory)
        self.pools = Pools(Clock(), self.counters, Budget(most), self.memory, 40_000_000, SECOND, idle)
        self.pools.place("b", address)

    def start(self, wait=5 * SECOND, body=b"", backend="b", probe=False):
        back = []
        exchange = Exchange([HEAD, body], self.pools.clock.now() + wait, back.append, probe)
        if not self.pools.carry(backend, exchange):
            return exchange, None
        return exchange, back

    def send(self, **fields):
        _, back = self.start(**fields)
        assert until(lambda: back)
        return back[0]

    @property
    def opened(self):
        return self.counters["backend connections opened"]


def hush(peer):
    peer.hear()
    gevent.sleep(60)


def swallows():
    """A socket to which no further connection comes up, and what fills its backlog."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(0)
    keep = [socket.socket() for _ in range(4)]
    for other in keep:
        gevent.spawn(other.connect, sock.getsockname())
    gevent.sleep(0.05)
    return sock, keep


def hang_up(peer):
    peer.hear()
    peer.sock.close()


@pytest.mark.parametrize(
    ("script", "outcome", "body"),
    [
        (replies(served(b"42")), Outcome.FINISHED, b"42"),
        (replies(CHUNKED + b"2\r\n42\r\n0\r\n\r\n"), Outcome.FINISHED, b"42"),
        (replies(served(64 * 1024 * b"x")), Outcome.FINISHED, 64 * 1024 * b"x"),
        (replies(served(status=b"500 Oops")), Outcome.ERROR, None),
        (replies(served(status=b"404 What")), Outcome.ERROR, None),
        (replies(served(status=b"503 Full", more=b"X-Not-Processed: 1\r\n")), Outcome.FULL, None),
        (replies(served(status=b"504 Late", more=b"X-Not-Processed: 1\r\n")), Outcome.FULL, None),
        # Only the mark proves that it never ran, and only with these statuses.
        (replies(served(status=b"503 Full")), Outcome.ERROR, None),
        (replies(served(status=b"503 Full", more=b"X-Not-Processed: 0\r\n")), Outcome.ERROR, None),
        (replies(served(status=b"500 Oops", more=b"X-Not-Processed: 1\r\n")), Outcome.ERROR, None),
        # Whatever cannot be read as an answer may have run.
        (replies(b"garbage\r\n\r\n"), Outcome.RESET, None),
        (replies(OK + b"Content-Length: 3000000000\r\n\r\n" + 999 * b"x"), Outcome.RESET, None),
        (
            replies(CHUNKED + 9 * (b"1000\r\n%b\r\n" % bytes(4096)) + b"0\r\n\r\n"),
            Outcome.FINISHED,
            bytes(9 * 4096),
        ),
        # No body, whatever is said of its length.
        (replies(served(b"", status=b"204 None")), Outcome.ERROR, None),
        (replies(b"HTTP/1.1 304 Same\r\nContent-Length: 900\r\n\r\n"), Outcome.ERROR, None),
        # Up to the end, where that is said.
        (
            replies(OK + b"Connection: a, Close \r\n\r\nup to the end", close=True),
            Outcome.FINISHED,
            b"up to the end",
        ),
        (replies(b"HTTP/1.0 200 OK\r\n\r\nup to the end", close=True), Outcome.FINISHED, b"up to the end"),
        (replies(OK + b"CONTENT-length:\t2 \t\r\n\r\n42"), Outcome.FINISHED, b"42"),
        (
            replies(OK + b"Transfer-encoding:Chunked \r\n\r\n1;a=b\r\n4\r\n1\r\n2\r\n0\r\nX: 1\r\n\r\n"),
            Outcome.FINISHED,
            b"42",
        ),
        # Said ahead of the answer, or in a report, and no part of it.
        (
            replies(b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n" + served(b"42")),
            Outcome.FINISHED,
            b"42",
        ),
        (replies(9 * b"HTTP/1.1 102 Wait\r\n\r\n"), Outcome.RESET, None),
        (replies(served(b"42", more=b"X-Server-Load: \x01\x00\r\n")), Outcome.FINISHED, b"42"),
        (replies(served(b"42", more=b"X-Other: \x01\x00\r\n")), Outcome.RESET, None),
        (replies(CHUNKED + b"2\r\n42\r\n0\r\n\r\nnoise"), Outcome.FINISHED, b"42"),
        (replies(CHUNKED + b"2\r\n42\r\nzz\r\n42\r\n"), Outcome.RESET, None),
        (replies(CHUNKED + b"2\r\n42", close=True), Outcome.RESET, None),
        (replies(OK + b"Content-Length: 2\nX: 1\r\n\r\n42"), Outcome.RESET, None),
        (replies(OK + b"Content-Length: 9\r\n\r\nshort", close=True), Outcome.RESET, None),
        (replies(OK + b"\r\nup to the end", close=True), Outcome.RESET, None),
        (replies(OK + b"X: " + 20_000 * b"x", close=True), Outcome.RESET, None),
        (hang_up, Outcome.RESET, None),
    ],
)
def test_what_comes_back(script, outcome, body):
    reply = Ways(Far(script).address).send()
    assert reply.outcome is outcome
    if body is not None:
        assert bytes(reply.body) == body


def test_the_time_an_answer_took_is_measured_where_it_is_read():
    def later(peer):
        while peer.hear():
            gevent.sleep(0.03)
            peer.send(served())

    ways = Ways(Far(later).address)
    for _ in range(2):
        assert ways.send().took >= 300


class Hands:
    """A clock's time, moved by hand: how long a loop takes for a look hangs on the machine."""

    def __init__(self, at=0):
        self.at = at

    def monotonic_ns(self):
        return self.at

    time_ns = monotonic_ns


@pytest.mark.parametrize(
    ("looked", "resting", "woke", "came"),
    [
        (0, 100_000_000, 100_000_000, 500),  # found at once: anywhere while the agent was at work
        (0, 100_000_000, 100_000_000 + GLANCE, 501),
        (0, 100_000_000, 101_000_000, 1010),  # it rested, and woke for this
        (90_000_000, 90_000_000, 101_000_000, 1010),
    ],
)
def test_what_was_found_at_a_look_came_before_it_and_what_woke_the_agent_came_then(
    monkeypatch, looked, resting, woke, came
):
    hands = Hands()
    monkeypatch.setattr("nettledeal.net.clock.time", hands)
    clock = Clock()
    clock.looked, hands.at = looked, resting
    clock._rest()
    hands.at = woke
    clock._wake()
    assert clock.came() == came


def test_what_came_while_the_agent_was_at_work_is_older_than_it_looks(monkeypatch):
    hands = Hands()
    monkeypatch.setattr("nettledeal.net.clock.time", hands)
    clock, seen = Clock(), []
    clock.attend()
    near, far = socket.socketpair()
    gevent.spawn(lambda: (far.recv(1), seen.append((clock.came(), clock.now()))))
    gevent.sleep(0.001)
    near.sendall(b"x")
    hands.at += 100_000_000  # the loop stands still
    assert until(lambda: seen)
    # By half of the time, as it may have come anywhere within.
    assert seen == [(500, 1000)]


def test_silence_is_a_time_out_and_ends_the_connection():
    far = Far(hush, replies(served()))
    ways = Ways(far.address)
    assert ways.send(wait=200).outcome is Outcome.TIMED_OUT
    # What comes late on that connection must never pass for the next answer.
    assert ways.send().outcome is Outcome.FINISHED
    assert ways.opened == 2


def test_no_connection_means_it_never_ran():
    far = Far(hush)
    far.sock.close()
    assert Ways(far.address).send().outcome is Outcome.UNREACHABLE


def test_a_connection_that_never_comes_up_means_it_never_ran():
    sock, _keep = swallows()
    assert Ways(sock.getsockname()).send(wait=2000).outcome is Outcome.UNREACHABLE


def test_patience_for_a_connection_goes_by_what_others_took_and_grows_when_it_was_too_short():
    pools = Ways(("127.0.0.1", 9)).pools
    assert pools.patience == SECOND
    pools.connected(5)
    assert pools.patience == pools_module.QUICK
    for _ in range(40):
        pools.connected(None)
    assert pools.patience == SECOND
    pools.connected(200)
    for _ in range(20):
        pools.connected(60)
    assert pools.patience == 480


def test_a_connection_lost_on_its_way_is_given_up_for_another_in_time():
    sock, _keep = swallows()
    ways = Ways(Far(replies(served())).address)
    ways.send()
    ways.pools.place("lost", sock.getsockname())
    reply = ways.send(backend="lost", wait=20 * SECOND)
    assert reply.outcome is Outcome.UNREACHABLE and reply.took < ways.pools.connect_within


def test_what_is_late_before_it_is_sent_is_not_sent_and_costs_no_connection():
    far = Far(replies(served(b"42")))
    ways = Ways(far.address)
    # An agent past its CPU comes to a hand-off after its time: it would be begun for nobody.
    assert ways.send(wait=0).outcome is Outcome.UNSENT
    assert not far.peers
    assert ways.send().outcome is Outcome.FINISHED
    assert ways.send(wait=0).outcome is Outcome.UNSENT
    assert ways.send().outcome is Outcome.FINISHED
    assert len(far.peers) == 1 and len(far.peers[0].heard) == 2
    assert ways.counters["hand-offs late before they were sent"] == 2


def test_a_body_not_wholly_written_never_ran():
    # A peer that reads nothing, and more than the kernel takes: the last byte was never handed over.
    ways = Ways(Far(lambda peer: gevent.sleep(60)).address)
    assert ways.send(wait=2000, body=bytes(30_000_000)).outcome is Outcome.UNREACHABLE


def test_the_connection_used_last_is_used_first():
    far = Far(replies(served()))
    ways = Ways(far.address)
    waiting = [ways.start()[1] for _ in range(3)]
    assert until(lambda: all(waiting))
    last = ways.pools.pools["b"].resting[-1]
    ways.send()
    assert ways.opened == 3
    assert ways.pools.pools["b"].resting[-1] is last


@pytest.mark.parametrize(
    "first",
    [
        replies(served(more=b"Connection: close\r\n")),
        replies(served(), close=True),
        replies(served() + b"left over"),
        replies(CHUNKED + b"6\r\nserved\r\n0\r\n\r\n" + served(b"copy")),
    ],
)
def test_nothing_is_sent_on_a_connection_that_has_ended_or_is_unclear(first):
    ways = Ways(Far(first, replies(served(b"second"))).address)
    assert ways.send().outcome is Outcome.FINISHED
    gevent.sleep(0.01)
    assert bytes(ways.send().body) == b"second"
    assert ways.opened == 2


def test_a_break_on_a_connection_used_before_is_in_doubt():
    def once(peer):
        peer.hear()
        peer.send(served())
        peer.hear()
        peer.sock.close()

    far = Far(once, replies(served()))
    ways = Ways(far.address)
    assert ways.send().outcome is Outcome.FINISHED
    # Not sent again by itself: the backend had all of it.
    assert ways.send().outcome is Outcome.RESET
    assert len(far.peers) == 1


def test_connections_that_rest_end_well_before_the_backend_ends_them():
    ways = Ways(Far(replies(served())).address, idle=400)
    ways.send()
    assert ways.pools.rest_for <= 200
    assert until(lambda: not ways.pools.budget.held)


def test_dropped_while_it_is_out():
    far = Far(hush)
    ways = Ways(far.address)
    exchange, back = ways.start()
    assert until(lambda: exchange.written)
    exchange.drop()
    assert until(lambda: back)
    assert back[0].outcome is Outcome.CANCELLED
    assert until(lambda: not ways.pools.budget.held)


@pytest.mark.parametrize("drops", [False, True])
def test_a_hand_off_given_up_has_ended_before_whoever_repeats_it_hears_of_it(drops):
    ways, told, open_then = Ways(Far(hush).address), SimpleQueue(), []
    exchange = Exchange([HEAD], ways.pools.clock.now() + SECOND // 20, told.put)
    assert ways.pools.carry("b", exchange)
    assert until(lambda: exchange.written)
    sock = exchange.connection.sock._sock

    def repeat():
        told.get()
        # gevent may end a socket a turn later: a repeat sent before that would be a second copy.
        open_then.append(sock.fileno() >= 0)

    gevent.spawn(repeat)
    if drops:
        exchange.drop()
    assert until(lambda: open_then)
    assert open_then == [False]


@pytest.mark.parametrize("end", ["dropped", "gone", "moved"])
def test_what_is_not_yet_sent_is_not_sent_any_more(end):
    far = Far(replies(served()))
    ways = Ways(far.address)
    exchange, back = ways.start()
    if end == "dropped":
        exchange.drop()
    elif end == "gone":
        ways.pools.drop("b")
    else:
        ways.pools.place("b", ("127.0.0.2", 9))
    assert until(lambda: back)
    assert back[0].outcome is Outcome.UNSENT
    assert not far.peers or until(lambda: far.peers[0].heard == [])


def test_a_backend_that_moved_is_sent_to_at_its_new_place_only():
    old, new = Far(replies(served(b"old"))), Far(replies(served(b"new")))
    ways = Ways(old.address)
    assert bytes(ways.send().body) == b"old"
    ways.pools.place("b", new.address)
    assert bytes(ways.send().body) == b"new"
    assert until(lambda: ways.pools.budget.held == 1)


def test_the_answer_outlives_the_next_one_on_its_connection():
    ways = Ways(Far(replies(served(b"first"), served(b"other"))).address)
    first = ways.send()
    ways.send()
    # The slice keeps its buffer; written over, one client would be served with another's answer.
    assert bytes(first.body) == b"first"
    assert ways.opened == 1


def test_the_budget_holds_and_resting_connections_make_room():
    far, other = Far(hush), Far(replies(served()))
    ways = Ways(far.address, most=2)
    ways.pools.place("c", other.address)
    assert ways.send(backend="c").outcome is Outcome.FINISHED
    ways.start()
    # Probes take no one's place: where sockets are few, connections would be opened anew all the time.
    assert ways.start(probe=True)[1] is None
    assert ways.start()[1] is not None  # the one to c gave way
    assert ways.start()[1] is None
    assert ways.pools.budget.held == 2


def test_answers_on_their_way_stay_within_the_memory_for_them():
    ways = Ways(Far(replies(served(60_000 * b"x"))).address, memory=360_000)
    kept = []
    # Each keeps its buffer for as long as somebody holds a slice of it, also after its connection went on.
    while (reply := ways.send()).outcome is Outcome.FINISHED:
        kept.append(reply)
        assert 60_000 * len(kept) <= ways.memory.held <= 360_000
    assert len(kept) >= 4 and reply.outcome is Outcome.RESET
    del kept[:]
    # Nor does a connection that rests keep its last one.
    assert until(lambda: not ways.memory.held)
    assert ways.send().outcome is Outcome.FINISHED


@pytest.mark.parametrize(
    ("sockets", "memory"), [(32, 64), (256, 32), (1024, 32), (64, 192), (1024, 64), (1024, 192), (4096, 2048)]
)
def test_shares_stay_within_what_is_told(sockets, memory):
    within = shares(sockets, memory)
    assert within.clients.most >= 4 <= within.backends.most
    whole = within.clients.most + within.backends.most
    assert whole <= sockets
    assert whole * 12 * 1024 + within.requests.most + within.answers.most <= (memory - 20) * 1024 * 1024


@pytest.mark.parametrize("dropped", [False, True])
def test_what_is_given_up_ends_with_a_reset_so_that_nothing_of_it_arrives_later(dropped):
    """With an end in order the kernel would go on sending what a dead link has swallowed."""
    seen = []

    def script(peer):
        peer.hear()
        try:
            seen.append(peer.sock.recv(10))
        except OSError as fault:
            seen.append(type(fault))

    ways = Ways(Far(script).address)
    exchange, back = ways.start(wait=5 * SECOND if dropped else 300)
    assert until(lambda: exchange.written)
    if dropped:
        exchange.drop()
    assert until(lambda: back and seen)
    assert back[0].outcome is (Outcome.CANCELLED if dropped else Outcome.TIMED_OUT)
    assert seen == [ConnectionResetError]


@pytest.mark.parametrize(
    ("field", "counter"),
    [
        ("wanted", "hand-offs whose client left before they were sent"),
        ("begin_by", "repeats past their window before they were sent"),
    ],
)
def test_what_ends_while_a_connection_comes_up_is_not_sent(field, counter):
    heard = []
    far = Far(lambda peer: heard.append(peer.hear()))
    ways, back = Ways(far.address), []
    exchange = Exchange([HEAD, b""], ways.pools.clock.now() + 5 * SECOND, back.append)
    connected = ways.pools.connected

    def up(took):
        # Whatever was so when the connection was begun.
        connected(took)
        setattr(exchange, field, (lambda: False) if field == "wanted" else ways.pools.clock.now())

    ways.pools.connected = up
    ways.pools.carry("b", exchange)
    assert until(lambda: back)
    assert (back[0].outcome, ways.opened, ways.counters[counter]) == (Outcome.UNSENT, 1, 1)
    # The connection is sound: it is kept, and the next one goes out on it.
    assert ways.start()[1] == [] and until(lambda: heard)
    assert ways.opened == 1 and heard == [HEAD]


def test_a_second_answer_that_comes_late_is_never_taken_for_the_next_ones():
    """A backend that answers twice, the second time some milliseconds behind."""

    late = defaultdict(Event)

    def twice(peer):
        while heard := peer.hear():
            number = heard.split(b"ID: ")[1][:2]
            peer.send(served(number))
            late[number].wait()
            peer.send(served(b"again " + number))

    ways, bodies = Ways(Far(twice).address), []

    def send(n):
        back = []
        exchange = Exchange([HEAD.replace(b"r1", b"r%d" % n)], ways.pools.clock.now() + SECOND, back.append)
        assert ways.pools.carry("b", exchange)
        # Right behind the next request, which is written at the greenlet's turn.
        late[b"r%d" % (n - 1)].set()
        assert until(lambda: back)
        bodies.append(bytes(back[0].body))

    # Seen once on a connection that rests, and from then on looked out for.
    send(1)
    late[b"r1"].set()
    assert until(lambda: not ways.pools.budget.held)
    for n in range(2, 9):
        send(n)
    assert bodies == [b"r%d" % n for n in range(1, 9)]


def test_a_backend_that_answers_once_keeps_one_connection():
    ways = Ways(Far(replies(served())).address)
    for _ in range(20):
        ways.send()
    assert ways.opened == 1
