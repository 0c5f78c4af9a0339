"""Membership in virtual time: merging of news, seeded schedules of faults, and each check on a planted
fault."""

from contextlib import suppress
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from nettledeal.membership.census import STOOD, Census
from nettledeal.membership.dealing import SLACK, deal
from nettledeal.membership.member import Member
from nettledeal.membership.packets import MOST_DATAGRAM, PING, VERSION, Packet, Refusal, decoded, encoded
from nettledeal.membership.pending import DOUBT, Suspicion
from nettledeal.membership.rumours import Rumours
from nettledeal.membership.steps import SECOND, Send, Timing
from nettledeal.membership.suspicion import ACCUSERS
from nettledeal.membership.view import MOST_INCARNATION, Order, State, View, Word
from nettledeal_simulations.membership import (
    BRISK,
    START,
    Fault,
    Rehearsal,
    Weather,
    many,
    promises,
    rehearse,
)

NOW = START
words = st.builds(
    Word,
    st.sampled_from("abc"),
    st.sampled_from(("10.0.0.1", "10.0.0.2")),
    st.just(1),
    st.integers(1, 3),
    st.integers(0, 3),
    st.integers(0, 3),
    st.sampled_from(("", "x", "y")),
)
orders = st.builds(Order, st.sampled_from("bc"), st.integers(1, 3), st.sampled_from("xy"), st.booleans())


def word(name="a", life=NOW, incarnation=0, state=State.ALIVE, by="", host="10.0.0.9"):
    return Word(name, host, 7946, life, incarnation, state, by)


@settings(max_examples=300, deadline=None)
@given(st.lists(words, max_size=12), st.lists(orders, max_size=6), st.randoms(use_true_random=False))
def test_news_in_any_order_and_number_gives_equal_views(news, told, chance):
    def merged(news, told):
        view = View()
        for one in news:
            view.merge(one, NOW)
        for one in told:
            view.ordered(one)
        return {name: held.rank for name, held in view.words.items()}, view.orders

    again = [*news, *chance.sample(news, len(news) // 2)]
    chance.shuffle(again)
    assert merged(news, told) == merged(again, chance.sample(told, len(told)) * 2)


@pytest.mark.parametrize(
    ("held", "said", "wins"),
    [
        (word(), word(state=State.SUSPECT), True),
        (word(state=State.SUSPECT), word(), False),
        (word(state=State.SUSPECT), word(incarnation=1), True),
        (word(state=State.DEAD), word(state=State.SUSPECT), False),
        (word(state=State.DEAD), word(incarnation=1), True),
        (word(incarnation=7, state=State.DEAD), word(life=NOW + 1), True),
        (word(life=NOW + 1), word(life=NOW, incarnation=9, state=State.LEFT), False),
        (word(state=State.DEAD), word(state=State.LEFT), True),
    ],
)
def test_what_overrules_what(held, said, wins):
    view = View()
    view.merge(held, NOW)
    assert (view.merge(said, NOW) is not None) is wins
    assert view.words["a"] == (said if wins else held)


def test_a_rumour_is_told_a_number_of_times_that_grows_with_the_logarithm():
    counts = {}
    for members in (10, 100, 1000, 10_000):
        rumours = Rumours()
        rumours.add("word", "a", "news", 10)
        counts[members] = 0
        while rumours.take(100, members):
            counts[members] += 1
    assert counts[100] - counts[10] == counts[1000] - counts[100] == counts[10_000] - counts[1000] > 0


def test_the_least_told_goes_first_and_none_over_the_room():
    rumours = Rumours()
    for n in range(30):
        rumours.add("word", f"m{n}", n, 10)
    first = [news for _, news in rumours.take(100, 50)]
    assert len(first) == 10
    assert not set(first) & {news for _, news in rumours.take(100, 50)}


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=80))
def test_any_bytes_are_a_message_or_refused(raw):
    with suppress(Refusal):
        assert isinstance(decoded(raw, "fleet", MOST_DATAGRAM), Packet)


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"version": VERSION + 1}, "another version"),
        ({"cluster": "other"}, "another cluster"),
        ({"kind": "greeting"}, "garbled"),
        ({"number": -1}, "garbled"),
        ({"cluster": "f" * 2000}, "oversized"),
    ],
)
def test_what_is_of_another_kind_is_refused_by_its_reason(change, why):
    told = {"version": VERSION, "cluster": "fleet", "kind": PING, "number": 1, "sender": word()} | change
    with pytest.raises(Refusal, match=why):
        decoded(encoded(Packet(**told)), "fleet", MOST_DATAGRAM)


