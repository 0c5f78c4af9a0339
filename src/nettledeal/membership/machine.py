"""What the parts of a member's state machine share: its state, its timers and what it sends."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import heappush
from random import Random

from nettledeal.membership.health import Health
from nettledeal.membership.packets import MOST_DATAGRAM, PING, VERSION, Codec, MsgpackCodec, Packet
from nettledeal.membership.pending import Probe, Suspicion
from nettledeal.membership.rumours import Rumours
from nettledeal.membership.steps import SECOND, Act, Send, Step, Timing
from nettledeal.membership.view import Metadata, Order, State, View, Word
from nettledeal.net.address import Address
from nettledeal.units import Time

# With so many others in its zone a member talks mostly to them: so large a part of its probes and news.
NEAR_ENOUGH, NEAR_SHARE = 2, 0.75
# After so long whoever has joined nobody calls a seed again for the first time.
CALL_AGAIN = SECOND // 2


class Machine:
    """State of one member. The parts of the protocol build on it; `Member` is the whole."""

    def __init__(
        self,
        name: str,
        address: Address,
        cluster: str,
        seeds: Iterable[Address],
        timing: Timing,
        chance: Random,
        now: Time,
        place: int = 0,
        codec: Codec | None = None,
        metadata: Metadata | None = None,
    ):
        self.codec = codec or MsgpackCodec()
        self.name, self.address, self.cluster = name, address, cluster
        self.timing, self.chance = timing, chance
        self.seeds = [seed for seed in seeds if seed != address]
        self.view, self.rumours, self.health = View(), Rumours(timing.told), Health()
        self.me = Word(name, *address, now, 0, State.ALIVE, "", place, metadata)
        self.now = now
        self.shift: Time = 0  # its time before its host's clock, which may be set back
        self.silent = False  # it has left, or its name has another bearer
        self.claim: tuple[Word, Time] | None = None  # a younger one that is said to bear its name, until when
        self.ring: list[str] = []  # live others, in the order in which they are probed
        self.near: list[str] = []  # those of them that are in this one's zone
        self.turn = self.near_turn = 0
        self.probe: Probe | None = None
        self.relays: dict[int, tuple[Address, int]] = {}  # by own number: who asked, and its number
        self.suspicions: dict[str, Suspicion] = {}
        self.heard_at: Time = -1  # when anything came that shows that this one can hear
        # When a member held dead last turned out to live.
        self.returned_at: Time = now - timing.swap
        self.number = 0
        self.timers: list[tuple[Time, int, str, object]] = []
        self.count = 0
        self.spreading = False
        self.joined = not self.seeds
        self.again = CALL_AGAIN
        # Soon at first: of many that join at once some miss some, and would for as long as views are rare.
        # A comparison comes once most news of a common start is told: views that differ go whole.
        self.swap_in = min(timing.swap, (10 if timing.compare else 4) * timing.period)
        self.acts: list[Act] = []

    @property
    def hears(self) -> bool:
        """Whether anything came of late that shows that this one can hear at all."""
        return self.now - self.heard_at <= self._patience(3 * self.timing.period)

    def _at(self, when: Time, what: str, which: object = None) -> None:
        self.count += 1
        heappush(self.timers, (when, self.count, what, which))

    def _some(self, span: Time) -> Time:
        """About so long, so that members that start together do not act together."""
        return max(1, round(span * (0.5 + self.chance.random())))

    def _patience(self, span: Time) -> Time:
        return span * (1 + self.health.ill)

    def _some_of(self, names: list[str], count: int) -> list[Word]:
        return [self.view.words[name] for name in self.chance.sample(names, min(count, len(names)))]

    def _is_near(self, word: Word) -> bool:
        """Whether it is said to be in the same zone; without metadata nothing is said of that."""
        mine, its = self.me.metadata, word.metadata
        return mine is not None and its is not None and mine.zone == its.zone

    def _gossip_targets(self, count: int) -> list[Word]:
        """Mostly of the own zone, since bytes between zones cost, and always some of all."""
        if len(self.near) < NEAR_ENOUGH:
            return self._some_of(self.ring, count)
        near = sum(self.chance.random() < NEAR_SHARE for _ in range(count))
        found = {word.name: word for word in self._some_of(self.near, near)}
        found.update((word.name, word) for word in self._some_of(self.ring, count - near))
        return list(found.values())

    def _packet(
        self,
        kind: str,
        number: int,
        target: Word | None = None,
        words: Iterable[Word] = (),
        orders: Iterable[Order] = (),
    ) -> Packet:
        return Packet(VERSION, self.cluster, kind, number, self.me, target, list(words), list(orders))

    def _held_against(self, name: str) -> Word | None:
        word = self.view.words.get(name)
        return word if word is not None and word.state != State.ALIVE else None

    def _send(
        self,
        kind: str,
        address: Address,
        number: int = 0,
        target: Word | None = None,
        about: Word | None = None,
    ) -> None:
        """With as much news as a datagram holds, and first of all what is said against the one it goes to."""
        packet = self._packet(kind, number, target)
        if kind == PING and target is not None:
            about = self._held_against(target.name)
        if about is not None:
            packet.words.append(about)
        if len(self.rumours):
            room = MOST_DATAGRAM - len(self.codec.encode(packet)) - 8
            for kind_of, news in self.rumours.take(room, len(self.ring) + 1):
                (packet.words if kind_of == "word" else packet.orders).append(news)
        self.acts.append(Send(address, packet))

    def _step(self) -> Step:
        acts, self.acts = self.acts, []
        if self.silent:
            self.timers.clear()
        return Step(acts, (self.timers[0][0] if self.timers else self.now + SECOND) - self.shift)
