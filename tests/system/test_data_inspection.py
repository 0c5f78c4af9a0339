"""Inspection of data directories (consistent, in use, foreign, damaged), which never changes them."""

import hashlib
import sqlite3
from pathlib import Path

import pytest

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.control.data_checks import findings
from nettledeal.control.decisions import decide
from nettledeal.control.effects import SaveChanges
from nettledeal.control.epoch_consensus import AcceptorState
from nettledeal.control.inspection import inspect_folder
from nettledeal.control.messages import EpochRecord, ReplicaInfo
from nettledeal.control.state import (
    CONFIGURATION_KEY,
    CONFIGURATION_META_KEY,
    Change,
    ControlState,
    PutConfiguration,
)
from nettledeal.control.storage import DATABASE_NAME, Storage
from nettledeal.operator_api.api import order_digest
from system.operator_api_support import make_body

RECORD = EpochRecord(3, "a", ("a",), (ReplicaInfo("a", "10.0.0.1"),))


def digests(folder: Path) -> dict[str, str]:
    return {path.name: hashlib.sha256(path.read_bytes()).hexdigest() for path in sorted(folder.iterdir())}


def fill(folder: Path) -> Storage:
    """A replica's database with configuration 7 and an evacuated zone; still open."""
    storage = Storage(folder)
    storage.create("a", AcceptorState(RECORD))
    body = make_body(7)
    changes = decide(ControlState(), PutConfiguration(0, 7, order_digest(0, body), body)).changes
    storage.write(
        [
            SaveChanges(3, 1, changes),
            SaveChanges(3, 2, (Change("evacuation/z1", b""), Change("share/edge-1", b"g"))),
        ]
    )
    return storage


@pytest.fixture
def folder(tmp_path):
    storage = fill(tmp_path)
    storage.close()
    return tmp_path


def damage(folder: Path, statement: str, *values: object) -> None:
    connection = sqlite3.connect(folder / DATABASE_NAME)
    connection.execute(statement, values)
    connection.commit()
    connection.close()


def test_a_consistent_directory(folder):
    before = digests(folder)
    directory = inspect_folder(folder)
    assert findings(directory) == []
    assert directory.meta.replica_id == "a"
    assert directory.meta.acceptor.decided == RECORD
    assert (directory.meta.epoch, directory.state.sequence, directory.state.generation) == (3, 2, 7)
    assert directory.state.evacuated_zones == {"z1"}
    assert digests(folder) == before


def test_commits_that_are_only_in_the_write_ahead_log_are_seen(tmp_path):
    """Simulates a crash by copying the files while the database is open."""
    source, crashed = tmp_path / "source", tmp_path / "crashed"
    storage = fill(source)
    crashed.mkdir()
    for path in source.iterdir():
        (crashed / path.name).write_bytes(path.read_bytes())
    storage.close()
    before = digests(crashed)
    assert inspect_folder(crashed).state.generation == 7
    assert digests(crashed) == before


def test_a_directory_without_a_database(tmp_path):
    with pytest.raises(ServingError, match=DATABASE_NAME) as raised:
        inspect_folder(tmp_path)
    assert raised.value.code is ErrorCode.STORAGE_FAILED
    assert list(tmp_path.iterdir()) == []


def test_a_database_of_another_program(tmp_path):
    sqlite3.connect(tmp_path / DATABASE_NAME).execute("CREATE TABLE other (id)").connection.commit()
    with pytest.raises(ServingError) as raised:
        inspect_folder(tmp_path)
    assert raised.value.code is ErrorCode.FOREIGN_DATA


def test_an_unknown_format(folder):
    damage(folder, "PRAGMA user_version = 9")
    with pytest.raises(ServingError, match="format 9") as raised:
        inspect_folder(folder)
    assert raised.value.code is ErrorCode.FOREIGN_DATA


def test_a_file_that_is_no_database(tmp_path):
    (tmp_path / DATABASE_NAME).write_bytes(b"something else" * 1000)
    with pytest.raises(ServingError) as raised:
        inspect_folder(tmp_path)
    assert raised.value.code is ErrorCode.FOREIGN_DATA


def test_a_torn_page_is_reported_and_not_repaired(folder):
    path = folder / DATABASE_NAME
    content = bytearray(path.read_bytes())
    content[4096:4196] = b"\xff" * 100
    path.write_bytes(content)
    before = digests(folder)
    assert findings(inspect_folder(folder))
    assert digests(folder) == before


@pytest.mark.parametrize(
    ("statement", "values", "where"),
    [
        ("UPDATE entries SET value = ? WHERE key = ?", (b"{", CONFIGURATION_KEY), CONFIGURATION_KEY),
        ("UPDATE entries SET value = ? WHERE key = ?", (b"x\x9c{", CONFIGURATION_KEY), CONFIGURATION_KEY),
        (
            "UPDATE entries SET value = ? WHERE key = ?",
            (b"\xc1", CONFIGURATION_META_KEY),
            CONFIGURATION_META_KEY,
        ),
        ("DELETE FROM entries WHERE key = ?", (CONFIGURATION_META_KEY,), CONFIGURATION_KEY),
        ("INSERT INTO entries VALUES (?, ?)", ("accepted/00", (99).to_bytes(8, "big")), "accepted/00"),
        ("INSERT INTO entries VALUES (?, ?)", ("elsewhere", b""), "elsewhere"),
        ("UPDATE meta SET content = ?", (b"\xc1",), "meta"),
        ("DELETE FROM meta", (), "meta"),
    ],
)
def test_an_inconsistency_is_reported_with_its_location(folder, statement, values, where):
    damage(folder, statement, *values)
    found = findings(inspect_folder(folder))
    assert found and all(line.startswith(where) for line in found)
