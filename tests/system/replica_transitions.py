"""Memoized transitions of single replicas, for the state-space exploration of the whole system.

The same event reaches a replica in the same local state in many global states. Local states, messages and
transitions are numbered, so that a global state is a tuple of small numbers.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable
from dataclasses import dataclass

from pyrsistent import pmap

from nettledeal.common.settings import FaultTolerance
from nettledeal.control.effects import Answer, DurableState
from nettledeal.control.epoch_consensus import AcceptorState
from nettledeal.control.messages import (
    Accepted,
    Appended,
    EpochRecord,
    Heartbeat,
    HeartbeatAck,
    Message,
    Promise,
    RecordStored,
    Rejected,
    ReplicaInfo,
)
from nettledeal.control.peers import NEVER
from nettledeal.control.replica import Replica
from nettledeal.control.state import ControlState
from nettledeal.control.timing import Timing
from tests.system.control_rehearsal import apply_write

TOLERANCE = FaultTolerance(machines=1)
TIMING = Timing()
START_S = 100.0
NOBODY = -1
Event = tuple


class CountingRandom:
    """Replaces the random source: draws are distinct, and the same on every path to a state."""

    def __init__(self, draw_count: int) -> None:
        self.draw_count = draw_count

    def random(self) -> float:
        return 0.5

    def getrandbits(self, _: int) -> int:
        self.draw_count += 1
        return self.draw_count


class ExploredReplica(Replica):
    """A replica that votes in every election, even if it still hears the primary."""

    def _hears_primary(self, now, sender, message) -> bool:
        return False


@dataclass
class LocalState:
    """A replica and its disk, in the form that is pickled."""

    replica: Replica
    durable: DurableState
    incarnation: int


@dataclass(frozen=True)
class View:
    """The properties of a local state: which events are possible, and what invariants depend on."""

    info: ReplicaInfo
    incarnation: int
    record: EpochRecord
    accepted: EpochRecord | None
    entries: frozenset[str]
    durable_epoch: int
    may_lead: bool
    may_enter_second_phase: bool
    leads: bool
    acting_in: int | None
    droppable: tuple[str, ...]
    committed: tuple[int, tuple] | None
    leaving: bool
    may_end: bool


@dataclass(frozen=True)
class Transition:
    """The result of one event at one replica: its next state, messages by host number, and answers."""

    next_state: int
    sends: tuple[tuple[int, int], ...]
    answers: tuple[Answer, ...]


class ReplicaStates:
    """Numbers local states and messages, and computes transitions."""

    def __init__(self, hosts: list[str], replica_type: Callable[..., Replica]):
        self.hosts = hosts
        self.views: list[View] = []
        self.messages: list[Message] = []
        self._replica_type = replica_type
        self._numbers: dict[str, int] = {}
        self._message_numbers: dict[Message, int] = {}
        self._packed: list[bytes] = []
        self._moves: dict[tuple[int, str], Transition] = {}
        self._deliveries: dict[tuple[int, int, int], Transition] = {}

    def start_replica(self, info: ReplicaInfo, durable: DurableState, incarnation: int) -> int:
        """The number of the local state of a newly started replica."""
        return self._remember(self._start(info, durable, incarnation))

    def apply_event(self, number: int, event: Event) -> Transition:
        """The transition that an event causes."""
        key = (number, repr(event))
        if key not in self._moves:
            self._moves[key] = self._compute_transition(pickle.loads(self._packed[number]), event)
        return self._moves[key]

    def deliver(self, number: int, sender: int, message: int) -> Transition:
        """The transition that a message causes; the sender is identified by its local state."""
        key = (number, sender, message)
        if key not in self._deliveries:
            event = ("receive", self.views[sender].info, self.messages[message])
            self._deliveries[key] = self.apply_event(number, event)
        return self._deliveries[key]

    def is_obsolete(self, number: int, sender: int, message: int) -> bool:
        """Whether a message has no effect at its receiver, now or at any later time.

        This holds for votes in a ballot that has ended and for acknowledgements of a past epoch or sequence:
        epochs, sequences and ballots only increase while a process runs, and its links end with it.
        """
        content = self.messages[message]
        if isinstance(content, (RecordStored, Appended, HeartbeatAck)):
            if content.epoch > self.views[number].record.epoch:
                return False
        elif not isinstance(content, (Promise, Accepted, Rejected)):
            return False
        transition = self.deliver(number, sender, message)
        return transition.next_state == number and not transition.sends and not transition.answers

    def message_number(self, message: Message) -> int:
        """The number of a message."""
        number = self._message_numbers.get(message)
        if number is None:
            number = self._message_numbers[message] = len(self.messages)
            self.messages.append(message)
        return number

    def is_heartbeat(self, message: int) -> bool:
        """Whether it is a heartbeat or its answer; only the latest on a link is kept."""
        return isinstance(self.messages[message], (Heartbeat, HeartbeatAck))

    def _remember(self, local: LocalState) -> int:
        key = repr((local.incarnation, _durable_key(local.durable), _replica_key(local.replica)))
        number = self._numbers.get(key)
        if number is None:
            number = self._numbers[key] = len(self._packed)
            self._packed.append(pickle.dumps(local))
            self.views.append(_view(local))
        return number

    def _start(self, info: ReplicaInfo, durable: DurableState, incarnation: int) -> LocalState:
        replica = self._replica_type(
            info, durable, TIMING, TOLERANCE, CountingRandom(1000 * incarnation), START_S
        )
        return LocalState(replica, durable, incarnation)

    def _compute_transition(self, local: LocalState, event: Event) -> Transition:
        """Apply an event and execute its effects; writes are synced before anything is sent."""
        local = self._apply(local, event)
        replica, sends, answers = local.replica, [], []
        effects = replica.take_effects()
        while effects:
            for _, write in effects.writes:
                local.durable = apply_write(local.durable, write)
            if effects.writes:
                replica.on_synced(START_S, effects.writes[-1][0])
            for send in effects.sends:
                if send.host == replica.info.host:
                    replica.receive(START_S, replica.info, send.message)
                else:
                    sends.append((self.hosts.index(send.host), self.message_number(send.message)))
            answers += effects.answers
            effects = replica.take_effects()
        return Transition(self._remember(local), tuple(sends), tuple(answers))

    def _apply(self, local: LocalState, event: Event) -> LocalState:
        replica = local.replica
        match event:
            case ("receive", sender, message):
                replica.receive(START_S, sender, message)
            case ("elect",):
                replica._start_election(START_S)
            case ("enter second phase",):
                replica._enter_second_phase(START_S)
            case ("order", call_id, order):
                replica.submit(START_S, call_id, order)
            case ("read", call_id):
                replica.read(START_S, call_id)
            case ("heartbeat",):
                replica.primary.heartbeat(START_S)
            case ("drop", name):
                replica.primary.peers[name].heard_at = NEVER
                replica._propose_change(START_S)
            case ("leave",):
                replica.leave(START_S)
            case ("restart",):
                return self._start(replica.info, local.durable, local.incarnation + 1)
            case ("wipe", identity):
                info = ReplicaInfo(identity, replica.info.host, replica.info.zone, "r", "")
                return self._start(
                    info, DurableState(AcceptorState(), -1, ControlState(0, pmap())), local.incarnation + 1
                )
        return local


def _view(local: LocalState) -> View:
    replica = local.replica
    primary, proposer, committed = replica.primary, replica.proposer, replica.replicated.committed
    acting = primary is not None and primary.acting
    others = [name for name in primary.record.in_sync if name != replica.info.replica_id] if acting else []
    return View(
        info=replica.info,
        incarnation=local.incarnation,
        record=replica.record or EpochRecord(NOBODY, "", (), ()),
        accepted=replica.acceptor.state.accepted,
        entries=frozenset(local.durable.state.entries),
        durable_epoch=local.durable.epoch,
        may_lead=primary is None and replica.record is not None and replica._may_become_primary(),
        may_enter_second_phase=bool(
            proposer and not proposer.proposal and len(proposer.promises) >= proposer.base.majority
        ),
        leads=primary is not None,
        acting_in=primary.record.epoch if acting else None,
        droppable=tuple(others) if proposer is None else (),
        committed=committed and (committed.sequence, tuple(sorted(committed.entries.items()))),
        leaving=replica.leaving,
        may_end=replica.leaving and replica.may_end,
    )


def _durable_key(durable: DurableState) -> tuple:
    """A key that is equal for equal contents, regardless of the order in which they were written."""
    state = durable.state
    return durable.acceptor, durable.epoch, state.sequence, sorted(state.entries.items())


def _replica_key(replica: Replica) -> tuple:
    copy, proposer, primary = replica.replicated, replica.proposer, replica.primary
    return (
        replica.info.replica_id,
        replica.acceptor.state,
        replica.random.draw_count,
        (copy.epoch, copy.latest.sequence, sorted(copy.latest.entries.items()), copy.committed_sequence),
        (replica.leaving, replica._released_epoch, replica._last_heartbeat_number if replica.leaving else 0),
        replica.appointment,
        proposer
        and (
            proposer.ballot,
            sorted(proposer.promises.items()),
            sorted(proposer.accepted_by),
            proposer.proposal,
            sorted(replica._rejected_by),
        ),
        primary and _primary_key(primary),
    )


def _primary_key(primary) -> tuple:
    peers = [
        (
            name,
            peer.acked_sequence,
            peer.sent_sequence,
            peer.acked_heartbeat,
            peer.reconciling and peer.reconciling.sequence,
            peer.incarnation,
            peer.leaving,
            peer.admitted_at,
            peer.heard_at == NEVER,
        )
        for name, peer in sorted(primary.peers.items())
    ]
    return (
        primary.record.epoch,
        sorted(primary._record_holders),
        sorted(primary._proposed_members),
        peers,
        primary.pending_calls,
        primary._heartbeat_number,
        primary._inherited_sequence,
        primary.reader_role.appointment,
    )
