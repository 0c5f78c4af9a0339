"""A catalogue taken up by its changed keys leaves a data plane as the whole catalogue does."""

from __future__ import annotations

from random import Random

import pytest

from nettledeal.common.addresses import Address
from nettledeal.dataplane.agent import DataPlane
from nettledeal.discovery.catalogue import Backend, BackendState, encode_backend

from . import drawn_deployment
from .dataplane_rig import StandIn, entries, running

ZONES = ["zone-00", "zone-01", "zone-02"]
UNREADABLE = b"\xff\x00"


def plane() -> DataPlane:
    made = DataPlane(drawn_deployment.settings("agent", Address("127.0.0.1", 7000), [], "zone-00"), Random(1))
    made.apply_control((1,), entries())
    return made


def drawn(random: Random, number: int) -> bytes:
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


def seen(made: DataPlane) -> dict[str, object]:
    selector = made.selector
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
        "pools": {key: (pool.address, pool.max_open) for key, pool in made.connections.pools.items()},
    }


@pytest.mark.parametrize("seed", range(5))
def test_changes_leave_what_the_whole_leaves(seed):
    random = Random(seed)
    whole, changes = plane(), plane()
    listed: dict[str, bytes] = {}
    for step in range(120):
        before = dict(listed)
        for _ in range(random.randrange(4)):
            number = random.randrange(30)
            if random.random() < 0.3:
                listed.pop(f"i-{number}", None)
            else:
                listed[f"i-{number}"] = drawn(random, number)
        differing = {key for key in before.keys() | listed.keys() if before.get(key) != listed.get(key)}
        # An update by ranges names keys that are as they were, too.
        named = differing | {key for key in listed if random.random() < 0.1}
        whole.apply_catalogue((1, step), listed)
        changes.apply_catalogue((1, step), listed, named)
        if random.random() < 0.1:
            evacuated = tuple(zone for zone in ZONES if random.random() < 0.3)
            for made in (whole, changes):
                made.apply_control((2 + step,), entries(evacuated=evacuated))
        if random.random() < 0.1:
            count = random.randrange(1, 20)
            for made in (whole, changes):
                made.set_data_plane_members(count, [f"agent-{n}" for n in range(count)])
        assert seen(changes) == seen(whole)


def test_what_was_learned_of_the_others_stays():
    random = Random(1)
    made = plane()
    listed = {f"i-{n}": drawn(random, n) for n in range(10)}
    made.apply_catalogue((1, 1), listed)
    records, pools = dict(made.selector.records), dict(made.connections.pools)
    listed["i-10"] = drawn(Random(2), 10)
    made.apply_catalogue((1, 2), listed, {"i-10"})
    assert {key: made.selector.records[key] for key in records} == records
    assert {key: made.connections.pools[key] for key in pools} == pools


def test_after_a_catalogue_that_failed_the_next_one_is_taken_whole(monkeypatch):
    random = Random(1)
    made = plane()
    listed = {f"i-{n}": drawn(random, n) for n in range(10)}
    made.apply_catalogue((1, 1), listed)
    with monkeypatch.context() as broken:
        broken.setattr(made.selector, "change_backends", None)
        removed = dict(listed)
        del removed["i-1"]
        with pytest.raises(TypeError):
            made.apply_catalogue((1, 2), removed, {"i-1"})
    removed["i-11"] = drawn(Random(3), 11)
    made.apply_catalogue((1, 3), removed, {"i-11"})
    fresh = plane()
    fresh.apply_catalogue((1, 3), removed)
    assert seen(made) == seen(fresh)


def test_a_configuration_that_changes_nothing_of_connections_leaves_them(monkeypatch):
    made = plane()
    updates = []
    monkeypatch.setattr(made.connections, "update", lambda *terms: updates.append(terms))
    made.apply_control((2,), entries())
    assert updates == []
    made.apply_control((3,), entries(evacuated=("zone-01",)))
    assert len(updates) == 1


READY_THROUGH = {
    "all backends leave the list": lambda plane: plane.apply_catalogue((1, 2), {}),
    "all zones are evacuated": lambda plane: plane.apply_control(
        2, entries(evacuated=("north-1", "south-1"))
    ),
    "no route is left": lambda plane: plane.apply_control(2, {"limits": b"{}", "generation": b"2"}),
    "the other members are lost": lambda plane: plane.set_data_plane_members(1, []),
    "zones are doubted": lambda plane: plane.set_suspect_zones(["north-1", "south-1"]),
}


@pytest.mark.alone
@pytest.mark.parametrize("happens", READY_THROUGH.values(), ids=READY_THROUGH)
def test_a_machine_that_serves_stays_ready(happens):
    """Out of touch, or with nothing to send to, it still answers each request at once."""
    with running(StandIn("i-1")) as rig:
        assert rig.plane.ready
        happens(rig.plane)
        assert rig.plane.ready
        rig.plane.ingress.drain()
        assert not rig.plane.ready
