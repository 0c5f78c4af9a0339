"""The stand-ins: the engines' prefix cache, and the answers that a client accepts as complete."""

from random import Random

import msgspec
import pytest

from nettledeal.common.addresses import Address
from nettledeal.common.settings import read_settings
from nettledeal.discovery.catalogue import Backend
from nettledeal.operator_api.configuration_checks import parse_configuration
from nettledeal.standins.backend import EngineSpeed, Run, StandInBackend
from nettledeal.standins.checks import broken_rules
from nettledeal.standins.clients import Client, Ending, Outcome
from nettledeal.standins.layout import Layout, Network, Zone, write_settings
from nettledeal.standins.prefix_cache import PrefixCache, PromptPart, parse_prompt
from nettledeal.standins.processes import SystemProcess, wait_until
from nettledeal.standins.scenario import BRIEF, CARD, make_configuration
from nettledeal.standins.traffic import Summary

LAYOUT = Layout(Network("127.9.9"))


def parts(*named: tuple[str, int]) -> list[PromptPart]:
    return [PromptPart(*part) for part in named]


def test_prompt_parts_are_parsed():
    assert parse_prompt("a:800, b:410") == parts(("a", 800), ("b", 410))
    assert parse_prompt("") == []
    with pytest.raises(ValueError, match="Prompt-Prefix"):
        parse_prompt("a")


def test_shared_parts_are_read_once():
    cache = PrefixCache(1000)
    assert cache.prefill(parts(("a", 300), ("b", 100))) == 0
    assert cache.prefill(parts(("a", 300), ("c", 100))) == 300


def test_a_part_is_a_hit_only_after_the_same_parts():
    cache = PrefixCache(1000)
    cache.prefill(parts(("a", 300), ("b", 100)))
    assert cache.prefill(parts(("x", 300), ("b", 100))) == 0


def test_the_least_recently_used_parts_are_evicted():
    cache = PrefixCache(500)
    cache.prefill(parts(("a", 300)))
    cache.prefill(parts(("b", 300)))
    assert cache.used_tokens <= 500
    assert cache.prefill(parts(("b", 300))) == 300
    assert cache.prefill(parts(("a", 300))) == 0


def test_settings_are_read_as_they_were_written(tmp_path):
    for settings in (LAYOUT.core_settings(0, tmp_path, bootstrap=True), LAYOUT.edge_settings(1)):
        path = tmp_path / "settings.toml"
        write_settings(settings, path)
        assert read_settings(path) == msgspec.convert(msgspec.to_builtins(settings), type(settings))


def test_the_configurations_are_valid():
    assert len(parse_configuration(make_configuration(1)).routes) == 3
    assert len(parse_configuration(make_configuration(2, with_extra_route=True)).routes) == 4


def test_a_condition_that_never_holds_times_out():
    with pytest.raises(Exception, match="timed_out: wait until it rains"):
        wait_until(lambda: False, 0.0, "it rains")


def test_a_process_that_ends_at_once(tmp_path):
    process = SystemProcess("edge-1", "data-plane", tmp_path / "missing.toml")
    process.start()
    assert process.wait(60.0) == 2
    with pytest.raises(Exception, match=r"wait for process:started.*edge-1"):
        process.wait_for("process:started", 60.0)


@pytest.fixture
def direct():
    """A client that sends directly to a stand-in backend, and the backend."""
    backend = StandInBackend(
        Backend("m-1", "model", "127.9.9.8:0", "z"), Address("127.9.9.8", 0), EngineSpeed(), 99
    )
    backend.start()
    client = Client(Zone.NORTH_1, [], Random(1))
    client.addresses = [Address("127.9.9.8", backend.port)]
    client.addresses_expire_at_s = float("inf")
    yield client, backend
    backend.stop()


def test_whole_answers_are_served(direct):
    client, backend = direct
    assert client.ask(BRIEF).ending is Ending.SERVED
    assert client.ask(CARD).ending is Ending.SERVED
    assert [run.prompt_tokens for run in backend.runs] == [1700, 0]
    assert broken_rules([], [client], [backend], [BRIEF, CARD]) == []


def test_another_answer_is_wrong(direct, monkeypatch):
    client, _ = direct
    monkeypatch.setattr("nettledeal.standins.backend.sign", lambda backend_id, request_id: "0")
    assert client.ask(CARD).ending is Ending.WRONG


def test_a_cut_stream_is_wrong(direct, monkeypatch):
    client, _ = direct
    monkeypatch.setattr(StandInBackend, "_events", lambda self, environ, run: iter([b"id: 1\n\n"]))
    assert client.ask(BRIEF).ending is Ending.WRONG


def test_each_broken_rule_is_found(direct):
    client, backend = direct
    client.sent.append("a")
    backend.runs += [Run("a", BRIEF.path, 0, 0), Run("a", BRIEF.path, 0, 0), Run("b", CARD.path, 0, 0)]
    summary = Summary("calm", "card", [Outcome("card", Ending.WRONG, 1, detail="x")])
    found = broken_rules([summary], [client], [backend], [BRIEF, CARD])
    assert [line.partition(":")[0] for line in found] == ["answer", "unasked", "twice"]
