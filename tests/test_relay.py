"""Long messages through listener, router and pools, with test peers at both ends."""

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from helpers import SECOND, PeerConnection, ScriptedServer, balancer_settings, response_bytes, wait_until

from nettledeal.model import Listing
from nettledeal.net.clock import Clock
from nettledeal.net.counters import Counters
from nettledeal.net.protocol.catalogue import CatalogueUpdate
from nettledeal.net.routing.router import Router
from nettledeal.net.transport import answer_writer, backend_connection
from nettledeal.net.transport import listener as listener_module
from nettledeal.net.transport import relay as relay_module
from nettledeal.net.transport.backend_connection import BackendConnection
from nettledeal.net.transport.backend_pools import BackendPools
from nettledeal.net.transport.budget import ConnectionBudget
from nettledeal.net.transport.buffers import MemoryPool
from nettledeal.net.transport.listener import Listener
from nettledeal.policy.balancer import Balancer

OK = b"HTTP/1.1 200 OK\r\n"
LONG_BODY = bytes(range(256)) * 4 * 1024  # a megabyte


class Agent:
    def __init__(self, *backends, memory=2_000_000, max_body_bytes=40_000_000, max_connections=32):
        self.clock, self.counters = Clock(), Counters()
        self.requests, self.answers = MemoryPool(memory), MemoryPool(memory)
        self.pools = BackendPools(
            self.clock,
            self.counters,
            ConnectionBudget(max_connections),
            self.answers,
            max_body_bytes,
            SECOND,
            60 * SECOND,
        )
        self.router = Router(
            Balancer(1, balancer_settings(), self.clock.now()),
            self.clock,
            self.counters,
            self.pools,
            {"read": 0, "write": 1, "ticket": 3},
            {},
            {},
            100,
            probe_timeout=500,
            request_reports=False,
            subscribe=lambda: None,
        )
        names = [f"b{n}" for n in range(len(backends))]
        addresses = dict(zip(names, (server.address for server in backends), strict=True))
        self.router.start(CatalogueUpdate(1, True, [Listing(name) for name in names], addresses))
        self.listener = Listener(
            ("127.0.0.1", 0),
            self.clock,
            self.counters,
            ConnectionBudget(max_connections),
            self.requests,
            self.router.submit,
            self.router.client_left,
            self.router.answer_overdue,
            max_body_bytes,
        )
        gevent.spawn(self.router.run)
        gevent.spawn(self.listener.run)

    def connect(self):
        return PeerConnection(socket.create_connection(self.listener.sock.getsockname()))

    @property
    def is_idle(self):
        return not (
            self.router.busy or self.listener.busy or self.requests.used_bytes or self.answers.used_bytes
        )


def request(body=b"", category=b"write", id=b"r1", more=b"", length=True, version=b"1.1", method=b"POST"):
    head = b"%b /api HTTP/%b\r\nHost: s\r\nX-Request-ID: %b\r\n" % (method, version, id)
    head += b"X-Priority-Class: %b\r\n" % category
    head += b"X-Timeout-Ms: 3000\r\n" + more
    return head + (b"Content-Length: %d\r\n" % len(body) if length else b"") + b"\r\n" + body


def encode_chunks(body, size):
    pieces = (body[n : n + size] for n in range(0, len(body), size))
    return b"".join(b"%x;e=1\r\n%b\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\nX-T: 1\r\n\r\n"


def responds(*texts, close=False, pause=0.0):
    """A script that reads a request's head and sends the texts."""

    def script(peer):
        while peer.receive_message():
            for text in texts:
                peer.send(text)
                gevent.sleep(pause)
            if close:
                peer.sock.close()
                return

    return script


def read_to_end(peer):
    """Read up to the end of the connection."""
    seen = b""
    while more := peer.sock.recv(65536):
        seen += more
    return seen


def decode_body(text):
    head, _, body = text.partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" not in head.lower():
        return body
    body_so_far = b""
    while True:
        size, _, body = body.partition(b"\r\n")
        if not int(size, 16):
            assert body == b"\r\n"
            return body_so_far
        body_so_far, body = body_so_far + body[: int(size, 16)], body[int(size, 16) + 2 :]


ANSWER_FORMS = {
    "sized": (response_bytes(LONG_BODY), False),
    "chunked": (OK + b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunks(LONG_BODY, 9_999), False),
    "small chunks": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunks(LONG_BODY[:100_000], 7),
        False,
    ),
    "until close": (OK + b"Connection: close\r\n\r\n" + LONG_BODY, True),
    "HTTP/1.0": (b"HTTP/1.0 200 OK\r\n\r\n" + LONG_BODY, True),
}