def test_a_later_version_of_another_form_is_told_from_noise():
    noise = (b"\xc1", b"\x81\x80\x00", b"\x91" * 1190 + b"\x00", b"\x92\x01" * 590)
    later = encoded([VERSION + 1, {"all": "new"}])
    for raw, why in ((later, "another version"), *((raw, "garbled") for raw in noise)):
        with pytest.raises(Refusal, match=why):
            decoded(raw, "fleet", MOST_DATAGRAM)


def alone(name="m0", seeds=(), **fields):
    member = Member(name, ("10.0.0.0", 7946), "fleet", seeds, BRISK, Random(1), NOW, **fields)
    member.start(NOW)
    return member


def said_by(sender, kind=PING, target=None, words=()):
    return Packet(VERSION, "fleet", kind, 1, sender, target, list(words))


def test_forged_news_of_oneself_is_overruled_and_replayed_news_changes_nothing():
    member = alone()
    peer = word("m1", life=NOW - 5)
    for forged in (
        Word("m0", "10.0.0.0", 7946, member.me.life, 3, State.DEAD, "evil"),
        Word("m0", "10.0.0.0", 7946, member.me.life, MOST_INCARNATION - 1, State.SUSPECT, "evil"),
    ):
        member.heard(NOW + 10, said_by(peer, "tell", words=[forged]), peer.address)
        assert member.me.rank > forged.rank and member.me.state == State.ALIVE
    now = member.me
    for old in (word("m0", life=NOW - 9, state=State.DEAD), word("m1", life=NOW - 9, state=State.LEFT)):
        member.heard(NOW + 20, said_by(peer, "tell", words=[old]), peer.address)
    assert member.me == now and member.view.words["m1"].live


@pytest.mark.parametrize(
    "bad",
    [
        word(""),
        word("m" * 99),
        word("x", life=NOW + 999 * 3600 * SECOND),
        word("x", incarnation=1 << 40),
        word("x", state=7),
        word("x", host=""),
    ],
)
def test_news_of_no_sense_is_counted_and_changes_nothing(bad):
    member, peer = alone(), word("m1", life=NOW - 5)
    member.heard(NOW + 10, said_by(peer, "tell", words=[bad]), peer.address)
    member.heard(NOW + 10, said_by(bad), peer.address)
    assert list(member.view.words) == ["m1"]
    assert member.health.refused == {"news of no sense": 1, "sender of no sense": 1}


def test_a_claim_to_ones_name_is_asked_for_before_it_is_believed():
    member, peer = alone(), word("m1", life=NOW - 5)
    claim = word("m0", life=NOW + 50)
    step = member.heard(NOW + 10, said_by(peer, "tell", words=[claim]), peer.address)
    sent = [act for act in step.acts if isinstance(act, Send)]
    assert (PING, claim.address) in {(act.packet.kind, act.address) for act in sent}
    assert not member.silent
    now = NOW + 10
    while member.me.life <= claim.life and now < NOW + BRISK.suspicion:
        now += 100
        member.wake(now)
    # Nobody answered there: the name is its own again, with a life that overrules the claim.
    assert member.me.rank > claim.rank and not member.silent


def test_a_suspicion_shrinks_with_each_accuser_down_to_the_least():
    ends = [Suspicion(0, 100.0, {str(n) for n in range(count)}, ACCUSERS).end for count in range(1, 6)]
    assert ends[0] == DOUBT * 100 and ends[ACCUSERS] == ends[4] == 100
    assert ends[:4] == sorted(ends[:4], reverse=True) and len(set(ends[:4])) == 4


def test_who_was_late_itself_accuses_nobody_and_doubts_itself():
    rehearsal = Rehearsal(5, "late", together=SECOND)
    rehearsal.run(START + 5 * SECOND)
    member = rehearsal.nodes[0].member
    before = member.health.accused
    # All that was on its way is lost as well: what it hears of first is its own lateness.
    rehearsal.pause(0)
    rehearsal.run(START + 7 * SECOND)
    rehearsal.nodes[0].held.clear()
    rehearsal.go_on(0)
    assert member.health.late == 1 and member.health.ill > 1
    rehearsal.run(START + 8 * SECOND)
    assert member.health.accused == before


# Schedules.

SCHEDULES, PART = 1000, 20


class Meek(Member):
    """Does not refute."""

    def _of_me(self, said):
        pass


class Sure(Member):
    """Tells death without suspicion."""

    def _suspect(self, said):
        super()._suspect(said)
        self.suspicions[said.name].least = 0.0
        self._at(self.now, "suspicion", said.name)


