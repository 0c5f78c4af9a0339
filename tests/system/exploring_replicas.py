"""Local states of replicas and what events lead to, worked out once and remembered.

The same thing happens to a replica in many states of the whole system. Local states, messages and moves are
numbered, so that a state of the system is a tuple of small numbers.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable
from dataclasses import dataclass

from pyrsistent import pmap

from nettledeal.common.settings import FaultTolerance
from nettledeal.control.epochs import WitnessState
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
from nettledeal.control.steps import Answer, Durable
from nettledeal.control.timing import Timing
from tests.system.control_rehearsal import write_to

TOLERANCE = FaultTolerance(machines=1)
TIMING = Timing()
START_S = 100.0
NOBODY = -1
Event = tuple


class Counter:
    """In place of a random source: its draws differ and are the same on each way to a state."""

    def __init__(self, drawn: int) -> None:
        self.drawn = drawn

    def random(self) -> float:
        return 0.5

    def getrandbits(self, _: int) -> int:
        self.drawn += 1
        return self.drawn


class Explored(Replica):
    """A replica that takes part in every election."""

    def _hears_primary(self, now, sender, message) -> bool:
        return False


@dataclass
class Local:
    """A replica with its disk, as it is pickled."""

    replica: Replica
    durable: Durable
    life: int


@dataclass(frozen=True)
class View:
    """What may happen to a replica, and what it shows. `ballot` is that of its own proposal."""

    info: ReplicaInfo
    life: int
    record: EpochRecord
    accepted: EpochRecord | None
    entries: frozenset[str]
    durable_epoch: int
    may_lead: bool
    may_go_on: bool
    leads: bool
    acting_in: int | None
    droppable: tuple[str, ...]
    committed: tuple[int, tuple] | None
    leaving: bool
    may_end: bool


@dataclass(frozen=True)
class Moved:
    """What one event leads to at one replica: its next state, messages by host number, and answers."""

    after: int
    sends: tuple[tuple[int, int], ...]
    answers: tuple[Answer, ...]


class Replicas:
    """Numbers local states and messages, and works out moves."""

    def __init__(self, hosts: list[str], replica_type: Callable[..., Replica]):
        self.hosts = hosts
        self.views: list[View] = []
        self.messages: list[Message] = []
        self._replica_type = replica_type
        self._numbers: dict[str, int] = {}
        self._message_numbers: dict[Message, int] = {}
        self._packed: list[bytes] = []
        self._moves: dict[tuple[int, str], Moved] = {}
        self._deliveries: dict[tuple[int, int, int], Moved] = {}

    def begin(self, info: ReplicaInfo, durable: Durable, life: int) -> int:
        """The number of a replica that has just been started."""
        return self._remember(self._begin(info, durable, life))

    def happen(self, number: int, event: Event) -> Moved:
        """What an event leads to."""
        key = (number, repr(event))
        if key not in self._moves:
            self._moves[key] = self._work_out(pickle.loads(self._packed[number]), event)
        return self._moves[key]

    def deliver(self, number: int, sender: int, message: int) -> Moved:
        """What a message leads to; senders are told apart by their local states."""
        key = (number, sender, message)
        if key not in self._deliveries:
            event = ("receive", self.views[sender].info, self.messages[message])
            self._deliveries[key] = self.happen(number, event)
        return self._deliveries[key]

    def is_spent(self, number: int, sender: int, message: int) -> bool:
        """Whether a message changes nothing at its receiver, now or whenever it comes.

        Votes of a ballot that is over, and acknowledgements of an epoch or a sequence that is: epochs,
        sequences and ballots only rise while a process lives, and its links end with it.
        """
        content = self.messages[message]
        if isinstance(content, (RecordStored, Appended, HeartbeatAck)):
            if content.epoch > self.views[number].record.epoch:
                return False
        elif not isinstance(content, (Promise, Accepted, Rejected)):
            return False
        moved = self.deliver(number, sender, message)
        return moved.after == number and not moved.sends and not moved.answers

    def number_of(self, message: Message) -> int:
        """The number of a message."""
        number = self._message_numbers.get(message)
        if number is None:
            number = self._message_numbers[message] = len(self.messages)
            self.messages.append(message)
        return number

    def is_beat(self, message: int) -> bool:
        """Whether it is a heartbeat or the answer to one, of which the latest stands for those before."""
        return isinstance(self.messages[message], (Heartbeat, HeartbeatAck))

    def _remember(self, local: Local) -> int:
        key = repr((local.life, _durable_key(local.durable), _replica_key(local.replica)))
        number = self._numbers.get(key)
        if number is None:
            number = self._numbers[key] = len(self._packed)
            self._packed.append(pickle.dumps(local))
            self.views.append(_view(local))
        return number

    def _begin(self, info: ReplicaInfo, durable: Durable, life: int) -> Local:
        replica = self._replica_type(info, durable, TIMING, TOLERANCE, Counter(1000 * life), START_S)
        return Local(replica, durable, life)

    def _work_out(self, local: Local, event: Event) -> Moved:
        """Apply an event and carry out what follows; writes are synced before anything is sent."""
        local = self._apply(local, event)
        replica, sends, answers = local.replica, [], []
        step = replica.take()
        while step:
            for _, write in step.writes:
                local.durable = write_to(local.durable, write)
            if step.writes:
                replica.synced(START_S, step.writes[-1][0])
            for send in step.sends:
                if send.host == replica.info.host:
                    replica.receive(START_S, replica.info, send.message)
                else:
                    sends.append((self.hosts.index(send.host), self.number_of(send.message)))
            answers += step.answers
            step = replica.take()
        return Moved(self._remember(local), tuple(sends), tuple(answers))

    def _apply(self, local: Local, event: Event) -> Local:
        replica = local.replica
        match event:
            case ("receive", sender, message):
                replica.receive(START_S, sender, message)
            case ("stand",):
                replica._start_election(START_S)
            case ("go on",):
                replica._enter_second_phase(START_S)
            case ("order", ticket, order):
                replica.submit(START_S, ticket, order)
            case ("read", ticket):
                replica.read(START_S, ticket)
            case ("beat",):
                replica.primary.heartbeat(START_S)
            case ("drop", name):
                replica.primary.peers[name].heard_at = NEVER
                replica._propose_change(START_S)
            case ("leave",):
                replica.leave(START_S)
            case ("restart",):
                return self._begin(replica.info, local.durable, local.life + 1)
            case ("wipe", identity):
                info = ReplicaInfo(identity, replica.info.host, replica.info.zone, "r", "")
                return self._begin(info, Durable(WitnessState(), -1, ControlState(0, pmap())), local.life + 1)
        return local


def _view(local: Local) -> View:
    replica = local.replica
    primary, proposer, committed = replica.primary, replica.proposer, replica.replicated.committed
    acting = primary is not None and primary.acting
    others = [name for name in primary.record.in_sync if name != replica.info.replica_id] if acting else []
    return View(
        info=replica.info,
        life=local.life,
        record=replica.record or EpochRecord(NOBODY, "", (), ()),
        accepted=replica.witness.state.accepted,
        entries=frozenset(local.durable.state.entries),
        durable_epoch=local.durable.epoch,
        may_lead=primary is None and replica.record is not None and replica._may_lead(),
        may_go_on=bool(
            proposer and not proposer.proposal and len(proposer.promises) >= proposer.base.majority
        ),
        leads=primary is not None,
        acting_in=primary.record.epoch if acting else None,
        droppable=tuple(others) if proposer is None else (),
        committed=committed and (committed.sequence, tuple(sorted(committed.entries.items()))),
        leaving=replica.leaving,
        may_end=replica.leaving and replica.may_end,
    )


def _durable_key(durable: Durable) -> tuple:
    """Equal for equal contents, in whatever order they were written."""
    state = durable.state
    return durable.witness, durable.epoch, state.sequence, sorted(state.entries.items())


def _replica_key(replica: Replica) -> tuple:
    copy, proposer, primary = replica.replicated, replica.proposer, replica.primary
    return (
        replica.info.replica_id,
        replica.witness.state,
        replica.random.drawn,
        (copy.epoch, copy.latest.sequence, sorted(copy.latest.entries.items()), copy.committed_sequence),
        (replica.leaving, replica._released_in, replica._heard_beat if replica.leaving else 0),
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
            peer.acked,
            peer.sent,
            peer.beat,
            peer.reconciling and peer.reconciling.sequence,
            peer.life,
            peer.leaving,
            peer.admitted_at,
            peer.heard_at == NEVER,
        )
        for name, peer in sorted(primary.peers.items())
    ]
    return (
        primary.record.epoch,
        sorted(primary._stored),
        sorted(primary._proposed),
        peers,
        primary.waiting,
        primary._beat,
        primary._begun_at,
        primary.role.appointment,
    )
