"""The control side of a machine without a replica of the control state: directory, and redirection of orders.

A deploy file gives the control role to a number of machines of a class; those of them that have no disk, or
do not count for the quorum, run this. It follows the core machines' sources as a data plane does.
"""

from __future__ import annotations

from collections.abc import Callable

from pyrsistent import PMap

from nettledeal.common.errors import ServingError
from nettledeal.common.seeds import SeedList
from nettledeal.common.settings import Settings
from nettledeal.distribution.control_source import CONTROL_SOURCE
from nettledeal.distribution.core_directory import CORES_SOURCE, CoreDirectory
from nettledeal.distribution.subscriber import Subscriber
from nettledeal.membership.member_info import Role
from nettledeal.membership.node import MembershipNode
from nettledeal.operator_api.redirection import CoreChooser, RedirectionServer
from nettledeal.registry.server import RegistryServer


class ControlRelay:
    """All parts of the process and what flows between them."""

    def __init__(self, settings: Settings, seeds: SeedList | None = None):
        """`seeds`: the seeds in force, where they may change."""
        self.on_failure: Callable[[ServingError], None] = lambda error: None
        self.membership = MembershipNode(settings, Role.RELAY, seeds)
        self.directory = CoreDirectory(settings, self.membership.core_hosts, seeds)
        self.subscriber = Subscriber(
            settings,
            settings.control_member_name,
            self.directory.targets,
            (CONTROL_SOURCE, CORES_SOURCE),
            self._apply,
        )
        self.registry = (
            RegistryServer(settings, self.membership, requires_configuration=True)
            if settings.listen.directory
            else None
        )
        self.redirection = (
            RedirectionServer(settings, CoreChooser(settings, self.membership.members, self.directory.cores))
            if settings.listen.control_plane
            else None
        )

    def start(self) -> None:
        """Serve. Raises OSError if an address is taken."""
        self.membership.start()
        self.subscriber.start()
        for server in self._servers():
            server.start()

    def stop(self) -> None:
        """Stop serving, then leave."""
        for server in self._servers():
            server.stop()
        self.subscriber.stop()
        self.membership.stop()

    def _servers(self) -> list[RegistryServer | RedirectionServer]:
        return [server for server in (self.registry, self.redirection) if server is not None]

    def _apply(self, source: str, version: tuple[int, ...], entries: PMap) -> None:
        if source == CORES_SOURCE:
            self.directory.update(entries)
        elif self.registry is not None:
            self.registry.configure(entries)