class Patient(Member):
    """Never tells death."""

    def _suspicion(self, name):
        pass


class Stubborn(Member):
    """Calls none of the dead, so halves that were apart do not meet again."""

    def _dead(self):
        pass


class Raising(Member):
    """Takes any news for newer, so old news raises the dead."""

    def _learn(self, said, told=True):
        known = self.view.words.get(said.name)
        if known is not None and not known.live and said.state == State.ALIVE:
            said = Word(known.name, known.host, known.port, known.life, known.incarnation + 1, State.ALIVE)
        super()._learn(said, told)


@pytest.mark.parametrize("first", range(0, SCHEDULES, PART))
def test_a_thousand_schedules_keep_the_promises(first):
    # `nettledeal fleet rehearse` plays as many as one likes. In parts, which run beside each other.
    broken = {seed: rehearse(seed) for seed in range(first, first + PART)}
    assert {seed: found for seed, found in broken.items() if found} == {}


def first_two(seed):
    """Breaks a promise on two seeds."""
    return [f"broken {seed}"] if seed < 2 else rehearse(seed)


@pytest.mark.alone
def test_schedules_on_all_cores_tell_those_that_broke_a_promise():
    assert sorted(many(first_two, range(30))) == [(0, ["broken 0"]), (1, ["broken 1"])]


@pytest.mark.parametrize("build", [Meek, Patient])
def test_the_promises_do_not_hold_for_a_build_that_breaks_one(build):
    assert any(rehearse(seed, build=build) for seed in range(12))


def apart(build):
    """Two halves that take each other for dead, whole again for long."""
    rehearsal = Rehearsal(6, "apart", build=build, together=SECOND, seeds=1)
    rehearsal.play([Fault("split", 4 * SECOND, 16 * SECOND, (3, 4, 5))])
    rehearsal.run(START + 14 * SECOND)
    assert all(not node.member.view.words["m0"].live for node in rehearsal.nodes[3:])
    rehearsal.run(START + 40 * SECOND)
    return promises(rehearsal)


def test_halves_that_were_apart_meet_again_since_some_of_the_dead_are_called():
    assert apart(Member) == []
    assert apart(Stubborn) != []


def crash(count, seed, build=Member, **weather):
    """One dies amid the weather; when each other one held it for dead, and others that were."""
    rehearsal = Rehearsal(count, seed, build=build, together=SECOND)
    rehearsal.run(START + 6 * SECOND)
    rehearsal.weather = Weather(**weather)
    at = rehearsal.now
    rehearsal.crash(count - 1)
    rehearsal.run(at + 30 * SECOND)
    dead = [
        (when - at, who, change.word.name)
        for when, who, change in rehearsal.changes
        if when >= at and change.word.state == State.DEAD
    ]
    return {who: when for when, who, name in dead if name == f"m{count - 1}"}, [
        entry for entry in dead if entry[2] != f"m{count - 1}"
    ]


@pytest.mark.parametrize("count", [3, 10, 40])
@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_a_crash_is_known_to_all_within_bounded_rounds_and_nobody_else_is_told_dead(count, loss):
    known, others = crash(count, f"crash {count} {loss}", loss=loss)
    assert sorted(known) == list(range(count - 1)) and others == []
    # Probed within some rounds, suspected at most as long as by one accuser alone, told in a second.
    assert max(known.values()) <= 8 * BRISK.period + 2 * DOUBT * BRISK.suspicion + SECOND


def test_without_suspicion_the_same_weather_kills_the_living():
    assert any(crash(10, f"sure {n}", build=Sure, loss=0.4, jitter=2_000)[1] for n in range(4))


def test_hundreds_of_members_hear_of_a_crash():
    timing = Timing(period=10_000, probe=3_000, suspicion=30_000, spread=2_000, swap=10_000_000)
    rehearsal = Rehearsal(500, "large", timing)
    first = rehearsal.nodes[0].member
    # Joined before: many at once have a test of their own.
    everyone = [Word(f"m{n}", *rehearsal.address(n), START, 0, State.ALIVE) for n in range(500)]
    rehearsal.run(START)
    for node in rehearsal.nodes:
        for one in everyone:
            if one.name != node.member.name:
                node.member._learn(one, False)
    rehearsal.crash(7)
    rehearsal.run(START + 14 * SECOND)
    dead = {who for _, who, change in rehearsal.changes if change.word.state == State.DEAD}
    names = {change.word.name for _, _, change in rehearsal.changes if change.word.state == State.DEAD}
    assert first is None and names == {"m7"} and len(dead) == 499


