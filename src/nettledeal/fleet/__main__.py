"""Entry point of the rig's child processes, selected by role. Started by `rig`, not by hand."""

import sys
from importlib import import_module

ROLES = ("backends", "roster", "clients", "switch")

if len(sys.argv) != 2 or sys.argv[1] not in ROLES:
    sys.exit(f"nettledeal.fleet: role must be one of {', '.join(ROLES)}")
import_module(f"nettledeal.fleet.{sys.argv[1]}").main()
