"""Experiment files: TOML that is decoded and validated completely before any process is started."""

from __future__ import annotations

import resource
from collections.abc import Sequence
from math import inf, isfinite
from pathlib import Path

import msgspec

from nettledeal.configuration_files import ConfigError, decode_config

TICKS_PER_SECOND = 10_000  # a tick of Time is a tenth of a millisecond
BASELINES = ("random", "two-choices", "two-choices-true", "shortest-true")
# For each kind of fault: the processes it applies to, and the keys it requires.
FAULT_KINDS = {
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
# Minimum memory of an agent and of any other process of the rig, measured on loopback.
AGENT_MEMORY_MB, OTHER_PROCESS_MEMORY_MB = 26, 60


class _StrictStruct(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    pass


class Agents(_StrictStruct):
    count: int
    memory_mb: int = 192
    sockets: int = 512
    start_within: float = 0.0  # seconds over which the starts are spread; 0 means as fast as possible
    probes: bool = True
    probe_price: float = 0.002  # fraction of a payoff, passed to agents in their settings
    connection_price: float = 0.0
    together: bool = False  # whether agents run the membership protocol


class Backends(_StrictStruct):
    count: int
    cores: int = 1
    speeds: tuple[float, ...] = (1.0,)  # one per machine type; types are assigned round-robin
    zones: tuple[float, ...] = (1.0, 1.0)  # relative number of backends in each zone
    queue: int = 60  # maximum of queued and running requests; further ones are rejected as full
    places: int = 4000  # maximum of connections; further ones are rejected
    report_every: float = 0.002  # seconds between updates of the load that reports show
    report_lag: float = 0.0
    cold: float = 0.0  # fraction of backends that start cold when traffic begins
    cold_from: float = 0.3
    warm_within: float = 8.0
    push: float = 3.0  # multiple of its current capacity at which a cold backend crashes
    push_for: float = 3.0
    processes: int = 4


class Roster(_StrictStruct):
    lag: float = 0.2  # maximum seconds until an agent is notified of a change


class Clients(_StrictStruct):
    rate: float  # requests per second, all clients together
    zones: tuple[float, ...] = (1.0, 1.0)  # relative number of agents, and so of traffic, in each zone
    busy: float = 0.0  # fraction of agents with a higher request rate
    busy_times: float = 10.0
    processes: int = 2


class Category(_StrictStruct):
    name: str
    effect: str = "safe"
    share: float = 1.0
    work_ms: float = 80.0  # mean of an exponential distribution, on a core of speed 1
    due_ms: float = 1000.0
    expiry_ms: float = 2000.0
    payoff: float = 1.0


class Trouble(_StrictStruct):
    kind: str
    at: float
    until: float | None = None
    share: float | None = None  # fraction of the agents or backends,
    count: int | None = None  # or their number,
    zone: int | None = None  # or all of one zone; without any of the three, all
    times: float | None = None
    chance: float | None = None
    by: float | None = None  # seconds
    # For `link` and `talk` only: the peers, the direction and the condition of the links.
    to: float = 1.0  # fraction of backends at the other end; for `talk` it is all other agents
    way: str = "both"  # "there" (sent by these agents), "back", or both
    cut: bool = False
    silent: bool = False  # connections are established, but no data passes
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss: float = 0.0  # this and the following: fraction of datagrams
    repeats: float = 0.0
    reordering: float = 0.0


class Experiment(_StrictStruct):
    about: str
    seconds: float
    agents: Agents
    backends: Backends
    clients: Clients
    category: tuple[Category, ...]
    seed: int = 1
    settle: float = 3.0  # seconds of traffic before measurement starts
    list: Roster = Roster()
    fault: tuple[Trouble, ...] = ()
    policies: tuple[str, ...] = ("agents",)
    # Seconds without requests after which a backend counts as idle; 0: derived from its request rate.
    idle_after: float = 0.0


class ExperimentPlan(msgspec.Struct, frozen=True):
    """An experiment, and the source trees of other versions to compare with, by name."""

    experiment: Experiment
    trees: dict[str, Path]


def load_experiment(
    file: Path,
    *,
    agents: int | None = None,
    seed: int | None = None,
    policies: str | None = None,
    beside: Sequence[str] = (),
) -> ExperimentPlan:
    """Reads an experiment file. Raises ConfigError with one line that starts with the invalid key."""
    try:
        raw = file.read_bytes()
    except OSError as error:
        raise ConfigError(f"can't be read: {error.strerror}") from None
    experiment = decode_config(raw, Experiment, "TOML")
    if agents is not None:
        experiment = msgspec.structs.replace(
            experiment, agents=msgspec.structs.replace(experiment.agents, count=agents)
        )
    if seed is not None:
        experiment = msgspec.structs.replace(experiment, seed=seed)
    if policies is not None:
        experiment = msgspec.structs.replace(
            experiment, policies=tuple(policy for policy in policies.split(",") if policy)
        )
    trees = {}
    for assignment in beside:
        name, equals, source_tree = assignment.partition("=")
        if not equals or not (Path(source_tree) / "nettledeal" / "__main__.py").is_file():
            raise ConfigError(
                f"--beside: {assignment!r} must be NAME=TREE, where TREE is a source tree of nettledeal"
            )
        trees[name] = Path(source_tree).resolve()
    validate(experiment, tuple(trees))
    return ExperimentPlan(experiment, trees)


def validate(experiment: Experiment, trees: Sequence[str] = ()) -> None:
    """Raises ConfigError for the first key whose value is invalid by itself or in combination with others."""
    _check_ranges(experiment)
    for index, policy in enumerate(experiment.policies):
        if policy != "agents" and policy not in BASELINES and policy not in trees:
            known = ", ".join(BASELINES)
            raise ConfigError(
                f"policies.{index}: {policy!r} must be agents, {known} or a name given with --beside"
            )
    if not experiment.policies and not trees:
        raise ConfigError("policies: must name at least one")
    if not experiment.category:
        raise ConfigError("category: at least one is required")
    names = [category.name for category in experiment.category]
    for index, category in enumerate(experiment.category):
        if category.effect not in ("safe", "unsafe"):
            raise ConfigError(f"category.{index}.effect: {category.effect!r} must be safe or unsafe")
        if names.index(category.name) != index:
            raise ConfigError(f"category.{index}.name: {category.name!r} is used twice")
        if category.due_ms > category.expiry_ms:
            raise ConfigError(f"category.{index}.due_ms: {category.due_ms:g} is later than expiry_ms")
    if len(experiment.clients.zones) != len(experiment.backends.zones):
        zone_count = len(experiment.backends.zones)
        raise ConfigError(
            f"clients.zones: {len(experiment.clients.zones)} zones, but backends have {zone_count}"
        )
    if experiment.settle >= experiment.seconds:
        raise ConfigError(
            f"settle: {experiment.settle:g} s must be less than seconds, {experiment.seconds:g}"
        )
    previous_at = 0.0
    for index, fault in enumerate(experiment.fault):
        _check_fault(experiment, index, fault)
        if fault.at < previous_at:
            raise ConfigError(
                f"fault.{index}.at: {fault.at:g} must not be before the previous fault, at {previous_at:g}"
            )
        previous_at = fault.at
    _check_resources(experiment)


def _check_ranges(section: msgspec.Struct, path: str = "") -> None:
    """Checks the range of every number: none is negative, some are positive and some are at most 1."""
    positive_fields = {
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
    fraction_fields = {"cold", "cold_from", "busy", "share", "chance", "to", "loss", "repeats", "reordering"}
    for name in section.__struct_fields__:
        value, field_path = getattr(section, name), f"{path}{name}"
        for index, item in enumerate(value) if isinstance(value, tuple) else ((None, value),):
            value_path = field_path if index is None else f"{field_path}.{index}"
            if isinstance(item, msgspec.Struct):
                _check_ranges(item, f"{value_path}.")
            elif isinstance(item, int | float) and not isinstance(item, bool):
                maximum = (
                    1
                    if name in fraction_fields and not (name == "share" and path.startswith("category"))
                    else inf
                )
                if (
                    not isfinite(item)
                    or item < 0
                    or item > maximum
                    or (name in positive_fields and item == 0)
                ):
                    raise ConfigError(
                        f"{value_path}: {item!r} isn't {'above' if name in positive_fields else 'at least'} 0"
                        + (" and at most 1" if maximum == 1 else "")
                    )


def _check_fault(experiment: Experiment, index: int, fault: Trouble) -> None:
    if fault.kind not in FAULT_KINDS:
        raise ConfigError(f"fault.{index}.kind: {fault.kind!r} must be one of {', '.join(FAULT_KINDS)}")
    target, required_keys = FAULT_KINDS[fault.kind]
    for key in required_keys:
        if getattr(fault, key) is None:
            raise ConfigError(f"fault.{index}.{key}: required for {fault.kind}")
    if fault.until is not None and fault.until <= fault.at:
        raise ConfigError(f"fault.{index}.until: {fault.until:g} must be later than at, {fault.at:g}")
    if fault.at > experiment.seconds:
        raise ConfigError(
            f"fault.{index}.at: {fault.at:g} is after the end of the experiment, {experiment.seconds:g}"
        )
    if sum(value is not None for value in (fault.share, fault.count, fault.zone)) > 1:
        raise ConfigError(f"fault.{index}: at most one of share, count and zone may be set")
    target_count = getattr(experiment, target).count
    if fault.count is not None and fault.count > target_count:
        raise ConfigError(f"fault.{index}.count: {fault.count}, but there are {target_count} {target}")
    if fault.zone is not None and fault.zone >= len(experiment.backends.zones):
        raise ConfigError(
            f"fault.{index}.zone: {fault.zone}, but there are {len(experiment.backends.zones)} zones"
        )
    if fault.kind == "talk" and not experiment.agents.together:
        raise ConfigError(f"fault.{index}.kind: talk requires agents.together")
    if fault.kind in ("link", "talk") and fault.way not in ("there", "back", "both"):
        raise ConfigError(f"fault.{index}.way: {fault.way!r} must be there, back or both")


def _check_resources(experiment: Experiment) -> None:
    """Rejects an experiment that needs more memory, descriptors or processes than the machine allows."""
    other_processes = experiment.backends.processes + experiment.clients.processes + 3
    required_mb = experiment.agents.count * AGENT_MEMORY_MB + other_processes * OTHER_PROCESS_MEMORY_MB
    available_mb = _available_memory_mb()
    if required_mb > available_mb:
        raise ConfigError(
            f"agents.count: {experiment.agents.count} need about {required_mb} MB, {available_mb} available"
        )
    max_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    connections_each = experiment.agents.count * -(
        -experiment.backends.count // experiment.backends.processes
    )
    if connections_each + 100 > max_descriptors:
        raise ConfigError(
            f"backends.processes: up to {connections_each} connections each, {max_descriptors} allowed"
        )
    max_processes = resource.getrlimit(resource.RLIMIT_NPROC)[1]
    if max_processes != resource.RLIM_INFINITY and experiment.agents.count + other_processes > max_processes:
        raise ConfigError(
            f"agents.count: {experiment.agents.count + other_processes} processes, {max_processes} allowed"
        )


def _available_memory_mb() -> int:
    """Available memory in megabytes."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return int(line.split()[1]) // 1024
    return 0
