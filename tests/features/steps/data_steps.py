"""Steps on data directories, deploy files and settings files."""

from __future__ import annotations

import hashlib
import sqlite3
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from nettledeal.control.decisions import decide
from nettledeal.control.effects import SaveChanges
from nettledeal.control.epoch_consensus import AcceptorState
from nettledeal.control.state import ControlState, PutConfiguration
from nettledeal.control.storage import DATABASE_NAME, Storage
from nettledeal.operator_api.api import order_digest
from nettledeal.standins.layout import Layout, Network, write_settings
from nettledeal.standins.processes import PROGRAM
from tests.system.operator_api_support import make_body

PAGE_BYTES = 4096
DEPLOY = """build = "x"
[roles.a]
run = "python3 a"
on = "core"
share = 1.0
serves = ["registry"]
"""
DEPLOY_FAULTS = {
    "no build": ('build = "x"\n', ""),
    "a share of 0": ("share = 1.0", "share = 0.0"),
    "an unknown class": ('on = "core"', 'on = "moon"'),
    "a shell before the program": ('run = "python3 a"', 'run = "sh a"'),
    "nobody who serves registry": ('"registry"', '"control_plane"'),
    "its end missing": ('serves = ["registry"]\n', "serves = ["),
}
SETTINGS_FAULTS = {
    "no name": ("node_name =", "old_name ="),
    "a seed without a port": (':8166"]', '"]'),
    "too few ports": ("7735", "7721"),
    "a list where a word is": ('zone = "north-1"', 'zone = ["north-1"]'),
    "more fields": ("node_name =", "fresh = {a = 1}\nnode_name ="),
}


def use_folder(context) -> Path:
    """Create an empty folder, which the scenario refers to as DATA."""
    holder = tempfile.TemporaryDirectory(prefix="nettledeal-")
    context.add_cleanup(holder.cleanup)
    context.folder = Path(holder.name) / "data"
    context.folder.mkdir()
    context.paths = {"DATA": context.folder}
    return context.folder


def digests(folder: Path) -> dict[str, str]:
    """The digests of a folder's files, to detect changes."""
    return {path.name: hashlib.sha256(path.read_bytes()).hexdigest() for path in sorted(folder.iterdir())}


def fill(folder: Path) -> None:
    """Create a replica's database with configuration 7."""
    storage = Storage(folder)
    storage.create("a", AcceptorState())
    body = make_body(7)
    changes = decide(ControlState(), PutConfiguration(0, 7, order_digest(0, body), body)).changes
    storage.write([SaveChanges(-1, 1, changes)])
    storage.close()


@given("the data directory of a replica that holds configuration 7")
def sound_directory(context):
    fill(use_folder(context))
    context.before = digests(context.folder)


@given("an empty data directory")
def empty_directory(context):
    context.before = digests(use_folder(context))


@given("a data directory with {content}")
def unusable_directory(context, content):
    path = use_folder(context) / DATABASE_NAME
    if content == "something that is no database":
        path.write_bytes(b"something else" * 1000)
    else:
        if content == "a format that is not known":
            fill(context.folder)
        connection = sqlite3.connect(path)
        connection.execute("CREATE TABLE IF NOT EXISTS other (id)")
        connection.execute("PRAGMA user_version = 9")
        connection.commit()
        connection.close()
    context.before = digests(context.folder)


@given("one of its pages is torn")
def torn_page(context):
    path = context.folder / DATABASE_NAME
    content = bytearray(path.read_bytes())
    content[PAGE_BYTES : PAGE_BYTES + 100] = b"\xff" * 100
    path.write_bytes(content)
    context.before = digests(context.folder)


@when("a core process is started on it")
def start_core(context):
    layout = Layout(Network.of_this_process(3))
    path = context.folder.parent / "core-1.toml"
    settings = layout.core_settings(0, context.folder.parent, bootstrap=False)
    write_settings(settings, path)
    path.write_text(path.read_text().replace(settings.data_dir, str(context.folder)))
    context.result = subprocess.run(
        [sys.executable, str(PROGRAM), "--settings", str(path), "control-plane"],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@then("the directory is as it was")
def unchanged(context):
    assert digests(context.folder) == context.before, list(context.folder.iterdir())


@given("a deploy file with {fault}")
def faulty_deploy_file(context, fault):
    path = use_folder(context) / "system.toml"
    path.write_text(DEPLOY.replace(*DEPLOY_FAULTS[fault]))
    context.paths = {"FILE": path}


@given("a settings file with {fault}")
def faulty_settings_file(context, fault):
    path = use_folder(context) / "settings.toml"
    write_settings(Layout(Network("127.9.9"), cores=1).edge_settings(0), path)
    path.write_text(path.read_text().replace(*SETTINGS_FAULTS[fault], 1))
    context.paths = {"FILE": path}
