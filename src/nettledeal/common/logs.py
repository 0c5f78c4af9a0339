"""Structured logs on standard error, one JSON object a line, written by eliot."""

from __future__ import annotations

import sys

import eliot


def configure_logs(node_name: str, role: str) -> None:
    """Send log messages to standard error with the process's identity in each."""
    eliot.add_global_fields(node=node_name, role=role)
    eliot.to_file(sys.stderr)


def log_event(message_type: str, **fields: object) -> None:
    """Log one event. Events are for changes of state, never for single requests."""
    eliot.log_message(message_type=message_type, **fields)
