"""Separates long and short prompts onto different backends of a region if a service has both.

An engine reads prompts one after the other, so a short prompt behind a long one waits until that is read. All
agents use the same part of a region's backends for long prompts, chosen by rendezvous hashing. Short prompts
prefer the other backends, and use the long-prompt ones only when the queues elsewhere are longer.
"""

from __future__ import annotations

from collections.abc import Iterable

from nettledeal.dataplane.selection.backend_record import BackendRecord
from nettledeal.dataplane.selection.model import CallDescription, Tuning
from nettledeal.dataplane.selection.rendezvous import rendezvous_score

NEVER = float("-inf")
# Backends of a region that are reserved for short prompts.
MIN_SHORT_PROMPT_BACKENDS = 2


class PromptMix:
    """When this agent last sent long and short prompts of one service, and to which regions."""

    def __init__(self, tuning: Tuning):
        self.tuning = tuning
        self._long_sent_at = NEVER
        self._short_sent_at: dict[str, float] = {}

    def is_long(self, call: CallDescription) -> bool:
        """Whether reading the prompt delays other requests."""
        return call.prompt_tokens >= self.tuning.long_prompt_tokens

    def record(self, call: CallDescription, region: str, now: float) -> None:
        """A request is sent to a backend of `region`."""
        if self.is_long(call):
            self._long_sent_at = now
        elif call.prompt_tokens:
            self._short_sent_at[region] = now

    def has_long(self, now: float) -> bool:
        """Whether long prompts were sent recently."""
        return now - self._long_sent_at < self.tuning.prompt_mix_window_s

    def has_short(self, region: str, now: float) -> bool:
        """Whether short prompts were recently sent to the region."""
        return now - self._short_sent_at.get(region, NEVER) < self.tuning.prompt_mix_window_s


def long_prompt_backends(service: str, records: Iterable[BackendRecord], tuning: Tuning) -> frozenset[str]:
    """Ids of the backends for long prompts, a share of the usable ones of one region.

    When one of them fails the others keep their role, and the next in rendezvous order may join. Short
    prompts keep at least two backends, in a small region half of them, so that one remains when the other
    fails.
    """
    ids = [record.backend.id for record in records]
    ids.sort(key=lambda backend_id: (rendezvous_score(service, backend_id), backend_id), reverse=True)
    reserved = min(MIN_SHORT_PROMPT_BACKENDS, len(ids) // 2)
    return frozenset(ids[: min(int(len(ids) * tuning.long_prompt_backend_share + 0.5), len(ids) - reserved)])
