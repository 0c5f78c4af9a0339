"""Bounded model checking of a few replicas: all interleavings, on the production class `Replica`.

A state consists of the replicas, their disks and the messages in flight. Messages on a link arrive in order,
at any time or never, and a link may be reset, which loses its messages. At any moment a replica may suspect
its primary, be dropped, leave, crash or lose its disk. Time isn't modeled, so no replica refuses an election
because it heard the primary recently. (Reordering on a link is covered by `control_rehearsal`.)

Two reductions limit the number of states. Only the latest heartbeat and the latest answer on a link are kept.
Messages are dropped as soon as they can no longer have any effect.

`control_vectorized_explorer` and `experiments/control_bounds.py` explore complete bounds in large batches.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from pyrsistent import pmap

from nettledeal.control.effects import Answer, DurableState
from nettledeal.control.epoch_consensus import AcceptorState
from nettledeal.control.messages import Decided, EpochRecord, ReplicaInfo
from nettledeal.control.replica import Replica
from nettledeal.control.state import ACCEPTED_PREFIX, ControlState, Outcome, PutConfiguration
from tests.system.replica_transitions import (
    TOLERANCE,
    Event,
    ExploredReplica,
    ReplicaStates,
    Transition,
    View,
)

ENDED = None


@dataclass(frozen=True)
class Bounds:
    """How often each kind of event may occur on one path; `count` is the number of replicas.

    With four replicas, the last one is in the zone of the third, which it is meant to replace.
    """

    elections: int = 2
    orders: int = 1
    reads: int = 0
    drops: int = 0
    crashes: int = 0
    wipes: int = 0
    beats: int = 0
    resets: int = 0
    leaves: int = 0
    count: int = 3
    states: int = 20_000


@dataclass(frozen=True)
class Exploration:
    """The number of states seen, whether the bounds were exhausted, and a violation with the path to it."""

    states: int
    complete: bool
    violation: str = ""
    path: tuple[str, ...] = ()


@dataclass(frozen=True)
class PathHistory:
    """The part of a path's history on which the invariants depend."""

    acknowledged: frozenset[str] = frozenset()
    pending: tuple[tuple[int, str, frozenset[str]], ...] = ()
    records: frozenset[EpochRecord] = frozenset()
    committed: frozenset[tuple[int, tuple]] = frozenset()
    actors: frozenset[tuple[int, str, int]] = frozenset()


# Local state numbers by host, ENDED for a process that has exited; message numbers by link; the number of the
# remaining bounds; the number of a `PathHistory`.
State = tuple[tuple[int | None, ...], tuple[tuple[int, ...], ...], int, int]


