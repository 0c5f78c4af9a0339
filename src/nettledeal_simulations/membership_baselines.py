"""Baselines that membership is compared with in virtual time: SWIM without Lifeguard's extensions, and
all-to-all heartbeats. No agent runs them.
"""

from __future__ import annotations

from statistics import median
from typing import Any

from nettledeal.membership.actions import SECOND, Timing
from nettledeal.membership.member import Member
from nettledeal.membership.packets import GOSSIP, Packet
from nettledeal.membership.pending import Suspicion
from nettledeal.membership.view import MemberRecord, State
from nettledeal.net.address import Address
from nettledeal.units import Time
from nettledeal_simulations.membership import START, LinkConditions, Simulation


class SwimMember(Member):
    """SWIM without Lifeguard: ignores its local health and its own lateness; suspicion time is fixed."""

    @property
    def last_heard_at(self) -> Time:
        return self.now + 1

    @last_heard_at.setter
    def last_heard_at(self, when: Time) -> None:
        pass

    def _advance_clock(self, now: Time) -> None:
        self.now = max(self.now, now)
        self.health.score = 0

    def _record_unless_alive(self, name: str) -> MemberRecord | None:
        return None

    def _start_suspicion(self, record: MemberRecord) -> None:
        self.suspicions[record.name] = Suspicion(self.now, self.timing.suspicion, {record.accuser}, 0)
        self._schedule(self.suspicions[record.name].ends_at, "suspicion_timeout", record.name)


class HeartbeatMember(SwimMember):
    """Sends a heartbeat to every member once a period; declares a member dead that has been silent for the
    suspicion timeout."""

    def __init__(self, *arguments: Any, **options: Any):
        super().__init__(*arguments, **options)
        self.last_heartbeats: dict[str, Time] = {}

    def _probe_round(self) -> None:
        self._schedule(self.now + self.timing.period, "probe_round")
        for name in list(self.ring):
            record = self.view.records[name]
            if self.now - self.last_heartbeats.setdefault(name, self.now) > self.timing.suspicion:
                self._declare(record, State.DEAD)
                self.last_heartbeats.pop(name)
            else:
                self._send(GOSSIP, record.address)

    def _apply_packet(self, packet: Packet, source: Address) -> bool:
        sender = packet.sender
        known = self.view.records.get(sender.name)
        accepted = super()._apply_packet(packet, source)
        if accepted:
            self.last_heartbeats[sender.name] = self.now
            if known is not None and not known.live and known.started_at == sender.started_at:
                self._send(GOSSIP, source, first_record=known)  # it is alive and will refute this record
        return accepted


MEMBER_CLASSES = {"lifeguard": Member, "without": SwimMember, "heartbeats": HeartbeatMember}


def compare(
    name: str,
    *,
    count: int,
    loss: float,
    pause: float,
    minutes: float,
    deaths: int,
    seed: int = 1,
    timing: Timing | None = None,
) -> dict[str, Any]:
    """Simulate one of `MEMBER_CLASSES`; equal arguments mean equal packet loss, pauses (in s) and crashes.

    Returns message costs, false suspicions and deaths per hour and member, and detection times.
    """
    simulation = Simulation(
        count,
        seed,
        timing or Timing(),
        MEMBER_CLASSES[name],
        start_spread=SECOND,
        measure_bytes=True,
        seed_count=3,
    )
    simulation.run(START + 10 * SECOND)
    sent_before, bytes_before = simulation.datagrams_sent, simulation.bytes_sent
    simulation.run(START + 30 * SECOND)
    costs = {
        "sent_each_s": (simulation.datagrams_sent - sent_before) / count / 20,
        "bytes_each_s": (simulation.bytes_sent - bytes_before) / count / 20,
    }
    simulation.link_conditions = LinkConditions(loss=loss)
    since, pauses = simulation.now, []
    round_number = 0
    while simulation.now - since < minutes * 60 * SECOND:
        paused = range(round_number % 3, count, 3) if pause else ()
        round_number += 1
        at = simulation.now
        for n in paused:
            simulation.pause(n)
        simulation.run(at + round((pause or 1.0) * SECOND))
        for n in paused:
            simulation.resume(n)
        pauses.append((at, simulation.now, {f"m{n}" for n in paused}))
        simulation.run(simulation.now + round((pause or 1.0) * SECOND))
    until = simulation.now
    simulation.run(until + 15 * SECOND)
    reports = [(at, change.record) for at, _, change in simulation.changes if at >= since]
    false_suspicions = {
        (record.name, record.incarnation)
        for at, record in reports
        if record.state == State.SUSPECT
        and at < until
        and not any(begin <= at <= end + 2 * SECOND and record.name in names for begin, end, names in pauses)
    }
    false_deaths = {
        (record.name, record.started_at, record.incarnation)
        for _, record in reports
        if record.state == State.DEAD
    }
    detection_times = []
    for n in range(count - deaths, count):
        at = simulation.now
        simulation.crash(n)
        simulation.run(at + 25 * SECOND)
        detection_times += [
            (when - at) / SECOND
            for when, observer, change in simulation.changes
            if when >= at
            and change.record.name == f"m{n}"
            and change.record.state == State.DEAD
            and simulation.nodes[observer].member is not None
        ]
    detection_times.sort()
    hours = (until - since) / SECOND / 3600
    return costs | {
        "wronged_an_hour_each": len(false_suspicions) / hours / count,
        "false_deaths_an_hour_each": len(false_deaths) / hours / count,
        "death_median_s": median(detection_times) if detection_times else None,
        "death_p99_s": detection_times[int(0.99 * (len(detection_times) - 1))] if detection_times else None,
        "knew": len(detection_times) / max(1, deaths * count - deaths * (deaths + 1) // 2),
    }
