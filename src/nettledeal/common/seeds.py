"""The seeds that the settings file names at present.

The file may change while a process runs, with SIGHUP or without any signal. Of its settings the seeds alone
take effect at once: a process that finds nobody would otherwise go on asking the old ones.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import gevent

from nettledeal.common.addresses import Address, InternalPort, parse_address
from nettledeal.common.errors import ServingError
from nettledeal.common.logs import log_event
from nettledeal.common.settings import Settings, parse_settings

# How often the file is checked for a change that no signal announced.
CHECK_INTERVAL_S = 2.0


class SeedList:
    """The current seeds, and their `hosts`; `on_change` callbacks run on the event loop after a change."""

    def __init__(self, settings: Settings, path: Path | None = None):
        """`path`: the settings file; without it the seeds stay as they are."""
        self.on_change: list[Callable[[], None]] = []
        self._path = path
        self._first_port = settings.port_range[0]
        self._take(settings.seeds)
        self._contents: bytes | None = None  # as last read
        self._checking: gevent.Greenlet | None = None

    def addresses(self, port: InternalPort) -> list[Address]:
        """The seeds' addresses for internal traffic of one kind."""
        return [Address(host, self._first_port + port) for host in self._hosts_in_order]

    def start(self) -> None:
        """Begin to check the file, in a greenlet."""
        if self._path is not None:
            self._checking = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop checking."""
        if self._checking is not None:
            self._checking.kill(block=False)

    def check(self) -> None:
        """Read the file if it has changed. One that can't be read changes nothing, and is logged once."""
        contents = self._read_contents()
        if contents is None or contents == self._contents:
            return
        self._contents = contents
        try:
            seeds = parse_settings(contents, self._path).seeds
        except ServingError as error:
            log_event("settings:unreadable", reason=str(error))
            return
        if seeds != self._seeds:
            self._take(seeds)
            log_event("settings:seeds_changed", seeds=seeds)
            for callback in self.on_change:
                callback()

    def _take(self, seeds: list[str]) -> None:
        self._seeds = seeds
        self._hosts_in_order = [parse_address(seed).host for seed in seeds]
        self.hosts = frozenset(self._hosts_in_order)

    def _read_contents(self) -> bytes | None:
        """The file's bytes; None if there is no file, as while it is being replaced."""
        if self._path is None:
            return None
        try:
            return self._path.read_bytes()
        except OSError:
            return None

    def _run(self) -> None:
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            self.check()
