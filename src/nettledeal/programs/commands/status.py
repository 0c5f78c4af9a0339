"""Show what a core machine knows: members, epoch, primary, versions, streams and budgets."""

from __future__ import annotations

import argparse

import msgspec

from nettledeal.operator_api.status import StatusReport, Version
from nettledeal.programs.commands.operator import add_call_arguments, make_client
from nettledeal.programs.commands.tables import Table


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Which machine is asked, and the form of the answer."""
    parser.add_argument(
        "machine", nargs="?", metavar="HOST:PORT", help="default: the settings' seeds in turn"
    )
    parser.add_argument("--json", action="store_true", help="as one JSON object")
    add_call_arguments(parser)


def run(parsed: argparse.Namespace) -> int:
    """Prints the page; raises ServingError if no machine answers."""
    if parsed.machine:
        parsed.address = [parsed.machine]
    report = make_client(parsed).status()
    print(msgspec.json.encode(report).decode() if parsed.json else render(report))
    return 0


def render(report: StatusReport) -> str:
    """The page as tables."""
    parts = [_render_control(report), _render_cores(report), _render_members(report)]
    parts += [_render_sources(report), _render_streams(report), _render_budgets(report)]
    return "\n\n".join(parts)


def _render_control(report: StatusReport) -> str:
    control, epoch = report.control, report.epoch
    age = "never" if epoch.confirmed_age_s is None else f"{epoch.confirmed_age_s:.1f} s ago"
    hosts = {core.replica_id: core.host for core in report.cores}
    rows = Table(
        "control", f"as seen by {hosts.get(epoch.replica_id, epoch.replica_id or 'an unknown machine')}"
    )
    rows.add("primary", control.primary or "unknown")
    rows.add("epoch", str(epoch.epoch))
    rows.add("in sync", f"{len(epoch.in_sync)} of {len(epoch.voters)} voters")
    rows.add("configuration", str(control.generation) if control.generation else "none")
    rows.add("sequence", str(control.sequence))
    rows.add("confirmed", age)
    rows.add("evacuated", " ".join(control.evacuated_zones) or "none")
    return rows.render()


def _render_cores(report: StatusReport) -> str:
    table = Table("core machine", "zone", "in sync", "part")
    for core in sorted(report.cores, key=lambda core: core.host):
        parts = [
            part
            for part, holder in (("primary", report.epoch.primary), ("list reader", report.epoch.reader))
            if holder == core.replica_id
        ]
        in_sync = "yes" if core.replica_id in report.epoch.in_sync else "no"
        table.add(core.host, core.zone, in_sync, ", ".join(parts) or "-")
    return table.render()


def _render_members(report: StatusReport) -> str:
    table = Table("member", "role", "zone", "address", "state")
    for member in report.members:
        state = "ready" if member.ready else "up"
        state = "leaving" if member.leaving else state
        state = "suspected" if member.suspected else state
        table.add(member.name, member.role, member.zone, member.frontend or member.host, state)
    return table.render()


def _render_sources(report: StatusReport) -> str:
    table = Table("source", "version", "entries", "confirmed")
    for name, source in sorted(report.sources.items()):
        age = "never" if source.age_s is None else f"{source.age_s:.1f} s ago"
        table.add(name, _version(source.version), str(source.entries), age)
    return table.render()


def _render_streams(report: StatusReport) -> str:
    sources = sorted({source for held in report.streams.values() for source in held})
    table = Table("subscriber", *sources)
    for subscriber, held in sorted(report.streams.items()):
        table.add(subscriber, *(_version(held.get(source, ())) for source in sources))
    return table.render()


def _render_budgets(report: StatusReport) -> str:
    budgets = report.budgets
    table = Table("budget", "")
    table.add("shared by", f"{budgets.members} data planes, {budgets.granted} granted")
    table.add(
        "retries",
        f"{budgets.retry_ratio:g} x requests + {budgets.retry_slack:g} in {budgets.retry_window_s:g} s",
    )
    table.add("cold backends", f"{budgets.warmup_overage:g} x rate + {budgets.warmup_slack:g} a second")
    return table.render()


def _version(version: Version) -> str:
    return ".".join(map(str, version)) or "-"
