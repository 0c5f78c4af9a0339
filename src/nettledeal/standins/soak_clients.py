"""Clients that keep using an open connection until it ends, and what they lost on it."""

from __future__ import annotations

import time
from dataclasses import dataclass
from http import HTTPMethod
from random import Random

import gevent

from nettledeal.common.addresses import Address
from nettledeal.common.connections import connect
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.http_client import HttpClient, HttpResponse
from nettledeal.standins.clients import Ending, RequestKind, check_response
from nettledeal.standins.soak_system import Machine

PAUSE_S = 0.02
RECONNECT_PAUSE_S = 0.1
CONNECT_WITHIN_S = 1.0
ANSWER_WITHIN_S = 8.0


class KeptConnection(HttpClient):
    """A connection that is never replaced: a request that isn't answered on it is lost."""

    def connect(self) -> None:
        """Open it; raises ServingError with CONNECTION_LOST."""
        self._sock = connect(self.address, CONNECT_WITHIN_S, ANSWER_WITHIN_S)

    def exchange(self, kind: RequestKind, request_id: str) -> HttpResponse:
        """The response; raises ServingError with TIMED_OUT, CONNECTION_LOST or MALFORMED_MESSAGE."""
        message = self._encode(HTTPMethod.POST, kind.path, b"{}", kind.headers(request_id, 0))
        try:
            with gevent.Timeout(ANSWER_WITHIN_S):
                return self._exchange(message, ANSWER_WITHIN_S)
        except gevent.Timeout:
            self.close()
            raise ServingError(ErrorCode.TIMED_OUT, "exchange", request_id, peer=str(self.address)) from None

    @property
    def open(self) -> bool:
        """Whether the connection stands, as far as is known."""
        return self._sock is not None


@dataclass(frozen=True, slots=True)
class LostAnswer:
    """A request without an answer.

    `disrupted`: the machine was killed, frozen or thawed meanwhile. `waited_s`: from its sending to the end
    of the connection.
    """

    machine: Machine
    request_id: str
    disrupted: bool
    waited_s: float
    reason: str


class KeptClient:
    """Sends one request after the other to one edge machine, on the same connection while that stands."""

    def __init__(self, machine: Machine, address: Address, kind: RequestKind, random: Random):
        self.machine, self.kind = machine, kind
        self.served = 0
        self.sent: list[str] = []
        self.lost: list[LostAnswer] = []
        self.wrong: list[str] = []
        self._address, self._random = address, random

    def run(self) -> None:
        """Go on until killed."""
        while True:
            self._use_connection()
            gevent.sleep(RECONNECT_PAUSE_S)

    def _use_connection(self) -> None:
        connection = KeptConnection(self._address)
        try:
            connection.connect()
            while connection.open and self._ask(connection):
                gevent.sleep(PAUSE_S)
        except ServingError:
            return
        finally:
            connection.close()

    def _ask(self, connection: KeptConnection) -> bool:
        request_id = f"{self._random.getrandbits(64):016x}"
        started_s, disruptions = time.monotonic(), self.machine.disruptions
        self.sent.append(request_id)
        try:
            response = connection.exchange(self.kind, request_id)
        except ServingError as error:
            waited_s = time.monotonic() - started_s
            disrupted = disruptions != self.machine.disruptions
            self.lost.append(LostAnswer(self.machine, request_id, disrupted, waited_s, str(error)))
            return False
        outcome, _ = check_response(self.kind, request_id, response, started_s)
        self.served += outcome.ending is Ending.SERVED
        if outcome.ending is Ending.WRONG:
            self.wrong.append(f"{request_id}: {outcome.detail}")
        return True
