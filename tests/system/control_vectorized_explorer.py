"""Vectorized version of the explorer in `control_explorer`.

That module computes and numbers every transition of a replica once, so a state is a row of small numbers and
a transition a table lookup, done here for hundreds of thousands of rows at once. Of visited states only a
64-bit fingerprint is kept; a collision would merge two states, which is expected in one of 3,000 explorations
of a hundred million states. This explorer reports a violated invariant without the path to it, which
`Explorer` can find.
"""

from __future__ import annotations

import resource
import time
from collections.abc import Callable, Iterator
from itertools import permutations

import numpy as np

from nettledeal.control.messages import Decided
from nettledeal.control.replica import Replica
from tests.system.control_explorer import (
    Bounds,
    Exploration,
    Explorer,
    PathHistory,
    _missing_after_a_loss,
    record_answers,
)
from tests.system.replica_transitions import ExploredReplica, Transition, View

Rows = np.ndarray
CHUNK_ROWS = 200_000
PROGRESS_EVERY_S = 30.0
MEBIBYTE_IN_KIBIBYTES = 1024
# Bits per number in a packed key (numbers of local states, links, transitions, histories).
KEY_BITS = 20
# An exited process, a link without messages, or no transition.
NONE = 0
_MIX = np.uint64(0x9E3779B97F4A7C15)


class InvariantViolation(Exception):
    """A transition violated an invariant."""


class ValueNumbers:
    """Assigns numbers to values, from 0 in order of first appearance."""

    def __init__(self, *values: object):
        self.values: list = []
        self._numbers: dict = {}
        for value in values:
            self.number(value)

    def number(self, value: object) -> int:
        """The number of a value."""
        found = self._numbers.get(value)
        if found is None:
            found = self._numbers[value] = len(self.values)
            self.values.append(value)
        return found


class Table:
    """A memoized function of up to three numbers, applied to columns."""

    def __init__(self, function: Callable[..., int]):
        self._function = function
        self._results: dict[int, int] = {}

    def __call__(self, *columns: np.ndarray) -> np.ndarray:
        """The results for each row of the columns."""
        keys = np.zeros(len(columns[0]), np.int64)
        for column in columns:
            keys = (keys << KEY_BITS) | column
        unique, inverse = np.unique(keys, return_inverse=True)
        results = np.fromiter(
            (self._result(key, len(columns)) for key in unique.tolist()), np.int64, len(unique)
        )
        return results[inverse]

    def _result(self, key: int, count: int) -> int:
        result = self._results.get(key)
        if result is None:
            numbers = [key >> KEY_BITS * place & (1 << KEY_BITS) - 1 for place in reversed(range(count))]
            result = self._results[key] = self._function(*numbers)
        return result


class Fingerprints:
    """A set of fingerprints, stored as sorted arrays, each more than twice as long as the next."""

    def __init__(self) -> None:
        self._levels: list[np.ndarray] = []

    def __len__(self) -> int:
        return sum(map(len, self._levels))

    def add(self, fingerprints: np.ndarray) -> np.ndarray:
        """Add the new fingerprints; returns the index of one occurrence of each."""
        unique, places = np.unique(fingerprints, return_index=True)
        fresh = np.ones(len(unique), bool)
        for level in self._levels:
            at = np.searchsorted(level, unique)
            at[at == len(level)] = 0
            fresh &= level[at] != unique
        self._insert(unique[fresh])
        return places[fresh]

    def _insert(self, fingerprints: np.ndarray) -> None:
        if len(fingerprints):
            self._levels.append(fingerprints)
        while len(self._levels) > 1 and 2 * len(self._levels[-1]) >= len(self._levels[-2]):
            merged = np.concatenate((self._levels.pop(), self._levels.pop()))
            merged.sort(kind="stable")
            self._levels.append(merged)


def fingerprints(rows: Rows) -> np.ndarray:
    """A hash of each row."""
    mixed = np.zeros(len(rows), np.uint64)
    for column in range(rows.shape[1]):
        mixed = (mixed ^ rows[:, column].astype(np.uint64)) * _MIX
        mixed ^= mixed >> np.uint64(29)
        mixed = mixed * np.uint64(0xBF58476D1CE4E5B9)
        mixed ^= mixed >> np.uint64(32)
    return mixed


