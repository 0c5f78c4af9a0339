"""Run the control plane of a core machine, until SIGTERM."""

from __future__ import annotations

import argparse

from nettledeal.common.settings import read_settings, settings_path
from nettledeal.programs import control_plane


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Everything that it needs is in the settings file."""


def run(parsed: argparse.Namespace) -> int:
    """Returns once the process was told to stop."""
    path = settings_path(parsed.settings_path)
    return control_plane.run(read_settings(path), path)
