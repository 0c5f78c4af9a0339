"""The data plane of an edge machine: requests, fed by subscriptions and membership."""

from __future__ import annotations

from pathlib import Path

import gevent
from gevent.event import Event
from pyrsistent import PMap

from nettledeal.common.listeners import StandardSocket
from nettledeal.common.seeds import SeedList
from nettledeal.common.settings import Settings
from nettledeal.dataplane.agent import DataPlane
from nettledeal.dataplane.selection import BackendReport
from nettledeal.distribution.control_source import CATALOGUE_SOURCE, CONTROL_SOURCE
from nettledeal.distribution.core_directory import CORES_SOURCE, CoreDirectory
from nettledeal.distribution.protocol import BackendFindings
from nettledeal.distribution.subscriber import Subscriber
from nettledeal.membership.member_info import Role
from nettledeal.membership.node import MembershipNode
from nettledeal.programs.process import run_plane

# What is found within this time goes into one report to the other agents.
REPORT_PAUSE_S = 0.05

SOURCES = (CONTROL_SOURCE, CATALOGUE_SOURCE, CORES_SOURCE)
# News of members come one by one; those that arrive within this time are counted together.
MEMBERS_COUNTED_AFTER_S = 0.05


class EdgeProcess:
    """All parts of an edge machine's process and what flows between them."""

    def __init__(
        self,
        settings: Settings,
        listener: StandardSocket | None = None,
        seeds: SeedList | None = None,
    ):
        """`listener`: a socket that listens for clients already. `seeds`: those in force, where they may
        change."""
        self.settings = settings
        self._listener = listener
        self.data_plane = DataPlane(settings)
        self.membership = MembershipNode(settings, Role.EDGE, seeds)
        self.directory = CoreDirectory(settings, self.membership.core_hosts, seeds)
        self.membership.on_change.append(self._members_changed)
        self._counting: gevent.Greenlet | None = None
        self.data_plane.on_ready_changed = self.membership.set_ready
        self.subscriber = Subscriber(
            settings, settings.node_name, self.directory.targets, SOURCES, self._apply
        )
        self.subscriber.on_findings = self._take_findings
        self.data_plane.lease.age_s = lambda: self.subscriber.age_s(CONTROL_SOURCE)
        self._reports = self.data_plane.selector.reports
        self._report_due = Event()
        self._reports.on_added = self._report_due.set
        self._reporting: gevent.Greenlet | None = None

    def start(self) -> None:
        """Serve; clients are taken once a configuration and a catalogue have come. Raises OSError."""
        self.membership.start()
        self.subscriber.start()
        self.data_plane.start(self._listener)
        self._reporting = gevent.spawn(self._report)

    def stop(self) -> None:
        """Have clients sent elsewhere, finish what was taken, then end."""
        self.membership.leave()
        self.data_plane.stop()
        if self._reporting is not None:
            self._reporting.kill(block=False)
        self.subscriber.stop()
        self.membership.stop()

    def _apply(self, source: str, version: tuple[int, ...], entries: PMap) -> None:
        if source == CONTROL_SOURCE:
            self.data_plane.apply_control(version, entries)
        elif source == CATALOGUE_SOURCE:
            changed_keys = self.subscriber.sources[source].changed_keys
            self.data_plane.apply_catalogue(version, entries, changed_keys)
        else:
            self.directory.update(entries)

    def _members_changed(self) -> None:
        if self._counting is None:
            self._counting = gevent.spawn_later(MEMBERS_COUNTED_AFTER_S, self._count_members)

    def _take_findings(self, findings: BackendFindings) -> None:
        self.data_plane.apply_report(BackendReport(findings.backend_ids, findings.replaced, findings.queues))

    def _report(self) -> None:
        while True:
            self._report_due.wait()
            gevent.sleep(REPORT_PAUSE_S)
            self._report_due.clear()
            self.subscriber.report_findings(_findings(self._reports.take()))

    def _count_members(self) -> None:
        self._counting = None
        edges = [member.name for member in self.membership.members() if member.role == Role.EDGE]
        self.data_plane.set_data_plane_members(self.membership.data_plane_count(), edges)
        self.data_plane.set_suspect_zones(self.membership.suspect_zones())


def _findings(report: BackendReport) -> BackendFindings:
    return BackendFindings(list(report.failed), list(report.replaced), dict(report.queues))


def run(settings: Settings, listener: StandardSocket | None = None, settings_file: Path | None = None) -> int:
    """Run the data plane until it is told to stop; clients come in through `listener`, if given."""
    return run_plane(settings, lambda seeds: EdgeProcess(settings, listener, seeds), settings_file)
