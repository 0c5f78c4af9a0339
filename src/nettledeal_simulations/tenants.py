"""Seeded schedules of a fleet with two tenants: traffic, moves, lost regions, rotations, drops, bad requests.

`python3 -m nettledeal_simulations.tenants --schedules 10000` plays them and prints what was found
across tenants, which must be nothing, and the own reuse beside that of the same schedules without separation;
then each planted fault, which must be counted. Exit status 0 where all of that holds, else 1.
"""

from __future__ import annotations

import argparse
import sys
from http import HTTPStatus

from nettledeal.standins.tenant_faults import Fault
from nettledeal.standins.tenant_fleet import ZONES
from nettledeal.standins.tenant_scenario import (
    ANY_PATH,
    BANK,
    MATERIALS,
    POOLED,
    TENANTS,
    material_of,
    own_service,
    proof,
    request_text,
)
from nettledeal_simulations.tenant_world import Conditions, Count, TenantWorld

STEPS = 120
STEP_S = 0.1
DEFAULT_SCHEDULES = 200
DEFAULT_COMPARED = 200
BLOCK = 500
FAULT_SCHEDULES = 40
FIRST_KEYS_EARLY = 0.9
CLIENTS_ANYWHERE = 0.05
TOLD_AT_ONCE = 0.7
# The least share of the unseparated figure that own reuse has to reach.
LEAST_REUSE = 0.95


class Schedule(TenantWorld):
    """One seeded schedule."""

    def run(self) -> Count:
        """Play it; returns what was seen."""
        self._configure()
        if self.random.random() < FIRST_KEYS_EARLY or not self.conditions.gives_up:
            self._rotate_all()
        actions = [action for action, _ in ACTIONS]
        weights = [weight for _, weight in ACTIONS]
        for _ in range(STEPS):
            self.now += STEP_S
            self._advance()
            self.random.choices(actions, weights)[0](self)
        return self._counted()

    def request(self) -> None:
        """A client asks, at an agent of any region that is there."""
        tenant = self.random.choice(TENANTS)
        path = self.random.choice((tenant, tenant, ANY_PATH))
        material = material_of(tenant, self.random.randrange(MATERIALS))
        text = request_text(tenant, path, material, self._request_id())
        self._ask(tenant, text, anywhere=self.random.random() < CLIENTS_ANYWHERE)

    def ask_badly(self) -> None:
        """A request that names two tenants, another, an unknown one, a long name, or takes another's ids."""
        tenant, other = self.random.sample(TENANTS, 2)
        material = material_of(tenant, 0)
        request_id = self._request_id()
        long_name = b"Tenant: " + b"a" * 200 + b"\r\n"
        texts = (
            request_text(tenant, ANY_PATH, material, request_id, proof(other)),
            request_text(tenant, tenant, material, request_id, b"Tenant: %b\r\n" % other.encode()),
            request_text(tenant, tenant, material, request_id, long_name),
            request_text("nobody", ANY_PATH, material, request_id),
            request_text(tenant, ANY_PATH, material, request_id).replace(b"token of", b"guess of"),
        )
        text = self.random.choice(texts)
        before = self._lookups()
        status = self._ask(tenant, text)
        if self.conditions.separated and (status is HTTPStatus.OK or self._lookups() != before):
            self.count.taken_wrongly += 1

    def ask_with_ids_of_another(self) -> None:
        """A client sends ids that collide on purpose: those under which another's parts are kept."""
        tenant, other = self.random.sample(TENANTS, 2)
        kept = [
            path
            for engine in self.engines.values()
            for path, putters in engine.cache.tenants_by_path()
            if putters == {other} and len(path) == 2
        ]
        picked = self.random.random()
        text = request_text(tenant, ANY_PATH, material_of(tenant, 0), self._request_id())
        if self.conditions.separated and kept:
            path = kept[int(picked * len(kept))]
            stolen = f"{path[0]}:900,{path[1]}:900,ff:60".encode()
            head, _, rest = text.partition(b"Prompt-Prefix: ")
            text = head + b"Prompt-Prefix: " + stolen + rest[rest.index(b"\r\n") :]
        self._ask(tenant, text)

    def move(self) -> None:
        """A tenant's route moves between its own service and the pooled one."""
        tenant = self.random.choice(TENANTS)
        own = own_service(tenant)
        self.places[tenant] = POOLED if self.places.get(tenant) == own else own
        self._configure()

    def take_over_service(self) -> None:
        """An operator gives one tenant's service to the other; it must be refused."""
        tenant, other = self.random.sample(TENANTS, 2)
        places = {**self.places, tenant: own_service(other), other: POOLED}
        if self._put(places) and self.conditions.separated:
            self.count.taken_wrongly += 1
            self.places = places

    def rotate(self) -> None:
        """The next key of a tenant."""
        tenant = self.random.choice(TENANTS)
        if self.conditions.gives_up:
            self._rotate(tenant)

    def drop(self) -> None:
        """A tenant's cached parts are dropped; it has no key until a later rotation."""
        tenant = self.random.choice(TENANTS)
        if self.conditions.gives_up and self.conditions.separated and tenant in self.control.tenants:
            self.control.drop(tenant)

    def remove_or_add(self) -> None:
        """A tenant goes, with its route and its key, or comes back."""
        if not self.conditions.gives_up:
            return
        if BANK in self.places:
            del self.places[BANK]
        else:
            self.places[BANK] = own_service(BANK)
        self._configure()
        if BANK in self.places:
            self._rotate(BANK)

    def restart_agent(self) -> None:
        """An agent is killed and comes back with nothing."""
        index = self.random.randrange(len(self.agents))
        self.agents[index] = self._agent(self.agents[index].zone)
        self._tell_catalogue()

    def restart_backend(self) -> None:
        """A backend ends; another takes its place with an empty memory."""
        engine = self.random.choice(list(self.engines.values()))
        self._end_engine(engine)
        self._start_engine(engine.catalogue_entry.service, engine.catalogue_entry.zone)
        if self.random.random() < TOLD_AT_ONCE:
            self._tell_catalogue()

    def lose_region(self) -> None:
        """A region goes with its agents and backends, and the other one takes over; or it comes back."""
        if self.lost is None:
            self.lost = self.random.choice(sorted(set(ZONES.values())))
            for engine in [
                engine for engine in self.engines.values() if self._is_lost(engine.catalogue_entry.zone)
            ]:
                self._end_engine(engine)
        else:
            lost, self.lost = self.lost, None
            for zone in (zone for zone, region in ZONES.items() if region == lost):
                self._start_zone(zone)
            self.agents = [
                self._agent(agent.zone) if ZONES[agent.zone] == lost else agent for agent in self.agents
            ]
        self._tell_catalogue()


