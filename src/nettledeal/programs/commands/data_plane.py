"""Run the data plane of an edge machine, until SIGTERM."""

from __future__ import annotations

import argparse

from nettledeal.common.addresses import parse_address
from nettledeal.common.listeners import StandardSocket, early_listening_socket
from nettledeal.common.settings import Settings, read_settings, settings_path


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Everything that it needs is in the settings file."""


def run(parsed: argparse.Namespace) -> int:
    """Returns once the process was told to stop. Clients that connect while it is loaded wait."""
    path = settings_path(parsed.settings_path)
    settings = read_settings(path)
    listener = frontend_listener(settings)
    from nettledeal.programs import data_plane

    return data_plane.run(settings, listener, path)


def frontend_listener(settings: Settings) -> StandardSocket | None:
    """A socket that listens for clients, None where the process serves none. Raises OSError."""
    frontend = settings.listen.frontend
    return None if frontend is None else early_listening_socket(parse_address(frontend))
