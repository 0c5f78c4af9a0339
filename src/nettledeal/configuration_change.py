"""Checks whether a new configuration may replace the one in force."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from nettledeal.configuration import Configuration
from nettledeal.configuration_files import ConfigError
from nettledeal.net.clock import SECOND

# A day, and more attempts than anyone wants: a larger value is taken for a mistake.
_MAX_DURATION_TENTHS = 24 * 3600 * SECOND
_MAX_ATTEMPTS = 1000


def check_replacement(old: Configuration, new: Configuration) -> None:
    """Raise ConfigError if `new` lacks a key that `old` has, or has a value out of range.

    Both are taken for mistakes: a key left out, a timeout of 0, or a truncated file that is still JSON."""
    _check_keys(old.keys, new.keys, "")
    for n in range(new.settings.get("categories.count", 0)):
        for duration in ("expiry", "due_time"):
            _check_range(f"categories.{n}.{duration}", new.settings, _MAX_DURATION_TENTHS)
    _check_range("allowed.most_hand_offs", new.settings, _MAX_ATTEMPTS)


def _check_keys(old: Any, new: Any, path: str) -> None:
    """Raise ConfigError for a key of `old` that `new` lacks, or for a value of another shape.

    Objects in lists are matched by name; a new one must have all keys that the old ones have in common."""
    if isinstance(old, dict) and isinstance(new, dict):
        for key, inner in old.items():
            inner_path = f"{path}.{key}" if path else key
            if key not in new:
                raise ConfigError(f"{inner_path}: missing, but the file in force has it")
            _check_keys(inner, new[key], inner_path)
    elif isinstance(old, list) and isinstance(new, list):
        by_name = {str(inner.get("name")): inner for inner in old if isinstance(inner, dict)}
        key_sets = [inner.keys() for inner in by_name.values()]
        shared = (
            {key: None for key in key_sets[0] if all(key in keys for keys in key_sets)} if key_sets else {}
        )
        for n, inner in enumerate(new):
            if isinstance(inner, dict):
                _check_keys(by_name.get(str(inner.get("name")), shared), inner, f"{path}.{n}")
    elif old is not None and (isinstance(new, dict | list) or isinstance(old, dict | list)):
        raise ConfigError(f"{path}: {type(new).__name__} instead of {type(old).__name__}")


def _check_range(name: str, settings: Mapping[str, Any], maximum: int) -> None:
    value = settings.get(name)
    if value is not None and not 0 < value <= maximum:
        raise ConfigError(f"settings.{name}: {value} is not a number from 1 to {maximum}")
