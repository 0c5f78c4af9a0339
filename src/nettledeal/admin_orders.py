"""What an operator's order does to the agent, from its word to the moment at which it is in force."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from nettledeal.net.protocol.admin_commands import AdminCommand, CommandRefused
from nettledeal.net.routing.router import Router
from nettledeal.net.transport.listener import Listener
from nettledeal.siblings import Siblings

if TYPE_CHECKING:
    from nettledeal.peers import Peers


class AdminOrders:
    def __init__(
        self,
        router: Router,
        listener: Listener,
        siblings: Siblings,
        peers: Peers | None,
        stopping: Callable[[], bool],
    ):
        self.router, self.listener, self.siblings, self.peers = router, listener, siblings, peers
        self.stopping = stopping

    def carry_out(self, order: AdminCommand) -> str:
        """What is said of it; returns once it is in force, and raises `Refused` where it will not be."""
        match order.name:
            case "health":
                return "draining" if self.listener.quiesced else "serving"
            case "quiesce":
                self.listener.quiesce()
                return "draining"
            case "resume":
                return self._resume()
            case "members":
                return msgspec.json.encode(self._members().members()).decode()
            case "forget":
                return self._forget(order.argument)
            case _:
                return self._maintain(order.argument, out=order.name == "cordon")

    def _resume(self) -> str:
        if self.stopping():
            raise CommandRefused("the agent is ending")
        self.listener.resume()
        return "serving"

    def _maintain(self, backend: str, out: bool) -> str:
        call = self.router.cordon if out else self.router.uncordon
        if not call(backend):
            raise CommandRefused("no such backend")
        if self.peers is not None:
            self.peers.publish_order(backend, out)
        # It is in force once it is in all processes that are this agent.
        if not self.siblings.confirm(backend, out):
            raise CommandRefused("in force in this process, not confirmed by the other one yet")
        return backend

    def _members(self) -> Peers:
        if self.peers is None:
            raise CommandRefused("this agent does not talk with others: the key membership is not set")
        return self.peers

    def _forget(self, name: str) -> str:
        if not self._members().forget(name):
            raise CommandRefused("no dead member of that name")
        return name
