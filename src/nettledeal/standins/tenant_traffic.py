"""Clients of two tenants on loopback, which send to data planes, retry as told and record each sender."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from http import HTTPMethod, HTTPStatus
from random import Random

import gevent
from gevent.pool import Group

from nettledeal.common.addresses import Address
from nettledeal.common.errors import ServingError
from nettledeal.common.http_client import HttpClient
from nettledeal.standins.tenant_scenario import (
    ANY_PATH,
    BANK,
    BANK_HOMES,
    HOST,
    MATERIALS,
    OWN_TOKENS,
    SHARED_TOKENS,
    TENANTS,
    material_of,
    prompt_header,
    token_of,
)

REQUESTS_PER_S = 30.0
TIMEOUT_S = 5.0
MAX_ATTEMPTS = 4
INITIAL_BACKOFF_S = 0.2
EVENTS = 2
LOST = "lost"

Frontends = Callable[[], list[tuple[str, Address]]]


class TenantTraffic:
    """Requests of all tenants; `frontends` returns the data planes that clients use, with their regions."""

    def __init__(self, frontends: Frontends, materials: int = MATERIALS, seed: int = 1):
        self.answers: Counter[str] = Counter()
        self._frontends = frontends
        self._materials = materials
        self._random = Random(seed)
        self._tenants: dict[str, str] = {}
        self._in_flight = Group()
        self._generator: gevent.Greenlet | None = None

    def tenant_of(self, request_id: str) -> str:
        """The tenant that sent a request."""
        return self._tenants.get(request_id, "")

    def start(self) -> None:
        """Begin to send requests."""
        self._generator = gevent.spawn(self._generate)

    def stop(self) -> None:
        """Stop sending, and wait for requests in flight."""
        if self._generator is not None:
            self._generator.kill()
        self._in_flight.join(timeout=2 * TIMEOUT_S)

    def ask(self, tenant: str, path: str, headers: dict[str, str] | None = None) -> str:
        """Send one request with its retries; returns the last answer's status, or LOST."""
        material = material_of(tenant, self._random.randrange(self._materials), self._materials)
        answer = LOST
        for attempt in range(MAX_ATTEMPTS):
            answer, backoff_s = self._attempt(tenant, path, material, headers or {})
            if answer not in (LOST, str(HTTPStatus.SERVICE_UNAVAILABLE.value)):
                break
            gevent.sleep(backoff_s * (attempt + 1))
        self.answers[answer] += 1
        return answer

    def _generate(self) -> None:
        while True:
            gevent.sleep(self._random.expovariate(REQUESTS_PER_S))
            tenant = self._random.choice(TENANTS)
            path = self._random.choice((tenant, tenant, ANY_PATH))
            self._in_flight.spawn(self.ask, tenant, path)

    def _attempt(
        self, tenant: str, path: str, material: str, extra_headers: dict[str, str]
    ) -> tuple[str, float]:
        request_id = f"{self._random.getrandbits(64):016x}"
        self._tenants[request_id] = tenant
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": f"{TIMEOUT_S * 1000:.0f}",
            "Model": "m",
            "Token-Usage": f"{2 * SHARED_TOKENS + OWN_TOKENS},{EVENTS}",
            "Prompt-Prefix": prompt_header(material, request_id),
        }
        if path == ANY_PATH:
            headers |= {"Tenant": tenant, "Tenant-Token": token_of(tenant).decode()}
        client = HttpClient(self._frontend(tenant))
        try:
            response = client.request(
                HTTPMethod.POST, f"/{path}/new", TIMEOUT_S, b"{}", headers | extra_headers
            )
        except ServingError:
            return LOST, INITIAL_BACKOFF_S
        finally:
            client.close()
        return str(response.status), float(response.headers.get("retry-after", INITIAL_BACKOFF_S))

    def _frontend(self, tenant: str) -> Address:
        known = self._frontends()
        at_home = [frontend for frontend in known if tenant != BANK or frontend[0] in BANK_HOMES]
        return self._random.choice(at_home or known)[1]
