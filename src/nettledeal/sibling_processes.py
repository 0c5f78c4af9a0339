"""The other processes of this agent, such as its predecessor or successor in an upgrade.

Processes exchange records through a shared folder. `handover.py` holds the rules; this module reads the
records, applies what follows from them and writes the record of this process.
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
from nettledeal.handover import SERVING, Handover, parse_record
from nettledeal.learned_state import export_learned, import_learned
from nettledeal.net.address import format_address
from nettledeal.net.clock import Clock
from nettledeal.net.counters import Counters
from nettledeal.net.routing.router import Router
from nettledeal.net.transport.handover_folder import HandoverFolder

log = structlog.get_logger()

POLL_INTERVAL_S = 0.1
# How long other processes may take to confirm an order.
CONFIRM_TIMEOUT_S = 0.7


class SiblingProcesses:
    def __init__(
        self, config: Configuration, clock: Clock, counters: Counters, on_process_count: Callable[[int], None]
    ):
        """`on_process_count` is called with the number of processes that now share the agent's limits."""
        self.clock, self.counters, self.on_process_count = clock, counters, on_process_count
        self.folder = _open_folder()
        self.handover = Handover(
            self.folder.id if self.folder else "",
            config.name,
            format_address(config.listen),
            time.monotonic_ns(),
        )
        self.router: Router | None = None
        self.exchange_lock = Semaphore()
        self.state_imported: bool | None = None
        self.last_written: bytes | None = None

    def attach(self, router: Router) -> None:
        """Set the router that orders are applied to; must be called before the first `sync`."""
        self.router = router

    def serve(self) -> None:
        """Announce that this process serves clients, and keep in sync with the others from now on."""
        self.handover.own_record.state = SERVING
        if self.folder is not None:
            self.sync()
            gevent.spawn(self._sync_loop)

    def remove_record(self) -> None:
        if self.folder is not None:
            self.folder.remove()

    def _apply_order(self, backend: str, cordoned: bool) -> None:
        """Apply an order that another process, or another agent, received."""
        self.router.cordon(backend, heard=True) if cordoned else self.router.uncordon(backend)
        log.info("order heard of", backend=backend, out=cordoned)

    def apply_peer_order(self, backend: str, cordoned: bool) -> None:
        """Apply an order that another agent received, and pass it on to all processes of this agent."""
        self._apply_order(backend, cordoned)
        self.handover.record_order(backend, cordoned, self.clock.now())
        self.sync()

    def confirm_order(self, backend: str, cordoned: bool) -> bool:
        """Pass an order that is in force here on to the other processes.

        Returns whether all of them confirmed it within CONFIRM_TIMEOUT_S."""
        ordered_at = self.handover.record_order(backend, cordoned, self.clock.now())
        self.sync()
        for _ in range(int(CONFIRM_TIMEOUT_S / 0.02)):
            if self.handover.is_confirmed(ordered_at):
                return True
            gevent.sleep(0.02)
            self.sync()
        return False

    def sync(self, always: bool = True) -> None:
        """Read the records of the other processes, apply new orders and write the own record.

        With `always` unset it does so only if the folder may have changed. An error is only counted: a
        failing folder costs the handover, but must not fail the caller (start, admin command or shutdown)."""
        try:
            if self.folder is not None and (always or self.folder.may_have_changed):
                self._exchange()
        except OSError as error:
            self.counters[f"hand-over: {error.strerror}"] += 1
        except Exception:
            self.counters.record_exception("hand-over")

    def _exchange(self) -> None:
        with self.exchange_lock:
            handover, previous_count = self.handover, self.handover.process_count
            for backend, cordoned in handover.merge_records(self.folder.read_others(parse_record)).items():
                self._apply_order(backend, cordoned)
            handover.acknowledge_orders()
            processes, balancer = handover.process_count, self.router.balancer
            if processes != previous_count:
                log.info("processes of this agent", processes=processes)
                self.on_process_count(processes)
                self.router.execute(balancer.set_processes, processes)
                handover.own_record.learned = None
                if processes > 1 and handover.own_record.state == SERVING:
                    handover.own_record.learned = self.router.execute(
                        export_learned, balancer, self.clock.now()
                    )
            predecessor_state = handover.predecessor_state
            if predecessor_state is not None and self.state_imported is None:
                self.state_imported = self.router.execute(
                    import_learned, balancer, self.clock.now(), predecessor_state
                )
                log.info("what was learned is taken over", read=self.state_imported)
            record = msgspec.json.encode(handover.own_record)
            if record != self.last_written:
                self.folder.write(record)
                self.last_written = record

    def _sync_loop(self) -> None:
        while True:
            gevent.sleep(POLL_INTERVAL_S)
            self.sync(always=False)


def _open_folder() -> HandoverFolder | None:
    path = os.environ.get("TMPDIR")
    if not path:
        return None
    try:
        return HandoverFolder(Path(path), os.urandom(8).hex())
    except OSError as error:
        log.warning("no folder to meet a successor in", why=str(error))
        return None
