"""Joining through seeds, and periodic full view exchanges (push-pull), also with dead members."""

from __future__ import annotations

from math import log
from zlib import crc32

from nettledeal.membership.actions import SECOND, Joined, StreamRequest
from nettledeal.membership.member_base import MemberBase
from nettledeal.membership.packets import COMPARE, SAME, SYNC_REQUEST, SYNC_RESPONSE, Packet
from nettledeal.membership.view import MemberRecord, State
from nettledeal.net.address import Address

# After a member held dead turns out to be alive: this many extra exchanges, about this many protocol periods
# apart, and no further extra ones within this share of the regular exchange interval.
RETURN_EXCHANGES, RETURN_PERIODS, RETURN_QUIET_SHARE = 3, 4, 0.5
# Two groups have met if a full view names so many unknown members, and this share of those known before: one
# of these is told by an exchange of views, as gossip about that many would take long.
MIN_MET, MET_SHARE = 3, 0.25
# Longest delay between two attempts of a member that has not joined to contact seeds.
MAX_JOIN_BACKOFF_TENTHS = SECOND
# How often each member decides whom it contacts of those absent, in protocol periods.
RETRY_CHECK_PERIODS = 2.5
# How often the group as a whole contacts an absent member, in protocol periods: at first, and at the least.
MIN_RETRY_PERIODS, MAX_RETRY_PERIODS = 1.25, 10
# In between, the interval is this share of the time for which the member has been absent.
RETRY_SHARE_OF_ABSENCE = 0.1


