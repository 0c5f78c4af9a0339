"""Executes the commands that operators send to the agent's admin port."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from nettledeal.net.protocol.admin_commands import AdminCommand, CommandRefused
from nettledeal.net.routing.router import Router
from nettledeal.net.transport.listener import Listener
from nettledeal.sibling_processes import SiblingProcesses

if TYPE_CHECKING:
    from nettledeal.peers import Peers


class AdminCommandHandler:
    def __init__(
        self,
        router: Router,
        listener: Listener,
        siblings: SiblingProcesses,
        peers: Peers | None,
        stopping: Callable[[], bool],
    ):
        self.router, self.listener, self.siblings, self.peers = router, listener, siblings, peers
        self.stopping = stopping

    def execute(self, command: AdminCommand) -> str:
        """Execute a command and return the text of its answer once it is in force.

        Raises CommandRefused if it is not carried out."""
        match command.name:
            case "health":
                return "draining" if self.listener.quiesced else "serving"
            case "quiesce":
                self.listener.quiesce()
                return "draining"
            case "resume":
                return self._resume()
            case "members":
                return msgspec.json.encode(self._require_peers().members()).decode()
            case "forget":
                return self._forget(command.argument)
            case _:
                return self._set_cordon(command.argument, cordoned=command.name == "cordon")

    def _resume(self) -> str:
        if self.stopping():
            raise CommandRefused("the agent is ending")
        self.listener.resume()
        return "serving"

    def _set_cordon(self, backend: str, cordoned: bool) -> str:
        apply = self.router.cordon if cordoned else self.router.uncordon
        if not apply(backend):
            raise CommandRefused("no such backend")
        if self.peers is not None:
            self.peers.publish_order(backend, cordoned)
        # The order counts as in force only once it is so in all processes of this agent.
        if not self.siblings.confirm_order(backend, cordoned):
            raise CommandRefused("in force in this process, not confirmed by the other one yet")
        return backend

    def _require_peers(self) -> Peers:
        if self.peers is None:
            raise CommandRefused("this agent does not talk with others: the key membership is not set")
        return self.peers

    def _forget(self, name: str) -> str:
        if not self._require_peers().forget(name):
            raise CommandRefused("no dead member of that name")
        return name
