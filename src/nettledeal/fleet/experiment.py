"""What an experiment asks for: read from TOML, every key checked before anything starts."""

from __future__ import annotations

import resource
from collections.abc import Sequence
from math import inf, isfinite
from pathlib import Path

import msgspec

from nettledeal.configuration_files import ConfigError, decode_config

SECOND = 10_000  # in tenths of a millisecond
BASELINES = ("random", "two-choices", "two-choices-true", "shortest-true")
# What each kind of fault goes to, and which of its own figures it must have.
KINDS = {
    "pause": ("agents", ()),
    "kill": ("agents", ()),
    "restart": ("agents", ()),
    "slow": ("backends", ("times",)),
    "hang": ("backends", ()),
    "errors": ("backends", ("chance",)),
    "lost": ("backends", ("chance",)),
    "late_reports": ("backends", ("by",)),
    "false_reports": ("backends", ("times",)),
    "crash": ("backends", ()),
    "replace": ("backends", ()),
    "touch": ("backends", ()),
    "list_late": ("agents", ("by",)),
    "list_deaf": ("agents", ()),
    "link": ("agents", ()),
    "talk": ("agents", ()),
}
# The least that an agent, and anything beside it, takes: megabytes, measured on loopback.
AGENT_MB, OTHER_MB = 26, 60


