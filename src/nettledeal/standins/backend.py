"""A stand-in backend: plain answers and event streams, with slots, a queue and a prefix cache."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus

import gevent
import msgspec
import xxhash
from gevent.lock import BoundedSemaphore

from nettledeal.common.addresses import Address
from nettledeal.common.http_server import HttpServer
from nettledeal.discovery.catalogue import Backend, BackendState, ServedModel
from nettledeal.standins.prefix_cache import Lookup, PrefixCache, RecordingCache, parse_prompt

HEALTH_PATH = "/healthz"
REPORT_PATH = "/report"
EVENT_STREAM = "text/event-stream"


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """The speed of a stand-in engine; a value of 0 means that the step takes no time."""

    prompt_tokens_per_s: float = 0.0
    event_interval_s: float = 0.0
    plain_answer_s: float = 0.0

    def prefill_s(self, tokens: int) -> float:
        """The time to prefill this many prompt tokens."""
        return tokens / self.prompt_tokens_per_s if self.prompt_tokens_per_s else 0.0


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a backend executed."""

    request_id: str
    path: str
    prompt_tokens: int
    cached_tokens: int


class StandInBackend(HttpServer):
    """One incarnation of a backend, listening on its address."""

    def __init__(
        self,
        catalogue_entry: Backend,
        address: Address,
        speed: EngineSpeed,
        cache_tokens: int = 0,
        queue_limit: int = 16,
        tenant_of: Callable[[str], str] | None = None,
    ):
        """`tenant_of` maps a request id to its tenant; with it, cache hits are recorded by tenant."""
        self.catalogue_entry = catalogue_entry
        self.runs: list[Run] = []
        self.on_run: Callable[[Run], None] = lambda run: None
        super().__init__(address, self._serve)
        self._speed = speed
        self._tenant_of = tenant_of
        self._cache = PrefixCache(cache_tokens) if tenant_of is None else RecordingCache(cache_tokens)
        self._slots = BoundedSemaphore(catalogue_entry.capacity)
        self._queue_limit = queue_limit
        self._accepted_requests = 0

    @property
    def lookups(self) -> list[Lookup]:
        """The cache lookups of all requests; empty without a recording cache."""
        return self._cache.lookups if isinstance(self._cache, RecordingCache) else []

    @property
    def running(self) -> int:
        """The number of requests that hold a slot."""
        return min(self._accepted_requests, self.catalogue_entry.capacity)

    def _serve(self, environ: dict, start_response: Callable) -> Iterator[bytes] | list[bytes]:
        """The WSGI application."""
        path = environ["PATH_INFO"]
        if path == HEALTH_PATH:
            return self._health(start_response)
        if path == REPORT_PATH:
            return self._report(start_response)
        environ["wsgi.input"].read()
        request_id = environ.get("HTTP_REQUEST_ID", "")
        rejection = self._rejection_status(environ, request_id)
        if rejection is not None:
            start_response(_status_line(rejection), [("Not-Executed", "1"), ("Request-Id", request_id)])
            return []
        return self._run(environ, request_id, start_response)

    def _rejection_status(self, environ: dict, request_id: str) -> HTTPStatus | None:
        """The status with which the request is rejected, or None if it is to be executed."""
        if not request_id:
            return HTTPStatus.BAD_REQUEST
        if environ.get("HTTP_EXPECT_INSTANCE", self.catalogue_entry.id) != self.catalogue_entry.id:
            return HTTPStatus.MISDIRECTED_REQUEST
        if self._accepted_requests >= self.catalogue_entry.capacity + self._queue_limit:
            return HTTPStatus.SERVICE_UNAVAILABLE
        return None

    def _run(self, environ: dict, request_id: str, start_response: Callable) -> Iterator[bytes]:
        self._accepted_requests += 1
        try:
            with self._slots:
                run = self._read_prompt(environ, request_id)
                headers = [
                    ("Request-Id", request_id),
                    ("Server-Signature", sign(self.catalogue_entry.id, request_id)),
                ]
                if "HTTP_TOKEN_USAGE" in environ:
                    start_response(_status_line(HTTPStatus.OK), [*headers, ("Content-Type", EVENT_STREAM)])
                    yield from self._events(environ, run)
                else:
                    gevent.sleep(self._speed.plain_answer_s)
                    body = plain_body(self.catalogue_entry.id, request_id)
                    start_response(
                        _status_line(HTTPStatus.OK), [*headers, ("Content-Length", str(len(body)))]
                    )
                    yield body
        finally:
            self._accepted_requests -= 1

    def _read_prompt(self, environ: dict, request_id: str) -> Run:
        parts = parse_prompt(environ.get("HTTP_PROMPT_PREFIX", ""))
        if isinstance(self._cache, RecordingCache):
            cached_tokens = self._cache.prefill_for(self._tenant_of(request_id), parts)
        else:
            cached_tokens = self._cache.prefill(parts)
        run = Run(request_id, environ["PATH_INFO"], sum(part.tokens for part in parts), cached_tokens)
        self.runs.append(run)
        self.on_run(run)
        gevent.sleep(self._speed.prefill_s(run.prompt_tokens - cached_tokens))
        return run

    def _events(self, environ: dict, run: Run) -> Iterator[bytes]:
        first = int(environ.get("HTTP_LAST_EVENT_ID") or 0) + 1
        last = int(environ["HTTP_TOKEN_USAGE"].partition(",")[2])
        for number in range(first, last + 1):
            yield event(number, run.request_id, last)
            gevent.sleep(self._speed.event_interval_s)

    def _health(self, start_response: Callable) -> list[bytes]:
        draining = self.catalogue_entry.state is BackendState.DRAINING
        status = HTTPStatus.SERVICE_UNAVAILABLE if draining else HTTPStatus.OK
        start_response(
            _status_line(status), [("Instance-Id", self.catalogue_entry.id), ("Content-Length", "0")]
        )
        return []

    def _report(self, start_response: Callable) -> list[bytes]:
        report = BackendReport(
            stage=self.catalogue_entry.stage or "",
            models=self.catalogue_entry.models,
            queued=self._accepted_requests - self.running,
            running=self.running,
            kv_used=self._cache.used_tokens,
            kv_total=self._cache.capacity_tokens,
        )
        body = msgspec.json.encode(report)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start_response(_status_line(HTTPStatus.OK), headers)
        return [body]


class BackendReport(msgspec.Struct, frozen=True):
    """The load and cache report that a backend serves."""

    stage: str
    models: tuple[ServedModel, ...]
    queued: int
    running: int
    kv_used: int
    kv_total: int
    busy: bool = False
    sequence: int = 0
    handles: int = 0


def sign(backend_id: str, request_id: str) -> str:
    """The signature of an answer, which identifies the backend and the request."""
    return xxhash.xxh3_64_hexdigest(f"{backend_id} {request_id}".encode())


def plain_body(backend_id: str, request_id: str) -> bytes:
    """The body of a plain answer."""
    return f"{request_id} by {backend_id}\n".encode()


def event(number: int, request_id: str, last: int) -> bytes:
    """One event of a stream, which names its request, its number and the number of the last event."""
    return f"id: {number}\ndata: {request_id} {number}/{last}\n\n".encode()


def _status_line(status: HTTPStatus) -> str:
    return f"{status.value} {status.phrase}"