class Explorer:
    """Breadth-first search, so the reported path to a violation is a shortest one."""

    def __init__(self, bounds: Bounds, replica_type: Callable[..., Replica] = ExploredReplica):
        self.bounds = bounds
        self.hosts = [f"h{n}" for n in range(bounds.count)]
        self.replicas = ReplicaStates(self.hosts, replica_type)
        self._histories: list[PathHistory] = []
        self._history_numbers: dict[PathHistory, int] = {}
        self._loss_violations: dict[tuple, str] = {}
        self._remaining_bounds: list[Bounds] = []
        self._remaining_numbers: dict[Bounds, int] = {}
        self._after_use_numbers: dict[tuple[int, str], int] = {}
        self._relevant_cache: dict[tuple[int, int, tuple[int, ...]], tuple[int, ...]] = {}
        self._observations: dict[tuple[int, int], int | str] = {}

    def explore(self) -> Exploration:
        """Explore everything reachable within the bounds, starting from a stable first epoch."""
        start = self._initial_state()
        seen = {start}
        queue: deque[tuple[State, tuple]] = deque([(start, ())])
        while queue:
            state, path = queue.popleft()
            for how, after in self._next_states(state):
                if isinstance(after, str):
                    return Exploration(len(seen), False, after, _path_steps((path, how)))
                if after not in seen:
                    seen.add(after)
                    queue.append((after, (path, how)))
            if len(seen) >= self.bounds.states:
                return Exploration(len(seen), False)
        return Exploration(len(seen), True)

    # Initial state

    def _initial_state(self) -> State:
        """Epoch 1 with an acting primary at the first host, known to all replicas."""
        zones = [f"z{min(number, 2)}" for number in range(len(self.hosts))]
        voters = tuple(
            ReplicaInfo(f"{host}-seed", host, zone, "r", "", int(number == 3))
            for number, (host, zone) in enumerate(zip(self.hosts, zones, strict=True))
        )
        record = EpochRecord(0, "", tuple(voter.replica_id for voter in voters), voters)
        durable = DurableState(AcceptorState(record), -1, ControlState(0, pmap()))
        numbers = tuple(self.replicas.start_replica(voter, durable, 1) for voter in voters)
        links = ((),) * len(self.hosts) ** 2
        state: State = (
            numbers,
            links,
            self._remaining_number(self.bounds),
            self._history_number(PathHistory()),
        )
        state = self._apply_event(state, 0, ("elect",))
        for _ in range(6):
            while any(state[1]):
                link = next(number for number, messages in enumerate(state[1]) if messages)
                state = self._deliver_first(state, link)
            state = self._apply_event(state, 0, ("heartbeat",))
        view = self.replicas.views[state[0][0]]
        assert view.acting_in == 1 and view.committed is not None
        return (state[0], links, state[2], state[3])

    def _remaining_number(self, remaining: Bounds) -> int:
        number = self._remaining_numbers.get(remaining)
        if number is None:
            number = self._remaining_numbers[remaining] = len(self._remaining_bounds)
            self._remaining_bounds.append(remaining)
        return number

    def _after_use(self, remaining: int, what: str) -> int:
        """The number of the remaining bounds after one more event of kind `what`."""
        key = (remaining, what)
        if key not in self._after_use_numbers:
            bounds = self._remaining_bounds[remaining]
            remaining_after = replace(bounds, **{what: getattr(bounds, what) - 1})
            self._after_use_numbers[key] = self._remaining_number(remaining_after)
        return self._after_use_numbers[key]

    # Transitions

    def _next_states(self, state: State) -> Iterator[tuple[str, State | str]]:
        numbers, queues, remaining, history = state
        for link, messages in enumerate(queues):
            if not messages:
                continue
            source, target = divmod(link, len(self.hosts))
            name = f"{self.hosts[source]} to {self.hosts[target]}"
            content = type(self.replicas.messages[messages[0]]).__name__
            yield f"{name}: {content}", self._deliver_first(state, link)
            if self._remaining_bounds[remaining].resets:
                remaining_after = self._after_use(remaining, "resets")
                yield f"{name} is reset", (numbers, _without(queues, link), remaining_after, history)
        for host, number in enumerate(numbers):
            if number is ENDED:
                continue
            view = self.replicas.views[number]
            if view.may_end:
                yield f"{self.hosts[host]} ends", self._end(state, host)
            for what, event, remaining_after in self._events(remaining, self.hosts[host], view):
                after = self._apply_event((numbers, queues, remaining_after, history), host, event)
                yield f"{self.hosts[host]} {what}", after

    def _events(self, remaining: int, host: str, view: View) -> Iterator[tuple[str, Event, int]]:
        bounds = self._remaining_bounds[remaining]
        if view.may_enter_second_phase:
            yield "enters the second phase", ("enter second phase",), remaining
        if bounds.elections and view.may_lead:
            yield "starts an election", ("elect",), self._after_use(remaining, "elections")
        if bounds.crashes:
            yield "restarts", ("restart",), self._after_use(remaining, "crashes")
        if bounds.wipes:
            yield (
                "loses its disk",
                ("wipe", f"{host}-{view.incarnation}"),
                self._after_use(remaining, "wipes"),
            )
        if bounds.leaves and not view.leaving:
            yield "leaves", ("leave",), self._after_use(remaining, "leaves")
        if view.acting_in is None:
            return
        call_id = bounds.orders + 100 * bounds.reads
        if bounds.orders:
            digest = f"{host}.{bounds.orders}".encode()
            order = PutConfiguration(0, 1, digest, digest)
            yield "receives an order", ("order", call_id, order), self._after_use(remaining, "orders")
        if bounds.reads:
            yield "receives a read", ("read", call_id), self._after_use(remaining, "reads")
        if bounds.beats:
            yield "sends heartbeats", ("heartbeat",), self._after_use(remaining, "beats")
        if bounds.drops:
            for name in view.droppable:
                yield f"drops {name}", ("drop", name), self._after_use(remaining, "drops")

    def _deliver_first(self, state: State, link: int) -> State | str:
        numbers, queues, remaining, history = state
        source, target = divmod(link, len(self.hosts))
        message, *rest = queues[link]
        queues = (*queues[:link], tuple(rest), *queues[link + 1 :])
        if numbers[target] is ENDED or numbers[source] is ENDED:
            return (numbers, queues, remaining, history)
        transition = self.replicas.deliver(numbers[target], numbers[source], message)
        return self._apply_transition((numbers, queues, remaining, history), target, transition, ())

    def _end(self, state: State, host: int) -> State | str:
        numbers, queues, remaining, history = state
        queues = tuple(
            () if host in divmod(link, len(self.hosts)) else queue for link, queue in enumerate(queues)
        )
        state = ((*numbers[:host], ENDED, *numbers[host + 1 :]), queues, remaining, history)
        return self._loss_violation(state) or state

    def _apply_event(self, state: State, host: int, event: Event) -> State | str:
        """The state after an event, or the invariant that it violated."""
        numbers, queues, remaining, history = state
        transition = self.replicas.apply_event(numbers[host], event)
        if event[0] in ("restart", "wipe"):
            queues = tuple(
                () if host in divmod(link, len(self.hosts)) else queue for link, queue in enumerate(queues)
            )
        if event[0] == "wipe":
            queues = self._latest_record_queue(queues, host, history)
        pending = ()
        if event[0] == "order":
            pending = ((event[1], event[2].digest.hex(), frozenset()),)
        elif event[0] == "read":
            pending = ((event[1], "", self._histories[history].acknowledged),)
        return self._apply_transition((numbers, queues, remaining, history), host, transition, pending)

    def _latest_record_queue(self, queues, host: int, history: int):
        """Another replica sends the latest record to one that comes back with an empty disk."""
        latest = max(self._histories[history].records, key=lambda record: record.epoch)
        link = (0 if host else 1) * len(self.hosts) + host
        return (*queues[:link], (self.replicas.message_number(Decided(latest)),), *queues[link + 1 :])

    def _apply_transition(
        self, state: State, host: int, transition: Transition, pending: tuple
    ) -> State | str:
        numbers, queues, remaining, history_number = state
        if transition.next_state != numbers[host]:
            numbers = (*numbers[:host], transition.next_state, *numbers[host + 1 :])
        queues = self._with_sends(queues, host, transition)
        history = self._histories[history_number]
        if pending:
            history = replace(history, pending=history.pending + pending)
        for answer in transition.answers:
            history = record_answers(history, answer)
            if isinstance(history, str):
                return history
        history_number = self._observe(self._history_number(history), transition.next_state)
        if isinstance(history_number, str):
            return history_number
        # A drop could make an obsolete message relevant again.
        if not self._remaining_bounds[remaining].drops:
            queues = self._drop_obsolete(numbers, queues, host)
        state = (numbers, queues, remaining, history_number)
        return self._loss_violation(state) or state

    def _with_sends(self, queues, host: int, transition: Transition):
        if not transition.sends:
            return queues
        updated_queues = list(queues)
        for target, message in transition.sends:
            link = host * len(self.hosts) + target
            updated_queues[link] = self._enqueue(updated_queues[link], message)
        return tuple(updated_queues)

    def _enqueue(self, messages: tuple[int, ...], message: int) -> tuple[int, ...]:
        if message in messages:
            return messages
        if self.replicas.is_heartbeat(message):
            kind = type(self.replicas.messages[message])
            messages = tuple(
                earlier for earlier in messages if type(self.replicas.messages[earlier]) is not kind
            )
        return (*messages, message)

    def _drop_obsolete(self, numbers, queues, host: int):
        """Remove messages from or to a host that can no longer have any effect."""
        count = len(self.hosts)
        updated_queues = list(queues)
        for other in range(count):
            if ENDED in (numbers[host], numbers[other]):
                continue
            for source, target in ((host, other), (other, host)):
                link = source * count + target
                if updated_queues[link]:
                    updated_queues[link] = self._relevant_messages(
                        numbers[target], numbers[source], updated_queues[link]
                    )
        return tuple(updated_queues)

    def _relevant_messages(self, target: int, source: int, messages: tuple[int, ...]) -> tuple[int, ...]:
        key = (target, source, messages)
        if key not in self._relevant_cache:
            self._relevant_cache[key] = tuple(
                message for message in messages if not self.replicas.is_obsolete(target, source, message)
            )
        return self._relevant_cache[key]

    def _observe(self, history: int, number: int) -> int | str:
        """The history extended by a replica's visible state, or the invariant that it violates."""
        key = (history, number)
        if key not in self._observations:
            checked = _check_view(self._histories[history], self.replicas.views[number])
            self._observations[key] = checked if isinstance(checked, str) else self._history_number(checked)
        return self._observations[key]

    def _history_number(self, history: PathHistory) -> int:
        number = self._history_numbers.get(history)
        if number is None:
            number = self._history_numbers[history] = len(self._histories)
            self._histories.append(history)
        return number

    # Survival of one further loss

    def _loss_violation(self, state: State) -> str:
        """Empty if any machine may be lost now, as the tolerance allows; else what would be missing."""
        numbers, _, _, history = state
        key = (numbers, self._histories[history].acknowledged)
        if key not in self._loss_violations:
            views = [self.replicas.views[number] for number in numbers if number is not ENDED]
            self._loss_violations[key] = _missing_after_a_loss(views, self._histories[history])
        return self._loss_violations[key]


