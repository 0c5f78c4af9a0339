"""How long each agent waited for a processor, as the kernel counts it, sampled during a run.

An agent that is runnable but has no processor can act as little as one that the rig has stopped.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

from nettledeal.model import Time

NANOSECONDS_PER_TICK = 100_000  # of `Time`, tenths of a millisecond
# Sampling interval: the larger of a fixed time and a time for each agent.
SAMPLED_EVERY_S = 0.02
SAMPLED_EVERY_S_EACH = 0.0005


def processor_wait_ns(process_id: int) -> int | None:
    """Total time that the main thread of a process has waited for a processor; None if it can't be read."""
    try:
        _, waited_ns, _ = Path(f"/proc/{process_id}/schedstat").read_text().split()
        return int(waited_ns)
    except (OSError, ValueError):
        return None


class ProcessorWaits:
    """Accumulated waits by agent at each sample; a restarted process continues the sum of its predecessor."""

    def __init__(self) -> None:
        self._sampled_at: dict[int, list[Time]] = defaultdict(list)
        self._waited_ns: dict[int, list[int]] = defaultdict(list)
        self._last: dict[int, tuple[int, int]] = {}  # process id and its counter

    def sample(self, agent: int, process_id: int, at: Time) -> None:
        """Samples the counter of an agent's process."""
        counter_ns = processor_wait_ns(process_id)
        if counter_ns is not None:
            self.add(agent, process_id, at, counter_ns)

    def add(self, agent: int, process_id: int, at: Time, counter_ns: int) -> None:
        """Adds a counter value that was read at time `at`; times must not decrease."""
        last_id, last_ns = self._last.get(agent, (process_id, counter_ns))
        increase_ns = counter_ns - last_ns if last_id == process_id else counter_ns
        self._last[agent] = (process_id, counter_ns)
        sums = self._waited_ns[agent]
        self._sampled_at[agent].append(at)
        sums.append((sums[-1] if sums else 0) + max(0, increase_ns))

    def between(self, agent: int, since: Time, until: Time) -> Time:
        """Wait of an agent from the last sample at or before `since` to the first at or after `until`."""
        times, sums = self._sampled_at.get(agent), self._waited_ns.get(agent)
        if not times or not sums:
            return 0
        first = max(0, bisect_right(times, since) - 1)
        last = min(len(times) - 1, bisect_left(times, until))
        return max(0, sums[last] - sums[first]) // NANOSECONDS_PER_TICK

    def longest(self, agents: Iterable[int], span: Time) -> Time:
        """The longest wait of any of the agents within a window of length `span`."""
        return max(
            (
                self.between(agent, at - span, at)
                for agent in agents
                for at in self._sampled_at.get(agent, ())
            ),
            default=0,
        )
