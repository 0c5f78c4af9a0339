"""Keeps copies of sources up to date from one core machine at a time, and moves to another when it must.

A stream is left when nothing was heard on it for a while, when its publisher is behind what is held, or when
its publisher's copy has grown old and another publisher's proves to be newer.
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
from nettledeal.distribution.selection import TargetChooser, looks_cut_off, looks_fresher
from nettledeal.distribution.subscriber_session import SubscribedSource, SubscriberSession

CONNECT_FRACTION = 0.125  # of `contact_ms`, as the next two
SILENCE_FRACTION = 0.3
OLD_FRACTION = 0.375
RETURN_AFTER_S = 10.0  # to a preferred publisher, which may have been gone for a while

OnUpdate = Callable[[str, Version, PMap], None]
OnFindings = Callable[[BackendFindings], None]


class Stream:
    """A connection to one publisher with its session."""

    def __init__(self, address: Address, connection: FrameConnection, session: SubscriberSession):
        self.address = address
        self.connection = connection
        self.session = session
        self.opened_at_s = time.monotonic()
        self.left = False
        self._sending = RLock()

    def send(self, message: DistributionMessage) -> None:
        """Write one message, from any greenlet; raises ServingError with CONNECTION_LOST."""
        with self._sending:
            self.connection.send(message)

    def leave(self) -> None:
        """End the stream; whoever reads from it gets CONNECTION_LOST."""
        self.left = True
        self.connection.close()


class Subscriber:
    """The subscription of one process to some sources."""

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
        self._connect_timeout_s = CONNECT_FRACTION * contact_s
        self._silence_s = SILENCE_FRACTION * contact_s
        self._old_s = OLD_FRACTION * contact_s
        self._chooser = TargetChooser(targets, random or Random())
        self._stream: Stream | None = None
        self._replacement: Stream | None = None
        self._following: gevent.Greenlet | None = None
        self._seeking: gevent.Greenlet | None = None

    def start(self) -> None:
        """Connect and keep connected in a greenlet of its own."""
        self._following = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the subscription; what is held stays."""
        for greenlet in (self._following, self._seeking):
            if greenlet is not None:
                greenlet.kill(block=False)
        for stream in (self._stream, self._replacement):
            if stream is not None:
                stream.leave()

    @property
    def publisher(self) -> Address | None:
        """The publisher whose stream is followed."""
        return self._stream.address if self._stream else None

    def entries(self, source: str) -> PMap:
        """The held copy of a source."""
        return self.sources[source].entries

    def version(self, source: str) -> Version:
        """The held version of a source."""
        return self.sources[source].version

    def age_s(self, source: str) -> float | None:
        """Seconds since the held copy was known to be current; None if it never was."""
        return self.sources[source].age_s(time.monotonic())

    def tell(self, findings: BackendFindings) -> None:
        """Have the publisher tell its other subscribers of this zone; dropped if that can't be done now."""
        stream = self._stream
        if stream is None or stream.left or not stream.session.takes_failures:
            return
        try:
            stream.send(findings)
        except ServingError:
            stream.connection.close()

    def _run(self) -> None:
        while True:
            self._stream = self._take_replacement() or self._open_next()
            if self._stream is not None:
                self._follow(self._stream)
                self._stream = None

    def _take_replacement(self) -> Stream | None:
        stream, self._replacement = self._replacement, None
        return stream

    def _open_next(self) -> Stream | None:
        """A stream from the preferred publisher that did not fail lately; None after a failure."""
        address = self._chooser.next(time.monotonic())
        if address is not None:
            return self._open(address)
        gevent.sleep(self._chooser.pause_s())
        return None

    def _open(self, address: Address) -> Stream | None:
        """Subscribe at `address`; None if it can't be reached."""
        try:
            sock = connections.connect(address, self._connect_timeout_s, self._silence_s)
        except ServingError:
            self._chooser.failed(address, time.monotonic())
            return None
        connection = FrameConnection(sock, CODEC, str(address))
        settings = self._settings
        session = SubscriberSession(self._name, settings.role, settings.zone, self.sources, str(address))
        try:
            connection.send(session.open())
        except ServingError:
            connection.close()
            self._chooser.failed(address, time.monotonic())
            return None
        return Stream(address, connection, session)

    def _follow(self, stream: Stream) -> None:
        """Apply what the stream brings until it ends."""
        try:
            while not stream.left:
                self._receive(stream)
                if self._wants_another(stream):
                    self._seeking = gevent.spawn(self._find_fresher, stream)
                elif self._may_return(stream):
                    self._seeking = gevent.spawn(self._return, stream)
        except ServingError as error:
            if not stream.left:
                self._chooser.failed(stream.address, time.monotonic())
                log_event("distribution:stream_lost", publisher=str(stream.address), reason=str(error))
        stream.leave()

    def _receive(self, stream: Stream) -> None:
        message = stream.connection.receive(self._silence_s)
        answers = stream.session.receive(message, time.monotonic())
        if isinstance(message, Heartbeat):
            self._chooser.succeeded(stream.address)
        changed, stream.session.changed = stream.session.changed, []
        for source in changed:
            self._tell(source)
        found, stream.session.findings = stream.session.findings, []
        for findings in found:
            self.on_findings(findings)
        for answer in answers:
            stream.send(answer)

    def _tell(self, source: SubscribedSource) -> None:
        """Pass an update on; whatever fails there must not end the subscription."""
        try:
            self._on_update(source.name, source.version, source.entries)
        except Exception as error:
            log_event("distribution:update_failed", source=source.name, reason=repr(error))

    def _wants_another(self, stream: Stream) -> bool:
        if self._seeking is not None or self._replacement is not None:
            return False
        now_s = time.monotonic()
        if looks_cut_off(stream.session, self.sources, now_s, self._old_s):
            return self._chooser.may_seek(now_s)
        self._chooser.settled()
        return False

    def _may_return(self, stream: Stream) -> bool:
        """Whether a publisher that is preferred to the current one may be tried again."""
        now_s = time.monotonic()
        idle = self._seeking is None and self._replacement is None
        settled = now_s - stream.opened_at_s > RETURN_AFTER_S
        return idle and settled and self._chooser.preferred(now_s) not in (None, stream.address)

    def _find_fresher(self, stream: Stream) -> None:
        """Subscribe at another publisher and change over if its copies are newer."""
        address = self._chooser.alternative(stream.address, time.monotonic())
        self._try(stream, address, lambda other: looks_fresher(other.session, stream.session))

    def _return(self, stream: Stream) -> None:
        """Subscribe at the preferred publisher and change over unless its copies are older."""
        stream.opened_at_s = time.monotonic()
        address = self._chooser.preferred(time.monotonic())
        self._try(stream, address, lambda other: not looks_fresher(stream.session, other.session))

    def _try(self, stream: Stream, address: Address | None, better: Callable[[Stream], bool]) -> None:
        try:
            other = None if address is None else self._open(address)
            if other is not None:
                self._change_over(stream, other, better)
        finally:
            self._seeking = None

    def _change_over(self, stream: Stream, other: Stream, better: Callable[[Stream], bool]) -> None:
        try:
            self._await_heartbeat(other)
        except ServingError:
            self._chooser.failed(other.address, time.monotonic())
            other.leave()
            return
        if self._stream is stream and not stream.left and better(other):
            log_event("distribution:publisher_changed", before=str(stream.address), after=str(other.address))
            self._chooser.settled()
            self._replacement = other
            stream.leave()
        else:
            other.leave()

    def _await_heartbeat(self, stream: Stream) -> None:
        """Read until the publisher has told its ages, which it does first of all."""
        message = stream.connection.receive(self._silence_s)
        while not isinstance(message, Heartbeat):
            message = stream.connection.receive(self._silence_s)
        stream.session.receive(message, time.monotonic())
