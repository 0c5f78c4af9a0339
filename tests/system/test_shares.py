"""Shared budgets hold during partitions of any length, both sides combined, whichever processes are killed.

The roster updater, the agents' leases and the budgets run over a control state that is committed only on the
majority's side. Every agent always spends all that it may.
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
from nettledeal.membership.member_info import MemberInfo
from nettledeal.membership.node import ASSUMED_BEFORE_JOINING
from nettledeal.programs.share_loop import ShareLoop
from nettledeal.shares import lease, roster_updater
from nettledeal.shares.lease import ShareLease
from nettledeal.shares.roster import LEASE_S, Roster, Share, roster_in, shares_in
from nettledeal.shares.roster_updater import RosterUpdater

STEP_S = 0.5
TERMS = BudgetTerms(ratio=0.2, slack=56.0, window_s=10.0)
MODEL = ServiceProfile("model", warmup_s=3.0, warmup_per_s=20.0)
TUNING = Tuning()
WARMUP_BOUND = MODEL.warmup_per_s * TUNING.warmup.overage + TUNING.warmup.slack
DEATH_DETECTION_S = 2.0  # until members on the primary's side consider isolated ones dead
MAX_DELAY_S = 2.0  # of a roster and its confirmation on the way to an agent
COLD_BACKENDS = ("b1", "b2")
MIN_FAULT_GAP_S = 5.5  # at most two kills in one window of the budget


@dataclass
class Agent:
    """One data plane. Its clock runs up to 1 % fast or slow."""

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
        """Start a new incarnation without any state."""
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

    def receive_roster(self, now: float, roster: Roster, confirmed_at: float | None) -> None:
        """Receive a roster and the time at which it was confirmed to be the newest."""
        self.lease.update_roster(roster)
        if confirmed_at is not None:
            self.confirmed_at = self.clock(confirmed_at)
        self.lease.age_s = lambda: self._age_s(now)

    def update_time(self, now: float) -> None:
        """Update the time on which the lease's age depends."""
        self.lease.age_s = lambda: self._age_s(now)

    def _age_s(self, now: float) -> float | None:
        return None if self.confirmed_at is None else self.clock(now) - self.confirmed_at


class System:
    """A primary with its state, and agents, of which some may be isolated from it."""

    def __init__(self, seed: object, count: int):
        self.random = Random(f"{seed} shares")
        self.now = 0.0
        self.state = ControlState()
        self.versions: deque[tuple[float, Roster]] = deque([(0.0, Roster())])
        self.roster_updater, self.epoch = RosterUpdater(), 1
        self.agents: dict[str, Agent] = {}
        self.spent: deque[float] = deque()
        self.most_spent = 0
        self.most_warmup = 0
        self.isolated_spent = 0
        for number in range(count):
            self.add(f"a{number}")

    def add(self, name: str) -> None:
        rate = 1.0 + self.random.uniform(-0.01, 0.01)
        self.agents[name] = Agent(name, self.now, rate, self.random.random() * MAX_DELAY_S)

    def run(self, span_s: float) -> None:
        until = self.now + span_s
        while self.now < until:
            self.now += STEP_S
            self._review()
            self._deliver_rosters()
            self._spend()

    def _review(self) -> None:
        members = {
            agent.name
            for agent in self.agents.values()
            if not agent.isolated or self.now < agent.cut_since + DEATH_DETECTION_S
        }
        changes = self.roster_updater.review(self.now, self.epoch, members, shares_in(self.state.entries))
        if changes:
            decision = decide(self.state, ChangeShares(changes))
            assert decision.outcome is Outcome.ACCEPTED
            self.state = self.state.after(self.state.sequence + 1, decision.changes)
            self.versions.append((self.now, roster_in(self.state.entries)))
        while len(self.versions) > 1 and self.versions[1][0] < self.now - MAX_DELAY_S - STEP_S:
            self.versions.popleft()

    def _deliver_rosters(self) -> None:
        for agent in self.agents.values():
            agent.update_time(self.now)
            if not agent.isolated:
                heard_at = self.now - agent.delay_s
                rosters = [roster for at, roster in self.versions if at <= heard_at]
                if rosters:
                    agent.receive_roster(self.now, rosters[-1], heard_at)

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
        for backend in COLD_BACKENDS:
            shares = [agent.warmup.share(backend, MODEL, agent.clock(self.now)) for agent in agents]
            self.most_warmup = max(self.most_warmup, sum(shares))

    # Faults

    def cut(self, share: float) -> list[Agent]:
        """Isolate a fraction of the agents from the primary; they keep the state that they have."""
        chosen = [agent for agent in self.agents.values() if self.random.random() < share]
        for agent in chosen:
            agent.isolated, agent.cut_since = True, self.now
        return chosen

    def heal(self) -> None:
        for agent in self.agents.values():
            agent.isolated = False

    def kill(self, agents: list[Agent]) -> None:
        """Restart each agent; a core machine on its side still has the state, but of unknown age."""
        roster = self.versions[0][1]
        for agent in agents:
            previous_roster = agent.lease.roster
            agent.start(self.now)
            if agent.isolated:
                agent.lease.update_roster(previous_roster)
            else:
                agent.receive_roster(self.now, roster, None)

    def fail_over(self) -> None:
        """Make another core machine the primary."""
        self.roster_updater, self.epoch = RosterUpdater(), self.epoch + 1

    @property
    def within_budgets(self) -> bool:
        return self.most_spent <= TERMS.slack and self.most_warmup <= WARMUP_BOUND


