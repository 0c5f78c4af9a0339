"""The host loop: reads batches, calls each instance's balancer, writes its acts."""

from __future__ import annotations

import traceback
from typing import TextIO

from nettledeal.model import Listing, Step
from nettledeal.policy.balancer import Balancer
from nettledeal.sim import codec
from nettledeal.sim.codec import Garbled
from nettledeal.units import TENTH, down, up

LONGEST_WAIT = 70 * 60 * 10_000


class Agent:
    """One instance: its balancer, the names of its report's fields and the wake asked for last."""

    def __init__(self, seed: int, settings: dict, now: int):
        self.fields = [name for name in str(settings.get("feedback.fields", "")).split(",") if name]
        self.balancer = Balancer(seed, settings, now)
        self.wake: int | None = None
        self.token = 0


class Host:
    def __init__(self) -> None:
        self.agents: dict[int, Agent] = {}
        self.pools: dict[int, list[Listing]] = {}
        self.now = 0

    def handle(self, name: str, fields: dict) -> list[str]:
        """The lines that one event leads to."""
        instance = fields["i"]
        if name == "up":
            agent = self.agents[instance] = Agent(fields["prng"], codec.settings(fields["facts"]), self.now)
            return self._lines(instance, agent, agent.balancer.start(self.now))
        agent = self.agents.get(instance)
        if agent is None:
            return []
        if name == "destroy":
            del self.agents[instance]
            return []
        step = self._call(agent, name, fields)
        return [] if step is None else self._lines(instance, agent, step)

    def _call(self, agent: Agent, name: str, fields: dict) -> Step | None:
        balancer, now = agent.balancer, self.now
        if name == "submit":
            bits = fields.get("bits", 0)
            return balancer.take(
                now,
                fields["txn"],
                fields["band"],
                down(fields["client_deadline"]),
                customer=fields.get("billing", 0),
                key=fields.get("partition_key"),
                again=bool(bits & 2),
            )
        if name == "ended":
            outcome = codec.OUTCOMES.get(fields["outcome"])
            if outcome is None:
                raise Garbled(f"ended: unknown outcome {fields['outcome']!r}")
            return balancer.returned(
                now,
                fields["txn"],
                fields["go"],
                outcome,
                up(fields.get("took", 0)),
                closed=bool(fields.get("ended", 0)),
                report=codec.report(fields.get("stats"), agent.fields),
            )
        if name == "withdrawn":
            return balancer.withdrawn(now, fields["txn"])
        if name == "announce":
            scope = fields["scope"]
            if scope == "lost":
                return balancer.discovery_failed(now)
            if scope not in ("incr", "total", "warm_copy"):
                return None
            listings = self.pools.get(fields.get("table", -1))
            if listings is None:
                raise Garbled("announce: its list was never given")
            return balancer.update_backends(now, listings, whole=scope != "incr", cached=scope == "warm_copy")
        if name == "pong":
            outcome = codec.OUTCOMES.get(fields["outcome"])
            if outcome is None:
                raise Garbled(f"pong: unknown outcome {fields['outcome']!r}")
            report = codec.report(fields.get("stats"), agent.fields)
            return balancer.probed(now, fields["backend"], outcome, up(fields.get("took", 0)), report)
        if name == "streaming":
            return balancer.streaming(now, fields["txn"], fields["go"])
        if name == "ring" and fields["token"] == agent.token:
            agent.wake = None
            return balancer.wake(now)
        return None

    def _lines(self, instance: int, agent: Agent, step: Step) -> list[str]:
        lines = [codec.encode(instance, act) for act in step.acts]
        if step.wake is not None and (agent.wake is None or step.wake < agent.wake):
            agent.wake = step.wake
            agent.token += 1
            wait = min(max(1, step.wake - self.now), LONGEST_WAIT)
            lines.append(f"remind i={instance} wait={wait * TENTH} token={agent.token}")
        return lines


def main(source: TextIO, sink: TextIO, log: TextIO) -> int:
    host = Host()
    number = 0
    inside = False
    pool: list[Listing] | None = None
    missing = 0
    reply: list[str] = []
    try:
        for raw in source:
            number += 1  # noqa: SIM113 (the faults below name it after the loop)
            line = raw.rstrip("\r\n")
            if not line:
                continue
            name, fields = codec.parse(line)
            if missing:
                if name != "entry":
                    raise Garbled(f"{name}: {missing} entries of the list are missing")
                pool.append(codec.listing(fields))
                missing -= 1
            elif name == "tick":
                if inside:
                    raise Garbled("tick: the batch before has not ended")
                inside = True
                host.now = up(fields["sim_time"])
            elif not inside:
                raise Garbled(f"{name}: outside a batch")
            elif name == "eob":
                inside = False
                reply.append("ready")
                sink.write("\n".join(reply) + "\n")
                sink.flush()
                reply = []
            elif name == "pool":
                pool = host.pools[fields["table"]] = []
                missing = fields["members"]
            elif fields and "i" in fields:
                try:
                    reply += host.handle(name, fields)
                except Garbled:
                    raise
                except Exception as fault:
                    # A swallowed fault would look like a held work item; the bench is told instead.
                    traceback.print_exc(file=log)
                    text = " ".join(f"{type(fault).__name__}: {fault}".split())
                    reply.append(f"bail_out i={fields['i']} message={text}")
        if inside:
            number += 1
            raise Garbled("the input ends inside a batch")
    except (Garbled, UnicodeDecodeError) as fault:
        print(f"nettledeal: line {number}: {fault}", file=log)
        return 2
    return 0
