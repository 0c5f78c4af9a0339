"""The one answer that a client gets, whichever backends contribute to it."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from nettledeal.dataplane.answers import own_answer, relayed_head
from nettledeal.dataplane.backend_answer import BackendAnswer
from nettledeal.dataplane.event_stream import EventSplitter
from nettledeal.net.protocol.bodies import LAST_CHUNK, encode_chunk


class ClientLeft(Exception):
    """The client has closed its connection; nobody waits for the answer."""


class ClientSide(Protocol):
    """The client's connection, as the answer needs it."""

    closing: bool  # the connection is not kept behind this answer

    def send(self, parts: list[bytes | memoryview]) -> None:
        """Raises ClientLeft."""


class AnswerRelay:
    """Passes a backend's answer on unchanged, as it comes; a resumable stream may continue from another one.

    Once the head has gone out, an answer that can't be completed ends with the connection and without its
    last chunk, so that nobody takes it for whole.
    """

    def __init__(self, client: ClientSide, request_id: bytes, resumable: bool):
        self.client = client
        self.request_id = request_id
        self.events = EventSplitter() if resumable else None
        self.begun = False
        self.complete = False

    @property
    def last_event_id(self) -> bytes | None:
        """The id of the last whole event that the client has been sent."""
        return self.events.last_id if self.events is not None else None

    @property
    def resumable(self) -> bool:
        """Whether another backend could take up what has been sent so far."""
        return self.events is not None and (not self.begun or self.events.last_id is not None)

    def answer_directly(self, status: HTTPStatus, retry_after_s: float | None = None) -> None:
        """Answer for the agent itself; after a head has gone out the answer stays incomplete."""
        if self.begun:
            self.client.closing = True
            return
        self.begun = True
        self.client.send([own_answer(status, self.request_id, retry_after_s, self.client.closing)])
        self.complete = True

    def relay(self, answer: BackendAnswer) -> None:
        """Pass on the answer. Raises ClientLeft, or OSError and Malformed where the backend breaks it off."""
        if answer.is_event_stream:
            self._relay_stream(answer)
        elif answer.is_gathered:
            self._relay_whole(answer)
        else:
            self._relay_pieces(answer)
        self.complete = True

    def _relay_whole(self, answer: BackendAnswer) -> None:
        body = answer.read_body()
        length = answer.declared_length if answer.bodiless else len(body)
        head = relayed_head(answer.status, answer.head_fields(), length, self.client.closing)
        self.begun = True
        self.client.send([head, body])

    def _relay_pieces(self, answer: BackendAnswer) -> None:
        chunked = answer.length is None
        head = relayed_head(answer.status, answer.head_fields(), answer.length, self.client.closing)
        self.begun = True
        parts: list[bytes | memoryview] = [head]
        while pieces := answer.read_pieces():
            self.client.send(parts + (encode_chunk(pieces) if chunked else pieces))
            parts = []
        self.client.send(parts + ([LAST_CHUNK] if chunked else []))

    def _relay_stream(self, answer: BackendAnswer) -> None:
        """The head goes out with the first event: until then another backend may still answer."""
        parts: list[bytes | memoryview] = []
        if self.events is not None:
            self.events.take_partial()  # of a backend that broke off
        if not self.begun:
            parts = [relayed_head(answer.status, answer.head_fields(), None, self.client.closing)]
        while pieces := answer.read_pieces():
            if passed := self._whole_events(pieces):
                self.begun = True
                self.client.send(parts + encode_chunk(passed))
                parts = []
        rest = self.events.take_partial() if self.events is not None else b""
        self.begun = True
        self.client.send(parts + (encode_chunk([rest]) if rest else []) + [LAST_CHUNK])

    def _whole_events(self, pieces: list[bytes]) -> list[bytes]:
        if self.events is None:
            return pieces
        whole = self.events.feed(b"".join(pieces))
        return [whole] if whole else []
