"""Validates the deployment's settings and flattens them, with durations in internal units."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from math import inf
from typing import Any

from nettledeal import units
from nettledeal.configuration_files import ConfigError

# The settings whose type or range is checked, as the agent or the policy module would fail on anything else.
_INTEGERS = ("balancers", "me", "zone", "allowed.most_hand_offs", "allowed.max_open")
_NUMBERS = (
    "rules.overload_factor",
    "rules.cold_from",
    "surplus_payoff",
    "tariffs.probe",
    "tariffs.cross_zone",
    "tariffs.connection",
)
# Numbers in lists, by group and last part of the name; the index stands between the two.
_LIST_NUMBERS = (("categories", "payoff"), ("categories", "overdue_payoff"), ("projects", "share"))
_CHOICES = {
    "discovery": ("pushed", "on_request"),
    "payoff_by": ("request", "work"),
    "feedback.via": ("piggyback", "pull", "silent"),
    "weights": ("nominal", "rough", "live", "silent"),
}
_FLAGS = (
    "allowed.may_duplicate",
    "allowed.cancelling",
    "allowed.probes",
    "allowed.retry_after",
    "family_info.warm_keys",
)
_GROUPS = ("all", "zone", "cell")


def flatten_settings(nested: Mapping[str, Any]) -> dict[str, Any]:
    """Settings by dotted names, with durations in tenths of a millisecond.

    Raises ConfigError that names the setting at fault."""
    flat: dict[str, Any] = {}
    for name, value in _flatten(nested, ""):
        _check(name, value)
        flat[name] = units.convert_setting(name, value)
    return flat


def _check(name: str, value: Any) -> None:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if (units.is_duration(name) or name in _INTEGERS) and (not is_integer or value < 0):
        raise ConfigError(f"settings.{name}: {value!r} is not an integer of at least 0")
    last = name.rpartition(".")[2]
    if name in _NUMBERS or (name.partition(".")[0], last) in _LIST_NUMBERS:
        if not (is_integer or isinstance(value, float)):
            raise ConfigError(f"settings.{name}: {value!r} is not a number")
        if not 0 <= value < inf:
            raise ConfigError(f"settings.{name}: {value!r} is not a finite number of at least 0")
    if value not in _CHOICES.get(name, (value,)):
        raise ConfigError(f"settings.{name}: {value!r} is not one of {', '.join(_CHOICES[name])}")
    if last == "effect" and not isinstance(value, str) or last == "group" and value not in _GROUPS:
        raise ConfigError(f"settings.{name}: {value!r} is not a known value")
    if name in _FLAGS and not isinstance(value, bool):
        raise ConfigError(f"settings.{name}: {value!r} is neither true nor false")


def _flatten(value: Any, path: str) -> Iterator[tuple[str, Any]]:
    """Yield dotted names and values.

    Lists of objects become a count and entries by index; other lists are joined by commas."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from _flatten(inner, f"{path}.{key}" if path else key)
    elif isinstance(value, list) and any(isinstance(inner, dict) for inner in value):
        yield f"{path}.count", len(value)
        for n, inner in enumerate(value):
            yield from _flatten(inner, f"{path}.{n}")
    elif isinstance(value, list):
        yield path, ",".join(map(str, value))
    elif value is not None:
        yield path, value
