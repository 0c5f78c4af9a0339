"""The reader's term on a replica that learns of an epoch before it hears the epoch's primary."""

from __future__ import annotations

from types import SimpleNamespace

from nettledeal.control.change_notifier import ChangeNotifier
from nettledeal.control.node import ControlNode
from nettledeal.control.reader_role import ReaderAppointment, ReaderTerm


def node_with(replica: SimpleNamespace) -> ControlNode:
    node = object.__new__(ControlNode)
    node._replica = replica
    node.changes = ChangeNotifier()
    return node


def backup(record_epoch: int, reader_epoch: int, number: int) -> SimpleNamespace:
    return SimpleNamespace(
        primary=None,
        record=SimpleNamespace(epoch=record_epoch),
        reader_epoch=reader_epoch,
        info=SimpleNamespace(replica_id="own"),
        current_appointment=ReaderAppointment("reader", number, incarnation=1),
    )


def test_a_new_epoch_is_not_combined_with_the_appointment_of_the_previous_one():
    # Numbers restart with each epoch: (6, 1) here and (6, 0) from the next heartbeat on would be a term that
    # goes back, and everything that the reader publishes under it would be ignored as outdated.
    assert node_with(backup(6, 5, 1)).reader_term == ReaderTerm(5, 1)


def test_the_term_follows_the_heartbeat_of_the_new_epoch():
    term = node_with(backup(6, 6, 0)).reader_term
    assert (term.epoch, term.number) > (5, 1)


def test_the_primary_uses_its_own_record():
    replica = backup(7, 5, 2)
    replica.primary = object()
    assert node_with(replica).reader_term == ReaderTerm(7, 2)


def test_each_change_of_the_reader_is_notified_once():
    node = node_with(backup(6, 6, 0))
    notified = []
    node.changes.on_reader_changed = lambda: notified.append(node.reader_term)
    node.changes.reader_is((node.reader, node.reader_term))
    node.changes.reader_is((node.reader, node.reader_term))
    node._replica.current_appointment = ReaderAppointment("reader", 1, incarnation=1)
    node.changes.reader_is((node.reader, node.reader_term))
    assert notified == [ReaderTerm(6, 0), ReaderTerm(6, 1)]
