"""Executes writes on a worker thread, in order and in batches, and retries failed batches."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

import gevent
from gevent.event import Event
from gevent.threadpool import ThreadPool

from nettledeal.common.errors import ServingError
from nettledeal.common.logs import log_event
from nettledeal.control.effects import Write
from nettledeal.control.storage import Storage

RETRY_DELAY_S = 0.3
HANG_TIMEOUT_S = 0.8


class Writer:
    """Owns the storage thread. `on_synced` is called with the number of the last write of each batch."""

    def __init__(self, on_synced: Callable[[int], None]):
        self._pool = ThreadPool(1)
        self._storage: Storage | None = None
        self._queue: deque[tuple[int, Write]] = deque()
        self._queue_filled = Event()
        self._on_synced = on_synced
        self._busy_since: float | None = None
        self._failing = False
        self._greenlet: gevent.Greenlet | None = None

    def run_blocking(self, call: Callable, *arguments: object) -> object:
        """Run a call on the worker thread and wait for its result; raises its ServingError."""
        result = self._pool.apply(_returning_errors, (call, *arguments))
        if isinstance(result, ServingError):
            raise result
        return result

    def start(self, storage: Storage) -> None:
        """Start executing writes."""
        self._storage = storage
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop executing writes and close the storage; a write in progress may or may not complete."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._pool.apply(self._storage.close)

    def enqueue(self, number: int, write: Write) -> None:
        """Queue a write; numbers must increase."""
        self._queue.append((number, write))
        self._queue_filled.set()

    def is_healthy(self) -> bool:
        """Whether writes neither fail nor hang."""
        busy_since = self._busy_since
        hanging = busy_since is not None and time.monotonic() - busy_since > HANG_TIMEOUT_S
        return not self._failing and not hanging

    def _run(self) -> None:
        while True:
            self._queue_filled.wait()
            self._queue_filled.clear()
            batch = list(self._queue)
            self._queue.clear()
            if batch:
                self._write_with_retries([write for _, write in batch])
                self._on_synced(batch[-1][0])

    def _write_with_retries(self, writes: list[Write]) -> None:
        while not self._try_write(writes):
            gevent.sleep(RETRY_DELAY_S)

    def _try_write(self, writes: list[Write]) -> bool:
        self._busy_since = time.monotonic()
        try:
            self.run_blocking(self._storage.write, writes)
        except ServingError as error:
            if not self._failing:
                log_event("storage-failing", reason=str(error))
            self._failing = True
            return False
        finally:
            self._busy_since = None
        if self._failing:
            log_event("storage-works-again")
        self._failing = False
        return True


def _returning_errors(call: Callable, *arguments: object) -> object:
    """Return the call's result or its ServingError; the pool prints tracebacks of raised exceptions."""
    try:
        return call(*arguments)
    except ServingError as error:
        return error
