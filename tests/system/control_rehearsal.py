"""Deterministic simulation of the control state's replicas with injected faults.

Messages are lost, delayed, duplicated and reordered; links are cut in one or both directions; processes
pause, crash and lose power along with unsynced writes; disks hang, fail, and are lost as far as the tolerance
allows; machines are replaced. Clients send orders to any replica, and invariants are checked throughout. Run
as a module, it plays the schedules of many seeds.
"""

from __future__ import annotations

import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from pyrsistent import pmap

from nettledeal.common.errors import ErrorCode
from nettledeal.common.settings import FaultTolerance
from nettledeal.control.effects import DurableState, SaveAcceptorState, SaveChanges, SaveRanges, Write
from nettledeal.control.epoch_consensus import AcceptorState
from nettledeal.control.messages import EpochRecord, Hello, Message, ReplicaInfo
from nettledeal.control.replica import Replica
from nettledeal.control.state import ACCEPTED_PREFIX, ControlState, Outcome, PutConfiguration
from nettledeal.control.timing import Timing
from tests.system.order_history import FOREVER, Answer, History, Put, Read

SYNC_S = 0.005
CALL_S = 1.0
SETTLE_S = 25.0
POWER_LOSS_PROBABILITY = 0.25
MIN_TIMER_DELAY_S = 0.002
LEAVE_GRACE_S = 4.4
LEAVE_CHECK_S = 0.02


def apply_write(durable: DurableState, write: Write) -> DurableState:
    """The disk's contents after one write."""
    if isinstance(write, SaveAcceptorState):
        return DurableState(write.acceptor, durable.epoch, durable.state)
    entries = durable.state.entries
    if isinstance(write, SaveRanges):
        for key in write.removed:
            entries = entries.discard(key)
        changes = write.entries
    else:
        assert isinstance(write, SaveChanges)
        changes = write.changes
    for change in changes:
        entries = entries.discard(change.key)
        if change.value is not None:
            entries = entries.set(change.key, change.value)
    return DurableState(durable.acceptor, write.epoch, ControlState(write.sequence, entries))


@dataclass
class Disk:
    """Writes in order; a crash keeps the synced ones and a prefix of the unsynced ones."""

    durable: DurableState
    unsynced: deque[tuple[int, Write]] = field(default_factory=deque)
    hanging_until: float = 0.0
    failing_until: float = 0.0
    busy: bool = False


@dataclass
class Machine:
    """One core machine. `deferred` collects the events that arrive while its process is paused."""

    host: str
    zone: str
    identity: str
    disk: Disk
    replica: Replica | None = None
    incarnation: int = 0
    synced_write: int = 0
    waiting_sends: list = field(default_factory=list)
    paused: bool = False
    deferred: list = field(default_factory=list)
    timer_due_at: float = float("inf")
    removed: bool = False
    leaving_for_good: bool = False
    clock_offset_s: float = 0.0


@dataclass
class Order:
    """A client's order to replace a version of the configuration."""

    command: PutConfiguration
    acknowledged: bool = False
    refused: bool = False


