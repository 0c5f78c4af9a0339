"""Typed errors of the serving system.

Every error has a code that a caller may branch on, the step in which it arose and, where another process was
involved, the peer.
"""

from __future__ import annotations

from enum import StrEnum


class ErrorCode(StrEnum):
    """What went wrong, independent of where."""

    INVALID_SETTINGS = "invalid_settings"
    INVALID_CONFIGURATION = "invalid_configuration"
    VERSION_CONFLICT = "version_conflict"
    NOT_PRIMARY = "not_primary"
    UNAVAILABLE = "unavailable"
    TIMED_OUT = "timed_out"
    MALFORMED_MESSAGE = "malformed_message"
    CONNECTION_LOST = "connection_lost"
    STORAGE_FAILED = "storage_failed"
    FOREIGN_DATA = "foreign_data"
    UNPROVEN_TENANT = "unproven_tenant"


class ServingError(Exception):
    """An error with its code, the step that failed and the peer it concerned."""

    def __init__(self, code: ErrorCode, step: str, reason: str = "", peer: str | None = None):
        self.code = code
        self.step = step
        self.reason = reason
        self.peer = peer
        super().__init__(str(self))

    def __str__(self) -> str:
        peer = f" (peer {self.peer})" if self.peer else ""
        reason = f": {self.reason}" if self.reason else ""
        return f"{self.code}: {self.step}{peer}{reason}"
