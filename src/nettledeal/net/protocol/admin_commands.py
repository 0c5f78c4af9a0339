"""The dialect of the admin port: one line to an order, an answer to a line."""

from __future__ import annotations

from dataclasses import dataclass

# Ids are short; a line that goes on and on is no order.
MAX_LINE_BYTES = 512
# Whether an argument follows.
_TAKES_ARGUMENT = {
    "health": False,
    "cordon": True,
    "uncordon": True,
    "quiesce": False,
    "resume": False,
    "members": False,
    "forget": True,
}


class CommandRefused(ValueError):
    """No order, or one that is not carried out; the text says why."""


@dataclass(frozen=True, slots=True)
class AdminCommand:
    name: str
    argument: str = ""  # or, of members, an agent's name


def parse_command(line: bytes) -> AdminCommand:
    try:
        text = line.decode("ascii")
    except UnicodeDecodeError:
        raise CommandRefused("no text") from None
    if not text.rstrip("\r\n").isprintable():
        raise CommandRefused("no text")
    name, *arguments = text.split() or [""]
    if name not in _TAKES_ARGUMENT:
        raise CommandRefused("unknown call; known are " + ", ".join(_TAKES_ARGUMENT))
    if len(arguments) != _TAKES_ARGUMENT[name]:
        raise CommandRefused(f"{name} takes {'one id' if _TAKES_ARGUMENT[name] else 'no argument'}")
    return AdminCommand(name, *arguments)


def format_ok(text: str = "") -> bytes:
    return _format_line("+OK", text)


def format_error(reason: str) -> bytes:
    return _format_line("-ERR", reason)


def _format_line(name: str, text: str) -> bytes:
    # Whatever the text holds, the answer is one line.
    return (" ".join((name, *text.split())) + "\n").encode("ascii", "replace")
