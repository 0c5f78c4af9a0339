"""Warm-up shares: summed over all agents they stay under the limit, even if agents' views differ."""

from collections import defaultdict
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from nettledeal.dataplane.selection.model import ServiceProfile, Tuning
from nettledeal.dataplane.selection.warmup import RecentMembers, WarmupShares


@dataclass
class Agent:
    name: str
    shares: WarmupShares


def make_agent(name: str, names: list[str], now: float = 0.0) -> Agent:
    tuning = Tuning()
    members = RecentMembers(tuning)
    members.update(names, name, now)
    return Agent(name, WarmupShares(tuning, members))


def request_limit(service: ServiceProfile) -> float:
    bounds = Tuning().warmup
    return service.warmup_per_s * bounds.overage + bounds.slack


@given(st.integers(1, 120), st.floats(1.0, 60.0), st.data())
@settings(max_examples=60, deadline=None)
def test_shares_stay_under_the_limit_when_views_differ(agent_count, per_s, data):
    """Each agent misses up to a fifth of the others."""
    service = ServiceProfile("model", warmup_s=3.0, warmup_per_s=per_s)
    names = [f"agent-{n}" for n in range(agent_count)]
    total = 0
    for name in names:
        missing = data.draw(st.sets(st.sampled_from(names), max_size=agent_count // 5))
        seen = [other for other in names if other not in missing]
        total += make_agent(name, seen).shares.share("backend", service, 100.0)
    assert total <= request_limit(service)


@given(st.integers(2, 40), st.lists(st.tuples(st.integers(0, 39), st.floats(0, 0.02)), max_size=600))
@settings(max_examples=60, deadline=None)
def test_no_second_exceeds_the_limit_even_with_restarts(agent_count, attempts):
    service = ServiceProfile("model", warmup_s=3.0, warmup_per_s=20.0)
    names = [f"agent-{n}" for n in range(agent_count)]
    agents = [make_agent(name, names) for name in names]
    now = 100.0
    sent = []
    for number, pause in attempts:
        now += pause
        agent = agents[number % agent_count]
        if number == 39 % agent_count and len(sent) % 7 == 0:
            agents[number % agent_count] = agent = make_agent(agent.name, [], now)
        if agent.shares.allows("backend", service, now):
            agent.shares.record_sent("backend", now)
            sent.append(now)
    counts = defaultdict(int)
    for start in sent:
        counts[start] = sum(start <= at < start + 1.0 for at in sent)
    assert max(counts.values(), default=0) <= request_limit(service)


def test_a_new_process_sends_one_request_a_second():
    service = ServiceProfile("model", warmup_s=3.0, warmup_per_s=20.0)
    new_agent = make_agent("agent-1", [], now=100.0)
    assert new_agent.shares.share("backend", service, 101.0) == 1
    assert new_agent.shares.share("backend", service, 110.0) > 1


def test_an_incomplete_view_does_not_raise_the_share():
    names = [f"agent-{n}" for n in range(8)]
    agent = make_agent("agent-1", names)
    service = ServiceProfile("model", warmup_s=3.0, warmup_per_s=20.0)
    before = agent.shares.share("backend", service, 10.0)
    agent.shares.members.update(["agent-1"], "agent-1", 10.0)
    assert agent.shares.share("backend", service, 10.0) == before
