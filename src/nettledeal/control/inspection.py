"""Inspects a replica's data directory without changing it: a copy is opened, the original is only read.

The copy is needed because the newest commits may still be in the write-ahead log, which sqlite merges into
the database on opening. Damage is reported and never repaired.
"""

from __future__ import annotations

import fcntl
import os
import shutil
import sqlite3
import tempfile
from collections.abc import Iterator
from contextlib import closing, contextmanager
from dataclasses import dataclass
from pathlib import Path

import msgspec
from pyrsistent import pmap

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.control.state import ControlState
from nettledeal.control.storage import APPLICATION_ID, DATABASE_NAME, FORMAT_VERSION, Meta

_STEP = "inspect data directory"
_LOG_SUFFIX = "-wal"
# The byte range that sqlite locks in an open database file; it starts after the first gigabyte.
_LOCK_START, _LOCK_LENGTH = 0x40000000 + 2, 510


@dataclass(frozen=True, slots=True)
class DataDirectory:
    """The contents of a data directory; `meta` is None if the disk has no identity yet."""

    path: Path
    meta: Meta | None
    state: ControlState
    database_bytes: int
    log_bytes: int
    damage: tuple[str, ...]


def inspect_folder(folder: Path) -> DataDirectory:
    """Read a data directory that isn't in use.

    Raises ServingError: STORAGE_FAILED if there is no database, it can't be read or a process has it open;
    FOREIGN_DATA if it isn't a database of this program and format.
    """
    path = folder / DATABASE_NAME
    try:
        _refuse_if_open(path)
        with _copied(path) as copy, closing(sqlite3.connect(copy)) as connection:
            _refuse_if_foreign(path, connection)
            return _read(path, connection)
    except OSError as error:
        raise ServingError(ErrorCode.STORAGE_FAILED, _STEP, str(error)) from None
    except sqlite3.Error as error:
        raise ServingError(ErrorCode.FOREIGN_DATA, _STEP, f"{path}: {error}") from None


def _refuse_if_open(path: Path) -> None:
    """Refuse a database in use, since a copy of it could be inconsistent."""
    with path.open("rb") as file:
        try:
            fcntl.lockf(file, fcntl.LOCK_SH | fcntl.LOCK_NB, _LOCK_LENGTH, _LOCK_START)
        except BlockingIOError:
            reason = f"{path}: a process has it open"
            raise ServingError(ErrorCode.STORAGE_FAILED, _STEP, reason) from None


@contextmanager
def _copied(path: Path) -> Iterator[Path]:
    with tempfile.TemporaryDirectory(prefix="nettledeal-") as folder:
        copy = Path(folder) / path.name
        shutil.copyfile(path, copy)
        log = path.with_name(path.name + _LOG_SUFFIX)
        if log.exists():
            shutil.copyfile(log, copy.with_name(log.name))
        yield copy


def _refuse_if_foreign(path: Path, connection: sqlite3.Connection) -> None:
    application = connection.execute("PRAGMA application_id").fetchone()[0]
    version = connection.execute("PRAGMA user_version").fetchone()[0]
    if application != APPLICATION_ID or version != FORMAT_VERSION:
        reason = f"{path}: format {version} of application {application:#x}, not a database of this program"
        raise ServingError(ErrorCode.FOREIGN_DATA, _STEP, reason)


def _read(path: Path, connection: sqlite3.Connection) -> DataDirectory:
    damage = _damaged_pages(connection)
    meta, meta_damage = _read_meta(connection)
    entries, entry_damage = _read_entries(connection)
    log = path.with_name(path.name + _LOG_SUFFIX)
    return DataDirectory(
        path=path,
        meta=meta,
        state=ControlState(meta.sequence if meta else 0, pmap(entries)),
        database_bytes=path.stat().st_size,
        log_bytes=os.path.getsize(log) if log.exists() else 0,
        damage=(*damage, *meta_damage, *entry_damage),
    )


def _damaged_pages(connection: sqlite3.Connection) -> list[str]:
    try:
        found = [row[0] for row in connection.execute("PRAGMA integrity_check")]
    except sqlite3.DatabaseError as error:
        return [f"integrity_check: {error}"]
    return [] if found == ["ok"] else [line for text in found for line in text.splitlines()]


def _read_meta(connection: sqlite3.Connection) -> tuple[Meta | None, list[str]]:
    try:
        row = connection.execute("SELECT content FROM meta WHERE id = 1").fetchone()
        return (msgspec.msgpack.decode(row[0], type=Meta) if row else None), []
    except (sqlite3.DatabaseError, msgspec.MsgspecError) as error:
        return None, [f"meta: {error}"]


def _read_entries(connection: sqlite3.Connection) -> tuple[dict[str, bytes], list[str]]:
    try:
        return dict(connection.execute("SELECT key, value FROM entries")), []
    except sqlite3.DatabaseError as error:
        return {}, [f"entries: {error}"]
