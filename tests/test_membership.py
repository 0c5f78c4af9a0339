"""Membership in simulated time: merging of updates, seeded fault schedules, and checks that detect builds
with a planted fault."""

from contextlib import suppress
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from nettledeal.membership.actions import SECOND, SendDatagram, Timing
from nettledeal.membership.member import Member
from nettledeal.membership.packets import (
    MAX_DATAGRAM_BYTES,
    PING,
    VERSION,
    Packet,
    PacketError,
    decode_msgpack,
    encode_msgpack,
)
from nettledeal.membership.pending import MAX_SUSPICION_FACTOR, Suspicion
from nettledeal.membership.piggyback import PiggybackQueue
from nettledeal.membership.stable_view import STABLE_FOR_TENTHS, StableView
from nettledeal.membership.subsetting import MAX_IMBALANCE, assign_subsets
from nettledeal.membership.suspicion import MAX_CONFIRMATIONS
from nettledeal.membership.view import MAX_INCARNATION, MemberRecord, OperatorOrder, State, View
from nettledeal_simulations.membership import (
    FAST_TIMING,
    START,
    Fault,
    LinkConditions,
    Simulation,
    find_violations,
    run_schedule,
    run_schedules,
)

NOW = START
record_strategy = st.builds(
    MemberRecord,
    st.sampled_from("abc"),
    st.sampled_from(("10.0.0.1", "10.0.0.2")),
    st.just(1),
    st.integers(1, 3),
    st.integers(0, 3),
    st.integers(0, 3),
    st.sampled_from(("", "x", "y")),
)
order_strategy = st.builds(
    OperatorOrder, st.sampled_from("bc"), st.integers(1, 3), st.sampled_from("xy"), st.booleans()
)


def make_record(name="a", started_at=NOW, incarnation=0, state=State.ALIVE, accuser="", host="10.0.0.9"):
    return MemberRecord(name, host, 7946, started_at, incarnation, state, accuser)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(record_strategy, max_size=12),
    st.lists(order_strategy, max_size=6),
    st.randoms(use_true_random=False),
)
def test_updates_in_any_order_and_number_give_equal_views(updates, orders, rng):
    def merged(updates, orders):
        view = View()
        for update in updates:
            view.merge(update, NOW)
        for order in orders:
            view.merge_order(order)
        return {name: kept.rank for name, kept in view.records.items()}, view.orders

    repeated = [*updates, *rng.sample(updates, len(updates) // 2)]
    rng.shuffle(repeated)
    assert merged(updates, orders) == merged(repeated, rng.sample(orders, len(orders)) * 2)


@pytest.mark.parametrize(
    ("known", "update", "wins"),
    [
        (make_record(), make_record(state=State.SUSPECT), True),
        (make_record(state=State.SUSPECT), make_record(), False),
        (make_record(state=State.SUSPECT), make_record(incarnation=1), True),
        (make_record(state=State.DEAD), make_record(state=State.SUSPECT), False),
        (make_record(state=State.DEAD), make_record(incarnation=1), True),
        (make_record(incarnation=7, state=State.DEAD), make_record(started_at=NOW + 1), True),
        (
            make_record(started_at=NOW + 1),
            make_record(started_at=NOW, incarnation=9, state=State.LEFT),
            False,
        ),
        (make_record(state=State.DEAD), make_record(state=State.LEFT), True),
    ],
)
def test_which_update_overrides_which(known, update, wins):
    view = View()
    view.merge(known, NOW)
    assert (view.merge(update, NOW) is not None) is wins
    assert view.records["a"] == (update if wins else known)


def test_the_number_of_transmissions_grows_with_the_logarithm_of_the_group_size():
    counts = {}
    for members in (10, 100, 1000, 10_000):
        queue = PiggybackQueue()
        queue.add("record", "a", "update", 10)
        counts[members] = 0
        while queue.take(100, members):
            counts[members] += 1
    assert counts[100] - counts[10] == counts[1000] - counts[100] == counts[10_000] - counts[1000] > 0


def test_the_least_transmitted_update_goes_first_and_the_size_limit_holds():
    queue = PiggybackQueue()
    for n in range(30):
        queue.add("record", f"m{n}", n, 10)
    first = [update for _, update in queue.take(100, 50)]
    assert len(first) == 10
    assert not set(first) & {update for _, update in queue.take(100, 50)}


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=80))
def test_any_bytes_are_decoded_or_rejected(raw):
    with suppress(PacketError):
        assert isinstance(decode_msgpack(raw, "fleet", MAX_DATAGRAM_BYTES), Packet)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"version": VERSION + 1}, "another version"),
        ({"cluster": "other"}, "another cluster"),
        ({"kind": "greeting"}, "garbled"),
        ({"sequence_number": -1}, "garbled"),
        ({"cluster": "f" * 2000}, "oversized"),
    ],
)
def test_an_invalid_packet_is_rejected_with_its_reason(change, reason):
    fields = {
        "version": VERSION,
        "cluster": "fleet",
        "kind": PING,
        "sequence_number": 1,
        "sender": make_record(),
    } | change
    with pytest.raises(PacketError, match=reason):
        decode_msgpack(encode_msgpack(Packet(**fields)), "fleet", MAX_DATAGRAM_BYTES)


