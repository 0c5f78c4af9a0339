"""The dialect of the admin port: one line to an order, an answer to a line."""

from __future__ import annotations

from dataclasses import dataclass

# Ids are short; a line that goes on and on is no order.
MOST_LINE = 512
# Whether an argument follows.
_WORDS = {
    "health": False,
    "cordon": True,
    "uncordon": True,
    "quiesce": False,
    "resume": False,
    "members": False,
    "forget": True,
}


class Refused(ValueError):
    """No order, or one that is not carried out; the text says why."""


@dataclass(frozen=True, slots=True)
class Order:
    word: str
    backend: str = ""  # or, of members, an agent's name


def order(line: bytes) -> Order:
    try:
        text = line.decode("ascii")
    except UnicodeDecodeError:
        raise Refused("no text") from None
    if not text.rstrip("\r\n").isprintable():
        raise Refused("no text")
    word, *rest = text.split() or [""]
    if word not in _WORDS:
        raise Refused("unknown call; known are " + ", ".join(_WORDS))
    if len(rest) != _WORDS[word]:
        raise Refused(f"{word} takes {'one id' if _WORDS[word] else 'no argument'}")
    return Order(word, *rest)


def done(text: str = "") -> bytes:
    return _line("+OK", text)


def refused(why: str) -> bytes:
    return _line("-ERR", why)


def _line(word: str, text: str) -> bytes:
    # Whatever the text holds, the answer is one line.
    return (" ".join((word, *text.split())) + "\n").encode("ascii", "replace")
