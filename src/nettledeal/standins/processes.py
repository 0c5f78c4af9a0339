"""A process of the serving system on loopback, started with a settings file and observed through its log."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from signal import Signals

import gevent
import msgspec
from gevent import subprocess
from gevent.event import Event

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.settings import SETTINGS_VARIABLE

ROOT = Path(__file__).resolve().parents[3]
PROGRAM = ROOT / "src" / "nettledeal_system.py"
POLL_INTERVAL_S = 0.05
# In /proc/PID/status: the signals that a process ignores, and those that it handles.
SIGNAL_MASKS = ("SigIgn:", "SigCgt:")
MAX_LOG_LINES = 2000
# Logged for single requests: these only go to the file.
REQUEST_EVENT = b'"dataplane:request"'

LogEvent = Mapping[str, object]


def wait_until(condition: Callable[[], object], within_s: float, what: str) -> None:
    """Wait until a condition holds; raises ServingError (TIMED_OUT, naming `what`) after `within_s`."""
    deadline = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > deadline:
            raise ServingError(ErrorCode.TIMED_OUT, f"wait until {what}")
        gevent.sleep(POLL_INTERVAL_S)


class SystemProcess:
    """One process of a role; signals go to its process id only.

    `log_path` has the whole log of all its lives, `events` the last lines of the present one.
    """

    def __init__(self, name: str, role: str, settings_path: Path):
        self.name = name
        self.role = role
        self.settings_path = settings_path
        self.program = PROGRAM
        self.log_path = settings_path.with_suffix(".log")
        self.events: list[LogEvent] = []
        self.other_lines: list[str] = []
        self._process: subprocess.Popen | None = None
        self._log_changed = Event()
        self._reader: gevent.Greenlet | None = None

    @property
    def running(self) -> bool:
        """Whether the process is alive."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the program and begin to read its log."""
        environment = {**os.environ, SETTINGS_VARIABLE: str(self.settings_path)}
        environment["PYTHONPATH"] = os.pathsep.join(filter(None, sys.path))
        self.events.clear()
        self._process = subprocess.Popen(
            [sys.executable, "-O", str(self.program), self.role],
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
        )
        self._reader = gevent.spawn(self._read_log, self._process.stderr)

    def wait_for(
        self, message_type: str, within_s: float, matches: Callable[[LogEvent], bool] = lambda event: True
    ) -> LogEvent:
        """The first matching event in the log; raises ServingError on timeout or process exit."""
        deadline = time.monotonic() + within_s
        while True:
            self._log_changed.clear()
            for event in self.events:
                if event.get("message_type") == message_type and matches(event):
                    return event
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0 or not self.running:
                state = "runs" if self.running else "ended"
                lines = "; ".join(self.other_lines[-3:])
                raise ServingError(
                    ErrorCode.TIMED_OUT, f"wait for {message_type}", f"the process {state} {lines}", self.name
                )
            self._log_changed.wait(remaining_s)

    def signal(self, number: Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.running:
            self._process.send_signal(number)

    def withstands(self, number: Signals) -> bool:
        """Whether the process runs and handles or ignores a signal that would end it by default."""
        if not self.running:
            return False
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return False
        masks = [int(line.split()[1], 16) for line in status.splitlines() if line.startswith(SIGNAL_MASKS)]
        return any(mask >> (number - 1) & 1 for mask in masks)

    def kill(self) -> None:
        """Kill it with SIGKILL."""
        self.signal(Signals.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def terminate(self) -> None:
        """Send SIGTERM; returns at once."""
        self.signal(Signals.SIGTERM)

    def freeze(self) -> None:
        """Suspend it; its sockets stay open."""
        self.signal(Signals.SIGSTOP)

    def thaw(self) -> None:
        """Resume it after `freeze`."""
        self.signal(Signals.SIGCONT)

    def wait(self, within_s: float) -> int | None:
        """Its exit status, or None if it had to be killed after `within_s`."""
        try:
            return self._process.wait(timeout=within_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def _read_log(self, log) -> None:
        with log, self.log_path.open("ab") as file:
            for line in log:
                file.write(line)
                if REQUEST_EVENT in line:
                    continue
                self._add_line(line.decode(errors="replace").rstrip())
        self._log_changed.set()

    def _add_line(self, line: str) -> None:
        try:
            self.events.append(msgspec.json.decode(line, type=dict[str, object]))
        except msgspec.MsgspecError:
            self.other_lines.append(line)
        del self.events[:-MAX_LOG_LINES], self.other_lines[:-MAX_LOG_LINES]
        self._log_changed.set()
