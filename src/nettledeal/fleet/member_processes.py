"""Membership nodes as separate processes without agents, linked by the switch.

For tests and measurements of membership. All processes that are started here are killed here, by their ids.
"""

from __future__ import annotations

import os
import signal
import sys
import tempfile
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent import subprocess
from gevent.event import AsyncResult

from nettledeal.fleet.child_processes import SOURCE, ChildProcess, RunAborted, kill_and_wait, kill_with_parent
from nettledeal.fleet.child_runtime import now
from nettledeal.fleet.loopback_addresses import LoopbackAddresses
from nettledeal.model import Time

MEMBERSHIP_PORT = 7946


class MemberProcess:
    """The process of one member."""

    def __init__(self, config: dict, tree: Path, log: Path):
        self.changes: list[tuple[Time, dict]] = []
        # One for each line sent, in order, as each gets one reply line; None if nobody waits for the reply.
        self.pending_replies: deque[AsyncResult | None] = deque()
        self.process = subprocess.Popen(
            [sys.executable, "-O", "-m", "nettledeal.membership"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=log.open("ab"),
            env=os.environ | {"PYTHONPATH": str(tree)},
            preexec_fn=kill_with_parent,
            start_new_session=True,
        )
        self._write_line(msgspec.json.encode(config))
        gevent.spawn(self._read_replies)

    def _write_line(self, line: bytes) -> None:
        with suppress(OSError):
            self.process.stdin.write(line + b"\n")
            self.process.stdin.flush()

    def _read_replies(self) -> None:
        for line in iter(self.process.stdout.readline, b""):
            message = msgspec.json.decode(line)
            if message["said"] in ("changed", "ordered", "usurped"):
                self.changes.append((message["at"], message))
            elif (reply := self.pending_replies.popleft()) is not None:
                reply.set(message)

    def ask(self, line: str, timeout_s: float = 20.0) -> dict[str, Any]:
        reply = AsyncResult()
        self.pending_replies.append(reply)
        self._write_line(line.encode())
        try:
            return reply.get(timeout=timeout_s)
        except gevent.Timeout:
            raise RunAborted(f"a member has not replied to {line!r} for {timeout_s:g} s") from None

    def tell(self, line: str) -> None:
        """Sends a line without waiting; the reply is discarded."""
        self.pending_replies.append(None)
        self._write_line(line.encode())


class MemberProcesses:
    """A cluster of `count` members; joining members contact the first `seeds` of them."""

    def __init__(
        self,
        count: int,
        timing: dict[str, int],
        seeds: int = 1,
        tree: Path = SOURCE,
        switched: bool = True,
        seed: str = "band",
    ):
        self.count, self.timing, self.seeds, self.source_tree = count, timing, seeds, tree
        self.addresses, self.uses_switch, self.seed = LoopbackAddresses(), switched, seed
        self.folder = tempfile.TemporaryDirectory(prefix="nettledeal-members-")
        self.processes: dict[int, MemberProcess] = {}
        self.previous_processes: list[tuple[int, MemberProcess]] = []
        self.faults: list[tuple[Time, str, int]] = []
        self.switch: ChildProcess | None = None
        if switched:
            self.switch = ChildProcess("switch", {"seed": f"{seed} switch"}, Path(self.folder.name))
            self.switch.wait_reply()
            self.switch.ask(
                do="members",
                members=[[n, list(self.advertised_address(n)), list(self.address(n))] for n in range(count)],
            )

    def __enter__(self) -> MemberProcesses:
        return self

    def __exit__(self, *_: object) -> None:
        for _, member in [*self.previous_processes, *self.processes.items()]:
            with suppress(ProcessLookupError):
                member.process.kill()
        for _, member in [*self.previous_processes, *self.processes.items()]:
            kill_and_wait(member.process)
        if self.switch is not None:
            self.switch.kill_and_wait()
        self.addresses.lock.close()
        self.folder.cleanup()

    def address(self, n: int) -> tuple[str, int]:
        return self.addresses.agent(n), MEMBERSHIP_PORT

    def advertised_address(self, n: int) -> tuple[str, int]:
        return (self.addresses.member_proxy(n), MEMBERSHIP_PORT) if self.uses_switch else self.address(n)

    # Faults and control.

    def start(self, who: Iterable[int], **config: Any) -> None:
        for n in who:
            if n in self.processes:
                self.previous_processes.append((n, self.processes[n]))
            host, port = self.address(n)
            self.processes[n] = MemberProcess(
                {
                    "name": f"m{n}",
                    "listen": f"{host}:{port}",
                    "timing": self.timing,
                    "advertise": "{}:{}".format(*self.advertised_address(n)),
                    "seed": seed_from(f"{self.seed} {n}"),
                    "seeds": [
                        "{}:{}".format(*self.advertised_address(seed_index))
                        for seed_index in range(self.seeds)
                    ],
                }
                | config,
                self.source_tree,
                Path(self.folder.name) / f"m{n}.log",
            )

    def kill(self, who: Iterable[int]) -> None:
        for n in who:
            self._record_fault("kill", n)
            self.processes[n].process.kill()
            self.processes[n].process.wait()

    def pause(self, who: Iterable[int]) -> None:
        for n in who:
            self._record_fault("pause", n)
            self.processes[n].process.send_signal(signal.SIGSTOP)

    def resume(self, who: Iterable[int]) -> None:
        for n in who:
            self._record_fault("go on", n)
            self.processes[n].process.send_signal(signal.SIGCONT)

    def _record_fault(self, fault: str, n: int) -> None:
        self.faults.append((now(), fault, n))

    def set_links(self, pairs: Iterable[tuple[int, int]], **condition: Any) -> None:
        """Sets the condition of ordered pairs of members; times are in tenths of a millisecond."""
        self.switch.ask(do="member links", condition=condition, pairs=[list(pair) for pair in pairs])

    def set_all_links(self, **condition: Any) -> None:
        self.switch.ask(do="member links", condition=condition, pairs=None)

    def link_pairs(self, some: Iterable[int], others: Iterable[int]) -> list[tuple[int, int]]:
        others = list(others)
        return [pair for a in some for b in others for pair in ((a, b), (b, a))]

    # Observed state.

    def views(self, who: Iterable[int]) -> dict[int, dict[str, Any]]:
        return {n: self.processes[n].ask("members") for n in who}

    def wait_until_agreed(self, up: Iterable[int], timeout_s: float = 40.0) -> bool:
        """Waits until each of these members sees exactly these as alive and suspects none."""
        up = list(up)
        expected = {f"m{n}" for n in up}
        return self.wait_until(lambda: all(self._alive_members(n) == expected for n in up), timeout_s)

    @staticmethod
    def wait_until(condition: Callable[[], bool], timeout_s: float = 40.0) -> bool:
        """Waits for the condition; returns whether it became true in time."""
        with gevent.Timeout(timeout_s, False):
            while not condition():
                gevent.sleep(0.1)
            return True
        return False

    def _alive_members(self, n: int) -> set[str] | None:
        """Names of the members that member `n` considers alive; None while it suspects any."""
        members = self.processes[n].ask("members")["members"]
        if any(member["state"] == "suspect" for member in members):
            return None
        return {member["name"] for member in members if member["state"] == "alive"}

    def state_changes(self, state: str) -> list[tuple[Time, int, str]]:
        """All changes to that state so far: (time, observing member, name of the changed member)."""
        processes = [*self.previous_processes, *self.processes.items()]
        return sorted(
            (at, n, message["member"])
            for n, member in processes
            for at, message in member.changes
            if message["said"] == "changed" and message["state"] == state
        )


def seed_from(text: str) -> int:
    """An integer from a text, the same in every process, unlike `hash`."""
    return int.from_bytes(text.encode()[-8:], "big")
