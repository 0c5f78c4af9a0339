"""Agent processes of a rig: starting, pausing, killing, restarting and stopping them."""

from __future__ import annotations

import os
import signal
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import gevent
import msgspec
from gevent import socket, subprocess

from nettledeal.fleet.child_processes import RunAborted, kill_and_wait, kill_with_parent
from nettledeal.fleet.child_runtime import now
from nettledeal.fleet.configurations import ProcessConfigurations
from nettledeal.fleet.experiment import Experiment
from nettledeal.fleet.loopback_addresses import AGENT_PORT, LoopbackAddresses

READY_TIMEOUT_S = 60.0  # from the start of the last agent until all accept connections


class AgentProcesses:
    def __init__(
        self,
        experiment: Experiment,
        configurations: ProcessConfigurations,
        addresses: LoopbackAddresses,
        source_tree: Path,
        folder: Path,
    ):
        """`source_tree` is the source tree that the agents run."""
        self.experiment, self.configurations, self.addresses = experiment, configurations, addresses
        self.source_tree, self.folder = source_tree, folder
        self.processes: dict[int, subprocess.Popen] = {}
        self.start_counts: dict[int, int] = {}
        self.stopped_by_fault: dict[int, str] = {}  # agents that a fault has paused or killed, with the verb
        # [agent, since, until]: spans in which an agent could not act
        self.disruptions: list[list[int | None]] = []
        self.greenlets: list[gevent.Greenlet] = []

    def start_all(self, progress: Callable[[str, float], None]) -> None:
        experiment = self.experiment
        # Compile once, so that not every agent compiles the whole tree. Failure is harmless: a read-only tree
        # is compiled already, or agents start more slowly.
        subprocess.call(
            [sys.executable, "-O", "-m", "compileall", "-q", str(self.source_tree)],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        for n in range(experiment.agents.count):
            self._start(n)
            progress("starting agents", n / experiment.agents.count)
            gevent.sleep(experiment.agents.start_within / experiment.agents.count)
        deadline = time.monotonic() + READY_TIMEOUT_S
        for n in range(experiment.agents.count):
            while not self.is_serving(n):
                if (status := self.processes[n].poll()) is not None:
                    raise RunAborted(f"agent {n} exited with status {status}: {self.last_log_line(n)}")
                if time.monotonic() > deadline:
                    reason = (
                        f"does not accept connections after {READY_TIMEOUT_S:g} s: {self.last_log_line(n)}"
                    )
                    raise RunAborted(f"agent {n} {reason}")
                gevent.sleep(0.05)
            progress("waiting for agents", n / experiment.agents.count)

    def _start(self, n: int) -> None:
        home = self.folder / f"agent-{n}"
        home.mkdir(exist_ok=True)
        self.start_counts[n] = self.start_counts.get(n, 0) + 1
        file = home / "config.json"
        file.write_bytes(msgspec.json.encode(self.configurations.agent(n, self.start_counts[n])))
        with (self.folder / f"agent-{n}.log").open("ab") as log:
            self.processes[n] = subprocess.Popen(
                [sys.executable, "-O", "-m", "nettledeal"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "PYTHONPATH": str(self.source_tree),
                    "TMPDIR": str(home),
                    "EDGE_CONFIG": str(file),
                },
                preexec_fn=kill_with_parent,
                start_new_session=True,
            )

    def is_serving(self, n: int) -> bool:
        sock = socket.socket()
        try:
            sock.settimeout(2.0)
            sock.connect((self.addresses.agent(n), AGENT_PORT))
            return True
        except OSError:
            return False
        finally:
            sock.close()

    def last_log_line(self, n: int) -> str:
        lines = (self.folder / f"agent-{n}.log").read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "its log is empty"

    def apply_fault(self, verb: str, n: int) -> None:
        """Applies a fault to an agent: `pause`, `go on`, `kill`, `start` or `restart`."""
        process = self.processes[n]
        if verb in ("pause", "kill", "restart"):
            self.disruptions.append([n, now(), None])
        match verb:
            case "pause":
                self.stopped_by_fault[n] = verb
                process.send_signal(signal.SIGSTOP)
            case "go on":
                process.send_signal(signal.SIGCONT)
                self.stopped_by_fault.pop(n, None)
            case "kill":
                self.stopped_by_fault[n] = verb
                process.kill()
                process.wait()
            case "start":
                self._start(n)
                self.stopped_by_fault.pop(n, None)
            case "restart":
                self.stopped_by_fault[n] = verb
                self.greenlets.append(gevent.spawn(self._restart, n))
        if verb in ("go on", "start"):
            self._end_disruption(n)

    def _end_disruption(self, n: int) -> None:
        for disruption in self.disruptions:
            if disruption[0] == n and disruption[2] is None:
                disruption[2] = now()

    def _restart(self, n: int) -> None:
        """Restarts gracefully: SIGTERM, time to finish its requests, then a new process."""
        process = self.processes[n]
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(max(c.expiry_ms for c in self.experiment.category) / 1000 + 1.0)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self._start(n)
        self.stopped_by_fault.pop(n, None)
        while not self.is_serving(n):
            gevent.sleep(0.05)
        self._end_disruption(n)

    def unexpected_exit(self) -> str | None:
        """Describes the first agent that exited without a fault having stopped it, if there is one."""
        for n, process in list(self.processes.items()):
            if n not in self.stopped_by_fault and process.poll() is not None:
                return f"agent {n} exited with status {process.returncode}: {self.last_log_line(n)}"
        return None

    def stop(self) -> None:
        """Kills all agents, then waits for each."""
        for process in self.processes.values():
            with suppress(ProcessLookupError):
                if process.poll() is None:
                    process.kill()
        for process in self.processes.values():
            kill_and_wait(process)
