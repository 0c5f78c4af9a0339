"""What is known of members and of orders, merged from news in any order and any number of times.

Each piece of news has a rank that only rises, so merging is the greater of two: associative, commutative and
idempotent. Whoever has heard the same news has the same view, whatever way and however often it came.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import IntEnum

import msgspec

from nettledeal.net.address import Address
from nettledeal.units import Time

# Refutations of one life; more cannot come about in years, and a forged one could not be exceeded.
MOST_INCARNATION = 1 << 24
# Names and addresses are short; what is longer is no news.
MOST_NAME = 64
# Members and orders that one view holds; forged news must not fill the memory.
MOST_MEMBERS = 4096
MOST_ORDERS = 4096


class State(IntEnum):
    """Of one incarnation, in the order in which they overrule each other."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # by its own word, or forgotten by an operator's


class Metadata(msgspec.Struct, array_like=True, frozen=True):
    """What a member says of itself beyond its address: it changes only with a higher incarnation.

    `frontend_port` is 0 for a member that serves no clients; its host is the member's own."""

    role: str
    zone: str
    frontend_port: int = 0
    ready: bool = False
    leaving: bool = False


class Word(msgspec.Struct, array_like=True, frozen=True):
    """News of one member. `life` is when its process started (Unix time, tenths of a millisecond), so a
    restart under the same name overrules all that was said of the one before; `incarnation` is raised by
    itself alone, to refute. `by` says who accuses."""

    name: str
    host: str
    port: int
    life: Time
    incarnation: int
    state: int
    by: str = ""
    place: int = 0  # its zone, by number
    metadata: Metadata | None = None

    @property
    def rank(self) -> tuple:
        # The address last: two of one life and name are a fault, and all must take the same one for it.
        return self.life, self.incarnation, self.state, self.host, self.port

    @property
    def address(self) -> Address:
        return self.host, self.port

    @property
    def live(self) -> bool:
        return self.state <= State.SUSPECT


class Order(msgspec.Struct, array_like=True, frozen=True):
    """An operator's order that binds all, of one subject; the newest one holds."""

    subject: str
    at: Time
    by: str
    out: bool

    @property
    def rank(self) -> tuple:
        return self.at, self.by, self.out


def sound(word: Word, until: Time) -> bool:
    """Whether it can be news: of a state and name there can be, and not from a time to come (`until`), which
    nothing that is true could ever overrule."""
    return (
        0 < len(word.name) <= MOST_NAME
        and 0 < len(word.host) <= MOST_NAME
        and len(word.by) <= MOST_NAME
        and 0 < word.port < 65536
        and 0 <= word.life <= until
        and 0 <= word.incarnation < MOST_INCARNATION
        and State.ALIVE <= word.state <= State.LEFT
    )


def sound_order(order: Order, until: Time) -> bool:
    return 0 < len(order.subject) <= 2 * MOST_NAME and len(order.by) <= MOST_NAME and 0 <= order.at <= until


class View(msgspec.Struct):
    """The latest word of each member and order; `since` when it came here."""

    words: dict[str, Word] = {}
    since: dict[str, Time] = {}
    orders: dict[str, Order] = {}

    def merge(self, word: Word, now: Time) -> Word | None:
        """Takes it where it is newer; the word that held before, or the same one where it is the first.
        None where nothing changes."""
        old = self.words.get(word.name)
        if old is not None and word.rank <= old.rank:
            return None
        if old is None and len(self.words) >= MOST_MEMBERS:
            return None
        self.words[word.name] = word
        # A suspicion keeps the time of the state it interrupts: what counts of a live one is how long it
        # lives.
        if old is None or old.state != word.state or old.life != word.life:
            self.since[word.name] = now
        return old or word

    def ordered(self, order: Order) -> bool:
        """Takes it where it is newer; whether it was."""
        old = self.orders.get(order.subject)
        if old is None and len(self.orders) >= MOST_ORDERS or old is not None and order.rank <= old.rank:
            return False
        self.orders[order.subject] = order
        return True

    def drop_orders(self, before: Time) -> None:
        """Orders that ask for nothing any more, since so long that none older can still be on its way."""
        for subject in [o.subject for o in self.orders.values() if not o.out and o.at < before]:
            del self.orders[subject]

    def live(self) -> Iterator[Word]:
        return (word for word in self.words.values() if word.live)

    def drop(self, names: Iterable[str]) -> None:
        for name in names:
            del self.words[name], self.since[name]
