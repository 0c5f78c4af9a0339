"""Forwards a request: attempts at backends until there is one final response.

A request that was sent to a backend may have been executed unless the backend states that it was not; it is
retried only if its route allows it to run more than once. 429 and 503 guarantee that the request was not and
will not be executed, so they are sent only if that is certain.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING, Protocol

import gevent

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.dataplane.attempt_result import (
    NOT_EXECUTED_STATUSES,
    AttemptResult,
    attempt_outcome,
    connect_outcome,
    is_refusal,
)
from nettledeal.dataplane.backend_connections import MAX_IDLE_LIMIT_S, BackendConnection, BackendConnections
from nettledeal.dataplane.backend_response import BackendResponse
from nettledeal.dataplane.call_description import describe_call
from nettledeal.dataplane.client_request import ClientRequest
from nettledeal.dataplane.response_relay import ClientDisconnected, ClientWriter, ResponseRelay
from nettledeal.dataplane.retry_budget import RetryBudget
from nettledeal.dataplane.routing_table import RouteTarget
from nettledeal.dataplane.selection import AttemptOutcome, Backend, CallDescription, Refusal, Selector
from nettledeal.dataplane.server_load import LOAD_HEADER, read_server_load
from nettledeal.dataplane.silence_check import SilenceCheck
from nettledeal.dataplane.stream_pauses import StreamPauses
from nettledeal.net.protocol.framing import MalformedMessage
from nettledeal.net.transport.buffers import OutOfMemory
from nettledeal.net.transport.sockets import send_all

if TYPE_CHECKING:
    from nettledeal.tenancy.gate import TenantGate

# Subtracted from the backend's deadline, so that its last response can still reach the client.
DEADLINE_MARGIN_S = 0.02
# No attempt begins with less time than this left.
MIN_ATTEMPT_S = 0.005
DEFAULT_RETRY_AFTER_S = 0.25
# The address belongs to another backend: wait for the catalogue update.
MISDIRECTED_RETRY_AFTER_S = 0.8
MAX_ATTEMPTS_NOT_SENT = 4


class WatchedClient(ClientWriter, Protocol):
    """A client's connection that reports when the client disconnects."""

    def watch(self, on_disconnect: Callable[[], None]) -> None:
        """Call `on_disconnect` once the client closes its connection."""

    def unwatch(self) -> None:
        """Stop watching."""


class Forwarding:
    """State shared by all requests of a process."""

    def __init__(
        self, selector: Selector, budget: RetryBudget, connections: BackendConnections, random: Random
    ):
        self.selector = selector
        self.budget = budget
        self.connections = connections
        self.random = random
        self.in_progress = 0
        self.tenants: TenantGate | None = None  # set once a configuration has tenants
        self.rewritten_services: frozenset[str] = frozenset()

    def serve(self, request: ClientRequest, target: RouteTarget, client: WatchedClient) -> bool:
        """Send the final response; returns whether it is complete. Raises ClientDisconnected."""
        exchange = Exchange(self, request, target, client)
        self.in_progress += 1
        try:
            exchange.run()
        finally:
            self.in_progress -= 1
        return exchange.relay.complete


