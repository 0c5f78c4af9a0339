"""What an agent remembers of one backend: the design's smoothed queue, own attempts, distrust."""

from __future__ import annotations

from collections import OrderedDict

from nettledeal.dataplane.selection.health import Health
from nettledeal.dataplane.selection.model import Attempt, Backend, CallDescription, ReportedLoad, Tuning
from nettledeal.dataplane.selection.smoothed_queue import SmoothedQueue


class BackendRecord:
    """Memory of one backend, refreshed by its answers and by own attempts."""

    def __init__(self, backend: Backend, tuning: Tuning):
        self.backend = backend
        self.tuning = tuning
        self.health = Health(tuning)
        self.cold_until = float("-inf")
        self.told_warmup_ms = 0.0
        self.attempts: dict[int, Attempt] = {}
        self.queue = SmoothedQueue(tuning.history, tuning.smoothing_window_s)
        self.full_until_reading = False
        self.heard_at = float("-inf")
        self.prefixes: OrderedDict[str, float] = OrderedDict()

    def cold(self, now: float) -> bool:
        """Whether the rule for cold backends holds for it."""
        return now < self.cold_until

    def tell_warmup(self, left_ms: float, now: float) -> None:
        """The catalogue's reading of the time left; a reading that is repeated does not start anew."""
        if left_ms > 0 and left_ms != self.told_warmup_ms:
            self.cold_until = now + left_ms / 1000.0 + self.tuning.warmup_delay_s
        self.told_warmup_ms = left_ms

    @property
    def outstanding(self) -> int:
        """Own attempts under way."""
        return len(self.attempts)

    @property
    def memory_tokens(self) -> int:
        """Tokens that own attempts hold in the engine's memory."""
        return sum(attempt.memory_tokens for attempt in self.attempts.values())

    def own_queue(self, engine: bool) -> float:
        """Own attempts under way, in requests.

        An engine's later steps are shared by its whole batch, so an attempt that has its first event counts
        little, and one that waits counts by the tokens that have to be read.
        """
        if not engine:
            return float(len(self.attempts))
        queue = 0.0
        for attempt in self.attempts.values():
            if attempt.first_event_at is not None:
                queue += self.tuning.running_queue
            else:
                queue += 1.0 + attempt.uncached_tokens / self.tuning.tokens_per_queued
        return queue

    def others_queue(self, load: ReportedLoad, engine: bool) -> float:
        """What a backend tells of its load, less own attempts, in requests."""
        running = self.tuning.running_queue if engine else 1.0
        return max(0.0, load.waiting + running * load.running - self.own_queue(engine))

    def remembered_queue(self, now: float) -> float:
        """The smoothed queue, which fades while nothing is heard."""
        return self.queue.last if self.full_until_reading else self.queue.value(now)

    def reading(self, queue: float, now: float) -> None:
        """Take a new reading of the queue, in requests."""
        self.queue.add(queue, now, fades=not self.full_until_reading)
        self.full_until_reading = False

    def longer_reading(self, queue: float, now: float) -> bool:
        """Take a reading if it is longer than what is remembered, as nan never is; whether it was."""
        longer = queue > self.remembered_queue(now)
        if longer:
            self.reading(queue, now)
        return longer

    def full(self, threshold: float, now: float) -> None:
        """A declined attempt sets the queue at the threshold until the next reading."""
        self.queue.set(max(self.remembered_queue(now), threshold), now)
        self.full_until_reading = True

    def silent(self, now: float) -> bool:
        """Whether an attempt is long overdue and nothing has come back since it was sent."""
        oldest = next((a for a in self.attempts.values() if a.first_event_at is None), None)
        if oldest is None or self.heard_at > oldest.started_at:
            return False
        return now - oldest.started_at > self.patience_s(oldest)

    def patience_s(self, attempt: Attempt) -> float:
        """How long a first event may take before the backend counts as silent."""
        return max(self.tuning.least_silence_s, self.tuning.silence_factor * attempt.expected_s)

    def unanswered(self, attempt: Attempt, now: float) -> bool:
        """Whether nothing at all has come from the backend since the attempt began, for too long."""
        quiet = attempt.first_event_at is None and self.heard_at <= attempt.started_at
        return quiet and now - attempt.started_at > self.patience_s(attempt)

    def uncached_tokens(self, call: CallDescription, now: float) -> int:
        """Prompt tokens that the backend has to read, as far as own attempts tell."""
        key = call.prefix_key
        read_at = self.prefixes.get(key) if key else None
        if read_at is None or now - read_at > self.tuning.prefix_memory_s:
            return call.prompt_tokens
        return max(0, call.prompt_tokens - call.shared_tokens)

    def remember_prefix(self, call: CallDescription, now: float) -> None:
        """The backend reads the call's shared prefix."""
        key = call.prefix_key
        if not key:
            return
        self.prefixes[key] = now
        self.prefixes.move_to_end(key)
        if len(self.prefixes) > self.tuning.prefixes_remembered:
            self.prefixes.popitem(last=False)
