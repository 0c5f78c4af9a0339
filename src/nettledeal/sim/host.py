"""The host loop: reads batches of events, calls the balancer of each agent, and writes its actions."""

from __future__ import annotations

import traceback
from typing import TextIO

from nettledeal.model import Listing, Step
from nettledeal.policy.balancer import Balancer
from nettledeal.sim import codec
from nettledeal.sim.codec import ProtocolError
from nettledeal.units import NS_PER_TENTH, round_down, round_up

MAX_WAIT_TENTHS = 70 * 60 * 10_000


class Agent:
    """One simulated agent: its balancer, the fields of load reports, and the next wake-up requested."""

    def __init__(self, seed: int, settings: dict, now: int):
        self.report_fields = [name for name in str(settings.get("feedback.fields", "")).split(",") if name]
        self.balancer = Balancer(seed, settings, now)
        self.wake_at: int | None = None
        self.token = 0


class Host:
    def __init__(self) -> None:
        self.agents: dict[int, Agent] = {}
        self.pools: dict[int, list[Listing]] = {}
        self.now = 0

    def handle(self, name: str, fields: dict) -> list[str]:
        """Handles one event and returns the lines to reply."""
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
            return balancer.submit(
                now,
                fields["txn"],
                fields["band"],
                round_down(fields["client_deadline"]),
                customer=fields.get("billing", 0),
                key=fields.get("partition_key"),
                is_retry=bool(bits & 2),
            )
        if name == "ended":
            outcome = codec.OUTCOMES.get(fields["outcome"])
            if outcome is None:
                raise ProtocolError(f"ended: unknown outcome {fields['outcome']!r}")
            return balancer.on_attempt_end(
                now,
                fields["txn"],
                fields["go"],
                outcome,
                round_up(fields.get("took", 0)),
                closed=bool(fields.get("ended", 0)),
                report=codec.report(fields.get("stats"), agent.report_fields),
            )
        if name == "withdrawn":
            return balancer.on_withdrawn(now, fields["txn"])
        if name == "announce":
            scope = fields["scope"]
            if scope == "lost":
                return balancer.on_discovery_failed(now)
            if scope not in ("incr", "total", "warm_copy"):
                return None
            listings = self.pools.get(fields.get("table", -1))
            if listings is None:
                raise ProtocolError("announce: its list was never given")
            return balancer.update_backends(now, listings, whole=scope != "incr", cached=scope == "warm_copy")
        if name == "pong":
            outcome = codec.OUTCOMES.get(fields["outcome"])
            if outcome is None:
                raise ProtocolError(f"pong: unknown outcome {fields['outcome']!r}")
            report = codec.report(fields.get("stats"), agent.report_fields)
            return balancer.on_probe(now, fields["backend"], outcome, round_up(fields.get("took", 0)), report)
        if name == "streaming":
            return balancer.on_streaming(now, fields["txn"], fields["go"])
        if name == "ring" and fields["token"] == agent.token:
            agent.wake_at = None
            return balancer.wake(now)
        return None

    def _lines(self, instance: int, agent: Agent, step: Step) -> list[str]:
        lines = [codec.encode(instance, act) for act in step.actions]
        if step.wake_at is not None and (agent.wake_at is None or step.wake_at < agent.wake_at):
            agent.wake_at = step.wake_at
            agent.token += 1
            wait = min(max(1, step.wake_at - self.now), MAX_WAIT_TENTHS)
            lines.append(f"remind i={instance} wait={wait * NS_PER_TENTH} token={agent.token}")
        return lines


def main(events: TextIO, replies: TextIO, log: TextIO) -> int:
    host = Host()
    line_number = 0
    in_batch = False
    listings: list[Listing] | None = None
    missing_entries = 0
    reply: list[str] = []
    try:
        for raw in events:
            line_number += 1  # noqa: SIM113 (used after the loop)
            line = raw.rstrip("\r\n")
            if not line:
                continue
            name, fields = codec.parse(line)
            if missing_entries:
                if name != "entry":
                    raise ProtocolError(f"{name}: {missing_entries} entries of the list are missing")
                listings.append(codec.listing(fields))
                missing_entries -= 1
            elif name == "tick":
                if in_batch:
                    raise ProtocolError("tick: the batch before has not ended")
                in_batch = True
                host.now = round_up(fields["sim_time"])
            elif not in_batch:
                raise ProtocolError(f"{name}: outside a batch")
            elif name == "eob":
                in_batch = False
                reply.append("ready")
                replies.write("\n".join(reply) + "\n")
                replies.flush()
                reply = []
            elif name == "pool":
                listings = host.pools[fields["table"]] = []
                missing_entries = fields["members"]
            elif fields and "i" in fields:
                try:
                    reply += host.handle(name, fields)
                except ProtocolError:
                    raise
                except Exception as error:
                    # Reported to the simulator, where it would otherwise look like an unanswered work item.
                    traceback.print_exc(file=log)
                    text = " ".join(f"{type(error).__name__}: {error}".split())
                    reply.append(f"bail_out i={fields['i']} message={text}")
        if in_batch:
            line_number += 1
            raise ProtocolError("the input ends inside a batch")
    except (ProtocolError, UnicodeDecodeError) as error:
        print(f"nettledeal: line {line_number}: {error}", file=log)
        return 2
    return 0
