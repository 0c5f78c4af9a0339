"""The serving system's program with a fault: each third configuration never gets in force at a data plane."""

from __future__ import annotations

from collections.abc import Mapping

from nettledeal.dataplane.agent import DataPlane
from nettledeal.distribution.control_source import EVACUATION_PREFIX, GENERATION_KEY, SHARE_PREFIX

SKIPPED = 3
OTHER_PREFIXES = (EVACUATION_PREFIX, SHARE_PREFIX)

apply_control = DataPlane.apply_control


def apply_two_of_three(self: DataPlane, version: object, entries: Mapping[str, bytes]) -> None:
    """Leave out each third generation; what isn't of the configuration is applied with the one before."""
    generations = self.__dict__.setdefault("planted_generations", [])
    generation = entries.get(GENERATION_KEY)
    if generation is not None and generation not in generations:
        generations.append(generation)
    if len(generations) % SKIPPED == 0 and generations:
        kept = {key: value for key, value in self.table.entries.items() if not key.startswith(OTHER_PREFIXES)}
        others = {key: value for key, value in entries.items() if key.startswith(OTHER_PREFIXES)}
        entries = {**kept, **others}
    apply_control(self, version, entries)


if __name__ == "__main__":
    from nettledeal.programs.main import main

    DataPlane.apply_control = apply_two_of_three
    main()
