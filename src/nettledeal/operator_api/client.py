"""An operator's side of the API: orders are sent until they are answered clearly.

Whoever gets no clear answer sends the same order again, unchanged, to another core machine; the control plane
acknowledges an order that it has taken before. A redirection leads to the primary.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPMethod, HTTPStatus
from random import Random
from urllib.parse import quote, urlsplit

import gevent
import msgspec

from nettledeal.common.addresses import Address, parse_address
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.http_client import HttpClient, HttpResponse
from nettledeal.operator_api.api import CONFIGURATION_PATH, EVACUATIONS_PATH, STATUS_PATH
from nettledeal.operator_api.messages import JSON, Explanation
from nettledeal.operator_api.status import StatusReport

REDIRECTIONS = 2
ANSWER_WITHIN_S = 1.0
# A large body takes longer to arrive: so many bytes a second at least.
BODY_BYTES_PER_S = 500_000
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
PAUSE_GROWTH = 1.7
UNCLEAR = frozenset({HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS})

Exchange = Callable[[Address, "Order", float], HttpResponse]


@dataclass(frozen=True, slots=True)
class Order:
    """One call of the API."""

    method: HTTPMethod
    path: str
    body: bytes = b""
    headers: Mapping[str, str] | None = None

    @property
    def answer_within_s(self) -> float:
        """How long one machine may take to answer."""
        return ANSWER_WITHIN_S + len(self.body) / BODY_BYTES_PER_S


@dataclass(frozen=True, slots=True)
class OperatorAnswer:
    """A clear answer, and the machine that gave it."""

    status: int
    body: bytes
    peer: Address

    @property
    def reason(self) -> str:
        """Why the order was refused, as far as the answer tells."""
        try:
            return msgspec.json.decode(self.body, type=Explanation).reason
        except msgspec.MsgspecError:
            return ""


class OperatorClient:
    """Calls one core machine after the other until one answers clearly."""

    def __init__(
        self,
        addresses: list[Address],
        patience_s: float,
        exchange: Exchange | None = None,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = gevent.sleep,
        random: Random | None = None,
    ):
        """Raises ServingError if `addresses` is empty."""
        if not addresses:
            raise ServingError(ErrorCode.INVALID_SETTINGS, "call control plane", "seeds: none")
        self._addresses = addresses
        self._patience_s = patience_s
        self._exchange = exchange or _exchange
        self._clock = clock
        self._sleep = sleep
        self._random = random or Random()

    def put_configuration(self, body: bytes, expected_version: int) -> OperatorAnswer:
        """Put a configuration on top of a version."""
        return self._send_configuration(HTTPMethod.PUT, body, expected_version)

    def patch_configuration(self, body: bytes, expected_version: int) -> OperatorAnswer:
        """Change named items of the configuration of a version."""
        return self._send_configuration(HTTPMethod.PATCH, body, expected_version)

    def _send_configuration(self, method: HTTPMethod, body: bytes, expected_version: int) -> OperatorAnswer:
        headers = {"If-Match": str(expected_version), "Content-Type": JSON}
        return self.call(Order(method, CONFIGURATION_PATH, body, headers))

    def get_configuration(self) -> OperatorAnswer:
        """The configuration in force."""
        return self.call(Order(HTTPMethod.GET, CONFIGURATION_PATH))

    def current_generation(self) -> int:
        """The generation of the configuration in force, 0 if there is none; raises ServingError."""
        answer = self.get_configuration()
        if answer.status == HTTPStatus.NOT_FOUND:
            return 0
        try:
            return msgspec.json.decode(answer.body, type=_Generation).generation
        except msgspec.MsgspecError as error:
            raise ServingError(
                ErrorCode.MALFORMED_MESSAGE, "read configuration", str(error), str(answer.peer)
            ) from None

    def set_evacuation(self, zone: str, evacuated: bool) -> OperatorAnswer:
        """Begin or end the evacuation of a zone."""
        method = HTTPMethod.POST if evacuated else HTTPMethod.DELETE
        return self.call(Order(method, EVACUATIONS_PATH + quote(zone, safe="")))

    def status(self) -> StatusReport:
        """What the first machine that answers knows; raises ServingError."""
        answer = self.call(Order(HTTPMethod.GET, STATUS_PATH))
        try:
            return msgspec.json.decode(answer.body, type=StatusReport)
        except msgspec.MsgspecError as error:
            raise ServingError(
                ErrorCode.MALFORMED_MESSAGE, "read status", str(error), str(answer.peer)
            ) from None

    def call(self, order: Order) -> OperatorAnswer:
        """The first clear answer; raises ServingError with UNAVAILABLE when patience is over."""
        deadline = self._clock() + self._patience_s
        pause_s = FIRST_PAUSE_S
        attempt = 0
        while True:
            address = self._addresses[attempt % len(self._addresses)]
            attempt += 1
            try:
                return self._attempt(address, order)
            except ServingError as error:
                if self._clock() + pause_s >= deadline:
                    raise ServingError(
                        ErrorCode.UNAVAILABLE,
                        f"{order.method} {order.path}",
                        f"no clear answer in {attempt} attempts, the last: {error}",
                        error.peer,
                    ) from None
            self._sleep(pause_s * (0.5 + self._random.random()))
            pause_s = min(MAX_PAUSE_S, pause_s * PAUSE_GROWTH)

    def _attempt(self, address: Address, order: Order) -> OperatorAnswer:
        for _ in range(REDIRECTIONS + 1):
            response = self._exchange(address, order, order.answer_within_s)
            if response.status != HTTPStatus.TEMPORARY_REDIRECT:
                return _clear(address, response)
            address = _location(address, response)
        raise ServingError(ErrorCode.UNAVAILABLE, "follow redirection", "too many", str(address))


class _Generation(msgspec.Struct):
    generation: int


def _exchange(address: Address, order: Order, timeout_s: float) -> HttpResponse:
    client = HttpClient(address)
    try:
        return client.request(order.method, order.path, timeout_s, order.body, order.headers or {})
    finally:
        client.close()


def _clear(address: Address, response: HttpResponse) -> OperatorAnswer:
    if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR or response.status in UNCLEAR:
        raise ServingError(
            ErrorCode.UNAVAILABLE, "call control plane", f"status {response.status}", str(address)
        )
    return OperatorAnswer(response.status, response.body, address)


def _location(address: Address, response: HttpResponse) -> Address:
    location = response.headers.get("location", "")
    try:
        return parse_address(urlsplit(location).netloc)
    except ValueError:
        raise ServingError(
            ErrorCode.MALFORMED_MESSAGE, "follow redirection", f"Location: {location!r}", str(address)
        ) from None
