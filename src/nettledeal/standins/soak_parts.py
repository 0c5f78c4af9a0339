"""What the events of a soak work with."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from nettledeal.standins.soak_actions import MachineActions
from nettledeal.standins.soak_observer import SoakObserver
from nettledeal.standins.soak_operator import SoakOperator
from nettledeal.standins.soak_system import SoakSystem


@dataclass(frozen=True, slots=True)
class SoakParts:
    """The system under test, and who acts on it."""

    system: SoakSystem
    random: Random
    actions: MachineActions
    observer: SoakObserver
    operator: SoakOperator


class SoakEvents:
    """Base of the groups of events."""

    def __init__(self, parts: SoakParts):
        self._system, self._random = parts.system, parts.random
        self._actions, self._observer, self._operator = parts.actions, parts.observer, parts.operator