class World:
    """Machines and their links; invariants are checked after every event."""

    def __init__(
        self,
        seed: object,
        count: int = 3,
        seeds: int = 3,
        machines: int = 1,
        replica_type: Callable[..., Replica] = Replica,
    ):
        self.replica_type = replica_type
        self.random = Random(f"{seed} control")
        self.now = 0.0
        self.tolerance = FaultTolerance(machines=machines, zones=1)
        self.events: list = []
        self.event_count = 0
        self.loss = self.duplication = 0.0
        self.delay_s, self.jitter_s = 0.005, 0.02
        self.extra_delay_by_host: dict[str, float] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.greeted_connections: set[tuple[str, int, str, int]] = set()
        self.delivered_types: dict[str, tuple[type, ...]] = {}
        self.machines: dict[str, Machine] = {}
        self.seeds = [f"h{n}" for n in range(min(seeds, count))]
        self.violations: list[str] = []
        self.pending_calls: dict[int, Callable] = {}
        self.last_call_id = 0
        self.records: dict[int, EpochRecord] = {}
        self.acting_primaries: dict[int, tuple[str, int]] = {}
        self.committed: dict[int, object] = {}
        self.acknowledged: dict[str, int] = {}
        self.on_accepted: list[Callable[[], None]] = []
        self.history = History()
        for n in range(count):
            self.add(f"h{n}", f"z{n}", bootstrap=f"h{n}" in self.seeds)

    def clock(self, machine: Machine) -> float:
        """The time of a machine's own monotonic clock."""
        return self.now + machine.clock_offset_s

    # Events

    def at(self, when: float, call: Callable, *arguments: object) -> None:
        self.event_count += 1
        heappush(self.events, (when, self.event_count, call, arguments))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until and not self.violations:
            self.now, _, call, arguments = heappop(self.events)
            call(*arguments)
        self.now = max(self.now, until)

    # Machines

    def add(self, host: str, zone: str, bootstrap: bool = False) -> Machine:
        machine = Machine(host, zone, "", Disk(DurableState()))
        self.machines[host] = machine
        self._format(machine, bootstrap)
        self.at(self.now + self.random.random() * 0.3, self.start, machine)
        return machine

    def _format(self, machine: Machine, bootstrap: bool) -> None:
        acceptor = AcceptorState()
        machine.identity = f"{machine.host}-{self.random.getrandbits(32):08x}"
        if bootstrap:
            machine.identity = f"{machine.host}-seed"
            voters = tuple(ReplicaInfo(f"{host}-seed", host) for host in self.seeds)
            members = tuple(voter.replica_id for voter in voters)
            acceptor = AcceptorState(EpochRecord(0, "", members, voters))
        machine.disk = Disk(DurableState(acceptor, -1, ControlState(0, pmap())))

    def start(self, machine: Machine) -> None:
        if machine.replica is not None or machine.removed:
            return
        machine.incarnation += 1
        machine.synced_write, machine.waiting_sends, machine.deferred, machine.paused = 0, [], [], False
        machine.disk.busy = False
        machine.timer_due_at = float("inf")
        info = ReplicaInfo(machine.identity, machine.host, machine.zone, "r", f"{machine.host}:1")
        machine.replica = self.replica_type(
            info,
            machine.disk.durable,
            Timing(),
            self.tolerance,
            Random(self.random.getrandbits(64)),
            self.clock(machine),
        )
        self.run_effects(machine)
        self.at(self.now + 0.01, self._open_connections, machine, machine.incarnation)

    def crash(self, machine: Machine) -> None:
        if machine.replica is None:
            return
        machine.replica = None
        kept = self.random.choice((0, self.random.randint(0, len(machine.disk.unsynced))))
        for _, write in list(machine.disk.unsynced)[:kept]:
            machine.disk.durable = apply_write(machine.disk.durable, write)
        machine.disk.unsynced.clear()
        machine.disk.busy = False

    def wipe(self, machine: Machine) -> None:
        self.crash(machine)
        self._format(machine, bootstrap=False)

    def pause(self, machine: Machine) -> None:
        machine.paused = True

    def resume(self, machine: Machine, incarnation: int) -> None:
        if machine.incarnation != incarnation or machine.replica is None:
            return
        machine.paused = False
        deferred, machine.deferred = machine.deferred, []
        for call, arguments in deferred:
            call(*arguments)

    def remove(self, machine: Machine) -> None:
        self.crash(machine)
        machine.removed = True

    def leave(
        self, machine: Machine, then: Callable[[Machine], None], grace_s: float = LEAVE_GRACE_S
    ) -> None:
        """SIGTERM: the process exits once it may, at the latest after `grace_s`; then `then` is called."""
        if machine.replica is None:
            then(machine)
            return
        self._terminate(machine, machine.incarnation)
        self._await_exit(machine, machine.incarnation, self.now + grace_s, then)

    def _terminate(self, machine: Machine, incarnation: int) -> None:
        """Deliver the signal; a paused process gets it first when it resumes."""
        if machine.replica is None or machine.incarnation != incarnation:
            return
        if machine.paused:
            machine.deferred.insert(0, (self._terminate, (machine, incarnation)))
            return
        machine.replica.leave(self.clock(machine))
        self.run_effects(machine)

    def _await_exit(
        self, machine: Machine, incarnation: int, deadline: float, then: Callable[[Machine], None]
    ) -> None:
        if machine.replica is None or machine.incarnation != incarnation:
            return
        if self.now >= deadline or (machine.replica.may_end and not machine.paused):
            self.crash(machine)
            then(machine)
            return
        self.at(self.now + LEAVE_CHECK_S, self._await_exit, machine, incarnation, deadline, then)

    def running(self) -> list[Machine]:
        return [machine for machine in self.machines.values() if machine.replica is not None]

    def primary(self) -> Machine:
        """The first running machine that considers itself the primary."""
        return next(machine for machine in self.running() if machine.replica.primary is not None)

    def stored_record(self) -> EpochRecord | None:
        """The latest record that a majority of its voters has on disk.

        A later one may be decided but known only to its proposer; the replicas it replaces are still needed.
        """
        epochs = {
            machine.identity: machine.disk.durable.acceptor.epoch
            for machine in self.machines.values()
            if not machine.removed
        }
        for epoch in sorted(self.records, reverse=True):
            record = self.records[epoch]
            stored = [name for name in record.voter_ids if epochs.get(name, -1) >= epoch]
            if len(stored) >= record.majority:
                return record
        return None

    def listed_seeds(self) -> list[str]:
        """Hosts that the platform's settings currently name as seeds."""
        return [host for host, machine in self.machines.items() if not machine.removed][-3:]

    def _open_connections(self, machine: Machine, incarnation: int) -> None:
        """Model the connections that a host keeps open: one Hello on each new connection."""
        if machine.replica is None or machine.incarnation != incarnation:
            return
        if not machine.paused:
            record = machine.replica.record
            hosts = {voter.host for voter in record.voters} if record else set()
            hosts |= set(self.listed_seeds())
            hosts |= {info.host for info in machine.replica.known_replicas.values()}
            for host in sorted(hosts - {machine.host}):
                self._send_hello(machine, host)
        self.at(self.now + 0.5, self._open_connections, machine, incarnation)

    def _send_hello(self, machine: Machine, host: str) -> None:
        other = self.machines.get(host)
        if other is None or other.replica is None or (machine.host, host) in self.cuts:
            return
        connection = (machine.host, machine.incarnation, host, other.incarnation)
        if connection not in self.greeted_connections:
            self.greeted_connections.add(connection)
            hello = Hello(machine.replica.info, machine.replica.record)
            self.at(self.now + self.delay_s, self._on_arrival, host, machine.replica.info, hello, None)

    def reconnect(self, pairs: set[tuple[str, str]]) -> None:
        """End cuts; the connections that they blocked are reopened."""
        self.cuts -= pairs
        self.greeted_connections = {
            entry for entry in self.greeted_connections if (entry[0], entry[2]) not in pairs
        }

    # Effects

    def run_effects(self, machine: Machine) -> None:
        replica = machine.replica
        effects = replica.take_effects()
        for number, write in effects.writes:
            machine.disk.unsynced.append((number, write))
        self._start_sync(machine)
        for send in effects.sends:
            if send.after_write <= machine.synced_write:
                self._transmit(machine, send.host, send.message)
            else:
                machine.waiting_sends.append(send)
        for answer in effects.answers:
            self.pending_calls.pop(answer.call_id, lambda _: None)(answer.result)
        self._check_invariants(machine)
        due = max(self.now + replica.next_tick_at - self.clock(machine), self.now + MIN_TIMER_DELAY_S)
        if due < machine.timer_due_at:
            machine.timer_due_at = due
            self.at(due, self._on_timer, machine, machine.incarnation, due)

    def _on_timer(self, machine: Machine, incarnation: int, due: float) -> None:
        if machine.replica is None or machine.incarnation != incarnation or machine.timer_due_at != due:
            return
        if machine.paused:
            machine.deferred.append((self._on_timer, (machine, incarnation, due)))
            return
        machine.timer_due_at = float("inf")
        machine.replica.tick(self.clock(machine))
        self.run_effects(machine)

    def _start_sync(self, machine: Machine) -> None:
        disk = machine.disk
        if disk.busy or not disk.unsynced:
            return
        disk.busy = True
        finished_at = max(self.now, disk.hanging_until, disk.failing_until) + SYNC_S * (
            0.5 + self.random.random()
        )
        self.at(finished_at, self._sync, machine, machine.incarnation, len(disk.unsynced))

    def _sync(self, machine: Machine, incarnation: int, count: int) -> None:
        if machine.replica is None or machine.incarnation != incarnation:
            return
        if machine.paused:
            machine.deferred.append((self._sync, (machine, incarnation, count)))
            return
        disk = machine.disk
        disk.busy = False
        for _ in range(count):
            machine.synced_write, write = disk.unsynced.popleft()
            disk.durable = apply_write(disk.durable, write)
        ready = [send for send in machine.waiting_sends if send.after_write <= machine.synced_write]
        machine.waiting_sends = [
            send for send in machine.waiting_sends if send.after_write > machine.synced_write
        ]
        for send in ready:
            self._transmit(machine, send.host, send.message)
        machine.replica.on_synced(self.clock(machine), machine.synced_write)
        self.run_effects(machine)

    def _transmit(self, machine: Machine, host: str, message: Message) -> None:
        if host == machine.host:
            self.at(self.now, self._on_arrival, host, machine.replica.info, message, machine.incarnation)
            return
        if not isinstance(message, self.delivered_types.get(host, object)):
            return
        if (machine.host, host) in self.cuts or self.random.random() < self.loss:
            return
        for _ in range(2 if self.random.random() < self.duplication else 1):
            extra_delay_s = self.extra_delay_by_host.get(machine.host, 0.0) + self.extra_delay_by_host.get(
                host, 0.0
            )
            when = self.now + self.delay_s + extra_delay_s + self.random.random() * self.jitter_s
            self.at(when, self._on_arrival, host, machine.replica.info, message, None)

    def _on_arrival(self, host: str, sender: ReplicaInfo, message: Message, incarnation: int | None) -> None:
        machine = self.machines.get(host)
        if machine is None or machine.replica is None or incarnation not in (None, machine.incarnation):
            return
        if machine.paused:
            machine.deferred.append((self._on_arrival, (host, sender, message, incarnation)))
            return
        machine.replica.receive(self.clock(machine), sender, message)
        self.run_effects(machine)

    def set_storage(self, machine: Machine, incarnation: int, works: bool) -> None:
        if machine.replica is not None and machine.incarnation == incarnation:
            machine.replica.set_storage(self.clock(machine), works)
            self.run_effects(machine)

    # Calls

    def submit(self, machine: Machine, command: PutConfiguration, on_done: Callable) -> None:
        self._call(
            machine, on_done, lambda call_id: machine.replica.submit(self.clock(machine), call_id, command)
        )

    def read(self, machine: Machine, on_done: Callable) -> None:
        self._call(machine, on_done, lambda call_id: machine.replica.read(self.clock(machine), call_id))

    def _call(self, machine: Machine, on_done: Callable, start_call: Callable[[int], None]) -> None:
        if machine.replica is None or machine.paused:
            return
        self.last_call_id += 1
        self.pending_calls[self.last_call_id] = on_done
        start_call(self.last_call_id)
        self.run_effects(machine)

    # Invariants

    def _check_invariants(self, machine: Machine) -> None:
        replica = machine.replica
        record = replica.record
        if record is not None and self.records.setdefault(record.epoch, record) != record:
            self.violations.append(
                f"epoch {record.epoch} was decided twice: {self.records[record.epoch]}, {record}"
            )
        if replica.primary is not None and replica.primary.acting:
            epoch, actor = replica.primary.record.epoch, (machine.host, machine.incarnation)
            if self.acting_primaries.setdefault(epoch, actor) != actor:
                self.violations.append(f"in epoch {epoch} {self.acting_primaries[epoch]} and {actor} acted")
        state = replica.replicated.committed
        if state is not None:
            known = self.committed.setdefault(state.sequence, state.entries)
            if known is not state.entries and known != state.entries:
                self.violations.append(
                    f"two states were committed as {state.sequence}, the later by {machine.host}"
                )

    def accepted(self, command: PutConfiguration) -> None:
        """Record an acknowledged order, which every later read must contain."""
        for digest, expected in self.acknowledged.items():
            if expected == command.expected_version and digest != command.digest.hex():
                self.violations.append(f"two orders on version {expected} were both acknowledged")
        self.acknowledged[command.digest.hex()] = command.expected_version
        for call in self.on_accepted:
            call()

    def check_read(self, state: ControlState, acknowledged: set[str]) -> None:
        """Check that a read contains everything that was acknowledged when it began."""
        missing = [digest for digest in acknowledged if ACCEPTED_PREFIX + digest not in state.entries]
        if missing:
            self.violations.append(f"a read of {state.sequence} lacks acknowledged orders {missing}")


