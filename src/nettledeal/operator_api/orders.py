"""Orders under way at this process: an order that arrives again joins the first instead of racing it."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import gevent

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.control.state import Command, Outcome, PutConfiguration, SetEvacuation, SetTenantKey

ANSWER_WITHIN_S = 0.85

Result = TypeVar("Result")


class Task(gevent.Greenlet):
    """A call that goes on when nobody waits for it any more."""

    def __init__(self, call: Callable[..., Result], *arguments: object):
        super().__init__(self._attempt, call, *arguments)

    def result(self, within_s: float, step: str) -> Result:
        """What the call returns; raises its ServingError, or TIMED_OUT if it takes longer than `within_s`."""
        try:
            result = self.get(timeout=within_s)
        except gevent.Timeout:
            raise ServingError(ErrorCode.TIMED_OUT, step) from None
        if isinstance(result, ServingError):
            raise result
        return result

    @staticmethod
    def _attempt(call: Callable[..., Result], *arguments: object) -> Result | ServingError:
        try:
            return call(*arguments)
        except ServingError as error:
            return error


class OrdersUnderWay:
    """Submits commands and joins those that are alike."""

    def __init__(self, submit: Callable[[Command], Outcome], answer_within_s: float = ANSWER_WITHIN_S):
        self._submit = submit
        self._answer_within_s = answer_within_s
        self._configurations: dict[bytes, Task] = {}
        self._tenant_keys: dict[SetTenantKey, Task] = {}
        self._evacuations: dict[str, tuple[bool, Task]] = {}  # the newest order for each zone

    def put_configuration(self, command: PutConfiguration) -> Outcome:
        """Submit a configuration, or join the same one under way; raises ServingError."""
        task = self._configurations.get(command.digest)
        if task is None:
            task = self._configurations[command.digest] = Task(self._submit, command)
            task.rawlink(lambda _: self._configurations.pop(command.digest, None))
            task.start()
        return task.result(self._answer_within_s, "put configuration")

    def set_tenant_key(self, command: SetTenantKey) -> Outcome:
        """Submit a key, or join the same order under way; raises ServingError."""
        task = self._tenant_keys.get(command)
        if task is None:
            task = self._tenant_keys[command] = Task(self._submit, command)
            task.rawlink(lambda _: self._tenant_keys.pop(command, None))
            task.start()
        return task.result(self._answer_within_s, "set tenant key")

    def set_evacuation(self, command: SetEvacuation) -> Outcome:
        """Submit an evacuation, or join the newest order for the zone if it is alike; raises ServingError."""
        evacuated, task = self._evacuations.get(command.zone, (None, None))
        if task is None or evacuated != command.evacuated:
            task = Task(self._submit, command)
            self._evacuations[command.zone] = (command.evacuated, task)
            task.rawlink(lambda ended: self._end_evacuation(command.zone, ended))
            task.start()
        return task.result(self._answer_within_s, "set evacuation")

    def _end_evacuation(self, zone: str, ended: Task) -> None:
        if self._evacuations.get(zone, (None, None))[1] is ended:
            del self._evacuations[zone]