@pytest.mark.parametrize("build", [Member, Raising])
def test_old_news_raises_none_of_the_dead(build):
    rehearsal = Rehearsal(5, "old news", build=build, together=SECOND)
    rehearsal.run(START + 5 * SECOND)
    old = rehearsal.nodes[4].member.me
    rehearsal.crash(4)
    rehearsal.run(START + 20 * SECOND)
    node = rehearsal.nodes[0]
    peer = rehearsal.nodes[1].member
    node.member.heard(rehearsal.now, peer._packet("tell", 0, words=[old]), peer.address)
    assert node.member.view.words["m4"].live is (build is Raising)


def test_cordons_of_both_halves_are_everywhere_once_they_meet_the_newest_one_holds():
    rehearsal = Rehearsal(6, "cordons", together=SECOND)
    rehearsal.play([Fault("split", 4 * SECOND, 12 * SECOND, (3, 4, 5))])
    rehearsal.run(START + 6 * SECOND)
    for n, subject, out in ((0, "b1", True), (4, "b2", True), (3, "b1", False)):
        rehearsal.run(rehearsal.now + 100)
        node = rehearsal.nodes[n]
        rehearsal._do(node, node.member.order(rehearsal.now, subject, out))
    rehearsal.run(START + 40 * SECOND)
    held = [{o.subject: o.out for o in node.member.view.orders.values()} for node in rehearsal.nodes]
    assert held == [{"b1": False, "b2": True}] * 6
    assert {order.subject for _, n, order in rehearsal.orders if n == 5} == {"b1", "b2"}


# What others go by.


@pytest.mark.parametrize(
    ("steps", "counted"),
    [
        ([("abcd", 0, 0)], 4),
        ([("abcd", 0, 0), ("ab", 0, 2)], 2),
        ([("abcd", 0, 0), ("a", 0, 3)], 4),  # fewer than half of them: the old count holds
        ([("abcd", 0, 0), ("a", 0, 0)], 4),  # the same where the dead are not remembered
        ([("abcd", 0, 0), ("a", 2, 1)], 1),  # two have left, and are not missed
        ([("abcd", 0, 0), ("a", 0, 3), ("abc", 0, 1)], 3),
        ([("ab", 0, 3)], 0),  # newly come to the smaller part of a cut fleet
    ],
)
def test_a_view_is_believed_once_it_stands_and_half_of_the_last_one_lives(steps, counted):
    census, now = Census(), NOW
    for names, gone, dead in steps:
        assert not census.look(tuple(names), gone, dead, now)
        now += STOOD
        census.look(tuple(names), gone, dead, now)
        now += SECOND
    assert census.full == counted


def test_a_view_that_goes_on_changing_is_not_believed():
    census = Census()
    looks = [census.look(tuple("abcd"[: 2 + n % 2]), 0, 0, NOW + n * STOOD // 2) for n in range(20)]
    assert not any(looks) and census.full == 0


@pytest.mark.parametrize(
    ("agents", "backends", "width"), [(300, 40, 2), (40, 40, 1), (30, 60, 2), (5, 3, 2), (4, 9, 9)]
)
def test_backends_are_dealt_evenly_and_none_is_left_out(agents, backends, width):
    names, ids = [f"a{n}" for n in range(agents)], [f"b{n}" for n in range(backends)]
    dealt = deal(names, ids, width)
    width = min(width, backends)
    assert all(len(set(part)) == width for part in dealt.values())
    held = {b: sum(b in part for part in dealt.values()) for b in ids}
    even = agents * width / backends
    assert max(held.values()) <= max(1, SLACK * even + 1)
    assert min(held.values()) >= (1 if even >= 1 else 0)
    assert deal(list(reversed(names)), list(reversed(ids)), width) == dealt


@pytest.mark.parametrize("gone", ["a7", "b7"])
def test_a_departure_moves_few_of_what_is_dealt(gone):
    names, ids = [f"a{n}" for n in range(200)], [f"b{n}" for n in range(40)]
    before = deal(names, ids, 2)
    after = deal([n for n in names if n != gone], [b for b in ids if b != gone], 2)
    moved = sum(len(set(after[name]) - set(before[name])) for name in after)
    # Those of the one that left, and repairs; all over again would be some 380 of 400.
    assert moved <= 40


def test_nothing_to_deal_is_dealt():
    assert deal([], ["b"], 2) == {} and deal(["a"], [], 2) == {"a": []}
