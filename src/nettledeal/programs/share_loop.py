"""The loop that keeps the share roster in step with the members while this machine is the primary."""

from __future__ import annotations

import time

import gevent

from nettledeal.common.errors import ServingError
from nettledeal.common.logs import log_event
from nettledeal.control.node import ControlNode
from nettledeal.control.state import ChangeShares
from nettledeal.membership.member_info import Role
from nettledeal.membership.node import MembershipNode
from nettledeal.shares.roster import shares_in
from nettledeal.shares.roster_updater import RosterUpdater

REVIEW_INTERVAL_S = 1.0


class ShareLoop:
    """Reviews the roster once a second and submits what is to change."""

    def __init__(self, node: ControlNode, membership: MembershipNode):
        self._node = node
        self._membership = membership
        self._roster_updater = RosterUpdater()
        self._running: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin, in a greenlet."""
        self._running = gevent.spawn(self._run)

    def stop(self) -> None:
        """End; a change that has been submitted may still be committed."""
        if self._running is not None:
            self._running.kill(block=False)

    def review(self, now: float) -> None:
        """Look at the roster once."""
        record = self._node.epoch_record
        if not self._node.is_primary or record is None:
            self._roster_updater.not_primary()
            return
        staying = {
            member.name
            for member in self._membership.members()
            if member.role == Role.EDGE and not member.leaving
        }
        changes = self._roster_updater.review(now, record.epoch, staying, shares_in(self._node.state.entries))
        if changes:
            self._submit(ChangeShares(changes))

    def _submit(self, command: ChangeShares) -> None:
        try:
            outcome = self._node.submit(command)
        except ServingError as error:
            # Not taken, or not known yet: the next review goes by what has been committed.
            log_event("shares:not_changed", reason=str(error))
        else:
            log_event("shares:changed", entries=len(command.changes), outcome=str(outcome))

    def _run(self) -> None:
        while True:
            gevent.sleep(REVIEW_INTERVAL_S)
            self.review(time.monotonic())
