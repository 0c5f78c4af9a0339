"""Keeps a replica's connections in step with the hosts that it needs."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from msgspec.structs import asdict

from nettledeal.common.logs import log_event
from nettledeal.common.seeds import SeedList
from nettledeal.control.contacts import Contacts, find_contacts
from nettledeal.control.mesh import Mesh
from nettledeal.control.replica import Replica


class ContactReview:
    """Looks up the contacts of a replica and connects to them.

    `member_hosts` returns the hosts where membership sees a replica, also this one's.
    """

    def __init__(self, mesh: Mesh, seeds: SeedList):
        self.member_hosts: Callable[[], Iterable[str]] = tuple
        self._mesh, self._seeds = mesh, seeds
        self._contacts = Contacts()

    def review(self, replica: Replica) -> None:
        """Look up the contacts now; log and apply them if they have changed."""
        contacts = find_contacts(replica, time.monotonic(), self._seeds.hosts, self.member_hosts)
        if contacts == self._contacts:
            return
        self._contacts = contacts
        log_event("control:contacts", **{name: sorted(hosts) for name, hosts in asdict(contacts).items()})
        self._mesh.set_hosts(contacts.hosts)
        replica.contact_hosts = contacts.hosts
