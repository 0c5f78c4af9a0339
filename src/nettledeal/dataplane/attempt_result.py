"""Results of attempts, as they matter to the client and to backend selection."""

from __future__ import annotations

from enum import Enum, auto
from http import HTTPStatus

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.dataplane.backend_response import BackendResponse
from nettledeal.dataplane.selection import AttemptOutcome

# Clients take these statuses as a guarantee that the request was not and will not be executed.
NOT_EXECUTED_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class AttemptResult(Enum):
    """What is known about the request after an attempt."""

    RESPONDED = auto()  # the client has the complete response
    NOT_SENT = auto()  # no byte reached the backend
    NOT_EXECUTED = auto()  # the backend says that it did not execute it
    BROKEN = auto()  # it may have been executed


def is_refusal(response: BackendResponse) -> bool:
    """Whether the backend guarantees with a matching status that it didn't execute the request."""
    return response.not_executed and response.status in NOT_EXECUTED_STATUSES


def attempt_outcome(
    response: BackendResponse, result: AttemptResult, expects_version: bool
) -> AttemptOutcome:
    """The outcome that selection learns from a response.

    421 means that the address belongs to another backend, unless the client asked for a version of the
    weights: then it may also mean that this backend has other weights.
    """
    if result is AttemptResult.NOT_EXECUTED:
        replaced = response.status == HTTPStatus.MISDIRECTED_REQUEST and not expects_version
        return AttemptOutcome.REPLACED if replaced else AttemptOutcome.REFUSED
    if result is AttemptResult.RESPONDED and response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return AttemptOutcome.COMPLETED
    return AttemptOutcome.FAILED


def connect_outcome(error: ServingError) -> AttemptOutcome:
    """The outcome of a failed connect; the agent's own connection limit says nothing about the backend."""
    if error.code is ErrorCode.UNAVAILABLE:
        return AttemptOutcome.NOT_SENT
    return AttemptOutcome.UNREACHABLE