def test_a_packet_of_a_later_version_is_distinguished_from_noise():
    noise = (b"\xc1", b"\x81\x80\x00", b"\x91" * 1190 + b"\x00", b"\x92\x01" * 590)
    later = encode_msgpack([VERSION + 1, {"all": "new"}])
    for raw, reason in ((later, "another version"), *((raw, "garbled") for raw in noise)):
        with pytest.raises(PacketError, match=reason):
            decode_msgpack(raw, "fleet", MAX_DATAGRAM_BYTES)


def single_member(name="m0", seeds=(), **options):
    member = Member(name, ("10.0.0.0", 7946), "fleet", seeds, FAST_TIMING, Random(1), NOW, **options)
    member.start(NOW)
    return member


def packet_from(sender, kind=PING, target=None, records=()):
    return Packet(VERSION, "fleet", kind, 1, sender, target, list(records))


def test_forged_updates_about_a_member_are_overridden_and_replayed_updates_change_nothing():
    member = single_member()
    peer = make_record("m1", started_at=NOW - 5)
    for forged in (
        MemberRecord("m0", "10.0.0.0", 7946, member.own_record.started_at, 3, State.DEAD, "evil"),
        MemberRecord(
            "m0", "10.0.0.0", 7946, member.own_record.started_at, MAX_INCARNATION - 1, State.SUSPECT, "evil"
        ),
    ):
        member.on_datagram(NOW + 10, packet_from(peer, "tell", records=[forged]), peer.address)
        assert member.own_record.rank > forged.rank and member.own_record.state == State.ALIVE
    own_record = member.own_record
    for old in (
        make_record("m0", started_at=NOW - 9, state=State.DEAD),
        make_record("m1", started_at=NOW - 9, state=State.LEFT),
    ):
        member.on_datagram(NOW + 20, packet_from(peer, "tell", records=[old]), peer.address)
    assert member.own_record == own_record and member.view.records["m1"].live


@pytest.mark.parametrize(
    "invalid",
    [
        make_record(""),
        make_record("m" * 99),
        make_record("x", started_at=NOW + 999 * 3600 * SECOND),
        make_record("x", incarnation=1 << 40),
        make_record("x", state=7),
        make_record("x", host=""),
    ],
)
def test_an_invalid_record_is_counted_and_changes_nothing(invalid):
    member, peer = single_member(), make_record("m1", started_at=NOW - 5)
    member.on_datagram(NOW + 10, packet_from(peer, "tell", records=[invalid]), peer.address)
    member.on_datagram(NOW + 10, packet_from(invalid), peer.address)
    assert list(member.view.records) == ["m1"]
    assert member.health.rejected == {"news of no sense": 1, "sender of no sense": 1}