def used_mebibytes() -> float:
    """The peak memory use of this process."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / MEBIBYTE_IN_KIBIBYTES


class VectorExplorer:
    """Breadth-first search.

    Columns of a row: local state by host, link by ordered pair of hosts, remaining bounds, history.
    """

    def __init__(self, bounds: Bounds, replica_type: Callable[..., Replica] = ExploredReplica):
        self.bounds = bounds
        self.explorer = Explorer(bounds, replica_type)
        self.replicas = self.explorer.replicas
        self.hosts = range(bounds.count)
        pairs = list(permutations(self.hosts, 2))
        self.link = {pair: bounds.count + number for number, pair in enumerate(pairs)}
        self.remaining = bounds.count + len(pairs)
        self.history = self.remaining + 1
        self.links = ValueNumbers(())
        self.transitions = ValueNumbers(None)
        self.events = ValueNumbers(None)
        self.sent_messages = ValueNumbers(())
        self.loss_groups = ValueNumbers(())
        self.survival_histories = ValueNumbers()
        self._loss_views: list[View | None] = [None]
        self._losses: dict[tuple, int] = {}
        self._transition_numbers: dict[tuple, int] = {}
        self._create_tables()

    def explore(
        self, max_mebibytes: float, progress: Callable[[str], None] = lambda line: None
    ) -> Exploration:
        """Explore everything reachable within the bounds, as far as the limits on states and memory allow."""
        seen = Fingerprints()
        layer = [self._first()]
        seen.add(fingerprints(layer[0]))
        reported_at = time.monotonic()
        while layer:
            following: list[Rows] = []
            for rows in _chunks(layer):
                try:
                    for after in self._successors(rows):
                        fresh = after[seen.add(fingerprints(after))]
                        if len(fresh):
                            following.append(fresh)
                except InvariantViolation as broken:
                    return Exploration(len(seen), False, str(broken))
                if len(seen) >= self.bounds.states or used_mebibytes() > max_mebibytes:
                    return Exploration(len(seen), False)
                if time.monotonic() - reported_at > PROGRESS_EVERY_S:
                    reported_at = time.monotonic()
                    waiting = sum(map(len, layer)) + sum(map(len, following))
                    progress(f"{len(seen)} states, at most {waiting} wait, {used_mebibytes():.0f} MB")
            layer = following
        return Exploration(len(seen), True)

    def _first(self) -> Rows:
        numbers, _, remaining, history = self.explorer._initial_state()
        row = np.zeros((1, self.history + 1), np.int32)
        row[0, : self.bounds.count] = [number + 1 for number in numbers]
        row[0, self.remaining], row[0, self.history] = remaining, history
        return row

    # Tables

    def _create_tables(self) -> None:
        self._delivery_transition = Table(self._deliver)
        self._link_after_delivery = Table(lambda link: self.links.number(self.links.values[link][1:]))
        self._next_state = Table(
            lambda transition_number: self.transitions.values[transition_number][0].next_state + 1
        )
        self._sent_to = [
            Table(
                lambda transition_number, host=host: self.sent_messages.number(
                    _messages_to(self.transitions.values[transition_number][0], host)
                )
            )
            for host in self.hosts
        ]
        self._enqueued_link = Table(self._append_messages)
        self._history_after_answers = Table(self._apply_answers)
        self._observed_history = Table(
            lambda history, local: self._require_valid(self.explorer._observe(history, local - 1))
        )
        self._relevant_link = Table(self._relevant_link_number)
        self._event_count = [
            Table(lambda remaining, local, host=host: len(self._events_of(remaining, local, host)))
            for host in self.hosts
        ]
        self._event = [
            Table(lambda remaining, local, number, host=host: self._events_of(remaining, local, host)[number])
            for host in self.hosts
        ]
        self._event_transition = Table(lambda event: self.events.values[event][0])
        self._event_remaining = Table(lambda event: self.events.values[event][1])
        self._event_clears = Table(lambda event: self.events.values[event][2])
        self._may_end = Table(lambda local: int(self.replicas.views[local - 1].may_end))
        self._latest_record_link = Table(self._latest_record_link_number)
        self._keeps_obsolete = Table(
            lambda remaining: int(self.explorer._remaining_bounds[remaining].drops > 0)
        )
        self._resets = Table(lambda remaining: int(self.explorer._remaining_bounds[remaining].resets > 0))
        self._reset_remaining = Table(lambda remaining: self.explorer._after_use(remaining, "resets"))
        self._loss = Table(self._loss_view)
        self._loss_group = Table(self._append_loss)
        self._survival_history = Table(
            lambda history: self.survival_histories.number(
                _survival_history_of(self.explorer._histories[history])
            )
        )
        self._loss_checked = Table(self._check_loss)

    def _deliver(self, target: int, source: int, link: int) -> int:
        if NONE in (target, source):
            return NONE
        transition = self.replicas.deliver(target - 1, source - 1, self.links.values[link][0])
        return self._transition_number(transition, ())

    def _transition_number(self, transition: Transition, pending: tuple) -> int:
        """The number of a transition; `ReplicaStates` keeps a single object for each."""
        key = (id(transition), pending)
        if key not in self._transition_numbers:
            self._transition_numbers[key] = len(self.transitions.values)
            self.transitions.values.append((transition, pending))
        return self._transition_numbers[key]

    def _append_messages(self, link: int, sent: int) -> int:
        messages = self.links.values[link]
        for message in self.sent_messages.values[sent]:
            messages = self.explorer._enqueue(messages, message)
        return self.links.number(messages)

    def _apply_answers(self, history: int, transition_number: int) -> int:
        transition, pending = self.transitions.values[transition_number]
        content = self.explorer._histories[history]
        if pending:
            content = self._with_pending(content, pending)
        for answer in transition.answers:
            content = record_answers(content, answer)
            if isinstance(content, str):
                raise InvariantViolation(content)
        return self.explorer._history_number(content)

    @staticmethod
    def _with_pending(history: PathHistory, pending: tuple) -> PathHistory:
        call_id, digest = pending
        before = frozenset() if digest else history.acknowledged
        return PathHistory(
            history.acknowledged,
            (*history.pending, (call_id, digest, before)),
            history.records,
            history.committed,
            history.actors,
        )

    @staticmethod
    def _require_valid(history: int | str) -> int:
        if isinstance(history, str):
            raise InvariantViolation(history)
        return history

    def _relevant_link_number(self, target: int, source: int, link: int) -> int:
        if NONE in (target, source, link):
            return link
        relevant = self.explorer._relevant_messages(target - 1, source - 1, self.links.values[link])
        return self.links.number(relevant)

    def _events_of(self, remaining: int, local: int, host: int) -> list[int]:
        view = self.replicas.views[local - 1]
        found = []
        for _, event, remaining_after in self.explorer._events(remaining, f"h{host}", view):
            pending = ()
            if event[0] == "order":
                pending = (event[1], event[2].digest.hex())
            elif event[0] == "read":
                pending = (event[1], "")
            transition_number = self._transition_number(self.replicas.apply_event(local - 1, event), pending)
            clears = {"restart": 1, "wipe": 2}.get(event[0], 0)
            found.append(self.events.number((transition_number, remaining_after, clears)))
        return found

    def _latest_record_link_number(self, history: int) -> int:
        latest = max(self.explorer._histories[history].records, key=lambda record: record.epoch)
        return self.links.number((self.replicas.message_number(Decided(latest)),))

    def _loss_view(self, local: int) -> int:
        """The number of the part of a local state on which survival of a loss depends."""
        if local == NONE:
            return NONE
        view = self.replicas.views[local - 1]
        key = (view.info, view.record, view.accepted, view.entries)
        number = self._losses.setdefault(key, len(self._loss_views))
        if number == len(self._loss_views):
            self._loss_views.append(view)
        return number

    def _append_loss(self, group: int, loss: int) -> int:
        """Extend a group by the loss view of one more host; returns the group's number."""
        return self.loss_groups.number((*self.loss_groups.values[group], loss))

    def _check_loss(self, group: int, history: int) -> int:
        views = [self._loss_views[loss] for loss in self.loss_groups.values[group] if loss != NONE]
        missing = _missing_after_a_loss(views, self.survival_histories.values[history])
        if missing:
            raise InvariantViolation(missing)
        return 0

    # Transitions

    def _successors(self, rows: Rows) -> Iterator[Rows]:
        for (source, target), link in self.link.items():
            sent = rows[rows[:, link] != NONE]
            if len(sent):
                yield from self._on_link(sent, source, target, link)
        for host in self.hosts:
            alive = rows[rows[:, host] != NONE]
            if len(alive):
                yield from self._at_host(alive, host)

    def _on_link(self, rows: Rows, source: int, target: int, link: int) -> Iterator[Rows]:
        transition_number = self._delivery_transition(rows[:, target], rows[:, source], rows[:, link])
        after = rows.copy()
        after[:, link] = self._link_after_delivery(rows[:, link])
        ended = transition_number == NONE
        if ended.any():
            yield after[ended]
        yield self._apply_transitions(after[~ended], target, transition_number[~ended])
        reset = self._resets(rows[:, self.remaining]) != 0
        if reset.any():
            after = rows[reset]
            after[:, link] = NONE
            after[:, self.remaining] = self._reset_remaining(after[:, self.remaining])
            yield after

    def _at_host(self, rows: Rows, host: int) -> Iterator[Rows]:
        ending = rows[self._may_end(rows[:, host]) != 0]
        if len(ending):
            ending[:, host] = NONE
            self._clear_links(ending, host)
            self._check_survival(ending)
            yield ending
        counts = self._event_count[host](rows[:, self.remaining], rows[:, host])
        for number in range(counts.max()):
            chosen = rows[counts > number]
            which = np.full(len(chosen), number)
            events = self._event[host](chosen[:, self.remaining], chosen[:, host], which)
            yield self._apply_events(chosen, host, events)

    def _apply_events(self, rows: Rows, host: int, events: np.ndarray) -> Rows:
        rows[:, self.remaining] = self._event_remaining(events)
        clears = self._event_clears(events)
        if clears.any():
            cleared = rows[clears > 0]
            self._clear_links(cleared, host)
            rows[clears > 0] = cleared
            wiped = clears > 1
            sender = 0 if host else 1
            rows[wiped, self.link[sender, host]] = self._latest_record_link(rows[wiped, self.history])
        return self._apply_transitions(rows, host, self._event_transition(events))

    def _clear_links(self, rows: Rows, host: int) -> None:
        for pair, link in self.link.items():
            if host in pair:
                rows[:, link] = NONE

    def _apply_transitions(self, rows: Rows, host: int, transition_number: np.ndarray) -> Rows:
        if not len(rows):
            return rows
        rows[:, host] = self._next_state(transition_number)
        for other in self.hosts:
            if other != host:
                link = self.link[host, other]
                rows[:, link] = self._enqueued_link(rows[:, link], self._sent_to[other](transition_number))
        rows[:, self.history] = self._history_after_answers(rows[:, self.history], transition_number)
        rows[:, self.history] = self._observed_history(rows[:, self.history], rows[:, host])
        self._drop_obsolete(rows, host)
        self._check_survival(rows)
        return rows

    def _drop_obsolete(self, rows: Rows, host: int) -> None:
        """Remove obsolete messages, unless a drop may still occur, which could make them relevant again."""
        chosen = np.flatnonzero(self._keeps_obsolete(rows[:, self.remaining]) == 0)
        for other in self.hosts:
            if other == host:
                continue
            for source, target in ((host, other), (other, host)):
                link = self.link[source, target]
                relevant = self._relevant_link(rows[chosen, target], rows[chosen, source], rows[chosen, link])
                rows[chosen, link] = relevant

    def _check_survival(self, rows: Rows) -> None:
        group = np.zeros(len(rows), np.int64)
        for host in self.hosts:
            group = self._loss_group(group, self._loss(rows[:, host]))
        self._loss_checked(group, self._survival_history(rows[:, self.history]))


def _survival_history_of(history: PathHistory) -> PathHistory:
    """The part of a history on which survival of a loss depends."""
    return PathHistory(acknowledged=history.acknowledged, records=history.records)


def _messages_to(transition: Transition, host: int) -> tuple[int, ...]:
    return tuple(message for target, message in transition.sends if target == host)


def _chunks(layer: list[Rows]) -> Iterator[Rows]:
    """The rows of a layer in chunks of at most `CHUNK_ROWS`; empties the layer."""
    while layer:
        gathered, count = [], 0
        while layer and (not gathered or count + len(layer[-1]) <= CHUNK_ROWS):
            gathered.append(layer.pop())
            count += len(gathered[-1])
        rows = np.concatenate(gathered)
        for first in range(0, len(rows), CHUNK_ROWS):
            yield rows[first : first + CHUNK_ROWS]
