"""Types of the selection of a backend. Times are seconds of a monotonic clock."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto
from typing import Protocol

import msgspec

# The state of a backend that takes requests.
READY = "ready"


class Backend(Protocol):
    """What the selection reads of a backend in the catalogue."""

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
    """What the configuration says of the backends of one service."""

    name: str
    max_connections: int = 0
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0
    engine_capacity: int = 0  # 0: no model engine
    kv_cache_tokens: int = 0


class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt, in order; all but the last are shared between requests."""

    id: str
    tokens: int


class CallDescription(msgspec.Struct, frozen=True):
    """What the selection needs to know of a request."""

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
        """The parts that other requests may have in common with this one."""
        return self.prompt_parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared parts."""
        return sum(part.tokens for part in self.shared_parts)

    @property
    def prefix_key(self) -> str:
        """Names the whole shared prefix; empty without one."""
        return ",".join(part.id for part in self.shared_parts)


class Refusal(msgspec.Struct, frozen=True):
    """No backend may be used now."""

    retry_after_s: float
    reason: str = ""


class ReportedLoad(msgspec.Struct, frozen=True):
    """Requests that a backend runs, and that wait there, by its own word; an answer's own is among them."""

    running: int
    waiting: int


class AttemptOutcome(Enum):
    """How an attempt at a backend ended."""

    COMPLETED = auto()
    REFUSED = auto()  # the backend said that it did not run the request (full)
    GONE = auto()  # 421: another backend has the address
    FAILED = auto()  # error, reset or bytes that are no answer
    TIMED_OUT = auto()
    CANCELLED = auto()  # the client has gone
    UNREACHABLE = auto()  # no connection: nothing was sent
    NOT_SENT = auto()  # a connection that had ended meanwhile took no byte: says nothing of the backend


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
        """Tokens that the backend has to work through for it."""
        return self.uncached_tokens + self.call.output_tokens

    @property
    def memory_tokens(self) -> int:
        """Tokens that it holds in the engine's memory at its end."""
        return self.call.prompt_tokens + self.call.output_tokens


class WarmupBounds(msgspec.Struct, frozen=True):
    """The rule for cold backends, over all agents: per_s x overage + slack requests a second."""

    overage: float = 1.5
    slack: float = 5.0


class Tuning(msgspec.Struct, frozen=True):
    """Constants of the selection."""

    warmup: WarmupBounds = WarmupBounds()
    # The design's smoothing of remembered queues: weight of history over `smoothing_window_s`.
    history: float = 0.7
    smoothing_window_s: float = 1.0
    first_threshold: float = 2.0
    least_threshold: float = 0.5
    most_threshold: float = 10.0
    # Of a service's backends in the own region, and of those elsewhere, at most so many are looked at for a
    # request.
    most_candidates: int = 48
    # How strongly the draw favours short queues.
    sharpness: float = 4.0
    # What an attempt counts whose answer has begun, and prompt tokens that count as one more waiting request.
    running_queue: float = 0.2
    tokens_per_queued: float = 2000.0
    # Bytes of a body that weigh as one queued request when it would go to another region.
    bytes_per_queued: float = 16384.0
    # How sharply the draw avoids a backend that fails part of its requests.
    distrust_power: float = 6.0
    # Distrust at which a prefix leaves its backend.
    steered_distrust: float = 0.4
    # How much further the queue of another zone's backend counts than it is, in requests.
    other_zone_queue: float = 0.5
    # Prompts from this size on hold up others while they are read; they have this share of a region's
    # backends, where the service has had both kinds within `mix_memory_s`. A short prompt counts the others'
    # queues shorter by `reading_queue`.
    long_prompt_tokens: int = 3000
    reading_share: float = 2 / 3
    reading_queue: float = 6.0
    mix_memory_s: float = 10.0
    # Prefixes under this size are not worth steering a request for.
    affinity_least_tokens: int = 256
    # A prefix leaves its backend when its queue is longer than the shortest by more than reading the prefix
    # anew costs, plus this allowance, in requests.
    affinity_allowance: float = 6.0
    # How long an agent remembers that a backend has read a prefix, and how many.
    prefix_memory_s: float = 30.0
    prefixes_remembered: int = 512
    # Tokens that an engine reads in a second, before anything is learned.
    first_prefill_tokens_per_s: float = 50_000.0
    first_latency_s: float = 0.05
    # Share of a service's backends that may be shunned at once.
    most_ejected_share: float = 0.5
    failures_in_a_row: int = 3
    failure_share: float = 0.3
    failure_samples: int = 6
    failure_memory_s: float = 4.0
    first_ejection_s: float = 0.7
    # A backend that fails again so soon after it came back into use is shunned again at once.
    parole_s: float = 4.0
    most_ejection_s: float = 8.0
    # What a failure that another agent of the zone reports counts, and how often one backend is reported.
    reported_failure: float = 1.0
    report_again_s: float = 1.0
    # A backend is silent when an attempt waits this many times longer than expected, with a floor.
    silence_factor: float = 5.0
    least_silence_s: float = 0.4
    # An attempt without a first event after so many times what is expected, or this share of its route's
    # target, has its backend asked for a connection; with a floor.
    check_factor: float = 2.0
    check_share: float = 0.3
    least_check_s: float = 0.2
    # How long a connection may rest before a request that must not run twice is sent on it: its backend may
    # have gone, or forgotten the connection, without a word. Less where a backend of its zone did so of late;
    # failures that the backend itself told say nothing of its connections.
    calm_rest_s: float = 6.0
    troubled_rest_s: float = 0.5
    trouble_memory_s: float = 10.0
    # How much longer the queue of a backend counts to which a connection has to be opened, in requests.
    connecting_queue: float = 1.5
    # Other agents of the zone are told of a queue from this length on, and of none as longer than the other.
    crowded_queue: float = 3.0
    most_told_queue: float = 20.0
    crowded_again_s: float = 0.3
    # How long it counts for other backends of a zone that one was found replaced: then the catalogue says so.
    replaced_memory_s: float = 2.0
    # Zones in doubt are left out where the other backends are at least this share of those that may be used.
    least_sound_share: float = 0.5
    # Safety kept from the rule for cold backends.
    warmup_margin: float = 0.7
    warmup_delay_s: float = 0.3
    settle_s: float = 6.0
    members_memory_s: float = 30.0
    retry_after_s: float = 0.25


Zones = Mapping[str, str]