def test_a_claim_to_a_members_name_is_checked_before_it_is_believed():
    member, peer = single_member(), make_record("m1", started_at=NOW - 5)
    claim = make_record("m0", started_at=NOW + 50)
    step = member.on_datagram(NOW + 10, packet_from(peer, "tell", records=[claim]), peer.address)
    sent = [action for action in step.actions if isinstance(action, SendDatagram)]
    assert (PING, claim.address) in {(action.packet.kind, action.address) for action in sent}
    assert not member.silent
    now = NOW + 10
    while member.own_record.started_at <= claim.started_at and now < NOW + FAST_TIMING.suspicion:
        now += 100
        member.on_timer(now)
    # Nobody answered at the claimed address, so the member keeps its name, with a later start time.
    assert member.own_record.rank > claim.rank and not member.silent


def test_a_suspicion_shrinks_with_each_accuser_down_to_the_minimum():
    ends = [
        Suspicion(0, 100.0, {str(n) for n in range(count)}, MAX_CONFIRMATIONS).ends_at
        for count in range(1, 6)
    ]
    assert ends[0] == MAX_SUSPICION_FACTOR * 100 and ends[MAX_CONFIRMATIONS] == ends[4] == 100
    assert ends[:4] == sorted(ends[:4], reverse=True) and len(set(ends[:4])) == 4


def test_a_member_that_ran_late_accuses_nobody_and_lowers_its_health():
    simulation = Simulation(5, "late", start_spread=SECOND)
    simulation.run(START + 5 * SECOND)
    member = simulation.nodes[0].member
    before = member.health.suspicions_started
    # Packets received during the pause are dropped, so the first thing it notices is its own lateness.
    simulation.pause(0)
    simulation.run(START + 7 * SECOND)
    simulation.nodes[0].queued_datagrams.clear()
    simulation.resume(0)
    assert member.health.late_wakeups == 1 and member.health.score > 1
    simulation.run(START + 8 * SECOND)
    assert member.health.suspicions_started == before


# Fault schedules.

SCHEDULES, SCHEDULES_PER_TEST = 1000, 20


class NeverRefutes(Member):
    """Does not refute suspicions."""

    def _handle_update_about_self(self, record):
        pass


class NoSuspicionDelay(Member):
    """Declares death without a suspicion period."""

    def _start_suspicion(self, record):
        super()._start_suspicion(record)
        self.suspicions[record.name].min_duration = 0.0
        self._schedule(self.now, "suspicion_timeout", record.name)


class NeverDeclaresDead(Member):
    """Suspicions never time out."""

    def _suspicion_timeout(self, name):
        pass


class NeverContactsDead(Member):
    """Never contacts dead members, so the sides of a partition don't find each other again."""

    def _try_absent_members(self):
        pass


class AcceptsOldRecords(Member):
    """Takes any alive record for a newer one, so an old one revives a dead member."""

    def _apply_record(self, record, gossip=True):
        known = self.view.records.get(record.name)
        if known is not None and not known.live and record.state == State.ALIVE:
            record = MemberRecord(
                known.name, known.host, known.port, known.started_at, known.incarnation + 1, State.ALIVE
            )
        super()._apply_record(record, gossip)


@pytest.mark.parametrize("first", range(0, SCHEDULES, SCHEDULES_PER_TEST))
def test_a_thousand_fault_schedules_keep_the_invariants(first):
    # Split into parts that can run in parallel. `nettledeal fleet rehearse` runs any number of schedules.
    broken = {seed: run_schedule(seed) for seed in range(first, first + SCHEDULES_PER_TEST)}
    assert {seed: found for seed, found in broken.items() if found} == {}


def violates_on_two_seeds(seed):
    """Reports a violation for the seeds 0 and 1."""
    return [f"broken {seed}"] if seed < 2 else run_schedule(seed)


@pytest.mark.alone
def test_schedules_on_all_cores_report_those_that_violated_an_invariant():
    assert sorted(run_schedules(violates_on_two_seeds, range(30))) == [(0, ["broken 0"]), (1, ["broken 1"])]


