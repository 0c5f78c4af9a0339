"""Hosts a replica: runs its effects on real sockets, a disk and a monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from pathlib import Path
from random import Random
from uuid import uuid4

import gevent
from gevent.event import AsyncResult, Event

from nettledeal.common.addresses import InternalPort
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.logs import log_event
from nettledeal.common.seeds import SeedList
from nettledeal.common.settings import Settings
from nettledeal.control.change_notifier import ChangeNotifier
from nettledeal.control.cluster_guard import ClusterGuard
from nettledeal.control.contact_review import ContactReview
from nettledeal.control.effect_executor import EffectExecutor
from nettledeal.control.effects import DurableState
from nettledeal.control.identity import first_identity, own_info
from nettledeal.control.mesh import Mesh
from nettledeal.control.messages import Hello, Message, ReplicaInfo
from nettledeal.control.replica import Replica
from nettledeal.control.replica_queries import ReplicaQueries
from nettledeal.control.state import Command, ControlState, Outcome
from nettledeal.control.storage import Storage
from nettledeal.control.timing import timing_for
from nettledeal.control.writer import Writer

# Fraction of the platform's grace period after which a stopping process no longer waits for agreement.
LEAVE_SHARE_OF_GRACE = 0.55
LEAVE_CHECK_S = 0.02
MIN_SLEEP_S = 0.002
MAX_SLEEP_S = 60.0
CALL_SHARE_OF_ACK = 0.8


class ControlNode(ReplicaQueries):
    """One core machine's replica of the control state.

    `changes` has the callbacks for commits and readers. `on_refused` receives the reason (FOREIGN_DATA) if
    the disk turns out to belong to another cluster.
    """

    def __init__(
        self, settings: Settings, storage_dir: Path | str | None = None, seeds: SeedList | None = None
    ):
        """`seeds`: the seeds in force, where they may change."""
        self.settings = settings
        seeds = seeds or SeedList(settings)
        seeds.on_change.append(self.review_contacts)
        self.changes = ChangeNotifier()
        self.on_refused: Callable[[ServingError], None] = lambda error: None
        self._folder = Path(storage_dir or settings.data_dir or ".")
        self._timing = timing_for(settings.bounds)
        self._writer = Writer(self._on_synced)
        self._mesh = Mesh(
            settings.internal_address(InternalPort.REPLICATION),
            self._hello,
            self._on_message,
            self._own_cluster_if_foreign,
            self._on_refused,
            self._timing.silence_s * 1.5,
        )
        self._executor = EffectExecutor(settings.ip, self._writer, self._mesh)
        self._running_effects = False
        self._last_call_id = 0
        self._timer_due_at = float("inf")
        self._timer_changed = Event()
        self._greenlets: list[gevent.Greenlet] = []
        self._cluster_guard = ClusterGuard(self._folder)
        self._last_reading_at: float | None = None
        self._contact_review = ContactReview(self._mesh, seeds)
        self._stopped = False

    def use_member_hosts(self, member_hosts: Callable[[], Iterable[str]]) -> None:
        """Find other replicas through membership too; `review_contacts` is to be called when it changes."""
        self._contact_review.member_hosts = member_hosts

    def start(self) -> None:
        """Open the disk, listen, and join the cluster.

        Raises ServingError (FOREIGN_DATA, STORAGE_FAILED), or OSError where the port is taken.
        """
        storage = self._writer.run_blocking(Storage, self._folder)
        if storage.replica_id is None:
            self._writer.run_blocking(storage.create, *first_identity(self.settings))
        durable: DurableState = self._writer.run_blocking(storage.load)
        info = own_info(self.settings, storage.replica_id)
        self._replica = Replica(
            info, durable, self._timing, self.settings.fault_tolerance, Random(uuid4().int), time.monotonic()
        )
        self._writer.start(storage)
        self._mesh.start()
        self.review_contacts()
        self._greenlets = [gevent.spawn(self._run_timer), gevent.spawn(self._run_disk_check)]

    def stop(self) -> None:
        """Hand over leadership, wait until the other replicas no longer need this one, and close."""
        deadline = time.monotonic() + LEAVE_SHARE_OF_GRACE * self.settings.bounds.grace_s
        self._apply_input(lambda now: self._replica.leave(now))
        while not self._replica.may_end and time.monotonic() < deadline:
            gevent.sleep(LEAVE_CHECK_S)
        log_event("control:left", agreed=self._replica.may_end)
        self.abort()

    def abort(self) -> None:
        """Stop at once, as in a crash."""
        self._stopped = True
        self._mesh.stop()
        gevent.killall(self._greenlets, block=False)
        self._writer.stop()

    # Calls

    def report_reading(self, ok: bool) -> None:
        """Record whether the reader's last reading of the platform's list succeeded."""
        if ok:
            self._last_reading_at = time.monotonic()

    def submit(self, command: Command, timeout_s: float | None = None) -> Outcome:
        """Commit a command on all in-sync replicas and return its outcome.

        Raises ServingError: NOT_PRIMARY and UNAVAILABLE if it wasn't applied; TIMED_OUT if it may or may not
        be applied later.
        """
        return self._call(
            "submit", timeout_s, lambda now, call_id: self._replica.submit(now, call_id, command)
        )

    def read(self, timeout_s: float | None = None) -> ControlState:
        """The committed state, confirmed with the in-sync replicas after this call started.

        Raises ServingError: NOT_PRIMARY, UNAVAILABLE or TIMED_OUT.
        """
        return self._call("read", timeout_s, lambda now, call_id: self._replica.read(now, call_id))

    def _call(self, step: str, timeout_s: float | None, ask: Callable[[float, int], None]):
        if timeout_s is None:
            timeout_s = self.settings.bounds.ack_ms / 1000 * CALL_SHARE_OF_ACK
        self._last_call_id += 1
        call_id = self._last_call_id
        self._executor.pending_calls[call_id] = answer = AsyncResult()
        try:
            self._apply_input(lambda now: ask(now, call_id))
            result = answer.get(timeout=timeout_s)
        except gevent.Timeout:
            raise ServingError(ErrorCode.TIMED_OUT, step) from None
        finally:
            del self._executor.pending_calls[call_id]
        if isinstance(result, ErrorCode):
            peer = self.primary_address
            raise ServingError(result, step, peer=str(peer) if peer else None)
        return result

    # Inputs

    def _hello(self) -> Hello:
        return Hello(self._replica.info, self._replica.record)

    def _own_cluster_if_foreign(self, hello: Hello) -> str | None:
        return self._cluster_guard.own_cluster_if_foreign(self._replica, hello)

    def _on_refused(self, host: str, cluster: str) -> None:
        error = self._cluster_guard.on_refusal(self._replica.record.cluster, host, cluster)
        if error is not None:
            self.on_refused(error)

    def _on_message(self, sender: ReplicaInfo, message: Message) -> None:
        self._apply_input(lambda now: self._replica.receive(now, sender, message))

    def _on_synced(self, number: int) -> None:
        self._executor.on_synced(number)
        self._apply_input(lambda now: self._replica.on_synced(now, number))

    def _apply_input(self, apply: Callable[[float], None]) -> None:
        now = time.monotonic()
        if self._last_reading_at is not None:
            self._replica.reading_age_s = now - self._last_reading_at
        apply(now)
        if not self._running_effects:
            self._running_effects = True
            try:
                self._run_effects()
            finally:
                self._running_effects = False
        self._update_timer()

    def _run_effects(self) -> None:
        local = self._executor.local_messages
        effects = self._replica.take_effects()
        # At least once: an input without effects may change the epoch, the reader or the committed state.
        while True:
            self._executor.execute(effects)
            if local:
                self._replica.receive(time.monotonic(), self._replica.info, local.popleft())
            self._notify_changes()
            effects = self._replica.take_effects()
            if not effects and not local:
                return

    def _notify_changes(self) -> None:
        self.changes.epoch_is(self._replica.record)
        self.review_contacts()
        self.changes.reader_is((self.reader, self.reader_term))
        self.changes.committed_is(self._replica.replicated.committed)

    def review_contacts(self) -> None:
        """Keep connections to the hosts that the replica needs now; called also when membership changes."""
        if self._replica is not None and not self._stopped:
            self._contact_review.review(self._replica)

    # Time

    def _update_timer(self) -> None:
        due = self._replica.next_tick_at
        if due < self._timer_due_at:
            self._timer_due_at = due
            self._timer_changed.set()

    def _run_timer(self) -> None:
        """Tick when due, at least every `announce_interval_s`; as any input, that reviews the contacts."""
        while True:
            self._timer_due_at = self._replica.next_tick_at
            self._timer_changed.clear()
            remaining = self._timer_due_at - time.monotonic()
            if self._timer_changed.wait(max(MIN_SLEEP_S, min(remaining, MAX_SLEEP_S))):
                continue
            self._apply_input(self._replica.tick)

    def _run_disk_check(self) -> None:
        """Check the disk's health periodically: a hanging disk produces no event that could be waited for."""
        while True:
            gevent.sleep(self._timing.heartbeat_interval_s)
            is_healthy = self._writer.is_healthy()
            if is_healthy != self._replica.storage_ok:
                self._apply_input(
                    lambda now, is_healthy=is_healthy: self._replica.set_storage(now, is_healthy)
                )
