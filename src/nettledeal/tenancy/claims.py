"""What a configuration says of tenants, as an order carries it to the control state."""

from __future__ import annotations

import msgspec


class TenancyClaims(msgspec.Struct, frozen=True):
    """What a configuration says: its tenants, the owners of bound things, and the things without an owner."""

    tenants: list[str]
    owners: dict[str, str]
    unowned: list[str]
