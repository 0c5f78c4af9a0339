"""Words, units and rounding that both hosts of the balancer need: the bench's wire and the sockets.

Both are given settings in nanoseconds; the project counts tenths of a millisecond. What is rounded
goes to the side that keeps the rules: the clock up, an expiry and a memory of repeats down, a cold
start's length up.
"""

from __future__ import annotations

TENTH = 100_000
# A moment or a duration, in tenths of a millisecond.
Time = int

EFFECTS = {"safe": "rerunnable", "keyed": "ticketed", "unsafe": "exclusive"}

# Durations among the settings, and which way each is rounded.
ROUND_DOWN = frozenset(
    (
        "allowed.conn_idle",
        "allowed.connect_timeout",
        "allowed.max_retry_after",
        "rules.answer_slack",
        "rules.ask_within",
        "rules.drain_grace",
    )
)
ROUND_UP = frozenset(("resolution", "rules.tip_after", "rules.warm_within"))
CATEGORY_TIMES = frozenset(("due_time", "expiry", "window"))


def down(nanoseconds: int) -> int:
    return nanoseconds // TENTH


def up(nanoseconds: int) -> int:
    return -(-nanoseconds // TENTH)


def is_duration(name: str) -> bool:
    last = name.rpartition(".")[2]
    return name in ROUND_DOWN or name in ROUND_UP or name.startswith("categories.") and last in CATEGORY_TIMES


def setting(name: str, value):
    """One of the settings in the project's words and units; an unknown name passes through."""
    if is_duration(name):
        return up(int(value)) if name in ROUND_UP else down(int(value))
    if name.rpartition(".")[2] == "effect":
        # Unknown rights are the strictest ones.
        return EFFECTS.get(value, "exclusive")
    return value