class Exchange:
    """One client request and its attempts at backends."""

    def __init__(
        self, forwarding: Forwarding, request: ClientRequest, target: RouteTarget, client: WatchedClient
    ):
        self.forwarding = forwarding
        self.request = request
        self.target = target
        self.client = client
        self.service = target.pick_service(forwarding.random)
        request.rewrites_prompt = self.service in forwarding.rewritten_services
        self.relay = ResponseRelay(client, request.request_id, target.resumable)
        self.deadline = request.received_at + request.deadline_s(target.timeout_s)
        self.call: CallDescription = describe_call(request, target, self.service, len(request.message.body))
        self.attempts_sent = 0
        self.attempts_not_sent = 0
        self.may_have_executed = False
        self.client_disconnected = False
        self.retry_after_s = DEFAULT_RETRY_AFTER_S
        self.excluded: set[str] = set()
        self.connection: BackendConnection | None = None

    def run(self) -> None:
        """Make attempts until there is a final response."""
        now = time.monotonic()
        self.forwarding.budget.record_request(self.service, now)
        timer = gevent.Timeout(max(0.0, self.deadline - now))
        self.client.watch(self._on_client_disconnected)
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
            if self.deadline - now < MIN_ATTEMPT_S:
                return self._time_out()
            choice = self.forwarding.selector.choose(self.call, now, self.excluded)
            if isinstance(choice, Refusal):
                self.retry_after_s = choice.retry_after_s
                return self._give_up()
            if not self._may_attempt(now):
                return self._give_up()
            result = self._attempt(choice, now)
            self.excluded.add(choice.id)
            if result is AttemptResult.RESPONDED:
                return None
            if result is AttemptResult.BROKEN:
                self.may_have_executed = True
                if not self._may_retry():
                    return self._give_up()

    def _may_attempt(self, now: float) -> bool:
        """Whether the limits of the route and the budget allow another attempt; spends from the budget."""
        if self.attempts_not_sent >= MAX_ATTEMPTS_NOT_SENT:
            return False
        if self.attempts_sent == 0:
            return True
        if self.attempts_sent >= self.target.route.max_attempts:
            return False
        return self.forwarding.budget.try_spend(self.service, now)

    def _may_retry(self) -> bool:
        return self.target.repeatable and (not self.relay.started or self.relay.resumable)

    def _attempt(self, backend: Backend, now: float) -> AttemptResult:
        selector = self.forwarding.selector
        attempt = selector.start_attempt(backend.id, self.call, now)
        if self.request.separated is not None:
            self.forwarding.tenants.attempted(self.request.separated, attempt)
        outcome = AttemptOutcome.FAILED
        try:
            try:
                self.connection = self._connect(backend.id, now)
            except ServingError as error:
                outcome = connect_outcome(error)
                return self._record_not_sent()
            silence_check = SilenceCheck(selector, attempt, self.connection, self._could_retry)
            response = self._send(backend.id, self.connection, silence_check)
            if response is None:
                outcome = AttemptOutcome.NOT_SENT
                return self._record_not_sent()
            silence_check.on_request_sent()
            response.read_head()
            selector.record_first_event(
                attempt, time.monotonic(), read_server_load(response.header(LOAD_HEADER))
            )
            silence_check.on_head_received(self.target.resumable)
            if response.is_event_stream:
                response.on_received = StreamPauses(selector, attempt).on_received
            result = self._handle_response(response)
            outcome = attempt_outcome(response, result, self.request.expects_version)
            return result
        except gevent.Timeout:
            outcome = AttemptOutcome.TIMED_OUT
            raise
        except ClientDisconnected:
            outcome = AttemptOutcome.CANCELLED
            raise
        except (OSError, MalformedMessage, OutOfMemory) as error:
            if self.client_disconnected:
                outcome = AttemptOutcome.CANCELLED
                raise ClientDisconnected from None
            if self.connection is not None and attempt.first_event_at is None:
                self.connection.record_break(error, time.monotonic())
            return AttemptResult.BROKEN
        finally:
            self._disconnect()
            selector.finish_attempt(attempt, outcome, time.monotonic())

    def _connect(self, backend_id: str, now: float) -> BackendConnection:
        """A connection to the backend. Raises ServingError if there is none, and ClientDisconnected."""
        pool = self.forwarding.connections.pool(backend_id)
        if pool is None:
            raise ServingError(ErrorCode.UNAVAILABLE, "connect to backend", "not in use", backend_id)
        try:
            max_idle_s = MAX_IDLE_LIMIT_S
            if not self.target.repeatable:
                max_idle_s = self.forwarding.selector.max_idle_s(backend_id, now)
            connection = pool.acquire(now, self.deadline - now, max_idle_s)
        except ServingError:
            if self.client_disconnected:
                raise ClientDisconnected from None
            raise
        if self.client_disconnected:
            connection.close()
            raise ClientDisconnected
        return connection

    def _record_not_sent(self) -> AttemptResult:
        self.attempts_not_sent += 1
        if self.attempts_sent:
            self.forwarding.budget.refund(self.service)
        return AttemptResult.NOT_SENT

    def _send(
        self, backend_id: str, connection: BackendConnection, silence_check: SilenceCheck
    ) -> BackendResponse | None:
        """Send the request; None if no byte of it was accepted by the connection."""
        remaining_s = self.deadline - time.monotonic() - DEADLINE_MARGIN_S
        parts = self.request.encode_for_backend(
            backend_id, self.target.route.priority, remaining_s, self.relay.last_event_id
        )
        try:
            sent = connection.sock.sendmsg(parts)
        except OSError:
            if self.client_disconnected:
                raise
            return None
        self.attempts_sent += 1
        if sent < sum(map(len, parts)):
            send_all(connection.sock, [memoryview(b"".join(parts))[sent:]])
        bodiless = self.request.method == b"HEAD"
        return BackendResponse(connection, self.request.request_id, bodiless, silence_check.keep_waiting)

    def _handle_response(self, response: BackendResponse) -> AttemptResult:
        """Decide by the head of a response: relay it, or treat the attempt as failed."""
        status = response.status
        if is_refusal(response):
            self._update_retry_after(response)
            self._drain_body(response)
            return AttemptResult.NOT_EXECUTED
        if status in NOT_EXECUTED_STATUSES or self.relay.started and not response.is_event_stream:
            self._drain_body(response)
            return AttemptResult.BROKEN
        if status < HTTPStatus.MULTIPLE_CHOICES and not response.is_signed:
            return AttemptResult.BROKEN
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR and self._could_retry():
            self._drain_body(response)
            return AttemptResult.BROKEN
        self.relay.relay(response)
        self._release(response)
        return AttemptResult.RESPONDED

    def _could_retry(self) -> bool:
        """Whether the request could be retried at another backend."""
        more = self.attempts_sent < self.target.route.max_attempts
        now = time.monotonic()
        return more and self._may_retry() and self.forwarding.budget.available(self.service, now) >= 1.0

    def _drain_body(self, response: BackendResponse) -> None:
        """Read the rest of a short response that is not relayed, so that its connection can be reused."""
        if response.is_buffered:
            response.read_body()
            self._release(response)

    def _release(self, response: BackendResponse) -> None:
        connection = self.connection
        if connection is None or not response.leaves_connection_usable:
            return
        connection.apply_keep_alive(response.keep_alive)
        self.connection = None
        connection.release(time.monotonic())

    def _disconnect(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _update_retry_after(self, response: BackendResponse) -> None:
        replaced = response.status == HTTPStatus.MISDIRECTED_REQUEST
        default_s = MISDIRECTED_RETRY_AFTER_S if replaced else DEFAULT_RETRY_AFTER_S
        self.retry_after_s = response.retry_after_s(default_s)

    def _give_up(self) -> None:
        if self.may_have_executed:
            self.relay.respond_directly(HTTPStatus.BAD_GATEWAY)
        else:
            self.relay.respond_directly(HTTPStatus.SERVICE_UNAVAILABLE, self.retry_after_s)

    def _time_out(self) -> None:
        if self.may_have_executed or self.attempts_sent:
            self.relay.respond_directly(HTTPStatus.GATEWAY_TIMEOUT)
        else:
            self.relay.respond_directly(HTTPStatus.SERVICE_UNAVAILABLE, self.retry_after_s)

    def _on_client_disconnected(self) -> None:
        """The client has closed its connection. Called by the event loop, so it must not block."""
        self.client_disconnected = True
        if self.connection is not None:
            self.connection.close()
