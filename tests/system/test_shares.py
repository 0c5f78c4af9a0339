"""Shared budgets stay whole in cuts of any length, on both sides together, whoever is killed meanwhile.

The roster's keeper, the agents' leases and the budgets themselves run over a control state that is committed
on the side with a majority alone. Every agent spends all that it may, all the time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import pytest
from pyrsistent import pmap

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.control.decisions import decide
from nettledeal.control.messages import EpochRecord
from nettledeal.control.state import ChangeShares, ControlState, Outcome, ShareChange
from nettledeal.dataplane.retry_budget import BudgetTerms, EqualShare, LeasedShare, RetryBudget
from nettledeal.dataplane.selection.model import ServiceProfile, Tuning
from nettledeal.dataplane.selection.warmup import RecentMembers, WarmupShares
from nettledeal.membership.node import ASSUMED_BEFORE_JOINING, MemberInfo
from nettledeal.programs.share_loop import ShareLoop
from nettledeal.shares import keeper, lease
from nettledeal.shares.keeper import RosterKeeper
from nettledeal.shares.lease import ShareLease
from nettledeal.shares.roster import LEASE_S, Roster, Share, roster_in, shares_in

STEP_S = 0.5
TERMS = BudgetTerms(ratio=0.2, slack=56.0, window_s=10.0)
MODEL = ServiceProfile("model", warmup_s=3.0, warmup_per_s=20.0)
TUNING = Tuning()
WARMUP_BOUND = MODEL.warmup_per_s * TUNING.warmup.overage + TUNING.warmup.slack
UNACKNOWLEDGED_TIMEOUT_S = 2.0  # until the members of the primary's side hold those cut off for dead
MOST_DELAY_S = 2.0  # of a roster and its confirmation on their way to an agent
COLD = ("b1", "b2")
LEAST_GAP_S = 5.5  # between troubles: no more than two kills in one window of the budget


@dataclass
class Agent:
    """One data plane. Its clock runs up to a hundredth fast or slow."""

    name: str
    started_at: float
    rate: float
    delay_s: float
    isolated: bool = False
    cut_since: float = float("inf")
    confirmed_at: float | None = None
    lease: ShareLease = field(init=False)

    def __post_init__(self) -> None:
        self.start(self.started_at)

    def start(self, now: float) -> None:
        """Begin a life that remembers nothing."""
        self.lease = ShareLease(self.name, self.clock(now))
        self.confirmed_at = None
        window_s = TERMS.window_s + TERMS.window_margin_s
        self.equal = EqualShare()
        self.equal.set_members(ASSUMED_BEFORE_JOINING, self.clock(now))
        self.budget = RetryBudget(TERMS, LeasedShare(self.lease, window_s, self.equal))
        self.warmup = WarmupShares(TUNING, RecentMembers(TUNING))
        self.warmup.lease = self.lease

    def clock(self, now: float) -> float:
        return now * self.rate

    def hear(self, now: float, roster: Roster, confirmed_at: float | None) -> None:
        """A roster, and when it was confirmed to be the newest."""
        self.lease.use(roster)
        if confirmed_at is not None:
            self.confirmed_at = self.clock(confirmed_at)
        self.lease.age_s = lambda: self._age_s(now)

    def look(self, now: float) -> None:
        """Time has passed."""
        self.lease.age_s = lambda: self._age_s(now)

    def _age_s(self, now: float) -> float | None:
        return None if self.confirmed_at is None else self.clock(now) - self.confirmed_at


class System:
    """A primary with its state, and agents, some of them cut off from it."""

    def __init__(self, seed: object, count: int):
        self.random = Random(f"{seed} shares")
        self.now = 0.0
        self.state = ControlState()
        self.versions: deque[tuple[float, Roster]] = deque([(0.0, Roster())])
        self.keeper, self.epoch = RosterKeeper(), 1
        self.agents: dict[str, Agent] = {}
        self.spent: deque[float] = deque()
        self.most_spent = 0
        self.most_warmup = 0
        self.isolated_spent = 0
        for number in range(count):
            self.add(f"a{number}")

    def add(self, name: str) -> None:
        rate = 1.0 + self.random.uniform(-0.01, 0.01)
        self.agents[name] = Agent(name, self.now, rate, self.random.random() * MOST_DELAY_S)

    def run(self, span_s: float) -> None:
        until = self.now + span_s
        while self.now < until:
            self.now += STEP_S
            self._review()
            self._tell()
            self._spend()

    def _review(self) -> None:
        members = {
            agent.name
            for agent in self.agents.values()
            if not agent.isolated or self.now < agent.cut_since + UNACKNOWLEDGED_TIMEOUT_S
        }
        changes = self.keeper.review(self.now, self.epoch, members, shares_in(self.state.entries))
        if changes:
            decision = decide(self.state, ChangeShares(changes))
            assert decision.outcome is Outcome.ACCEPTED
            self.state = self.state.after(self.state.sequence + 1, decision.changes)
            self.versions.append((self.now, roster_in(self.state.entries)))
        while len(self.versions) > 1 and self.versions[1][0] < self.now - MOST_DELAY_S - STEP_S:
            self.versions.popleft()

    def _tell(self) -> None:
        for agent in self.agents.values():
            agent.look(self.now)
            if not agent.isolated:
                heard_at = self.now - agent.delay_s
                rosters = [roster for at, roster in self.versions if at <= heard_at]
                if rosters:
                    agent.hear(self.now, rosters[-1], heard_at)

    def _spend(self) -> None:
        agents = list(self.agents.values())
        self.random.shuffle(agents)
        for agent in agents:
            own_now = agent.clock(self.now)
            while agent.budget.try_spend("model", own_now):
                self.spent.append(self.now)
                self.isolated_spent += agent.isolated
        while self.spent and self.spent[0] <= self.now - TERMS.window_s:
            self.spent.popleft()
        self.most_spent = max(self.most_spent, len(self.spent))
        for backend in COLD:
            shares = [agent.warmup.share(backend, MODEL, agent.clock(self.now)) for agent in agents]
            self.most_warmup = max(self.most_warmup, sum(shares))

    # Troubles

    def cut(self, share: float) -> list[Agent]:
        """A part of the agents loses the primary; what they hold of the state stays."""
        chosen = [agent for agent in self.agents.values() if self.random.random() < share]
        for agent in chosen:
            agent.isolated, agent.cut_since = True, self.now
        return chosen

    def heal(self) -> None:
        for agent in self.agents.values():
            agent.isolated = False

    def kill(self, agents: list[Agent]) -> None:
        """Each starts anew; a core machine on its side still has the state, whose age nobody knows there."""
        roster = self.versions[0][1]
        for agent in agents:
            held = agent.lease.roster
            agent.start(self.now)
            if agent.isolated:
                agent.lease.use(held)
            else:
                agent.hear(self.now, roster, None)

    def fail_over(self) -> None:
        """Another core machine is the primary from here on."""
        self.keeper, self.epoch = RosterKeeper(), self.epoch + 1

    @property
    def kept(self) -> bool:
        return self.most_spent <= TERMS.slack and self.most_warmup <= WARMUP_BOUND


def one_day(seed: int, count: int, length_s: float = 200.0) -> System:
    """A calm start, then a cut of more than a minute in which everything may be killed."""
    system = System(f"{seed} {count}", count)
    system.run(20.0)
    cut_off = system.cut(system.random.choice((0.2, 0.5, 0.8)))
    until = system.now + length_s
    number = 0
    while system.now < until:
        system.run(system.random.uniform(LEAST_GAP_S, 40.0))
        trouble = system.random.choice(("side", "other side", "all", "fail over", "new", "gone", "nothing"))
        others = [agent for agent in system.agents.values() if not agent.isolated]
        match trouble:
            case "side":
                system.kill(cut_off)
            case "other side":
                system.kill(others)
            case "all":
                system.kill([*cut_off, *others])
                system.fail_over()
            case "fail over":
                system.fail_over()
            case "new":
                number += 1
                system.add(f"new{number}")
            case "gone" if len(others) > 1:
                del system.agents[others[0].name]
    system.heal()
    system.run(90.0)
    return system


@pytest.mark.parametrize(
    ("seed", "count"),
    [(seed, 3) for seed in range(6)] + [(seed, 11) for seed in range(6)] + [(1, 60), (2, 300)],
)
def test_both_sides_of_a_cut_together_stay_within_the_budgets(seed, count):
    system = one_day(seed, count)
    assert system.most_spent <= TERMS.slack
    assert system.most_warmup <= WARMUP_BOUND


@pytest.mark.parametrize("count", [3, 11, 60])
def test_a_side_alone_still_spends_and_after_the_cut_all_have_equal_parts(count):
    system = System(count, count)
    system.run(20.0)
    system.cut(0.5)
    system.run(LEASE_S + 5.0)
    system.isolated_spent = 0
    system.run(60.0)
    assert (system.isolated_spent > 0) == (TERMS.slack * TERMS.slack_margin * lease.ISOLATED_SHARE >= count)
    system.heal()
    system.run(2 * keeper.EXPIRED_AFTER_S)
    assert roster_in(system.state.entries).granted == set(system.agents)


def never_expires(monkeypatch) -> None:
    monkeypatch.setattr(ShareLease, "in_touch", True)


def removed_at_once(monkeypatch) -> None:
    monkeypatch.setattr(keeper, "EXPIRED_AFTER_S", 0.0)


def granted_at_once(monkeypatch) -> None:
    review = RosterKeeper.review

    def granting(self, now, epoch, members, shares):
        changes = review(self, now, epoch, members, shares)
        return tuple(
            ShareChange(change.name, change.before, Share.GRANTED.value)
            if change.after == Share.JOINING.value
            else change
            for change in changes
        )

    monkeypatch.setattr(RosterKeeper, "review", granting)


def spends_after_a_start(monkeypatch) -> None:
    monkeypatch.setattr(lease, "STARTING_SHARE", 1.0)


def counts_by_silence(monkeypatch) -> None:
    """Who is not seen counts no more, as where each process counts the members that it sees."""
    monkeypatch.setattr(RosterKeeper, "_change", _dropping)


def _dropping(self, now, name, share):
    return None if name in self._members else ShareChange(name, share.value, None)


PLANTED = [never_expires, removed_at_once, granted_at_once, spends_after_a_start, counts_by_silence]


@pytest.mark.parametrize("planted", PLANTED, ids=lambda plant: plant.__name__)
def test_a_planted_fault_is_caught(monkeypatch, planted: Callable):
    planted(monkeypatch)
    assert not all(one_day(seed, count).kept for seed in range(8) for count in (3, 11))


def test_a_change_of_what_is_no_longer_so_changes_nothing():
    state = ControlState(entries=pmap({"share/a": b"g"}))
    for change in (ShareChange("a", b"j", b"g"), ShareChange("b", b"g", None), ShareChange("a", None, b"j")):
        decision = decide(state, ChangeShares((ShareChange("c", None, b"j"), change)))
        assert (decision.outcome, decision.changes) == (Outcome.CONFLICT, ())


def test_a_share_that_a_later_release_knows_is_counted_and_not_spent():
    roster = roster_in({"share/a": b"g", "share/b": b"later", "route/x": b""})
    assert (roster.names, roster.granted) == (("a", "b"), frozenset({"a"}))


def test_without_a_roster_an_agent_goes_by_the_members_that_it_sees():
    agent = Agent("a", 0.0, 1.0, 0.0)
    assert not agent.lease.known
    share = agent.budget.share
    share.fallback.set_members(4, 0.0)
    assert share.amount("model", 40.0, 100.0) == 10.0
    agent.lease.use(roster_in({"share/b": b"g"}))
    assert share.amount("model", 40.0, 100.0) == 0.0


class Node:
    """A control node that commits at once what it is given, or refuses it."""

    def __init__(self, primary: bool = True, refuses: bool = False):
        self.is_primary = primary
        self.epoch_record = EpochRecord(3, "core-seed", ("core-seed",), ())
        self.state = ControlState()
        self.refuses = refuses
        self.commands: list[ChangeShares] = []

    def submit(self, command: ChangeShares) -> Outcome:
        self.commands.append(command)
        if self.refuses:
            raise ServingError(ErrorCode.UNAVAILABLE, "submit")
        decision = decide(self.state, command)
        self.state = self.state.after(self.state.sequence + 1, decision.changes)
        return decision.outcome


class Members:
    """A membership of an edge that stays, one that leaves, and a core."""

    def members(self) -> list[MemberInfo]:
        return [
            MemberInfo(name, role, "z", "r", "h", None, True, leaving, False, 1)
            for name, role, leaving in (("e1", "edge", False), ("e2", "edge", True), ("c1", "core", False))
        ]


@pytest.mark.parametrize("refuses", [False, True])
def test_the_primary_enters_the_data_planes_that_stay(refuses):
    node = Node(refuses=refuses)
    loop = ShareLoop(node, Members())
    for second in range(4):
        loop.review(float(second))
    assert shares_in(node.state.entries) == ({} if refuses else {"e1": Share.GRANTED})
    assert len(node.commands) == (2 if refuses else 1)


def test_who_is_not_the_primary_changes_nothing():
    node = Node(primary=False)
    loop = ShareLoop(node, Members())
    for second in range(4):
        loop.review(float(second))
    assert node.commands == []