@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
@pytest.mark.parametrize("form", ANSWER_FORMS)
def test_long_answer_reaches_the_client_unchanged(form, version):
    text, close = ANSWER_FORMS[form]
    agent = Agent(ScriptedServer(responds(text, close=close)))
    client = agent.connect().send(request(more=b"Connection: close\r\n", version=version))
    seen = read_to_end(client)
    assert decode_body(seen) == (LONG_BODY[:100_000] if form == "small chunks" else LONG_BODY)
    assert wait_until(lambda: agent.is_idle)
    # After a complete response the connection can be reused.
    assert agent.pools.budget.in_use == (not close)


def test_connections_are_reused_after_a_long_answer():
    server = ScriptedServer(responds(response_bytes(LONG_BODY)))
    agent = Agent(server)
    client = agent.connect()
    for n in range(3):
        assert client.send(request(id=b"r%d" % n)).receive_message().endswith(LONG_BODY)
    assert len(server.peers) == 1 == len(agent.listener.connections)


def test_first_bytes_do_not_wait_for_the_rest():
    go = gevent.event.Event()

    def script(peer):
        peer.receive_message()
        peer.send(response_bytes(LONG_BODY)[:70_000])
        go.wait()
        peer.send(response_bytes(LONG_BODY)[70_000:])

    agent = Agent(ScriptedServer(script))
    client = agent.connect().send(request().replace(b"3000", b"100"))
    assert client.sock.recv(100).startswith(OK)
    gevent.sleep(0.15)  # past its expiry: a response that is still arriving isn't cut off
    go.set()
    assert len(read_length(client, len(LONG_BODY))) >= len(LONG_BODY) - 100


def read_length(client, count):
    seen = b""
    while len(seen) < count - 100:
        seen += client.sock.recv(65536)
    return seen


def test_slow_response_of_unknown_length_is_streamed():
    head = OK + b"Transfer-Encoding: chunked\r\n\r\n"
    server = ScriptedServer(responds(head + b"2\r\nab\r\n", b"2\r\ncd\r\n", b"0\r\n\r\n", pause=0.06))
    agent = Agent(server)
    seen = agent.connect().send(request(more=b"Connection: close\r\n"))
    assert decode_body(read_to_end(seen)) == b"abcd"


@pytest.mark.parametrize(
    "text",
    [
        response_bytes(LONG_BODY)[:500_000],
        OK + b"Transfer-Encoding: chunked\r\n\r\n" + encode_chunks(LONG_BODY, 9_999)[:500_000],
        OK
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + encode_chunks(LONG_BODY, 9_999)[:500_000]
        + b"\r\nnoise\r\n",
    ],
)
def test_broken_response_is_visible_to_the_client_and_not_retried(text):
    fars = [ScriptedServer(responds(text, close=True)) for _ in range(2)]
    agent = Agent(*fars)
    seen = read_to_end(agent.connect().send(request(category=b"read")))
    assert seen.startswith(OK) and len(seen) < len(LONG_BODY)
    assert not seen.endswith(b"0\r\n\r\n")
    assert sum(len(server.peers) for server in fars) == 1
    assert wait_until(lambda: agent.is_idle and not agent.pools.budget.in_use)


