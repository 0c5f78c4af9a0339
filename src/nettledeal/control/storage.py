"""The replica's disk: one sqlite3 database with its identity, acceptor state and copy of the control state.

All calls block and must be made on one worker thread. A failed write has changed nothing and may be retried:
its pages are written again.
"""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Sequence
from pathlib import Path

import msgspec
from pyrsistent import pmap

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.control.effects import DurableState, SaveAcceptorState, SaveChanges, SaveRanges, Write
from nettledeal.control.epoch_consensus import AcceptorState
from nettledeal.control.state import Change, ControlState

DATABASE_NAME = "control.db"
APPLICATION_ID = 0x4E444354
FORMAT_VERSION = 1
CHECKPOINT_PAGES = 256
JOURNAL_LIMIT_BYTES = 8 << 20


class Meta(msgspec.Struct, frozen=True, array_like=True):
    """The single row with the disk's identity and the epoch and sequence of its entries."""

    replica_id: str
    acceptor: AcceptorState
    epoch: int
    sequence: int


class Storage:
    """An open database. `replica_id` is the identity of this disk."""

    def __init__(self, folder: Path):
        """Open or create the database; raises ServingError with FOREIGN_DATA or STORAGE_FAILED.

        A refused database is left unchanged, except that sqlite merges its write-ahead log into it.
        """
        self._path = folder / DATABASE_NAME
        self._meta: Meta | None = None
        self._connection: sqlite3.Connection | None = None
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._connection = self._connect()
            self._refuse_if_foreign()
            self._configure()
            self._load_or_create()
            _sync_folder(folder)
        except sqlite3.OperationalError as error:
            raise self._open_error(ErrorCode.STORAGE_FAILED, error) from None
        except (sqlite3.DatabaseError, msgspec.DecodeError) as error:
            raise self._open_error(ErrorCode.FOREIGN_DATA, error) from None
        except OSError as error:
            raise self._open_error(ErrorCode.STORAGE_FAILED, error) from None

    @property
    def replica_id(self) -> str | None:
        """The identity of this disk, None on a new disk."""
        return self._meta.replica_id if self._meta else None

    def create(self, replica_id: str, acceptor: AcceptorState) -> None:
        """Give a new disk its identity. Raises ServingError with STORAGE_FAILED."""
        self._meta = Meta(replica_id, acceptor, -1, 0)
        self.write([])

    def load(self) -> DurableState:
        """Load the stored state."""
        rows = self._connection.execute("SELECT key, value FROM entries").fetchall()
        meta = self._meta
        return DurableState(meta.acceptor, meta.epoch, ControlState(meta.sequence, pmap(dict(rows))))

    def write(self, writes: Sequence[Write]) -> None:
        """Carry out writes in one synced transaction. Raises ServingError with STORAGE_FAILED."""
        before = self._meta
        try:
            self._connection.execute("BEGIN IMMEDIATE")
            for write in writes:
                self._apply(write)
            encoded = msgspec.msgpack.encode(self._meta)
            self._connection.execute("INSERT OR REPLACE INTO meta (id, content) VALUES (1, ?)", (encoded,))
            self._connection.execute("COMMIT")
        except sqlite3.Error as error:
            self._meta = before
            self._roll_back()
            raise ServingError(ErrorCode.STORAGE_FAILED, "write storage", str(error)) from None

    def close(self) -> None:
        """Close the database."""
        self._connection.close()

    def _open_error(self, code: ErrorCode, error: Exception) -> ServingError:
        if self._connection is not None:
            self._connection.close()
        return ServingError(code, "open storage", f"{self._path}: {error}")

    def _connect(self) -> sqlite3.Connection:
        connection = sqlite3.connect(self._path, isolation_level=None, check_same_thread=False, timeout=0)
        connection.execute("PRAGMA locking_mode = EXCLUSIVE")
        return connection

    def _configure(self) -> None:
        connection = self._connection
        connection.execute("PRAGMA journal_mode = WAL")
        connection.execute("PRAGMA synchronous = FULL")
        connection.execute(f"PRAGMA wal_autocheckpoint = {CHECKPOINT_PAGES}")
        connection.execute(f"PRAGMA journal_size_limit = {JOURNAL_LIMIT_BYTES}")
        connection.execute("PRAGMA auto_vacuum = INCREMENTAL")

    def _refuse_if_foreign(self) -> None:
        """Refuse a foreign database; must run before any setting that would change the file."""
        if self._is_new():
            return
        application = self._connection.execute("PRAGMA application_id").fetchone()[0]
        version = self._connection.execute("PRAGMA user_version").fetchone()[0]
        if application != APPLICATION_ID or version != FORMAT_VERSION:
            raise sqlite3.DatabaseError("not a database of this program and format")

    def _is_new(self) -> bool:
        return self._connection.execute("SELECT count(*) FROM sqlite_master").fetchone()[0] == 0

    def _load_or_create(self) -> None:
        if self._is_new():
            self._create_tables()
            return
        damage = self._connection.execute("PRAGMA quick_check(1)").fetchone()[0]
        if damage != "ok":
            raise sqlite3.DatabaseError(f"damaged: {damage}")
        row = self._connection.execute("SELECT content FROM meta WHERE id = 1").fetchone()
        if row is not None:
            self._meta = msgspec.msgpack.decode(row[0], type=Meta)

    def _create_tables(self) -> None:
        self._connection.execute("BEGIN IMMEDIATE")
        self._connection.execute(f"PRAGMA application_id = {APPLICATION_ID}")
        self._connection.execute(f"PRAGMA user_version = {FORMAT_VERSION}")
        self._connection.execute("CREATE TABLE meta (id INTEGER PRIMARY KEY, content BLOB NOT NULL)")
        self._connection.execute("CREATE TABLE entries (key TEXT PRIMARY KEY, value BLOB NOT NULL)")
        self._connection.execute("COMMIT")

    def _apply(self, write: Write) -> None:
        if isinstance(write, SaveAcceptorState):
            self._meta = msgspec.structs.replace(self._meta, acceptor=write.acceptor)
            return
        if isinstance(write, SaveChanges):
            self._put(write.changes)
        elif isinstance(write, SaveRanges):
            self._put(tuple(Change(key, None) for key in write.removed))
            self._put(write.entries)
        self._meta = msgspec.structs.replace(self._meta, epoch=write.epoch, sequence=write.sequence)

    def _put(self, changes: Sequence[Change]) -> None:
        for change in changes:
            if change.value is None:
                self._connection.execute("DELETE FROM entries WHERE key = ?", (change.key,))
            else:
                self._connection.execute(
                    "INSERT OR REPLACE INTO entries (key, value) VALUES (?, ?)", (change.key, change.value)
                )

    def _roll_back(self) -> None:
        try:
            if self._connection.in_transaction:
                self._connection.execute("ROLLBACK")
        except sqlite3.Error:
            self._reopen()

    def _reopen(self) -> None:
        """After a failed rollback, open a new connection, which sees the last committed state."""
        try:
            self._connection.close()
        finally:
            self._connection = self._connect()
            self._configure()


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
