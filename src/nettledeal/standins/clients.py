"""Stand-in clients: they resolve a data plane, send requests, retry as told and verify every answer."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPMethod, HTTPStatus
from random import Random

import gevent
import msgspec

from nettledeal.common.addresses import Address, parse_address
from nettledeal.common.errors import ServingError
from nettledeal.common.http_client import HttpClient, HttpResponse
from nettledeal.standins.backend import event, plain_body, sign
from nettledeal.standins.layout import Zone

RESOLVE_TIMEOUT_S = 1.0
MAX_RESOLVED_AGE_S = 1.0
INITIAL_BACKOFF_S = 0.1
RETRYABLE_STATUSES = frozenset({HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE})


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A type of request: its route, prompt size and deadline."""

    name: str
    host: str
    path: str
    repeatable: bool = False
    shared_tokens: int = 0
    own_tokens: int = 0
    events: int = 0
    deadline_s: float = 8.0

    def headers(self, request_id: str, subject: int) -> dict[str, str]:
        """The headers of a request; requests with the same subject share the prefix of their prompt."""
        headers = {
            "Host": self.host,
            "Request-Id": request_id,
            "Deadline-Ms": f"{self.deadline_s * 1000:.0f}",
        }
        if self.events:
            tokens = self.shared_tokens + self.own_tokens
            headers |= {
                "Model": "m",
                "Token-Usage": f"{tokens},{self.events}",
                "Prompt-Prefix": f"{subject:x}:{self.shared_tokens},{request_id}:{self.own_tokens}",
            }
        return headers


class Ending(StrEnum):
    """How a request ended.

    LOST: no answer; FAILED: a final error status; WRONG: an answer that is incomplete or belongs to another
    request.
    """

    SERVED = "served"
    REFUSED = "refused"
    LOST = "lost"
    FAILED = "failed"
    WRONG = "wrong"


@dataclass(slots=True)
class Outcome:
    """The result of a request. Times are in seconds; `first_part_s` is None if there was no answer."""

    kind: str
    ending: Ending
    attempts: int
    first_part_s: float | None = None
    total_s: float = 0.0
    detail: str = ""


class Resolved(msgspec.Struct):
    """A resolve response of the registry."""

    addresses: list[str]
    ttl_s: float


@dataclass
class Client:
    """A client in one zone."""

    zone: Zone
    directories: list[Address]
    random: Random
    addresses: list[Address] = field(default_factory=list)
    addresses_expire_at_s: float = 0.0
    sent: list[str] = field(default_factory=list)

    def resolve(self, host: str) -> list[Address]:
        """The data planes for this client; the last answer stays in use while no directory responds."""
        if time.monotonic() >= self.addresses_expire_at_s:
            for directory in self.random.sample(self.directories, len(self.directories)):
                if (answer := self._ask_directory(directory, host)) is not None:
                    self.addresses = [parse_address(address) for address in answer.addresses]
                    self.addresses_expire_at_s = time.monotonic() + min(answer.ttl_s, MAX_RESOLVED_AGE_S)
                    break
        return self.addresses

    def ask(self, kind: RequestKind, subject: int = 0) -> Outcome:
        """Send a request and retry it until its deadline, as far as that is safe."""
        started_s = time.monotonic()
        backoff_s = INITIAL_BACKOFF_S
        attempts = 0
        while True:
            attempts += 1
            outcome, retry_after_s = self._attempt(kind, subject, started_s)
            outcome.attempts = attempts
            outcome.total_s = time.monotonic() - started_s
            should_retry = outcome.ending is Ending.REFUSED or (
                outcome.ending is Ending.LOST and kind.repeatable
            )
            backoff_s = retry_after_s or backoff_s * 1.5
            if not should_retry or outcome.total_s + backoff_s > kind.deadline_s:
                return outcome
            gevent.sleep(backoff_s)

    def _ask_directory(self, directory: Address, host: str) -> Resolved | None:
        client = HttpClient(directory)
        target = f"/resolve?name={host}&region={self.zone.region}&zone={self.zone}"
        try:
            response = client.get(target, RESOLVE_TIMEOUT_S)
            return msgspec.json.decode(response.body, type=Resolved) if response.status == 200 else None
        except (ServingError, msgspec.MsgspecError):
            return None
        finally:
            client.close()

    def _attempt(self, kind: RequestKind, subject: int, started_s: float) -> tuple[Outcome, float | None]:
        addresses = self.resolve(kind.host)
        if not addresses:
            return Outcome(kind.name, Ending.REFUSED, 0, detail="no data plane"), None
        request_id = f"{self.random.getrandbits(64):016x}"
        self.sent.append(request_id)
        address = self.random.choice(addresses)
        client = HttpClient(address)
        remaining_s = max(0.1, kind.deadline_s - (time.monotonic() - started_s))
        try:
            response = client.request(
                HTTPMethod.POST, kind.path, remaining_s, b"{}", kind.headers(request_id, subject)
            )
        except ServingError as error:
            self._avoid(address)
            return Outcome(kind.name, Ending.LOST, 0, detail=str(error)), None
        finally:
            client.close()
        return check_response(kind, request_id, response, started_s)

    def _avoid(self, address: Address) -> None:
        self.addresses = [other for other in self.addresses if other != address]
        self.addresses_expire_at_s = 0.0


def check_response(
    kind: RequestKind, request_id: str, response: HttpResponse, started_s: float
) -> tuple[Outcome, float | None]:
    """How a request that got this response ended, and when the client may try again, in seconds."""
    outcome = Outcome(kind.name, Ending.SERVED, 0)
    if response.body_started_at_s is not None:
        outcome.first_part_s = response.body_started_at_s - started_s
    if response.status in RETRYABLE_STATUSES:
        outcome.ending = Ending.REFUSED
        return outcome, float(response.headers.get("retry-after", INITIAL_BACKOFF_S))
    if response.status != HTTPStatus.OK:
        outcome.ending, outcome.detail = Ending.FAILED, f"status {response.status}"
    elif not _is_complete(kind, request_id, response):
        outcome.ending, outcome.detail = Ending.WRONG, f"{request_id}: {response.body[:80]!r}"
    return outcome, None


def _is_complete(kind: RequestKind, request_id: str, response: HttpResponse) -> bool:
    """Whether one backend produced the complete answer to this request."""
    signature = response.headers.get("server-signature")
    if response.headers.get("request-id") != request_id or signature is None:
        return False
    if kind.events:
        numbers = range(1, kind.events + 1)
        return response.body == b"".join(event(number, request_id, kind.events) for number in numbers)
    backend_id = response.body.decode("latin-1").strip().rpartition(" ")[2]
    return response.body == plain_body(backend_id, request_id) and signature == sign(backend_id, request_id)
