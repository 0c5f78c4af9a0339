"""The agents of a rig as processes: started, paused, killed, restarted, and ended with it."""

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

from nettledeal.fleet.configurations import Configurations
from nettledeal.fleet.experiment import Experiment
from nettledeal.fleet.processes import Broken, bound_to_parent, end
from nettledeal.fleet.site import PORT, Site
from nettledeal.fleet.wires import now

READY_WITHIN = 60.0  # seconds from the start of the last one until all serve


class Agents:
    def __init__(self, experiment: Experiment, told: Configurations, site: Site, tree: Path, folder: Path):
        """`tree` holds the source that they run."""
        self.experiment, self.told, self.site = experiment, told, site
        self.tree, self.folder = tree, folder
        self.processes: dict[int, subprocess.Popen] = {}
        self.starts: dict[int, int] = {}
        self.down: dict[int, str] = {}  # those that the script has stopped or ended
        self.harmed: list[list[int | None]] = []  # (agent, from, until) in which it could not act
        self.jobs: list[gevent.Greenlet] = []

    def start_all(self, progress: Callable[[str, float], None]) -> None:
        e = self.experiment
        # Or each of them would compile all of it anew; a tree that is read-only has it already, or is slow.
        subprocess.call(
            [sys.executable, "-O", "-m", "compileall", "-q", str(self.tree)],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        for n in range(e.agents.count):
            self._start(n)
            progress("starting agents", n / e.agents.count)
            gevent.sleep(e.agents.start_within / e.agents.count)
        limit = time.monotonic() + READY_WITHIN
        for n in range(e.agents.count):
            while not self.serves(n):
                if (status := self.processes[n].poll()) is not None:
                    raise Broken(f"agent {n} ended with {status}: {self.last_words(n)}")
                if time.monotonic() > limit:
                    why = f"does not serve after {READY_WITHIN:g} s: {self.last_words(n)}"
                    raise Broken(f"agent {n} {why}")
                gevent.sleep(0.05)
            progress("waiting for agents", n / e.agents.count)

    def _start(self, n: int) -> None:
        home = self.folder / f"agent-{n}"
        home.mkdir(exist_ok=True)
        self.starts[n] = self.starts.get(n, 0) + 1
        file = home / "config.json"
        file.write_bytes(msgspec.json.encode(self.told.agent(n, self.starts[n])))
        with (self.folder / f"agent-{n}.log").open("ab") as log:
            self.processes[n] = subprocess.Popen(
                [sys.executable, "-O", "-m", "nettledeal"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "PYTHONPATH": str(self.tree),
                    "TMPDIR": str(home),
                    "EDGE_CONFIG": str(file),
                },
                preexec_fn=bound_to_parent,
                start_new_session=True,
            )

    def serves(self, n: int) -> bool:
        sock = socket.socket()
        try:
            sock.settimeout(2.0)
            sock.connect((self.site.agent(n), PORT))
            return True
        except OSError:
            return False
        finally:
            sock.close()

    def last_words(self, n: int) -> str:
        lines = (self.folder / f"agent-{n}.log").read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it said nothing"

    def harm(self, verb: str, n: int) -> None:
        """What the script has done to one: `pause`, `go on`, `kill`, `start` or `restart`."""
        process = self.processes[n]
        if verb in ("pause", "kill", "restart"):
            self.harmed.append([n, now(), None])
        match verb:
            case "pause":
                self.down[n] = verb
                process.send_signal(signal.SIGSTOP)
            case "go on":
                process.send_signal(signal.SIGCONT)
                self.down.pop(n, None)
            case "kill":
                self.down[n] = verb
                process.kill()
                process.wait()
            case "start":
                self._start(n)
                self.down.pop(n, None)
            case "restart":
                self.down[n] = verb
                self.jobs.append(gevent.spawn(self._restart, n))
        if verb in ("go on", "start"):
            self._healed(n)

    def _healed(self, n: int) -> None:
        for entry in self.harmed:
            if entry[0] == n and entry[2] is None:
                entry[2] = now()

    def _restart(self, n: int) -> None:
        """In order: it is asked to end, given the time that it may take, and started again."""
        process = self.processes[n]
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(max(c.expiry_ms for c in self.experiment.category) / 1000 + 1.0)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self._start(n)
        self.down.pop(n, None)
        while not self.serves(n):
            gevent.sleep(0.05)
        self._healed(n)

    def ended(self) -> str | None:
        """Why the run cannot go on, if one has ended that the script has not."""
        for n, process in list(self.processes.items()):
            if n not in self.down and process.poll() is not None:
                return f"agent {n} ended with {process.returncode}: {self.last_words(n)}"
        return None

    def end(self) -> None:
        """All at once, then each waited for."""
        for process in self.processes.values():
            with suppress(ProcessLookupError):
                if process.poll() is None:
                    process.kill()
        for process in self.processes.values():
            end(process)
