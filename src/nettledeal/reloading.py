"""A reload: which parts of a configuration take effect while the agent serves, and which at a restart."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

import structlog

from nettledeal.configuration import Configuration
from nettledeal.log_setup import configure_log
from nettledeal.net.address import format_address
from nettledeal.net.routing.router import Router
from nettledeal.net.transport.discovery_watch import DiscoveryWatch

log = structlog.get_logger()

# What was built by it at the start, or is bound to the module's memory; seed and known list are for a start.
FIXED = ("name", "listen", "admin", "memory_mb", "sockets", "longest", "membership")
# Settings that were built in at the start, too.
BUILT = (
    "zone",
    "zones",
    "kinds",
    "discovery",
    "feedback",
    "resolution",
    "allowed.conn_idle",
    "allowed.connect_timeout",
)


def put_in_force(
    old: Configuration,
    new: Configuration,
    router: Router,
    discovery_watch: DiscoveryWatch,
    overlay: Mapping[str, Any],
) -> Configuration:
    """What is in force from here on, in one step. `new` has been checked against `old`; `overlay` are the
    settings that stand for those of the file."""
    later = [key for key in FIXED if getattr(new, key) != getattr(old, key)]
    later += [f"settings.{key}" for key in BUILT if new.group(key) != old.group(key)]
    if later:
        log.warning("these take effect only at a restart", keys=later)
    if new.log_level != old.log_level:
        configure_log(new.log_level)
    if new.settings != old.settings:
        kept = {name: value for key in BUILT for name, value in old.group(key).items()}
        router.update_settings(
            {**new.settings, **kept, **overlay},
            new.numbers("projects"),
            new.waits(),
            new.setting("allowed.max_open"),
        )
    discovery_watch.change_address(new.discovery)
    log.info("reloaded", discovery=format_address(new.discovery))
    return replace(
        old, discovery=new.discovery, log_level=new.log_level, settings=new.settings, keys=new.keys
    )