def _missing_after_a_loss(views: list[View], history: PathHistory) -> str:
    record = _stored_record(views, history)
    if record is None or len(views) < 2:
        return ""
    alive = {view.info.replica_id for view in views}
    # With an odd number of voters, a stopped one is expected back with its disk; with an even number not.
    awaited = record.voter_ids - alive if len(record.voters) % 2 else frozenset()
    behind = {name for name in alive if name not in record.in_sync}
    wiped = _lost_disks(record, views)
    if len(behind) + len(wiped) >= TOLERANCE.machines:
        return ""
    for lost in views:
        rest = [view for view in views if view is not lost]
        names = {view.info.replica_id for view in rest}
        if not _can_agree(rest, names | (awaited - wiped)):
            return f"no majority is left once {lost.info.host} loses its disk"
        if not any(_is_complete(view, record, history) for view in rest):
            return f"nobody has all that was acknowledged once {lost.info.host} loses its disk"
    return ""


def _lost_disks(record: EpochRecord, views: list[View]) -> set[str]:
    """Voters whose address is used by another identity now."""
    identities = {view.info.host: view.info.replica_id for view in views}
    return {
        voter.replica_id
        for voter in record.voters
        if identities.get(voter.host, voter.replica_id) != voter.replica_id
    }


def _stored_record(views: list[View], history: PathHistory) -> EpochRecord | None:
    """The latest record that a majority of its voters has stored."""
    for record in sorted(history.records, key=lambda record: -record.epoch):
        holders = [
            view
            for view in views
            if view.info.replica_id in record.voter_ids and view.record.epoch >= record.epoch
        ]
        if record.epoch > 0 and len(holders) >= record.majority:
            return record
    return None


