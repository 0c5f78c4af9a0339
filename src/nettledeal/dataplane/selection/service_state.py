"""What an agent has learned of one service as a whole."""

from __future__ import annotations

from nettledeal.dataplane.selection.event_pace import EventPace
from nettledeal.dataplane.selection.latency import LatencyModel
from nettledeal.dataplane.selection.model import ServiceProfile, Tuning
from nettledeal.dataplane.selection.partition import PromptMix
from nettledeal.dataplane.selection.record import BackendRecord
from nettledeal.dataplane.selection.threshold import HomeThreshold

# Below this the usual time to a first event is no measure for what a request costs.
LEAST_BASE_S = 0.001


class ServiceState:
    """The service's profile, its backends and what they have in common."""

    def __init__(self, profile: ServiceProfile, tuning: Tuning):
        self.profile = profile
        self.latency = LatencyModel(tuning)
        self.threshold = HomeThreshold(tuning)
        self.pace = EventPace()
        self.mix = PromptMix(tuning)
        self.records: dict[str, BackendRecord] = {}

    def queue(self, record: BackendRecord, now: float) -> float:
        """A backend's remembered queue and own attempts that it does not hold yet, in requests."""
        return record.remembered_queue(now) + record.own_queue(self.profile.engine_capacity > 0)

    def as_requests(self, waited_s: float) -> float:
        """A time in which nothing came, as a queue: in requests that it takes so long to begin."""
        return waited_s / max(self.latency.base_s, LEAST_BASE_S)
