"""Steps on a small system of real processes. Every wait is for a condition, with a timeout."""

from __future__ import annotations

import tempfile
from pathlib import Path

from behave import given, then, when

from nettledeal.common.settings import Bounds
from nettledeal.standins.backend import EngineSpeed
from nettledeal.standins.layout import Layout, Network
from nettledeal.standins.processes import wait_until
from nettledeal.standins.scenario import make_backends, make_configuration
from nettledeal.standins.small_system import SmallSystem
from tests.system.command_line_support import call

WITHIN_S = 60.0
EDGES = 2


@given("a small system on loopback")
def small_system(context):
    folder = tempfile.TemporaryDirectory(prefix="nettledeal-")
    context.add_cleanup(folder.cleanup)
    layout = Layout(Network.of_this_process(3), edges=EDGES, bounds=Bounds(grace_s=2.0))
    backends = make_backends(layout, EngineSpeed(), EngineSpeed())
    context.system = SmallSystem(layout, Path(folder.name), backends)
    context.add_cleanup(context.system.stop)
    context.system.start()
    context.paths = {}
    for number in (1, 3):
        path = Path(folder.name) / f"configuration-{number}.json"
        path.write_bytes(make_configuration(number))
        context.paths[f"CONFIGURATION-{number}"] = path
    options = ["--patience", str(WITHIN_S)]
    options += [word for address in layout.core_addresses for word in ("--address", str(address))]
    context.call_options = dict.fromkeys(("config", "status", "evacuate", "restore"), options)


@when("the primary is killed")
def kill_primary(context):
    context.killed = context.system.primary()
    context.killed.kill()


@when("the killed machine is started again")
def start_again(context):
    context.system.restart_cores()


@when("every process has started")
def have_started(context):
    """Before a process has started, SIGTERM kills it without an exit status of its own."""
    for process in context.system.processes:
        process.wait_for("process:started", WITHIN_S)


@when("every process is told to end")
def told_to_end(context):
    context.statuses = context.system.stop()


@then("all of them end with 0")
def all_end(context):
    assert context.statuses == [0] * len(context.system.processes), context.statuses


@then("every data plane becomes ready")
def becomes_ready(context):
    context.system.wait_ready(WITHIN_S)


@then("another core machine is the primary")
def another_primary_leads(context):
    assert context.system.primary() is not context.killed


@then("all core machines come into sync")
def come_into_sync(context):
    count = len(context.system.cores)
    wait_until(
        lambda: len(context.system.primary_status().epoch.in_sync) == count, WITHIN_S, "all are in sync"
    )


@then('before long "{text}" prints "{shown}"')
def prints_before_long(context, text, shown):
    """A status page shows one machine's view, which lags behind commands acknowledged by the primary."""
    wait_until(lambda: shown in call(context, text).stdout, WITHIN_S, f"{text} prints {shown!r}")


@then('before long "{text}" prints the members, the primary and the version of every part')
def prints_page(context, text):
    for shown in ("core-1", "edge-1", "primary", "configuration  1", "catalogue", "control", "retries"):
        prints_before_long(context, text, shown)
