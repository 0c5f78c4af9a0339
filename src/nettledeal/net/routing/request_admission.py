"""What requests are let in: those whose words the settings know, while there is room for them."""

from __future__ import annotations

from collections.abc import Sequence
from http import HTTPStatus

from nettledeal.model import Time
from nettledeal.net.clock import SECOND
from nettledeal.net.protocol.client import ClientRequest

# How long a category is still understood that the settings name no more.
RETIRED_CATEGORY_TENTHS = 5 * SECOND


class RequestAdmission:
    def __init__(
        self,
        categories: dict[str, int],
        customers: dict[str, int],
        default_timeouts: dict[str, Time],
        max_open: int,
    ):
        """`categories` and `customers` by name, `waits` the usual time to expiry of a category, `most` the
        work items that may be open."""
        self.categories = categories
        self.default_timeouts = default_timeouts
        self.max_open = max_open
        # By name and by number; one that no setting names has no share, and 0 where nobody has one.
        self.customers = _by_name_or_number(customers)
        self.retired_until: dict[str, Time] = {}  # categories that the settings name no more, until when
        self.open_request_ids: set[bytes] = set()  # what clients call those that are open

    def rejection_status(self, request: ClientRequest, received_at: Time) -> HTTPStatus | None:
        """What no backend could use costs them nothing."""
        if request.category and self.categories and request.category not in self.categories:
            return HTTPStatus.BAD_REQUEST
        if self.retired_until.get(request.category, received_at) < received_at:
            return HTTPStatus.BAD_REQUEST
        # For a backend it would be the same one, begun twice at once; and no deferral, as that one may run.
        return HTTPStatus.CONFLICT if request.request_id in self.open_request_ids else None

    def timeout(self, request: ClientRequest) -> Time:
        """How long its client waits for an answer."""
        return (
            self.default_timeouts.get(request.category, SECOND)
            if request.timeout is None
            else request.timeout
        )

    def category_number(self, request: ClientRequest) -> int:
        return self.categories.get(request.category, -1)

    def customer_number(self, request: ClientRequest) -> int:
        return self.customers.get(request.customer, -1)

    def update_settings(
        self,
        names: Sequence[str],
        named_count: int,
        customers: dict[str, int],
        default_timeouts: dict[str, Time],
        max_open: int,
        now: Time,
    ) -> None:
        """Other settings. `names` are the categories in the balancer's order, the first `named` of which the
        settings still name."""
        self.categories = {name: n for n, name in enumerate(names)}
        # Clients hear of a change later than this agent: what they still name is served as they know it.
        self.retired_until = {
            name: self.retired_until.get(name, now + RETIRED_CATEGORY_TENTHS) for name in names[named_count:]
        }
        self.customers = _by_name_or_number(customers)
        all_timeouts = self.default_timeouts | default_timeouts
        self.default_timeouts = {name: all_timeouts[name] for name in names if name in all_timeouts}
        self.max_open = max_open


def _by_name_or_number(customers: dict[str, int]) -> dict[str, int]:
    return customers | {str(n): n for n in customers.values()} | {"": 0}
