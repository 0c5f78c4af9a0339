"""The explorer of `control_exploring`, many states at a time.

All that may happen to a replica is worked out once there and numbered, so that a state is a row of small
numbers and a step a look-up in tables, done here for hundreds of thousands of rows at once. Of a state that
was seen its fingerprint of 64 bits is kept: two states of one fingerprint would be taken for one, by chance
in one of 3,000 explorations of a hundred million states. What it finds is the broken promise, without the way
to it; `Explorer` has that.
"""

from __future__ import annotations

import resource
import time
from collections.abc import Callable, Iterator
from itertools import permutations

import numpy as np

from nettledeal.control.messages import Decided
from nettledeal.control.replica import Replica
from tests.system.control_exploring import Bounds, Explorer, Found, Past, _answered, _missing_after_a_loss
from tests.system.exploring_replicas import Explored, Moved, View

Rows = np.ndarray
CHUNK_ROWS = 200_000
PROGRESS_EVERY_S = 30.0
MEBIBYTE_IN_KIBIBYTES = 1024
# Bits of a number in a packed key: local states, messages on a link, moves, pasts.
KEY_BITS = 20
# A process that has ended, a link without messages, a step that changes nothing.
NONE = 0
_MIX = np.uint64(0x9E3779B97F4A7C15)


class BrokenPromise(Exception):
    """A step broke a promise."""


