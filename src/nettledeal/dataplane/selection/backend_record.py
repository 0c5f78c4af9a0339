"""What an agent knows about one backend: smoothed queue, own attempts, health and cached prefixes."""

from __future__ import annotations

from collections import OrderedDict

from nettledeal.dataplane.selection.health import Health
from nettledeal.dataplane.selection.model import Attempt, Backend, CallDescription, ReportedLoad, Tuning
from nettledeal.dataplane.selection.smoothed_queue import SmoothedQueue


class BackendRecord:
    """State of one backend, updated from its responses and from own attempts."""

    def __init__(self, backend: Backend, tuning: Tuning):
        self.backend = backend
        self.tuning = tuning
        self.health = Health(tuning)
        self.cold_until = float("-inf")
        self.last_warmup_left_ms = 0.0
        self.attempts: dict[int, Attempt] = {}
        self.queue = SmoothedQueue(tuning.queue_history_weight, tuning.queue_smoothing_window_s)
        self.full_until_sample = False
        self.last_heard_at = float("-inf")
        self.prefix_sent_at: OrderedDict[str, float] = OrderedDict()

    def is_cold(self, now: float) -> bool:
        """Whether the limit for cold backends applies."""
        return now < self.cold_until

    def update_warmup(self, left_ms: float, now: float) -> None:
        """Apply the remaining warm-up time from the catalogue; an unchanged value doesn't restart it."""
        if left_ms > 0 and left_ms != self.last_warmup_left_ms:
            self.cold_until = now + left_ms / 1000.0 + self.tuning.warmup_delivery_delay_s
        self.last_warmup_left_ms = left_ms

    @property
    def outstanding(self) -> int:
        """Number of own attempts in progress."""
        return len(self.attempts)

    @property
    def kv_cache_tokens(self) -> int:
        """Tokens that own attempts occupy in the engine's KV cache."""
        return sum(attempt.kv_cache_tokens for attempt in self.attempts.values())

    def own_queue(self, engine: bool) -> float:
        """Own attempts in progress, in requests.

        An engine generates tokens for its whole batch at once, so an attempt that has its first event counts
        little, and a waiting one counts by the tokens that have to be read.
        """
        if not engine:
            return float(len(self.attempts))
        queue = 0.0
        for attempt in self.attempts.values():
            if attempt.first_event_at is not None:
                queue += self.tuning.running_request_queue
            else:
                queue += 1.0 + attempt.uncached_tokens / self.tuning.prompt_tokens_per_queued_request
        return queue

    def other_agents_queue(self, load: ReportedLoad, engine: bool) -> float:
        """A backend's reported load without own attempts, in requests."""
        running = self.tuning.running_request_queue if engine else 1.0
        return max(0.0, load.waiting + running * load.running - self.own_queue(engine))

    def remembered_queue(self, now: float) -> float:
        """The smoothed queue, which decays while there are no samples."""
        return self.queue.last_value if self.full_until_sample else self.queue.value(now)

    def add_queue_sample(self, queue: float, now: float) -> None:
        """Add a measured queue length, in requests."""
        self.queue.add(queue, now, decay=not self.full_until_sample)
        self.full_until_sample = False

    def add_longer_queue_sample(self, queue: float, now: float) -> bool:
        """Add a sample only if it exceeds the remembered queue (NaN never does); returns whether it did."""
        longer = queue > self.remembered_queue(now)
        if longer:
            self.add_queue_sample(queue, now)
        return longer

    def mark_full(self, threshold: float, now: float) -> None:
        """After a refusal, keep the queue at least at the threshold until the next sample."""
        self.queue.set(max(self.remembered_queue(now), threshold), now)
        self.full_until_sample = True

    def is_silent(self, now: float) -> bool:
        """Whether the oldest waiting attempt is overdue and nothing has arrived since it was sent."""
        oldest = next((a for a in self.attempts.values() if a.first_event_at is None), None)
        if oldest is None or self.last_heard_at > oldest.started_at:
            return False
        return now - oldest.started_at > self.silence_timeout_s(oldest)

    def silence_timeout_s(self, attempt: Attempt) -> float:
        """How long a first event may take before the backend counts as silent."""
        return max(self.tuning.min_silence_timeout_s, self.tuning.silence_timeout_factor * attempt.expected_s)

    def is_unanswered(self, attempt: Attempt, now: float) -> bool:
        """Whether the attempt is overdue and nothing has arrived from the backend since it began."""
        quiet = attempt.first_event_at is None and self.last_heard_at <= attempt.started_at
        return quiet and now - attempt.started_at > self.silence_timeout_s(attempt)

    def uncached_tokens(self, call: CallDescription, now: float) -> int:
        """Prompt tokens that the backend has to read, judging by own attempts."""
        key = call.prefix_key
        sent_at = self.prefix_sent_at.get(key) if key else None
        if sent_at is None or now - sent_at > self.tuning.prefix_cache_ttl_s:
            return call.prompt_tokens
        return max(0, call.prompt_tokens - call.shared_tokens)

    def remember_prefix(self, call: CallDescription, now: float) -> None:
        """Note that the call's shared prefix is sent to the backend."""
        key = call.prefix_key
        if not key:
            return
        self.prefix_sent_at[key] = now
        self.prefix_sent_at.move_to_end(key)
        if len(self.prefix_sent_at) > self.tuning.max_cached_prefixes:
            self.prefix_sent_at.popitem(last=False)
