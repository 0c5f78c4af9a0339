"""The control plane of a core machine: control state, operator API, distribution, list reader, registry."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import gevent
from pyrsistent import PMap

from nettledeal.common.addresses import Address, InternalPort
from nettledeal.common.errors import ServingError
from nettledeal.common.logs import log_event
from nettledeal.common.seeds import SeedList
from nettledeal.common.settings import Settings
from nettledeal.control.messages import EpochRecord
from nettledeal.control.node import ControlNode
from nettledeal.control.state import ControlState
from nettledeal.discovery.catalogue_reader import CatalogueReader
from nettledeal.distribution.control_source import CATALOGUE_SOURCE, CONTROL_SOURCE, control_entries
from nettledeal.distribution.core_directory import CORES_SOURCE, CoreMachine, core_entries
from nettledeal.distribution.published_source import PublishedSource
from nettledeal.distribution.publisher import Publisher
from nettledeal.distribution.subscriber import Subscriber
from nettledeal.membership.member_info import Role
from nettledeal.membership.node import MembershipNode
from nettledeal.operator_api.server import OperatorServer
from nettledeal.programs.process import run_plane
from nettledeal.programs.share_loop import ShareLoop
from nettledeal.programs.status_sections import budget_status, epoch_status, source_status
from nettledeal.registry.server import RegistryServer

CONFIRM_INTERVAL_S = 0.25


class ControlPlane:
    """All parts of a core machine's process and what flows between them."""

    def __init__(self, settings: Settings, seeds: SeedList | None = None):
        """`seeds`: the seeds in force, where they may change."""
        self.settings = settings
        self.node = ControlNode(settings, seeds=seeds)
        self.node.changes.on_commit.append(self._publish_control)
        self.on_failure: Callable[[ServingError], None] = lambda error: None
        self.node.on_refused = lambda error: self.on_failure(error)
        self.control = PublishedSource(CONTROL_SOURCE)
        self.catalogue = PublishedSource(CATALOGUE_SOURCE)
        self.cores = PublishedSource(CORES_SOURCE)
        sources = {source.name: source for source in (self.control, self.catalogue, self.cores)}
        self.publisher = Publisher(settings, sources)
        self.reader = CatalogueReader(settings, self.node, self.catalogue, self.publisher.notify)
        self.node.changes.on_reader_changed = self.reader.role_changed
        self.subscriber = Subscriber(
            settings,
            settings.control_member_name,
            self._reader_addresses,
            [CATALOGUE_SOURCE],
            self._relay_catalogue,
        )
        self.membership = MembershipNode(settings, Role.CORE, seeds)
        self.node.use_member_hosts(self.membership.core_hosts)
        self.membership.on_change.append(self.node.review_contacts)
        self.node.changes.on_epoch.append(self._try_voters_as_members)
        self.registry = RegistryServer(settings, self.membership) if settings.listen.directory else None
        self.operator_api = OperatorServer(
            settings,
            self.node,
            {
                "members": self.membership.members,
                "cores": self.node.cores,
                "streams": self.publisher.acknowledged,
                "epoch": lambda: epoch_status(self.node),
                "sources": lambda: source_status(sources.values()),
                "budgets": lambda: budget_status(settings, self.node.state),
            },
        )
        self._shares = ShareLoop(self.node, self.membership)
        self._confirming: gevent.Greenlet | None = None
        self._published_generation = 0

    def start(self) -> None:
        """Serve. Raises ServingError if the data directory can't be used, OSError if an address is taken."""
        self.node.start()
        self.publisher.start()
        self.membership.start()
        self.reader.start()
        self.subscriber.start()
        if self.registry is not None:
            self.registry.start()
        self.operator_api.start()
        self._confirming = gevent.spawn(self._confirm)
        self._shares.start()

    def stop(self) -> None:
        """Hand over what this machine leads, then end."""
        self.membership.leave()
        self._shares.stop()
        self.operator_api.stop()
        self.node.stop()
        self.publisher.stop()
        if self.registry is not None:
            self.registry.stop()
        self.membership.stop()

    def _try_voters_as_members(self, record: EpochRecord) -> None:
        self.membership.use_replica_hosts(voter.host for voter in record.voters)

    def _publish_control(self, state: ControlState) -> None:
        entries = control_entries(state.entries)
        if self.control.publish((state.sequence,), entries):
            self.publisher.notify()
        if state.generation != self._published_generation:
            self._published_generation = state.generation
            log_event("control:configuration", generation=state.generation, version=state.sequence)
        if self.registry is not None:
            self.registry.configure(entries)

    def _reader_addresses(self) -> list[Address]:
        """Where the reader's catalogue can be had; nowhere while this machine is the reader."""
        reader = self.node.reader
        if reader is None or reader == self.node.replica_id:
            return []
        port = self.settings.port_range[0] + InternalPort.DISTRIBUTION
        return [Address(core.host, port) for core in self.node.cores() if core.replica_id == reader]

    def _relay_catalogue(self, _: str, version: tuple[int, ...], entries: PMap) -> None:
        if self.catalogue.publish(version, entries):
            self.publisher.notify()

    def _confirm(self) -> None:
        """Keep the sources' ages and the list of core machines current."""
        while True:
            gevent.sleep(CONFIRM_INTERVAL_S)
            now_s = time.monotonic()
            age_s = self.node.confirmed_age_s()
            if age_s != float("inf"):
                self.control.confirm(now_s, age_s)
            self._confirm_catalogue(now_s)
            self._publish_cores(now_s)

    def _confirm_catalogue(self, now_s: float) -> None:
        age_s = self.subscriber.age_s(CATALOGUE_SOURCE)
        if age_s is not None:
            self.catalogue.confirm(now_s, age_s)

    def _publish_cores(self, now_s: float) -> None:
        # Voters and version are of one record: two machines must not tell different ones under one version.
        record = self.node.epoch_record
        if record is None:
            return
        port = self.settings.port_range[0] + InternalPort.DISTRIBUTION
        machines = {
            voter.replica_id: CoreMachine(
                voter.host, port, voter.zone, voter.region, voter.replica_id == record.primary
            )
            for voter in record.voters
        }
        self.cores.publish((record.epoch,), core_entries(machines))
        self.cores.confirm(now_s)


def run(settings: Settings, settings_file: Path | None = None) -> int:
    """Run the control plane until it is told to stop; without a replica where the machine may have none."""
    if settings.keeps_control_state:
        return run_plane(settings, lambda seeds: ControlPlane(settings, seeds), settings_file)
    from nettledeal.programs.control_relay import ControlRelay

    return run_plane(settings, lambda seeds: ControlRelay(settings, seeds), settings_file)