def _can_agree(views: list[View], names: set[str]) -> bool:
    """Whether the rest can decide an epoch, by the last known record and by any accepted successor."""
    known = max((view.record for view in views), key=lambda record: record.epoch)
    if len(known.voter_ids & names) < known.majority:
        return False
    proposed = {
        view.accepted
        for view in views
        if view.accepted is not None and view.accepted.epoch == known.epoch + 1
    }
    return all(len(record.voter_ids & names) >= record.majority for record in proposed)


def _is_complete(view: View, record: EpochRecord, history: PathHistory) -> bool:
    if view.info.replica_id not in record.in_sync:
        return False
    return all(ACCEPTED_PREFIX + digest in view.entries for digest in history.acknowledged)


def _path_steps(path: tuple) -> tuple[str, ...]:
    steps = []
    while path:
        path, how = path
        steps.append(how)
    return tuple(reversed(steps))


def _without(queues, link: int):
    return (*queues[:link], (), *queues[link + 1 :])


def record_answers(history: PathHistory, answer: Answer) -> PathHistory | str:
    for call_id, digest, before in history.pending:
        if call_id != answer.call_id:
            continue
        if answer.result is Outcome.ACCEPTED:
            history = replace(history, acknowledged=history.acknowledged | {digest})
        elif isinstance(answer.result, ControlState):
            missing = [
                earlier for earlier in before if ACCEPTED_PREFIX + earlier not in answer.result.entries
            ]
            if missing:
                return f"a read lacks {missing}"
    return replace(history, pending=tuple(entry for entry in history.pending if entry[0] != answer.call_id))


