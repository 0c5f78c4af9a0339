"""Connections between processes while the kernel refuses to make them."""

from __future__ import annotations

import errno

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from nettledeal.common import connections
from nettledeal.common.addresses import Address
from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.messages import FrameConnection
from nettledeal.control import mesh
from nettledeal.control.messages import CODEC, Hello, ReplicaInfo

WITHIN_S = 5.0
PEER = ReplicaInfo("id-1", "127.0.0.1", "z", "r")


class FailingListener:
    """A listener whose first accepts fail for want of file descriptors."""

    def __init__(self, listener: socket.socket, failures: int):
        self._listener, self._failures = listener, failures

    def accept(self):
        if self._failures > 0:
            self._failures -= 1
            raise OSError(errno.EMFILE, "too many open files")
        return self._listener.accept()

    def close(self):
        self._listener.close()


def test_a_core_machine_goes_on_accepting_after_accept_has_failed(monkeypatch):
    listener = connections.listening_socket(Address("127.0.0.1", 0))
    port = listener.getsockname()[1]
    monkeypatch.setattr(mesh, "listening_socket", lambda _: FailingListener(listener, 2))
    heard = Event()
    own = mesh.Mesh(
        Address("127.0.0.1", port),
        lambda: Hello(PEER, None),
        lambda sender, message: heard.set(),
        lambda hello: None,
        lambda host, cluster: None,
        silence_s=1.0,
    )
    own.start()
    try:
        sock = connections.connect(Address("127.0.0.1", port), WITHIN_S, WITHIN_S)
        FrameConnection(sock, CODEC, "peer").send(Hello(PEER, None))
        assert heard.wait(WITHIN_S)
    finally:
        own.stop()


def test_a_connection_for_which_there_is_no_descriptor_counts_as_lost(monkeypatch):
    def no_descriptor(*_):
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(connections.socket, "socket", no_descriptor)
    with pytest.raises(ServingError) as raised, gevent.Timeout(WITHIN_S):
        connections.connect(Address("127.0.0.1", 9), WITHIN_S, WITHIN_S)
    assert raised.value.code is ErrorCode.CONNECTION_LOST
