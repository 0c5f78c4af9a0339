"""What each call of the operator's API does.

Only a primary that has confirmed its part refuses an order: one that was deposed would judge it by an old
state. Whatever is unclear is answered with 503, after which the caller sends the order again.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from http import HTTPMethod, HTTPStatus
from typing import TYPE_CHECKING

import msgspec
import xxhash

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.logs import log_event
from nettledeal.control.state import (
    TENANTS_KEY,
    ControlState,
    Outcome,
    PutConfiguration,
    SetEvacuation,
    configuration_digest,
)
from nettledeal.operator_api.configuration import Configuration
from nettledeal.operator_api.configuration_checks import parse_configuration
from nettledeal.operator_api.configuration_patch import parse_patch, patched
from nettledeal.operator_api.messages import Header, Request, Response, accepted, redirected, refused, unclear
from nettledeal.operator_api.node import ControlNode
from nettledeal.operator_api.orders import ANSWER_WITHIN_S, OrdersUnderWay, Task
from nettledeal.operator_api.status import ControlStatus

if TYPE_CHECKING:
    from nettledeal.tenancy.bindings import TenancyClaims

CONFIGURATION_PATH = "/config"
EVACUATIONS_PATH = "/evacuations/"
TENANTS_PATH = "/tenants"
TENANT_KEYS_PATH = "/tenants/"
STATUS_PATH = "/status"
PRIMARY_HEARD_WITHIN_S = 1.5

StatusSection = Callable[[], object]


def order_digest(expected_version: int, body: bytes) -> bytes:
    """Identifies a configuration, or a patch of one, that is sent again unchanged.

    The same body on top of another version is another order, which may be invalid by then.
    """
    return xxhash.xxh3_128_digest(f"{expected_version}\n".encode() + body)


class OperatorApi:
    """Answers operators' calls at one core machine."""

    def __init__(
        self,
        node: ControlNode,
        own_address: str,
        zones: Callable[[], Collection[str]],
        status_sections: Mapping[str, StatusSection] | None = None,
        answer_within_s: float = ANSWER_WITHIN_S,
    ):
        self._node = node
        self._own_address = own_address
        self._zones = zones
        self._status_sections = status_sections or {}
        self._answer_within_s = answer_within_s
        self._orders = OrdersUnderWay(node.submit, answer_within_s)

    def handle(self, request: Request) -> Response:
        """The answer to a call, within the time a caller waits for one."""
        try:
            response = self._dispatch(request)
        except ServingError as error:
            response = self._failed(request, error)
        if request.method is not HTTPMethod.GET and response.status != HTTPStatus.TEMPORARY_REDIRECT:
            self._log_order(request, response)
        return response

    def _log_order(self, request: Request, response: Response) -> None:
        log_event(
            "operator_api:order",
            method=str(request.method),
            path=request.path,
            if_match=request.if_match,
            digest=configuration_digest(request.body).hex(),
            status=int(response.status),
            generation=self._node.state.generation,
        )

    def _dispatch(self, request: Request) -> Response:
        if request.path == STATUS_PATH and request.method is HTTPMethod.GET:
            return self._status()
        if request.path == CONFIGURATION_PATH:
            if request.method is HTTPMethod.PUT:
                return self._redirect(request) or self._put_configuration(request)
            if request.method is HTTPMethod.PATCH:
                return self._redirect(request) or self._patch_configuration(request)
            if request.method is HTTPMethod.GET:
                return self._redirect(request) or self._get_configuration()
            return refused(HTTPStatus.METHOD_NOT_ALLOWED, "GET, PUT or PATCH")
        if request.path.startswith(EVACUATIONS_PATH):
            if request.method not in (HTTPMethod.POST, HTTPMethod.DELETE):
                return refused(HTTPStatus.METHOD_NOT_ALLOWED, "POST or DELETE")
            return self._set_evacuation(request)
        if request.path == TENANTS_PATH or request.path.startswith(TENANT_KEYS_PATH):
            return self._redirect(request) or self._tenants(request)
        return refused(HTTPStatus.NOT_FOUND, "no such resource")

    def _tenants(self, request: Request) -> Response:
        """Answer calls about tenants, by parts that are loaded with the first of them."""
        from nettledeal.operator_api.tenants import TenantCalls

        return TenantCalls(self._read, self._orders.set_tenant_key).answer(request)

    def _redirect(self, request: Request) -> Response | None:
        """An answer that sends the caller to the primary; None at the primary itself."""
        if self._node.is_primary:
            return None
        address = self._node.primary_address
        if address is None or str(address) == self._own_address:
            return unclear("the primary is unknown")
        if self._node.confirmed_age_s() > PRIMARY_HEARD_WITHIN_S:
            return unclear("the primary was not heard lately")
        return redirected(str(address), request.path)

    def _put_configuration(self, request: Request) -> Response:
        try:
            expected_version = read_version(request.if_match)
            configuration = parse_configuration(request.body)
        except ServingError as error:
            return refused(HTTPStatus.BAD_REQUEST, error.reason)
        digest = order_digest(expected_version, request.body)
        return self._submit(expected_version, configuration, digest, request.body)

    def _patch_configuration(self, request: Request) -> Response:
        """Put the configuration in force that follows from the present one by a patch.

        A patch that was taken before is acknowledged again, whatever has changed since.
        """
        try:
            expected_version = read_version(request.if_match)
            patch = parse_patch(request.body)
        except ServingError as error:
            return refused(HTTPStatus.BAD_REQUEST, error.reason)
        digest = order_digest(expected_version, request.body)
        state = self._read()
        if state.has_accepted(digest):
            return accepted()
        if state.configuration is None or expected_version != state.generation:
            return refused(HTTPStatus.PRECONDITION_FAILED, f"the current version is {state.generation}")
        try:
            body = patched(state.configuration, patch)
            configuration = parse_configuration(body)
        except ServingError as error:
            return refused(HTTPStatus.BAD_REQUEST, error.reason)
        return self._submit(expected_version, configuration, digest, body)

    def _submit(
        self, expected_version: int, configuration: Configuration, digest: bytes, body: bytes
    ) -> Response:
        command = PutConfiguration(
            expected_version, configuration.generation, digest, body, self._claims_of(configuration)
        )
        outcome = self._orders.put_configuration(command)
        if outcome is Outcome.ACCEPTED:
            return accepted()
        return self._refuse_configuration(command)

    def _claims_of(self, configuration: Configuration) -> TenancyClaims | None:
        """What the configuration says of tenants; None where neither it nor the state has any."""
        if not configuration.has_tenants and TENANTS_KEY not in self._node.state.entries:
            return None
        from nettledeal.tenancy.bindings import claims_of

        return claims_of(configuration)

    def _refuse_configuration(self, command: PutConfiguration) -> Response:
        """Refuse a configuration, if the newest state confirmed by a quorum gives the reason for it."""
        current = self._read().generation
        if command.expected_version != current:
            return refused(HTTPStatus.PRECONDITION_FAILED, f"the current version is {current}")
        if command.generation <= current:
            return refused(HTTPStatus.BAD_REQUEST, f"generation: not above the current one, {current}")
        if command.claims is not None:
            from nettledeal.tenancy.bindings import fault_of_claims

            fault = fault_of_claims(self._read().entries, command.claims)
            if fault is not None:
                return refused(HTTPStatus.BAD_REQUEST, fault)
        return unclear("the state has changed in the meantime")

    def _get_configuration(self) -> Response:
        state = self._read()
        if state.configuration is None:
            return refused(HTTPStatus.NOT_FOUND, "no configuration yet")
        return Response(HTTPStatus.OK, state.configuration, [Header("ETag", f'"{state.generation}"')])

    def _set_evacuation(self, request: Request) -> Response:
        zone = request.path.removeprefix(EVACUATIONS_PATH)
        if zone not in self._zones():
            return refused(HTTPStatus.NOT_FOUND, f"no zone {zone!r}")
        redirect = self._redirect(request)
        if redirect is not None:
            return redirect
        outcome = self._orders.set_evacuation(SetEvacuation(zone, request.method is HTTPMethod.POST))
        return accepted() if outcome is Outcome.ACCEPTED else unclear("the evacuation was not taken")

    def _read(self) -> ControlState:
        task = Task(self._node.read)
        task.start()
        return task.result(self._answer_within_s, "read state")

    def _failed(self, request: Request, error: ServingError) -> Response:
        if error.code is ErrorCode.NOT_PRIMARY:
            return self._redirect(request) or unclear("the primary is changing")
        return unclear(str(error))

    def _status(self) -> Response:
        node = self._node
        primary = node.primary_address
        sections: dict[str, object] = {
            "control": ControlStatus(
                node.is_primary,
                None if primary is None else str(primary),
                node.state.sequence,
                node.state.generation,
                sorted(node.state.evacuated_zones),
            )
        }
        sections.update((name, section()) for name, section in self._status_sections.items())
        return Response(HTTPStatus.OK, msgspec.json.encode(sections, enc_hook=str))


def read_version(if_match: str | None) -> int:
    """The version in an `If-Match` header; raises ServingError with INVALID_CONFIGURATION."""
    text = (if_match or "").strip().strip('"')
    if not text.isascii() or not text.isdigit():
        raise ServingError(ErrorCode.INVALID_CONFIGURATION, "read If-Match", "If-Match: not a version")
    return int(text)
