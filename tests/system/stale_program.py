"""The program of `cut_program` with a fault: the primary answers reads without a quorum."""

from __future__ import annotations

import os
from pathlib import Path

from nettledeal.common.settings import SETTINGS_VARIABLE
from nettledeal.control.primary import Primary
from nettledeal.standins.cut_program import Cuts, cuts_path, install


def read_unconfirmed(self, now: float, call_id: int) -> None:
    """Answer from the local state without confirmation."""
    self._outbox.answer(call_id, self._replicated.committed)


if __name__ == "__main__":
    from nettledeal.programs.main import main

    Primary.read = read_unconfirmed
    install(Cuts(cuts_path(Path(os.environ[SETTINGS_VARIABLE]))))
    main()
