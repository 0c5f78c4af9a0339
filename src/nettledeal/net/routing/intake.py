"""What requests are let in: those whose words the settings know, while there is room for them."""

from __future__ import annotations

from collections.abc import Sequence
from http import HTTPStatus

from nettledeal.model import Time
from nettledeal.net.clock import SECOND
from nettledeal.net.protocol.client import ClientRequest

# How long a category is still understood that the settings name no more.
BEHIND = 5 * SECOND


class Intake:
    def __init__(
        self, categories: dict[str, int], customers: dict[str, int], waits: dict[str, Time], most: int
    ):
        """`categories` and `customers` by name, `waits` the usual time to expiry of a category, `most` the
        work items that may be open."""
        self.categories = categories
        self.waits = waits
        self.most = most
        # By name and by number; one that no setting names has no share, and 0 where nobody has one.
        self.customers = _by_name_or_number(customers)
        self.retired: dict[str, Time] = {}  # categories that the settings name no more, until when
        self.names: set[bytes] = set()  # what clients call those that are open

    def unfit(self, request: ClientRequest, at: Time) -> HTTPStatus | None:
        """What no backend could use costs them nothing."""
        if request.category and self.categories and request.category not in self.categories:
            return HTTPStatus.BAD_REQUEST
        if self.retired.get(request.category, at) < at:
            return HTTPStatus.BAD_REQUEST
        # For a backend it would be the same one, begun twice at once; and no deferral, as that one may run.
        return HTTPStatus.CONFLICT if request.name in self.names else None

    def wait(self, request: ClientRequest) -> Time:
        """How long its client waits for an answer."""
        return self.waits.get(request.category, SECOND) if request.wait is None else request.wait

    def category(self, request: ClientRequest) -> int:
        return self.categories.get(request.category, -1)

    def customer(self, request: ClientRequest) -> int:
        return self.customers.get(request.customer, -1)

    def retune(
        self,
        names: Sequence[str],
        named: int,
        customers: dict[str, int],
        waits: dict[str, Time],
        most: int,
        now: Time,
    ) -> None:
        """Other settings. `names` are the categories in the balancer's order, the first `named` of which the
        settings still name."""
        self.categories = {name: n for n, name in enumerate(names)}
        # Clients hear of a change later than this agent: what they still name is served as they know it.
        self.retired = {name: self.retired.get(name, now + BEHIND) for name in names[named:]}
        self.customers = _by_name_or_number(customers)
        known = self.waits | waits
        self.waits = {name: known[name] for name in names if name in known}
        self.most = most


def _by_name_or_number(customers: dict[str, int]) -> dict[str, int]:
    return customers | {str(n): n for n in customers.values()} | {"": 0}
