"""Replicas of the control state in one process, on real loopback sockets and disks."""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import contextmanager
from pathlib import Path

import gevent
import msgspec
from gevent import socket

from nettledeal.common.errors import ServingError
from nettledeal.common.seeds import SeedList
from nettledeal.common.settings import Bounds, FaultTolerance, Listen, Settings
from nettledeal.control.node import ControlNode
from nettledeal.control.state import ControlState, Outcome
from nettledeal.standins.layout import write_settings

HOSTS = ["127.0.7.1", "127.0.7.2", "127.0.7.3"]
PATIENCE_S = 8.0
ONE_MACHINE = FaultTolerance(machines=1, zones=1)
NOTHING = FaultTolerance(machines=0, zones=0)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOSTS[0], 0))
        return probe.getsockname()[1]


def settings_for(host: str, port: int, bootstrap: bool = True) -> Settings:
    zone = f"zone-{host[-1]}"
    return Settings(
        node_name=host,
        role="control-plane",
        machine_class="core",
        serves=[],
        ip=host,
        zone=zone,
        region="north",
        port_range=(port, port + 5),
        seeds=[f"{host}:9000" for host in HOSTS],
        zones={zone: "north"},
        bootstrap=bootstrap,
        counts_for_quorum=True,
        listen=Listen(control_plane=f"{host}:9000"),
        fault_tolerance=ONE_MACHINE,
        bounds=Bounds(),
    )


def await_that(condition) -> None:
    with gevent.Timeout(PATIENCE_S):
        while not condition():
            gevent.sleep(0.01)


class Cluster:
    def __init__(self, folder):
        self.folder = folder
        self.port = free_port()
        self.nodes: dict[str, ControlNode] = {}

    def start(
        self,
        host: str,
        bootstrap: bool = True,
        disk: str = "first",
        seeds: Iterable[str] = HOSTS,
        member_hosts: Iterable[str] = (),
        tolerance: FaultTolerance = ONE_MACHINE,
        settings_file: Path | None = None,
    ) -> ControlNode:
        """Start a replica.

        `member_hosts` is what membership names, and may change later; `settings_file` is written with the
        settings, and checked for other seeds.
        """
        settings = msgspec.structs.replace(
            settings_for(host, self.port, bootstrap),
            seeds=[f"{seed}:9000" for seed in seeds],
            fault_tolerance=tolerance,
        )
        if settings_file is not None:
            write_settings(settings, settings_file)
        seed_list = SeedList(settings, settings_file)
        seed_list.start()
        node = ControlNode(settings, self.folder / f"{host}-{disk}", seed_list)
        node.use_member_hosts(lambda: tuple(member_hosts))
        node.start()
        self.nodes[host] = node
        return node

    def crash(self, host: str) -> None:
        self.nodes.pop(host).abort()

    def primary(self) -> ControlNode:
        found = []

        def settled() -> bool:
            found[:] = [node for node in self.nodes.values() if node.is_primary]
            return len(found) == 1 and found[0].confirmed_age_s() < PATIENCE_S

        await_that(settled)
        return found[0]

    def submit(self, command) -> Outcome:
        return self._ask_primary(lambda primary: primary.submit(command, 1.0))

    def read(self) -> ControlState:
        return self._ask_primary(lambda primary: primary.read(1.0))

    def _ask_primary(self, ask):
        """Retry as callers do: a primary whose epoch isn't stored yet is temporarily unavailable."""
        with gevent.Timeout(PATIENCE_S):
            while True:
                try:
                    return ask(self.primary())
                except ServingError:
                    gevent.sleep(0.02)

    def stop(self) -> None:
        for node in self.nodes.values():
            node.abort()


@contextmanager
def cluster_in(folder, bootstrapped: int = 3):
    cluster = Cluster(folder)
    for host in HOSTS[:bootstrapped]:
        cluster.start(host)
    try:
        yield cluster
    finally:
        cluster.stop()
