"""Probes: single requests that go straight to one edge machine and show which configuration it goes by."""

from __future__ import annotations

import time
from collections.abc import Callable
from http import HTTPStatus
from random import Random

import gevent

from nettledeal.common.addresses import parse_address
from nettledeal.common.errors import ServingError
from nettledeal.standins.clients import RequestKind
from nettledeal.standins.configuration_rules import Contact, Probe
from nettledeal.standins.scenario import HOST
from nettledeal.standins.soak_clients import KeptConnection
from nettledeal.standins.soak_system import Machine

PAUSE_S = 0.04
RECONNECT_PAUSE_S = 0.1


def probe_kind(prefix: str) -> RequestKind:
    """The requests that probe a path prefix."""
    return RequestKind("probe", HOST, f"{prefix}x", repeatable=True)


class ConfigurationProber:
    """Sends one probe after the other to an edge machine, on the same connection while that stands."""

    def __init__(
        self,
        machine: Machine,
        prefixes: Callable[[], list[str]],
        contact: Callable[[Machine, float], Contact],
        random: Random,
    ):
        """`prefixes`: those to ask for now; `contact`: how far the machine was in touch since a moment."""
        self.machine = machine
        self.probes: list[Probe] = []
        self.sent: list[str] = []
        self._prefixes, self._contact, self._random = prefixes, contact, random

    def run(self) -> None:
        """Go on until killed."""
        while True:
            self._use_connection()
            gevent.sleep(RECONNECT_PAUSE_S)

    def _use_connection(self) -> None:
        connection = KeptConnection(parse_address(self.machine.settings.listen.frontend))
        try:
            connection.connect()
            while connection.open:
                self._probe(connection, self._random.choice(self._prefixes()))
                gevent.sleep(PAUSE_S)
        except ServingError:
            return
        finally:
            connection.close()

    def _probe(self, connection: KeptConnection, prefix: str) -> None:
        request_id = f"{self._random.getrandbits(64):016x}"
        self.sent.append(request_id)
        life, sent_at = self.machine.life, time.monotonic()
        response = connection.exchange(probe_kind(prefix), request_id)
        if life != self.machine.life:
            return
        served = response.status == HTTPStatus.OK
        backend = response.body.decode("latin-1").strip().rpartition(" ")[2] if served else ""
        self.probes.append(
            Probe(
                edge=self.machine.process.name,
                life=life,
                prefix=prefix,
                request_id=request_id,
                sent_at=sent_at,
                answered_at=time.monotonic(),
                status=response.status,
                service=backend.rpartition("-")[0] or None,
                contact=self._contact(self.machine, sent_at),
            )
        )
