"""Limits the backends that are considered for one request.

A service with few backends is considered whole. If the own region or the others together have more than
`max_candidates`, only a subset is, so that the cost of a choice doesn't depend on the size of the deployment.
A request with a shared prefix gets the first backends in the prefix's rendezvous order, the same for every
agent. Any other request gets a random sample, in which queues, distances and the shares for long and short
prompts are distributed as in the whole.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from heapq import nlargest
from random import Random

from nettledeal.dataplane.selection.backend_record import BackendRecord
from nettledeal.dataplane.selection.model import READY, CallDescription, Tuning, Zones
from nettledeal.dataplane.selection.rendezvous import rendezvous_score
from nettledeal.dataplane.selection.service_state import ServiceState

# Prefix subsets that are cached until the backends change.
MAX_CACHED_SUBSETS = 1024


class CandidateSets:
    """Ready backends by region, and the subset that a request may choose from."""

    def __init__(self, tuning: Tuning, region: str, zones: Zones, random: Random):
        self.tuning = tuning
        self.region = region
        self.zones = zones
        self.random = random
        self._regions: dict[str, dict[str, list[BackendRecord]]] = {}
        self._prefix_subsets: dict[tuple[str, bool, frozenset[str], str], Sequence[BackendRecord]] = {}

    def invalidate(self) -> None:
        """The catalogue or the evacuated zones have changed."""
        self._regions.clear()
        self._prefix_subsets.clear()

    def subset(
        self, state: ServiceState, call: CallDescription, evacuated: Collection[str]
    ) -> Sequence[BackendRecord] | None:
        """The backends to choose from; None if all are to be considered."""
        limit = self.tuning.max_candidates
        if len(state.records) <= limit:
            return None
        regions = self._ready_by_region(state, evacuated)
        home, elsewhere = self._split_by_region(regions, call)
        if len(home) <= limit and len(elsewhere) <= limit:
            return None
        return [*self._limited(home, call, True), *self._limited(elsewhere, call, False)]

    def _split_by_region(
        self, regions: dict[str, list[BackendRecord]], call: CallDescription
    ) -> tuple[Sequence[BackendRecord], Sequence[BackendRecord]]:
        allowed = call.home_regions or regions.keys()
        home = regions.get(self.region, []) if self.region in allowed else []
        others = [name for name in regions if name != self.region and name in allowed]
        return home, [record for name in others for record in regions[name]]

    def _limited(
        self, records: Sequence[BackendRecord], call: CallDescription, in_own_region: bool
    ) -> Sequence[BackendRecord]:
        limit = self.tuning.max_candidates
        if len(records) <= limit:
            return records
        if call.shared_tokens < self.tuning.affinity_min_tokens:
            return self.random.sample(records, limit)
        key = (call.service, in_own_region, call.home_regions, call.prefix_key)
        if key not in self._prefix_subsets:
            if len(self._prefix_subsets) >= MAX_CACHED_SUBSETS:
                self._prefix_subsets.clear()
            self._prefix_subsets[key] = first_in_rendezvous_order(call.prefix_key, records, limit)
        return self._prefix_subsets[key]

    def _ready_by_region(
        self, state: ServiceState, evacuated: Collection[str]
    ) -> dict[str, list[BackendRecord]]:
        service = state.profile.name
        if service not in self._regions:
            ready: dict[str, list[BackendRecord]] = {}
            for record in state.records.values():
                backend = record.backend
                if backend.state == READY and backend.zone not in evacuated:
                    ready.setdefault(self.zones.get(backend.zone, ""), []).append(record)
            self._regions[service] = ready
        return self._regions[service]


def first_in_rendezvous_order(key: str, records: Iterable[BackendRecord], count: int) -> list[BackendRecord]:
    """The first `count` records in the rendezvous order of `key`."""

    def score(record: BackendRecord) -> tuple[int, str]:
        return rendezvous_score(key, record.backend.id), record.backend.id

    return nlargest(count, records, key=score)
