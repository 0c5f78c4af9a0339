"""Upgrades under load with real processes on loopback.

    PYTHONPATH=src python tests/upgrades.py --count 100 --failed 20

Clients send requests at a steady rate, whatever the answers (open loop), on connections that they keep. A
request that meets a refused, reset or closed connection is sent once more on a new one, as the
specification allows, and counted. Backends count how often each request has run. Some successors fail on
purpose: by an invalid file, or killed before they serve.
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
SERVICE_TIME_S = 0.01


class UpgradeRig:
    def __init__(self, folder: Path, backend_count: int = 3):
        self.folder = folder
        self.executions: Counter[bytes] = Counter()
        self.counts: Counter[str] = Counter()
        self.backends = [ScriptedServer(self._backend) for _ in range(backend_count)]
        self.listen_address = free_address()
        entries = [
            {"instanceId": f"s{n}", "hostPort": format_address(server.address), "zone": "a"}
            for n, server in enumerate(self.backends)
        ]
        catalogue = {"generation": 1, "reset": True, "instances": entries}
        self.discovery = ScriptedServer(lambda peer: self._discovery(peer, json.dumps(catalogue).encode()))
        category = {"name": "b", "effect": "unsafe", "expiry": 1_000_000_000, "due_time": 400_000_000}
        self.config = {
            "name": "n1",
            "listen": format_address(self.listen_address),
            "discovery": format_address(self.discovery.address),
            "known": catalogue,
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
            "settings": {
                "zone": 0,
                "zones": ["a"],
                "allowed": {"most_hand_offs": 2},
                "categories": [category],
            },
        }
        self.started_count = 0
        self.idle_connections: list[PeerConnection] = []

    def _backend(self, peer):
        while received := peer.receive_message():
            for line in received.split(b"\r\n"):
                if line.startswith(b"X-Request-ID: "):
                    self.executions[line[14:]] += 1
            gevent.sleep(SERVICE_TIME_S)
            peer.send(response_bytes(b"done"))

    @staticmethod
    def _discovery(peer, catalogue):
        received = peer.receive_message()
        if b"watch=1" not in received:
            peer.send(response_bytes(catalogue))
            return
        peer.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        with suppress(OSError):
            while True:
                peer.send(b"1\r\n\n\r\n")
                gevent.sleep(2)

    # Agents.

    def start(self, invalid=False):
        self.started_count += 1
        file = self.folder / f"config{self.started_count}.json"
        config = (
            {**self.config, "settings": {**self.config["settings"], "zone": -1}} if invalid else self.config
        )
        file.write_text(json.dumps(config))
        admin_address = free_address()
        process = subprocess.Popen(
            [sys.executable, "-O", "-m", "nettledeal"],
            stderr=subprocess.DEVNULL,
            env={
                **os.environ,
                "PYTHONPATH": SRC,
                "EDGE_CONFIG": str(file),
                "EDGE_ADMIN_ADDR": format_address(admin_address),
                "TMPDIR": str(self.folder),
            },
        )
        return process, admin_address

    @staticmethod
    def send_admin_command(admin_address, line):
        try:
            with socket.create_connection(admin_address, timeout=1) as sock:
                sock.settimeout(1)
                sock.sendall(line + b"\n")
                return sock.recv(200)
        except OSError:
            return b""

    def wait_until_ready(self, admin_address, within=10.0):
        with gevent.Timeout(within):
            while not self.send_admin_command(admin_address, b"health").startswith(b"+OK"):
                gevent.sleep(0.02)

    def upgrade(self, old):
        """Start a successor, stop the old process and return the successor once the old one has exited."""
        new, admin_address = self.start()
        self.wait_until_ready(admin_address)
        old.send_signal(signal.SIGTERM)
        with gevent.Timeout(4.0):
            while (code := old.poll()) is None:
                gevent.sleep(0.02)
        assert code == 0, code
        assert new.poll() is None, "only the old one may exit"
        return new, admin_address

    def fail_start(self, how):
        process, _ = self.start(invalid=how == "invalid")
        if how == "killed":
            gevent.sleep(0.1)
            process.kill()
        with gevent.Timeout(10.0):
            while process.poll() is None:
                gevent.sleep(0.02)

    # Clients.

    def send_request(self, id):
        head = b"POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: %b\r\nX-Priority-Class: b\r\n" % id
        request = head + b"X-Timeout-Ms: 1000\r\nContent-Length: 2\r\n\r\nhi"
        for kept in (True, False):
            try:
                peer = (
                    self.idle_connections.pop()
                    if kept and self.idle_connections
                    else PeerConnection(socket.create_connection(self.listen_address))
                )
                received = peer.send(request).receive_message()
            except OSError:
                received = b""
            if received:
                break
            self.counts["met an ended connection"] += 1
        else:
            self.counts["lost"] += 1
            return
        self.counts[received[9:12].decode()] += 1
        if b"Connection: close" in received:
            peer.sock.close()
        else:
            self.idle_connections.append(peer)

    def generate_load(self, rate):
        n, start = 0, gevent.get_hub().loop.now()
        while True:
            n += 1
            gevent.spawn(self.send_request, b"r%d" % n)
            gevent.get_hub().loop.update_now()
            gevent.sleep(max(0.0, start + n / rate - gevent.get_hub().loop.now()))


def run(count, failed, rate, folder):
    rig = UpgradeRig(Path(folder))
    agent, admin_address = rig.start()
    rig.wait_until_ready(admin_address)
    load = gevent.spawn(rig.generate_load, rate)
    gevent.sleep(0.3)
    try:
        for n in range(count):
            # Spread evenly, so that each kind of failure meets each stage of the others.
            if failed and n * failed // count != (n + 1) * failed // count:
                rig.fail_start("invalid" if n % 2 else "killed")
            else:
                agent, admin_address = rig.upgrade(agent)
        # Cordons outlive an upgrade.
        assert rig.send_admin_command(admin_address, b"cordon s0").startswith(b"+OK")
        agent, admin_address = rig.upgrade(agent)
        gevent.sleep(0.3)
        before = dict(rig.executions), len(rig.backends[0].peers)
        gevent.sleep(0.5)
        assert len(rig.backends[0].peers) == before[1], "a backend out of service was connected to"
        assert len(rig.executions) > len(before[0])
        load.kill()
        gevent.sleep(1.2)
    finally:
        agent.kill()
        agent.wait()
    rig.counts["asked"] = sum(rig.counts[key] for key in rig.counts if key.isdigit()) + rig.counts["lost"]
    rig.counts["run twice"] = sum(times > 1 for times in rig.executions.values())
    remaining = [path.name for path in rig.folder.iterdir() if path.name.startswith("nettledeal-")]
    assert len(remaining) <= 2, remaining
    return rig.counts


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=100)
    parser.add_argument("--failed", type=int, default=20, help="how many of these fail on purpose")
    parser.add_argument("--rate", type=float, default=200.0, help="requests per second")
    arguments = parser.parse_args()
    with TemporaryDirectory() as folder:
        counts = run(arguments.count, arguments.failed, arguments.rate, folder)
    print(json.dumps(counts, indent=1, sort_keys=True))
    return 1 if counts["lost"] or counts["run twice"] else 0


if __name__ == "__main__":
    sys.exit(main())