ANSWER_BY_OUTCOME = {
    Outcome.ACCEPTED: Answer.ACKNOWLEDGED,
    Outcome.CONFLICT: Answer.REFUSED,
    Outcome.INVALID: Answer.REFUSED,
}


def _put(command: PutConfiguration, began: float, ended: float, answer: Answer) -> Put:
    name = command.body.decode()
    return Put(name, command.expected_version, command.generation, began, ended, answer)


class Client:
    """Sends orders, each until it gets a definite answer, with reads in between."""

    def __init__(self, world: World, name: str, until: float):
        self.world, self.name, self.until = world, name, until
        self.random = Random(world.random.getrandbits(64))
        self.count = 0
        self.order: Order | None = None
        self.generation = 0
        self.answer_count = 0
        self.resendable: list[Order] = []
        world.at(1.0 + self.random.random(), self._next_action)

    def _next_action(self) -> None:
        if self.world.now >= self.until:
            return
        if self.order is not None:
            self._attempt(self.order)
        elif self.random.random() < 0.3:
            self._read()
        elif self.resendable and self.random.random() < 0.2:
            self._resend(self.random.choice(self.resendable))
        else:
            self._send_new_order()
        self.world.at(self.world.now + 0.05 + 0.6 * self.random.random(), self._next_action)

    def _machine(self) -> Machine | None:
        running = self.world.running()
        leading = [machine for machine in running if machine.replica.primary is not None]
        among = leading if leading and self.random.random() < 0.8 else running
        return self.random.choice(among) if among else None

    def _send_new_order(self) -> None:
        self.count += 1
        generation = self.generation + self.random.randint(1, 3)
        digest = f"{self.name}.{self.count}".encode()
        self.order = Order(PutConfiguration(self.generation, generation, digest, digest))
        self._attempt(self.order)

    def _attempt(self, order: Order) -> None:
        machine = self._machine()
        if machine is None:
            return
        began = self.world.now
        # Until an answer arrives, the attempt may take effect at any time.
        position = len(self.world.history.puts)
        self.world.history.puts.append(_put(order.command, began, FOREVER, Answer.UNCLEAR))

        def on_answer(result: Outcome | ErrorCode) -> None:
            answer = ANSWER_BY_OUTCOME.get(result, Answer.UNCLEAR)
            self.world.history.puts[position] = _put(order.command, began, self.world.now, answer)
            self._on_answer(order, result)

        self.world.submit(machine, order.command, on_answer)

    def _on_answer(self, order: Order, result: Outcome | ErrorCode) -> None:
        if result is Outcome.ACCEPTED:
            if not order.acknowledged:
                order.acknowledged = True
                self.world.accepted(order.command)
                self.resendable.append(order)
                self.generation = max(self.generation, order.command.generation)
            self.answer_count += 1
        elif isinstance(result, Outcome):
            if order.acknowledged:
                self.world.violations.append(
                    f"{order.command.digest} was acknowledged and then refused: {result}"
                )
            order.refused = True
            self._read()
        else:
            return
        if self.order is order:
            self.order = None

    def _resend(self, order: Order) -> None:
        self._attempt(order)

    def _read(self) -> None:
        machine = self._machine()
        if machine is not None:
            acknowledged, began = set(self.world.acknowledged), self.world.now
            self.world.read(machine, lambda result: self._on_read(acknowledged, began, result))

    def _on_read(self, acknowledged: set[str], began: float, result: ControlState | ErrorCode) -> None:
        if isinstance(result, ControlState):
            self.world.check_read(result, acknowledged)
            name = (result.configuration or b"").decode()
            self.world.history.reads.append(Read(name, began, self.world.now))
            self.generation = result.generation


