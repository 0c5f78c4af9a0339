"""Tenants: their names, and the proof that a request is one's."""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Iterable
from dataclasses import dataclass

LONGEST_NAME = 63
DIGEST_BYTES = 32
_NAME = re.compile(r"[a-z0-9](?:[a-z0-9-]*[a-z0-9])?")


@dataclass(frozen=True, slots=True)
class ProvenTenant:
    """The tenant that a request is known to come from. Only `gate` makes one, by the route or a token.

    Whatever finds or keeps parts of prompts takes one of these, so nothing is looked up without a tenant.
    """

    name: str


def is_name(text: str) -> bool:
    """Whether `text` may name a tenant: lower-case letters, digits and inner hyphens, 63 at most."""
    return len(text) <= LONGEST_NAME and _NAME.fullmatch(text) is not None


def token_digest(token: bytes) -> str:
    """What the configuration holds of a tenant's token, in hex."""
    return hashlib.blake2b(token, digest_size=DIGEST_BYTES, person=b"tenant-token").hexdigest()


def is_digest(text: str) -> bool:
    """Whether `text` may be a digest of a token."""
    return re.fullmatch(f"[0-9a-f]{{{2 * DIGEST_BYTES}}}", text) is not None


def token_matches(token: bytes, digests: Iterable[str]) -> bool:
    """Whether the token is one of those whose digests are given; takes as long whichever differs."""
    own = token_digest(token)
    matches = [hmac.compare_digest(own, digest) for digest in digests]
    return any(matches)
