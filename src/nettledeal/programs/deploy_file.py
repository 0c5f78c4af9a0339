"""The deploy file: how the system is built, and which program runs on which class of machines."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator
from enum import StrEnum
from itertools import combinations
from pathlib import Path

import msgspec

from nettledeal.common.errors import ErrorCode, ServingError

MAX_ROLES_OF_A_CLASS = 2
PACKAGE_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")
# No shell and no other helper stands between the platform and a program.
HELPERS = frozenset({"sh", "bash", "env", "npx", "sudo", "exec"})


class MachineClass(StrEnum):
    """Classes of machines."""

    EDGE = "edge"
    CORE = "core"


class Service(StrEnum):
    """Who may call a role from outside."""

    EDGE = "edge"
    CONTROL_PLANE = "control_plane"
    REGISTRY = "registry"


class DeployedRole(msgspec.Struct, frozen=True):
    """One program: its command, and the machines that run it, by share of a zone's or by count."""

    run: str
    on: MachineClass
    share: float | None = None
    count: int | None = None
    apart: bool = False
    serves: list[Service] = []


class Deployment(msgspec.Struct, frozen=True):
    """A whole deploy file. `packages` are the system packages that the build needs."""

    build: str
    roles: dict[str, DeployedRole]
    packages: list[str] = []


def read_deploy_file(path: Path) -> Deployment:
    """Read and check a deploy file; raises ServingError with INVALID_SETTINGS and the key."""
    try:
        with path.open("rb") as file:
            deployment = msgspec.convert(tomllib.load(file), Deployment)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise _invalid(path, str(error)) from None
    fault = next(_faults(deployment), None)
    if fault is not None:
        raise _invalid(path, fault)
    return deployment


def _faults(deployment: Deployment) -> Iterator[str]:
    if not deployment.build.strip():
        yield "build: empty"
    for index, package in enumerate(deployment.packages):
        if not PACKAGE_NAME.fullmatch(package):
            yield f"packages[{index}]: {package!r} is no name of a package"
    for name, role in deployment.roles.items():
        yield from (f"roles.{name}.{fault}" for fault in _faults_of_role(role))
    yield from _faults_of_classes(deployment.roles)
    if not any(Service.REGISTRY in role.serves for role in deployment.roles.values()):
        yield "roles: none serves registry"


def _faults_of_role(role: DeployedRole) -> Iterator[str]:
    words = role.run.split()
    if not words:
        yield "run: empty"
    elif Path(words[0]).name in HELPERS:
        yield f"run: {words[0]} can't be used, programs are started without a shell"
    if (role.share is None) == (role.count is None):
        yield "share: either it or count has to be given"
    if role.share is not None and not 0 < role.share <= 1:
        yield "share: must be above 0, up to 1"
    if role.count is not None and role.count < 1:
        yield "count: must be 1 or more"
    if Service.EDGE in role.serves and role.share != 1:
        yield "share: the role that carries the traffic runs on every machine of its class"


def _faults_of_classes(roles: dict[str, DeployedRole]) -> Iterator[str]:
    for machine_class in MachineClass:
        names = [name for name, role in roles.items() if role.on is machine_class]
        if len(names) > MAX_ROLES_OF_A_CLASS:
            yield f"roles.{names[-1]}.on: more than {MAX_ROLES_OF_A_CLASS} roles on {machine_class}"
        for first, second in combinations(names, 2):
            for service in set(roles[first].serves) & set(roles[second].serves):
                yield f"roles.{second}.serves: {service} is served by {first} as well"


def _invalid(path: Path, reason: str) -> ServingError:
    return ServingError(ErrorCode.INVALID_SETTINGS, "read deploy file", f"{path}: {reason}")
