"""The operator of a soak: puts configurations in all ways that go right or wrong, and reads them back."""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus
from random import Random

import gevent
from gevent.lock import BoundedSemaphore

from nettledeal.common.addresses import Address
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.http_client import HttpClient, HttpResponse
from nettledeal.operator_api.client import OperatorClient, Order
from nettledeal.standins.configuration_changes import (
    EXCHANGED_PREFIX,
    SPLIT_PREFIX,
    UNKNOWN_PREFIX,
    Answer,
    ConfigurationChange,
    Invalidity,
    make_change,
    make_invalid_change,
)
from nettledeal.standins.configuration_rules import ReadBack

PATIENCE_S = 40.0
READ_PATIENCE_S = 2.0
MAX_GENERATION_STEP = 3
RECENT_PREFIXES = 8
MAX_LOST_ANSWERS = 3


class SoakOperator:
    """Keeps the history of changes and reads, by which the rules of the configuration are judged."""

    def __init__(self, addresses: Callable[[], list[Address]], random: Random):
        self.changes: list[ConfigurationChange] = []
        self.reads: list[ReadBack] = []
        self.broken: list[str] = []
        self._addresses, self._random = addresses, random
        self._acknowledged: list[ConfigurationChange] = []
        self._writing = BoundedSemaphore()

    @property
    def newest(self) -> ConfigurationChange | None:
        """The newest acknowledged change."""
        return self._acknowledged[-1] if self._acknowledged else None

    def prefixes(self) -> list[str]:
        """The path prefixes by which the configurations of late differ, and one that none of them has."""
        recent = {prefix for change in self.changes[-RECENT_PREFIXES:] for prefix in change.services}
        often = [EXCHANGED_PREFIX] * 2 + [SPLIT_PREFIX] * 2
        return [*often, UNKNOWN_PREFIX, *sorted(recent)]

    def all_prefixes(self) -> set[str]:
        """All path prefixes by which configurations differ."""
        return {UNKNOWN_PREFIX, *(prefix for change in self.changes for prefix in change.services)}

    # Changes

    def put(self) -> None:
        """Put the next configuration and send it until it is answered clearly."""
        with self._writing:
            self._send(self._next_change())

    def put_with_lost_answers(self) -> None:
        """Put the next configuration; the first answers are lost, so that it is sent again."""
        with self._writing:
            self._send(self._next_change(), lost_answers=self._random.randint(1, MAX_LOST_ANSWERS))

    def resend_newest(self) -> None:
        """Send the newest acknowledged configuration once more, as after a lost answer."""
        with self._writing:
            change = self.newest
            if change is not None and self._call(change) != HTTPStatus.OK:
                self.broken.append(f"generation {change.generation} was refused when it was sent again")

    def race(self) -> None:
        """Two changes on top of one version, at the same time."""
        with self._writing:
            rivals = [self._next_change("a"), self._next_change("b")]
            gevent.joinall([gevent.spawn(self._send, rival, 0, True) for rival in rivals], raise_error=True)
            if all(rival.answer is Answer.REFUSED for rival in rivals):
                self.broken.append(
                    f"both changes on top of version {rivals[0].expected_version} were refused"
                )

    def put_invalid(self) -> None:
        """A configuration that must be refused, alone or at the same time as a proper one."""
        with self._writing:
            invalidity = self._random.choice(list(Invalidity))
            invalid = make_invalid_change(self._next_change("x"), invalidity)
            proper = gevent.spawn(self._send, self._next_change()) if self._random.random() < 0.5 else None
            self._send(invalid, may_lose=True)
            if proper is not None:
                gevent.joinall([proper], raise_error=True)

    def put_earlier_again(self) -> None:
        """An earlier configuration on top of the present one, to be refused as its number is too low."""
        with self._writing:
            version = self.newest.generation if self.newest else 0
            earlier = self._random.choice(self._acknowledged)
            repeated = ConfigurationChange(
                earlier.generation, version, earlier.body, earlier.services, valid=False
            )
            self._send(repeated, may_lose=True)

    def _next_change(self, variant: str = "") -> ConfigurationChange:
        version = self.newest.generation if self.newest else 0
        generation = version + self._random.randint(1, MAX_GENERATION_STEP)
        earlier = [change.generation for change in self._acknowledged]
        return make_change(generation, version, earlier, variant)

    def _send(self, change: ConfigurationChange, lost_answers: int = 0, may_lose: bool = False) -> None:
        """Send a change until it is answered clearly; raises ServingError where it never is."""
        self.changes.append(change)
        change.sent_at = time.monotonic()
        status = self._call(change, lost_answers)
        if status == HTTPStatus.OK:
            change.answer, change.acknowledged_at = Answer.ACKNOWLEDGED, time.monotonic()
            if change.valid:
                self._acknowledged.append(change)
            return
        change.answer, change.refused_at = Answer.REFUSED, time.monotonic()
        if not may_lose:
            self.broken.append(f"generation {change.generation} was refused with {status}")

    def _call(self, change: ConfigurationChange, lost_answers: int = 0) -> int:
        exchange = _AnswerLoser(lost_answers).exchange if lost_answers else None
        addresses = self._shuffled_addresses()
        client = OperatorClient(addresses, PATIENCE_S, exchange, random=self._random)
        return client.put_configuration(change.body, change.expected_version).status

    # Reads

    def read(self) -> None:
        """Read the configuration at some machine; no answer is no fault."""
        sent_at = time.monotonic()
        with suppress(ServingError):
            client = OperatorClient(self._shuffled_addresses(), READ_PATIENCE_S, random=self._random)
            answer = client.get_configuration()
            if answer.status == HTTPStatus.OK:
                self.reads.append(ReadBack(sent_at, answer.body))
            elif self.newest is not None:
                self.broken.append(f"a read of the configuration was answered with {answer.status}")

    def read_at(self, address: Address) -> bytes | None:
        """The configuration as one machine answers with it, None if it doesn't."""
        try:
            return OperatorClient([address], READ_PATIENCE_S).get_configuration().body
        except ServingError:
            return None

    def _shuffled_addresses(self) -> list[Address]:
        addresses = self._addresses()
        return self._random.sample(addresses, len(addresses))


class _AnswerLoser:
    """Exchanges whose first answers are lost on their way."""

    def __init__(self, count: int):
        self._left = count

    def exchange(self, address: Address, order: Order, timeout_s: float) -> HttpResponse:
        """Send an order; raises ServingError as a caller sees it that loses the answer."""
        client = HttpClient(address)
        try:
            response = client.request(order.method, order.path, timeout_s, order.body, order.headers or {})
        finally:
            client.close()
        if self._left > 0 and response.status != HTTPStatus.TEMPORARY_REDIRECT:
            self._left -= 1
            raise ServingError(ErrorCode.CONNECTION_LOST, "exchange", "answer lost", str(address))
        return response
