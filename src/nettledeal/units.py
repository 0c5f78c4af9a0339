"""Units and rounding shared by the hosts of the balancer: the simulator bridge and the network agent.

Both receive settings in nanoseconds, while the project counts tenths of a millisecond. Values are rounded
to the side that keeps the rules: the clock and the length of a warm-up up, an expiry and a deduplication
window down.
"""

from __future__ import annotations

NS_PER_TENTH = 100_000
# A point in time or a duration, in tenths of a millisecond.
Time = int

# Values of `effect` in the simulator's settings.
EFFECTS = {"safe": "rerunnable", "keyed": "ticketed", "unsafe": "exclusive"}

# Settings that are durations, by the direction in which they are rounded.
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
CATEGORY_DURATIONS = frozenset(("due_time", "expiry", "window"))


def round_down(nanoseconds: int) -> int:
    return nanoseconds // NS_PER_TENTH


def round_up(nanoseconds: int) -> int:
    return -(-nanoseconds // NS_PER_TENTH)


def is_duration(name: str) -> bool:
    last = name.rpartition(".")[2]
    return (
        name in ROUND_DOWN
        or name in ROUND_UP
        or name.startswith("categories.")
        and last in CATEGORY_DURATIONS
    )


def convert_setting(name: str, value):
    """Converts a setting to the names and units of the project; unknown settings pass through."""
    if is_duration(name):
        return round_up(int(value)) if name in ROUND_UP else round_down(int(value))
    if name.rpartition(".")[2] == "effect":
        # For an unknown effect the strictest rules hold.
        return EFFECTS.get(value, "exclusive")
    return value
