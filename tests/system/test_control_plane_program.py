"""The process of a core machine: what `stop` shuts down, and the core machines that it publishes."""

from __future__ import annotations

from unittest.mock import Mock

import pytest
from gevent import socket

from nettledeal.common.settings import Cloud, Listen
from nettledeal.control.messages import EpochRecord, ReplicaInfo
from nettledeal.control.reader_role import ReaderTerm
from nettledeal.distribution.core_directory import read_cores
from nettledeal.programs.control_plane import ControlPlane
from tests.system.distribution_support import make_settings

PARTS_WITH_A_STOP = ("node", "publisher", "membership", "operator_api")


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


@pytest.fixture
def plane(tmp_path):
    listen = Listen(control_plane=free_address(), directory=free_address())
    plane = ControlPlane(make_settings(listen=listen, data_dir=str(tmp_path), cloud=Cloud(free_address())))
    for name in PARTS_WITH_A_STOP:
        setattr(plane, name, Mock())
    return plane


def test_a_stopped_process_accepts_no_more_resolve_calls(plane):
    plane.registry.start()
    address = ("127.0.0.1", plane.registry.port)
    socket.create_connection(address, 5.0).close()
    plane.stop()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, 5.0)
    for name in PARTS_WITH_A_STOP:
        getattr(plane, name).stop.assert_called_once_with()


def test_a_process_without_a_registry_stops_as_well(plane):
    plane.registry = None
    plane.stop()
    plane.membership.stop.assert_called_once_with()


def test_core_machines_are_published_under_their_own_epoch(plane):
    # The heartbeat of an epoch may arrive after its record: combining the voters of one epoch with the number
    # of the other would publish two different maps under one version.
    for epoch, hosts in ((4, ("a", "b", "c")), (5, ("a", "b", "d"))):
        voters = tuple(ReplicaInfo(f"id-{host}", host, "z", "r") for host in hosts)
        plane.node.epoch_record = EpochRecord(epoch, "id-a", ("id-a", "id-b"), voters)
        plane.node.reader_term = ReaderTerm(4, 0)
        plane._publish_cores(1.0)
        assert plane.cores.version == (epoch,)
        assert {core.host for core in read_cores(plane.cores.entries)} == set(hosts)


def test_no_core_machines_are_published_before_an_epoch_is_known(plane):
    plane.node.epoch_record = None
    plane._publish_cores(1.0)
    assert not plane.cores.entries
