"""Codec of the simulator's line protocol; units and rounding are in `units.py`."""

from __future__ import annotations

from collections.abc import Mapping

from nettledeal.model import (
    Action,
    Answer,
    CancelAttempt,
    Lifecycle,
    Listing,
    Outcome,
    Probe,
    SendAttempt,
    SubscribeToList,
    Verdict,
)
from nettledeal.units import NS_PER_TENTH, convert_setting, is_duration, round_up

OUTCOMES = {
    "S": Outcome.FINISHED,
    "E": Outcome.ERROR,
    "F": Outcome.FULL,
    "T": Outcome.TIMED_OUT,
    "C": Outcome.UNREACHABLE,
    "R": Outcome.RESET,
    "X": Outcome.CANCELLED,
    "N": Outcome.UNSENT,
}
LIFECYCLES = {"live": Lifecycle.RUNNING, "quiescing": Lifecycle.DRAINING, "dead": Lifecycle.GONE}

# Fields that each event must have.
REQUIRED_FIELDS = {
    "tick": ("sim_time",),
    "pool": ("table", "members"),
    "entry": ("backend",),
    "up": ("i", "prng"),
    "announce": ("i", "scope"),
    "submit": ("i", "txn", "band", "client_deadline"),
    "withdrawn": ("i", "txn"),
    "destroy": ("i",),
    "ring": ("i", "token"),
    "ended": ("i", "txn", "go", "backend", "outcome"),
    "pong": ("i", "backend", "outcome"),
    "streaming": ("i", "txn", "go"),
}
INTEGER_FIELDS = frozenset(
    (
        "sim_time",
        "table",
        "members",
        "i",
        "prng",
        "index",
        "txn",
        "billing",
        "band",
        "bits",
        "client_deadline",
        "effort",
        "token",
        "go",
        "took",
        "ended",
        "came_up",
        "rack_zone",
        "shape",
        "stripe",
    )
)


class ProtocolError(ValueError):
    """A malformed line; the message says what is wrong with it."""


def parse(line: str) -> tuple[str, dict]:
    """Splits a line into event name and fields; an unknown event has no fields."""
    name, _, rest = line.partition(" ")
    required = REQUIRED_FIELDS.get(name)
    if required is None:
        return name, {}
    fields: dict = {}
    if name == "up":
        # Besides these two fields the line lists the settings, as `name=value` each.
        parts = rest.split(" ")
        fields["facts"] = " ".join(part for part in parts if not part.startswith(("i=", "prng=")))
        rest = " ".join(part for part in parts if part.startswith(("i=", "prng=")))
    for part in rest.split():
        key, equals, value = part.partition("=")
        if not equals:
            raise ProtocolError(f"{name}: no value in {part!r}")
        if key in INTEGER_FIELDS:
            try:
                fields[key] = int(value)
            except ValueError:
                raise ProtocolError(f"{name}: {key} is no whole number: {value!r}") from None
        else:
            fields[key] = value
    for key in required:
        if key not in fields:
            raise ProtocolError(f"{name}: {key} is missing")
    return name, fields


def settings(settings_text: str) -> dict:
    """The settings by name, in the units of the project; unknown ones pass through."""
    found: dict = {}
    for part in settings_text.split():
        name, equals, text = part.partition("=")
        if not equals:
            raise ProtocolError(f"up: no value in {part!r}")
        try:
            found[name] = _value(name, text)
        except ValueError:
            raise ProtocolError(f"up: {name} cannot be read: {text!r}") from None
    return found


def _value(name: str, text: str):
    last = name.rpartition(".")[2]
    if is_duration(name) or last == "effect":
        return convert_setting(name, text)
    if last in ("name", "zones", "kinds", "tiers", "fields", "workload", "via", "weights", "payoff_by"):
        return text
    if text in ("true", "false"):
        return text == "true"
    try:
        return int(text)
    except ValueError:
        pass
    try:
        return float(text)
    except ValueError:
        return text


def listing(fields: Mapping) -> Listing:
    try:
        weight = float(fields.get("nominal", 1))
    except ValueError:
        raise ProtocolError(f"entry: nominal is no number: {fields['nominal']!r}") from None
    return Listing(
        backend=fields["backend"],
        lifecycle=LIFECYCLES.get(fields.get("lifecycle", "live"), Lifecycle.RUNNING),
        zone=fields.get("rack_zone", 0),
        machine_type=fields.get("shape", 0),
        cell=fields.get("stripe", 0),
        weight=weight,
        started_at=round_up(fields.get("came_up", 0)),
    )


def report(row: str | None, names: list[str]) -> dict[str, float]:
    """Parses a load report by field name; values that are not numbers are left out."""
    values: dict[str, float] = {}
    if row:
        for name, text in zip(names, row.split(","), strict=False):
            try:
                values[name] = float(text)
            except ValueError:
                continue
    return values


def encode(instance: int, act: Action) -> str:
    match act:
        case SendAttempt(work_item, _, backend, timeout):
            timeout_field = f" give_up_after={timeout * NS_PER_TENTH}" if timeout > 0 else ""
            return f"relay i={instance} txn={work_item}{timeout_field} backend={backend}"
        case Answer(work_item, Verdict.DEFERRED, retry_after):
            retry_field = f" retry_after={retry_after * NS_PER_TENTH}" if retry_after > 0 else ""
            return f"reject i={instance} txn={work_item}{retry_field}"
        case Answer(work_item, _, _):
            return f"finish_error i={instance} txn={work_item}"
        case CancelAttempt(work_item, number):
            return f"cancel i={instance} txn={work_item} go={number}"
        case Probe(backend):
            return f"inspect i={instance} backend={backend}"
        case SubscribeToList():
            return f"keep_informed i={instance} active=1"
    raise TypeError(f"no line for {act!r}")
