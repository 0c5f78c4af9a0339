"""The host of a replica: carries out its steps on sockets, a disk and a steady clock."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from pathlib import Path
from random import Random
from uuid import uuid4

import gevent
from gevent.event import AsyncResult, Event

from nettledeal.common.addresses import Address, InternalPort, parse_address
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.logs import log_event
from nettledeal.common.settings import Settings
from nettledeal.control.cluster_guard import ClusterGuard
from nettledeal.control.identity import CoreMember, core_member, first_identity, own_info
from nettledeal.control.mesh import Mesh
from nettledeal.control.messages import NO_LIVES, EpochRecord, Hello, Message, ReplicaInfo
from nettledeal.control.performer import Performer
from nettledeal.control.replica import Replica
from nettledeal.control.roles import ReaderTerm
from nettledeal.control.state import Command, ControlState, Outcome
from nettledeal.control.steps import Durable
from nettledeal.control.storage import Storage
from nettledeal.control.timing import timing_for
from nettledeal.control.writer import Writer

# By this part of the platform's grace a process that is to end stops waiting for the others' agreement.
LEAVE_SHARE = 0.55
LEAVE_CHECK_S = 0.02
MIN_SLEEP_S = 0.002
MAX_SLEEP_S = 60.0
CALL_SHARE_OF_ACK = 0.8


class ControlNode:
    """One core machine's replica of the control state.

    `on_commit` callbacks get each newly committed state, on the loop; they must not block.
    `on_reader_changed` is called there after each change of who reads the platform's list. `on_refused` gets
    the reason (FOREIGN_DATA) if the disk turns out to be another cluster's.
    """

    def __init__(self, settings: Settings, storage_dir: Path | str | None = None):
        self.settings = settings
        self.on_commit: list[Callable[[ControlState], None]] = []
        self.on_reader_changed: Callable[[], None] = lambda: None
        self.on_refused: Callable[[ServingError], None] = lambda error: None
        # Hosts of other replicas that are known from elsewhere: seeds may have no replica.
        self.known_hosts: Callable[[], Iterable[str]] = tuple
        self._folder = Path(storage_dir or settings.data_dir or ".")
        self._timing = timing_for(settings.bounds)
        self._writer = Writer(self._on_synced)
        self._mesh = Mesh(
            settings.internal_address(InternalPort.REPLICATION),
            self._hello,
            self._on_message,
            self._foreign_to,
            self._on_refused,
            self._timing.silence_s * 1.5,
        )
        self._replica: Replica | None = None
        self._performer = Performer(settings.ip, self._writer, self._mesh)
        self._carrying_out = False
        self._last_ticket = 0
        self._told = -1
        self._epoch_told = -1
        self._reader_told: tuple[str | None, ReaderTerm] = (None, ReaderTerm(-1, 0))
        self._timer_due = float("inf")
        self._timer_changed = Event()
        self._greenlets: list[gevent.Greenlet] = []
        self._guard = ClusterGuard(self._folder)
        self._last_reading_at: float | None = None

    def start(self) -> None:
        """Open the disk, listen, and take part.

        Raises ServingError (FOREIGN_DATA, STORAGE_FAILED), or OSError where the port is taken.
        """
        storage = self._writer.run_blocking(Storage, self._folder)
        if storage.replica_id is None:
            self._writer.run_blocking(storage.create, *first_identity(self.settings))
        durable: Durable = self._writer.run_blocking(storage.load)
        info = own_info(self.settings, storage.replica_id)
        self._replica = Replica(
            info, durable, self._timing, self.settings.fault_tolerance, Random(uuid4().int), time.monotonic()
        )
        self._writer.start(storage)
        self._mesh.start()
        self._update_links()
        self._greenlets = [gevent.spawn(self._run_timer), gevent.spawn(self._run_contact_check)]

    def stop(self) -> None:
        """Hand over what this replica leads, wait until the others can do without it, and close."""
        deadline = time.monotonic() + LEAVE_SHARE * self.settings.bounds.grace_s
        self._input(lambda now: self._replica.leave(now))
        while not self._replica.may_end and time.monotonic() < deadline:
            gevent.sleep(LEAVE_CHECK_S)
        log_event("control:left", agreed=self._replica.may_end)
        self.abort()

    def abort(self) -> None:
        """End at once, as a crash would."""
        self._mesh.stop()
        gevent.killall(self._greenlets, block=False)
        self._writer.stop()

    # What others ask

    @property
    def state(self) -> ControlState:
        """The last state known to be committed; empty (sequence 0) until one is known after a start."""
        committed = self._replica.replicated.committed if self._replica else None
        return committed or ControlState()

    @property
    def is_primary(self) -> bool:
        """Whether this replica is the primary of the last epoch that it knows."""
        return self._replica is not None and self._replica.primary is not None

    @property
    def primary_address(self) -> Address | None:
        """Where the primary serves the operator."""
        record = self._replica.record if self._replica else None
        if record is None:
            return None
        for voter in record.voters:
            if voter.replica_id == record.primary and voter.control_plane:
                return parse_address(voter.control_plane)
        return None

    @property
    def epoch_record(self) -> EpochRecord | None:
        """The last decided epoch known here."""
        return self._replica.record if self._replica else None

    @property
    def replica_id(self) -> str:
        """The identity of this replica's disk."""
        return self._replica.info.replica_id

    @property
    def reader(self) -> str | None:
        """The replica that is to read the platform's list; None also while its present life has no grant."""
        replica = self._replica
        if replica is None:
            return None
        reader = replica.current_appointment.reader
        if reader == replica.info.replica_id and not replica.reads:
            return None
        return reader or None

    @property
    def reader_term(self) -> ReaderTerm:
        """Orders the reader's appointments."""
        replica = self._replica
        if replica is None or replica.record is None:
            return ReaderTerm(-1, 0)
        appointment = replica.current_appointment
        # Of a backup both are from one heartbeat: numbers begin anew with an epoch, and a term must never go
        # back.
        epoch = replica.record.epoch if replica.primary else replica.reader_epoch
        return ReaderTerm(epoch, appointment.number, appointment.life != NO_LIVES)

    def report_reading(self, ok: bool) -> None:
        """The reader tells how its last reading went."""
        if ok:
            self._last_reading_at = time.monotonic()

    def confirmed_age_s(self) -> float:
        """Seconds since the committed state here was confirmed to be the newest; infinite before that."""
        return self._replica.confirmed_age_s(time.monotonic()) if self._replica else float("inf")

    def cores(self) -> list[CoreMember]:
        """The core machines that vote."""
        record = self._replica.record if self._replica else None
        if record is None:
            return []
        return [core_member(voter) for voter in record.voters]

    def submit(self, command: Command, timeout_s: float | None = None) -> Outcome:
        """Commit a command on all in-sync replicas and return what became of it.

        Raises ServingError: NOT_PRIMARY and UNAVAILABLE where it was not taken; TIMED_OUT where it may or may
        not be taken later.
        """
        return self._call("submit", timeout_s, lambda now, ticket: self._replica.submit(now, ticket, command))

    def read(self, timeout_s: float | None = None) -> ControlState:
        """The committed state, confirmed with the in-sync replicas after this call began.

        Raises ServingError: NOT_PRIMARY, UNAVAILABLE or TIMED_OUT.
        """
        return self._call("read", timeout_s, lambda now, ticket: self._replica.read(now, ticket))

    def _call(self, step: str, timeout_s: float | None, ask: Callable[[float, int], None]):
        if timeout_s is None:
            timeout_s = self.settings.bounds.ack_ms / 1000 * CALL_SHARE_OF_ACK
        self._last_ticket += 1
        ticket = self._last_ticket
        self._performer.tickets[ticket] = answer = AsyncResult()
        try:
            self._input(lambda now: ask(now, ticket))
            result = answer.get(timeout=timeout_s)
        except gevent.Timeout:
            raise ServingError(ErrorCode.TIMED_OUT, step) from None
        finally:
            del self._performer.tickets[ticket]
        if isinstance(result, ErrorCode):
            peer = self.primary_address
            raise ServingError(result, step, peer=str(peer) if peer else None)
        return result

    # Inputs

    def _hello(self) -> Hello:
        return Hello(self._replica.info, self._replica.record)

    def _foreign_to(self, hello: Hello) -> str | None:
        return self._guard.foreign_to(self._replica, hello)

    def _on_refused(self, host: str, cluster: str) -> None:
        error = self._guard.refused(self._replica.record.cluster, host, cluster)
        if error is not None:
            self.on_refused(error)

    def _on_message(self, sender: ReplicaInfo, message: Message) -> None:
        self._input(lambda now: self._replica.receive(now, sender, message))

    def _on_synced(self, number: int) -> None:
        self._performer.synced(number)
        self._input(lambda now: self._replica.synced(now, number))

    def _input(self, apply: Callable[[float], None]) -> None:
        now = time.monotonic()
        if self._last_reading_at is not None:
            self._replica.reading_age_s = now - self._last_reading_at
        apply(now)
        if not self._carrying_out:
            self._carrying_out = True
            try:
                self._carry_out()
            finally:
                self._carrying_out = False
        self._set_timer()

    def _carry_out(self) -> None:
        step = self._replica.take()
        local = self._performer.local
        while step or local:
            self._performer.perform(step)
            if local:
                self._replica.receive(time.monotonic(), self._replica.info, local.popleft())
            self._tell()
            step = self._replica.take()

    def _tell(self) -> None:
        record = self._replica.record
        if record is not None and record.epoch != self._epoch_told:
            self._epoch_told = record.epoch
            log_event(
                "epoch",
                epoch=record.epoch,
                primary=record.primary,
                in_sync=list(record.in_sync),
                voters=[f"{voter.replica_id}@{voter.host}" for voter in record.voters],
            )
        self._update_links()
        self._tell_reader()
        state = self._replica.replicated.committed
        if state is not None and state.sequence > self._told:
            self._told = state.sequence
            for callback in self.on_commit:
                callback(state)

    def _tell_reader(self) -> None:
        reader = (self.reader, self.reader_term)
        if reader != self._reader_told:
            self._reader_told = reader
            self.on_reader_changed()

    def _update_links(self) -> None:
        record = self._replica.record
        hosts = {voter.host for voter in record.voters} if record else set()
        primary = self._replica.primary
        if primary is not None:
            hosts |= {peer.info.host for peer in primary.peers.values()}
        if self.confirmed_age_s() > self._timing.gone_s:
            hosts |= {parse_address(seed).host for seed in self.settings.seeds}
            hosts |= {info.host for info in self._replica.known.values()}
            hosts |= set(self.known_hosts())
        self._mesh.want(hosts)

    # Time

    def _set_timer(self) -> None:
        due = self._replica.wake
        if due < self._timer_due:
            self._timer_due = due
            self._timer_changed.set()

    def _run_timer(self) -> None:
        while True:
            self._timer_due = self._replica.wake
            self._timer_changed.clear()
            remaining = self._timer_due - time.monotonic()
            if self._timer_changed.wait(max(MIN_SLEEP_S, min(remaining, MAX_SLEEP_S))):
                continue
            self._input(self._replica.tick)

    def _run_contact_check(self) -> None:
        """Links and the disk's state; the disk is looked at here, since a hang is the absence of an event."""
        while True:
            gevent.sleep(self._timing.heartbeat_s)
            works = self._writer.works()
            if works != self._replica.storage_ok:
                self._input(lambda now, works=works: self._replica.set_storage(now, works))
