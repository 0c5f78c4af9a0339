"""The hosts to which a replica keeps connections, by the sources that name them."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from nettledeal.control.replica import Replica


class Contacts(msgspec.Struct, frozen=True):
    """Hosts by source: the epoch's voters, replicas heard, the settings' seeds, and group membership."""

    voters: frozenset[str] = frozenset()
    heard: frozenset[str] = frozenset()
    seeds: frozenset[str] = frozenset()
    members: frozenset[str] = frozenset()

    @property
    def hosts(self) -> frozenset[str]:
        """All hosts, whatever named them."""
        return self.voters | self.heard | self.seeds | self.members


def find_contacts(
    replica: Replica, now: float, seeds: frozenset[str], member_hosts: Callable[[], Iterable[str]]
) -> Contacts:
    """The hosts to which `replica` needs connections at `now`, on its monotonic clock.

    Seeds and `member_hosts`, where membership sees a replica, are used only while the state wasn't confirmed
    for the timing's `forget_after_s`: otherwise the primary can be reached. They change without any input to
    the replica, so a host has to call this at intervals as well.
    """
    record = replica.record
    voters = frozenset(voter.host for voter in record.voters) if record is not None else frozenset()
    # A message to a host without a connection is dropped: answers need one to whoever was heard.
    heard = replica.recently_heard_hosts(now)
    if replica.primary is not None:
        heard |= {peer.info.host for peer in replica.primary.peers.values()}
    if replica.confirmed_age_s(now) <= replica.timing.forget_after_s:
        return Contacts(voters, frozenset(heard))
    heard |= replica.known_replicas.keys()
    return Contacts(voters, frozenset(heard), seeds, frozenset(member_hosts()))
