"""A request on its way through the agent: attempts at backends until it has its one final answer.

What was sent to a backend may have run unless the backend says that it has not; such a request is sent again
only where its route lets it run more than once. 429 and 503 are a promise that the request has not run and
never will, so they are given only where that is certain.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING, Protocol

import gevent

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.dataplane.answer_relay import AnswerRelay, ClientLeft, ClientSide
from nettledeal.dataplane.attempt_end import (
    PROMISES,
    AttemptEnd,
    attempt_outcome,
    connect_outcome,
    is_refusal,
)
from nettledeal.dataplane.backend_answer import BackendAnswer
from nettledeal.dataplane.backend_connections import MOST_IDLE_S, BackendConnection, BackendConnections
from nettledeal.dataplane.budgets import RetryBudget
from nettledeal.dataplane.call_description import describe_call
from nettledeal.dataplane.client_request import ClientRequest
from nettledeal.dataplane.routing_table import RouteTarget
from nettledeal.dataplane.selection import AttemptOutcome, Backend, CallDescription, Refusal, Selector
from nettledeal.dataplane.server_load import LOAD_HEADER, read_server_load
from nettledeal.dataplane.silence import SilenceCheck
from nettledeal.dataplane.stream_pauses import StreamPauses
from nettledeal.net.protocol.framing import MalformedMessage
from nettledeal.net.transport.buffers import OutOfMemory
from nettledeal.net.transport.sockets import send_all

if TYPE_CHECKING:
    from nettledeal.tenancy.gate import TenantGate

# What the backend may not use of the time left, so that its last word can still reach the client.
DEADLINE_MARGIN_S = 0.02
# With less time than this left, no attempt begins.
LEAST_ATTEMPT_S = 0.005
DEFAULT_RETRY_AFTER_S = 0.25
# Another backend has the address: the list that says so is on its way.
MISDIRECTED_RETRY_AFTER_S = 0.8
MOST_UNREACHABLE = 4


class WatchedClient(ClientSide, Protocol):
    """A client's connection that tells when the client leaves."""

    def watch(self, left: Callable[[], None]) -> None:
        """Call `left` once the client closes its connection."""

    def unwatch(self) -> None:
        """Stop watching."""


class Forwarding:
    """What all requests of a process share."""

    def __init__(
        self, selector: Selector, budget: RetryBudget, connections: BackendConnections, random: Random
    ):
        self.selector = selector
        self.budget = budget
        self.connections = connections
        self.random = random
        self.in_progress = 0
        self.tenants: TenantGate | None = None  # once a configuration names any
        self.rewritten_services: frozenset[str] = frozenset()

    def serve(self, request: ClientRequest, target: RouteTarget, client: WatchedClient) -> bool:
        """Give the request its final answer; whether that answer is complete. Raises ClientLeft."""
        exchange = Exchange(self, request, target, client)
        self.in_progress += 1
        try:
            exchange.run()
        finally:
            self.in_progress -= 1
        return exchange.relay.complete


