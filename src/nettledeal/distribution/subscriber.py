"""Keeps local copies of sources up to date from one core machine at a time, with failover to others.

A stream is replaced when it times out, when its publisher's copy is older than the local one, or when that
copy hasn't been confirmed for too long and another publisher's copy is newer.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from random import Random

import gevent
from gevent.lock import RLock
from pyrsistent import PMap

from nettledeal.common import connections
from nettledeal.common.addresses import Address
from nettledeal.common.errors import ServingError
from nettledeal.common.logs import log_event
from nettledeal.common.messages import FrameConnection
from nettledeal.common.settings import Settings
from nettledeal.distribution.protocol import CODEC, BackendFindings, DistributionMessage, Heartbeat, Version
from nettledeal.distribution.publisher_selection import PublisherSelector, is_fresher, is_publisher_stale
from nettledeal.distribution.subscriber_session import SubscribedSource, SubscriberSession

CONNECT_TIMEOUT_FRACTION = 0.125  # of `contact_ms`, like the next two
SILENCE_TIMEOUT_FRACTION = 0.3
MAX_AGE_FRACTION = 0.375
PREFERRED_RETRY_INTERVAL_S = 10.0  # a preferred publisher may have been down for a while

OnUpdate = Callable[[str, Version, PMap], None]
OnFindings = Callable[[BackendFindings], None]


class Stream:
    """A connection to one publisher and its session."""

    def __init__(self, address: Address, connection: FrameConnection, session: SubscriberSession):
        self.address = address
        self.connection = connection
        self.session = session
        self.opened_at_s = time.monotonic()
        self.closed = False
        self._send_lock = RLock()

    def send(self, message: DistributionMessage) -> None:
        """Sends one message, from any greenlet; raises ServingError with CONNECTION_LOST."""
        with self._send_lock:
            self.connection.send(message)

    def close(self) -> None:
        """Closes the stream; a greenlet that reads from it gets CONNECTION_LOST."""
        self.closed = True
        self.connection.close()


class Subscriber:
    """Subscribes one process to a set of sources."""

    def __init__(
        self,
        settings: Settings,
        name: str,
        targets: Callable[[], list[Address]],
        sources: Iterable[str],
        on_update: OnUpdate,
        random: Random | None = None,
    ):
        self.sources = {source: SubscribedSource(source) for source in sources}
        self._settings = settings
        self._name = name
        self._on_update = on_update
        self.on_findings: OnFindings = lambda findings: None
        contact_s = settings.bounds.contact_ms / 1000
        self._connect_timeout_s = CONNECT_TIMEOUT_FRACTION * contact_s
        self._silence_timeout_s = SILENCE_TIMEOUT_FRACTION * contact_s
        self._max_age_s = MAX_AGE_FRACTION * contact_s
        self._selector = PublisherSelector(targets, random or Random())
        self._stream: Stream | None = None
        self._replacement: Stream | None = None
        self._follow_greenlet: gevent.Greenlet | None = None
        self._search_greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts a greenlet that connects and reconnects as needed."""
        self._follow_greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends the subscription; the local copies remain available."""
        for greenlet in (self._follow_greenlet, self._search_greenlet):
            if greenlet is not None:
                greenlet.kill(block=False)
        for stream in (self._stream, self._replacement):
            if stream is not None:
                stream.close()

    @property
    def publisher(self) -> Address | None:
        """The publisher that this process is subscribed to."""
        return self._stream.address if self._stream else None

    def entries(self, source: str) -> PMap:
        """Returns the local copy of a source."""
        return self.sources[source].entries

    def version(self, source: str) -> Version:
        """Returns the version of the local copy of a source."""
        return self.sources[source].version

    def age_s(self, source: str) -> float | None:
        """Returns seconds since the local copy was known to be current; None if it never was."""
        return self.sources[source].age_s(time.monotonic())

    def report_findings(self, findings: BackendFindings) -> None:
        """Has the publisher forward findings to its other subscribers of this zone; best effort."""
        stream = self._stream
        if stream is None or stream.closed or not stream.session.accepts_findings:
            return
        try:
            stream.send(findings)
        except ServingError:
            stream.connection.close()

    def _run(self) -> None:
        while True:
            self._stream = self._pop_replacement() or self._open_next()
            if self._stream is not None:
                self._follow(self._stream)
                self._stream = None

    def _pop_replacement(self) -> Stream | None:
        stream, self._replacement = self._replacement, None
        return stream

    def _open_next(self) -> Stream | None:
        """Opens a stream to the first publisher that didn't fail recently; None after a failure."""
        address = self._selector.next_target(time.monotonic())
        if address is not None:
            return self._open(address)
        gevent.sleep(self._selector.retry_delay_s())
        return None

    def _open(self, address: Address) -> Stream | None:
        """Subscribes at `address`; returns None if it can't be reached."""
        try:
            sock = connections.connect(address, self._connect_timeout_s, self._silence_timeout_s)
        except ServingError:
            self._selector.record_failure(address, time.monotonic())
            return None
        connection = FrameConnection(sock, CODEC, str(address))
        settings = self._settings
        session = SubscriberSession(self._name, settings.role, settings.zone, self.sources, str(address))
        try:
            connection.send(session.open())
        except ServingError:
            connection.close()
            self._selector.record_failure(address, time.monotonic())
            return None
        held = {name: source.version for name, source in self.sources.items()}
        log_event("distribution:subscribed", publisher=str(address), held=held)
        return Stream(address, connection, session)

    def _follow(self, stream: Stream) -> None:
        """Processes messages from the stream until it ends."""
        try:
            while not stream.closed:
                self._receive(stream)
                if self._should_search(stream):
                    self._search_greenlet = gevent.spawn(self._find_fresher, stream)
                elif self._should_return_to_preferred(stream):
                    self._search_greenlet = gevent.spawn(self._return_to_preferred, stream)
        except ServingError as error:
            if not stream.closed:
                self._selector.record_failure(stream.address, time.monotonic())
                log_event("distribution:stream_lost", publisher=str(stream.address), reason=str(error))
        stream.close()

    def _receive(self, stream: Stream) -> None:
        message = stream.connection.receive(self._silence_timeout_s)
        answers = stream.session.receive(message, time.monotonic())
        if isinstance(message, Heartbeat):
            self._selector.record_success(stream.address)
        changed, stream.session.changed_sources = stream.session.changed_sources, []
        for source in changed:
            self._notify_update(source)
        received, stream.session.received_findings = stream.session.received_findings, []
        for findings in received:
            self.on_findings(findings)
        for answer in answers:
            stream.send(answer)

    def _notify_update(self, source: SubscribedSource) -> None:
        """Calls the update callback; an exception in it must not end the subscription."""
        try:
            self._on_update(source.name, source.version, source.entries)
        except Exception as error:
            log_event("distribution:update_failed", source=source.name, reason=repr(error))

    def _should_search(self, stream: Stream) -> bool:
        if self._search_greenlet is not None or self._replacement is not None:
            return False
        now_s = time.monotonic()
        if is_publisher_stale(stream.session, self.sources, now_s, self._max_age_s):
            return self._selector.should_search(now_s)
        self._selector.reset_search_interval()
        return False

    def _should_return_to_preferred(self, stream: Stream) -> bool:
        """Whether to retry a publisher that is preferred to the current one."""
        now_s = time.monotonic()
        no_search_running = self._search_greenlet is None and self._replacement is None
        open_long_enough = now_s - stream.opened_at_s > PREFERRED_RETRY_INTERVAL_S
        return (
            no_search_running
            and open_long_enough
            and self._selector.preferred(now_s) not in (None, stream.address)
        )

    def _find_fresher(self, stream: Stream) -> None:
        """Subscribes at another publisher and switches to it if its copies are newer."""
        address = self._selector.alternative(stream.address, time.monotonic())
        self._try_publisher(stream, address, lambda other: is_fresher(other.session, stream.session))

    def _return_to_preferred(self, stream: Stream) -> None:
        """Subscribes at the preferred publisher and switches to it unless its copies are older."""
        stream.opened_at_s = time.monotonic()
        address = self._selector.preferred(time.monotonic())
        self._try_publisher(stream, address, lambda other: not is_fresher(stream.session, other.session))

    def _try_publisher(
        self, stream: Stream, address: Address | None, is_better: Callable[[Stream], bool]
    ) -> None:
        try:
            other = None if address is None else self._open(address)
            if other is not None:
                self._switch_if_better(stream, other, is_better)
        finally:
            self._search_greenlet = None

    def _switch_if_better(self, stream: Stream, other: Stream, is_better: Callable[[Stream], bool]) -> None:
        try:
            self._await_heartbeat(other)
        except ServingError:
            self._selector.record_failure(other.address, time.monotonic())
            other.close()
            return
        if self._stream is stream and not stream.closed and is_better(other):
            log_event("distribution:publisher_changed", before=str(stream.address), after=str(other.address))
            self._selector.reset_search_interval()
            self._replacement = other
            stream.close()
        else:
            other.close()

    def _await_heartbeat(self, stream: Stream) -> None:
        """Reads until the first heartbeat, which the publisher sends before any update."""
        message = stream.connection.receive(self._silence_timeout_s)
        while not isinstance(message, Heartbeat):
            message = stream.connection.receive(self._silence_timeout_s)
        stream.session.receive(message, time.monotonic())
