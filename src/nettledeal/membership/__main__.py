"""A member as a process of its own, without an agent: `python -m nettledeal.membership`. For tests and
measurements of many members.

The first line of standard input is a JSON object with the start options. Each change of state is written to
standard output as a line of JSON. The following lines of input are commands, each answered by a line of JSON:
`members`, `digest`, `order SUBJECT out|in`, `forget NAME`, `late SECONDS` (block the event loop for that
long), `lose SHARE` (drop that share of the datagrams sent), `jump SECONDS` (move the clock); `leave` ends the
process without an answer, as does the end of the input.
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

from nettledeal.membership.actions import MemberChanged, NameConflict, OrderReceived, SendDatagram, Timing
from nettledeal.membership.host import Host, state_name
from nettledeal.membership.member import Member
from nettledeal.net.address import parse_address
from nettledeal.net.clock import SECOND, Clock


class StartOptions(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    listen: str
    seeds: list[str]
    advertise: str = ""
    cluster: str = "fleet"
    timing: dict[str, int] = {}
    seed: int = 0
    place: int = 0  # number of the member's zone
    ahead: float = 0.0  # seconds by which its clock is ahead of the others'


def write_line(**fields: object) -> None:
    sys.stdout.write(msgspec.json.encode({"at": time.monotonic_ns() // 100_000} | fields).decode() + "\n")
    sys.stdout.flush()


def report(action: MemberChanged | OrderReceived | NameConflict) -> None:
    if isinstance(action, MemberChanged):
        record = action.record
        write_line(
            said="changed",
            member=record.name,
            state=state_name(record.state),
            by=record.accuser,
            life=record.started_at,
            before=None if action.previous_state is None else state_name(action.previous_state),
        )
    elif isinstance(action, OrderReceived):
        write_line(said="ordered", subject=action.order.subject, out=action.order.cordoned)
    else:
        write_line(said="usurped", at_place=action.record.host)


class LossyHost(Host):
    """Drops a share of the datagrams that it sends. Between hundreds of members, a relay process that drops
    them would be too slow."""

    loss = 0.0
    rng = Random(1)

    def _send_datagram(self, action: SendDatagram) -> None:
        if self.rng.random() >= self.loss:
            super()._send_datagram(action)


def main() -> None:
    # Log lines go to standard error; standard output is for reports and answers.
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger("warning"),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
    )
    lines = FileObject(sys.stdin.buffer, "rb", close=False)
    options = msgspec.json.decode(lines.readline(), type=StartOptions)
    clock, counts = Clock(), Counter()
    clock.unix_offset_ns += int(options.ahead * 1e9)
    listen = parse_address(options.listen)
    member = Member(
        options.name,
        parse_address(options.advertise or options.listen),
        options.cluster,
        map(parse_address, options.seeds),
        Timing(**options.timing),
        Random(options.seed),
        clock.now(),
        options.place,
    )
    host = LossyHost(
        member, listen, clock.now, report, lambda name: counts.update([name]), structlog.get_logger()
    )
    host.start()
    for line in iter(lines.readline, b""):
        command, *arguments = line.decode().split()
        match command:
            case "members":
                records = [
                    {
                        "name": r.name,
                        "state": state_name(r.state),
                        "life": r.started_at,
                        "incarnation": r.incarnation,
                    }
                    for r in sorted([*member.view.records.values(), member.own_record], key=lambda r: r.name)
                ]
                health = msgspec.to_builtins(member.health)
                write_line(
                    said="members",
                    members=records,
                    joined=member.joined,
                    health=health,
                    counts=counts,
                    orders={o.subject: o.cordoned for o in member.view.orders.values()},
                    silent=member.silent,
                    sent=host.messages_sent,
                    bytes=host.bytes_sent,
                    cpu=time.process_time(),
                )
            case "digest":
                # Equal views have equal digests; for groups whose views are too long to compare in full.
                view = str(sorted((r.name, r.started_at, int(r.state)) for r in member.live_members()))
                write_line(
                    said="digest",
                    live=len(member.live_members()),
                    digest=crc32(view.encode()),
                    joined=member.joined,
                    sent=host.messages_sent,
                    bytes=host.bytes_sent,
                    cpu=time.process_time(),
                    health=member.health,
                )
            case "order":
                host.issue_order(arguments[0], arguments[1] == "out")
                write_line(said="done")
            case "forget":
                write_line(said="done", known=host.forget(arguments[0]))
            case "late":
                time.sleep(float(arguments[0]))  # blocks the whole event loop on purpose
                write_line(said="done")
            case "lose":
                host.loss = float(arguments[0])
                write_line(said="done")
            case "jump":
                clock.unix_offset_ns += int(float(arguments[0]) * SECOND) * 100_000
                write_line(said="done")
            case "leave":
                host.leave()
                gevent.sleep(0.05)
                break
    os._exit(0)


if __name__ == "__main__":
    main()
