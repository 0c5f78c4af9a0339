"""The rig's own processes: started, told by lines, answering in order, and ended with the rig."""

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


class Broken(Exception):
    """The run cannot go on: a process ended that was not to, or could not be started."""


def bound_to_parent() -> None:
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Helper:
    """One of the rig's own processes, told by lines and answering in order."""

    def __init__(self, role: str, told: dict, folder: Path):
        self.role, self.folder = role, folder
        self.log = (folder / f"{role}.log").open("ab")
        self.process = subprocess.Popen(
            [sys.executable, "-O", "-m", "nettledeal.fleet", role.partition("-")[0]],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self.log,
            env=os.environ | {"PYTHONPATH": str(SOURCE)},
            preexec_fn=bound_to_parent,
            start_new_session=True,
        )
        self.said: Queue = Queue()
        self.through = Event()
        gevent.spawn(self._hear)
        self.tell(told)

    def tell(self, told: dict) -> None:
        try:
            self.process.stdin.write(msgspec.json.encode(told) + b"\n")
            self.process.stdin.flush()
        except OSError:
            raise Broken(f"{self.role} has ended{self.why()}") from None

    def _hear(self) -> None:
        for line in iter(self.process.stdout.readline, b""):
            said = msgspec.json.decode(line)
            if "through" in said:
                self.through.set()
            else:
                self.said.put(said)
        self.said.put({"fault": f"ended{self.why()}"})

    def why(self) -> str:
        try:
            lines = (self.folder / f"{self.role}.log").read_text().strip().splitlines()
        except OSError:
            return ""  # the run is over and its folder gone
        return f": {lines[-1]}" if lines else ""

    def answer(self, seconds: float = 30.0) -> dict:
        try:
            said = self.said.get(timeout=seconds)
        except Empty:
            raise Broken(f"{self.role} has not answered for {seconds:g} s") from None
        if "fault" in said:
            raise Broken(f"{self.role}: {said['fault']}")
        return said

    def ask(self, **told: Any) -> dict:
        self.tell(told | {"confirm": True})
        return self.answer()

    def records(self) -> list:
        file = self.folder / f"{self.role}.records"
        self.tell({"do": "end", "file": str(file)})
        self.answer(60.0)
        return msgspec.msgpack.decode(file.read_bytes())

    def end(self) -> None:
        end(self.process)
        self.log.close()


def end(process: subprocess.Popen) -> None:
    if process.poll() is None:
        with suppress(ProcessLookupError):
            process.kill()
        process.wait(10)
