"""Measures membership with real processes: resource use, false suspicions and failure detection times.

A run has three phases on the loopback interface of one machine. After all members have joined, resource use
is measured without faults. Then members drop some of the datagrams they send, and thirds of them are paused
in turn. Finally, some members are killed one after another.
"""

from __future__ import annotations

from collections.abc import Callable
from statistics import median
from typing import Any

import gevent

from nettledeal.fleet.child_processes import RunAborted
from nettledeal.fleet.child_runtime import now
from nettledeal.fleet.member_processes import MemberProcesses
from nettledeal.model import Time

CALM_S = 20.0
TICKS_PER_SECOND = 10_000


def all_agree(members: MemberProcesses, up: list[int]) -> bool:
    reports = [members.processes[n].ask("digest") for n in up]
    return (
        all(report["live"] == len(up) for report in reports)
        and len({report["digest"] for report in reports}) == 1
    )


def measure(
    count: int,
    *,
    loss: float,
    pause: float,
    minutes: float,
    deaths: int,
    progress: Callable[[str], None],
    timing: dict[str, int] | None = None,
) -> dict[str, Any]:
    """Raises RunAborted if members don't reach the same view. Times of the result are in seconds."""
    result: dict[str, Any] = {"members": count, "loss": loss, "pause_s": pause, "minutes": minutes}
    with MemberProcesses(count, timing or {}, seeds=3, seed=f"talks {count}", switched=False) as members:
        progress("starting")
        started_at = now()
        members.start(range(count))
        all_members = list(range(count))
        result["join_s"] = _wait_for_agreement(members, all_members, started_at, "joining")
        progress("calm")
        before, since = _resource_use(members, all_members), now()
        gevent.sleep(CALM_S)
        after, elapsed_s = _resource_use(members, all_members), (now() - since) / TICKS_PER_SECOND
        for name in ("sent", "bytes", "cpu"):
            result[f"{name}_each_s"] = (after[name] - before[name]) / count / elapsed_s
        if minutes:
            result |= _measure_under_faults(members, all_members, loss, pause, minutes, progress)
        result |= _measure_failure_detection(members, all_members, deaths, progress)
    return result


def _resource_use(members: MemberProcesses, up: list[int]) -> dict[str, float]:
    reports = [members.processes[n].ask("digest") for n in up]
    return {name: sum(report[name] for report in reports) for name in ("sent", "bytes", "cpu")}


def _wait_for_agreement(members: MemberProcesses, up: list[int], since: Time, phase: str) -> float:
    if not members.wait_until(lambda: all_agree(members, up), 120.0):
        raise RunAborted(f"members have no common view two minutes after {phase}")
    return (now() - since) / TICKS_PER_SECOND


def _measure_under_faults(
    members: MemberProcesses,
    up: list[int],
    loss: float,
    pause: float,
    minutes: float,
    progress: Callable[[str], None],
) -> dict[str, Any]:
    """Counts false suspicions of running members, and false deaths: all members are alive."""
    since = now()
    for n in up:
        members.processes[n].ask(f"lose {loss}")
    thirds, next_third = [up[n::3] for n in range(3)], 0
    pauses: list[tuple[Time, Time, set[str]]] = []
    while (now() - since) / TICKS_PER_SECOND < 60 * minutes:
        progress(f"faults {(now() - since) / TICKS_PER_SECOND:.0f} s")
        if pause:
            paused = thirds[next_third % 3]
            next_third += 1
            at = now()
            members.pause(paused)
            gevent.sleep(pause)
            members.resume(paused)
            pauses.append((at, now(), {f"m{n}" for n in paused}))
        gevent.sleep(pause or 1.0)
    until = now()
    for n in up:
        members.processes[n].ask("lose 0")
    agree = _wait_for_agreement(members, up, until, "the faults")
    suspicions = [entry for entry in members.state_changes("suspect") if since <= entry[0] < until]
    # A suspicion is false unless the member was paused at the time or until shortly before.
    false_suspicions = {
        (name, at // TICKS_PER_SECOND)
        for at, _, name in suspicions
        if not any(
            start <= at <= end + 2 * TICKS_PER_SECOND and name in names for start, end, names in pauses
        )
    }
    hours = (until - since) / TICKS_PER_SECOND / 3600
    dead = {name for at, _, name in members.state_changes("dead") if at >= since}
    return {
        "wronged_an_hour_each": len(false_suspicions) / hours / len(up),
        "false_deaths": len(dead),
        "pauses": len(pauses) * len(up) // 3,
        "agree_s": agree,
    }


def _measure_failure_detection(
    members: MemberProcesses, up: list[int], deaths: int, progress: Callable[[str], None]
) -> dict[str, Any]:
    """Times from each kill until each of the other members declared it dead."""
    all_times: list[float] = []
    times_to_99_percent: list[float] = []
    for n in up[-deaths:] if deaths else ():
        progress(f"killing m{n}")
        up = [other for other in up if other != n]
        killed_at = now()
        members.kill([n])
        _wait_for_agreement(members, up, killed_at, f"the death of m{n}")
        detection_times = sorted(
            (detected_at - killed_at) / TICKS_PER_SECOND
            for detected_at, observer, name in members.state_changes("dead")
            if name == f"m{n}" and detected_at >= killed_at
        )
        all_times += detection_times
        times_to_99_percent.append(detection_times[int(0.99 * (len(detection_times) - 1))])
    if not all_times:
        return {}
    all_times.sort()
    return {
        "death_median_s": median(all_times),
        "death_p99_s": all_times[int(0.99 * (len(all_times) - 1))],
        "death_known_to_99_s": median(times_to_99_percent),
        "death_known_to_99_worst_s": max(times_to_99_percent),
    }
