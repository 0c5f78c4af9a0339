"""Mixed clusters with replicas of the previous release, which has neither leave messages nor incarnations."""

from __future__ import annotations

import msgspec
import pytest

from nettledeal.control.effects import Send
from nettledeal.control.messages import NO_INCARNATIONS, Heartbeat, HeartbeatAck
from nettledeal.control.replica import Replica
from tests.system.control_rehearsal import Client, Machine, World, heal, settled

LENGTH_S = 30.0
UPGRADE_INTERVAL_S = 3.0


def without_later_fields(message):
    """A message as the previous release writes and reads it."""
    if isinstance(message, Heartbeat):
        return msgspec.structs.replace(message, reader_incarnation=NO_INCARNATIONS, released=False)
    if isinstance(message, HeartbeatAck):
        return msgspec.structs.replace(message, incarnation=0, leaving=False)
    return message


class EarlierRelease(Replica):
    """A replica of the previous release: backups exit unannounced, readers aren't bound to an incarnation."""

    def take_effects(self):
        effects = super().take_effects()
        effects.sends = [
            Send(send.host, without_later_fields(send.message), send.after_write) for send in effects.sends
        ]
        return effects

    def receive(self, now, sender, message):
        super().receive(now, sender, without_later_fields(message))

    @property
    def may_end(self) -> bool:
        return self.primary is None


class Upgraded:
    """A world in which each machine runs the release that `releases` gives for its host."""

    def __init__(self, seed: int, first: type, then: type):
        self.releases = {f"h{n}": first for n in range(3)}
        self.then = then
        self.world = World(f"{seed} upgrade", 3, replica_type=self._replica)

    def _replica(self, info, *arguments) -> Replica:
        return self.releases[info.host](info, *arguments)

    def upgrade(self, host: str) -> None:
        self.world.leave(self.world.machines[host], self._start_other)

    def _start_other(self, machine: Machine) -> None:
        self.releases[machine.host] = self.then
        self.world.at(self.world.now + 0.5, self.world.start, machine)


@pytest.mark.parametrize("order", [("h0", "h1", "h2"), ("h2", "h0", "h1")], ids="".join)
@pytest.mark.parametrize(
    ("first", "then"), [(EarlierRelease, Replica), (Replica, EarlierRelease)], ids=["up", "down"]
)
@pytest.mark.parametrize("seed", range(3))
def test_releases_are_changed_one_machine_at_a_time(seed, first, then, order):
    upgraded = Upgraded(seed, first, then)
    world = upgraded.world
    clients = [Client(world, f"c{n}", LENGTH_S) for n in range(2)]
    for number, host in enumerate(order):
        world.at(6.0 + UPGRADE_INTERVAL_S * number, upgraded.upgrade, host)
    world.run(LENGTH_S + 2.0)
    assert settled(world) == []
    assert sum(client.answer_count for client in clients) > 30


@pytest.mark.parametrize("primary", [EarlierRelease, Replica])
def test_a_process_of_this_release_leaves_at_once_regardless_of_its_primary_s_release(primary):
    upgraded = Upgraded(1, primary, Replica)
    world = upgraded.world
    world.run(6.0)
    backup = next(machine for machine in world.running() if machine.replica.primary is None)
    upgraded.releases[backup.host] = Replica
    world.crash(backup)
    world.start(backup)
    world.run(10.0)
    assert backup.replica.primary is None
    ended = []
    world.leave(backup, lambda machine: ended.append(world.now))
    world.run(11.0)
    assert ended
    heal(world)
    world.run(20.0)
    assert settled(world) == []