def test_slow_reader_throttles_the_sender_and_takes_one_buffer():
    sent = [0]

    def script(peer):
        peer.receive_message()
        peer.send(OK + b"Content-Length: 30000000\r\n\r\n")
        for _ in range(3000):
            peer.send(bytes(10_000))
            sent[0] += 10_000

    agent = Agent(ScriptedServer(script))
    client = agent.connect()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    client.send(request())
    assert client.sock.recv(100)
    gevent.sleep(0.1)
    assert sent[0] < 15_000_000
    assert agent.answers.used_bytes <= 2 * 64 * 1024
    client.sock.close()  # disconnects midway: the backend's connection is closed as well
    assert wait_until(lambda: agent.is_idle and not agent.pools.budget.in_use)


@pytest.mark.parametrize("stalling_side", ["backend", "client"])
def test_stalled_relay_is_ended_and_counted(stalling_side, monkeypatch):
    monkeypatch.setattr(relay_module, "STALL_TIMEOUT_S", 0.1)
    monkeypatch.setattr(relay_module, "CROWDED_STALL_TIMEOUT_S", 0.05)

    def script(peer):
        peer.receive_message()
        peer.send(OK + b"Content-Length: 30000000\r\n\r\n" + bytes(100_000))
        if stalling_side == "client":
            while True:
                peer.send(bytes(100_000))
        gevent.sleep(60)

    agent = Agent(ScriptedServer(script))
    client = agent.connect().send(request())
    assert wait_until(lambda: agent.counters["relays of answers stalled"] == 1)
    assert wait_until(lambda: not agent.pools.budget.in_use)
    client.sock.close()


def test_body_beyond_the_limit_fails_within_bounded_memory():
    agent = Agent(
        ScriptedServer(responds(OK + b"Content-Length: 3000000000\r\n\r\n" + bytes(90_000))),
        max_body_bytes=2_000_000,
    )
    assert agent.connect().send(request()).receive_message().startswith(b"HTTP/1.1 502 ")

    def endless(peer):
        peer.receive_message()
        peer.send(OK + b"Transfer-Encoding: chunked\r\n\r\n")
        while True:
            peer.send(b"2000\r\n" + bytes(8192) + b"\r\n")

    agent = Agent(ScriptedServer(endless), max_body_bytes=500_000)
    seen = read_to_end(agent.connect().send(request()))
    assert len(seen) < 600_000 and not seen.endswith(b"0\r\n\r\n")


def test_long_answer_to_a_disconnected_client_frees_its_connection():
    asked = []

    def long_answer(peer):
        asked.append(peer.receive_message())
        peer.send(response_bytes(32 * LONG_BODY))  # more than fits the buffers of a connection
        gevent.sleep(60)

    agent = Agent(ScriptedServer(long_answer))
    client = agent.connect().send(request())
    # Only after the attempt was sent: nothing is sent for a client that has already disconnected.
    assert wait_until(lambda: asked)
    client.sock.close()
    assert wait_until(lambda: agent.is_idle and not agent.pools.budget.in_use)


class Backend(ScriptedServer):
    """Reads complete requests and answers with the lengths of their bodies."""

    def __init__(self, answer=None, stop_after=None):
        self.bodies, self.heads, self.answer, self.stop_after = [], [], answer, stop_after
        super().__init__(self._serve_one)

    def _serve_one(self, peer):
        rest = b""
        while True:
            while b"\r\n\r\n" not in rest:
                more = peer.sock.recv(65536)
                if not more:
                    return
                rest += more
            head, _, rest = rest.partition(b"\r\n\r\n")
            self.heads.append(head)
            body, rest, is_complete = self._read_body(peer, head, rest)
            if not is_complete:
                return
            self.bodies.append(body)
            peer.send(response_bytes(b"%d" % len(body)))

    def _read_body(self, peer, head, rest):
        chunked = b"transfer-encoding: chunked" in head.lower()
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line[15:])
        while not (rest.endswith(b"0\r\n\r\n") if chunked else len(rest) >= length):
            if self.stop_after is not None and len(rest) >= self.stop_after:
                if self.answer:
                    peer.send(self.answer)
                    gevent.sleep(0.05)
                peer.sock.close()
                return b"", b"", False
            more = peer.sock.recv(65536)
            if not more:
                return b"", b"", False
            rest += more
        if chunked:
            return decode_body(head + b"\r\n\r\n" + rest), b"", True
        return rest[:length], rest[length:], True


