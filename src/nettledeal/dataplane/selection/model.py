"""Types of backend selection. Times are seconds of a monotonic clock."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto
from typing import Protocol

import msgspec

# State of a backend that accepts requests.
READY = "ready"


class Backend(Protocol):
    """The fields of a catalogue entry that selection uses."""

    @property
    def id(self) -> str: ...
    @property
    def service(self) -> str: ...
    @property
    def zone(self) -> str: ...
    @property
    def capacity(self) -> int: ...
    @property
    def state(self) -> str: ...
    @property
    def warmup_left_ms(self) -> float: ...


class ServiceProfile(msgspec.Struct, frozen=True):
    """Configuration of one service."""

    name: str
    max_connections: int = 0
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0
    engine_capacity: int = 0  # 0: no model engine
    kv_cache_tokens: int = 0


class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt. All parts but the last may be shared between requests."""

    id: str
    tokens: int


class CallDescription(msgspec.Struct, frozen=True):
    """The properties of a request that selection uses."""

    route_name: str
    service: str
    home_regions: frozenset[str] = frozenset()
    prompt_parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    priority: int = 0
    latency_target_s: float = 1.0
    deadline_s: float = 10.0
    body_bytes: int = 0

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share."""
        return self.prompt_parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Number of tokens in the shared parts."""
        return sum(part.tokens for part in self.shared_parts)

    @property
    def prefix_key(self) -> str:
        """Identifies the whole shared prefix; empty if there is none."""
        return ",".join(part.id for part in self.shared_parts)


class Refusal(msgspec.Struct, frozen=True):
    """No backend may be used at the moment."""

    retry_after_s: float
    reason: str = ""


class ReportedLoad(msgspec.Struct, frozen=True):
    """Running and waiting requests reported by a backend, including the one that the response belongs to."""

    running: int
    waiting: int


class AttemptOutcome(Enum):
    """How an attempt at a backend ended."""

    COMPLETED = auto()
    REFUSED = auto()  # the backend says that it did not execute the request (full)
    REPLACED = auto()  # 421: the address belongs to another backend now
    FAILED = auto()  # error status, reset or malformed response
    TIMED_OUT = auto()
    CANCELLED = auto()  # the client disconnected
    UNREACHABLE = auto()  # no connection could be opened; nothing was sent
    NOT_SENT = auto()  # a reused connection was already closed; says nothing about the backend


class Attempt(msgspec.Struct, eq=False):
    """A request that was sent to a backend."""

    backend_id: str
    call: CallDescription
    started_at: float
    uncached_tokens: int
    expected_s: float
    first_event_at: float | None = None
    ended: bool = False

    @property
    def tokens(self) -> int:
        """Tokens that the backend has to process for this request."""
        return self.uncached_tokens + self.call.output_tokens

    @property
    def kv_cache_tokens(self) -> int:
        """Tokens that the request occupies in the engine's KV cache when it ends."""
        return self.call.prompt_tokens + self.call.output_tokens


class WarmupBounds(msgspec.Struct, frozen=True):
    """Limit for a cold backend over all agents: warmup_per_s x overage + slack requests a second."""

    overage: float = 1.5
    slack: float = 5.0


