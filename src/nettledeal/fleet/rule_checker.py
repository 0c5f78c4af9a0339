"""Finds violations of the platform's rules in the records of clients, backends and the list service.

It is independent of the load balancer. Each violation is one line that names the request or backend. Records
may be written a moment late, so every time limit is extended by `SLACK`, and so is each span in which the rig
had stopped an agent. The time that an agent waited for a processor doesn't count towards a late answer.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import chain

from nettledeal.fleet.experiment import Experiment
from nettledeal.fleet.processor_waits import ProcessorWaits
from nettledeal.model import Time

SLACK = 500  # tenths of a millisecond; the tolerance of the platform's rules
RULES = ("one answer", "no effect twice", "drains kept", "no cold backend pushed over")
# Backend events: a request has been received completely, and its processing or waiting has ended.
ARRIVED, END_EVENTS = "came", ("done", "left", "gone")


@dataclass(slots=True)
class BackendVisit:
    """One attempt at a backend, from the last byte of the request to the answer or a closed connection."""

    backend: int
    name: str
    arrived_at: Time
    ended_at: Time | None = None
    processing_started: bool = False


@dataclass(slots=True)
class RequestTrail:
    """All attempts of one request, as recorded by the backends."""

    visits: list[BackendVisit] = field(default_factory=list)
    rejected: list[tuple[Time, str]] = field(default_factory=list)

    def arrivals(self) -> list[tuple[Time, str]]:
        return [(visit.arrived_at, visit.name) for visit in self.visits] + self.rejected


def request_trails(records: Sequence[Sequence]) -> dict[str, RequestTrail]:
    trails: dict[str, RequestTrail] = defaultdict(RequestTrail)
    unmatched_visit = BackendVisit(-1, "", 0)  # takes events of a visit that has already ended
    # By backend name and request. There may be several where a repeat arrived before the end of the first
    # visit was seen.
    open_visits: dict[str, dict[str, list[BackendVisit]]] = defaultdict(lambda: defaultdict(list))
    for at, backend, name, event, request_id in records:
        if event == ARRIVED:
            visit = BackendVisit(backend, name, at)
            trails[request_id].visits.append(visit)
            open_visits[name][request_id].append(visit)
        elif event == "full":
            trails[request_id].rejected.append((at, name))
        elif event == "began" and request_id in open_visits[name]:
            next(
                (visit for visit in open_visits[name][request_id] if not visit.processing_started),
                unmatched_visit,
            ).processing_started = True
        elif event in END_EVENTS and request_id in open_visits[name]:
            visit = next(
                (visit for visit in open_visits[name][request_id] if visit.ended_at is None), unmatched_visit
            )
            visit.ended_at = at
        elif event == "died":
            for visit in chain.from_iterable(open_visits.pop(name, {}).values()):
                visit.ended_at = visit.ended_at or at
    return trails


def check_rules(
    experiment: Experiment,
    records: dict[str, list],
    disruptions: Sequence[Sequence],
    drain_grace: Time,
    slack: Time = SLACK,
    processor_waits: ProcessorWaits | None = None,
) -> dict[str, list[str]]:
    """By rule. `drain_grace` is in tenths of a millisecond; `disruptions`: (agent, since, until)."""
    processor_waits = processor_waits or ProcessorWaits()
    violations: dict[str, list[str]] = {rule: [] for rule in RULES}
    trails = request_trails(records["backends"])
    notified = _notifications(records["roster"])
    disrupted_spans = defaultdict(list)
    for agent, since, until in disruptions:
        disrupted_spans[agent].append((since, until))
    for request_id, agent, category_index, _, sent_at, answered_at, status, _ in records["clients"]:
        category, trail = experiment.category[category_index], trails.get(request_id, RequestTrail())
        expiry = sent_at + round(category.expiry_ms * 10)
        disrupted = any(
            since <= expiry + slack and (until is None or until >= sent_at)
            for since, until in disrupted_spans[agent]
        )
        if not disrupted:
            processor_wait = (
                processor_waits.between(agent, expiry - slack, answered_at)
                if answered_at > expiry + slack
                else 0
            )
            violations[RULES[0]] += _check_answer(
                request_id, status, answered_at, expiry, trail, slack, processor_wait
            )
        # The client of a killed agent can't know what the agent did: then only actual executions count.
        violations[RULES[1]] += _check_effect(request_id, category.effect, status, trail, slack, disrupted)
        for at, name in trail.arrivals():
            since = _draining_since(notified.get((agent, name), ()), at)
            if since is not None and at > since + drain_grace + slack and not disrupted:
                delay = f"{(at - since) / 10:.0f} ms after agent {agent} was notified"
                violations[RULES[2]].append(f"{request_id} arrived at {name} {delay}")
    violations[RULES[3]] = [
        f"{name} crashed from overload while cold"
        for _, _, name, event, _ in records["backends"]
        if event == "fell"
    ]
    return violations


def _check_answer(
    request_id: str,
    status: int,
    answered_at: Time,
    expiry: Time,
    trail: RequestTrail,
    slack: Time,
    processor_wait: Time,
) -> list[str]:
    if status < 0:
        return []  # the agent never accepted it
    if status == 0:
        return [f"{request_id} got no answer"]
    if answered_at > expiry + slack + processor_wait:
        late = f"{(answered_at - expiry) / 10:.0f} ms after its deadline"
        return [
            f"{request_id} was answered {late}; its agent waited {processor_wait / 10:.0f} ms for a processor"
        ]
    late = [name for at, name in trail.arrivals() if at > answered_at + slack]
    return [f"{request_id} was sent to {late[0]} after its answer"] if late else []


def _check_effect(
    request_id: str, effect: str, status: int, trail: RequestTrail, slack: Time, disrupted: bool
) -> list[str]:
    visits = trail.visits
    if effect == "unsafe":
        if sum(visit.processing_started for visit in visits) > 1:
            return [f"{request_id} was executed twice, at {visits[0].name} and {visits[1].name}"]
        if len(visits) > 1 and not disrupted:
            return [
                f"{request_id} was sent to {visits[1].name} although {visits[0].name} may have executed it"
            ]
        if visits and status in (429, 503):
            return [f"{request_id} was deferred although {visits[0].name} may have executed it"]
        return []
    for index, visit in enumerate(visits):
        for later in visits[index + 1 :]:
            if visit.ended_at is None or visit.ended_at > later.arrived_at + slack:
                return [f"{request_id} arrived at {later.name} while {visit.name} still held it"]
    return []


def _notifications(records: Sequence[Sequence]) -> dict[tuple[int, str], list[tuple[Time, bool]]]:
    """By agent and backend: when the agent was notified that the backend is in use or no longer in use."""
    notifications: dict[tuple[int, str], list[tuple[Time, bool]]] = defaultdict(list)
    for at, agent, _, entries in records:
        for name, lifecycle in entries:
            notifications[agent, name].append((at, lifecycle == "ready"))
    return notifications


def _draining_since(states: Sequence[tuple[Time, bool]], at: Time) -> Time | None:
    """Since when, as of `at`, the agent has known that the backend takes no new requests; None if it does."""
    since = None
    for notified_at, in_use in states:
        if notified_at > at:
            break
        since = None if in_use else (notified_at if since is None else since)
    return since
