"""The other processes of this agent, a version that goes or one that comes: met through a folder.

What they are to each other is in `handover.py`; here it is read, carried out and shown.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from pathlib import Path

import gevent
import msgspec
import structlog
from gevent.lock import Semaphore

from nettledeal.configuration import Configuration
from nettledeal.handover import SERVING, Handover, read
from nettledeal.learned_state import export_learned, import_learned
from nettledeal.net.address import format_address
from nettledeal.net.clock import Clock
from nettledeal.net.counters import Counters
from nettledeal.net.routing.router import Router
from nettledeal.net.transport.handover_folder import HandoverFolder

log = structlog.get_logger()

# How often other processes of this agent are looked for, and how long one may take to confirm an order; both
# in seconds.
MEETS = 0.1
CONFIRMED = 0.7


class Siblings:
    def __init__(
        self, config: Configuration, clock: Clock, counters: Counters, shared: Callable[[int], None]
    ):
        """`shared` is told between how many processes the agent's limits are divided from here on."""
        self.clock, self.counters, self.shared = clock, counters, shared
        self.folder = _folder()
        self.handover = Handover(
            self.folder.id if self.folder else "",
            config.name,
            format_address(config.listen),
            time.monotonic_ns(),
        )
        self.router: Router | None = None
        self.minding = Semaphore()
        self.inherited: bool | None = None
        self.shown: bytes | None = None

    def attach(self, router: Router) -> None:
        """Once there is a router to carry out what is told; before that nobody is met."""
        self.router = router

    def serve(self) -> None:
        """This process takes clients now, and says so."""
        self.handover.me.state = SERVING
        if self.folder is not None:
            self.meet()
            gevent.spawn(self._mind)

    def clear(self) -> None:
        if self.folder is not None:
            self.folder.remove()

    def follow(self, backend: str, out: bool) -> None:
        """An order that another process, or another agent, was given."""
        self.router.cordon(backend, heard=True) if out else self.router.uncordon(backend)
        log.info("order heard of", backend=backend, out=out)

    def heard_of(self, backend: str, out: bool) -> None:
        """Another agent was told to take a backend out of service, or to put it back: it binds all."""
        self.follow(backend, out)
        self.handover.ordered(backend, out, self.clock.now())
        self.meet()

    def confirm(self, backend: str, out: bool) -> bool:
        """Tells the others of an order carried out here; whether it is in force in all of them in time."""
        at = self.handover.ordered(backend, out, self.clock.now())
        self.meet()
        for _ in range(int(CONFIRMED / 0.02)):
            if self.handover.confirmed(at):
                return True
            gevent.sleep(0.02)
            self.meet()
        return False

    def meet(self, always: bool = True) -> None:
        """Looks for other processes of this agent, does what they were told, and shows what it does. A folder
        that fails costs the hand-over, not whoever came to look: the start, an order, the end."""
        try:
            if self.folder is not None and (always or self.folder.may_have_changed):
                self._exchange()
        except OSError as fault:
            self.counters[f"hand-over: {fault.strerror}"] += 1
        except Exception:
            self.counters.record_exception("hand-over")

    def _exchange(self) -> None:
        with self.minding:
            handover, before = self.handover, self.handover.processes
            for backend, out in handover.told(self.folder.read_others(read)).items():
                self.follow(backend, out)
            handover.carried_out()
            processes, balancer = handover.processes, self.router.balancer
            if processes != before:
                log.info("processes of this agent", processes=processes)
                self.shared(processes)
                self.router.execute(balancer.set_processes, processes)
                handover.me.learned = None
                if processes > 1 and handover.me.state == SERVING:
                    handover.me.learned = self.router.execute(export_learned, balancer, self.clock.now())
            legacy = handover.legacy
            if legacy is not None and self.inherited is None:
                self.inherited = self.router.execute(import_learned, balancer, self.clock.now(), legacy)
                log.info("what was learned is taken over", read=self.inherited)
            record = msgspec.json.encode(handover.me)
            if record != self.shown:
                self.folder.write(record)
                self.shown = record

    def _mind(self) -> None:
        while True:
            gevent.sleep(MEETS)
            self.meet(always=False)


def _folder() -> HandoverFolder | None:
    folder = os.environ.get("TMPDIR")
    if not folder:
        return None
    try:
        return HandoverFolder(Path(folder), os.urandom(8).hex())
    except OSError as fault:
        log.warning("no folder to meet a successor in", why=str(fault))
        return None
