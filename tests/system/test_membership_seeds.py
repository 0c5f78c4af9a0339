"""How members find one another again after their seeds changed, in simulated time."""

from __future__ import annotations

from tests.system.simulated_members import CORES, Group

RELAYS = (CORES, CORES + 1, CORES + 2)
MEMBERS = CORES + 12
WITHIN_S = 40.0


def stop(group: Group, number: int) -> None:
    """An orderly end."""
    address = next(key for key, member in group.members.items() if member.name == f"machine-{number:04d}")
    group._carry_out(address, group.members[address].leave(group.now))
    del group.members[address]


def test_members_that_left_together_and_know_only_each_other_are_found_again():
    # Guards against two groups that never meet: nobody tried members that had announced their end.
    group = Group(MEMBERS - CORES, seed=1)
    group.run(20)
    for number in RELAYS:
        stop(group, number)
    group.run(2)
    addresses = [(f"10.1.0.{number}", 7723) for number in RELAYS]
    group.seeds = addresses
    for number in RELAYS:
        group.add(number)
    assert max(group.complete_after(MEMBERS, WITHIN_S)) < WITHIN_S
