"""Builds the description of a request for backend selection from its headers and its route."""

from __future__ import annotations

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.dataplane.client_request import ClientRequest
from nettledeal.dataplane.routing_table import RouteTarget
from nettledeal.dataplane.selection import CallDescription, PromptPart


def describe_call(
    request: ClientRequest, target: RouteTarget, service: str, body_bytes: int
) -> CallDescription:
    """The description of one request; unreadable headers are ignored.

    A tenant's request is described by the part ids of its separated prompt. Raises ServingError with
    UNPROVEN_TENANT if a request on a tenant's route was not admitted as a tenant's.
    """
    prompt_tokens, output_tokens = _parse_token_usage(request.header(b"token-usage"))
    return CallDescription(
        route_name=target.route.name,
        service=service,
        home_regions=target.home_regions,
        prompt_parts=_prompt_parts(request, target),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        priority=target.route.priority,
        latency_target_s=target.target_latency_s,
        deadline_s=request.deadline_s(target.timeout_s),
        body_bytes=body_bytes,
    )


def _prompt_parts(request: ClientRequest, target: RouteTarget) -> tuple[PromptPart, ...]:
    if request.separated is not None:
        return request.separated.parts
    if target.requires_tenant:
        raise ServingError(ErrorCode.UNPROVEN_TENANT, "describe call", target.route.name)
    return _parse_prompt_prefix(request.header(b"prompt-prefix"))


def _parse_token_usage(value: bytes) -> tuple[int, int]:
    prompt, _, output = value.partition(b",")
    return _parse_count(prompt), _parse_count(output)


def _parse_prompt_prefix(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in value.decode("latin-1").split(",") if value else ():
        part_id, _, tokens = item.strip().partition(":")
        if part_id:
            parts.append(PromptPart(part_id, _parse_count(tokens.encode("latin-1"))))
    return tuple(parts)


def _parse_count(text: bytes) -> int:
    text = text.strip()
    return int(text) if text.isdigit() and len(text) < 10 else 0
