"""Child processes of the rig: start, request and reply over pipes, and termination."""

from __future__ import annotations

import ctypes
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent import subprocess
from gevent.event import Event
from gevent.queue import Empty, Queue

SOURCE = Path(__file__).parents[2]
_PR_SET_PDEATHSIG = 1


class RunAborted(Exception):
    """The run can't continue: a process exited unexpectedly or could not be started."""


# For preexec_fn: the kernel kills the new process when its parent exits.
def kill_with_parent() -> None:
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class ChildProcess:
    """A child process that receives one JSON message per line and replies in order."""

    def __init__(self, role: str, config: dict, folder: Path):
        self.role, self.folder = role, folder
        self.log = (folder / f"{role}.log").open("ab")
        self.process = subprocess.Popen(
            [sys.executable, "-O", "-m", "nettledeal.fleet", role.partition("-")[0]],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self.log,
            env=os.environ | {"PYTHONPATH": str(SOURCE)},
            preexec_fn=kill_with_parent,
            start_new_session=True,
        )
        self.replies: Queue = Queue()
        self.finished = Event()
        gevent.spawn(self._read_replies)
        self.tell(config)

    def tell(self, message: dict) -> None:
        try:
            self.process.stdin.write(msgspec.json.encode(message) + b"\n")
            self.process.stdin.flush()
        except OSError:
            raise RunAborted(f"{self.role} has exited{self.log_tail()}") from None

    def _read_replies(self) -> None:
        for line in iter(self.process.stdout.readline, b""):
            reply = msgspec.json.decode(line)
            if "through" in reply:
                self.finished.set()
            else:
                self.replies.put(reply)
        self.replies.put({"fault": f"exited{self.log_tail()}"})

    def log_tail(self) -> str:
        try:
            lines = (self.folder / f"{self.role}.log").read_text().strip().splitlines()
        except OSError:
            return ""  # the run is over and its folder has been removed
        return f": {lines[-1]}" if lines else ""

    def wait_reply(self, timeout_s: float = 30.0) -> dict:
        try:
            reply = self.replies.get(timeout=timeout_s)
        except Empty:
            raise RunAborted(f"{self.role} has not replied for {timeout_s:g} s") from None
        if "fault" in reply:
            raise RunAborted(f"{self.role}: {reply['fault']}")
        return reply

    def ask(self, **message: Any) -> dict:
        self.tell(message | {"confirm": True})
        return self.wait_reply()

    def collect_records(self) -> list:
        file = self.folder / f"{self.role}.records"
        self.tell({"do": "end", "file": str(file)})
        self.wait_reply(60.0)
        return msgspec.msgpack.decode(file.read_bytes())

    def kill_and_wait(self) -> None:
        kill_and_wait(self.process)
        self.log.close()


def kill_and_wait(process: subprocess.Popen) -> None:
    if process.poll() is None:
        with suppress(ProcessLookupError):
            process.kill()
        process.wait(10)
