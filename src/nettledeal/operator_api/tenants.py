"""Calls about tenants: which there are, and the next generation of a key, or its drop.

`GET /tenants` answers a list of tenants; `PUT /tenants/NAME/key` brings a sealed key.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPMethod, HTTPStatus

import msgspec

from nettledeal.control.state import ControlState, Outcome, SetTenantKey
from nettledeal.operator_api.messages import Request, Response, accepted, refused, unclear
from nettledeal.tenancy.bindings import tenants_of
from nettledeal.tenancy.keys import SealedKey, encode_key
from nettledeal.tenancy.orders import key_in_force, tenant_statuses

TENANTS_PATH = "/tenants"
KEY_SUFFIX = "/key"
LONGEST_SEALED = 512
MOST_REGIONS = 64


class KeyOrder(msgspec.Struct, frozen=True):
    """The next generation of a tenant's key, sealed for regions (base64 in JSON); for none, it is a drop."""

    generation: int
    sealed: dict[str, bytes] = {}


def key_path(tenant: str) -> str:
    """Where a tenant's key is put."""
    return f"{TENANTS_PATH}/{tenant}{KEY_SUFFIX}"


class TenantCalls:
    """Answers calls at the primary."""

    def __init__(self, read: Callable[[], ControlState], set_key: Callable[[SetTenantKey], Outcome]):
        self._read = read
        self._set_key = set_key

    def answer(self, request: Request) -> Response:
        """The answer to a call. Raises ServingError."""
        if request.path == TENANTS_PATH:
            if request.method is not HTTPMethod.GET:
                return refused(HTTPStatus.METHOD_NOT_ALLOWED, "GET")
            return Response(HTTPStatus.OK, msgspec.json.encode(tenant_statuses(self._read())))
        tenant = request.path.removeprefix(TENANTS_PATH + "/")
        if not tenant.endswith(KEY_SUFFIX):
            return refused(HTTPStatus.NOT_FOUND, "no such resource")
        if request.method is not HTTPMethod.PUT:
            return refused(HTTPStatus.METHOD_NOT_ALLOWED, "PUT")
        return self._put_key(tenant.removesuffix(KEY_SUFFIX), request.body)

    def _put_key(self, tenant: str, body: bytes) -> Response:
        try:
            order = msgspec.json.decode(body, type=KeyOrder)
        except msgspec.MsgspecError as error:
            return refused(HTTPStatus.BAD_REQUEST, str(error))
        longest = max(map(len, order.sealed.values()), default=0)
        if len(order.sealed) > MOST_REGIONS or longest > LONGEST_SEALED:
            return refused(HTTPStatus.BAD_REQUEST, "sealed: too many regions, or too long")
        entry = encode_key(SealedKey(order.generation, order.sealed))
        if self._set_key(SetTenantKey(tenant, entry)) is Outcome.ACCEPTED:
            return accepted()
        return self._refuse(tenant, order.generation)

    def _refuse(self, tenant: str, generation: int) -> Response:
        """Refuse an order, if the newest state confirmed by a quorum gives the reason for it."""
        state = self._read()
        if tenant not in tenants_of(state.entries):
            return refused(HTTPStatus.NOT_FOUND, f"no tenant {tenant!r}")
        current = key_in_force(state, tenant).generation
        if generation != current + 1:
            return refused(HTTPStatus.PRECONDITION_FAILED, f"the key's generation is {current}")
        return unclear("the state has changed in the meantime")