class FaultInjector:
    """Injects a random schedule of faults; disks are lost only as far as the tolerance allows."""

    def __init__(self, world: World, until: float):
        self.world, self.until = world, until
        self.random = Random(world.random.getrandbits(64))
        self.replacement_count = 0
        world.on_accepted.append(self._power_loss_after_acceptance)
        world.at(1.5 + self.random.random(), self._next_action)

    def _power_loss_after_acceptance(self) -> None:
        """With some probability, all machines lose power just as an order is acknowledged."""
        if self.world.now < self.until and self.random.random() < POWER_LOSS_PROBABILITY:
            self.world.at(self.world.now + self.random.random() * 0.004, self._kill_all)

    def _next_action(self) -> None:
        world = self.world
        if world.now >= self.until:
            return
        self.random.choice(self.faults())()
        world.at(world.now + 0.1 + self.random.random() ** 2 * 3.0, self._next_action)

    def faults(self) -> tuple[Callable[[], None], ...]:
        """The faults to draw from; repeated entries are more likely."""
        return (
            self._kill_some,
            self._kill_some,
            self._kill_all,
            self._pause,
            self._cut_both_ways,
            self._cut_both_ways,
            self._cut_one_way,
            self._degrade_network,
            self._hang_disks,
            self._fail_disk,
            self._wipe_disks,
            self._wipe_disks_with_power_loss,
            self._replace_machine,
            self._leave_and_restart,
        )

    def _fault_duration_s(self) -> float:
        return 0.1 + self.random.random() ** 2 * 5.0

    def _random_machines(self) -> list[Machine]:
        machines = [machine for machine in self.world.machines.values() if not machine.removed]
        return self.random.sample(machines, self.random.randint(1, max(1, len(machines) // 2)))

    def _kill_some(self) -> None:
        for machine in self._random_machines():
            self._restart_after(machine, self._fault_duration_s())

    def _kill_all(self) -> None:
        for machine in list(self.world.machines.values()):
            self._restart_after(machine, 0.2 + self.random.random())

    def _restart_after(self, machine: Machine, duration_s: float) -> None:
        self.world.crash(machine)
        self.world.at(self.world.now + duration_s, self.world.start, machine)

    def _pause(self) -> None:
        for machine in self._random_machines():
            if machine.replica is not None and not machine.paused:
                self.world.pause(machine)
                self.world.at(
                    self.world.now + self._fault_duration_s(), self.world.resume, machine, machine.incarnation
                )

    def _cut_both_ways(self) -> None:
        some = {machine.host for machine in self._random_machines()}
        others = self.world.machines.keys() - some
        self._cut_links({(a, b) for a in some for b in others} | {(b, a) for a in some for b in others})

    def _cut_one_way(self) -> None:
        some = {machine.host for machine in self._random_machines()}
        others = self.world.machines.keys() - some
        outward = self.random.random() < 0.5
        self._cut_links({(a, b) if outward else (b, a) for a in some for b in others})

    def _cut_links(self, pairs: set[tuple[str, str]]) -> None:
        self.world.cuts |= pairs
        self.world.at(self.world.now + self._fault_duration_s(), self.world.reconnect, pairs)

    def _degrade_network(self) -> None:
        world = self.world
        world.loss, world.duplication = self.random.random() * 0.4, self.random.random() * 0.3
        world.jitter_s = self.random.random() * 0.3
        world.at(world.now + self._fault_duration_s(), self._restore_network)

    def _restore_network(self) -> None:
        self.world.loss = self.world.duplication = 0.0
        self.world.jitter_s = 0.02

    def _hang_disks(self) -> None:
        for machine in self._random_machines():
            self._stall_disk(machine, self._fault_duration_s(), noticed_after_s=0.8)

    def _fail_disk(self) -> None:
        self._stall_disk(
            self.random.choice(self._random_machines()), self._fault_duration_s(), noticed_after_s=0.01
        )

    def _stall_disk(self, machine: Machine, duration_s: float, noticed_after_s: float) -> None:
        world = self.world
        machine.disk.hanging_until = max(machine.disk.hanging_until, world.now + duration_s)
        if duration_s > noticed_after_s:
            world.at(world.now + noticed_after_s, world.set_storage, machine, machine.incarnation, False)
            world.at(world.now + duration_s + 0.05, world.set_storage, machine, machine.incarnation, True)

    def _remaining_disk_losses(self) -> int:
        """How many more disks may be lost, given the latest epoch that a majority of its voters has stored.

        Voters whose disk is permanently lost, machines about to leave permanently and machines not in sync
        count as lost already.
        """
        world = self.world
        record = world.stored_record()
        if record is None:
            return 0
        staying = {
            machine.identity
            for machine in world.machines.values()
            if not machine.removed and not machine.leaving_for_good
        }
        lost = (staying - set(record.in_sync)) | (record.voter_ids - staying)
        return max(0, world.tolerance.machines - len(lost))

    def _wipe_disks(self) -> None:
        for machine in self._random_machines()[: self._remaining_disk_losses()]:
            self._lose_disk(machine)

    def _lose_disk(self, machine: Machine) -> None:
        self.world.wipe(machine)
        self.world.at(self.world.now + 0.2 + self._fault_duration_s(), self.world.start, machine)

    def _wipe_disks_with_power_loss(self) -> None:
        chosen = self._random_machines()[: self._remaining_disk_losses()]
        for machine in list(self.world.machines.values()):
            if machine in chosen:
                self._lose_disk(machine)
            else:
                self._restart_after(machine, 0.2 + self.random.random())

    def _replace_machine(self) -> None:
        if self._remaining_disk_losses() < 1 or self.replacement_count >= 3:
            return
        machine = self.random.choice(self._random_machines())
        self.replacement_count += 1
        machine.leaving_for_good = True
        how = self.random.choice((self._replace_dead, self._replace_leave_first, self._replace_join_first))
        how(machine, f"spare{self.replacement_count}")

    def _replace_dead(self, machine: Machine, host: str) -> None:
        self.world.remove(machine)
        self.world.add(host, machine.zone)

    def _replace_leave_first(self, machine: Machine, host: str) -> None:
        """The old machine starts to leave before the new one joins."""
        self.world.leave(machine, self.world.remove)
        self.world.add(host, machine.zone)

    def _replace_join_first(self, machine: Machine, host: str) -> None:
        """The new machine joins first; the old one leaves a second later."""
        self.world.add(host, machine.zone)
        self.world.at(self.world.now + 1.0, self.world.leave, machine, self.world.remove)

    def _leave_and_restart(self) -> None:
        """Some machines are stopped and restarted; sometimes one is killed while it leaves."""
        for machine in self._random_machines():
            if self.random.random() < 0.25:
                self.world.at(self.world.now + 0.3 * self.random.random(), self._restart_after, machine, 0.2)
            self.world.leave(machine, self._restart)

    def _restart(self, machine: Machine) -> None:
        self.world.at(self.world.now + 0.2, self.world.start, machine)


def heal(world: World) -> None:
    """End all faults."""
    world.reconnect(set(world.cuts))
    world.loss = world.duplication = 0.0
    world.jitter_s = 0.02
    for machine in world.machines.values():
        machine.disk.hanging_until = 0.0
        if machine.replica is None:
            world.start(machine)
        elif machine.paused:
            world.resume(machine, machine.incarnation)


def settled(world: World) -> list[str]:
    """What doesn't hold after the faults: one primary, all machines in sync, equal states."""
    found = list(dict.fromkeys(world.violations))
    running = world.running()
    leading = [machine for machine in running if machine.replica.primary is not None]
    if len(leading) != 1:
        return [*found, f"{len(leading)} primaries: {[machine.host for machine in leading]}"]
    primary = leading[0].replica
    identities = {machine.identity for machine in running}
    if set(primary.record.in_sync) != identities:
        found.append(f"in sync {sorted(primary.record.in_sync)}, running {sorted(identities)}")
    if set(primary.record.voter_ids) != identities:
        found.append(f"voters {sorted(primary.record.voter_ids)}, running {sorted(identities)}")
    for machine in running:
        copy = machine.replica.replicated
        if copy.committed_sequence != primary.replicated.committed_sequence:
            found.append(f"{machine.host} has committed {copy.committed_sequence}")
        elif copy.committed is not None and copy.committed.entries != primary.replicated.committed.entries:
            found.append(f"{machine.host} holds another state at {copy.committed_sequence}")
    missing = [
        digest
        for digest in world.acknowledged
        if ACCEPTED_PREFIX + digest not in primary.replicated.latest.entries
    ]
    if missing:
        found.append(f"acknowledged orders are lost: {missing}")
    return found


def run_schedule(
    seed: object,
    count: int = 3,
    machines: int = 1,
    length_s: float = 20.0,
    replica_type: Callable[..., Replica] = Replica,
) -> list[str]:
    """Play the schedule of a seed; returns the violations."""
    world = World(seed, count, machines=machines, replica_type=replica_type)
    clients = [Client(world, f"c{n}", length_s + SETTLE_S / 2) for n in range(3)]
    FaultInjector(world, length_s)
    world.run(length_s)
    if world.violations or world.history.faults():
        return world.violations + world.history.faults()
    before = sum(client.answer_count for client in clients)
    world.at(length_s, heal, world)
    world.at(length_s + 5.5, heal, world)
    world.run(length_s + SETTLE_S)
    found = settled(world) + world.history.faults()
    if not found and sum(client.answer_count for client in clients) == before:
        found.append("no order was answered after the faults ended")
    return found


def main() -> int:
    """`python -m tests.system.control_rehearsal FIRST COUNT [MACHINES]`: schedules of many seeds."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    machines = int(sys.argv[3]) if len(sys.argv) > 3 else 3
    bad = 0
    for seed in range(first, first + count):
        found = run_schedule(seed, machines, (machines - 1) // 2)
        if found:
            bad += 1
            print(seed, found[:3], flush=True)
    print(f"{count} schedules of {machines} machines, {bad} with something broken")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