class _Exact(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    pass


class Agents(_Exact):
    count: int
    memory_mb: int = 192
    sockets: int = 512
    start_within: float = 0.0  # seconds over which they are started; 0 as fast as the machine can
    probes: bool = True
    probe_price: float = 0.002  # of the result, as the settings tell agents
    connection_price: float = 0.0
    together: bool = False  # they talk with each other: membership


class Backends(_Exact):
    count: int
    cores: int = 1
    speeds: tuple[float, ...] = (1.0,)  # of the kinds, dealt out in turn
    zones: tuple[float, ...] = (1.0, 1.0)  # how many of them stand where
    queue: int = 60  # work items held; more are turned away as full
    places: int = 4000  # connections; more are turned away
    report_every: float = 0.002  # seconds between two looks of a report at its backend
    report_lag: float = 0.0
    cold: float = 0.0  # of them start cold when traffic begins
    cold_from: float = 0.3
    warm_within: float = 8.0
    push: float = 3.0  # times what a cold one can do that topple it
    push_for: float = 3.0
    processes: int = 4


class Roster(_Exact):
    lag: float = 0.2  # seconds, at most, until an agent is told of a change


class Clients(_Exact):
    rate: float  # work items a second, of all
    zones: tuple[float, ...] = (1.0, 1.0)  # how agents, and with them traffic, are spread
    busy: float = 0.0  # of the agents that have more traffic
    busy_times: float = 10.0
    processes: int = 2


class Category(_Exact):
    name: str
    effect: str = "safe"
    share: float = 1.0
    work_ms: float = 80.0  # mean of an exponential one, on a core of speed 1
    due_ms: float = 1000.0
    expiry_ms: float = 2000.0
    payoff: float = 1.0


class Trouble(_Exact):
    kind: str
    at: float
    until: float | None = None
    share: float | None = None  # of the agents or backends, or
    count: int | None = None  # so many of them, or
    zone: int | None = None  # those that stand there; all without any of the three
    times: float | None = None
    chance: float | None = None
    by: float | None = None  # seconds
    # Of links and of talk only: which ends, which direction, and what happens there.
    to: float = 1.0  # share of the backends at the other end; of talk it is all other agents
    way: str = "both"  # "there" from these agents, "back", or both
    cut: bool = False
    silent: bool = False  # new connections come up, and then nothing passes
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss: float = 0.0  # of datagrams, as the rest of the line
    repeats: float = 0.0
    reordering: float = 0.0


class Experiment(_Exact):
    about: str
    seconds: float
    agents: Agents
    backends: Backends
    clients: Clients
    category: tuple[Category, ...]
    seed: int = 1
    settle: float = 3.0  # seconds of traffic before anything is counted
    list: Roster = Roster()
    fault: tuple[Trouble, ...] = ()
    policies: tuple[str, ...] = ("agents",)
    idle_after: float = 0.0  # seconds without work after which a backend counts as idle; 0 by its rate


class Asked(msgspec.Struct, frozen=True):
    """An experiment with what the command line adds: trees of other versions by name."""

    experiment: Experiment
    trees: dict[str, Path]


def read(
    file: Path,
    *,
    agents: int | None = None,
    seed: int | None = None,
    policies: str | None = None,
    beside: Sequence[str] = (),
) -> Asked:
    """Raises ConfigError with the key at fault on one line."""
    try:
        raw = file.read_bytes()
    except OSError as fault:
        raise ConfigError(f"cannot be read: {fault.strerror}") from None
    found = decode_config(raw, Experiment, "TOML")
    if agents is not None:
        found = msgspec.structs.replace(found, agents=msgspec.structs.replace(found.agents, count=agents))
    if seed is not None:
        found = msgspec.structs.replace(found, seed=seed)
    if policies is not None:
        found = msgspec.structs.replace(found, policies=tuple(part for part in policies.split(",") if part))
    trees = {}
    for pair in beside:
        name, equals, place = pair.partition("=")
        if not equals or not (Path(place) / "nettledeal" / "__main__.py").is_file():
            raise ConfigError(f"--beside: {pair!r} names no tree with nettledeal in it, as NAME=TREE")
        trees[name] = Path(place).resolve()
    check(found, tuple(trees))
    return Asked(found, trees)


def check(found: Experiment, trees: Sequence[str] = ()) -> None:
    """Raises ConfigError naming the first key whose value makes no sense, alone or beside the others."""
    _numbers(found)
    for n, policy in enumerate(found.policies):
        if policy != "agents" and policy not in BASELINES and policy not in trees:
            known = ", ".join(BASELINES)
            raise ConfigError(f"policies.{n}: {policy!r} is none of agents, {known} nor set beside")
    if not found.policies and not trees:
        raise ConfigError("policies: none is named")
    if not found.category:
        raise ConfigError("category: none is named")
    names = [category.name for category in found.category]
    for n, category in enumerate(found.category):
        if category.effect not in ("safe", "unsafe"):
            raise ConfigError(f"category.{n}.effect: {category.effect!r} is none of safe, unsafe")
        if names.index(category.name) != n:
            raise ConfigError(f"category.{n}.name: {category.name!r} is named twice")
        if category.due_ms > category.expiry_ms:
            raise ConfigError(f"category.{n}.due_ms: {category.due_ms:g} is after its expiry")
    if len(found.clients.zones) != len(found.backends.zones):
        there = len(found.backends.zones)
        raise ConfigError(f"clients.zones: {len(found.clients.zones)} of them, and backends stand in {there}")
    if found.settle >= found.seconds:
        raise ConfigError(f"settle: {found.settle:g} s leave nothing to count of {found.seconds:g}")
    before = 0.0
    for n, fault in enumerate(found.fault):
        _fault(found, n, fault)
        if fault.at < before:
            raise ConfigError(f"fault.{n}.at: {fault.at:g} is before the one ahead of it, at {before:g}")
        before = fault.at
    _fits(found)


def _numbers(found: msgspec.Struct, path: str = "") -> None:
    """Nothing counts backwards, and what must be there is more than nothing."""
    above = {
        "count",
        "cores",
        "seconds",
        "rate",
        "processes",
        "work_ms",
        "due_ms",
        "expiry_ms",
        "speeds",
        "memory_mb",
        "sockets",
        "queue",
        "places",
        "warm_within",
        "push",
        "push_for",
        "cold_from",
    }
    shares = {"cold", "cold_from", "busy", "share", "chance", "to", "loss", "repeats", "reordering"}
    for name in found.__struct_fields__:
        value, where = getattr(found, name), f"{path}{name}"
        for n, part in enumerate(value) if isinstance(value, tuple) else ((None, value),):
            at = where if n is None else f"{where}.{n}"
            if isinstance(part, msgspec.Struct):
                _numbers(part, f"{at}.")
            elif isinstance(part, int | float) and not isinstance(part, bool):
                most = 1 if name in shares and not (name == "share" and path.startswith("category")) else inf
                if not isfinite(part) or part < 0 or part > most or (name in above and part == 0):
                    raise ConfigError(
                        f"{at}: {part!r} is no number {'above' if name in above else 'from'} 0"
                        + (" to 1" if most == 1 else "")
                    )


def _fault(found: Experiment, n: int, fault: Trouble) -> None:
    if fault.kind not in KINDS:
        raise ConfigError(f"fault.{n}.kind: {fault.kind!r} is none of {', '.join(KINDS)}")
    target, needed = KINDS[fault.kind]
    for key in needed:
        if getattr(fault, key) is None:
            raise ConfigError(f"fault.{n}.{key}: missing, and {fault.kind} goes by it")
    if fault.until is not None and fault.until <= fault.at:
        raise ConfigError(f"fault.{n}.until: {fault.until:g} is not after {fault.at:g}")
    if fault.at > found.seconds:
        raise ConfigError(f"fault.{n}.at: {fault.at:g} is after the end, {found.seconds:g}")
    if sum(value is not None for value in (fault.share, fault.count, fault.zone)) > 1:
        raise ConfigError(f"fault.{n}: share, count and zone tell apart; one of them at most")
    there = getattr(found, target).count
    if fault.count is not None and fault.count > there:
        raise ConfigError(f"fault.{n}.count: {fault.count} of {there} {target}")
    if fault.zone is not None and fault.zone >= len(found.backends.zones):
        raise ConfigError(f"fault.{n}.zone: {fault.zone} of {len(found.backends.zones)} zones")
    if fault.kind == "talk" and not found.agents.together:
        raise ConfigError(f"fault.{n}.kind: agents that do not talk (agents.together) have no talk to break")
    if fault.kind in ("link", "talk") and fault.way not in ("there", "back", "both"):
        raise ConfigError(f"fault.{n}.way: {fault.way!r} is none of there, back, both")


def _fits(found: Experiment) -> None:
    """More processes than memory or descriptors allow are refused before the first one starts."""
    others = found.backends.processes + found.clients.processes + 3
    needed = found.agents.count * AGENT_MB + others * OTHER_MB
    have = _available()
    if needed > have:
        raise ConfigError(f"agents.count: {found.agents.count} take about {needed} MB, and {have} are free")
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    each = found.agents.count * -(-found.backends.count // found.backends.processes)
    if each + 100 > most:
        raise ConfigError(
            f"backends.processes: {each} connections may come to one, {most} descriptors are allowed"
        )
    tasks = resource.getrlimit(resource.RLIMIT_NPROC)[1]
    if tasks != resource.RLIM_INFINITY and found.agents.count + others > tasks:
        raise ConfigError(f"agents.count: {found.agents.count + others} processes, {tasks} are allowed")


def _available() -> int:
    """Megabytes of memory free for use."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return int(line.split()[1]) // 1024
    return 0
