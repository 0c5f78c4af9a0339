"""Where a request goes among the backends that may be used.

The ordinary path is the design's (FEO): work stays in the home region while the mean remembered queue of its
backends is under a learned threshold; beyond it, a draw weighted by remembered queues may send it to other
regions, never outside a route's home regions. For model backends, requests with equal shared prefixes meet
the same backend, which rendezvous hashing finds alike on every agent, unless that backend is crowded, or a
connection would have to be opened to it that costs more than reading the prefix anew; long prompts and short
ones meet different backends where a region has both.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random

from nettledeal.dataplane.selection.affinity import ordered
from nettledeal.dataplane.selection.model import CallDescription, Tuning, Zones
from nettledeal.dataplane.selection.partition import reading_part
from nettledeal.dataplane.selection.record import BackendRecord
from nettledeal.dataplane.selection.service_state import ServiceState

Queues = dict[str, float]


class Placement:
    """Chooses among usable backends by queues, distance and prompts."""

    def __init__(self, tuning: Tuning, zone: str, region: str, zones: Zones, random: Random):
        self.tuning = tuning
        self.zone = zone
        self.region = region
        self.zones = zones
        self.random = random
        # Whether a connection to the backend of that id rests here that a request may be sent on.
        self.connected: Callable[[str, float], bool] = lambda backend_id, now: True

    def region_of(self, record: BackendRecord) -> str:
        """The region of a backend."""
        return self.zones.get(record.backend.zone, "")

    def place(
        self,
        usable: Sequence[BackendRecord],
        ready: Sequence[BackendRecord],
        call: CallDescription,
        state: ServiceState,
        now: float,
    ) -> BackendRecord:
        """One of `usable`, which must not be empty; `ready` has those as well that are distrusted now."""
        queues = {record.backend.id: state.queue(record, now) for record in usable}
        part = usable
        if state.mix.is_long(call):
            reading = self._reading(usable, call, state, now)
            part = [record for record in usable if record.backend.id in reading]
        group = self._group(part, call, state, queues)
        if call.shared_tokens >= self.tuning.affinity_least_tokens:
            order = self._prefix_order(group, ready, call, state, now)
            order += self._spare(order, usable, call, queues)
            steered = self._first_free(order, call, queues, now)
            if steered is not None and self._worth_steering(steered, call, now):
                return steered
        if self._avoids_reading(call, state, now):
            for backend_id in self._reading(group, call, state, now):
                queues[backend_id] += self.tuning.reading_queue
        return self._draw(group, queues, now)

    def _group(
        self,
        usable: Sequence[BackendRecord],
        call: CallDescription,
        state: ServiceState,
        queues: Mapping[str, float],
    ) -> Sequence[BackendRecord]:
        """The backends among which to choose: home under the threshold, else peers with shorter queues."""
        home = [record for record in usable if self.region_of(record) == self.region]
        if not home or call.home_regions:
            return home or usable
        mean = sum(queues[record.backend.id] for record in home) / len(home)
        crossing = self._crossing(call)
        if mean < state.threshold.value + crossing:
            return home
        peers = [record for record in usable if self.region_of(record) != self.region]
        shorter = [record for record in peers if queues[record.backend.id] + crossing < mean]
        return shorter or home

    def _crossing(self, call: CallDescription) -> float:
        """What it costs to leave the region, in queued requests: the body, and a prefix that is read anew."""
        carried = call.body_bytes / self.tuning.bytes_per_queued
        return carried + self._reading_anew(call)

    def _reading(
        self, records: Iterable[BackendRecord], call: CallDescription, state: ServiceState, now: float
    ) -> set[str]:
        """The backends that have long prompts: a part of those of regions that have short ones as well."""
        regions: dict[str, list[BackendRecord]] = {}
        for record in records:
            regions.setdefault(self.region_of(record), []).append(record)
        reading: set[str] = set()
        for region, found in regions.items():
            if self._avoids_reading(call, state, now) or state.mix.has_short(region, now):
                reading |= reading_part(call.service, found, self.tuning)
            else:
                reading |= {record.backend.id for record in found}
        return reading

    def _avoids_reading(self, call: CallDescription, state: ServiceState, now: float) -> bool:
        return call.prompt_tokens > 0 and not state.mix.is_long(call) and state.mix.has_long(now)

    def _prefix_order(
        self,
        group: Iterable[BackendRecord],
        ready: Iterable[BackendRecord],
        call: CallDescription,
        state: ServiceState,
        now: float,
    ) -> list[BackendRecord]:
        """The group in the order for the call's prefix.

        It is that of the backends which the prefix has when none is distrusted, so that the loss of one moves
        no prefix of the others; those that take its place come in only for its own.
        """
        by_id = {record.backend.id: record for record in group}
        regions = {self.region_of(record) for record in by_id.values()}
        near = [record for record in ready if self.region_of(record) in regions]
        usual = set(by_id)
        if state.mix.is_long(call):
            usual = self._reading(near, call, state, now)
        order = ordered(call.prefix_key, usual)
        others = ordered(call.prefix_key, by_id.keys() - usual)
        if order and order[0] not in by_id:
            order = others + order
        else:
            order += others
        return [by_id[backend_id] for backend_id in order if backend_id in by_id]

    def _spare(
        self,
        order: Sequence[BackendRecord],
        usable: Iterable[BackendRecord],
        call: CallDescription,
        queues: Queues,
    ) -> list[BackendRecord]:
        """The backends of the same regions that are kept for short prompts; their queues count longer."""
        taken = {record.backend.id for record in order}
        regions = {self.region_of(record) for record in order}
        spare = [
            record
            for record in usable
            if record.backend.id not in taken and self.region_of(record) in regions
        ]
        for record in spare:
            queues[record.backend.id] += self.tuning.reading_queue
        by_id = {record.backend.id: record for record in spare}
        return [by_id[backend_id] for backend_id in ordered(call.prefix_key, by_id)]

    def _first_free(
        self, order: Sequence[BackendRecord], call: CallDescription, queues: Queues, now: float
    ) -> BackendRecord | None:
        """The first backend that is neither distrusted nor crowded.

        Crowded is one at which waiting takes longer, by an allowance, than having the prefix read anew where
        the queue is shortest.
        """
        sound = [record for record in order if record.health.distrust(now) <= self.tuning.steered_distrust]
        if not sound:
            return None
        least = min(queues[record.backend.id] for record in sound)
        bound = least + self._reading_anew(call) + self.tuning.affinity_allowance
        return next(record for record in sound if queues[record.backend.id] <= bound)

    def _worth_steering(self, record: BackendRecord, call: CallDescription, now: float) -> bool:
        """Whether reading the prefix anew elsewhere costs more than opening a connection for it would."""
        connected = self.connected(record.backend.id, now)
        return connected or self._reading_anew(call) >= self.tuning.connecting_queue

    def _reading_anew(self, call: CallDescription) -> float:
        """What a backend without the call's shared prefix costs, in queued requests."""
        return call.shared_tokens / self.tuning.tokens_per_queued

    def _draw(self, group: Sequence[BackendRecord], queues: Queues, now: float) -> BackendRecord:
        """A weighted random draw that favours short queues, sound backends and, a little, the own zone."""
        weights = []
        for record in group:
            queue = queues[record.backend.id]
            if record.backend.zone != self.zone:
                queue += self.tuning.other_zone_queue
            if not self.connected(record.backend.id, now):
                queue += self.tuning.connecting_queue
            trust = (1.0 - record.health.distrust(now)) ** self.tuning.distrust_power
            weights.append(trust * (1.0 + queue) ** -self.tuning.sharpness)
        return self.random.choices(group, weights)[0]
