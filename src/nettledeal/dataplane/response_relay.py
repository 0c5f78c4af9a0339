"""Relays responses to a client; one response may continue across several backends."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from nettledeal.dataplane.backend_response import BackendResponse
from nettledeal.dataplane.event_stream import EventSplitter
from nettledeal.dataplane.response_heads import agent_response, relayed_response_head
from nettledeal.net.protocol.bodies import LAST_CHUNK, encode_chunk


class ClientDisconnected(Exception):
    """The client has closed its connection."""


class ClientWriter(Protocol):
    """The interface to the client's connection."""

    closing: bool  # the connection is closed after this response

    def send(self, parts: list[bytes | memoryview]) -> None:
        """Raises ClientDisconnected."""


class ResponseRelay:
    """Passes a backend's response on unchanged as it arrives; another backend may resume a stream.

    Once the head has been sent, a response that can't be completed ends by closing the connection without the
    last chunk, so that the client doesn't take it for complete.
    """

    def __init__(self, client: ClientWriter, request_id: bytes, resumable: bool):
        self.client = client
        self.request_id = request_id
        self.events = EventSplitter() if resumable else None
        self.started = False
        self.complete = False

    @property
    def last_event_id(self) -> bytes | None:
        """The id of the last complete event sent to the client."""
        return self.events.last_id if self.events is not None else None

    @property
    def resumable(self) -> bool:
        """Whether another backend could continue the response from here."""
        return self.events is not None and (not self.started or self.events.last_id is not None)

    def respond_directly(self, status: HTTPStatus, retry_after_s: float | None = None) -> None:
        """Send a response of the agent itself; if a head has been sent, the response stays incomplete."""
        if self.started:
            self.client.closing = True
            return
        self.started = True
        self.client.send([agent_response(status, self.request_id, retry_after_s, self.client.closing)])
        self.complete = True

    def relay(self, response: BackendResponse) -> None:
        """Relay the response. Raises ClientDisconnected, or OSError and Malformed if the backend fails."""
        if response.is_event_stream:
            self._relay_stream(response)
        elif response.is_buffered:
            self._relay_buffered(response)
        else:
            self._relay_pieces(response)
        self.complete = True

    def _relay_buffered(self, response: BackendResponse) -> None:
        body = response.read_body()
        length = response.declared_length if response.bodiless else len(body)
        head = relayed_response_head(response.status, response.head_fields(), length, self.client.closing)
        self.started = True
        self.client.send([head, body])

    def _relay_pieces(self, response: BackendResponse) -> None:
        chunked = response.length is None
        head = relayed_response_head(
            response.status, response.head_fields(), response.length, self.client.closing
        )
        self.started = True
        parts: list[bytes | memoryview] = [head]
        while pieces := response.read_pieces():
            self.client.send(parts + (encode_chunk(pieces) if chunked else pieces))
            parts = []
        self.client.send(parts + ([LAST_CHUNK] if chunked else []))

    def _relay_stream(self, response: BackendResponse) -> None:
        """The head is sent with the first event: until then another backend may still respond."""
        parts: list[bytes | memoryview] = []
        if self.events is not None:
            self.events.take_partial()  # left over from a backend that broke off
        if not self.started:
            parts = [
                relayed_response_head(response.status, response.head_fields(), None, self.client.closing)
            ]
        while pieces := response.read_pieces():
            if complete := self._complete_events(pieces):
                self.started = True
                self.client.send(parts + encode_chunk(complete))
                parts = []
        rest = self.events.take_partial() if self.events is not None else b""
        self.started = True
        self.client.send(parts + (encode_chunk([rest]) if rest else []) + [LAST_CHUNK])

    def _complete_events(self, pieces: list[bytes]) -> list[bytes]:
        if self.events is None:
            return pieces
        complete = self.events.feed(b"".join(pieces))
        return [complete] if complete else []
