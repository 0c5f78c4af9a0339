"""The first seconds of an agent process after a reload with settings for a different deployment.

Each stand-in backend accepts a limited number of connections: one over the limit is refused and closed. It
runs some requests without answering, like a backend that crashes. How many requests are deferred also depends
on the speed of the machine; that these are no more than after a fresh start is tested in
`test_deployment_change.py`.
"""

import json
import signal
import time
from collections import Counter
from contextlib import contextmanager

import gevent
import pytest
from helpers import (
    PeerConnection,
    ScriptedServer,
    free_address,
    request_bytes,
    response_bytes,
    socket,
    wait_until,
)
from test_program import start_agent

from nettledeal.hash_ring import stable_hash
from nettledeal.net.address import format_address

REFUSED = response_bytes(status=b"503 Full", more=b"X-Not-Processed: 1\r\n")
RULES = {"cold_from": 0.3, "warm_within": 60_000_000_000, "overload_factor": 3.0, "tip_after": 1_500_000_000}
CATEGORY = {"name": "b", "effect": "unsafe", "expiry": 4_000_000_000, "due_time": 1_000_000_000}
OLD_SETTINGS = {
    "zone": 0,
    "zones": ["a"],
    "balancers": 4,
    "rules": RULES,
    "categories": [CATEGORY],
    "allowed": {"most_hand_offs": 4},
    "tariffs": {"connection": 0.0, "cross_zone": 0.0},
}
# An agent number whose subset of backends is a warm and a cold one, plus the warm one that a cold one adds to
# it.
AGENT_NUMBER = next(
    number
    for number in range(1000)
    if [n >= 6 for n in sorted(range(10), key=lambda n: stable_hash(f"{number} s{n}"))[:3]]
    == [False, True, False]
)
NEW_SETTINGS = OLD_SETTINGS | {
    "balancers": 12,
    "me": AGENT_NUMBER,
    "tariffs": {"connection": 0.03, "cross_zone": 0.06},
}


class Fleet:
    """Ten stand-in backends; the last four have just started."""

    def __init__(self, max_connections):
        self.max_connections = max_connections
        self.runs_by_item: Counter[bytes] = Counter()  # by request id
        self.runs_by_backend: Counter[int] = Counter()  # by backend number
        self.refused = 0
        self.peers: dict[int, set] = {n: set() for n in range(10)}
        self.fars = [ScriptedServer(lambda peer, n=n: self._serve(n, peer)) for n in range(10)]

    def _serve(self, n, peer):
        peers = self.peers[n]
        peers.add(peer)
        try:
            while heard := peer.receive_message():
                if len(peers) > self.max_connections:
                    self.refused += 1
                    peer.send(REFUSED)
                    break
                id = heard.partition(b"X-Request-ID: ")[2].partition(b"\r\n")[0]
                self.runs_by_item[id] += 1
                self.runs_by_backend[n] += 1
                gevent.sleep(0.004)
                if int(id[1:]) % 10 == 7:
                    break  # it has run, but no response is sent
                peer.send(response_bytes())
        except OSError:
            pass
        finally:
            peers.discard(peer)
            peer.sock.close()

    def catalogue(self):
        # Not the event loop's time: it stands still as long as an earlier test blocks the loop.
        now = int(time.time() * 1000)
        entries = [
            {
                "instanceId": f"s{n}",
                "hostPort": format_address(server.address),
                "zone": "a",
                "startedAtMs": now if n >= 6 else 0,
            }
            for n, server in enumerate(self.fars)
        ]
        return {"generation": 1, "reset": True, "instances": entries}


@contextmanager
def agent(tmp_path, fleet, settings):
    address = free_address()
    configuration = {
        "name": "n1",
        "listen": format_address(address),
        "discovery": "127.0.0.1:1",
        "seed": "5",
        "log_level": "info",
        "known": fleet.catalogue(),
        "settings": settings,
    }
    process = start_agent(tmp_path, json.dumps(configuration).encode())
    lines = []
    try:
        assert "started" in process.stderr.readline()
        gevent.get_hub().threadpool.spawn(lambda: lines.extend(iter(process.stderr.readline, "")))
        yield process, address, configuration, lines
    finally:
        process.kill()
        process.wait()


def send_requests(address, first, count):
    """Send requests from four concurrent clients and count the statuses that they get."""
    seen = Counter()

    def ask(numbers):
        client = None
        for n in numbers:
            client = client or PeerConnection(socket.create_connection(address))
            heard = client.send(request_bytes(b"r%d" % n)).receive_message()
            seen[heard[9:12]] += 1
            if b"connection: close" in heard.lower() or not heard:
                client.sock.close()
                client = None

    clients = [gevent.spawn(ask, range(first + n, first + count, 4)) for n in range(4)]
    gevent.joinall(clients, raise_error=True)
    return seen


@pytest.mark.parametrize("max_connections", [50, 1])
def test_first_seconds_after_a_settings_switch(tmp_path, max_connections):
    fleet = Fleet(max_connections)
    with agent(tmp_path, fleet, OLD_SETTINGS) as (process, address, configuration, lines):
        send_requests(address, 0, 60)
        (tmp_path / "config.json").write_text(json.dumps(configuration | {"settings": NEW_SETTINGS}))
        items_before, runs_before = set(fleet.runs_by_item), Counter(fleet.runs_by_backend)
        process.send_signal(signal.SIGHUP)
        assert wait_until(lambda: any('"reloaded"' in line for line in lines))
        after_switch = send_requests(address, 1000, 120)
        runs_since = fleet.runs_by_backend - runs_before
    # Unsafe requests run at most once. One whose response was lost is a failure, not a retry.
    assert max(fleet.runs_by_item.values()) == 1
    # A request sent just as its backend closes the connection hasn't run, but the agent can't know that: it
    # is a failure, too, and how many there are depends on the speed of the machine. Nothing that ran is
    # deferred.
    ran = set(fleet.runs_by_item) - items_before
    closed = 120 - len(ran) - after_switch[b"503"]
    assert closed >= 0
    assert 120 - after_switch[b"200"] - after_switch[b"503"] == closed + sum(
        int(id[1:]) % 10 == 7 for id in ran
    )
    assert bool(fleet.refused) == (max_connections == 1)
    # It uses its subset only, with one more backend while the cold one takes no load. The cold one gets at
    # most this agent's share of half the overload push, given the time per request, doubled for a budget
    # window that may end in between.
    assert len(runs_since) <= 4
    assert sum(runs_since[n] for n in range(6, 10)) <= 2 * 0.5 * 3.0 * 1.5 * 0.31 / 12 / 0.004
