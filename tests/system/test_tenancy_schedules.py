"""Schedules in a short form: nothing is found across tenants, own reuse stays, planted faults are counted."""

import pytest

from nettledeal.standins.prefix_cache import PromptPart, RecordingCache
from nettledeal.standins.tenant_faults import Fault
from nettledeal_simulations.tenant_world import Conditions
from nettledeal_simulations.tenants import FAULT_SCHEDULES, LEAST_REUSE, Schedule, play

SCHEDULES = 15


def test_nothing_is_found_across_tenants():
    count = play(SCHEDULES, Conditions())
    assert count.lookups > SCHEDULES * 50
    assert (count.crossings, count.taken_wrongly, count.outside_homes) == (0, 0, 0)


def test_own_material_is_reused():
    apart = play(SCHEDULES, Conditions(gives_up=False))
    together = play(SCHEDULES, Conditions(separated=False, gives_up=False))
    assert together.crossings > 0
    assert apart.crossings == 0
    assert apart.reuse >= LEAST_REUSE * together.reuse


@pytest.mark.parametrize("fault", Fault)
def test_each_planted_fault_is_counted(fault):
    assert play(FAULT_SCHEDULES, Conditions(fault=fault)).crossings > 0


def test_a_schedule_is_the_same_each_time():
    assert play(2, Conditions(), 40) == play(2, Conditions(), 40)


def test_agents_of_a_schedule_have_secrets_of_their_own():
    agents = Schedule(31, Conditions()).agents
    ids = {agent.gate.keys.one_use().lookup_id("01") for agent in agents}
    assert len(ids) == len(agents)


@pytest.mark.parametrize("seed", [31, 54, 110, 124, 125])
def test_schedules_that_once_found_another_s_parts(seed):
    """Agents of these drew one-use keys from equal streams of random numbers."""
    assert Schedule(seed, Conditions()).run().crossings == 0


def test_the_recording_cache_tells_whose_parts_were_found():
    cache = RecordingCache(1000)
    parts = [PromptPart("a", 100), PromptPart("b", 50), PromptPart("own", 10)]
    for tenant in ("one", "one", "two", "two"):
        cache.prefill_for(tenant, parts)
    assert [(seen.own_hit_tokens, seen.cross_tenant_hit_tokens) for seen in cache.lookups] == [
        (0, 0),
        (150, 0),
        (0, 150),
        (150, 0),
    ]


def test_the_recording_cache_forgets_what_gives_way():
    cache = RecordingCache(100)
    cache.prefill_for("one", [PromptPart("a", 90), PromptPart("own", 10)])
    cache.prefill_for("two", [PromptPart("b", 90), PromptPart("own2", 10)])
    cache.prefill_for("one", [PromptPart("a", 90), PromptPart("own3", 10)])
    assert [(seen.own_hit_tokens, seen.cross_tenant_hit_tokens) for seen in cache.lookups] == [(0, 0)] * 3
