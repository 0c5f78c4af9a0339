"""Applying only the changed keys of a catalogue equals applying the whole catalogue."""

from __future__ import annotations

from random import Random

import pytest

from nettledeal.common.addresses import Address
from nettledeal.dataplane.agent import DataPlane
from nettledeal.discovery.catalogue import Backend, BackendState, encode_backend

from . import drawn_deployment
from .dataplane_rig import FakeBackend, entries, running

ZONES = ["zone-00", "zone-01", "zone-02"]
UNREADABLE = b"\xff\x00"


def make_plane() -> DataPlane:
    plane = DataPlane(
        drawn_deployment.settings("agent", Address("127.0.0.1", 7000), [], "zone-00"), Random(1)
    )
    plane.apply_control((1,), entries())
    return plane


def random_entry(random: Random, number: int) -> bytes:
    if random.random() < 0.05:
        return UNREADABLE
    return encode_backend(
        Backend(
            id=f"i-{number}",
            service=random.choice(["web", "other"]),
            address=f"10.0.0.{random.choice([number, number + 100])}:80",
            zone=random.choice(ZONES),
            state=random.choice([BackendState.READY, BackendState.READY, BackendState.DRAINING]),
            warmup_left_ms=random.choice([0.0, 0.0, 3000.0]),
        )
    )


def state_of(plane: DataPlane) -> dict[str, object]:
    selector = plane.selector
    return {
        "records": {
            key: (
                record.backend.address,
                record.backend.zone,
                record.backend.state,
                record.last_warmup_left_ms > 0,
            )
            for key, record in selector.records.items()
        },
        "services": {name: set(state.records) for name, state in selector.services.items() if state.records},
        "pools": {key: (pool.address, pool.max_open) for key, pool in plane.connections.pools.items()},
    }


@pytest.mark.parametrize("seed", range(5))
def test_applying_changes_equals_applying_the_whole_catalogue(seed):
    random = Random(seed)
    applied_whole, applied_by_changes = make_plane(), make_plane()
    catalogue: dict[str, bytes] = {}
    for step in range(120):
        before = dict(catalogue)
        for _ in range(random.randrange(4)):
            number = random.randrange(30)
            if random.random() < 0.3:
                catalogue.pop(f"i-{number}", None)
            else:
                catalogue[f"i-{number}"] = random_entry(random, number)
        different_keys = {
            key for key in before.keys() | catalogue.keys() if before.get(key) != catalogue.get(key)
        }
        # An update by ranges also names unchanged keys.
        changed_keys = different_keys | {key for key in catalogue if random.random() < 0.1}
        applied_whole.apply_catalogue((1, step), catalogue)
        applied_by_changes.apply_catalogue((1, step), catalogue, changed_keys)
        if random.random() < 0.1:
            evacuated = tuple(zone for zone in ZONES if random.random() < 0.3)
            for plane in (applied_whole, applied_by_changes):
                plane.apply_control((2 + step,), entries(evacuated=evacuated))
        if random.random() < 0.1:
            count = random.randrange(1, 20)
            for plane in (applied_whole, applied_by_changes):
                plane.set_data_plane_members(count, [f"agent-{n}" for n in range(count)])
        assert state_of(applied_by_changes) == state_of(applied_whole)


def test_unchanged_backends_keep_their_records_and_pools():
    random = Random(1)
    plane = make_plane()
    catalogue = {f"i-{n}": random_entry(random, n) for n in range(10)}
    plane.apply_catalogue((1, 1), catalogue)
    records, pools = dict(plane.selector.records), dict(plane.connections.pools)
    catalogue["i-10"] = random_entry(Random(2), 10)
    plane.apply_catalogue((1, 2), catalogue, {"i-10"})
    assert {key: plane.selector.records[key] for key in records} == records
    assert {key: plane.connections.pools[key] for key in pools} == pools


def test_after_a_failed_update_the_next_catalogue_is_applied_whole(monkeypatch):
    random = Random(1)
    plane = make_plane()
    catalogue = {f"i-{n}": random_entry(random, n) for n in range(10)}
    plane.apply_catalogue((1, 1), catalogue)
    with monkeypatch.context() as broken:
        broken.setattr(plane.selector, "change_backends", None)
        removed = dict(catalogue)
        del removed["i-1"]
        with pytest.raises(TypeError):
            plane.apply_catalogue((1, 2), removed, {"i-1"})
    removed["i-11"] = random_entry(Random(3), 11)
    plane.apply_catalogue((1, 3), removed, {"i-11"})
    expected = make_plane()
    expected.apply_catalogue((1, 3), removed)
    assert state_of(plane) == state_of(expected)


def test_an_unrelated_configuration_change_does_not_update_connections(monkeypatch):
    plane = make_plane()
    updates = []
    monkeypatch.setattr(plane.connections, "update", lambda *terms: updates.append(terms))
    plane.apply_control((2,), entries())
    assert updates == []
    plane.apply_control((3,), entries(evacuated=("zone-01",)))
    assert len(updates) == 1


EVENTS_WHILE_READY = {
    "all backends leave the catalogue": lambda plane: plane.apply_catalogue((1, 2), {}),
    "all zones are evacuated": lambda plane: plane.apply_control(
        2, entries(evacuated=("north-1", "south-1"))
    ),
    "no route is left": lambda plane: plane.apply_control(2, {"limits": b"{}", "generation": b"2"}),
    "the other members leave": lambda plane: plane.set_data_plane_members(1, []),
    "zones are suspect": lambda plane: plane.set_suspect_zones(["north-1", "south-1"]),
}


@pytest.mark.alone
@pytest.mark.parametrize("event", EVENTS_WHILE_READY.values(), ids=EVENTS_WHILE_READY)
def test_a_serving_data_plane_stays_ready(event):
    """A partitioned data plane, or one without backends, still responds to each request at once."""
    with running(FakeBackend("i-1")) as rig:
        assert rig.plane.ready
        event(rig.plane)
        assert rig.plane.ready
        rig.plane.ingress.drain()
        assert not rig.plane.ready