def _check_view(history: PathHistory, view: View) -> PathHistory | str:
    """The history extended by a replica's visible state, or the invariant that it violates."""
    records = history.records | {view.record}
    if len({record.epoch for record in records}) < len(records):
        return f"epoch {view.record.epoch} was decided twice"
    actors, committed = history.actors, history.committed
    if view.acting_in is not None:
        actors |= {(view.acting_in, view.info.host, view.incarnation)}
        if len({epoch for epoch, _, _ in actors}) < len(actors):
            return f"two lives acted in epoch {view.acting_in}"
    if view.committed is not None:
        committed |= {view.committed}
        if len({sequence for sequence, _ in committed}) < len(committed):
            return f"two states were committed as {view.committed[0]}"
    newest = max(record.epoch for record in records)
    if view.acting_in == newest:
        lost = [digest for digest in history.acknowledged if ACCEPTED_PREFIX + digest not in view.entries]
        if lost:
            return f"acknowledged orders are lost: {lost}"
    if (records, actors, committed) == (history.records, history.actors, history.committed):
        return history
    return replace(history, records=records, actors=actors, committed=committed)


COMPLETE_BOUNDS = [
    Bounds(elections=1, orders=0),
    Bounds(elections=0, orders=1, crashes=1),
    Bounds(elections=0, orders=1, wipes=1),
    Bounds(elections=0, orders=1, drops=1),
    Bounds(elections=0, orders=1, leaves=1),
    Bounds(elections=0, orders=1, leaves=1, count=4),
    Bounds(elections=1, orders=0, crashes=1),
    Bounds(elections=1, orders=0, leaves=1),
    Bounds(elections=1, orders=1),
    Bounds(elections=1, orders=1, crashes=1),
    Bounds(elections=1, orders=1, wipes=1),
    Bounds(elections=1, orders=1, drops=1),
    Bounds(elections=1, orders=1, leaves=1),
]
