"""Logging of the agent: JSON lines on standard error. A failure to log never stops the agent."""

import sys
from contextlib import suppress

import structlog


class TolerantStream:
    """Standard error with write errors ignored, as its reader may go away or fall behind."""

    def write(self, text: str) -> None:
        with suppress(OSError, ValueError):
            sys.stderr.write(text)

    def flush(self) -> None:
        with suppress(OSError, ValueError):
            sys.stderr.flush()


def configure_log(level: str) -> None:
    """Set up logging; `level` is the lowest that is written: debug, info, warning or error."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(file=TolerantStream()),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
    )