@pytest.mark.parametrize("build", [NeverRefutes, NeverDeclaresDead])
def test_the_schedules_detect_a_build_that_violates_an_invariant(build):
    assert any(run_schedule(seed, build=build) for seed in range(12))


def violations_after_partition(build):
    """Invariants violated long after the end of a partition whose halves considered each other dead."""
    simulation = Simulation(6, "apart", build=build, start_spread=SECOND, seed_count=1)
    simulation.schedule_faults([Fault("split", 4 * SECOND, 16 * SECOND, (3, 4, 5))])
    simulation.run(START + 14 * SECOND)
    assert all(not node.member.view.records["m0"].live for node in simulation.nodes[3:])
    simulation.run(START + 40 * SECOND)
    return find_violations(simulation)


def test_the_halves_of_a_partition_merge_since_dead_members_are_contacted():
    assert violations_after_partition(Member) == []
    assert violations_after_partition(NeverContactsDead) != []


def crash(count, seed, build=Member, **conditions):
    """Crash one member under the given network conditions. Returns when each other member declared it dead,
    and the deaths declared of other members."""
    simulation = Simulation(count, seed, build=build, start_spread=SECOND)
    simulation.run(START + 6 * SECOND)
    simulation.link_conditions = LinkConditions(**conditions)
    at = simulation.now
    simulation.crash(count - 1)
    simulation.run(at + 30 * SECOND)
    dead = [
        (when - at, who, change.record.name)
        for when, who, change in simulation.changes
        if when >= at and change.record.state == State.DEAD
    ]
    return {who: when for when, who, name in dead if name == f"m{count - 1}"}, [
        entry for entry in dead if entry[2] != f"m{count - 1}"
    ]


@pytest.mark.parametrize("count", [3, 10, 40])
@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_a_crash_is_known_to_all_within_bounded_rounds_and_no_other_member_is_declared_dead(count, loss):
    known, others = crash(count, f"crash {count} {loss}", loss=loss)
    assert sorted(known) == list(range(count - 1)) and others == []
    # Some probe rounds, the longest suspicion (a single accuser), and a second of gossip.
    assert (
        max(known.values())
        <= 8 * FAST_TIMING.period + 2 * MAX_SUSPICION_FACTOR * FAST_TIMING.suspicion + SECOND
    )


def test_without_suspicion_packet_loss_has_live_members_declared_dead():
    assert any(crash(10, f"sure {n}", build=NoSuspicionDelay, loss=0.4, jitter=2_000)[1] for n in range(4))


def test_hundreds_of_members_learn_of_a_crash():
    timing = Timing(period=10_000, probe=3_000, suspicion=30_000, spread=2_000, swap=10_000_000)
    simulation = Simulation(500, "large", timing)
    first = simulation.nodes[0].member
    # All members know each other from the start; joining at once has a test of its own.
    everyone = [MemberRecord(f"m{n}", *simulation.address(n), START, 0, State.ALIVE) for n in range(500)]
    simulation.run(START)
    for node in simulation.nodes:
        for other in everyone:
            if other.name != node.member.name:
                node.member._apply_record(other, False)
    simulation.crash(7)
    simulation.run(START + 14 * SECOND)
    dead = {who for _, who, change in simulation.changes if change.record.state == State.DEAD}
    names = {change.record.name for _, _, change in simulation.changes if change.record.state == State.DEAD}
    assert first is None and names == {"m7"} and len(dead) == 499


@pytest.mark.parametrize("build", [Member, AcceptsOldRecords])
def test_an_old_record_revives_no_dead_member(build):
    simulation = Simulation(5, "old news", build=build, start_spread=SECOND)
    simulation.run(START + 5 * SECOND)
    old = simulation.nodes[4].member.own_record
    simulation.crash(4)
    simulation.run(START + 20 * SECOND)
    node = simulation.nodes[0]
    peer = simulation.nodes[1].member
    node.member.on_datagram(simulation.now, peer._make_packet("tell", 0, records=[old]), peer.address)
    assert node.member.view.records["m4"].live is (build is AcceptsOldRecords)


