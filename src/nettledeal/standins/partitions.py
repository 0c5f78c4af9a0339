"""Network partitions between the processes of a soak, which run `cut_program`."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from enum import Enum

from nettledeal.standins.cut_program import cuts_path
from nettledeal.standins.soak_system import Machine


class Direction(Enum):
    """Which way traffic between two sides is dropped, seen from the first."""

    BOTH = ("in", "out")
    INCOMING = ("in",)
    OUTGOING = ("out",)


OPPOSITE = {"in": "out", "out": "in"}


class Partitions:
    """The cuts in force. Several may overlap; a direction is open again once the last of them is over."""

    def __init__(self) -> None:
        self._cuts: dict[Machine, Counter[str]] = {}

    @contextmanager
    def between(
        self, some: Collection[Machine], others: Collection[Machine], direction: Direction
    ) -> Iterator[None]:
        """Drop traffic between two sides while the context lasts; what stays on one side isn't affected."""
        cuts = [
            cut
            for machine in some
            for other in others
            if machine.settings.ip != other.settings.ip
            for cut in _cuts_of_pair(machine, other, direction)
        ]
        self._change(cuts, 1)
        try:
            yield
        finally:
            self._change(cuts, -1)

    def _change(self, cuts: list[tuple[Machine, str]], by: int) -> None:
        for machine, line in cuts:
            self._cuts.setdefault(machine, Counter())[line] += by
        for machine in {machine for machine, _ in cuts}:
            path = cuts_path(machine.process.settings_path)
            written = path.with_suffix(".cuts-written")
            written.write_text("\n".join(+self._cuts[machine]))
            written.replace(path)


def _cuts_of_pair(machine: Machine, other: Machine, direction: Direction) -> Iterator[tuple[Machine, str]]:
    for way in direction.value:
        yield machine, f"{way} {other.settings.ip}"
        yield other, f"{OPPOSITE[way]} {machine.settings.ip}"
