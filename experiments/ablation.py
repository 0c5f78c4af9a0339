"""Ablation: switches one mechanism of the serving system off in a copy of the sources, to measure its worth.

    python3 experiments/ablation.py list
    python3 experiments/ablation.py NAME FOLDER

changes the sources in FOLDER, a scratch copy of the repository, which is then run beside an unchanged copy
on the same simulated days. A mechanism is switched off by replacing source lines; `tests/test_ablation.py`
checks that these lines still exist. Mechanisms that enforce a rule (the bound for cold backends, budgets,
drains) are not included.
"""

from __future__ import annotations

import argparse
import sys
from dataclasses import dataclass
from pathlib import Path

SELECTION = "dataplane/selection"
PACKAGE = Path("src") / "nettledeal"


@dataclass(frozen=True, slots=True)
class Switch:
    """A piece of source text of a mechanism, and its replacement that switches the mechanism off."""

    file: str
    on: str
    off: str


def _tuning(name: str, on: str, off: str) -> Switch:
    return Switch(f"{SELECTION}/model.py", f"    {name}: float = {on}\n", f"    {name}: float = {off}\n")


SWITCHES = {
    "home first": (
        Switch(
            f"{SELECTION}/placement.py",
            "        if not home or call.home_regions:\n",
            "        if True:\n            return usable\n        if not home or call.home_regions:\n",
        ),
    ),
    "threshold learned": (
        Switch(f"{SELECTION}/home_threshold.py", "DECREASE_FACTOR = 0.90\n", "DECREASE_FACTOR = 1.0\n"),
        Switch(f"{SELECTION}/home_threshold.py", "INCREASE_FACTOR = 1.005\n", "INCREASE_FACTOR = 1.0\n"),
    ),
    "own sends added": (
        Switch(
            f"{SELECTION}/service_state.py",
            "return record.remembered_queue(now) + record.own_queue(self.profile.engine_capacity > 0)",
            "return record.remembered_queue(now)",
        ),
    ),
    "sharpness": (_tuning("queue_weight_exponent", "4.0", "1.0"),),
    "reading part": (_tuning("long_prompt_backend_share", "2 / 3", "1.0"),),
    "affinity": (
        Switch(
            f"{SELECTION}/model.py",
            "    affinity_min_tokens: int = 256\n",
            "    affinity_min_tokens: int = 1 << 40\n",
        ),
    ),
    "distrust in the draw": (_tuning("failure_weight_exponent", "6.0", "0.0"),),
    "ejection": (
        Switch(
            f"{SELECTION}/attempt_tracker.py",
            "elif record.health.record_failure(now) and self._may_eject(record, now):",
            "elif record.health.record_failure(now) and False:",
        ),
    ),
    "failures told": (_tuning("reported_failure_weight", "1.0", "0.0"),),
    "silence checks": (
        Switch(
            "dataplane/silence_check.py",
            "        self._set_timeout(self.selector.connect_check_delay_s(self.attempt))\n",
            "        self._set_timeout(None)\n",
        ),
        Switch(
            "dataplane/silence_check.py",
            "        self._set_timeout(STREAM_CHECK_DELAY_S if resumable else None)\n",
            "        self._set_timeout(None)\n",
        ),
    ),
    "long rests": (_tuning("max_idle_s", "6.0", "0.5"),),
    "connected first": (_tuning("new_connection_queue_penalty", "1.5", "0.0"),),
    "loads told by backends": (
        Switch(
            "dataplane/forwarding.py",
            "read_server_load(response.header(LOAD_HEADER))",
            "None",
        ),
    ),
    "pauses in streams": (
        Switch(
            "dataplane/forwarding.py",
            "            if response.is_event_stream:\n",
            "            if False:\n",
        ),
    ),
    "queues told": (_tuning("min_reported_queue", "3.0", "1e9"),),
    "replaced backends": (
        Switch(f"{SELECTION}/replaced_backends.py", "MIN_REPLACED = 2\n", "MIN_REPLACED = 1 << 40\n"),
        Switch(
            f"{SELECTION}/attempt_tracker.py",
            "            self.reports.add_replaced(record.backend.id)\n",
            "",
        ),
    ),
    "zones in doubt": (
        Switch(
            f"{SELECTION}/selection_state.py",
            "self.suspect_zones = frozenset(zones) - {self.placement.zone}",
            "self.suspect_zones = frozenset()",
        ),
    ),
}


def switch_off(name: str, repository: Path) -> None:
    """Changes the sources below `repository`. Raises ValueError if a text to replace is not found once."""
    for switch in SWITCHES[name]:
        path = repository / PACKAGE / switch.file
        text = path.read_text()
        if text.count(switch.on) != 1:
            raise ValueError(f"{switch.file}: text not found exactly once: {switch.on.strip()}")
        path.write_text(text.replace(switch.on, switch.off))


def main() -> int:
    """Returns the exit status of the program."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("name", choices=["list", *SWITCHES])
    parser.add_argument("folder", nargs="?", type=Path)
    parsed = parser.parse_args()
    if parsed.name == "list":
        print("\n".join(SWITCHES))
        return 0
    if parsed.folder is None:
        parser.error("FOLDER is missing")
    switch_off(parsed.name, parsed.folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
