"""Decides which tests run in parallel and which sequentially, on an otherwise idle machine.

Tests of the files listed in together.txt run in parallel: they stay within their own process and don't depend
on real time. All other tests, also those of new files, run sequentially: tests that start processes, use
sockets or measure time may fail while others take their CPU. A test in a listed file that does one of these
needs the marker `alone`; without it, it fails.
"""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

TOGETHER, ALONE = "together", "alone"
ROOT = Path(__file__).resolve().parent.parent
# Audit events of the interpreter that a test of the parallel lane must not cause.
FORBIDDEN = ("subprocess.Popen", "os.posix_spawn", "os.fork", "socket.bind", "socket.connect", "time.sleep")
FILES = frozenset((ROOT / "tests" / "together.txt").read_text().split())


def lane(item: pytest.Item) -> str:
    """The lane of a test."""
    if item.get_closest_marker(ALONE) is not None:
        return ALONE
    return TOGETHER if item.path.relative_to(ROOT).as_posix() in FILES else ALONE


class Guard:
    """Records forbidden audit events between `watch` and `seen`; audit hooks can't be removed."""

    def __init__(self) -> None:
        self._watching = False
        self._seen: list[str] = []
        sys.addaudithook(self._hook)

    def _hook(self, event: str, _: tuple) -> None:
        if self._watching and event in FORBIDDEN:
            self._seen.append(event)

    def watch(self) -> None:
        """Start recording, with an empty list."""
        self._seen.clear()
        self._watching = True

    def seen(self) -> list[str]:
        """Stop recording; returns the distinct forbidden events since `watch`."""
        self._watching = False
        return sorted(set(self._seen))