class Numbered:
    """Values and their numbers, from 0 in the order in which they came."""

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
    """A function of up to three numbers, each result worked out once."""

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
    """A set of fingerprints, as sorted arrays of which each is more than twice as long as the next."""

    def __init__(self) -> None:
        self._levels: list[np.ndarray] = []

    def __len__(self) -> int:
        return sum(map(len, self._levels))

    def add(self, fingerprints: np.ndarray) -> np.ndarray:
        """Add those that are new; the places at which they stand, each once."""
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
    """The most memory that this process has had."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / MEBIBYTE_IN_KIBIBYTES


class VectorExplorer:
    """Breadth first. A row has the local states by host, links by pair of hosts, what is left, the past."""

    def __init__(self, bounds: Bounds, replica_type: Callable[..., Replica] = Explored):
        self.bounds = bounds
        self.explorer = Explorer(bounds, replica_type)
        self.replicas = self.explorer.replicas
        self.hosts = range(bounds.count)
        pairs = list(permutations(self.hosts, 2))
        self.link = {pair: bounds.count + number for number, pair in enumerate(pairs)}
        self.left = bounds.count + len(pairs)
        self.past = self.left + 1
        self.links = Numbered(())
        self.moves = Numbered(None)
        self.events = Numbered(None)
        self.sent = Numbered(())
        self.groups = Numbered(())
        self.known = Numbered()
        self._loss_views: list[View | None] = [None]
        self._losses: dict[tuple, int] = {}
        self._move_of: dict[tuple, int] = {}
        self._tables()

    def explore(self, most_mebibytes: float, progress: Callable[[str], None] = lambda line: None) -> Found:
        """All that can be reached within the bounds, as far as states and memory allow."""
        seen = Fingerprints()
        layer = [self._first()]
        seen.add(fingerprints(layer[0]))
        told_at = time.monotonic()
        while layer:
            following: list[Rows] = []
            for rows in _chunks(layer):
                try:
                    for after in self._steps(rows):
                        fresh = after[seen.add(fingerprints(after))]
                        if len(fresh):
                            following.append(fresh)
                except BrokenPromise as broken:
                    return Found(len(seen), False, str(broken))
                if len(seen) >= self.bounds.states or used_mebibytes() > most_mebibytes:
                    return Found(len(seen), False)
                if time.monotonic() - told_at > PROGRESS_EVERY_S:
                    told_at = time.monotonic()
                    waiting = sum(map(len, layer)) + sum(map(len, following))
                    progress(f"{len(seen)} states, at most {waiting} wait, {used_mebibytes():.0f} MB")
            layer = following
        return Found(len(seen), True)

    def _first(self) -> Rows:
        numbers, _, left, past = self.explorer._settled()
        row = np.zeros((1, self.past + 1), np.int32)
        row[0, : self.bounds.count] = [number + 1 for number in numbers]
        row[0, self.left], row[0, self.past] = left, past
        return row

    # Tables

    def _tables(self) -> None:
        self._delivered = Table(self._deliver)
        self._rest = Table(lambda link: self.links.number(self.links.values[link][1:]))
        self._after = Table(lambda move: self.moves.values[move][0].after + 1)
        self._sent_to = [
            Table(lambda move, host=host: self.sent.number(_messages_to(self.moves.values[move][0], host)))
            for host in self.hosts
        ]
        self._queued = Table(self._queue)
        self._answered = Table(self._answer)
        self._looked = Table(lambda past, local: self._checked(self.explorer._look(past, local - 1)))
        self._counting = Table(self._count)
        self._event_count = [
            Table(lambda left, local, host=host: len(self._events_of(left, local, host)))
            for host in self.hosts
        ]
        self._event = [
            Table(lambda left, local, number, host=host: self._events_of(left, local, host)[number])
            for host in self.hosts
        ]
        self._event_move = Table(lambda event: self.events.values[event][0])
        self._event_left = Table(lambda event: self.events.values[event][1])
        self._event_clears = Table(lambda event: self.events.values[event][2])
        self._may_end = Table(lambda local: int(self.replicas.views[local - 1].may_end))
        self._latest = Table(self._told_the_latest)
        self._keeps_spent = Table(lambda left: int(self.explorer._lefts[left].drops > 0))
        self._resets = Table(lambda left: int(self.explorer._lefts[left].resets > 0))
        self._reset_left = Table(lambda left: self.explorer._spent(left, "resets"))
        self._loss = Table(self._loss_view)
        self._loss_group = Table(self._join_losses)
        self._known = Table(lambda past: self.known.number(_known_of(self.explorer._pasts[past])))
        self._survived = Table(self._survive)

    def _deliver(self, target: int, source: int, link: int) -> int:
        if NONE in (target, source):
            return NONE
        moved = self.replicas.deliver(target - 1, source - 1, self.links.values[link][0])
        return self._move(moved, ())

    def _move(self, moved: Moved, pending: tuple) -> int:
        """The number of a move; the replicas keep one object for each."""
        key = (id(moved), pending)
        if key not in self._move_of:
            self._move_of[key] = len(self.moves.values)
            self.moves.values.append((moved, pending))
        return self._move_of[key]

    def _queue(self, link: int, sent: int) -> int:
        messages = self.links.values[link]
        for message in self.sent.values[sent]:
            messages = self.explorer._queued(messages, message)
        return self.links.number(messages)

    def _answer(self, past: int, move: int) -> int:
        moved, pending = self.moves.values[move]
        content = self.explorer._pasts[past]
        if pending:
            content = self._with_pending(content, pending)
        for answer in moved.answers:
            content = _answered(content, answer)
            if isinstance(content, str):
                raise BrokenPromise(content)
        return self.explorer._past_number(content)

    @staticmethod
    def _with_pending(past: Past, pending: tuple) -> Past:
        ticket, digest = pending
        before = frozenset() if digest else past.acknowledged
        return Past(
            past.acknowledged,
            (*past.pending, (ticket, digest, before)),
            past.records,
            past.committed,
            past.actors,
        )

    @staticmethod
    def _checked(past: int | str) -> int:
        if isinstance(past, str):
            raise BrokenPromise(past)
        return past

    def _count(self, target: int, source: int, link: int) -> int:
        if NONE in (target, source, link):
            return link
        counting = self.explorer._counting(target - 1, source - 1, self.links.values[link])
        return self.links.number(counting)

    def _events_of(self, left: int, local: int, host: int) -> list[int]:
        view = self.replicas.views[local - 1]
        found = []
        for _, event, spent in self.explorer._events(left, f"h{host}", view):
            pending = ()
            if event[0] == "order":
                pending = (event[1], event[2].digest.hex())
            elif event[0] == "read":
                pending = (event[1], "")
            move = self._move(self.replicas.happen(local - 1, event), pending)
            clears = {"restart": 1, "wipe": 2}.get(event[0], 0)
            found.append(self.events.number((move, spent, clears)))
        return found

    def _told_the_latest(self, past: int) -> int:
        latest = max(self.explorer._pasts[past].records, key=lambda record: record.epoch)
        return self.links.number((self.replicas.number_of(Decided(latest)),))

    def _loss_view(self, local: int) -> int:
        """The number of what a loss depends on of a local state."""
        if local == NONE:
            return NONE
        view = self.replicas.views[local - 1]
        key = (view.info, view.record, view.accepted, view.entries)
        number = self._losses.setdefault(key, len(self._loss_views))
        if number == len(self._loss_views):
            self._loss_views.append(view)
        return number

    def _join_losses(self, group: int, loss: int) -> int:
        """Losses of the hosts one after the other, as one number."""
        return self.groups.number((*self.groups.values[group], loss))

    def _survive(self, group: int, known: int) -> int:
        views = [self._loss_views[loss] for loss in self.groups.values[group] if loss != NONE]
        missing = _missing_after_a_loss(views, self.known.values[known])
        if missing:
            raise BrokenPromise(missing)
        return 0

    # Steps

    def _steps(self, rows: Rows) -> Iterator[Rows]:
        for (source, target), link in self.link.items():
            sent = rows[rows[:, link] != NONE]
            if len(sent):
                yield from self._with_link(sent, source, target, link)
        for host in self.hosts:
            alive = rows[rows[:, host] != NONE]
            if len(alive):
                yield from self._at_host(alive, host)

    def _with_link(self, rows: Rows, source: int, target: int, link: int) -> Iterator[Rows]:
        move = self._delivered(rows[:, target], rows[:, source], rows[:, link])
        after = rows.copy()
        after[:, link] = self._rest(rows[:, link])
        ended = move == NONE
        if ended.any():
            yield after[ended]
        yield self._moved(after[~ended], target, move[~ended])
        reset = self._resets(rows[:, self.left]) != 0
        if reset.any():
            after = rows[reset]
            after[:, link] = NONE
            after[:, self.left] = self._reset_left(after[:, self.left])
            yield after

    def _at_host(self, rows: Rows, host: int) -> Iterator[Rows]:
        ending = rows[self._may_end(rows[:, host]) != 0]
        if len(ending):
            ending[:, host] = NONE
            self._clear_links(ending, host)
            self._check_survival(ending)
            yield ending
        counts = self._event_count[host](rows[:, self.left], rows[:, host])
        for number in range(counts.max()):
            chosen = rows[counts > number]
            which = np.full(len(chosen), number)
            events = self._event[host](chosen[:, self.left], chosen[:, host], which)
            yield self._happened(chosen, host, events)

    def _happened(self, rows: Rows, host: int, events: np.ndarray) -> Rows:
        rows[:, self.left] = self._event_left(events)
        clears = self._event_clears(events)
        if clears.any():
            cleared = rows[clears > 0]
            self._clear_links(cleared, host)
            rows[clears > 0] = cleared
            wiped = clears > 1
            teller = 0 if host else 1
            rows[wiped, self.link[teller, host]] = self._latest(rows[wiped, self.past])
        return self._moved(rows, host, self._event_move(events))

    def _clear_links(self, rows: Rows, host: int) -> None:
        for pair, link in self.link.items():
            if host in pair:
                rows[:, link] = NONE

    def _moved(self, rows: Rows, host: int, move: np.ndarray) -> Rows:
        if not len(rows):
            return rows
        rows[:, host] = self._after(move)
        for other in self.hosts:
            if other != host:
                link = self.link[host, other]
                rows[:, link] = self._queued(rows[:, link], self._sent_to[other](move))
        rows[:, self.past] = self._answered(rows[:, self.past], move)
        rows[:, self.past] = self._looked(rows[:, self.past], rows[:, host])
        self._leave_out_spent(rows, host)
        self._check_survival(rows)
        return rows

    def _leave_out_spent(self, rows: Rows, host: int) -> None:
        """A drop could make a message count again: while one may come, none is left out."""
        chosen = np.flatnonzero(self._keeps_spent(rows[:, self.left]) == 0)
        for other in self.hosts:
            if other == host:
                continue
            for source, target in ((host, other), (other, host)):
                link = self.link[source, target]
                counting = self._counting(rows[chosen, target], rows[chosen, source], rows[chosen, link])
                rows[chosen, link] = counting

    def _check_survival(self, rows: Rows) -> None:
        group = np.zeros(len(rows), np.int64)
        for host in self.hosts:
            group = self._loss_group(group, self._loss(rows[:, host]))
        self._survived(group, self._known(rows[:, self.past]))


def _known_of(past: Past) -> Past:
    """What survival depends on of a past."""
    return Past(acknowledged=past.acknowledged, records=past.records)


def _messages_to(moved: Moved, host: int) -> tuple[int, ...]:
    return tuple(message for target, message in moved.sends if target == host)


def _chunks(layer: list[Rows]) -> Iterator[Rows]:
    """The rows of a layer, which is emptied, in pieces of at most `CHUNK_ROWS`."""
    while layer:
        gathered, count = [], 0
        while layer and (not gathered or count + len(layer[-1]) <= CHUNK_ROWS):
            gathered.append(layer.pop())
            count += len(gathered[-1])
        rows = np.concatenate(gathered)
        for first in range(0, len(rows), CHUNK_ROWS):
            yield rows[first : first + CHUNK_ROWS]