def run_day(seed: int, count: int, length_s: float = 200.0) -> System:
    """A start without faults, then a partition of more than a minute in which any process may be killed."""
    system = System(f"{seed} {count}", count)
    system.run(20.0)
    cut_off = system.cut(system.random.choice((0.2, 0.5, 0.8)))
    until = system.now + length_s
    number = 0
    while system.now < until:
        system.run(system.random.uniform(MIN_FAULT_GAP_S, 40.0))
        fault = system.random.choice(("side", "other side", "all", "fail over", "new", "gone", "nothing"))
        others = [agent for agent in system.agents.values() if not agent.isolated]
        match fault:
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
def test_both_sides_of_a_partition_together_stay_within_the_budgets(seed, count):
    system = run_day(seed, count)
    assert system.most_spent <= TERMS.slack
    assert system.most_warmup <= WARMUP_BOUND


@pytest.mark.parametrize("count", [3, 11, 60])
def test_an_isolated_side_still_spends_and_all_have_equal_shares_after_the_partition(count):
    system = System(count, count)
    system.run(20.0)
    system.cut(0.5)
    system.run(LEASE_S + 5.0)
    system.isolated_spent = 0
    system.run(60.0)
    assert (system.isolated_spent > 0) == (
        TERMS.slack * TERMS.slack_safety_factor * lease.ISOLATED_FRACTION >= count
    )
    system.heal()
    system.run(2 * roster_updater.GRANT_EXPIRED_AFTER_S)
    assert roster_in(system.state.entries).granted == set(system.agents)


def lease_never_expires(monkeypatch) -> None:
    monkeypatch.setattr(ShareLease, "is_confirmed", True)


def entry_removed_at_once(monkeypatch) -> None:
    monkeypatch.setattr(roster_updater, "GRANT_EXPIRED_AFTER_S", 0.0)


def share_granted_at_once(monkeypatch) -> None:
    review = RosterUpdater.review

    def granting(self, now, epoch, members, shares):
        changes = review(self, now, epoch, members, shares)
        return tuple(
            ShareChange(change.name, change.before, Share.GRANTED.value)
            if change.after == Share.JOINING.value
            else change
            for change in changes
        )

    monkeypatch.setattr(RosterUpdater, "review", granting)


def full_share_after_a_start(monkeypatch) -> None:
    monkeypatch.setattr(lease, "FIRST_WINDOW_FRACTION", 1.0)


def silent_members_not_counted(monkeypatch) -> None:
    """Unseen members aren't counted, as if each process counted only the members that it sees."""
    monkeypatch.setattr(RosterUpdater, "_change_for", _dropping)


def _dropping(self, now, name, share):
    return None if name in self._members else ShareChange(name, share.value, None)


PLANTED = [
    lease_never_expires,
    entry_removed_at_once,
    share_granted_at_once,
    full_share_after_a_start,
    silent_members_not_counted,
]


@pytest.mark.parametrize("planted", PLANTED, ids=lambda plant: plant.__name__)
def test_a_planted_bug_is_detected(monkeypatch, planted: Callable):
    planted(monkeypatch)
    assert not all(run_day(seed, count).within_budgets for seed in range(8) for count in (3, 11))


def test_a_change_of_an_outdated_entry_changes_nothing():
    state = ControlState(entries=pmap({"share/a": b"g"}))
    for change in (ShareChange("a", b"j", b"g"), ShareChange("b", b"g", None), ShareChange("a", None, b"j")):
        decision = decide(state, ChangeShares((ShareChange("c", None, b"j"), change)))
        assert (decision.outcome, decision.changes) == (Outcome.CONFLICT, ())


def test_an_entry_of_a_later_release_is_counted_and_not_granted():
    roster = roster_in({"share/a": b"g", "share/b": b"later", "route/x": b""})
    assert (roster.names, roster.granted) == (("a", "b"), frozenset({"a"}))


def test_without_a_roster_an_agent_uses_the_members_that_it_sees():
    agent = Agent("a", 0.0, 1.0, 0.0)
    assert not agent.lease.has_roster
    share = agent.budget.share
    share.fallback.set_members(4, 0.0)
    assert share.amount("model", 40.0, 100.0) == 10.0
    agent.lease.update_roster(roster_in({"share/b": b"g"}))
    assert share.amount("model", 40.0, 100.0) == 0.0


class Node:
    """A control node that commits every command at once or refuses it."""

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
    """A membership with an edge that stays, an edge that is leaving, and a core machine."""

    def members(self) -> list[MemberInfo]:
        return [
            MemberInfo(name, role, "z", "r", "h", None, True, leaving, False, 1)
            for name, role, leaving in (("e1", "edge", False), ("e2", "edge", True), ("c1", "core", False))
        ]


@pytest.mark.parametrize("refuses", [False, True])
def test_the_primary_adds_the_data_planes_that_stay(refuses):
    node = Node(refuses=refuses)
    loop = ShareLoop(node, Members())
    for second in range(4):
        loop.review(float(second))
    assert shares_in(node.state.entries) == ({} if refuses else {"e1": Share.GRANTED})
    assert len(node.commands) == (2 if refuses else 1)


def test_a_node_that_is_not_the_primary_changes_nothing():
    node = Node(primary=False)
    loop = ShareLoop(node, Members())
    for second in range(4):
        loop.review(float(second))
    assert node.commands == []
