"""The line protocol of the admin port: one command and one answer line per connection."""

from __future__ import annotations

from dataclasses import dataclass

# Ids are short, so a longer line is no command.
MAX_LINE_BYTES = 512
# By command, whether an argument follows.
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
    """Not a command, or one that was not carried out; the text says why."""


@dataclass(frozen=True, slots=True)
class AdminCommand:
    name: str
    argument: str = ""  # a backend's id or, for commands on members, an agent's name


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
    # Collapse white space: the answer must be one line.
    return (" ".join((name, *text.split())) + "\n").encode("ascii", "replace")
