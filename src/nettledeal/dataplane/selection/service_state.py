"""State that an agent learns for a service as a whole."""

from __future__ import annotations

from nettledeal.dataplane.selection.backend_record import BackendRecord
from nettledeal.dataplane.selection.event_interval import EventInterval
from nettledeal.dataplane.selection.home_threshold import HomeThreshold
from nettledeal.dataplane.selection.latency_model import LatencyModel
from nettledeal.dataplane.selection.model import ServiceProfile, Tuning
from nettledeal.dataplane.selection.prompt_partition import PromptMix

# Lower bound of the base latency as the unit that waiting times are converted with.
MIN_BASE_LATENCY_S = 0.001


class ServiceState:
    """The service's profile, its backends and what is learned from all of them."""

    def __init__(self, profile: ServiceProfile, tuning: Tuning):
        self.profile = profile
        self.latency = LatencyModel(tuning)
        self.home_threshold = HomeThreshold(tuning)
        self.event_interval = EventInterval()
        self.prompt_mix = PromptMix(tuning)
        self.records: dict[str, BackendRecord] = {}

    def estimated_queue(self, record: BackendRecord, now: float) -> float:
        """A backend's remembered queue plus own attempts that it does not include yet, in requests."""
        return record.remembered_queue(now) + record.own_queue(self.profile.engine_capacity > 0)

    def as_queue_length(self, waiting_s: float) -> float:
        """Converts a waiting time to the number of requests that take this long to start."""
        return waiting_s / max(self.latency.base_s, MIN_BASE_LATENCY_S)
