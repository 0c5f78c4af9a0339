"""What every program of the system does around its plane: signals, the loop, an orderly end."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import gevent
from gevent.event import AsyncResult

from nettledeal.common.errors import ServingError
from nettledeal.common.logs import configure_logs, log_event
from nettledeal.common.seeds import SeedList
from nettledeal.common.settings import Settings

# Objects that live as long as the process are not looked at by the garbage collector; the rest rarely.
GC_THRESHOLDS = (10_000, 20, 50)


class Plane(Protocol):
    """A plane of the system as a process runs it. It calls `on_failure` where it can't go on."""

    on_failure: Callable[[ServingError], None]

    def start(self) -> None:
        """Serve; raises OSError or ServingError if that can't begin."""

    def stop(self) -> None:
        """Leave service in order; returns when the process may end."""


def run_plane(
    settings: Settings, build: Callable[[SeedList], Plane], settings_file: Path | None = None
) -> int:
    """Run a plane until SIGTERM or SIGINT; returns the exit status. Raises what the plane can't go on for.

    `build` gets the seeds, which follow `settings_file`; the rest of a changed file serves the next start.
    """
    configure_logs(settings.node_name, settings.role)
    stopping = AsyncResult()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    gevent.signal_handler(signal.SIGINT, stopping.set)
    seeds = SeedList(settings, settings_file)
    plane = build(seeds)
    plane.on_failure = stopping.set_exception
    plane.start()
    seeds.start()
    gevent.signal_handler(signal.SIGHUP, _reload, seeds)
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    log_event("process:started")
    try:
        stopping.get()
    finally:
        log_event("process:stopping")
        seeds.stop()
        plane.stop()
        log_event("process:stopped")
    return 0


def _reload(seeds: SeedList) -> None:
    log_event("process:reloaded")
    seeds.check()
