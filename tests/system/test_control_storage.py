"""The replica's disk: persistence, torn writes, a full disk, and foreign databases."""

from __future__ import annotations

import sqlite3
from random import Random

import pytest

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.control.effects import DurableState, SaveAcceptorState, SaveChanges, SaveRanges
from nettledeal.control.epoch_consensus import AcceptorState
from nettledeal.control.messages import Ballot, EpochRecord, ReplicaInfo
from nettledeal.control.state import Change
from nettledeal.control.storage import DATABASE_NAME, Storage

SECTOR_BYTES = 512
RECORD = EpochRecord(3, "a", ("a", "b"), (ReplicaInfo("a", "h1"), ReplicaInfo("b", "h2")))
WAL_NAME = f"{DATABASE_NAME}-wal"


def new_storage(folder) -> Storage:
    storage = Storage(folder)
    storage.create("replica", AcceptorState())
    return storage


def reopened(folder) -> DurableState:
    storage = Storage(folder)
    try:
        return storage.load()
    finally:
        storage.close()


def test_a_new_disk_has_no_identity_and_keeps_the_assigned_one(tmp_path):
    storage = Storage(tmp_path)
    assert storage.replica_id is None
    storage.create("replica", AcceptorState())
    storage.close()
    again = Storage(tmp_path)
    assert again.replica_id == "replica"
    again.close()


def test_written_data_survives_reopening(tmp_path):
    storage = new_storage(tmp_path)
    acceptor = AcceptorState(RECORD, Ballot(2, "a", 7), Ballot(1, "b", 9), RECORD)
    changes = (Change("x", b"1"), Change("y", b"2"))
    storage.write(
        [SaveAcceptorState(acceptor), SaveChanges(3, 1, changes), SaveChanges(3, 2, (Change("x", None),))]
    )
    storage.write([SaveRanges(4, 5, ("y",), (Change("z", b"3"),))])
    storage.close()
    found = reopened(tmp_path)
    assert found.acceptor == acceptor
    assert (found.epoch, found.state.sequence, dict(found.state.entries)) == (4, 5, {"z": b"3"})


@pytest.mark.parametrize("seed", range(40))
def test_a_torn_write_is_applied_completely_or_not_at_all(tmp_path, seed):
    random = Random(seed)
    source = tmp_path / "source"
    storage = new_storage(source)
    images, states = [], []
    for sequence in range(1, 6):
        value = random.randbytes(random.randint(1, 9000))
        storage.write([SaveChanges(1, sequence, (Change(f"k{sequence % 2}", value),))])
        images.append(((source / DATABASE_NAME).read_bytes(), (source / WAL_NAME).read_bytes()))
        states.append(storage.load().state)
    storage.close()
    synced = random.randrange(4)
    database, log = images[synced]
    torn = bytearray(images[synced + 1][1][: random.randint(len(log), len(images[synced + 1][1]))])
    for start in range(len(log) + SECTOR_BYTES, len(torn), SECTOR_BYTES):
        if random.random() < 0.2:
            torn[start : start + SECTOR_BYTES] = bytes(len(torn[start : start + SECTOR_BYTES]))
    target = tmp_path / "target"
    target.mkdir()
    (target / DATABASE_NAME).write_bytes(database)
    (target / WAL_NAME).write_bytes(bytes(torn))
    assert reopened(target).state in (states[synced], states[synced + 1])


def test_a_write_refused_by_a_full_disk_changes_nothing_and_may_be_retried(tmp_path):
    storage = new_storage(tmp_path)
    storage.write([SaveChanges(1, 1, (Change("x", b"1"),))])
    storage._connection.execute("PRAGMA max_page_count = 1")
    write = SaveChanges(1, 2, (Change("x", bytes(200_000)),))
    with pytest.raises(ServingError) as raised:
        storage.write([SaveAcceptorState(AcceptorState(RECORD)), write])
    assert raised.value.code is ErrorCode.STORAGE_FAILED
    assert storage.load().state.sequence == 1 and storage.load().acceptor == AcceptorState()
    storage._connection.execute("PRAGMA max_page_count = 100000")
    storage.write([SaveAcceptorState(AcceptorState(RECORD)), write])
    storage.close()
    found = reopened(tmp_path)
    assert (found.state.sequence, found.acceptor.decided) == (2, RECORD)


def test_a_database_of_another_program_is_refused(tmp_path):
    connection = sqlite3.connect(tmp_path / DATABASE_NAME)
    connection.execute("CREATE TABLE other (x)")
    connection.commit()
    connection.close()
    with pytest.raises(ServingError) as raised:
        Storage(tmp_path)
    assert raised.value.code is ErrorCode.FOREIGN_DATA
    assert "\n" not in str(raised.value)


def test_the_write_ahead_log_stays_small(tmp_path):
    storage = new_storage(tmp_path)
    for sequence in range(1, 200):
        storage.write([SaveChanges(1, sequence, (Change("configuration", bytes([sequence]) * 100_000),))])
    assert (tmp_path / WAL_NAME).stat().st_size < 10 << 20
    assert (tmp_path / DATABASE_NAME).stat().st_size < 10 << 20
    storage.close()
