"""Upgrades under load with real processes on loopback.

    PYTHONPATH=src python tests/upgrades.py --count 100 --failed 20

Clients ask at a steady rate, whatever the answers (open loop), on connections that they keep. A request
that meets a refused, reset or ended connection goes once more on a new one, as the pages allow; it is
counted. Backends count how often each request has run. Some successors fail on purpose: by a faulty file, or
killed before they serve.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import subprocess
import sys
from collections import Counter
from contextlib import suppress
from pathlib import Path
from tempfile import TemporaryDirectory

import gevent
from gevent import socket
from helpers import PeerConnection, ScriptedServer, free_address, response_bytes

from nettledeal.net.address import format_address

SRC = str(Path(__file__).parents[1] / "src")
WORK = 0.01  # what a backend takes, in seconds


class World:
    def __init__(self, folder: Path, backends: int = 3):
        self.folder = folder
        self.runs: Counter[bytes] = Counter()
        self.seen: Counter[str] = Counter()
        self.fars = [ScriptedServer(self._backend) for _ in range(backends)]
        self.place = free_address()
        entries = [
            {"instanceId": f"s{n}", "hostPort": format_address(server.address), "zone": "a"}
            for n, server in enumerate(self.fars)
        ]
        whole = {"generation": 1, "reset": True, "instances": entries}
        self.list = ScriptedServer(lambda peer: self._discovery(peer, json.dumps(whole).encode()))
        category = {"name": "b", "effect": "unsafe", "expiry": 1_000_000_000, "due_time": 400_000_000}
        self.told = {
            "name": "n1",
            "listen": format_address(self.place),
            "discovery": format_address(self.list.address),
            "known": whole,
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
            "settings": {
                "zone": 0,
                "zones": ["a"],
                "allowed": {"most_hand_offs": 2},
                "categories": [category],
            },
        }
        self.number = 0
        self.free: list[PeerConnection] = []

    def _backend(self, peer):
        while heard := peer.receive_message():
            for line in heard.split(b"\r\n"):
                if line.startswith(b"X-Request-ID: "):
                    self.runs[line[14:]] += 1
            gevent.sleep(WORK)
            peer.send(response_bytes(b"done"))

    @staticmethod
    def _discovery(peer, whole):
        heard = peer.receive_message()
        if b"watch=1" not in heard:
            peer.send(response_bytes(whole))
            return
        peer.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        with suppress(OSError):
            while True:
                peer.send(b"1\r\n\n\r\n")
                gevent.sleep(2)

    # Agents.

    def start(self, faulty=False):
        self.number += 1
        file = self.folder / f"config{self.number}.json"
        told = {**self.told, "settings": {**self.told["settings"], "zone": -1}} if faulty else self.told
        file.write_text(json.dumps(told))
        door = free_address()
        process = subprocess.Popen(
            [sys.executable, "-O", "-m", "nettledeal"],
            stderr=subprocess.DEVNULL,
            env={
                **os.environ,
                "PYTHONPATH": SRC,
                "EDGE_CONFIG": str(file),
                "EDGE_ADMIN_ADDR": format_address(door),
                "TMPDIR": str(self.folder),
            },
        )
        return process, door

    @staticmethod
    def call(door, line):
        try:
            with socket.create_connection(door, timeout=1) as sock:
                sock.settimeout(1)
                sock.sendall(line + b"\n")
                return sock.recv(200)
        except OSError:
            return b""

    def ready(self, door, within=10.0):
        with gevent.Timeout(within):
            while not self.call(door, b"health").startswith(b"+OK"):
                gevent.sleep(0.02)

    def upgrade(self, old):
        """The successor, once the old one has ended by itself."""
        new, door = self.start()
        self.ready(door)
        old.send_signal(signal.SIGTERM)
        with gevent.Timeout(4.0):
            while (code := old.poll()) is None:
                gevent.sleep(0.02)
        assert code == 0, code
        assert new.poll() is None, "only the old one may exit"
        return new, door

    def fail(self, how):
        process, _ = self.start(faulty=how == "faulty")
        if how == "killed":
            gevent.sleep(0.1)
            process.kill()
        with gevent.Timeout(10.0):
            while process.poll() is None:
                gevent.sleep(0.02)

    # Clients.

    def ask(self, id):
        head = b"POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: %b\r\nX-Priority-Class: b\r\n" % id
        asked = head + b"X-Timeout-Ms: 1000\r\nContent-Length: 2\r\n\r\nhi"
        for kept in (True, False):
            try:
                peer = (
                    self.free.pop()
                    if kept and self.free
                    else PeerConnection(socket.create_connection(self.place))
                )
                heard = peer.send(asked).receive_message()
            except OSError:
                heard = b""
            if heard:
                break
            self.seen["met an ended connection"] += 1
        else:
            self.seen["lost"] += 1
            return
        self.seen[heard[9:12].decode()] += 1
        if b"Connection: close" in heard:
            peer.sock.close()
        else:
            self.free.append(peer)

    def load(self, rate):
        n, start = 0, gevent.get_hub().loop.now()
        while True:
            n += 1
            gevent.spawn(self.ask, b"r%d" % n)
            gevent.get_hub().loop.update_now()
            gevent.sleep(max(0.0, start + n / rate - gevent.get_hub().loop.now()))


def run(count, failed, rate, folder):
    world = World(Path(folder))
    agent, door = world.start()
    world.ready(door)
    load = gevent.spawn(world.load, rate)
    gevent.sleep(0.3)
    try:
        for n in range(count):
            # Spread evenly, so that each kind of failure meets each stage of the others.
            if failed and n * failed // count != (n + 1) * failed // count:
                world.fail("faulty" if n % 2 else "killed")
            else:
                agent, door = world.upgrade(agent)
        # Orders outlive an upgrade.
        assert world.call(door, b"cordon s0").startswith(b"+OK")
        agent, door = world.upgrade(agent)
        gevent.sleep(0.3)
        before = dict(world.runs), len(world.fars[0].peers)
        gevent.sleep(0.5)
        assert len(world.fars[0].peers) == before[1], "a backend out of service was connected to"
        assert len(world.runs) > len(before[0])
        load.kill()
        gevent.sleep(1.2)
    finally:
        agent.kill()
        agent.wait()
    world.seen["asked"] = sum(world.seen[key] for key in world.seen if key.isdigit()) + world.seen["lost"]
    world.seen["run twice"] = sum(times > 1 for times in world.runs.values())
    left = [place.name for place in world.folder.iterdir() if place.name.startswith("nettledeal-")]
    assert len(left) <= 2, left
    return world.seen


def main():
    asked = argparse.ArgumentParser(description=__doc__)
    asked.add_argument("--count", type=int, default=100)
    asked.add_argument("--failed", type=int, default=20, help="of these, so many fail on purpose")
    asked.add_argument("--rate", type=float, default=200.0, help="work items a second")
    told = asked.parse_args()
    with TemporaryDirectory() as folder:
        seen = run(told.count, told.failed, told.rate, folder)
    print(json.dumps(seen, indent=1, sort_keys=True))
    return 1 if seen["lost"] or seen["run twice"] else 0


if __name__ == "__main__":
    sys.exit(main())
