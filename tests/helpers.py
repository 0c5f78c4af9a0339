"""Shared test helpers: a driver for the balancer, and HTTP clients and servers for the agent's tests."""

from http import HTTPStatus

import gevent
from gevent import socket

from nettledeal.model import Answer, Listing, Outcome, SendAttempt, Verdict
from nettledeal.net.clock import Clock
from nettledeal.net.counters import Counters
from nettledeal.net.transport.budget import ConnectionBudget
from nettledeal.net.transport.buffers import MemoryPool
from nettledeal.net.transport.listener import Listener
from nettledeal.policy.balancer import Balancer

SECOND = 10_000  # in tenths of a millisecond
DEFERRED, FAILED = Verdict.DEFERRED, Verdict.FAILED


def balancer_settings(**changes):
    base = {
        "balancers": 2,
        "zone": 0,
        "resolution": 10,
        "discovery": "pushed",
        "allowed.most_hand_offs": 4,
        "allowed.may_duplicate": False,
        "allowed.cancelling": True,
        "allowed.retry_after": True,
        "allowed.max_retry_after": 2 * SECOND,
        "rules.overload_factor": 3.0,
        "rules.tip_after": 3 * SECOND,
        "rules.warm_within": 8 * SECOND,
        "rules.cold_from": 0.3,
        "rules.ask_within": 10 * SECOND,
        "categories.count": 4,
    }
    effects = [("rerunnable", "all"), ("exclusive", "all"), ("ticketed", "zone"), ("ticketed", "all")]
    for n, (effect, group) in enumerate(effects):
        base |= {
            f"categories.{n}.effect": effect,
            f"categories.{n}.group": group,
            f"categories.{n}.window": 5000,
            f"categories.{n}.due_time": 10_000,
            f"categories.{n}.expiry": 20_000,
            f"categories.{n}.payoff": 4.0,
        }
    return base | {name.replace("__", "."): value for name, value in changes.items()}


def make_listings(zones=(0, 0, 0, 1, 1), **fields):
    return [Listing(f"b{n}", zone=zone, **fields) for n, zone in enumerate(zones)]


# Submits work items to a balancer and reports how their attempts end, on a clock of its own.
class BalancerDriver:
    def __init__(self, listings=None, seed=1, now=100_000, **changes):
        self.now = now
        self.balancer = Balancer(seed, balancer_settings(**changes), now)
        self.balancer.start(now)
        self.ids = 0
        if listings is None:
            listings = make_listings()
        self.balancer.update_backends(now, listings, whole=True, cached=False)

    def submit(self, category=0, expiry=20_000, **fields):
        self.ids += 1
        return self.balancer.submit(self.now, self.ids, category, self.now + expiry, **fields).actions

    def finish_attempt(self, attempt, outcome=Outcome.FINISHED, after=800, closed=None, report=None):
        self.now += after
        closed = outcome is Outcome.FINISHED if closed is None else closed
        return self.balancer.on_attempt_end(
            self.now, attempt.work_item, attempt.number, outcome, after, closed=closed, report=report or {}
        ).actions


def attempts(actions):
    return [action for action in actions if isinstance(action, SendAttempt)]


def answers(actions):
    return [action for action in actions if isinstance(action, Answer)]


class ListenerRig:
    """A running listener on loopback that records the requests it accepts.

    Each request is answered with 200 at once, or left for the test to answer with `hold_answers`.
    """

    def __init__(self, max_connections=8, hold_answers=False, memory_bytes=1_000_000):
        self.accepted, self.disconnected, self.overdue = [], [], []
        self.hold_answers = hold_answers
        self.counters = Counters()
        self.listener = Listener(
            ("127.0.0.1", 0),
            Clock(),
            self.counters,
            ConnectionBudget(max_connections),
            MemoryPool(memory_bytes),
            self.offer,
            self.disconnected.append,
            self.overdue.append,
        )
        self.greenlet = gevent.spawn(self.listener.run)

    def offer(self, request, at, pending):
        pending.deadline = at + request.timeout
        self.accepted.append((request, at, pending))
        if not self.hold_answers:
            pending.put(HTTPStatus.OK, bytes(request.body) or b"served")
        return len(self.accepted)

    def connect(self):
        return PeerConnection(socket.create_connection(self.listener.sock.getsockname()))


class PeerConnection:
    """A test's end of a connection to the code under test."""

    def __init__(self, sock):
        self.sock = sock
        sock.settimeout(5)

    def send(self, text):
        self.sock.sendall(text)
        return self

    def receive_message(self, end=b"\r\n\r\n"):
        """Reads one message with its Content-Length body, or what arrived before the connection closed."""
        received = b""
        while end not in received:
            more = self.sock.recv(65536)
            if not more:
                return received
            received += more
        head, _, body = received.partition(b"\r\n\r\n")
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                while len(body) < int(line[15:]):
                    more = self.sock.recv(65536)
                    if not more:
                        return head + b"\r\n\r\n" + body
                    body += more
        return head + b"\r\n\r\n" + body


def request_bytes(id=b"r1", method=b"POST", body=b"hi", target=b"/api", more=b""):
    length = b"Content-Length: %d\r\n" % len(body) if body else b""
    head = b"%b %b HTTP/1.1\r\nHost: s\r\nX-Request-ID: %b\r\nX-Priority-Class: b\r\n" % (method, target, id)
    return head + b"X-Timeout-Ms: 4000\r\n" + more + length + b"\r\n" + body


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()


def wait_until(condition, seconds=5.0):
    """Yields to other greenlets until the condition holds; raises gevent.Timeout instead of hanging."""
    with gevent.Timeout(seconds):
        while not condition():
            gevent.sleep(0.001)
    return True


class ScriptedServer:
    """Runs the n-th script on the n-th connection, and the last one on any further connection."""

    def __init__(self, *scripts, address=("127.0.0.1", 0)):
        self.scripts = list(scripts)
        self.peers = []
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(64)
        self.address = self.sock.getsockname()
        gevent.spawn(self._serve)

    def _serve(self):
        while True:
            peer = PeerConnection(self.sock.accept()[0])
            self.peers.append(peer)
            gevent.spawn(self.scripts[min(len(self.peers), len(self.scripts)) - 1], peer)


def reply_script(*texts, close=False):
    """A script that answers the n-th request with the n-th text, and any further request with the last."""

    def script(peer):
        peer.received = []
        while received := peer.receive_message():
            peer.received.append(received)
            peer.send(texts[min(len(peer.received), len(texts)) - 1])
            if close:
                peer.sock.close()
                return

    return script


def response_bytes(body=b"served", status=b"200 OK", more=b""):
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), more, body)