class Exchange:
    """One request and its attempts."""

    def __init__(
        self, forwarding: Forwarding, request: ClientRequest, target: RouteTarget, client: WatchedClient
    ):
        self.forwarding = forwarding
        self.request = request
        self.target = target
        self.client = client
        self.service = target.pick_service(forwarding.random)
        request.rewrites_prompt = self.service in forwarding.rewritten_services
        self.relay = AnswerRelay(client, request.request_id, target.resumable)
        self.deadline = request.received_at + request.deadline_s(target.timeout_s)
        self.call: CallDescription = describe_call(request, target, self.service, len(request.message.body))
        self.arrivals = 0
        self.unreachable = 0
        self.may_have_run = False
        self.client_left = False
        self.retry_after_s = DEFAULT_RETRY_AFTER_S
        self.excluded: set[str] = set()
        self.connection: BackendConnection | None = None

    def run(self) -> None:
        """Attempt until there is a final answer."""
        now = time.monotonic()
        self.forwarding.budget.earn(self.service, now)
        timer = gevent.Timeout(max(0.0, self.deadline - now))
        self.client.watch(self._leave)
        timer.start()
        try:
            self._run_attempts()
        except gevent.Timeout as expired:
            if expired is not timer:
                raise
            timer.close()
            self._time_out()
        finally:
            timer.close()
            self.client.unwatch()

    def _run_attempts(self) -> None:
        while True:
            now = time.monotonic()
            if self.deadline - now < LEAST_ATTEMPT_S:
                return self._time_out()
            choice = self.forwarding.selector.choose(self.call, now, self.excluded)
            if isinstance(choice, Refusal):
                self.retry_after_s = choice.retry_after_s
                return self._give_up()
            if not self._may_attempt(now):
                return self._give_up()
            end = self._attempt(choice, now)
            self.excluded.add(choice.id)
            if end is AttemptEnd.ANSWERED:
                return None
            if end is AttemptEnd.BROKEN:
                self.may_have_run = True
                if not self._may_repeat():
                    return self._give_up()

    def _may_attempt(self, now: float) -> bool:
        """Whether one more attempt is within the bound of the route and the budget, which pays for it."""
        if self.unreachable >= MOST_UNREACHABLE:
            return False
        if self.arrivals == 0:
            return True
        if self.arrivals >= self.target.route.max_attempts:
            return False
        return self.forwarding.budget.try_spend(self.service, now)

    def _may_repeat(self) -> bool:
        return self.target.repeatable and (not self.relay.begun or self.relay.resumable)

    def _attempt(self, backend: Backend, now: float) -> AttemptEnd:
        selector = self.forwarding.selector
        attempt = selector.started(backend.id, self.call, now)
        if self.request.separated is not None:
            self.forwarding.tenants.attempted(self.request.separated, attempt)
        outcome = AttemptOutcome.FAILED
        try:
            try:
                self.connection = self._connect(backend.id, now)
            except ServingError as error:
                outcome = connect_outcome(error)
                return self._not_sent()
            silence = SilenceCheck(selector, attempt, self.connection, self._could_repeat)
            answer = self._send(backend.id, self.connection, silence)
            if answer is None:
                outcome = AttemptOutcome.NOT_SENT
                return self._not_sent()
            silence.expect_head()
            answer.read_head()
            selector.first_event(attempt, time.monotonic(), read_server_load(answer.header(LOAD_HEADER)))
            silence.expect_events(self.target.resumable)
            if answer.is_event_stream:
                answer.heard = StreamPauses(selector, attempt).heard
            end = self._take(answer)
            outcome = attempt_outcome(answer, end, self.request.names_version)
            return end
        except gevent.Timeout:
            outcome = AttemptOutcome.TIMED_OUT
            raise
        except ClientLeft:
            outcome = AttemptOutcome.CANCELLED
            raise
        except (OSError, MalformedMessage, OutOfMemory) as error:
            if self.client_left:
                outcome = AttemptOutcome.CANCELLED
                raise ClientLeft from None
            if self.connection is not None and attempt.first_event_at is None:
                self.connection.broke(error, time.monotonic())
            return AttemptEnd.BROKEN
        finally:
            self._disconnect()
            selector.finished(attempt, outcome, time.monotonic())

    def _connect(self, backend_id: str, now: float) -> BackendConnection:
        """A connection to the backend. Raises ServingError where none can be had, and ClientLeft."""
        pool = self.forwarding.connections.pool(backend_id)
        if pool is None:
            raise ServingError(ErrorCode.UNAVAILABLE, "connect to backend", "not in use", backend_id)
        try:
            rest_s = MOST_IDLE_S
            if not self.target.repeatable:
                rest_s = self.forwarding.selector.most_rest_s(backend_id, now)
            connection = pool.acquire(now, self.deadline - now, rest_s)
        except ServingError:
            if self.client_left:
                raise ClientLeft from None
            raise
        if self.client_left:
            connection.close()
            raise ClientLeft
        return connection

    def _not_sent(self) -> AttemptEnd:
        self.unreachable += 1
        if self.arrivals:
            self.forwarding.budget.give_back(self.service)
        return AttemptEnd.NOT_SENT

    def _send(
        self, backend_id: str, connection: BackendConnection, silence: SilenceCheck
    ) -> BackendAnswer | None:
        """Send the request; None if the connection took no byte of it."""
        left_s = self.deadline - time.monotonic() - DEADLINE_MARGIN_S
        parts = self.request.parts_for(
            backend_id, self.target.route.priority, left_s, self.relay.last_event_id
        )
        try:
            sent = connection.sock.sendmsg(parts)
        except OSError:
            if self.client_left:
                raise
            return None
        self.arrivals += 1
        if sent < sum(map(len, parts)):
            send_all(connection.sock, [memoryview(b"".join(parts))[sent:]])
        bodiless = self.request.method == b"HEAD"
        return BackendAnswer(connection, self.request.request_id, bodiless, silence.still_there)

    def _take(self, answer: BackendAnswer) -> AttemptEnd:
        """Go by the head of an answer."""
        status = answer.status
        if is_refusal(answer):
            self._note_retry_after(answer)
            self._finish_reading(answer)
            return AttemptEnd.NOT_EXECUTED
        if status in PROMISES or self.relay.begun and not answer.is_event_stream:
            self._finish_reading(answer)
            return AttemptEnd.BROKEN
        if status < HTTPStatus.MULTIPLE_CHOICES and not answer.is_signed:
            return AttemptEnd.BROKEN
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR and self._could_repeat():
            self._finish_reading(answer)
            return AttemptEnd.BROKEN
        self.relay.relay(answer)
        self._release(answer)
        return AttemptEnd.ANSWERED

    def _could_repeat(self) -> bool:
        """Whether a failure at this backend may be mended at another one."""
        more = self.arrivals < self.target.route.max_attempts
        now = time.monotonic()
        return more and self._may_repeat() and self.forwarding.budget.available(self.service, now) >= 1.0

    def _finish_reading(self, answer: BackendAnswer) -> None:
        """Read the rest of a short answer that is not passed on, so that its connection can be kept."""
        if answer.is_gathered:
            answer.read_body()
            self._release(answer)

    def _release(self, answer: BackendAnswer) -> None:
        connection = self.connection
        if connection is None or not answer.leaves_connection_usable:
            return
        connection.heed_keep_alive(answer.keep_alive)
        self.connection = None
        connection.release(time.monotonic())

    def _disconnect(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _note_retry_after(self, answer: BackendAnswer) -> None:
        misdirected = answer.status == HTTPStatus.MISDIRECTED_REQUEST
        usual_s = MISDIRECTED_RETRY_AFTER_S if misdirected else DEFAULT_RETRY_AFTER_S
        self.retry_after_s = answer.retry_after_s(usual_s)

    def _give_up(self) -> None:
        if self.may_have_run:
            self.relay.answer_directly(HTTPStatus.BAD_GATEWAY)
        else:
            self.relay.answer_directly(HTTPStatus.SERVICE_UNAVAILABLE, self.retry_after_s)

    def _time_out(self) -> None:
        if self.may_have_run or self.arrivals:
            self.relay.answer_directly(HTTPStatus.GATEWAY_TIMEOUT)
        else:
            self.relay.answer_directly(HTTPStatus.SERVICE_UNAVAILABLE, self.retry_after_s)

    def _leave(self) -> None:
        """The client has closed its connection: called by the loop, so nothing here waits."""
        self.client_left = True
        if self.connection is not None:
            self.connection.close()
