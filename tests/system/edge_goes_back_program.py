"""The serving system's program with a fault: a data plane goes back to the configuration before for 0.5 s."""

from __future__ import annotations

from collections.abc import Mapping

import gevent

from nettledeal.dataplane.agent import DataPlane
from nettledeal.distribution.control_source import GENERATION_KEY

NEW_FOR_S = 0.8
OLD_FOR_S = 0.5

apply_control = DataPlane.apply_control


def apply_and_go_back(self: DataPlane, version: object, entries: Mapping[str, bytes]) -> None:
    """Apply the entries; some time after a new generation those before are in force for a while."""
    before = self.table.entries
    apply_control(self, version, entries)
    if before and before.get(GENERATION_KEY) != entries.get(GENERATION_KEY):
        gevent.spawn_later(NEW_FOR_S, apply_control, self, version, before)
        gevent.spawn_later(NEW_FOR_S + OLD_FOR_S, apply_control, self, version, entries)


if __name__ == "__main__":
    from nettledeal.programs.main import main

    DataPlane.apply_control = apply_and_go_back
    main()
