"""Learns a service's time to first event without queueing, from all its backends."""

from __future__ import annotations

from nettledeal.dataplane.selection.model import Tuning

# The base latency falls fast and rises slowly, so that queueing time isn't learned as base latency.
BASE_FALL_GAIN = 0.2
BASE_RISE_GAIN = 0.003
# Attempts with at least this many uncached tokens update the prefill speed.
LONG_PROMPT_TOKENS = 4000
SPEED_GAIN = 0.1


class LatencyModel:
    """Expected time to first event: a base latency plus a time per prompt token to be read."""

    def __init__(self, tuning: Tuning):
        self.base_s = tuning.initial_latency_s
        self.seconds_per_token = 1.0 / tuning.initial_prefill_tokens_per_s

    def expected_s(self, uncached_tokens: int) -> float:
        """Expected time to first event of a request with this many uncached tokens."""
        return self.base_s + uncached_tokens * self.seconds_per_token

    def add_sample(self, uncached_tokens: int, latency_s: float) -> None:
        """Learn from one attempt's time to first event."""
        if uncached_tokens >= LONG_PROMPT_TOKENS:
            sample = max(0.0, latency_s - self.base_s) / uncached_tokens
            sample = min(sample, 4 * self.seconds_per_token)
            self.seconds_per_token += SPEED_GAIN * (sample - self.seconds_per_token)
            return
        rest = max(0.001, latency_s - uncached_tokens * self.seconds_per_token)
        gain = BASE_FALL_GAIN if rest < self.base_s else BASE_RISE_GAIN
        self.base_s += gain * (min(rest, 5 * self.base_s) - self.base_s)
