"""Deterministic subsetting: which backends each agent uses, so that every backend gets a similar number of
agents.

Each agent starts with the first backends of its own order, which is drawn by a hash (as in rendezvous
hashing). That moves few assignments when an agent or a backend comes or goes, but leaves some backends with
many agents and some with none by chance. The imbalance is then repaired: from a backend with the most agents
to one with the fewest, moving the agent that ranks the new backend highest. All agents that know the same
names compute the same assignment, whatever order they heard the names in.
"""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

# Backends may deviate from the even share by this factor before assignments are moved.
MAX_IMBALANCE = 1.25


def assign_subsets(agents: Sequence[str], backends: Sequence[str], width: int) -> dict[str, list[str]]:
    """`width` backends for each agent, in the agent's own order except for those that were moved."""
    agents, backends = sorted(set(agents)), sorted(set(backends))
    width = min(width, len(backends))
    if not agents or not width:
        return {agent: [] for agent in agents}
    order = {agent: sorted(backends, key=lambda b, agent=agent: _hash(agent, b)) for agent in agents}
    subsets = {agent: order[agent][:width] for agent in agents}
    users: dict[str, list[str]] = {backend: [] for backend in backends}
    for agent in agents:
        for backend in subsets[agent]:
            users[backend].append(agent)
    even = len(agents) * width / len(backends)
    max_users, min_users = max(1, int(MAX_IMBALANCE * even + 0.999)), int(even / MAX_IMBALANCE)
    if even >= 1.0:
        min_users = max(1, min_users)
    # Each move reduces the sum of squared user counts, so the loop terminates.
    while True:
        fullest = max(backends, key=lambda b: (len(users[b]), b))
        emptiest = min(backends, key=lambda b: (len(users[b]), b))
        if (
            len(users[fullest]) - len(users[emptiest]) < 2
            or len(users[fullest]) <= max_users
            and len(users[emptiest]) >= min_users
        ):
            break
        movable = [agent for agent in users[fullest] if emptiest not in subsets[agent]]
        if not movable:
            break
        agent = min(movable, key=lambda agent: (order[agent].index(emptiest), agent))
        users[fullest].remove(agent)
        users[emptiest].append(agent)
        subsets[agent][subsets[agent].index(fullest)] = emptiest
    return subsets


def _hash(agent: str, backend: str) -> int:
    """The same on every agent. A CRC is linear, so names that differ in one digit would get similar orders;
    the multiplication spreads them."""
    return crc32(f"{agent} {backend}".encode()) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
