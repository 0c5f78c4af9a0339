"""A versioned map with a bounded change log from which updates for subscribers are built."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from functools import cached_property

from nettledeal.common.compression import MIN_BYTES
from nettledeal.common.digests import RangeDigests, keys_in_ranges, range_of
from nettledeal.distribution.protocol import (
    CODEC,
    COMPRESSION_MIN_PROTOCOL,
    NO_VERSION,
    Digests,
    DistributionMessage,
    SourceStatus,
    Update,
    UpdateScope,
    Version,
    compress_message,
)

CHANGE_LOG_LENGTH = 256


class SharedMessage:
    """A message that is encoded once and sent to many receivers."""

    def __init__(self, message: DistributionMessage):
        self.message = message

    @cached_property
    def frame(self) -> bytes:
        """The uncompressed message with a length prefix, readable by all protocol versions."""
        return CODEC.frame(self.message)

    @cached_property
    def compressed_frame(self) -> bytes:
        """The frame for peers that support compression; small messages stay uncompressed."""
        if len(self.frame) < MIN_BYTES:
            return self.frame
        return CODEC.frame(compress_message(CODEC.encode(self.message)))

    def frame_for(self, protocol: int) -> bytes:
        """Returns the frame for a peer with this protocol version."""
        return self.compressed_frame if protocol >= COMPRESSION_MIN_PROTOCOL else self.frame


class PublishedSource:
    """A named key-value map whose version only increases."""

    def __init__(self, name: str, change_log_length: int = CHANGE_LOG_LENGTH):
        self.name = name
        self.version: Version = NO_VERSION
        self.entries: dict[str, bytes] = {}  # read-only for callers
        self.digests = RangeDigests()
        self._change_log: deque[tuple[Version, frozenset[str]]] = deque(maxlen=change_log_length)
        self._updates_by_version: dict[Version, SharedMessage | None] = {}
        self._confirmed_at_s: float | None = None

    def publish(self, version: Version, entries: Mapping[str, bytes]) -> frozenset[str]:
        """Replaces the map and returns the changed keys. An older or equal version is ignored."""
        if version <= self.version:
            return frozenset()
        changed = {key: value for key, value in entries.items() if self.entries.get(key) != value}
        removed = [key for key in self.entries if key not in entries]
        return self.publish_changes(version, changed, removed)

    def publish_changes(
        self, version: Version, changed: Mapping[str, bytes], removed: Iterable[str]
    ) -> frozenset[str]:
        """Applies changes to the map and returns the changed keys. An older or equal version is ignored."""
        if version <= self.version:
            return frozenset()
        removed = [key for key in removed if key in self.entries]
        for key in removed:
            self.digests.change(key, self.entries.pop(key), None)
        for key, value in changed.items():
            self.digests.change(key, self.entries.get(key), value)
            self.entries[key] = value
        keys = frozenset(changed).union(removed)
        self._change_log.append((self.version, keys))
        self._updates_by_version.clear()
        self.version = version
        return keys

    def confirm(self, now_s: float, age_s: float = 0.0) -> None:
        """Records that the map was known to be current `age_s` before `now_s` (monotonic seconds)."""
        confirmed_at_s = now_s - age_s
        if self._confirmed_at_s is None or confirmed_at_s > self._confirmed_at_s:
            self._confirmed_at_s = confirmed_at_s

    def age_s(self, now_s: float) -> float | None:
        """Seconds since the map was known to be current; None if it never was."""
        if self._confirmed_at_s is None:
            return None
        return max(0.0, now_s - self._confirmed_at_s)

    def status(self, now_s: float) -> SourceStatus:
        """Returns the source's status for heartbeats."""
        age_s = self.age_s(now_s)
        return SourceStatus(self.name, self.version, None if age_s is None else int(age_s * 1000))

    def update_since(self, version: Version) -> SharedMessage | None:
        """Returns the update from `version` to the current one; None if the log doesn't cover it."""
        if version not in self._updates_by_version:
            update = self._make_update(version)
            self._updates_by_version[version] = None if update is None else SharedMessage(update)
        return self._updates_by_version[version]

    def make_digests(self) -> Digests:
        """Returns the range digests of the current version."""
        return Digests(self.name, self.version, list(self.digests.ranges))

    def make_ranges_update(self, offered: Version, ranges: Iterable[int]) -> Update | None:
        """Returns the content of `ranges`, which differed at version `offered`, and of ranges changed since.

        Returns None if the log doesn't reach back to `offered`.
        """
        changed_keys = self._changed_since(offered)
        if changed_keys is None:
            return None
        wanted = set(ranges).union(map(range_of, changed_keys))
        content = {key: self.entries[key] for key in keys_in_ranges(self.entries, wanted)}
        return Update(
            self.name, self.version, UpdateScope.RANGES, content, self.digests.root, ranges=sorted(wanted)
        )

    def _make_update(self, version: Version) -> Update | None:
        if version == NO_VERSION:
            return Update(self.name, self.version, UpdateScope.WHOLE, dict(self.entries), self.digests.root)
        keys = self._changed_since(version)
        if keys is None:
            return None
        return Update(
            self.name,
            self.version,
            UpdateScope.KEYS,
            {key: self.entries[key] for key in keys if key in self.entries},
            self.digests.root,
            from_version=version,
            removed=[key for key in keys if key not in self.entries],
        )

    def _changed_since(self, version: Version) -> set[str] | None:
        if version == self.version:
            return set()
        keys: set[str] = set()
        for from_version, changed in reversed(self._change_log):
            keys |= changed
            if from_version == version:
                return keys
        return None
