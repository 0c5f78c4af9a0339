"""The folder where processes of one agent find each other: each has a locked file and a record next to it."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

_LOCK, _RECORD = ".lock", ".record"
_PREFIX = "nettledeal-"


class HandoverFolder:
    def __init__(self, folder: Path, id: str):
        self.folder = folder
        self.id = id
        self.last_mtime_ns = 0  # of the folder, at the last read
        self.has_others = True  # whether other processes were found then
        path = self._path(id, _LOCK)
        new_path = path.with_suffix(".fresh")
        # Lock it before it gets its name, or others would take it for the file of a dead process.
        self.lock_fd = os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_EXCL, 0o600)
        fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        os.rename(new_path, path)

    def _path(self, id: str, kind: str) -> Path:
        return self.folder / f"{_PREFIX}{id}{kind}"

    def write(self, record: bytes) -> None:
        """Replace the own record atomically."""
        new_path = self._path(self.id, ".fresh")
        new_path.write_bytes(record)
        os.replace(new_path, self._path(self.id, _RECORD))

    @property
    def may_have_changed(self) -> bool:
        """Whether `read_others` may find something new. A lone process only compares the folder's mtime."""
        return self.has_others or os.stat(self.folder).st_mtime_ns != self.last_mtime_ns

    def read_others(self, read: Callable[[bytes], Any | None]) -> list[Any]:
        """Return the records of other live processes and delete the files of dead ones."""
        self.last_mtime_ns = os.stat(self.folder).st_mtime_ns
        records, self.has_others = [], False
        for path in self.folder.glob(f"{_PREFIX}*{_LOCK}"):
            id = path.name[len(_PREFIX) : -len(_LOCK)]
            if id == self.id:
                continue
            if not self._is_alive(path):
                for kind in (_RECORD, ".fresh", _LOCK):
                    with suppress(OSError):
                        self._path(id, kind).unlink()
                continue
            self.has_others = True
            with suppress(OSError):
                record = read(self._path(id, _RECORD).read_bytes())
                if record is not None:
                    records.append(record)
        return records

    @staticmethod
    def _is_alive(path: Path) -> bool:
        try:
            lock_fd = os.open(path, os.O_RDWR)
        except OSError:
            return False  # removed in the meantime
        try:
            fcntl.flock(lock_fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        else:
            return False
        finally:
            os.close(lock_fd)

    def remove(self) -> None:
        for kind in (_RECORD, _LOCK):
            with suppress(OSError):
                self._path(self.id, kind).unlink()
        os.close(self.lock_fd)
