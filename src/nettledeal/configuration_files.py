"""Decodes configuration files into typed objects. Every error is one line that names the key at fault."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from nettledeal.net.address import Address, parse_address

T = TypeVar("T")


class ConfigError(ValueError):
    """An error in the configuration: one line that names the key at fault."""


def decode_config(raw: bytes, kind: type[T], form: str = "JSON") -> T:
    """Decode JSON or TOML into an object of type `kind`.

    Raises ConfigError that names the key that is unknown or whose value has the wrong type."""
    try:
        return (msgspec.json if form == "JSON" else msgspec.toml).decode(raw, type=kind)
    except msgspec.ValidationError as error:
        problem, _, path = str(error).partition(" - at `$.")
        raise ConfigError(f"{path.rstrip('`') or 'the file'}: {problem}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"the file: not valid {form}: {error}") from None


def parse_address_key(key: str, text: str) -> Address:
    """Parse the host and port that is the value of `key`. Raises ConfigError that names the key."""
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None
