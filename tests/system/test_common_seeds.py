"""Seeds of a settings file that changes while the process runs."""

from __future__ import annotations

import pytest

from nettledeal.common import seeds as seeds_module
from nettledeal.common.addresses import Address, InternalPort
from nettledeal.common.seeds import SeedList
from nettledeal.distribution.core_directory import CoreDirectory
from nettledeal.standins.layout import write_settings
from tests.system.distribution_support import make_settings

SETTINGS = make_settings(port=7000, seeds=["10.0.0.1:8166"])


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "settings.toml"
    write_settings(SETTINGS, path)
    return path


@pytest.fixture
def events(monkeypatch):
    logged = []
    monkeypatch.setattr(seeds_module, "log_event", lambda event, **fields: logged.append(event))
    return logged


def exchange_seed(path):
    path.write_text(path.read_text().replace("10.0.0.1", "10.0.0.9"))


def test_changed_seeds_are_taken_and_told(path, events):
    seeds, told = SeedList(SETTINGS, path), []
    seeds.on_change.append(lambda: told.append(seeds.hosts))
    seeds.check()
    assert told == []
    exchange_seed(path)
    seeds.check()
    seeds.check()
    assert told == [{"10.0.0.9"}]
    assert seeds.addresses(InternalPort.DISTRIBUTION) == [Address("10.0.0.9", 7001)]
    assert events == ["settings:seeds_changed"]


def test_a_file_that_cannot_be_read_changes_nothing_and_is_logged_once(path, events):
    seeds = SeedList(SETTINGS, path)
    path.write_text("seeds = [")
    seeds.check()
    seeds.check()
    assert (seeds.hosts, events) == ({"10.0.0.1"}, ["settings:unreadable"])
    path.unlink()
    seeds.check()
    assert (seeds.hosts, events) == ({"10.0.0.1"}, ["settings:unreadable"])


def test_a_subscriber_tries_the_publishers_of_changed_seeds(path, events):
    # Guards against an order of publishers that is renewed only by an update from one of them.
    seeds = SeedList(SETTINGS, path)
    directory = CoreDirectory(SETTINGS, seeds=seeds)
    exchange_seed(path)
    seeds.check()
    assert directory.targets() == [Address("10.0.0.9", 7001)]
