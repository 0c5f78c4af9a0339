"""One of the rig's own processes, by the name of what it is; started by `rig`, never by hand."""

import sys
from importlib import import_module

ROLES = ("backends", "roster", "clients", "switch")

if len(sys.argv) != 2 or sys.argv[1] not in ROLES:
    sys.exit(f"nettledeal.fleet: one of {', '.join(ROLES)}")
import_module(f"nettledeal.fleet.{sys.argv[1]}").main()
