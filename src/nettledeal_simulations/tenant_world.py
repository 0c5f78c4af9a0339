"""The fleet of a schedule about tenants: regions, agents, backends that come and go; what was found."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from http import HTTPStatus
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from nettledeal.discovery.catalogue import Backend
from nettledeal.standins.prefix_cache import RecordingCache
from nettledeal.standins.tenant_control import ControlHistory
from nettledeal.standins.tenant_faults import Fault
from nettledeal.standins.tenant_fleet import ZONES, Agent, Engine
from nettledeal.standins.tenant_scenario import (
    BANK,
    BANK_HOMES,
    CAPACITY,
    MEMORY_TOKENS,
    POOLED,
    TENANTS,
    Plan,
    make_configuration,
    own_service,
)
from nettledeal.tenancy.keys import Opener
from nettledeal.tenancy.sealing import make_region_key, region_opener

AGENTS_A_ZONE = 2
BACKENDS_A_ZONE = 2
OF_OLD_RELEASE = 0.1
WITHOUT_REGION_KEY = 0.03
CATCHES_UP = 0.5
FIRST_MOMENT_S = 1000.0


@dataclass(frozen=True)
class RegionKeys:
    """The key pairs of regions."""

    public: Mapping[str, str]
    openers: Mapping[str, Opener]


@lru_cache(maxsize=1)
def region_keys() -> RegionKeys:
    """Keys for all regions, made once a process."""
    with TemporaryDirectory(prefix="nettledeal-") as folder:
        paths = {region: Path(folder) / region for region in sorted(set(ZONES.values()))}
        public = {region: make_region_key(path) for region, path in paths.items()}
        return RegionKeys(public, {region: region_opener(path) for region, path in paths.items()})


@dataclass(frozen=True)
class Conditions:
    """How a schedule is played.

    `gives_up` has what ends reuse on purpose or by lack: rotations, drops, removed tenants, agents without
    their region's key and agents of an older release.
    """

    separated: bool = True
    gives_up: bool = True
    fault: Fault | None = None


@dataclass
class Count:
    """What schedules saw."""

    lookups: int = 0
    shared_tokens: int = 0
    found_own: int = 0
    found_across: int = 0
    crossings: int = 0
    outside_homes: int = 0
    statuses: Counter[HTTPStatus] = field(default_factory=Counter)
    taken_wrongly: int = 0

    def add(self, other: Count) -> None:
        """Sum up."""
        for name in ("lookups", "shared_tokens", "found_own", "found_across", "crossings"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.outside_homes += other.outside_homes
        self.taken_wrongly += other.taken_wrongly
        self.statuses += other.statuses

    @property
    def reuse(self) -> float:
        """The share of shared tokens that a tenant found of its own."""
        return self.found_own / self.shared_tokens if self.shared_tokens else 0.0


class TenantWorld:
    """Two regions and their control state; draws do not depend on conditions, so that plays compare."""

    def __init__(self, seed: int, conditions: Conditions):
        self.random = Random(seed)
        self.conditions = conditions
        self.keys = region_keys()
        # Each draws secrets of its own: the same stream of them at two agents would be a key that they share.
        self._streams = Random(f"streams {seed}")
        secrets = Random(self._streams.getrandbits(64)).randbytes
        self.control = ControlHistory(conditions.fault is not Fault.BINDING_IGNORED, secrets)
        self.now = FIRST_MOMENT_S
        self.places = {tenant: own_service(tenant) for tenant in TENANTS}
        self.lost: str | None = None
        self.count = Count()
        self.ended: list[Engine] = []
        self.engines: dict[str, Engine] = {}
        self.number = 0
        self.generation = 0
        self.hints: dict[bytes, str] = {}
        self.agents = [self._agent(zone) for zone in ZONES for _ in range(AGENTS_A_ZONE)]
        for zone in ZONES:
            self._start_zone(zone)
        self._tell_catalogue()

    def _agent(self, zone: str) -> Agent:
        draws = Random(self._streams.getrandbits(64))
        gives_up = self.conditions.gives_up and self.conditions.separated
        without_key = draws.random() < WITHOUT_REGION_KEY and gives_up
        of_old_release = draws.random() < OF_OLD_RELEASE and gives_up
        opener = None if without_key else self.keys.openers[ZONES[zone]]
        return Agent(zone, opener, draws, self.conditions.fault, self.hints, of_old_release)

    def _start_zone(self, zone: str) -> None:
        for service in (POOLED, *map(own_service, TENANTS)):
            for _ in range(BACKENDS_A_ZONE):
                self._start_engine(service, zone)

    def _start_engine(self, service: str, zone: str) -> None:
        self.number += 1
        catalogue_entry = Backend(f"i-{self.number}", service, "127.0.0.1:1", zone, CAPACITY)
        self.engines[catalogue_entry.id] = Engine(catalogue_entry, RecordingCache(MEMORY_TOKENS))

    def _end_engine(self, engine: Engine) -> None:
        self.ended.append(self.engines.pop(engine.catalogue_entry.id))

    def _tell_catalogue(self) -> None:
        catalogue_entry = [engine.catalogue_entry for engine in self.engines.values()]
        for agent in self.agents:
            agent.selector.update_backends(catalogue_entry, self.now)

    def _configure(self) -> None:
        self._put(self.places)

    def _put(self, places: Mapping[str, str]) -> bool:
        self.generation += 1
        plan = Plan(self.generation, places, self.keys.public, self.conditions.separated)
        return self.control.put_configuration(make_configuration(plan))

    def _rotate_all(self) -> None:
        for tenant in TENANTS:
            self._rotate(tenant)

    def _rotate(self, tenant: str) -> None:
        if not self.conditions.separated or tenant not in self.control.tenants:
            return
        homes = BANK_HOMES if tenant == BANK else self.keys.public
        self.control.rotate(tenant, {region: self.keys.public[region] for region in homes})

    def _advance(self) -> None:
        """Some agents take a later version, not always the newest."""
        for agent in self.agents:
            draw, version = self.random.random(), self.random.random()
            if draw < CATCHES_UP and agent.version < self.control.newest:
                later = agent.version + 1 + int(version * (self.control.newest - agent.version))
                agent.apply(later, self.control.versions[later], self.now)

    def _ask(self, tenant: str, text: bytes, anywhere: bool = True) -> HTTPStatus:
        """Send a request; clients of a tenant with homes are there, but for some that are anywhere."""
        there = [agent for agent in self.agents if not self._is_lost(agent.zone)]
        if tenant == BANK and not anywhere:
            there = [agent for agent in there if ZONES[agent.zone] in BANK_HOMES] or there
        status = self.random.choice(there).serve(text, tenant, self.engines, self.now)
        self.count.statuses[status] += 1
        return status

    def _is_lost(self, zone: str) -> bool:
        return ZONES[zone] == self.lost

    def _request_id(self) -> str:
        return f"{self.random.getrandbits(48):012x}"

    def _lookups(self) -> int:
        return sum(len(engine.cache.lookups) for engine in self.engines.values())

    def _counted(self) -> Count:
        for engine in [*self.ended, *self.engines.values()]:
            for lookup in engine.cache.lookups:
                self.count.lookups += 1
                self.count.shared_tokens += lookup.shared_tokens
                self.count.found_own += lookup.own_hit_tokens
                self.count.found_across += lookup.cross_tenant_hit_tokens
                self.count.crossings += lookup.cross_tenant_hit_tokens > 0
                self.count.outside_homes += (
                    lookup.tenant == BANK and ZONES[engine.catalogue_entry.zone] not in BANK_HOMES
                )
        return self.count
