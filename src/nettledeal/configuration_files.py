"""Files and values of them, read into typed ones: every fault names the key at fault, on one line."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from nettledeal.net.address import Address, parse_address

T = TypeVar("T")


class ConfigError(ValueError):
    """What is wrong with the configuration, on one line, with the key at fault."""


def decoded(raw: bytes, kind: type[T], form: str = "JSON") -> T:
    """Of that kind, out of JSON or TOML.

    Raises ConfigError naming the key that is none of its own, or has a value of another kind."""
    try:
        return (msgspec.json if form == "JSON" else msgspec.toml).decode(raw, type=kind)
    except msgspec.ValidationError as fault:
        what, _, where = str(fault).partition(" - at `$.")
        raise ConfigError(f"{where.rstrip('`') or 'the file'}: {what}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise ConfigError(f"the file: no {form}: {fault}") from None


def address(key: str, text: str) -> Address:
    """A host and a port out of the text. Raises ConfigError naming the key."""
    try:
        return parse_address(text)
    except ValueError as fault:
        raise ConfigError(f"{key}: {fault}") from None
