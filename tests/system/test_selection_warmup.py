"""The shares of cold backends: summed over agents they stay under the rule, whatever the agents know."""

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


def agent(name: str, names: list[str], now: float = 0.0) -> Agent:
    tuning = Tuning()
    members = RecentMembers(tuning)
    members.update(names, name, now)
    return Agent(name, WarmupShares(tuning, members))


def bound(service: ServiceProfile) -> float:
    bounds = Tuning().warmup
    return service.warmup_per_s * bounds.overage + bounds.slack


@given(st.integers(1, 120), st.floats(1.0, 60.0), st.data())
@settings(max_examples=60, deadline=None)
def test_shares_stay_under_the_rule_when_views_differ(agents, per_s, data):
    """Each agent misses up to a fifth of the others."""
    service = ServiceProfile("model", warmup_s=3.0, warmup_per_s=per_s)
    names = [f"agent-{n}" for n in range(agents)]
    total = 0
    for name in names:
        missing = data.draw(st.sets(st.sampled_from(names), max_size=agents // 5))
        seen = [other for other in names if other not in missing]
        total += agent(name, seen).shares.share("backend", service, 100.0)
    assert total <= bound(service)


@given(st.integers(2, 40), st.lists(st.tuples(st.integers(0, 39), st.floats(0, 0.02)), max_size=600))
@settings(max_examples=60, deadline=None)
def test_no_second_has_more_than_the_rule_even_with_restarts(agents, attempts):
    service = ServiceProfile("model", warmup_s=3.0, warmup_per_s=20.0)
    names = [f"agent-{n}" for n in range(agents)]
    fleet = [agent(name, names) for name in names]
    now = 100.0
    sent = []
    for number, pause in attempts:
        now += pause
        chosen = fleet[number % agents]
        if number == 39 % agents and len(sent) % 7 == 0:
            fleet[number % agents] = chosen = agent(chosen.name, [], now)
        if chosen.shares.allows("backend", service, now):
            chosen.shares.record_sent("backend", now)
            sent.append(now)
    counts = defaultdict(int)
    for start in sent:
        counts[start] = sum(start <= at < start + 1.0 for at in sent)
    assert max(counts.values(), default=0) <= bound(service)


def test_a_process_that_just_started_takes_one_request_a_second():
    service = ServiceProfile("model", warmup_s=3.0, warmup_per_s=20.0)
    young = agent("agent-1", [], now=100.0)
    assert young.shares.share("backend", service, 101.0) == 1
    assert young.shares.share("backend", service, 110.0) > 1


def test_a_view_cut_short_does_not_raise_the_share():
    names = [f"agent-{n}" for n in range(8)]
    one = agent("agent-1", names)
    service = ServiceProfile("model", warmup_s=3.0, warmup_per_s=20.0)
    before = one.shares.share("backend", service, 10.0)
    one.shares.members.update(["agent-1"], "agent-1", 10.0)
    assert one.shares.share("backend", service, 10.0) == before
