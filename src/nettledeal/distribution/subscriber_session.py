"""The subscriber's side of the protocol: local copies of sources and the session that updates them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum, auto

import msgspec
from pyrsistent import PMap, pmap

from nettledeal.common.digests import RangeDigests, keys_in_ranges
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.distribution.protocol import (
    FINDINGS_MIN_PROTOCOL,
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
    expand_message,
)


class UpdateOutcome(Enum):
    """Result of applying an update."""

    CHANGED = auto()
    OUTDATED = auto()  # older than the local version, or already applied
    GAP = auto()  # it starts from a version other than the local one
    DIGEST_MISMATCH = auto()  # the resulting map differs from the publisher's


class SubscribedSource:
    """A subscriber's copy of one source; its version never decreases."""

    def __init__(self, name: str):
        self.name = name
        self.version: Version = NO_VERSION
        self.entries: PMap[str, bytes] = pmap()
        self.digests = RangeDigests()
        self.changed_keys: frozenset[str] = frozenset()  # by the last update that was applied
        self._confirmed_at_s: float | None = None
        # A version that hasn't been applied yet, and when the publisher confirmed it.
        self._pending_confirmation: tuple[Version, float] | None = None

    def held_source(self) -> HeldSource:
        """Returns this copy's version and digest for a subscription request."""
        return HeldSource(self.name, self.version, self.digests.root)

    def apply(self, update: Update) -> UpdateOutcome:
        """Applies an update atomically: either completely or not at all."""
        if update.to_version < self.version:
            return UpdateOutcome.OUTDATED
        if update.scope is UpdateScope.KEYS and update.from_version != self.version:
            return UpdateOutcome.OUTDATED if update.to_version == self.version else UpdateOutcome.GAP
        removed = self._removed_by(update)
        digests = self._digests_after(update, removed)
        if digests.root != update.digest:
            return UpdateOutcome.DIGEST_MISMATCH
        self._replace_entries(update, removed)
        self.digests = digests
        return UpdateOutcome.CHANGED

    def confirm(self, now_s: float, status: SourceStatus) -> None:
        """Records the age that a publisher reports for its copy, unless that copy is older than this one.

        The age of a newer copy takes effect once its update has been applied.
        """
        if status.age_ms is None or status.version < self.version:
            return
        confirmed_at_s = now_s - status.age_ms / 1000
        if status.version == self.version:
            self._confirm_at(confirmed_at_s)
        else:
            self._pending_confirmation = (status.version, confirmed_at_s)

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

    def _replace_entries(self, update: Update, removed: Iterable[str]) -> None:
        evolver = self.entries.evolver()
        for key in removed:
            evolver.remove(key)
        for key, value in update.changed.items():
            evolver[key] = value
        self.entries = evolver.persistent()
        self.changed_keys = frozenset(update.changed).union(removed)
        self.version = update.to_version
        if self._pending_confirmation is not None and self._pending_confirmation[0] <= self.version:
            self._confirm_at(self._pending_confirmation[1])
            self._pending_confirmation = None


class SubscriberSession:
    """Protocol state of the connection to one publisher."""

    def __init__(self, name: str, role: str, zone: str, sources: Mapping[str, SubscribedSource], peer: str):
        self.statuses: dict[str, SourceStatus] = {}
        self.changed_sources: list[SubscribedSource] = []  # emptied by the session's owner
        self.received_findings: list[BackendFindings] = []  # from other agents; emptied by the owner
        self.accepts_findings = False  # whether the publisher forwards findings
        self._identity = (name, role, zone)
        self._sources = sources
        self._peer = peer

    def open(self) -> Subscribe:
        """Returns the message that opens the subscription."""
        return self._subscribe([source.held_source() for source in self._sources.values()])

    def receive(self, message: DistributionMessage, now_s: float) -> list[DistributionMessage]:
        """Processes a message and returns the replies; adds updated copies to `changed_sources`.

        Raises ServingError with MALFORMED_MESSAGE for a message type that a subscriber doesn't accept.
        """
        message = expand_message(message, self._peer)
        match message:
            case Heartbeat():
                self._record_statuses(message, now_s)
                return []
            case Update():
                source = self._sources.get(message.source)
                return [] if source is None else self._apply(source, message)
            case Digests():
                return self._request_differing_ranges(message)
            case BackendFindings():
                self.received_findings.append(message)
                return []
            case _:
                raise self._malformed(type(message).__name__)

    def is_publisher_behind(self) -> bool:
        """Whether the publisher reports an older version of some source than the local one."""
        return any(status.version < self._sources[name].version for name, status in self.statuses.items())

    def _record_statuses(self, heartbeat: Heartbeat, now_s: float) -> None:
        self.accepts_findings = heartbeat.protocol >= FINDINGS_MIN_PROTOCOL
        for status in heartbeat.sources:
            if status.name in self._sources:
                self.statuses[status.name] = status
                self._sources[status.name].confirm(now_s, status)

    def _record_version(self, source: str, version: Version) -> None:
        """Raises the publisher's reported version to that of its update, before the next heartbeat does.

        Otherwise a publisher would seem to be behind the copy that it has just brought up to date.
        """
        status = self.statuses.get(source)
        if status is not None and status.version < version:
            self.statuses[source] = msgspec.structs.replace(status, version=version)

    def _apply(self, source: SubscribedSource, update: Update) -> list[DistributionMessage]:
        self._record_version(source.name, update.to_version)
        match source.apply(update):
            case UpdateOutcome.CHANGED:
                self.changed_sources.append(source)
                return [Acknowledge(source.name, source.version)]
            case UpdateOutcome.OUTDATED:
                return [Acknowledge(source.name, source.version)]
            case UpdateOutcome.GAP:
                return [self._subscribe([source.held_source()])]
            case UpdateOutcome.DIGEST_MISMATCH:
                if update.scope is UpdateScope.WHOLE:
                    raise self._malformed(f"whole {source.name} differs from its digest")
                return [self._subscribe([HeldSource(source.name)])]

    def _request_differing_ranges(self, message: Digests) -> list[DistributionMessage]:
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
