"""A member by itself, without an agent: `python -m nettledeal.membership`, told by one line of JSON on
standard input. It writes each change of state as a line of JSON on standard output, and answers lines that
ask: `members`, `order SUBJECT out|in`, `forget NAME`, `late SECONDS` (its loop stands still for so long),
`lose SHARE` (of the datagrams that it sends), `leave`. For tests and measurements of many members; its end
is that of its standard input.
"""

from __future__ import annotations

import os
import sys
import time
from collections import Counter
from random import Random
from zlib import crc32

import gevent
import msgspec
import structlog
from gevent.fileobject import FileObject

from nettledeal.membership.host import Host, spoken
from nettledeal.membership.member import Member
from nettledeal.membership.steps import Changed, Ordered, Send, Timing, Usurped
from nettledeal.net.address import parse_address
from nettledeal.net.clock import SECOND, Clock


class Told(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    listen: str
    seeds: list[str]
    advertise: str = ""
    cluster: str = "fleet"
    timing: dict[str, int] = {}
    seed: int = 0
    place: int = 0
    ahead: float = 0.0  # seconds that its clock is before the others'


def say(**what: object) -> None:
    sys.stdout.write(msgspec.json.encode({"at": time.monotonic_ns() // 100_000} | what).decode() + "\n")
    sys.stdout.flush()


def heard(act: Changed | Ordered | Usurped) -> None:
    if isinstance(act, Changed):
        word = act.word
        say(
            said="changed",
            member=word.name,
            state=spoken(word.state),
            by=word.by,
            life=word.life,
            before=None if act.before is None else spoken(act.before),
        )
    elif isinstance(act, Ordered):
        say(said="ordered", subject=act.order.subject, out=act.order.out)
    else:
        say(said="usurped", at_place=act.word.host)


class Lossy(Host):
    """Loses so many of the datagrams that it sends: a switch between hundreds of members is too slow for
    them."""

    loss = 0.0
    chance = Random(1)

    def _send(self, act: Send) -> None:
        if self.chance.random() >= self.loss:
            super()._send(act)


def main() -> None:
    # Standard output is for what is asked.
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger("warning"),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
    )
    lines = FileObject(sys.stdin.buffer, "rb", close=False)
    told = msgspec.json.decode(lines.readline(), type=Told)
    clock, counts = Clock(), Counter()
    clock.offset += int(told.ahead * 1e9)
    listen = parse_address(told.listen)
    member = Member(
        told.name,
        parse_address(told.advertise or told.listen),
        told.cluster,
        map(parse_address, told.seeds),
        Timing(**told.timing),
        Random(told.seed),
        clock.now(),
        told.place,
    )
    host = Lossy(member, listen, clock.now, heard, lambda what: counts.update([what]), structlog.get_logger())
    host.start()
    for line in iter(lines.readline, b""):
        word, *rest = line.decode().split()
        match word:
            case "members":
                words = [
                    {"name": w.name, "state": spoken(w.state), "life": w.life, "incarnation": w.incarnation}
                    for w in sorted([*member.view.words.values(), member.me], key=lambda w: w.name)
                ]
                health = msgspec.to_builtins(member.health)
                say(
                    said="members",
                    members=words,
                    joined=member.joined,
                    health=health,
                    counts=counts,
                    orders={o.subject: o.out for o in member.view.orders.values()},
                    silent=member.silent,
                    sent=host.sent,
                    bytes=host.bytes,
                    cpu=time.process_time(),
                )
            case "digest":
                # Equal views have equal digests, for groups whose views are too long to compare.
                view = str(sorted((w.name, w.life, int(w.state)) for w in member.live()))
                say(
                    said="digest",
                    live=len(member.live()),
                    digest=crc32(view.encode()),
                    joined=member.joined,
                    sent=host.sent,
                    bytes=host.bytes,
                    cpu=time.process_time(),
                    health=member.health,
                )
            case "order":
                host.order(rest[0], rest[1] == "out")
                say(said="done")
            case "forget":
                say(said="done", known=host.forget(rest[0]))
            case "late":
                time.sleep(float(rest[0]))  # the whole loop, on purpose
                say(said="done")
            case "lose":
                host.loss = float(rest[0])
                say(said="done")
            case "jump":
                clock.offset += int(float(rest[0]) * SECOND) * 100_000
                say(said="done")
            case "leave":
                host.leave()
                gevent.sleep(0.05)
                break
    os._exit(0)


if __name__ == "__main__":
    main()
