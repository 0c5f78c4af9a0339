"""Checks whether a request may be accepted and maps its category and customer to the balancer's numbers."""

from __future__ import annotations

from collections.abc import Sequence
from http import HTTPStatus

from nettledeal.model import Time
from nettledeal.net.clock import SECOND
from nettledeal.net.protocol.client import ClientRequest

# How long a category is still accepted after it was removed from the settings (Time units).
RETIRED_CATEGORY_TENTHS = 5 * SECOND


class RequestAdmission:
    def __init__(
        self,
        categories: dict[str, int],
        customers: dict[str, int],
        default_timeouts: dict[str, Time],
        max_open: int,
    ):
        """`categories` and `customers` map names to numbers, `default_timeouts` gives the timeout of a
        category for requests that carry none, and `max_open` limits the open work items."""
        self.categories = categories
        self.default_timeouts = default_timeouts
        self.max_open = max_open
        # Keyed by name and by number. A customer that the settings don't name has no share; an empty name is
        # customer 0.
        self.customers = _by_name_or_number(customers)
        self.retired_until: dict[str, Time] = {}  # by category that was removed from the settings
        self.open_request_ids: set[bytes] = set()  # X-Request-ID of each open request

    def rejection_status(self, request: ClientRequest, received_at: Time) -> HTTPStatus | None:
        """The status to reject a request with, None to accept it. Rejected requests reach no backend."""
        if request.category and self.categories and request.category not in self.categories:
            return HTTPStatus.BAD_REQUEST
        if self.retired_until.get(request.category, received_at) < received_at:
            return HTTPStatus.BAD_REQUEST
        # A backend would see the same request twice at once. Not 503: that promises that nothing has run, but
        # the first one may be running.
        return HTTPStatus.CONFLICT if request.request_id in self.open_request_ids else None

    def timeout(self, request: ClientRequest) -> Time:
        """How long the client waits for an answer."""
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
        """Apply new settings. `names` are the categories in the balancer's order; only the first
        `named_count` are still in the settings."""
        self.categories = {name: n for n, name in enumerate(names)}
        # Clients learn of a change later than this agent, so removed categories are accepted for a while.
        self.retired_until = {
            name: self.retired_until.get(name, now + RETIRED_CATEGORY_TENTHS) for name in names[named_count:]
        }
        self.customers = _by_name_or_number(customers)
        all_timeouts = self.default_timeouts | default_timeouts
        self.default_timeouts = {name: all_timeouts[name] for name in names if name in all_timeouts}
        self.max_open = max_open


def _by_name_or_number(customers: dict[str, int]) -> dict[str, int]:
    return customers | {str(n): n for n in customers.values()} | {"": 0}