@pytest.mark.parametrize("form", ["sized", "chunked", "sized, expect continue"])
@pytest.mark.parametrize("size", [70_000, len(LONG_BODY)])
def test_long_request_reaches_the_backend_unchanged(form, size):
    server = Backend()
    agent = Agent(server)
    client = agent.connect()
    body = LONG_BODY[:size]
    for n in range(2):
        id = b"r%d" % n
        if form == "sized":
            client.send(request(body, id=id))
        elif form == "chunked":
            head = request(id=id, more=b"Transfer-Encoding: chunked\r\n", length=False)
            client.send(head + encode_chunks(body, 5_000))
        else:
            text = request(body, id=id, more=b"Expect: 100-continue\r\n")
            client.send(text[:-size])
            assert client.receive_message().startswith(b"HTTP/1.1 100 ")
            client.send(text[-size:])
        assert client.receive_message().endswith(b"%d" % size)
    assert server.bodies == [body, body]
    assert wait_until(lambda: agent.is_idle)


def test_request_pipelined_after_a_long_one_is_not_lost():
    server = Backend()
    agent = Agent(server)
    client = agent.connect().send(request(LONG_BODY, id=b"r1") + request(b"two", id=b"r2"))
    seen = client.receive_message(end=b"Content-Length: 1")
    while seen.count(b"HTTP/1.1 200") < 2:
        seen += client.sock.recv(1000)
    assert wait_until(lambda: server.bodies == [LONG_BODY, b"two"])


def test_timeout_of_an_upload_starts_at_its_last_byte():
    server = Backend()
    agent = Agent(server)
    text = request(LONG_BODY[:100_000]).replace(b"3000", b"150")
    client = agent.connect().send(text[:60_000])
    gevent.sleep(0.2)  # more than it may wait for the answer
    assert client.send(text[60_000:]).receive_message().endswith(b"100000")
    # The backend is told that timeout, without the allowance for uploads.
    assert b"X-Timeout-Ms: 14" in server.heads[0]


def test_upload_that_breaks_before_its_last_byte_is_deferred_and_not_resent():
    fars = [Backend(stop_after=200_000) for _ in range(2)]
    agent = Agent(*fars)
    client = agent.connect()
    writer = gevent.spawn(client.send, request(LONG_BODY))
    assert client.receive_message().startswith(b"HTTP/1.1 503 ")
    writer.join(5)
    assert writer.successful(), "the rest of the upload was read; otherwise there would have been a reset"
    assert sum(len(server.heads) for server in fars) == 1
    assert wait_until(lambda: agent.is_idle)


def test_upload_refused_by_the_backend_midway_has_not_run():
    full = response_bytes(b"", status=b"503 Full", more=b"X-Not-Processed: 1\r\n")
    agent = Agent(Backend(answer=full, stop_after=200_000))
    client = agent.connect()
    gevent.spawn(client.send, request(LONG_BODY))
    assert client.receive_message().startswith(b"HTTP/1.1 503 ")
    assert wait_until(lambda: agent.is_idle)


def test_backend_that_stops_reading_an_upload_times_out(monkeypatch):
    monkeypatch.setattr(backend_connection, "STALL_TIMEOUT_S", 0.05)
    reached = []

    def script(peer):
        reached.append(peer.sock.recv(1000))
        gevent.sleep(60)

    agent = Agent(ScriptedServer(script), ScriptedServer(script))
    client = agent.connect()
    writer = gevent.spawn(client.send, request(bytes(30_000_000)))
    assert client.receive_message().startswith(b"HTTP/1.1 503 ")
    assert len(reached) == 1
    writer.kill()
    client.sock.close()
    assert wait_until(lambda: agent.is_idle and not agent.pools.budget.in_use)


def test_upload_goes_elsewhere_while_none_of_it_was_read():
    dead = socket.socket()
    dead.bind(("127.0.0.1", 0))
    server = Backend()
    down = type("Down", (), {"address": dead.getsockname()})
    agent = Agent(down, down, server)
    for n in range(8):
        assert (
            agent.connect()
            .send(request(LONG_BODY, id=b"r%d" % n))
            .receive_message()
            .endswith(b"%d" % len(LONG_BODY))
        )
    assert server.bodies == [LONG_BODY] * 8


