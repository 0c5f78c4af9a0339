"""A small serving system on loopback: real processes of all roles, and stand-ins for their surroundings."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from pathlib import Path

import msgspec

from nettledeal.common.addresses import Address, parse_address
from nettledeal.common.settings import Settings
from nettledeal.operator_api.client import OperatorClient
from nettledeal.operator_api.status import StatusReport
from nettledeal.standins.backend import StandInBackend
from nettledeal.standins.layout import Layout, MachineClass, Zone, write_settings
from nettledeal.standins.platform_list import PlatformList
from nettledeal.standins.processes import SystemProcess

CALL_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0


class SmallSystem:
    """Starts all processes with their files in `folder`, and stops everything it started."""

    def __init__(
        self,
        layout: Layout,
        folder: Path,
        backends: Iterable[StandInBackend],
        region_keys: Mapping[str, Path] | None = None,
    ):
        """`region_keys` maps a region to its private key file, for regions whose edge machines have one."""
        self.layout = layout
        self.region_keys = region_keys or {}
        self.folder = folder
        self.backends = list(backends)
        self.platform = PlatformList(
            layout.platform_address, [backend.catalogue_entry for backend in self.backends]
        )
        self.cores = [self._make_core(number, bootstrap=True) for number in range(layout.cores)]
        self.edges = [self._make_edge(number) for number in range(layout.edges)]
        self.operator = OperatorClient(layout.core_addresses, CALL_TIMEOUT_S)

    @property
    def processes(self) -> list[SystemProcess]:
        """All processes of the system."""
        return [*self.cores, *self.edges]

    def start(self) -> None:
        """Start the stand-ins and all processes; returns at once."""
        for standin in [self.platform, *self.backends]:
            standin.start()
        for process in self.processes:
            process.start()

    def wait_ready(self, within_s: float = CALL_TIMEOUT_S) -> None:
        """Wait until every data plane accepts clients, which requires a configuration."""
        for edge in self.edges:
            edge.wait_for("dataplane:ready", within_s, lambda event: event["ready"] is True)

    def wait_started(self, within_s: float = CALL_TIMEOUT_S) -> None:
        """Wait until every running process serves: earlier, SIGTERM kills it without an orderly shutdown."""
        for process in self.processes:
            if process.running:
                process.wait_for("process:started", within_s)

    def primary(self) -> SystemProcess:
        """The core process that is the primary: the one that serves the configuration in force."""
        address = self.operator.get_configuration().peer
        hosts = [self.layout.core_host(number) for number in range(len(self.cores))]
        return self.cores[hosts.index(address.host)]

    def primary_status(self) -> StatusReport:
        """The status page of the primary."""
        address = self.operator.get_configuration().peer
        return OperatorClient([address], CALL_TIMEOUT_S).status()

    def restart_cores(self) -> None:
        """Restart the core processes that have ended, without the bootstrap setting."""
        for number, core in enumerate(self.cores):
            if not core.running:
                self._make_core(number, bootstrap=False)
                core.start()

    def replace_core(self, gone: SystemProcess) -> SystemProcess:
        """Start a core machine with an empty disk at a new address, in the zone of the one that is gone."""
        zone = self.layout.core_zone(self.cores.index(gone))
        core = self._make_core(len(self.cores), bootstrap=False, zone=zone)
        self.cores.append(core)
        core.start()
        return core

    def stop(self) -> list[int | None]:
        """Stop everything; returns the exit statuses of the running processes, None for one that hung."""
        alive = [process for process in self.processes if process.running]
        for process in alive:
            process.terminate()
        statuses = [process.wait(STOP_TIMEOUT_S) for process in alive]
        for standin in [self.platform, *self.backends]:
            standin.stop()
        return statuses

    def frontends(self) -> list[Address]:
        """The data planes' addresses for clients."""
        settings = (self.layout.edge_settings(number) for number in range(self.layout.edges))
        return [parse_address(edge.listen.frontend) for edge in settings]

    def _make_core(self, number: int, bootstrap: bool, zone: Zone | None = None) -> SystemProcess:
        settings = self.layout.core_settings(number, self.folder, bootstrap, zone)
        Path(settings.data_dir).mkdir(parents=True, exist_ok=True)
        return self._make_process(settings.node_name, MachineClass.CORE, settings)

    def _make_edge(self, number: int) -> SystemProcess:
        settings = self.layout.edge_settings(number)
        key = self.region_keys.get(settings.region)
        if key is not None:
            settings = msgspec.structs.replace(settings, tenant_region_key=str(key))
        return self._make_process(settings.node_name, MachineClass.EDGE, settings)

    def _make_process(self, name: str, role: MachineClass, settings: Settings) -> SystemProcess:
        path = self.folder / f"{name}.{role}.toml"  # a machine may have both
        write_settings(settings, path)
        return SystemProcess(name, str(role), path)
