"""How members find one another again after their seeds changed, in simulated time."""

from __future__ import annotations

from nettledeal.membership.actions import SECOND, StreamRequest
from nettledeal.membership.member import Member
from nettledeal.membership.node import PERIODS_PER_HEARTBEAT
from tests.system.simulated_members import CORES, HEARTBEAT_MS, Group

RELAYS = (CORES, CORES + 1, CORES + 2)
MEMBERS = CORES + 12
WITHIN_S = 40.0
CATCH_UP_S = 4.0
# Ten protocol periods, and half as much for the jitter.
FIRST_EXCHANGE_S = 1.5 * 10 * HEARTBEAT_MS / 1000 / PERIODS_PER_HEARTBEAT
LATE = 3 * 256
LATE_ADDRESS = ("10.1.3.0", 7723)
NEW_ADDRESS = (f"10.1.0.{MEMBERS}", 7723)


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


def test_a_forgotten_member_is_not_contacted():
    # Guards against trying all that count as left: an operator's `forget` ends contacts to a dead member.
    group = Group(MEMBERS - CORES, seed=2)
    group.run(20)
    address = ("10.1.0.13", 7723)
    name = group.members.pop(address).name
    group.run(20)
    observer = group.members["10.1.0.0", 7722]
    known, step = observer.forget(group.now, name)
    assert known
    group._carry_out(observer.address, step)
    group.run(10)
    contacted = []
    request = group._request
    group._request = lambda source, action: (contacted.append(action.address), request(source, action))
    group.run(120)
    assert contacted and address not in contacted


def test_a_member_whose_seeds_are_gone_joins_through_others_once_it_is_told_of_them():
    # Guards against seeds that are taken at the start only.
    group = Group(MEMBERS - CORES, seed=3)
    group.run(20)
    seeds, group.seeds = group.seeds, [("10.9.0.1", 7722)]
    address = group.add(MEMBERS)
    group.run(20)
    member = group.members[address]
    assert len(member.live_members()) == 1
    group._carry_out(address, member.set_seeds(group.now, seeds))
    group.run(1)
    assert len(member.live_members()) == MEMBERS + 1


def start_alone(group: Group, late: tuple[str, int], without_seeds: bool = False) -> Member:
    """A member whose only seed has not started, named to it at its start or directly after that."""
    group.run(10)
    seeds, group.seeds = group.seeds, [] if without_seeds else [late]
    member = group.members[group.add(MEMBERS)]
    if without_seeds:
        group._carry_out(member.address, member.set_seeds(group.now, [late]))
    group.run(30)
    group.seeds = seeds
    return member


def knows_all_after(seed: int, within_s: float, without_seeds: bool = False) -> bool:
    """Whether a member that was alone knows all so long after its only seed has started."""
    group = Group(MEMBERS - CORES, seed)
    member = start_alone(group, LATE_ADDRESS, without_seeds)
    group.add(LATE)
    group.run(within_s)
    return len(member.live_members()) == MEMBERS + 2


def test_a_member_joins_soon_after_its_only_seed_comes_back():
    # Guards against pauses between attempts that grow beyond the time in which a machine has to catch up.
    assert [seed for seed in range(10) if not knows_all_after(seed, CATCH_UP_S)] == []


def test_a_member_started_without_seeds_goes_on_trying_those_that_it_is_told_of():
    # Guards against attempts to join that are scheduled only if there were seeds at the start.
    assert [seed for seed in range(10) if not knows_all_after(seed, CATCH_UP_S, without_seeds=True)] == []


def answers_lost(group: Group, address: tuple[str, int], until: int) -> None:
    """Lose the answers to a member's stream requests until that time."""
    answer = group._answer

    def lose(target: tuple[str, int], request: StreamRequest, raw: bytes | None) -> None:
        answer(target, request, None if target == address and group.now < until else raw)

    group._answer = lose


def test_a_member_whose_first_answers_are_lost_has_joined_soon_after_that():
    # Guards against a member that knows all but counts as not joined: it assumes a large group, and its part
    # of budgets and connections stays small.
    late = []
    for seed in range(12):
        group = Group(MEMBERS - CORES, seed)
        group.run(20)
        lost_until = group.now + round(6.0 * SECOND)
        answers_lost(group, NEW_ADDRESS, lost_until)
        member = group.members[group.add(MEMBERS)]
        group.run(6.0 + CATCH_UP_S)
        late += [seed] * (not member.joined)
    assert late == []


def test_a_member_that_was_alone_exchanges_views_as_soon_after_its_start_as_any_other():
    # Guards against a pause between exchanges that grows while there is nobody to exchange with: the seeds
    # are those of which the new member met the late one before that had met the rest.
    assert [seed for seed in (65, 140) if not knows_all_after(seed, FIRST_EXCHANGE_S)] == []


GONE_FOR_GOOD = (3, 4, 5, 6)
SEEDS_DOWN_S = 0.9
# Of the time in which a machine catches up, what is left for its replica to join and copy the state.
REPLICATION_S = 1.0


def meets_a_core_machine(seed: int) -> bool:
    """Whether a member that starts while its seeds are all being restarted finds a core machine in time."""
    group = Group(MEMBERS - CORES, seed)
    group.run(20)
    for number in GONE_FOR_GOOD:
        stop(group, number)
    group.run(30)
    for number in RELAYS:
        stop(group, number)
    group.seeds = [(f"10.1.0.{number}", 7723) for number in RELAYS]
    member = group.members[group.add(MEMBERS)]
    group.run(SEEDS_DOWN_S)
    for number in RELAYS:
        group.add(number)
    group.run(CATCH_UP_S - REPLICATION_S)
    known = {record.address for record in member.live_members()}
    return any(core in known for core in (("10.1.0.0", 7722), ("10.1.0.1", 7722), ("10.1.0.2", 7722)))


def test_a_member_whose_seeds_are_all_being_restarted_finds_the_others_in_the_time_to_catch_up():
    # Guards against a successor that is still alone when the next disk is lost, which leaves no majority.
    assert [seed for seed in range(30) if not meets_a_core_machine(seed)] == []


SEED_COMES_AFTER_S = 4.0


def finds_the_restarted_core_machines(seed: int) -> bool:
    """Whether a member finds core machines that know one another, as soon after its only seed has come.

    That is the seed of the core machines, too; it was down when they started.
    """
    group = Group(0, seed)
    cores = list(group.members)[:2]
    group.members.clear()
    group.events.clear()
    relay = (f"10.1.0.{MEMBERS}", 7723)
    group.seeds = [relay, *cores]
    for number in range(len(cores)):
        group.add(number)
    group.run(SEED_COMES_AFTER_S)
    group.seeds = [relay]
    group.add(MEMBERS)
    member = group.members[group.add(MEMBERS + 1)]
    group.run(CATCH_UP_S - REPLICATION_S)
    return any(record.address in cores for record in member.live_members())


def test_core_machines_that_know_one_another_find_a_seed_that_was_away():
    # Guards against core machines that join one another and hardly try their seeds after that.
    assert [seed for seed in range(30) if not finds_the_restarted_core_machines(seed)] == []