@pytest.mark.parametrize("end", ["closes", "stops", "garbles"])
def test_incomplete_upload_does_not_count_against_the_backend(end, monkeypatch):
    monkeypatch.setattr(relay_module, "UPLOAD_GRACE_S", 0.05)
    monkeypatch.setattr(relay_module, "MIN_UPLOAD_BYTES_PER_S", 10_000_000)
    server = Backend()
    agent = Agent(server)
    if end == "garbles":
        text = request(more=b"Transfer-Encoding: chunked\r\n", length=False) + encode_chunks(
            LONG_BODY[:300_000], 5_000
        )
        client = agent.connect().send(text.removesuffix(b"0\r\nX-T: 1\r\n\r\n") + b"zz\r\n\r\n")
        assert client.receive_message().startswith(b"HTTP/1.1 400 ")
    else:
        client = agent.connect().send(request(LONG_BODY)[:300_000])
        if end == "closes":
            client.sock.close()
        else:
            assert client.receive_message().startswith(b"HTTP/1.1 408 ")
    assert wait_until(lambda: agent.is_idle and not agent.pools.budget.in_use)
    assert not server.bodies
    b = agent.router.balancer.state.backends["b0"]
    assert not b.distrust and not b.in_flight


def test_slow_uploads_hold_only_their_first_bytes_and_one_buffer():
    server = Backend()
    agent = Agent(server, max_connections=64)
    clients = []
    while len(clients) < 20:
        clients.append(agent.connect().send(request(LONG_BODY, id=b"r%d" % len(clients))[:100_000]))
        assert wait_until(lambda: len(server.heads) == len(clients))
    gevent.sleep(0.02)
    assert agent.requests.used_bytes <= 20 * 100 * 1024
    # Usual clients are still served.
    assert agent.connect().send(request(b"hi", id=b"usual")).receive_message().endswith(b"2")
    for client in clients:
        client.sock.close()
    assert wait_until(lambda: agent.is_idle)


def test_head_requests_get_a_head_only():
    def script(peer):
        while heard := peer.receive_message():
            assert heard.startswith(b"HEAD ")
            peer.send(OK + b"Content-Length: 900\r\nX-A: 1\r\n\r\n")

    client = Agent(ScriptedServer(script)).connect()
    for n in range(2):
        client.send(request(id=b"r%d" % n, method=b"HEAD", length=False, category=b"read"))
        seen = b""
        while b"\r\n\r\n" not in seen:
            seen += client.sock.recv(4096)
        assert seen.startswith(OK) and seen.endswith(b"\r\n\r\n") and b"X-A: 1" in seen
        assert b"Content-Length: 900" in seen