class Tuning(msgspec.Struct, frozen=True):
    """Parameters of backend selection. Queue lengths and penalties are in requests."""

    warmup: WarmupBounds = WarmupBounds()
    # Weight that a remembered queue length keeps after `queue_smoothing_window_s`.
    queue_history_weight: float = 0.7
    queue_smoothing_window_s: float = 1.0
    # Mean home-region queue up to which requests stay in the home region; adapted between the bounds.
    initial_home_threshold: float = 2.0
    min_home_threshold: float = 0.5
    max_home_threshold: float = 10.0
    # Largest number of backends considered per request, each for the own region and for all others.
    max_candidates: int = 48
    # Exponent of the queue length in the weighted random choice; higher favours short queues more.
    queue_weight_exponent: float = 4.0
    # Queue length of an attempt whose response has begun, and prompt tokens equal to one waiting request.
    running_request_queue: float = 0.2
    prompt_tokens_per_queued_request: float = 2000.0
    # Bytes of a request body that weigh as one queued request when it would go to another region.
    body_bytes_per_queued_request: float = 16384.0
    # Exponent of the success probability in the weighted random choice.
    failure_weight_exponent: float = 6.0
    # A prefix leaves its preferred backend above this failure probability.
    affinity_max_failure_probability: float = 0.4
    # Added to the queue of a backend in another zone.
    other_zone_queue_penalty: float = 0.5
    # Prompts of at least this size delay others while the engine reads them. They get this share of a
    # region's backends if the service has had both kinds within `prompt_mix_window_s`. For a short prompt,
    # `long_prompt_queue_penalty` is added to the queues of those backends.
    long_prompt_tokens: int = 3000
    long_prompt_backend_share: float = 2 / 3
    long_prompt_queue_penalty: float = 6.0
    prompt_mix_window_s: float = 10.0
    # Shorter shared prefixes are ignored for prefix affinity.
    affinity_min_tokens: int = 256
    # A prefix leaves its preferred backend when the queue there exceeds the shortest queue by more than the
    # cost of reading the prefix again plus this allowance.
    affinity_queue_allowance: float = 6.0
    # How long an agent assumes that a backend still has a prefix cached, and for how many prefixes.
    prefix_cache_ttl_s: float = 30.0
    max_cached_prefixes: int = 512
    # Estimates used before any attempt has been measured.
    initial_prefill_tokens_per_s: float = 50_000.0
    initial_latency_s: float = 0.05
    # Largest share of a service's backends that may be ejected at once.
    max_ejected_share: float = 0.5
    ejection_consecutive_failures: int = 3
    ejection_failure_ratio: float = 0.3
    ejection_min_samples: int = 6
    failure_decay_s: float = 4.0
    base_ejection_s: float = 0.7
    # A backend that fails within this time after its return is ejected again at the first failure.
    reejection_window_s: float = 4.0
    max_ejection_s: float = 8.0
    # Weight of a failure that another agent of the zone reports, and the shortest interval between own
    # reports about one backend.
    reported_failure_weight: float = 1.0
    failure_report_interval_s: float = 1.0
    # A backend counts as silent when an attempt waits this many times the expected latency, with a minimum.
    silence_timeout_factor: float = 5.0
    min_silence_timeout_s: float = 0.4
    # Without a first event after this multiple of the expected latency, or this share of the route's latency
    # target, the agent checks the backend by opening a connection; with a minimum.
    connect_check_latency_factor: float = 2.0
    connect_check_target_share: float = 0.3
    min_connect_check_delay_s: float = 0.2
    # How long a connection may be idle before a request that must not run twice is sent on it: the backend
    # may be gone, or have dropped the connection without notice. Shorter after such a loss in the same zone.
    # Failures reported by the backend itself don't count, they say nothing about its connections.
    max_idle_s: float = 6.0
    max_idle_after_zone_failure_s: float = 0.5
    zone_failure_window_s: float = 10.0
    # Added to the queue of a backend to which a connection has to be opened first.
    new_connection_queue_penalty: float = 1.5
    # Queues of at least the first length are reported to the other agents of the zone, capped at the second.
    min_reported_queue: float = 3.0
    max_reported_queue: float = 20.0
    queue_report_interval_s: float = 0.3
    # How long a replaced backend makes the others of its zone suspect; by then the catalogue is up to date.
    replaced_window_s: float = 2.0
    # Suspect backends are left out if the others are at least this share of the usable ones.
    min_unsuspected_share: float = 0.5
    # Share of the warm-up limit that agents use.
    warmup_safety_factor: float = 0.7
    # Extends the warm-up time by the delay of the catalogue.
    warmup_delivery_delay_s: float = 0.3
    # How long a new process waits before it trusts its view of the members, and how long it remembers them.
    members_settle_s: float = 6.0
    members_window_s: float = 30.0
    retry_after_s: float = 0.25


Zones = Mapping[str, str]
