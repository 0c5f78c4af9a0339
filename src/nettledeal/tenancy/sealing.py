"""Sealing of keys for regions, by libsodium's sealed boxes. Importing this module loads PyNaCl."""

from __future__ import annotations

import os
import secrets
from collections.abc import Mapping
from pathlib import Path

from nacl.exceptions import CryptoError
from nacl.public import PrivateKey, PublicKey, SealedBox

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.tenancy.keys import KEY_BYTES, MakeSecret, Opener, SealedKey

PRIVATE_FILE_MODE = 0o600


def make_region_key(path: Path) -> str:
    """Write a region's new private key to a file that only its owner reads; returns the public key in hex.

    Raises OSError where the file is there already or can't be written.
    """
    private = PrivateKey.generate()
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, PRIVATE_FILE_MODE)
    with open(descriptor, "w", encoding="ascii") as file:
        file.write(bytes(private).hex() + "\n")
    return bytes(private.public_key).hex()


def region_opener(path: Path) -> Opener:
    """What opens keys that are sealed for the region whose private key is in the file.

    Raises ServingError with INVALID_SETTINGS; the error does not quote the file.
    """
    try:
        private = PrivateKey(bytes.fromhex(path.read_text(encoding="ascii")))
    except (OSError, ValueError, TypeError, CryptoError):
        raise ServingError(ErrorCode.INVALID_SETTINGS, "read region key", f"{path}: no private key") from None
    box = SealedBox(private)

    def open_sealed(sealed: bytes) -> bytes:
        try:
            secret = box.decrypt(sealed)
        except (CryptoError, ValueError, TypeError):
            raise ServingError(ErrorCode.FOREIGN_DATA, "open tenant key", "not for this region") from None
        if len(secret) != KEY_BYTES:
            raise ServingError(ErrorCode.FOREIGN_DATA, "open tenant key", "of another length")
        return secret

    return open_sealed


def is_public_key(text: str) -> bool:
    """Whether `text` is a region's public key in hex."""
    try:
        PublicKey(bytes.fromhex(text))
    except (ValueError, TypeError, CryptoError):
        return False
    return True


def make_sealed_key(
    generation: int, public_keys: Mapping[str, str], make_secret: MakeSecret = secrets.token_bytes
) -> SealedKey:
    """A new key, sealed for each region; it is kept nowhere in the clear."""
    secret = make_secret(KEY_BYTES)
    sealed = {
        region: bytes(SealedBox(PublicKey(bytes.fromhex(public_key))).encrypt(secret))
        for region, public_key in public_keys.items()
    }
    return SealedKey(generation, sealed)