def test_hundreds_of_slow_clients_do_not_block_usual_ones(monkeypatch):
    # Timeouts a twentieth of the real ones, and as many clients at once.
    monkeypatch.setattr(relay_module, "STALL_TIMEOUT_S", 0.75)
    monkeypatch.setattr(relay_module, "CROWDED_STALL_TIMEOUT_S", 0.1)
    monkeypatch.setattr(listener_module, "SLOW_REQUEST_TENTHS", SECOND // 20)
    monkeypatch.setattr(listener_module, "SLOW_READER_TENTHS", SECOND // 10)
    monkeypatch.setattr(answer_writer, "DRAIN_TIMEOUT_S", 0.3 / 20)

    def script(peer):
        while heard := peer.receive_message():
            long = b"ID: reader" in heard
            peer.send(
                OK + b"Content-Length: 9000000\r\n\r\n" + bytes(9_000_000) if long else response_bytes(b"ok")
            )

    agent = Agent(ScriptedServer(script), ScriptedServer(script), max_connections=48, memory=8_000_000)
    agent.pools.crowded = lambda: agent.listener.crowded
    slow = []
    for n in range(240):
        client = agent.connect()
        match n % 3:
            case 0:  # sends half of a long body and no more
                client.send(request(LONG_BODY, id=b"writer%d" % n)[:70_000])
            case 1:  # reads nothing of a long answer
                client.send(request(id=b"reader%d" % n))
            case 2:  # sends an incomplete head
                client.send(b"POST /api HTTP/1.1\r\nX-Req")
        slow.append(client)
        if n % 12 == 0:
            gevent.sleep(0.06)
            usual = agent.connect()
            heard = usual.send(request(b"hi", id=b"usual%d" % n)).receive_message()
            assert heard.endswith(b"ok"), (n, heard, agent.counters)
            usual.sock.close()
    assert agent.requests.used_bytes < 4_000_000 and agent.answers.used_bytes < 4_000_000
    for client in slow:
        client.sock.close()


class RecordingBackend(ScriptedServer):
    """Records complete heads and answers each with the next text, the last text repeatedly."""

    def __init__(self, *texts):
        self.texts, self.received, self.go = list(texts), [], Event()
        super().__init__(self._serve_one)

    def _serve_one(self, peer):
        while head := peer.receive_message():
            self.received.append(head)
            self.go.wait()
            peer.send(self.texts[min(len(self.received), len(self.texts)) - 1])


FULL = response_bytes(status=b"503 Full", more=b"X-Not-Processed: 1\r\n")


@pytest.mark.parametrize("category", [b"read", b"write"])
@pytest.mark.parametrize("behind", [b"", request(id=b"r2"), 100_000 * b"x"])
def test_no_attempt_begins_for_a_client_that_has_disconnected(category, behind):
    server = RecordingBackend(response_bytes())
    agent = Agent(server)
    # The request and the close are in the kernel before the agent reads for the first time.
    agent.connect().send(request(category=category) + behind).sock.close()
    assert wait_until(lambda: agent.router.submitted and agent.is_idle)
    assert not server.received


@pytest.mark.parametrize("behind", [b"", request(id=b"r2"), 60_000 * b"x"])
def test_no_further_attempt_begins_after_the_client_has_disconnected(behind):
    backends = RecordingBackend(FULL), RecordingBackend(FULL)
    agent = Agent(*backends)
    client = agent.connect().send(request())
    assert wait_until(lambda: any(server.received for server in backends))
    # Pipelined bytes come before the close and hide it from a peek at the next byte.
    client.send(behind)
    gevent.sleep(0)
    client.sock.close()
    for server in backends:
        server.go.set()
    assert wait_until(lambda: agent.is_idle)
    assert sum(len(server.received) for server in backends) == 1


def test_disconnect_during_an_upload_ends_its_exchange():
    begun = []

    def swallow(peer):
        begun.append(peer.sock.recv(100))
        while peer.sock.recv(65536):
            pass

    agent = Agent(ScriptedServer(swallow))
    client = agent.connect().send(request(more=b"Content-Length: 5000000\r\n", length=False) + 200_000 * b"x")
    assert wait_until(lambda: begun)
    client.sock.close()
    assert wait_until(lambda: agent.is_idle and not agent.pools.budget.in_use)


def test_retry_that_connects_after_its_window_is_not_sent(monkeypatch):
    backends = [RecordingBackend(response_bytes(status=b"500 Oops")) for _ in range(2)]
    agent, up, original = Agent(*backends), Event(), BackendConnection._connect

    def late(connection):
        if agent.counters["backend connections opened"]:
            up.wait()
        original(connection)

    monkeypatch.setattr(BackendConnection, "_connect", late)
    client = agent.connect().send(request(category=b"ticket"))
    assert wait_until(lambda: any(server.received for server in backends))
    heard = agent.clock.now()
    for server in backends:
        server.go.set()
    # The retry is decided within the half second in which repeats are deduplicated, but connects after it.
    assert wait_until(lambda: agent.clock.now() > heard + 5000)
    up.set()
    assert client.receive_message().startswith(b"HTTP/1.1 503 ")
    assert sum(len(server.received) for server in backends) == 1
    assert agent.counters["repeats past their window before they were sent"] == 1
