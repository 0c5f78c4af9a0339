"""Decides when a subscriber looks for another publisher and which one it tries; does no I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random

from nettledeal.common.addresses import Address
from nettledeal.distribution.subscriber_session import SubscribedSource, SubscriberSession

INITIAL_RETRY_DELAY_S = 0.05
# Short, since after a power loss all publishers may start at once while clients wait for this process.
MAX_RETRY_DELAY_S = 0.2
INITIAL_SEARCH_INTERVAL_S = 0.5
# With the jitter, half of the shortest time in which a change has to be in force.
MAX_SEARCH_INTERVAL_S = 1.0
FAILURE_COOLDOWN_S = 4.0
MIN_AGE_ADVANTAGE_S = 0.3


def is_publisher_stale(
    session: SubscriberSession, sources: Mapping[str, SubscribedSource], now_s: float, max_age_s: float
) -> bool:
    """Whether the publisher's copy of some source is too old, or older than the local copy."""
    if session.is_publisher_behind():
        return True
    ages_s = (sources[name].age_s(now_s) for name in session.statuses)
    return any(age_s is None or age_s > max_age_s for age_s in ages_s)


def is_fresher(candidate: SubscriberSession, current: SubscriberSession) -> bool:
    """Whether the candidate has a newer version of some source, or a fresher copy and no clearly older one.

    A newer version takes precedence over ages: a core machine that is partitioned from the others but still
    reads the platform's list has the freshest catalogue and an outdated configuration.
    """
    pairs = [
        (candidate.statuses[name], status)
        for name, status in current.statuses.items()
        if name in candidate.statuses
    ]
    if candidate.is_publisher_behind() and not current.is_publisher_behind():
        return False
    is_younger = [
        _age_ms(theirs.age_ms) + 1000 * MIN_AGE_ADVANTAGE_S < _age_ms(ours.age_ms) for theirs, ours in pairs
    ]
    is_newer = [theirs.version > ours.version for theirs, ours in pairs]
    is_older = [
        _age_ms(ours.age_ms) + 1000 * MIN_AGE_ADVANTAGE_S < _age_ms(theirs.age_ms) for theirs, ours in pairs
    ]
    return any(is_newer) or (any(is_younger) and not any(is_older))


def _age_ms(age_ms: int | None) -> float:
    return float("inf") if age_ms is None else age_ms


class PublisherSelector:
    """Picks publishers by preference, skips those that failed recently, and backs off exponentially."""

    def __init__(self, targets: Callable[[], list[Address]], random: Random):
        self._targets = targets
        self._random = random
        self._failed_at_s: dict[Address, float] = {}
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._search_interval_s = INITIAL_SEARCH_INTERVAL_S
        self._next_search_at_s = 0.0
        self._last_alternative: Address | None = None

    def next_target(self, now_s: float) -> Address | None:
        """Returns the publisher to try now, or None if all have failed recently or none is known."""
        return next((target for target in self._targets() if not self._failed_recently(target, now_s)), None)

    def preferred(self, now_s: float) -> Address | None:
        """Returns the most preferred publisher, or None if it failed recently."""
        targets = self._targets()
        return targets[0] if targets and not self._failed_recently(targets[0], now_s) else None

    def alternative(self, current: Address, now_s: float) -> Address | None:
        """Returns a publisher other than the current one, in round-robin order after the last alternative."""
        reachable = (target for target in self._targets() if not self._failed_recently(target, now_s))
        others = [target for target in reachable if target != current]
        if not others:
            return None
        if self._last_alternative in others:
            chosen = others[(others.index(self._last_alternative) + 1) % len(others)]
        else:
            chosen = others[0]
        self._last_alternative = chosen
        return chosen

    def record_failure(self, address: Address, now_s: float) -> None:
        """Records that the publisher could not be reached or its stream was lost."""
        self._failed_at_s[address] = now_s

    def record_success(self, address: Address) -> None:
        """Records a heartbeat from the publisher and resets the retry delay."""
        self._failed_at_s.pop(address, None)
        self._retry_delay_s = INITIAL_RETRY_DELAY_S

    def retry_delay_s(self) -> float:
        """Returns the delay to wait after all publishers have failed, and clears their failures."""
        retry_delay_s = self._retry_delay_s * self._random.uniform(0.5, 1.5)
        self._retry_delay_s = min(2 * self._retry_delay_s, MAX_RETRY_DELAY_S)
        self._failed_at_s.clear()
        return retry_delay_s

    def should_search(self, now_s: float) -> bool:
        """Whether to look for a fresher publisher now; each search doubles the interval to the next one."""
        if now_s < self._next_search_at_s:
            return False
        self._next_search_at_s = now_s + self._search_interval_s * self._random.uniform(0.75, 1.25)
        self._search_interval_s = min(2 * self._search_interval_s, MAX_SEARCH_INTERVAL_S)
        return True

    def reset_search_interval(self) -> None:
        """Resets the search interval; called while the publisher's copies are fresh."""
        self._search_interval_s = INITIAL_SEARCH_INTERVAL_S

    def _failed_recently(self, target: Address, now_s: float) -> bool:
        failed_at_s = self._failed_at_s.get(target)
        return failed_at_s is not None and now_s - failed_at_s < FAILURE_COOLDOWN_S
