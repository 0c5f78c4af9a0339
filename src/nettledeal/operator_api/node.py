"""What the operator's API needs of the control plane."""

from __future__ import annotations

from typing import Protocol

from nettledeal.common.addresses import Address
from nettledeal.control.state import Command, ControlState, Outcome


class ControlNode(Protocol):
    """A core machine's replica of the control state."""

    @property
    def is_primary(self) -> bool:
        """Whether this replica takes itself for the primary."""

    @property
    def primary_address(self) -> Address | str | None:
        """The `control_plane` address of the primary; None while it is unknown or not heard."""

    @property
    def state(self) -> ControlState:
        """The newest committed state known here, which may be old."""

    def confirmed_age_s(self) -> float:
        """Seconds since the state here was confirmed to be the newest; infinite if it never was."""

    def submit(self, command: Command) -> Outcome:
        """Carry out a command and wait until it is committed or refused.

        Raises ServingError with NOT_PRIMARY, UNAVAILABLE or TIMED_OUT; after the last two it may have been
        carried out, or still be.
        """

    def read(self) -> ControlState:
        """The newest committed state, after confirming that this replica is still the primary.

        Raises ServingError with NOT_PRIMARY, UNAVAILABLE or TIMED_OUT.
        """
