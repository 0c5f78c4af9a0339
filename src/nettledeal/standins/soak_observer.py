"""What an operator sees of a system during a soak."""

from __future__ import annotations

from random import Random

from nettledeal.common.errors import ServingError
from nettledeal.operator_api.client import OperatorClient
from nettledeal.operator_api.status import StatusReport
from nettledeal.standins.processes import wait_until
from nettledeal.standins.soak_system import Machine, SoakSystem

ORDER_WITHIN_S = 20.0
STATUS_WITHIN_S = 2.0


class SoakObserver:
    """Asks the machines of a system; a system recovers within `recover_within_s`."""

    def __init__(self, system: SoakSystem, random: Random, recover_within_s: float):
        self.recover_within_s = recover_within_s
        self._system, self._random = system, random

    def operator(self) -> OperatorClient:
        """A client that asks the machines that serve operators now, in random order."""
        addresses = self._system.control_addresses
        return OperatorClient(self._random.sample(addresses, len(addresses)), ORDER_WITHIN_S)

    def status(self, machine: Machine) -> StatusReport | None:
        """A core machine's status page, None if it doesn't answer."""
        try:
            return OperatorClient([machine.control_address], STATUS_WITHIN_S).status()
        except ServingError:
            return None

    def unsettled_cores(self) -> list[str]:
        """The core machines that don't know all core machines that run as voters in sync."""
        running = sorted(machine.settings.ip for machine in self._system.cores)
        return [
            machine.process.name
            for machine in self._system.cores
            if not _knows_all_in_sync(self.status(machine), running)
        ]

    def wait_settled(self) -> None:
        """Wait until all core machines are voters and in sync; raises ServingError (TIMED_OUT)."""
        wait_until(lambda: not self.unsettled_cores(), self.recover_within_s, "all core machines are in sync")

    def wait_in_sync(self, core: Machine) -> None:
        """Wait until a core machine knows itself in sync; raises ServingError (TIMED_OUT)."""
        wait_until(
            lambda: core.settings.ip in _in_sync_hosts(self.status(core)),
            self.recover_within_s,
            "the new core machine is in sync",
        )


def _knows_all_in_sync(report: StatusReport | None, hosts: list[str]) -> bool:
    """Whether the machine's own replica and replicas at all hosts are in sync, as far as the machine knows.

    Hosts alone don't tell: after the loss of a disk they are those of the replica that went with it.
    """
    return (
        report is not None
        and report.epoch.replica_id in report.epoch.in_sync
        and _in_sync_hosts(report) == hosts
    )


def _in_sync_hosts(report: StatusReport | None) -> list[str]:
    """The hosts of the voters that are in sync; none unless all voters are."""
    if report is None:
        return []
    hosts = dict(voter.split("@") for voter in report.epoch.voters)
    if set(hosts) != set(report.epoch.in_sync):
        return []
    return sorted(hosts.values())