class JoiningMixin(MemberBase):
    """Full view exchanges over streams."""

    def _join(self) -> None:
        """Contact seeds with exponential backoff until another member is known, and then that one until views
        were exchanged: the answer of a seed that passed this member's record on may have been lost."""
        self.joining = bool(self.seeds) and not (self.ring and self.joined)
        if self.joining:
            if self.ring:
                self._sync_with_random(self.ring)
            else:
                self._sync_with_seeds()
            self._schedule(self.now + self._jittered(self.join_backoff), "join")
            self.join_backoff = min(MAX_JOIN_BACKOFF_TENTHS, 2 * self.join_backoff)

    def _rejoin(self) -> None:
        """Contact seeds that have changed, now and until another member is known."""
        if self.joining:
            self._sync_with_seeds()
        else:
            self._join()

    def _sync_with_seeds(self) -> None:
        for seed in self.rng.sample(self.seeds, min(2, len(self.seeds))):
            self._sync_with(seed)

    def _sync_round(self) -> None:
        if self.ring:
            size_factor = max(0.0, log(max(1, len(self.ring)) / 32, 2))
            self.sync_interval = min(round(self.timing.swap * (1 + size_factor)), 2 * self.sync_interval)
        self._schedule(self.now + self._jittered(self.sync_interval), "sync_round")
        expired = [
            record.name
            for record in self.view.records.values()
            if not record.live and self.now - self.view.state_since[record.name] > self.timing.keep
        ]
        self.view.remove(expired)
        self.view.drop_lifted_orders(self.now - self.timing.keep)
        self._exchange_views(self._gossip_targets(1) if self.timing.compare else self._sample(self.ring, 1))

    def _exchange_views(self, members: list[MemberRecord]) -> None:
        """Exchange full views; with `Timing.compare` only if the digests of the two views differ."""
        for member in members:
            if self.timing.compare:
                self.actions.append(
                    StreamRequest(member.address, self._make_packet(COMPARE, self._view_digest()))
                )
            else:
                self._sync_with(member.address)

    def _on_dead_member_returned(self) -> None:
        """A member held dead turned out to be alive, without a restart. After a partition, its refutation and
        the updates that come with it stop being gossiped while some members still hold their senders dead;
        those members would learn of them only in the next regular exchange. So extra exchanges are
        scheduled."""
        if self.now < self.last_return_at + round(RETURN_QUIET_SHARE * self.timing.swap):
            return
        self.last_return_at = self.now
        for number in range(1, RETURN_EXCHANGES + 1):
            self._schedule(
                self.now + self._jittered(number * RETURN_PERIODS * self.timing.period), "reconcile"
            )

    def _tell_former_group(self, known_before: list[str]) -> None:
        """Exchange views with one of those known before, if a full view has just named another group."""
        met = len(self.ring) - len(known_before)
        if self.joined and known_before and met >= max(MIN_MET, MET_SHARE * len(known_before)):
            present = set(self.ring)
            former = [name for name in known_before if name in present]
            self._exchange_views(self._sample(former, 1))

    def _reconcile(self) -> None:
        # With a member of any zone: members of one zone were cut off together and miss the same updates.
        self._exchange_views(self._sample(self.ring, 1))

    def _try_absent_members(self) -> None:
        """Now and then contact members that are dead, since after a partition each side holds the other one
        dead, or have announced their end: they may be back with seeds that lead to no member of this side.

        Each member contacts an absent one with a probability such that the group does so at the intervals
        given above: those that went lately often, as they may be back at any moment, the others seldom.
        """
        self._schedule_retry_check()
        check_interval = RETRY_CHECK_PERIODS * self.timing.period
        due = [
            address
            for address, interval in sorted(self._retry_intervals().items())
            if self.rng.random() < check_interval / (interval * (len(self.ring) + 1))
        ]
        if due:
            self._sync_with(self.rng.choice(due))
        if not self.ring and self.joined:
            self._sync_with_seeds()  # no other member is left

    def _schedule_retry_check(self) -> None:
        interval = round(RETRY_CHECK_PERIODS * self.timing.period)
        self._schedule(self.now + self._jittered(interval), "try_absent_members")

    def _retry_intervals(self) -> dict[Address, float]:
        """How often the group contacts each absent member, and each seed that is no member."""
        least, most = MIN_RETRY_PERIODS * self.timing.period, MAX_RETRY_PERIODS * self.timing.period
        present = {self.view.records[name].address for name in self.ring}
        absent_since = {seed: since for seed, since in self.seed_since.items() if seed not in present}
        for record in self.view.records.values():
            if _may_return(record):
                absent_since[record.address] = self.view.state_since[record.name]
        return {
            address: min(most, max(least, RETRY_SHARE_OF_ABSENCE * (self.now - since)))
            for address, since in absent_since.items()
        }

    def _sync_with_random(self, names: list[str]) -> None:
        for member in self._sample(names, 1):
            self._sync_with(member.address)

    def _sync_with(self, address: Address) -> None:
        self.sequence_number += 1
        self.actions.append(
            StreamRequest(address, self._make_full_view_packet(SYNC_REQUEST, self.sequence_number))
        )

    def _view_digest(self) -> int:
        """Equal for two members with the same records of live members; an update still being gossiped makes
        it differ."""
        records = [record for record in (*self.view.records.values(), self.own_record) if record.live]
        known = sorted(
            (record.name, record.started_at, record.incarnation, int(record.state)) for record in records
        )
        return crc32(repr(known).encode())

    def _views_exchanged(self) -> None:
        if not self.joined:
            self.joined = True
            self.actions.append(Joined())

    def _answer_comparison(self, packet: Packet) -> Packet:
        if packet.sequence_number != self._view_digest():
            return self._make_full_view_packet(SYNC_RESPONSE, packet.sequence_number)
        self._views_exchanged()
        return self._make_packet(SAME, packet.sequence_number)

    def _finish_comparison(self, request: StreamRequest) -> None:
        """The answer to a digest comparison was a full view, and has been merged. The other member still
        lacks what is known only here, so the exchange is completed."""
        if request.packet.kind == COMPARE:
            self._sync_with(request.address)

    def _make_full_view_packet(self, kind: str, sequence_number: int) -> Packet:
        # Members long dead are left out, or members would pass their records to each other for ever.
        recent = [
            record
            for record in self.view.records.values()
            if record.live or self.now - self.view.state_since[record.name] < self.timing.keep // 2
        ]
        return self._make_packet(
            kind, sequence_number, records=recent, orders=list(self.view.orders.values())
        )


def _may_return(record: MemberRecord) -> bool:
    """Whether it is dead or has announced its end itself; not if an operator had it forgotten."""
    return record.state == State.DEAD or (record.state == State.LEFT and not record.accuser)
