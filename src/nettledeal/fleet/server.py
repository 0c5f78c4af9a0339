"""A stand-in backend as a machine without sockets or a clock: cores, a queue, speed, cold starts, reports.

Work items wait in order for a core. A cold one does only part of its work and falls over where it is sent
too much in too short a time; a hung one begins nothing; what has begun goes on, whoever left. The caller
hands in every time, in tenths of a millisecond, and is told what began and when it will be done.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random

from nettledeal.model import Time

FULL, HELD = "full", "held"


@dataclass(slots=True)
class Server:
    """One life of a backend; a restart makes another."""

    cores: int
    speed: float
    room: int  # work items held; beyond that it answers full
    report_every: Time
    report_lag: Time
    cold_from: float
    warm_within: Time
    push: float
    push_for: Time
    chance: Random
    started: Time = 0  # 0 where it has run for long
    slower: float = 1.0  # by how many times, for the time being
    hung: bool = False
    erring: float = 0.0  # share of work items that are answered as errors
    losing: float = 0.0  # share of answers that are never given
    extra_lag: Time = 0
    false: float = 1.0  # what its reports are multiplied by
    fallen: bool = False
    peak: float = 0.0  # most of the push that topples it, as a part
    waiting: deque[tuple[object, float]] = field(default_factory=deque)
    running: set = field(default_factory=set)
    pushed: deque[tuple[Time, float]] = field(default_factory=deque)  # while cold: when, and how much
    shown: deque[tuple[Time, int, int]] = field(default_factory=deque)  # what reports may still show

    @property
    def held(self) -> int:
        return len(self.waiting) + len(self.running)

    def able(self, now: Time) -> float:
        """What part of its work it can do by now; it warms up evenly."""
        if not self.started or now - self.started >= self.warm_within:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0, now - self.started) / self.warm_within

    def arrive(self, now: Time, id: object, work: float) -> str:
        """Whether it holds the work item from now on; `work` in tenths of a millisecond at speed 1."""
        self._look(now)
        self._count(now, work)
        if self.fallen or self.held >= self.room:
            return FULL
        self.waiting.append((id, work))
        self._look(now)
        return HELD

    def begin(self, now: Time) -> list[tuple[object, Time]]:
        """What begins now, each with the time it will take."""
        begun = []
        while self.waiting and len(self.running) < self.cores and not (self.hung or self.fallen):
            id, work = self.waiting.popleft()
            self.running.add(id)
            pace = self.speed * self.able(now) / self.slower
            begun.append((id, max(1, round(work / pace))))
        return begun

    def done(self, now: Time, id: object) -> None:
        self._look(now)
        self.running.discard(id)
        self._look(now)

    def leave(self, now: Time, id: object) -> bool:
        """Whether one that still waited is gone now; what runs goes on."""
        for entry in self.waiting:
            if entry[0] == id:
                self._look(now)
                self.waiting.remove(entry)
                self._look(now)
                return True
        return False

    def _count(self, now: Time, work: float) -> None:
        """The push on a cold one: what was sent within the span, against what it can do in it."""
        if self.able(now) >= 1.0:
            self.pushed.clear()
            return
        self.pushed.append((now, work / (self.speed * self.cores)))
        while self.pushed[0][0] <= now - self.push_for:
            self.pushed.popleft()
        able = self.able(now - self.push_for // 2) * self.push_for
        part = sum(sent for _, sent in self.pushed) / (self.push * able)
        self.peak = max(self.peak, part)
        if part > 1.0:
            self.fallen = True
            self.waiting.clear()

    def _look(self, now: Time) -> None:
        """Keeps what a report of later may show: it looks at its backend only every so often."""
        at = now // self.report_every * self.report_every
        if self.shown and self.shown[-1][0] >= at:
            return
        self.shown.append((at, self.held, len(self.waiting)))
        horizon = now - self.report_lag - self.extra_lag - 20 * self.report_every
        while len(self.shown) > 1 and self.shown[1][0] <= horizon:
            self.shown.popleft()

    def report(self, now: Time) -> tuple[int, int]:
        """Work items held and waiting, as of a while ago, or falsely."""
        self._look(now)
        then = now - self.report_lag - self.extra_lag
        held, waiting = self.shown[0][1:]
        for at, *figures in self.shown:
            if at > then:
                break
            held, waiting = figures
        return round(held * self.false), round(waiting * self.false)
