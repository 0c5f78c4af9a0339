"""The worker thread for writes: errors reach the caller and print nothing, and failed writes are retried."""

import sqlite3

import gevent
import pytest
from gevent.event import Event

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.control.effects import SaveChanges
from nettledeal.control.epoch_consensus import AcceptorState
from nettledeal.control.state import Change
from nettledeal.control.storage import DATABASE_NAME, Storage
from nettledeal.control.writer import Writer


def test_an_error_on_the_thread_is_raised_here_and_not_printed(tmp_path, capfd):
    (tmp_path / DATABASE_NAME).write_bytes(b"something else" * 1000)
    with pytest.raises(ServingError) as raised:
        Writer(lambda number: None).run_blocking(Storage, tmp_path)
    assert raised.value.code is ErrorCode.FOREIGN_DATA
    assert capfd.readouterr() == ("", "")


def test_the_result_of_a_call_is_returned():
    assert Writer(lambda number: None).run_blocking(max, 1, 2) == 2


def test_a_foreign_database_is_not_changed(tmp_path):
    path = tmp_path / DATABASE_NAME
    connection = sqlite3.connect(path)
    connection.execute("CREATE TABLE other (id)")
    connection.commit()
    connection.close()
    before = path.read_bytes()
    with pytest.raises(ServingError, match="foreign_data: open storage"):
        Storage(tmp_path)
    assert path.read_bytes() == before
    assert [found.name for found in tmp_path.iterdir()] == [DATABASE_NAME]


def test_a_new_database_uses_a_write_ahead_log_and_can_be_reopened(tmp_path):
    storage = Storage(tmp_path)
    storage.create("a", AcceptorState())
    assert storage._connection.execute("PRAGMA journal_mode").fetchone()[0] == "wal"
    storage.close()
    assert Storage(tmp_path).replica_id == "a"


def test_a_full_disk_is_reported_and_pending_writes_complete_once_there_is_space(tmp_path, monkeypatch):
    """Each write is refused until there is space; no pending write is lost or acknowledged early."""
    monkeypatch.setattr("nettledeal.control.writer.RETRY_DELAY_S", 0.001)
    storage = Storage(tmp_path)
    storage.create("a", AcceptorState())
    storage._connection.execute("PRAGMA max_page_count = 1")
    synced = Event()
    writer = Writer(lambda number: synced.set() if number == 3 else None)
    writer.start(storage)
    for number in (1, 2, 3):
        writer.enqueue(number, SaveChanges(1, number, (Change(f"key {number}", bytes(100_000)),)))
    with gevent.Timeout(10):
        while writer.is_healthy():
            gevent.idle()
        assert not synced.is_set()
        writer.run_blocking(storage._connection.execute, "PRAGMA max_page_count = 100000")
        synced.wait()
        while not writer.is_healthy():
            gevent.idle()
    writer.stop()
    found = Storage(tmp_path).load()
    assert found.state.sequence == 3 and set(found.state.entries) == {"key 1", "key 2", "key 3"}
