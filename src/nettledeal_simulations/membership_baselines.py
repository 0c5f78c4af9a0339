"""What membership is measured against, in virtual time: SWIM without Lifeguard's extensions, and heartbeats
from all to all. Baselines only; no agent runs them.
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
from nettledeal_simulations.membership import START, Rehearsal, Weather


class Plain(Member):
    """Believes itself always: no own illness, no lateness of its own, a suspicion of one length."""

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


class Heartbeats(Plain):
    """Tells all that it lives, a period after another, and holds for dead who has been silent for as long as
    a suspicion lasts elsewhere."""

    def __init__(self, *arguments: Any, **named: Any):
        super().__init__(*arguments, **named)
        self.last: dict[str, Time] = {}

    def _probe_round(self) -> None:
        self._schedule(self.now + self.timing.period, "probe_round")
        for name in list(self.ring):
            word = self.view.records[name]
            if self.now - self.last.setdefault(name, self.now) > self.timing.suspicion:
                self._declare(word, State.DEAD)
                self.last.pop(name)
            else:
                self._send(GOSSIP, word.address)

    def _apply_packet(self, packet: Packet, source: Address) -> bool:
        sender = packet.sender
        known = self.view.records.get(sender.name)
        taken = super()._apply_packet(packet, source)
        if taken:
            self.last[sender.name] = self.now
            if known is not None and not known.live and known.started_at == sender.started_at:
                self._send(GOSSIP, source, first_record=known)  # it lives: it will say so
        return taken


BUILDS = {"lifeguard": Member, "without": Plain, "heartbeats": Heartbeats}


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
    """Figures of one build under the same weather, pauses and deaths as the others of that seed;
    simulated."""
    rehearsal = Rehearsal(count, seed, timing or Timing(), BUILDS[name], together=SECOND, weigh=True, seeds=3)
    rehearsal.run(START + 10 * SECOND)
    sent, size = rehearsal.sent, rehearsal.bytes
    rehearsal.run(START + 30 * SECOND)
    costs = {
        "sent_each_s": (rehearsal.sent - sent) / count / 20,
        "bytes_each_s": (rehearsal.bytes - size) / count / 20,
    }
    rehearsal.weather = Weather(loss=loss)
    since, away = rehearsal.now, []
    turn = 0
    while rehearsal.now - since < minutes * 60 * SECOND:
        some = range(turn % 3, count, 3) if pause else ()
        turn += 1
        at = rehearsal.now
        for n in some:
            rehearsal.pause(n)
        rehearsal.run(at + round((pause or 1.0) * SECOND))
        for n in some:
            rehearsal.go_on(n)
        away.append((at, rehearsal.now, {f"m{n}" for n in some}))
        rehearsal.run(rehearsal.now + round((pause or 1.0) * SECOND))
    until = rehearsal.now
    rehearsal.run(until + 15 * SECOND)
    told = [(at, change.record) for at, _, change in rehearsal.changes if at >= since]
    wronged = {
        (word.name, word.incarnation)
        for at, word in told
        if word.state == State.SUSPECT
        and at < until
        and not any(a <= at <= b + 2 * SECOND and word.name in who for a, b, who in away)
    }
    killed = {(word.name, word.started_at, word.incarnation) for _, word in told if word.state == State.DEAD}
    times = []
    for n in range(count - deaths, count):
        at = rehearsal.now
        rehearsal.crash(n)
        rehearsal.run(at + 25 * SECOND)
        times += [
            (when - at) / SECOND
            for when, who, change in rehearsal.changes
            if when >= at
            and change.record.name == f"m{n}"
            and change.record.state == State.DEAD
            and rehearsal.nodes[who].member is not None
        ]
    times.sort()
    hours = (until - since) / SECOND / 3600
    return costs | {
        "wronged_an_hour_each": len(wronged) / hours / count,
        "false_deaths_an_hour_each": len(killed) / hours / count,
        "death_median_s": median(times) if times else None,
        "death_p99_s": times[int(0.99 * (len(times) - 1))] if times else None,
        "knew": len(times) / max(1, deaths * count - deaths * (deaths + 1) // 2),
    }