def test_after_a_partition_all_members_hold_the_newest_order_per_subject():
    simulation = Simulation(6, "cordons", start_spread=SECOND)
    simulation.schedule_faults([Fault("split", 4 * SECOND, 12 * SECOND, (3, 4, 5))])
    simulation.run(START + 6 * SECOND)
    for n, subject, cordoned in ((0, "b1", True), (4, "b2", True), (3, "b1", False)):
        simulation.run(simulation.now + 100)
        node = simulation.nodes[n]
        simulation.perform(node, node.member.issue_order(simulation.now, subject, cordoned))
    simulation.run(START + 40 * SECOND)
    held = [{o.subject: o.cordoned for o in node.member.view.orders.values()} for node in simulation.nodes]
    assert held == [{"b1": False, "b2": True}] * 6
    assert {order.subject for _, n, order in simulation.orders if n == 5} == {"b1", "b2"}


# Derived from the view: the fleet size and the subsets.


@pytest.mark.parametrize(
    ("observations", "counted"),
    [
        ([("abcd", 0, 0)], 4),
        ([("abcd", 0, 0), ("ab", 0, 2)], 2),
        ([("abcd", 0, 0), ("a", 0, 3)], 4),  # fewer than half of them alive: the old count stays
        ([("abcd", 0, 0), ("a", 0, 0)], 4),  # the same without any record of the dead
        ([("abcd", 0, 0), ("a", 2, 1)], 1),  # two have left and are not missing
        ([("abcd", 0, 0), ("a", 0, 3), ("abc", 0, 1)], 3),
        ([("ab", 0, 3)], 0),  # joined on the smaller side of a partition
    ],
)
def test_a_view_is_accepted_once_it_is_stable_and_half_of_the_last_one_is_alive(observations, counted):
    stable_view, now = StableView(), NOW
    for names, left, dead in observations:
        assert not stable_view.observe(tuple(names), left, dead, now)
        now += STABLE_FOR_TENTHS
        stable_view.observe(tuple(names), left, dead, now)
        now += SECOND
    assert stable_view.size == counted


def test_a_view_that_keeps_changing_is_not_accepted():
    stable_view = StableView()
    accepted = [
        stable_view.observe(tuple("abcd"[: 2 + n % 2]), 0, 0, NOW + n * STABLE_FOR_TENTHS // 2)
        for n in range(20)
    ]
    assert not any(accepted) and stable_view.size == 0


@pytest.mark.parametrize(
    ("agents", "backends", "width"), [(300, 40, 2), (40, 40, 1), (30, 60, 2), (5, 3, 2), (4, 9, 9)]
)
def test_subsets_are_even_and_leave_out_no_backend(agents, backends, width):
    names, ids = [f"a{n}" for n in range(agents)], [f"b{n}" for n in range(backends)]
    subsets = assign_subsets(names, ids, width)
    width = min(width, backends)
    assert all(len(set(subset)) == width for subset in subsets.values())
    users = {b: sum(b in subset for subset in subsets.values()) for b in ids}
    even = agents * width / backends
    assert max(users.values()) <= max(1, MAX_IMBALANCE * even + 1)
    assert min(users.values()) >= (1 if even >= 1 else 0)
    assert assign_subsets(list(reversed(names)), list(reversed(ids)), width) == subsets


@pytest.mark.parametrize("departed", ["a7", "b7"])
def test_a_departure_moves_few_assignments(departed):
    names, ids = [f"a{n}" for n in range(200)], [f"b{n}" for n in range(40)]
    before = assign_subsets(names, ids, 2)
    after = assign_subsets([n for n in names if n != departed], [b for b in ids if b != departed], 2)
    moved = sum(len(set(after[name]) - set(before[name])) for name in after)
    # Those of the departed one, and repairs. Assigning everything anew would move some 380 of 400.
    assert moved <= 40


def test_without_agents_or_backends_there_are_no_assignments():
    assert assign_subsets([], ["b"], 2) == {} and assign_subsets(["a"], [], 2) == {"a": []}
