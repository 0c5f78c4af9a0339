"""The subscriber's side, without input or output: the copies of sources, and one stream that feeds them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum, auto

import msgspec
from pyrsistent import PMap, pmap

from nettledeal.common.digests import RangeDigests, keys_in_ranges
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.distribution.protocol import (
    FAILURES_SINCE,
    NO_VERSION,
    PROTOCOL_VERSION,
    Acknowledge,
    BackendFindings,
    Digests,
    DistributionMessage,
    Heartbeat,
    HeldSource,
    RangeRequest,
    SourceStatus,
    Subscribe,
    Update,
    UpdateScope,
    Version,
    expanded,
)


class Applied(Enum):
    """What became of an update."""

    CHANGED = auto()
    OLD = auto()  # of an older version than the one held
    GAP = auto()  # starts from another version than the one held
    DIFFERENT = auto()  # leads to a map other than the publisher's


class SubscribedSource:
    """A subscriber's copy of one source. Its version never goes back."""

    def __init__(self, name: str):
        self.name = name
        self.version: Version = NO_VERSION
        self.entries: PMap[str, bytes] = pmap()
        self.digests = RangeDigests()
        self.changed_keys: frozenset[str] = frozenset()  # by the last update that was applied
        self._confirmed_at_s: float | None = None
        self._pending: tuple[Version, float] | None = None  # a confirmation of a version not yet applied

    def held(self) -> HeldSource:
        """What a subscription says of this copy."""
        return HeldSource(self.name, self.version, self.digests.root)

    def apply(self, update: Update) -> Applied:
        """Apply an update, wholly or not at all."""
        if update.to_version < self.version:
            return Applied.OLD
        if update.scope is UpdateScope.KEYS and update.from_version != self.version:
            return Applied.OLD if update.to_version == self.version else Applied.GAP
        removed = self._removed_by(update)
        digests = self._digests_after(update, removed)
        if digests.root != update.digest:
            return Applied.DIFFERENT
        self._take(update, removed)
        self.digests = digests
        return Applied.CHANGED

    def confirm(self, now_s: float, status: SourceStatus) -> None:
        """Note a publisher's word on how old its copy is, unless it is behind this one.

        A newer copy counts once its update has been applied.
        """
        if status.age_ms is None or status.version < self.version:
            return
        confirmed_at_s = now_s - status.age_ms / 1000
        if status.version == self.version:
            self._confirm_at(confirmed_at_s)
        else:
            self._pending = (status.version, confirmed_at_s)

    def age_s(self, now_s: float) -> float | None:
        """Seconds since the copy was known to be current; None if it never was."""
        if self._confirmed_at_s is None:
            return None
        return max(0.0, now_s - self._confirmed_at_s)

    def _confirm_at(self, confirmed_at_s: float) -> None:
        if self._confirmed_at_s is None or confirmed_at_s > self._confirmed_at_s:
            self._confirmed_at_s = confirmed_at_s

    def _removed_by(self, update: Update) -> list[str]:
        match update.scope:
            case UpdateScope.KEYS:
                return [key for key in update.removed if key in self.entries]
            case UpdateScope.RANGES:
                return [
                    key for key in keys_in_ranges(self.entries, update.ranges) if key not in update.changed
                ]
            case UpdateScope.WHOLE:
                return [key for key in self.entries if key not in update.changed]

    def _digests_after(self, update: Update, removed: Iterable[str]) -> RangeDigests:
        digests = self.digests.copy()
        for key in removed:
            digests.change(key, self.entries[key], None)
        for key, value in update.changed.items():
            digests.change(key, self.entries.get(key), value)
        return digests

    def _take(self, update: Update, removed: Iterable[str]) -> None:
        evolver = self.entries.evolver()
        for key in removed:
            evolver.remove(key)
        for key, value in update.changed.items():
            evolver[key] = value
        self.entries = evolver.persistent()
        self.changed_keys = frozenset(update.changed).union(removed)
        self.version = update.to_version
        if self._pending is not None and self._pending[0] <= self.version:
            self._confirm_at(self._pending[1])
            self._pending = None


class SubscriberSession:
    """One stream from one publisher."""

    def __init__(self, name: str, role: str, zone: str, sources: Mapping[str, SubscribedSource], peer: str):
        self.statuses: dict[str, SourceStatus] = {}
        self.changed: list[SubscribedSource] = []  # whoever carries the session out empties it
        self.findings: list[BackendFindings] = []  # of other agents; emptied likewise
        self.takes_failures = False  # whether the publisher passes reports on
        self._identity = (name, role, zone)
        self._sources = sources
        self._peer = peer

    def open(self) -> Subscribe:
        """The message that opens the stream."""
        return self._subscribe([source.held() for source in self._sources.values()])

    def receive(self, message: DistributionMessage, now_s: float) -> list[DistributionMessage]:
        """Take in a message and return the answers; changed copies are added to `changed`.

        Raises ServingError with MALFORMED_MESSAGE for a message that has no place here.
        """
        message = expanded(message, self._peer)
        match message:
            case Heartbeat():
                self._note_statuses(message, now_s)
                return []
            case Update():
                source = self._sources.get(message.source)
                return [] if source is None else self._apply(source, message)
            case Digests():
                return self._compare(message)
            case BackendFindings():
                self.findings.append(message)
                return []
            case _:
                raise self._malformed(type(message).__name__)

    def behind(self) -> bool:
        """Whether the publisher says that its copy of some source is older than the one held."""
        return any(status.version < self._sources[name].version for name, status in self.statuses.items())

    def _note_statuses(self, heartbeat: Heartbeat, now_s: float) -> None:
        self.takes_failures = heartbeat.protocol >= FAILURES_SINCE
        for status in heartbeat.sources:
            if status.name in self._sources:
                self.statuses[status.name] = status
                self._sources[status.name].confirm(now_s, status)

    def _note_version(self, source: str, version: Version) -> None:
        """Take an update as its publisher's word that it holds that version: heartbeats say so later.

        Without it a publisher would seem to be behind the copy that it has itself just brought up to date.
        """
        status = self.statuses.get(source)
        if status is not None and status.version < version:
            self.statuses[source] = msgspec.structs.replace(status, version=version)

    def _apply(self, source: SubscribedSource, update: Update) -> list[DistributionMessage]:
        self._note_version(source.name, update.to_version)
        match source.apply(update):
            case Applied.CHANGED:
                self.changed.append(source)
                return [Acknowledge(source.name, source.version)]
            case Applied.OLD:
                return [Acknowledge(source.name, source.version)]
            case Applied.GAP:
                return [self._subscribe([source.held()])]
            case Applied.DIFFERENT:
                if update.scope is UpdateScope.WHOLE:
                    raise self._malformed(f"whole {source.name} differs from its digest")
                return [self._subscribe([HeldSource(source.name)])]

    def _compare(self, message: Digests) -> list[DistributionMessage]:
        source = self._sources.get(message.source)
        if source is None:
            return []
        try:
            ranges = source.digests.differing(message.ranges)
        except ValueError:
            return [self._subscribe([HeldSource(source.name)])]
        return [RangeRequest(source.name, message.version, ranges)]

    def _subscribe(self, wanted: list[HeldSource]) -> Subscribe:
        name, role, zone = self._identity
        return Subscribe(name, role, zone, wanted, PROTOCOL_VERSION)

    def _malformed(self, reason: str) -> ServingError:
        return ServingError(ErrorCode.MALFORMED_MESSAGE, "receive as subscriber", reason, self._peer)
