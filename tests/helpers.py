"""A balancer with plain settings, and short ways to drive it; ends of connections for the agent's tests."""

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

SECOND = 10_000
DEFERRED, FAILED = Verdict.DEFERRED, Verdict.FAILED


def settings(**changes):
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


def fleet(zones=(0, 0, 0, 1, 1), **fields):
    return [Listing(f"b{n}", zone=zone, **fields) for n, zone in enumerate(zones)]


class Drive:
    def __init__(self, listings=None, seed=1, now=100_000, **changes):
        self.now = now
        self.balancer = Balancer(seed, settings(**changes), now)
        self.balancer.start(now)
        self.ids = 0
        if listings is None:
            listings = fleet()
        self.balancer.update_backends(now, listings, whole=True, cached=False)

    def take(self, category=0, expiry=20_000, **fields):
        self.ids += 1
        return self.balancer.submit(self.now, self.ids, category, self.now + expiry, **fields).actions

    def back(self, attempt, outcome=Outcome.FINISHED, after=800, closed=None, report=None):
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
    """A listener on loopback, its work items kept for the test to answer; None answers by itself with 200."""

    def __init__(self, most=8, hold=False, memory=1_000_000):
        self.taken, self.left, self.late = [], [], []
        self.hold = hold
        self.counters = Counters()
        self.listener = Listener(
            ("127.0.0.1", 0),
            Clock(),
            self.counters,
            ConnectionBudget(most),
            MemoryPool(memory),
            self.offer,
            self.left.append,
            self.late.append,
        )
        self.greenlet = gevent.spawn(self.listener.run)

    def offer(self, request, at, pending):
        pending.deadline = at + request.timeout
        self.taken.append((request, at, pending))
        if not self.hold:
            pending.put(HTTPStatus.OK, bytes(request.body) or b"served")
        return len(self.taken)

    def connect(self):
        return Peer(socket.create_connection(self.listener.sock.getsockname()))


class Peer:
    """The other end of a connection, for a test."""

    def __init__(self, sock):
        self.sock = sock
        sock.settimeout(5)

    def send(self, text):
        self.sock.sendall(text)
        return self

    def hear(self, end=b"\r\n\r\n"):
        """A message with the body that its head tells; what has come at the end of the connection."""
        seen = b""
        while end not in seen:
            more = self.sock.recv(65536)
            if not more:
                return seen
            seen += more
        head, _, body = seen.partition(b"\r\n\r\n")
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                while len(body) < int(line[15:]):
                    more = self.sock.recv(65536)
                    if not more:
                        return head + b"\r\n\r\n" + body
                    body += more
        return head + b"\r\n\r\n" + body


def asked(id=b"r1", method=b"POST", body=b"hi", target=b"/api", more=b""):
    length = b"Content-Length: %d\r\n" % len(body) if body else b""
    head = b"%b %b HTTP/1.1\r\nHost: s\r\nX-Request-ID: %b\r\nX-Priority-Class: b\r\n" % (method, target, id)
    return head + b"X-Timeout-Ms: 4000\r\n" + more + length + b"\r\n" + body


def free_place():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()


def until(condition, seconds=5.0):
    """Lets other greenlets run until the condition holds; a test that would hang fails instead."""
    with gevent.Timeout(seconds):
        while not condition():
            gevent.sleep(0.001)
    return True


class Far:
    """A peer to connect to: the n-th connection gets the n-th script, further ones the last."""

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
            peer = Peer(self.sock.accept()[0])
            self.peers.append(peer)
            gevent.spawn(self.scripts[min(len(self.peers), len(self.scripts)) - 1], peer)


def replies(*texts, close=False):
    """Hears a request and sends the next text, for each of them; the last of them over and over."""

    def script(peer):
        peer.heard = []
        while heard := peer.hear():
            peer.heard.append(heard)
            peer.send(texts[min(len(peer.heard), len(texts)) - 1])
            if close:
                peer.sock.close()
                return

    return script


def served(body=b"served", status=b"200 OK", more=b""):
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), more, body)
