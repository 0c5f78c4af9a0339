"""Keys of tenants: what the control state holds of them, and those that one agent can use."""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Callable, Iterable, Mapping

import msgspec

from nettledeal.common.errors import ServingError
from nettledeal.common.logs import log_event

TENANT_KEY_PREFIX = "tenant-key/"
KEY_BYTES = 32
LOOKUP_ID_BYTES = 16

# Of what serves one request only.
NO_GENERATION = 0

Opener = Callable[[bytes], bytes]
MakeSecret = Callable[[int], bytes]


class SealedKey(msgspec.Struct, frozen=True, array_like=True):
    """A generation of a tenant's key, sealed for each region that may use it; for none once it is dropped."""

    generation: int
    sealed: dict[str, bytes] = {}


class TenantKey:
    """A key in use. It is not shown by `repr` and is never logged."""

    __slots__ = ("generation", "_secret")

    def __init__(self, generation: int, secret: bytes):
        self.generation = generation
        self._secret = secret

    def __repr__(self) -> str:
        return f"TenantKey(generation={self.generation})"

    def lookup_id(self, part_id: str) -> str:
        """The id under which a part is looked up: a keyed hash, so that no other key gives it."""
        hashed = hashlib.blake2b(part_id.encode("latin-1"), key=self._secret, digest_size=LOOKUP_ID_BYTES)
        return hashed.hexdigest()


def encode_key(key: SealedKey) -> bytes:
    """The value of a control-state entry."""
    return msgspec.msgpack.encode(key)


def decode_key(encoded: bytes) -> SealedKey:
    """Raises msgspec.MsgspecError."""
    return msgspec.msgpack.decode(encoded, type=SealedKey)


class KeyRing:
    """The keys that this agent can open, by tenant; `opener` is None where it has no key of its region."""

    def __init__(self, region: str, opener: Opener | None, make_secret: MakeSecret = secrets.token_bytes):
        self._region = region
        self._make_secret = make_secret
        self._opener = opener
        self._keys: dict[str, TenantKey] = {}
        self._entries: dict[str, bytes] = {}

    def get(self, tenant: str) -> TenantKey | None:
        """The tenant's newest key, None while it is not known here."""
        return self._keys.get(tenant)

    def one_use(self) -> TenantKey:
        """A key that no other request has."""
        return TenantKey(NO_GENERATION, self._make_secret(KEY_BYTES))

    def apply(self, tenants: Iterable[str], entries: Mapping[str, bytes]) -> None:
        """Take the sealed keys of a version of the control state; a key that is not in it is forgotten."""
        keys: dict[str, TenantKey] = {}
        seen: dict[str, bytes] = {}
        for tenant in tenants:
            encoded = entries.get(TENANT_KEY_PREFIX + tenant)
            if encoded is None:
                continue
            seen[tenant] = encoded
            unchanged = self._entries.get(tenant) == encoded
            key = self._keys.get(tenant) if unchanged else self._open(tenant, encoded)
            if key is not None:
                keys[tenant] = key
        self._keys = keys
        self._entries = seen

    def _open(self, tenant: str, encoded: bytes) -> TenantKey | None:
        try:
            entry = decode_key(encoded)
        except msgspec.MsgspecError:
            log_event("tenancy:key_unreadable", tenant=tenant)
            return None
        sealed = entry.sealed.get(self._region)
        if sealed is None or self._opener is None:
            return None
        try:
            return TenantKey(entry.generation, self._opener(sealed))
        except ServingError:
            log_event("tenancy:key_not_opened", tenant=tenant, generation=entry.generation)
            return None
