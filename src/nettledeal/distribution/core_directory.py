"""The known core machines, and the order in which a subscriber tries their publishers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import msgspec
import xxhash

from nettledeal.common.addresses import Address, InternalPort
from nettledeal.common.seeds import SeedList
from nettledeal.common.settings import Settings

CORE_PREFIX = "core/"
CORES_SOURCE = "cores"


class CoreMachine(msgspec.Struct, frozen=True):
    """Location and address of a core machine's publisher."""

    host: str
    port: int
    zone: str
    region: str
    primary: bool = False

    @property
    def address(self) -> Address:
        """The publisher's address."""
        return Address(self.host, self.port)


def core_entries(machines: Mapping[str, CoreMachine]) -> dict[str, bytes]:
    """Returns the `cores` source entries for core machines, keyed by replica id."""
    return {CORE_PREFIX + replica: msgspec.json.encode(machine) for replica, machine in machines.items()}


def read_cores(entries: Mapping[str, bytes]) -> list[CoreMachine]:
    """Decodes the core machines in the entries of the `cores` source."""
    return [
        msgspec.json.decode(value, type=CoreMachine)
        for key, value in entries.items()
        if key.startswith(CORE_PREFIX)
    ]


class CoreDirectory:
    """The core machines known to this process; orders them as publishers for its subscriber."""

    def __init__(
        self,
        settings: Settings,
        member_hosts: Callable[[], Iterable[str]] = tuple,
        seeds: SeedList | None = None,
    ):
        """`member_hosts` returns the hosts where membership sees a control state replica; `seeds` are those
        in force, where they may change."""
        self._settings = settings
        self._member_hosts = member_hosts
        self._seeds = seeds or SeedList(settings)
        self._seeds.on_change.append(self._order_targets)
        self._cores: list[CoreMachine] = []
        self._targets: list[Address] = []
        self._order_targets()

    def cores(self) -> list[CoreMachine]:
        """Returns the core machines of the latest update."""
        return self._cores

    def update(self, entries: Mapping[str, bytes]) -> None:
        """Replaces the known core machines with those in the entries of the `cores` source."""
        self._cores = read_cores(entries)
        self._order_targets()

    def _order_targets(self) -> None:
        seeds = self._seeds.addresses(InternalPort.DISTRIBUTION)
        self._targets = ordered_targets(self._settings, self._cores, seeds)

    def targets(self) -> list[Address]:
        """Returns all publishers in order of preference; those known only from membership come last."""
        port = self._settings.port_range[0] + InternalPort.DISTRIBUTION
        members = [Address(host, port) for host in self._member_hosts()]
        return self._targets + [address for address in members if address not in self._targets]


def ordered_targets(
    settings: Settings, cores: Iterable[CoreMachine], seeds: Iterable[Address]
) -> list[Address]:
    """Orders cores: own zone first, then own region, then others, then seeds that aren't among them.

    Ties are broken by a hash that includes the subscriber's name, which spreads subscribers over cores.
    """
    known = sorted(cores, key=lambda core: (_distance(settings, core), _rank(settings, core.address)))
    addresses = [core.address for core in known]
    ranked = sorted(seeds, key=lambda seed: _rank(settings, seed))
    return addresses + [seed for seed in ranked if seed not in addresses]


def _distance(settings: Settings, core: CoreMachine) -> int:
    if core.zone == settings.zone:
        return 0
    return 1 if core.region == settings.region else 2


def _rank(settings: Settings, address: Address) -> int:
    return xxhash.xxh3_64_intdigest(f"{settings.node_name} {address}".encode())
