"""What is certain after an attempt at a backend, and what the selection learns from it."""

from __future__ import annotations

from enum import Enum, auto
from http import HTTPStatus

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.dataplane.backend_response import BackendResponse
from nettledeal.dataplane.selection import AttemptOutcome

# What a client takes for a promise that its request has not run and never will.
NOT_EXECUTED_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class AttemptResult(Enum):
    """What is certain after an attempt."""

    RESPONDED = auto()  # the client has its whole answer
    NOT_SENT = auto()  # no byte reached the backend
    NOT_EXECUTED = auto()  # the backend says that it did not run it
    BROKEN = auto()  # it may have run


def is_refusal(response: BackendResponse) -> bool:
    """Whether the backend gives the promise with a status that says so, so that another may be asked."""
    return response.not_executed and response.status in NOT_EXECUTED_STATUSES


def attempt_outcome(
    response: BackendResponse, result: AttemptResult, expects_version: bool
) -> AttemptOutcome:
    """What an attempt with this answer says of its backend.

    421 says that another one has the address, unless the client named a version of the weights: then it may
    as well say that this backend has other ones.
    """
    if result is AttemptResult.NOT_EXECUTED:
        replaced = response.status == HTTPStatus.MISDIRECTED_REQUEST and not expects_version
        return AttemptOutcome.REPLACED if replaced else AttemptOutcome.REFUSED
    if result is AttemptResult.RESPONDED and response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return AttemptOutcome.COMPLETED
    return AttemptOutcome.FAILED


def connect_outcome(error: ServingError) -> AttemptOutcome:
    """What a failed connection says of the backend: nothing, where this agent has used its own part."""
    if error.code is ErrorCode.UNAVAILABLE:
        return AttemptOutcome.NOT_SENT
    return AttemptOutcome.UNREACHABLE
