"""Model of a backend without sockets or a clock: cores, a queue, speed, cold starts and load reports.

Requests wait in FIFO order for a core. A cold backend has a reduced capacity and crashes when it receives too
much work in a short time. A hung backend starts no requests. Running requests continue even if the client has
disconnected. The caller passes the current time, in tenths of a millisecond, to every method, and learns
which requests start and how long they take.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

from nettledeal.model import Time

FULL, HELD = "full", "held"


@dataclass(slots=True)
class ServerModel:
    """One incarnation of a backend; a restart creates another."""

    cores: int
    speed: float
    max_held: int  # queued and running requests; further ones are rejected
    report_every: Time
    report_lag: Time
    cold_from: float
    warm_within: Time
    overload_factor: float
    overload_window: Time
    rng: Random
    started: Time = 0  # 0 if it has been warm from the start
    slowdown: float = 1.0  # factor of a `slow` fault
    hung: bool = False
    error_share: float = 0.0  # share of requests that fail with an error
    lost_answer_share: float = 0.0  # share of executed requests that get no answer
    extra_lag: Time = 0
    report_factor: float = 1.0  # factor on reported load
    crashed: bool = False
    peak_overload: float = 0.0  # highest load while cold, relative to the crash threshold
    waiting: deque[tuple[object, float]] = field(default_factory=deque)
    running: set = field(default_factory=set)
    # While cold: (arrival time, work).
    cold_arrivals: deque[tuple[Time, float]] = field(default_factory=deque)
    # (time, held, waiting), for delayed reports.
    load_samples: deque[tuple[Time, int, int]] = field(default_factory=deque)

    @property
    def held(self) -> int:
        return len(self.waiting) + len(self.running)

    def capacity_share(self, now: Time) -> float:
        """Current share of its full capacity, which grows linearly during warm-up."""
        if not self.started or now - self.started >= self.warm_within:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0, now - self.started) / self.warm_within

    def arrive(self, now: Time, request_id: object, work: float) -> str:
        """Returns HELD or FULL; `work` is in tenths of a millisecond at speed 1."""
        self._sample_load(now)
        self._check_cold_overload(now, work)
        if self.crashed or self.held >= self.max_held:
            return FULL
        self.waiting.append((request_id, work))
        self._sample_load(now)
        return HELD

    def begin(self, now: Time) -> list[tuple[object, Time]]:
        """Starts waiting requests on free cores; returns each with its duration."""
        started = []
        while self.waiting and len(self.running) < self.cores and not (self.hung or self.crashed):
            request_id, work = self.waiting.popleft()
            self.running.add(request_id)
            speed = self.speed * self.capacity_share(now) / self.slowdown
            started.append((request_id, max(1, round(work / speed))))
        return started

    def finish(self, now: Time, request_id: object) -> None:
        self._sample_load(now)
        self.running.discard(request_id)
        self._sample_load(now)

    def cancel(self, now: Time, request_id: object) -> bool:
        """Removes a waiting request; returns False if it isn't waiting. Running requests continue."""
        for entry in self.waiting:
            if entry[0] == request_id:
                self._sample_load(now)
                self.waiting.remove(entry)
                self._sample_load(now)
                return True
        return False

    def _check_cold_overload(self, now: Time, work: float) -> None:
        """Crashes a cold backend if the work received within the window exceeds its capacity by too much."""
        if self.capacity_share(now) >= 1.0:
            self.cold_arrivals.clear()
            return
        self.cold_arrivals.append((now, work / (self.speed * self.cores)))
        while self.cold_arrivals[0][0] <= now - self.overload_window:
            self.cold_arrivals.popleft()
        capacity = self.capacity_share(now - self.overload_window // 2) * self.overload_window
        overload = sum(amount for _, amount in self.cold_arrivals) / (self.overload_factor * capacity)
        self.peak_overload = max(self.peak_overload, overload)
        if overload > 1.0:
            self.crashed = True
            self.waiting.clear()

    def _sample_load(self, now: Time) -> None:
        """Samples the load, at most once per report interval, for delayed reports."""
        sampled_at = now // self.report_every * self.report_every
        if self.load_samples and self.load_samples[-1][0] >= sampled_at:
            return
        self.load_samples.append((sampled_at, self.held, len(self.waiting)))
        horizon = now - self.report_lag - self.extra_lag - 20 * self.report_every
        while len(self.load_samples) > 1 and self.load_samples[1][0] <= horizon:
            self.load_samples.popleft()

    def report(self, now: Time) -> tuple[int, int]:
        """Reported held and waiting requests, with the configured delay and factor."""
        self._sample_load(now)
        reported_at = now - self.report_lag - self.extra_lag
        held, waiting = self.load_samples[0][1:]
        for at, *counts in self.load_samples:
            if at > reported_at:
                break
            held, waiting = counts
        return round(held * self.report_factor), round(waiting * self.report_factor)
