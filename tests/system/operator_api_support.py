"""An in-memory control plane for tests of the operator API."""

from __future__ import annotations

import json

from gevent.event import Event

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.control.decisions import decide
from nettledeal.control.state import ControlState, Outcome


class MemoryNode:
    """Decides commands as the control plane does; can be deposed, delayed, or made to time out."""

    def __init__(self, address="10.0.0.1:8166"):
        self.is_primary = True
        self.primary_address = address
        self.state = ControlState()
        self.submitted = []
        self.open = Event()  # commands wait for it before they are executed
        self.open.set()
        self.deposed = False  # a new primary exists, but this node has not noticed
        self.age_s = 0.1

    def confirmed_age_s(self):
        return self.age_s

    def submit(self, command):
        self.submitted.append(command)
        self.open.wait()
        decision = decide(self.state, command)
        if decision.outcome is Outcome.ACCEPTED:
            self._confirm("submit")
            if decision.changes:
                self.state = self.state.after(self.state.sequence + 1, decision.changes)
        return decision.outcome

    def read(self):
        self._confirm("read")
        return self.state

    def _confirm(self, step):
        if not self.is_primary:
            raise ServingError(ErrorCode.NOT_PRIMARY, step)
        if self.deposed:
            raise ServingError(ErrorCode.TIMED_OUT, step)


def make_body(generation=7, **changes):
    """A small valid configuration, with some fields replaced."""
    route = {
        "name": "r-1",
        "hostname": "shop.example",
        "path_prefix": "/cart/",
        "route_type": "idempotent",
        "timeout_ms": 4000,
        "target_latency_ms": 500,
        "priority": 0,
        "service": "cart",
        "max_attempts": 2,
    }
    configuration = {
        "generation": generation,
        "routes": [route],
        "services": [{"name": "cart", "health_check": "/healthz"}, {"name": "cart-2"}],
        "limits": {"max_header_bytes": 16384},
    }
    configuration.update(changes)
    return json.dumps(configuration).encode()


def make_route(**changes):
    """The route of `make_body`, with some fields replaced."""
    route = json.loads(make_body())["routes"][0]
    route.update(changes)
    return route
