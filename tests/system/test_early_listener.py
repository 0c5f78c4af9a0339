"""Clients that connect while a data plane is starting, or has no configuration yet, wait briefly."""

import subprocess
import sys
from random import Random

import gevent
import pytest

from nettledeal.dataplane.agent import DataPlane
from nettledeal.dataplane.client_connection import MAX_START_WAIT_S, START_WAIT_SHARE
from nettledeal.programs.commands.data_plane import frontend_listener
from system.dataplane_rig import Client, FakeBackend, catalogue, entries, make_settings, running

LOADS_NO_LOOP = """
import sys
import nettledeal.programs.commands.data_plane
assert "gevent" not in sys.modules
"""


@pytest.fixture
def backend():
    backend = FakeBackend("i-1")
    backend.start()
    yield backend
    backend.stop()


def test_a_client_that_connects_before_the_data_plane_starts_is_served(backend):
    settings = make_settings()
    listener = frontend_listener(settings)
    client = Client(listener.getsockname())
    client.send()
    plane = DataPlane(settings, Random(1))
    plane.start(listener)
    plane.apply_control(1, entries())
    plane.apply_catalogue((1, 1), catalogue(backend.catalogue_entry))
    try:
        assert client.receive()[0] == 200
    finally:
        client.close()
        plane.ingress.stop_accepting()
        plane.readiness.stop()
        plane.connections.close()


def test_the_listener_opens_before_the_data_plane_is_imported():
    subprocess.run([sys.executable, "-c", LOADS_NO_LOOP], check=True, env={"PYTHONPATH": ":".join(sys.path)})


def test_a_request_just_before_the_first_configuration_is_served():
    with running(FakeBackend("i-1"), control={}) as rig:
        client = rig.client()
        client.send()
        gevent.idle()
        rig.plane.apply_control(2, entries())
        assert client.receive()[0] == 200


def test_an_earlier_request_is_told_when_to_retry():
    with running(FakeBackend("i-1"), control={}) as rig:
        status, headers, _ = rig.client().ask(Deadline_Ms="400")
        assert (status, "retry-after" in headers) == (503, True)
        assert not rig.backends[0].requests


def test_the_wait_at_startup_is_a_small_part_of_the_deadline():
    assert START_WAIT_SHARE <= 0.05
    assert MAX_START_WAIT_S <= 0.25
