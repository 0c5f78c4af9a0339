"""Executes a replica's effects: writes, sends that wait for a disk sync, and answers."""

from __future__ import annotations

from collections import deque

from gevent.event import AsyncResult

from nettledeal.control.effects import Effects, Send
from nettledeal.control.mesh import Mesh
from nettledeal.control.messages import Message
from nettledeal.control.writer import Writer


class EffectExecutor:
    """Executes effects. `local_messages` go to this host's own replica; `pending_calls` await answers."""

    def __init__(self, own_host: str, writer: Writer, mesh: Mesh):
        self.local_messages: deque[Message] = deque()
        self.pending_calls: dict[int, AsyncResult] = {}
        self._own_host, self._writer, self._mesh = own_host, writer, mesh
        self._synced_write = 0
        self._waiting_sends: deque[Send] = deque()

    def execute(self, effects: Effects) -> None:
        """Queue the writes, send what doesn't wait for any of them, and deliver the answers."""
        for number, write in effects.writes:
            self._writer.enqueue(number, write)
        self._send_released()
        for send in effects.sends:
            if send.after_write <= self._synced_write:
                self._send(send)
            else:
                self._waiting_sends.append(send)
        for answer in effects.answers:
            if answer.call_id in self.pending_calls:
                self.pending_calls[answer.call_id].set(answer.result)

    def on_synced(self, number: int) -> None:
        """Writes up to `number` are on the disk: send the messages that waited for them."""
        self._synced_write = number
        self._send_released()

    def _send_released(self) -> None:
        while self._waiting_sends and self._waiting_sends[0].after_write <= self._synced_write:
            self._send(self._waiting_sends.popleft())

    def _send(self, send: Send) -> None:
        if send.host == self._own_host:
            self.local_messages.append(send.message)
        else:
            self._mesh.send(send.host, send.message)
