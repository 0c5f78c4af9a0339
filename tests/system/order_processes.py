"""Fault injection for operators' commands to real core processes; runs as a module with given seeds.

Processes are killed, suspended, restarted, lose their disks, or are partitioned in both directions or one.
All answers of all machines are recorded in a history, which is checked for linearizability at the end.
"""

from __future__ import annotations

import shutil
import sys
import time
from collections.abc import Sequence
from http import HTTPMethod
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

import gevent

from nettledeal.common.addresses import Address
from nettledeal.common.errors import ServingError
from nettledeal.common.http_client import HttpClient
from nettledeal.common.settings import Bounds
from nettledeal.operator_api.api import CONFIGURATION_PATH, EVACUATIONS_PATH
from nettledeal.standins import cut_program
from nettledeal.standins.cut_program import cuts_path
from nettledeal.standins.layout import Layout, Network, Zone
from nettledeal.standins.processes import SystemProcess, wait_until
from nettledeal.standins.small_system import SmallSystem
from tests.system.operator_api_support import make_body
from tests.system.order_history import FOREVER, Answer, Evacuation, History, Put, Read

PROGRAM = Path(cut_program.__file__)
BOUNDS = Bounds(contact_ms=2000.0, ack_ms=2000.0, grace_s=4.0)
CALL_TIMEOUT_S = 1.2
OPERATORS = 4
ORDERS_DURING_OUTAGE = 300
FAULTS = ("kill", "freeze", "restart", "lose_disk", "cut", "cut")
SETTLE_S = 8.0
ANSWERS = {200: Answer.ACKNOWLEDGED, 400: Answer.REFUSED, 412: Answer.REFUSED}
FIRST_BODY = make_body(1)


class Operator:
    """Sends commands, each to random machines until it gets a definite answer, and reads in between."""

    def __init__(self, name: str, trial: Trial):
        self.name, self.trial = name, trial
        self.random = Random(trial.random.getrandbits(64))
        self.version = 1
        self.count = 0

    def run(self) -> None:
        while not self.trial.over:
            choice = self.random.random()
            if choice < 0.4:
                self.read(self.any_address())
            elif choice < 0.5:
                self.evacuate()
            else:
                self.order()
            gevent.sleep(self.random.random() * 0.1)

    def any_address(self) -> Address:
        return self.random.choice(self.trial.addresses)

    def order(self) -> None:
        self.count += 1
        expected, generation = self.version, self.version + self.random.randint(1, 3)
        body = make_body(generation, mood=f"{self.name}.{self.count}")
        answer = Answer.UNCLEAR
        while answer is Answer.UNCLEAR and not self.trial.over:
            answer = self.put(self.any_address(), body, expected, generation)
        if answer is Answer.ACKNOWLEDGED:
            self.version = generation
            if self.random.random() < 0.3:
                self.put(self.any_address(), body, expected, generation)
        elif answer is Answer.REFUSED:
            self.read(self.any_address())

    def put(self, address: Address, body: bytes, expected: int, generation: int) -> Answer:
        history, began, name = self.trial.history, time.monotonic(), body.decode()
        position = len(history.puts)
        history.puts.append(Put(name, expected, generation, began, FOREVER, Answer.UNCLEAR))
        status = self.call(address, HTTPMethod.PUT, CONFIGURATION_PATH, body, expected)
        answer = ANSWERS.get(status, Answer.UNCLEAR)
        # Simulates an answer that is lost on its way.
        if self.random.random() < 0.2:
            answer = Answer.UNCLEAR
        history.puts[position] = Put(name, expected, generation, began, time.monotonic(), answer)
        return answer

    def read(self, address: Address) -> None:
        began = time.monotonic()
        self.body = b""
        if self.call(address, HTTPMethod.GET, CONFIGURATION_PATH) == 200:
            self.trial.history.reads.append(Read(self.body.decode(), began, time.monotonic()))
            self.version = self.trial.generations.get(self.body, self.version)

    def evacuate(self) -> None:
        zone, evacuated = str(self.random.choice(list(Zone))), self.random.random() < 0.5
        history, began = self.trial.history, time.monotonic()
        position = len(history.evacuations)
        history.evacuations.append(Evacuation(zone, evacuated, began, FOREVER, Answer.UNCLEAR))
        method = HTTPMethod.POST if evacuated else HTTPMethod.DELETE
        status = self.call(self.any_address(), method, EVACUATIONS_PATH + zone)
        answer = ANSWERS.get(status, Answer.UNCLEAR)
        history.evacuations[position] = Evacuation(zone, evacuated, began, time.monotonic(), answer)

    def call(
        self, address: Address, method: HTTPMethod, path: str, body: bytes = b"", expected: int = 0
    ) -> int:
        """The status after at most one redirect; 0 if there is no answer."""
        if body:
            self.trial.generations[body] = self.trial.generation_of(body)
        for _ in range(2):
            client = HttpClient(address)
            try:
                response = client.request(method, path, CALL_TIMEOUT_S, body, {"If-Match": str(expected)})
            except ServingError:
                return 0
            finally:
                client.close()
            if response.status != 307:
                self.body = response.body
                return response.status
            host = response.headers["location"].split("/")[2].partition(":")[0]
            address = next(known for known in self.trial.addresses if known.host == host)
        return 0


