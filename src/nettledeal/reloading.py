"""Reload: which parts of a configuration take effect while the agent serves, and which at a restart only."""

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

# Attributes of Configuration that take effect only at a restart: parts built at the start depend on them.
# `seed` and `known` are left out, as only the start uses them. The names are logged, so they must not change.
RESTART_ONLY_ATTRIBUTES = ("name", "listen", "admin", "memory_mb", "sockets", "longest", "membership")
# Settings, or groups of them, that take effect only at a restart.
RESTART_ONLY_SETTINGS = (
    "zone",
    "zones",
    "kinds",
    "discovery",
    "feedback",
    "resolution",
    "allowed.conn_idle",
    "allowed.connect_timeout",
)


def apply_reload(
    old: Configuration,
    new: Configuration,
    router: Router,
    discovery_watch: DiscoveryWatch,
    overlay: Mapping[str, Any],
) -> Configuration:
    """Apply `new` in one step and return the configuration now in force.

    `new` has been checked against `old`. Settings in `overlay` override those of the file."""
    restart_only = [key for key in RESTART_ONLY_ATTRIBUTES if getattr(new, key) != getattr(old, key)]
    restart_only += [
        f"settings.{key}" for key in RESTART_ONLY_SETTINGS if new.subtree(key) != old.subtree(key)
    ]
    if restart_only:
        log.warning("these take effect only at a restart", keys=restart_only)
    if new.log_level != old.log_level:
        configure_log(new.log_level)
    if new.settings != old.settings:
        unchanged = {name: value for key in RESTART_ONLY_SETTINGS for name, value in old.subtree(key).items()}
        router.update_settings(
            {**new.settings, **unchanged, **overlay},
            new.indices_by_name("projects"),
            new.default_timeouts(),
            new.setting("allowed.max_open"),
        )
    discovery_watch.change_address(new.discovery)
    log.info("reloaded", discovery=format_address(new.discovery))
    return replace(
        old, discovery=new.discovery, log_level=new.log_level, settings=new.settings, keys=new.keys
    )