# What may happen in a step, and how often.
ACTIONS = (
    (Schedule.request, 1000),
    (Schedule.ask_badly, 30),
    (Schedule.ask_with_ids_of_another, 20),
    (Schedule.move, 10),
    (Schedule.take_over_service, 5),
    (Schedule.rotate, 4),
    (Schedule.drop, 1),
    (Schedule.remove_or_add, 2),
    (Schedule.restart_agent, 8),
    (Schedule.restart_backend, 8),
    (Schedule.lose_region, 8),
)


def play(schedules: int, conditions: Conditions, first_seed: int = 0) -> Count:
    """Play schedules by their seeds and sum up what they saw."""
    total = Count()
    for seed in range(first_seed, first_seed + schedules):
        total.add(Schedule(seed, conditions).run())
    return total


def main() -> int:
    """Play the schedules and print what came of them; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--schedules", type=int, default=DEFAULT_SCHEDULES)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument(
        "--compared",
        type=int,
        default=DEFAULT_COMPARED,
        help="how many of them are played without separation as well (default %(default)s)",
    )
    parsed = parser.parse_args()
    apart = _play_in_blocks(parsed.schedules, parsed.first_seed)
    compared = min(parsed.compared, parsed.schedules)
    steady = play(compared, Conditions(gives_up=False), parsed.first_seed)
    together = play(compared, Conditions(separated=False, gives_up=False), parsed.first_seed)
    _show(f"{compared} separated, nothing given up", steady)
    _show(f"{compared} unseparated", together)
    share = steady.reuse / together.reuse if together.reuse else 0.0
    print(f"own reuse, nothing given up: {share:.3f} of the unseparated figure")
    print(f"found across tenants: {apart.crossings + steady.crossings}")
    missed = [fault for fault in Fault if not _counts(fault)]
    faults = sum(count.crossings + count.taken_wrongly + count.outside_homes for count in (apart, steady))
    return 0 if not faults and not missed and share >= LEAST_REUSE else 1


def _play_in_blocks(schedules: int, first_seed: int) -> Count:
    """Play them separated, telling what was seen so far after each block."""
    total = Count()
    for begun in range(0, schedules, BLOCK):
        block = min(BLOCK, schedules - begun)
        total.add(play(block, Conditions(), first_seed + begun))
        _show(f"{begun + block} separated, from seed {first_seed}", total)
    return total


def _show(name: str, count: Count) -> None:
    statuses = ", ".join(f"{status.value}: {number}" for status, number in sorted(count.statuses.items()))
    print(
        f"{name}: {count.lookups} lookups, own reuse {100 * count.reuse:.1f}% of shared tokens, "
        f"{count.crossings} lookups found another's, taken wrongly {count.taken_wrongly}, "
        f"outside homes {count.outside_homes}; answers {statuses}",
        flush=True,
    )


def _counts(fault: Fault) -> bool:
    """Whether a planted fault is seen."""
    count = play(FAULT_SCHEDULES, Conditions(fault=fault))
    print(f"planted {fault}: {count.crossings} lookups found another's in {FAULT_SCHEDULES} schedules")
    return count.crossings > 0


if __name__ == "__main__":
    sys.exit(main())
