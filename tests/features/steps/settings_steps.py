"""Steps that check the validation of a process's settings."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

ROOT = Path(__file__).resolve().parents[3]
SETTINGS = """
node_name = "edge-1"
role = "data-plane"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "north"
port_range = [7000, 7015]
seeds = ["127.0.0.1:7100"]
[zones]
north-1 = "north"
"""


@given("no settings file")
def no_settings_file(context):
    context.settings_path = Path(tempfile.mkdtemp()) / "missing.toml"


@given("a settings file whose zone is not listed")
def unlisted_zone(context):
    context.settings_path = Path(tempfile.mkdtemp()) / "settings.toml"
    context.settings_path.write_text(SETTINGS.format(zone="elsewhere"))


@when("a data-plane process is started")
def start_process(context):
    context.result = subprocess.run(
        [sys.executable, str(ROOT / "src" / "nettledeal_system.py"), "data-plane"],
        env={**os.environ, "NETTLEDEAL_SETTINGS": str(context.settings_path)},
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@then("it ends with status {status:d}")
def ends_with(context, status):
    assert context.result.returncode == status, context.result


@then("it prints one line that names the settings")
def names_settings(context):
    lines = context.result.stderr.strip().splitlines()
    assert len(lines) == 1 and "read settings" in lines[0], lines


@then("it prints one line that names the field {field}")
def names_field(context, field):
    lines = context.result.stderr.strip().splitlines()
    assert len(lines) == 1 and f"{field}:" in lines[0], lines