class Trial:
    """Runs operators against the core machines of a small system under injected faults."""

    def __init__(self, seed: int, folder: Path, network: int = 0, program: Path = PROGRAM):
        self.random = Random(f"{seed} processes")
        layout = Layout(Network.of_this_process(network), edges=0, bounds=BOUNDS)
        self.system = SmallSystem(layout, folder, [])
        self.addresses = layout.core_addresses
        self.history = History()
        self.generations: dict[bytes, int] = {}
        self.over = False
        self.fault_count = 0
        for process in self.system.processes:
            process.program = program

    @staticmethod
    def generation_of(body: bytes) -> int:
        return int(body.partition(b'"generation":')[2].partition(b",")[0].partition(b"}")[0])

    def play(self, length_s: float, faults: Sequence[str] = FAULTS) -> list[str]:
        """Run for this long; returns the violations found in the history."""
        self.system.start()
        began = time.monotonic()
        self.system.operator.put_configuration(FIRST_BODY, 0)
        self.history.puts.append(Put(FIRST_BODY.decode(), 0, 1, began, time.monotonic(), Answer.ACKNOWLEDGED))
        self.generations[FIRST_BODY] = 1
        operators = [Operator(f"o{number}", self) for number in range(OPERATORS)]
        greenlets = [gevent.spawn(operator.run) for operator in operators]
        ends_at = time.monotonic() + length_s
        while time.monotonic() < ends_at:
            gevent.sleep(0.5 + self.random.random())
            self.inject_fault(faults)
        self.wait_until_in_sync()
        gevent.sleep(1.0)
        self.over = True
        gevent.joinall(greenlets, raise_error=True)
        status = self.system.primary_status()
        return self.history.faults(frozenset(status.control.evacuated_zones))

    def wait_until_in_sync(self) -> None:
        wait_until(
            lambda: len(self.system.primary_status().epoch.in_sync) == len(self.system.cores),
            30.0,
            "all cores are in sync",
        )

    def inject_fault(self, faults: Sequence[str]) -> None:
        """Inject one fault and wait for recovery: only one machine may be lost at a time."""
        self.fault_count += 1
        victim = self.random.choice(self.system.cores)
        if self.random.random() < 0.6:
            victim = self.primary_or_else(victim)
        getattr(self, self.random.choice(faults))(victim)
        self.wait_until_in_sync()

    def primary_or_else(self, other: SystemProcess) -> SystemProcess:
        try:
            return self.system.primary()
        except ServingError:
            return other

    def backup_outage(self, other: SystemProcess) -> None:
        """A backup misses hundreds of changes; soon after it has caught up, the primary is killed."""
        primary = self.primary_or_else(other)
        backup = next(core for core in self.system.cores if core is not primary)
        backup.kill()
        before = len(self.history.puts)
        wait_until(lambda: len(self.history.puts) > before + ORDERS_DURING_OUTAGE, 30.0, "orders are sent")
        backup.start()
        self.wait_until_in_sync()
        primary.kill()
        gevent.sleep(self.random.random() * 2)
        primary.start()

    def kill(self, process: SystemProcess) -> None:
        process.kill()
        gevent.sleep(self.random.random() * 2)
        process.start()

    def freeze(self, process: SystemProcess) -> None:
        process.freeze()
        gevent.sleep(self.random.random() * 5)
        process.thaw()

    def restart(self, process: SystemProcess) -> None:
        process.terminate()
        process.wait(10.0)
        process.start()

    def lose_disk(self, process: SystemProcess) -> None:
        process.kill()
        shutil.rmtree(self.system.folder / process.name)
        self.system.restart_cores()

    def cut(self, process: SystemProcess) -> None:
        """Partition one machine from the others, in both directions or one."""
        directions = self.random.choice((("in", "out"), ("in",), ("out",)))
        self.partition(
            process, directions, self.random.choice((1.0, 4.0, 8.0)) * (0.5 + self.random.random())
        )

    def isolate_primary(self, other: SystemProcess) -> None:
        """Partition the primary from the others in both directions."""
        self.partition(self.primary_or_else(other), ("in", "out"), 5.0)

    def partition(self, process: SystemProcess, directions: Sequence[str], span_s: float) -> None:
        """Cut these directions of a process at both ends, then heal them."""
        hosts = {core: self.system.layout.core_host(number) for number, core in enumerate(self.system.cores)}
        opposite = {"in": "out", "out": "in"}
        for core, host in hosts.items():
            if core is process:
                lines = [
                    f"{direction} {other}"
                    for direction in directions
                    for other in hosts.values()
                    if other != host
                ]
            else:
                lines = [f"{opposite[direction]} {hosts[process]}" for direction in directions]
            cuts_path(core.settings_path).write_text("\n".join(lines))
        gevent.sleep(span_s)
        for core in hosts:
            cuts_path(core.settings_path).write_text("")


def main() -> int:
    """`python -m tests.system.order_processes SECONDS SEED...`"""
    failed_seeds = 0
    for seed in map(int, sys.argv[2:]):
        with TemporaryDirectory() as folder:
            trial = Trial(seed, Path(folder))
            try:
                violations = trial.play(float(sys.argv[1]))
            finally:
                trial.system.stop()
        failed_seeds += bool(violations)
        history = trial.history
        print(
            f"seed {seed}: {trial.fault_count} troubles, {len(history.puts)} orders,",
            f"{len(history.reads)} reads:",
            violations or "one order of events explains all answers",
            flush=True,
        )
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
