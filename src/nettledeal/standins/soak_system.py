"""A system for soaks: machines that are replaced, relays beside edges, and settings whose seeds change."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from nettledeal.common.addresses import Address, parse_address
from nettledeal.common.settings import Bounds, Listen, Settings
from nettledeal.standins import cut_program
from nettledeal.standins.backend import EngineSpeed, StandInBackend
from nettledeal.standins.configuration_changes import OTHER_WEB_SERVICE, SLOW_SERVICE
from nettledeal.standins.layout import Layout, MachineClass, Network, Port, Zone, write_settings
from nettledeal.standins.platform_list import PlatformList
from nettledeal.standins.processes import SystemProcess
from nettledeal.standins.scenario import make_backends, make_web_backends
from nettledeal.standins.trouble import ContactJudge, TroubleLog

STOP_TIMEOUT_S = 15.0
CUT_PROGRAM = Path(cut_program.__file__)
UNREACHABLE_HOST = 250
BACKEND_SPEED = EngineSpeed(plain_answer_s=0.02, event_interval_s=0.01)
SLOW_BACKEND_SPEED = EngineSpeed(plain_answer_s=1.5)


@dataclass(frozen=True, slots=True)
class SoakLayout(Layout):
    """A layout whose settings name the seeds of the moment; relays run on the first edge machines."""

    seeds: list[str] = field(default_factory=list)

    def relay_settings(self, number: int) -> Settings:
        """The settings of the control process of an edge machine."""
        edge = self.edge_settings(number)
        listen = Listen(
            control_plane=f"{edge.ip}:{int(Port.CONTROL_PLANE)}", directory=f"{edge.ip}:{int(Port.DIRECTORY)}"
        )
        return msgspec.structs.replace(
            edge, role=str(MachineClass.CORE), serves=["control_plane", "registry"], listen=listen
        )

    def _settings(self, name: str, role: MachineClass, host: str, zone: Zone, listen: Listen) -> Settings:
        settings = super(SoakLayout, self)._settings(name, role, host, zone, listen)
        seeds = list(self.seeds) or settings.seeds
        return msgspec.structs.replace(settings, seeds=seeds, log_requests=True)


@dataclass(eq=False)
class Machine:
    """One process and how its settings are made.

    `bootstrap` holds until the first start. `own_seeds`, if any, stand in its settings file in place of the
    system's. `disruptions` counts kills, freezes and thaws: a request during which it changes may be lost.
    `life` counts its starts. `trouble` has what is done to it, `shared_trouble` also what is done to others.
    """

    process: SystemProcess
    make_settings: Callable[[], Settings]
    bootstrap: bool = False
    own_seeds: list[str] = field(default_factory=list)
    disruptions: int = 0
    life: int = 0
    trouble: TroubleLog = field(default_factory=TroubleLog)
    shared_trouble: TroubleLog | None = None

    def begin_trouble(self) -> None:
        """Something is being done to it from now on."""
        for log in self._trouble_logs():
            log.begin()

    def end_trouble(self) -> None:
        """It runs undisturbed again, or is gone for good."""
        for log in self._trouble_logs():
            log.end()

    def _trouble_logs(self) -> list[TroubleLog]:
        return [self.trouble] if self.shared_trouble is None else [self.trouble, self.shared_trouble]

    @property
    def settings(self) -> Settings:
        """Its settings, with the seeds of this moment."""
        settings = self.make_settings()
        seeds = self.own_seeds or settings.seeds
        return msgspec.structs.replace(settings, bootstrap=self.bootstrap, seeds=seeds)

    @property
    def member_name(self) -> str:
        """Its name among the members."""
        settings = self.settings
        return settings.node_name if settings.listen.frontend else settings.control_member_name

    @property
    def control_address(self) -> Address:
        """Where it serves operators."""
        return Address(self.settings.ip, Port.CONTROL_PLANE)

    def write_settings(self) -> None:
        """Write its settings file, in one step for a process that reads it meanwhile."""
        path = self.process.settings_path
        written = path.with_suffix(".written")
        write_settings(self.settings, written)
        written.replace(path)

    def start(self) -> None:
        """Start it with the settings of this moment."""
        if self.settings.data_dir is not None:
            Path(self.settings.data_dir).mkdir(parents=True, exist_ok=True)
        self.write_settings()
        self.life += 1
        self.process.start()
        self.bootstrap = False


def seed_addresses(hosts: Sequence[str]) -> list[str]:
    """The seeds of a settings file, for machines at these hosts."""
    return [f"{host}:{int(Port.CONTROL_PLANE)}" for host in hosts]


class SoakSystem:
    """All processes and stand-ins of one soak; stops everything that it started."""

    def __init__(
        self,
        folder: Path,
        network: Network,
        edges: int,
        relays: int,
        bounds: Bounds,
        program: Path = CUT_PROGRAM,
    ):
        """`program`: the serving system's program, which may be another release's."""
        self.folder, self._program = folder, program
        self.layout = SoakLayout(network, edges=edges, bounds=bounds)
        self.contact = ContactJudge(bounds)
        self._core_count = self.layout.cores
        self.all_machines: list[Machine] = []  # also those that are gone for good
        self.cores = [self._make_core(number, number, True) for number in range(self.layout.cores)]
        self.edges = [self._make_edge(number) for number in range(edges)]
        self.relays = [self._make_relay(number) for number in range(relays)]
        backends = make_backends(self.layout, BACKEND_SPEED, BACKEND_SPEED)
        backends += make_web_backends(self.layout, OTHER_WEB_SERVICE, BACKEND_SPEED, len(backends))
        backends += make_web_backends(self.layout, SLOW_SERVICE, SLOW_BACKEND_SPEED, len(backends))
        self.backends: list[StandInBackend] = backends
        self._platform = PlatformList(
            self.layout.platform_address, [backend.catalogue_entry for backend in self.backends]
        )

    @property
    def machines(self) -> list[Machine]:
        """All processes that are to run now."""
        return [*self.cores, *self.edges, *self.relays]

    @property
    def control_addresses(self) -> list[Address]:
        """Where operators are served now: core machines and relays."""
        return [machine.control_address for machine in (*self.cores, *self.relays)]

    def start(self) -> None:
        """Start the stand-ins and all processes; returns at once."""
        for standin in (self._platform, *self.backends):
            standin.start()
        for machine in self.machines:
            machine.start()

    def add_successor(self, gone: Machine) -> Machine:
        """A core machine with an empty disk at a new address in place of another one, to be started."""
        number, self._core_count = self._core_count, self._core_count + 1
        successor = self._make_core(number, self._zone_number(gone), False)
        self.cores[self.cores.index(gone)] = successor
        return successor

    def name_seeds(self, seeds: Sequence[str]) -> None:
        """Have all settings files name these seeds; no process is signalled."""
        self.layout.seeds[:] = seed_addresses(seeds)
        for machine in self.machines:
            machine.write_settings()

    def gone_hosts(self, count: int) -> list[str]:
        """Hosts at which there never is a machine."""
        return [self.layout.network.host(UNREACHABLE_HOST + number) for number in range(count)]

    def seeds_lead_somewhere(self) -> bool:
        """Whether a seed of the settings files is a machine that is to run."""
        hosts = {address.host for address in self.control_addresses}
        return any(parse_address(seed).host in hosts for seed in self.edges[0].settings.seeds)

    def stop(self) -> None:
        """Stop everything, also machines that were to be replaced."""
        running = [machine.process for machine in self.all_machines if machine.process.running]
        for process in running:
            process.thaw()
            process.terminate()
        for process in running:
            process.wait(STOP_TIMEOUT_S)
        for standin in (self._platform, *self.backends):
            standin.stop()

    def _zone_number(self, core: Machine) -> int:
        return list(Zone).index(Zone(core.settings.zone))

    def _make_core(self, number: int, zone_number: int, bootstrap: bool) -> Machine:
        zone = self.layout.core_zone(zone_number)
        machine = self._make_machine(
            f"core-{number + 1}",
            MachineClass.CORE,
            lambda: self.layout.core_settings(number, self.folder, False, zone),
        )
        machine.bootstrap = bootstrap
        machine.shared_trouble = self.contact.core
        return machine

    def _make_edge(self, number: int) -> Machine:
        return self._make_machine(
            f"edge-{number + 1}", MachineClass.EDGE, lambda: self.layout.edge_settings(number)
        )

    def _make_relay(self, number: int) -> Machine:
        return self._make_machine(
            f"relay-{number + 1}", MachineClass.CORE, lambda: self.layout.relay_settings(number)
        )

    def _make_machine(self, name: str, role: MachineClass, make_settings: Callable[[], Settings]) -> Machine:
        process = SystemProcess(name, str(role), self.folder / f"{name}.toml")
        process.program = self._program
        machine = Machine(process, make_settings)
        self.all_machines.append(machine)
        return machine
