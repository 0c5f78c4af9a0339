"""Chooses among the usable backends by queue length, distance and prompt.

The basic algorithm is FEO, as in the design: requests stay in the home region while the mean remembered queue
of its backends is under a learned threshold; above it, a random choice weighted by remembered queues may send
them to other regions, but never outside a route's home regions. For model backends, requests with equal
shared prefixes go to the same backend, found by rendezvous hashing on every agent, unless that backend is
crowded or opening a connection to it costs more than reading the prefix again. Long and short prompts go to
different backends of a region that has both.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random

from nettledeal.dataplane.selection.backend_record import BackendRecord
from nettledeal.dataplane.selection.model import CallDescription, Tuning, Zones
from nettledeal.dataplane.selection.prompt_partition import long_prompt_backends
from nettledeal.dataplane.selection.rendezvous import rendezvous_order
from nettledeal.dataplane.selection.service_state import ServiceState

QueueLengths = dict[str, float]


class Placement:
    """Chooses among usable backends by queue length, distance and prompt."""

    def __init__(self, tuning: Tuning, zone: str, region: str, zones: Zones, random: Random):
        self.tuning = tuning
        self.zone = zone
        self.region = region
        self.zones = zones
        self.random = random
        # Whether there is an idle connection to the backend of that id that a request may be sent on.
        self.has_idle_connection: Callable[[str, float], bool] = lambda backend_id, now: True

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
        """One of `usable`, which must not be empty; `ready` also has those that are unhealthy now."""
        queues = {record.backend.id: state.estimated_queue(record, now) for record in usable}
        eligible = usable
        if state.prompt_mix.is_long(call):
            long_prompt_ids = self._long_prompt_ids(usable, call, state, now)
            eligible = [record for record in usable if record.backend.id in long_prompt_ids]
        group = self._home_or_overflow(eligible, call, state, queues)
        if call.shared_tokens >= self.tuning.affinity_min_tokens:
            order = self._prefix_order(group, ready, call, state, now)
            order += self._short_prompt_records(order, usable, call, queues)
            preferred = self._first_uncrowded(order, call, queues, now)
            if preferred is not None and self._affinity_pays_off(preferred, call, now):
                return preferred
        if self._avoids_long_prompts(call, state, now):
            for backend_id in self._long_prompt_ids(group, call, state, now):
                queues[backend_id] += self.tuning.long_prompt_queue_penalty
        return self._choose_weighted(group, queues, now)

    def _home_or_overflow(
        self,
        usable: Sequence[BackendRecord],
        call: CallDescription,
        state: ServiceState,
        queues: Mapping[str, float],
    ) -> Sequence[BackendRecord]:
        """The backends to choose from: home while under the threshold, else others with shorter queues."""
        home = [record for record in usable if self.region_of(record) == self.region]
        if not home or call.home_regions:
            return home or usable
        mean = sum(queues[record.backend.id] for record in home) / len(home)
        crossing_cost = self._cross_region_cost(call)
        if mean < state.home_threshold.value + crossing_cost:
            return home
        others = [record for record in usable if self.region_of(record) != self.region]
        shorter = [record for record in others if queues[record.backend.id] + crossing_cost < mean]
        return shorter or home

    def _cross_region_cost(self, call: CallDescription) -> float:
        """Cost of leaving the region, in queued requests: sending the body, and reading the prefix again."""
        transfer_cost = call.body_bytes / self.tuning.body_bytes_per_queued_request
        return transfer_cost + self._prefix_read_cost(call)

    def _long_prompt_ids(
        self, records: Iterable[BackendRecord], call: CallDescription, state: ServiceState, now: float
    ) -> set[str]:
        """Ids of the backends for long prompts: part of a region with short prompts, else all of it."""
        regions: dict[str, list[BackendRecord]] = {}
        for record in records:
            regions.setdefault(self.region_of(record), []).append(record)
        long_prompt_ids: set[str] = set()
        for region, members in regions.items():
            if self._avoids_long_prompts(call, state, now) or state.prompt_mix.has_short(region, now):
                long_prompt_ids |= long_prompt_backends(call.service, members, self.tuning)
            else:
                long_prompt_ids |= {record.backend.id for record in members}
        return long_prompt_ids

    def _avoids_long_prompts(self, call: CallDescription, state: ServiceState, now: float) -> bool:
        return (
            call.prompt_tokens > 0 and not state.prompt_mix.is_long(call) and state.prompt_mix.has_long(now)
        )

    def _prefix_order(
        self,
        group: Iterable[BackendRecord],
        ready: Iterable[BackendRecord],
        call: CallDescription,
        state: ServiceState,
        now: float,
    ) -> list[BackendRecord]:
        """The group in rendezvous order for the call's prefix.

        The backends that the prefix has when all are healthy come first, so that the loss of one moves only
        its own prefixes; backends that take its place are used only for those.
        """
        by_id = {record.backend.id: record for record in group}
        regions = {self.region_of(record) for record in by_id.values()}
        same_regions = [record for record in ready if self.region_of(record) in regions]
        usual_ids = set(by_id)
        if state.prompt_mix.is_long(call):
            usual_ids = self._long_prompt_ids(same_regions, call, state, now)
        order = rendezvous_order(call.prefix_key, usual_ids)
        others = rendezvous_order(call.prefix_key, by_id.keys() - usual_ids)
        if order and order[0] not in by_id:
            order = others + order
        else:
            order += others
        return [by_id[backend_id] for backend_id in order if backend_id in by_id]

    def _short_prompt_records(
        self,
        order: Sequence[BackendRecord],
        usable: Iterable[BackendRecord],
        call: CallDescription,
        queues: QueueLengths,
    ) -> list[BackendRecord]:
        """The backends of the same regions that are reserved for short prompts; penalizes their queues."""
        included = {record.backend.id for record in order}
        regions = {self.region_of(record) for record in order}
        reserved = [
            record
            for record in usable
            if record.backend.id not in included and self.region_of(record) in regions
        ]
        for record in reserved:
            queues[record.backend.id] += self.tuning.long_prompt_queue_penalty
        by_id = {record.backend.id: record for record in reserved}
        return [by_id[backend_id] for backend_id in rendezvous_order(call.prefix_key, by_id)]

    def _first_uncrowded(
        self, order: Sequence[BackendRecord], call: CallDescription, queues: QueueLengths, now: float
    ) -> BackendRecord | None:
        """The first backend that is neither failing nor crowded.

        A backend is crowded if waiting there takes longer, by an allowance, than reading the prefix again at
        the backend with the shortest queue.
        """
        healthy = [
            record
            for record in order
            if record.health.failure_probability(now) <= self.tuning.affinity_max_failure_probability
        ]
        if not healthy:
            return None
        shortest = min(queues[record.backend.id] for record in healthy)
        limit = shortest + self._prefix_read_cost(call) + self.tuning.affinity_queue_allowance
        return next(record for record in healthy if queues[record.backend.id] <= limit)

    def _affinity_pays_off(self, record: BackendRecord, call: CallDescription, now: float) -> bool:
        """Whether reading the prefix again elsewhere costs more than opening a connection to the backend."""
        connected = self.has_idle_connection(record.backend.id, now)
        return connected or self._prefix_read_cost(call) >= self.tuning.new_connection_queue_penalty

    def _prefix_read_cost(self, call: CallDescription) -> float:
        """Cost of reading the call's shared prefix, in queued requests."""
        return call.shared_tokens / self.tuning.prompt_tokens_per_queued_request

    def _choose_weighted(
        self, group: Sequence[BackendRecord], queues: QueueLengths, now: float
    ) -> BackendRecord:
        """A weighted random choice: favours short queues, healthy backends and, slightly, the own zone."""
        weights = []
        for record in group:
            queue = queues[record.backend.id]
            if record.backend.zone != self.zone:
                queue += self.tuning.other_zone_queue_penalty
            if not self.has_idle_connection(record.backend.id, now):
                queue += self.tuning.new_connection_queue_penalty
            health_weight = (
                1.0 - record.health.failure_probability(now)
            ) ** self.tuning.failure_weight_exponent
            weights.append(health_weight * (1.0 + queue) ** -self.tuning.queue_weight_exponent)
        return self.random.choices(group, weights)[0]
