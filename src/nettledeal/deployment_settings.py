"""The deployment's settings: checked, and made flat in the project's units."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from math import inf
from typing import Any

from nettledeal import units
from nettledeal.configuration_files import ConfigError

# What a setting must be, where the agent or the module would stumble over anything else.
_WHOLE = ("balancers", "me", "zone", "allowed.most_hand_offs", "allowed.max_open")
_NUMBERS = (
    "rules.overload_factor",
    "rules.cold_from",
    "surplus_payoff",
    "tariffs.probe",
    "tariffs.cross_zone",
    "tariffs.connection",
)
# The same by group and last part of the name, as these have a number between.
_MANY = (("categories", "payoff"), ("categories", "overdue_payoff"), ("projects", "share"))
_MODES = {
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


def settings(nested: Mapping[str, Any]) -> dict[str, Any]:
    """By names with dots, durations in tenths of a millisecond. Raises ConfigError naming the setting."""
    found: dict[str, Any] = {}
    for name, value in _flat(nested, ""):
        _check(name, value)
        found[name] = units.convert_setting(name, value)
    return found


def _check(name: str, value: Any) -> None:
    whole = isinstance(value, int) and not isinstance(value, bool)
    if (units.is_duration(name) or name in _WHOLE) and (not whole or value < 0):
        raise ConfigError(f"settings.{name}: {value!r} is no whole number from 0 up")
    last = name.rpartition(".")[2]
    if name in _NUMBERS or (name.partition(".")[0], last) in _MANY:
        if not (whole or isinstance(value, float)):
            raise ConfigError(f"settings.{name}: {value!r} is no number")
        if not 0 <= value < inf:
            raise ConfigError(f"settings.{name}: {value!r} is no number from 0 up")
    if value not in _MODES.get(name, (value,)):
        raise ConfigError(f"settings.{name}: {value!r} is none of {', '.join(_MODES[name])}")
    if last == "effect" and not isinstance(value, str) or last == "group" and value not in _GROUPS:
        raise ConfigError(f"settings.{name}: {value!r} is not known")
    if name in _FLAGS and not isinstance(value, bool):
        raise ConfigError(f"settings.{name}: {value!r} is neither true nor false")


def _flat(value: Any, path: str) -> Iterator[tuple[str, Any]]:
    """Names with dots, a list of objects by number and with its count, a list of plain values by commas."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from _flat(inner, f"{path}.{key}" if path else key)
    elif isinstance(value, list) and any(isinstance(inner, dict) for inner in value):
        yield f"{path}.count", len(value)
        for n, inner in enumerate(value):
            yield from _flat(inner, f"{path}.{n}")
    elif isinstance(value, list):
        yield path, ",".join(map(str, value))
    elif value is not None:
        yield path, value
