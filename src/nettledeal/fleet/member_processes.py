"""Members as processes of their own, without agents around them, and the switch between: for tests of
membership and for its figures. Whatever is started here is ended here, by its own id.
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

from nettledeal.fleet.processes import SOURCE, Broken, Helper, bound_to_parent, end
from nettledeal.fleet.site import Site
from nettledeal.fleet.wires import now
from nettledeal.model import Time

PORT = 7946


class MemberProcess:
    """One process of a member, from its start to its end."""

    def __init__(self, told: dict, tree: Path, log: Path):
        self.changes: list[tuple[Time, dict]] = []
        # One for each line told, in that order, as each is answered by one line; None where nobody waits.
        self.answers: deque[AsyncResult | None] = deque()
        self.process = subprocess.Popen(
            [sys.executable, "-O", "-m", "nettledeal.membership"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=log.open("ab"),
            env=os.environ | {"PYTHONPATH": str(tree)},
            preexec_fn=bound_to_parent,
            start_new_session=True,
        )
        self._say(msgspec.json.encode(told))
        gevent.spawn(self._hear)

    def _say(self, line: bytes) -> None:
        with suppress(OSError):
            self.process.stdin.write(line + b"\n")
            self.process.stdin.flush()

    def _hear(self) -> None:
        for line in iter(self.process.stdout.readline, b""):
            said = msgspec.json.decode(line)
            if said["said"] in ("changed", "ordered", "usurped"):
                self.changes.append((said["at"], said))
            elif (answer := self.answers.popleft()) is not None:
                answer.set(said)

    def ask(self, line: str, within: float = 20.0) -> dict[str, Any]:
        answer = AsyncResult()
        self.answers.append(answer)
        self._say(line.encode())
        try:
            return answer.get(timeout=within)
        except gevent.Timeout:
            raise Broken(f"a member has not answered {line!r} for {within:g} s") from None

    def tell(self, line: str) -> None:
        """Does not wait; what it answers is passed over."""
        self.answers.append(None)
        self._say(line.encode())


class MemberProcesses:
    """So many members, numbered; the first `seeds` of them are called by those that join."""

    def __init__(
        self,
        count: int,
        timing: dict[str, int],
        seeds: int = 1,
        tree: Path = SOURCE,
        switched: bool = True,
        seed: str = "band",
    ):
        self.count, self.timing, self.seeds, self.tree = count, timing, seeds, tree
        self.site, self.switched, self.seed = Site(), switched, seed
        self.folder = tempfile.TemporaryDirectory(prefix="nettledeal-members-")
        self.processes: dict[int, MemberProcess] = {}
        self.ended: list[tuple[int, MemberProcess]] = []
        self.faults: list[tuple[Time, str, int]] = []
        self.switch: Helper | None = None
        if switched:
            self.switch = Helper("switch", {"seed": f"{seed} switch"}, Path(self.folder.name))
            self.switch.answer()
            self.switch.ask(
                do="members", members=[[n, list(self.front(n)), list(self.place(n))] for n in range(count)]
            )

    def __enter__(self) -> MemberProcesses:
        return self

    def __exit__(self, *_: object) -> None:
        for _, life in [*self.ended, *self.processes.items()]:
            with suppress(ProcessLookupError):
                life.process.kill()
        for _, life in [*self.ended, *self.processes.items()]:
            end(life.process)
        if self.switch is not None:
            self.switch.end()
        self.site.lock.close()
        self.folder.cleanup()

    def place(self, n: int) -> tuple[str, int]:
        return self.site.agent(n), PORT

    def front(self, n: int) -> tuple[str, int]:
        return (self.site.front(n), PORT) if self.switched else self.place(n)

    # What is done to it.

    def start(self, who: Iterable[int], **told: Any) -> None:
        for n in who:
            if n in self.processes:
                self.ended.append((n, self.processes[n]))
            host, port = self.place(n)
            self.processes[n] = MemberProcess(
                {
                    "name": f"m{n}",
                    "listen": f"{host}:{port}",
                    "timing": self.timing,
                    "advertise": "{}:{}".format(*self.front(n)),
                    "seed": hash_of(f"{self.seed} {n}"),
                    "seeds": ["{}:{}".format(*self.front(s)) for s in range(self.seeds)],
                }
                | told,
                self.tree,
                Path(self.folder.name) / f"m{n}.log",
            )

    def kill(self, who: Iterable[int]) -> None:
        for n in who:
            self._harm("kill", n)
            self.processes[n].process.kill()
            self.processes[n].process.wait()

    def pause(self, who: Iterable[int]) -> None:
        for n in who:
            self._harm("pause", n)
            self.processes[n].process.send_signal(signal.SIGSTOP)

    def go_on(self, who: Iterable[int]) -> None:
        for n in who:
            self._harm("go on", n)
            self.processes[n].process.send_signal(signal.SIGCONT)

    def _harm(self, what: str, n: int) -> None:
        self.faults.append((now(), what, n))

    def links(self, pairs: Iterable[tuple[int, int]], **condition: Any) -> None:
        """From one to another; times in tenths of a millisecond, shares as parts of one."""
        self.switch.ask(do="member links", condition=condition, pairs=[list(pair) for pair in pairs])

    def all_links(self, **condition: Any) -> None:
        self.switch.ask(do="member links", condition=condition, pairs=None)

    def between(self, some: Iterable[int], others: Iterable[int]) -> list[tuple[int, int]]:
        others = list(others)
        return [pair for a in some for b in others for pair in ((a, b), (b, a))]

    # What it knows.

    def views(self, who: Iterable[int]) -> dict[int, dict[str, Any]]:
        return {n: self.processes[n].ask("members") for n in who}

    def agreed(self, up: Iterable[int], within: float = 40.0) -> bool:
        """Waits until all of these hold just these for alive, without suspicion; whether they came to."""
        up = list(up)
        want = {f"m{n}" for n in up}
        return self.until(lambda: all(self._holds(n) == want for n in up), within)

    @staticmethod
    def until(holds: Callable[[], bool], within: float = 40.0) -> bool:
        """Waits for it; whether it came to hold."""
        with gevent.Timeout(within, False):
            while not holds():
                gevent.sleep(0.1)
            return True
        return False

    def _holds(self, n: int) -> set[str] | None:
        """Whom that one holds for alive; None while it suspects anybody."""
        words = self.processes[n].ask("members")["members"]
        if any(word["state"] == "suspect" for word in words):
            return None
        return {word["name"] for word in words if word["state"] == "alive"}

    def told(self, state: str) -> list[tuple[Time, int, str]]:
        """Each change to that state by now: when, at whom, of whom."""
        lives = [*self.ended, *self.processes.items()]
        return sorted(
            (at, n, said["member"])
            for n, life in lives
            for at, said in life.changes
            if said["said"] == "changed" and said["state"] == state
        )


def hash_of(text: str) -> int:
    """The same in every process, which Python's own is not."""
    return int.from_bytes(text.encode()[-8:], "big")
