"""Routes within routes: where a request falls at an agent that does not yet know the inner one.

Agents take a configuration one after the other. One that lacks a tenant's route would file its requests under
a route around it, so no route of a tenant stands within one of another owner, nor around one.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping


def place_of(hostname: str, path_prefix: str) -> str:
    """Names where a route is, for `fault_of_nesting`."""
    return f"{hostname.lower()} {path_prefix}"


def fault_of_nesting(owners: Mapping[str, str | None]) -> str | None:
    """Which places of different owners are within one another; None where none are. `owners` is by place."""
    for place, owner in owners.items():
        for outer in _around(place):
            if outer in owners and owners[outer] != owner:
                return f"path_prefix: {place!r} is within {outer!r}, which is not the same tenant's"
    return None


def _around(place: str) -> Iterator[str]:
    """The places around a place, from the inner to the outer."""
    host, _, prefix = place.partition(" ")
    end = prefix.rfind("/", 0, len(prefix) - 1)
    while end >= 0:
        yield f"{host} {prefix[: end + 1]}"
        end = prefix.rfind("/", 0, end)
