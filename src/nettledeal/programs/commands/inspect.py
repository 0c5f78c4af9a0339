"""Show what a data directory that no process uses holds: identity, epoch, sequence, entries."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import msgspec

from nettledeal.control.inspection import DataDirectory, inspect_folder
from nettledeal.control.messages import EpochRecord
from nettledeal.control.state import ACCEPTED_PREFIX
from nettledeal.programs.commands.tables import Table

EXIT_FOUND_WANTING = 1


class EntrySize(msgspec.Struct, frozen=True):
    """An entry of the control state and its size in bytes."""

    key: str
    size: int


class Inspection(msgspec.Struct, frozen=True):
    """What is shown; the accepted orders are only counted."""

    path: str
    replica_id: str | None
    entries_epoch: int
    sequence: int
    decided: EpochRecord | None
    accepted: EpochRecord | None
    generation: int
    evacuated_zones: list[str]
    accepted_orders: int
    entries: list[EntrySize]
    database_bytes: int
    log_bytes: int
    damage: list[str]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """The directory, and the form of the output."""
    parser.add_argument("data_dir", type=Path)
    parser.add_argument("--json", action="store_true", help="as one JSON object")


def run(parsed: argparse.Namespace) -> int:
    """Returns 1 where damage is shown as well; raises ServingError for a foreign directory."""
    inspection = describe(inspect_folder(parsed.data_dir))
    print(msgspec.json.encode(inspection).decode() if parsed.json else render(inspection))
    for line in inspection.damage:
        print(f"nettledeal: damage: {line}", file=sys.stderr)
    return EXIT_FOUND_WANTING if inspection.damage else 0


def describe(directory: DataDirectory) -> Inspection:
    """What is shown of a directory."""
    meta, state = directory.meta, directory.state
    keys = sorted(key for key in state.entries if not key.startswith(ACCEPTED_PREFIX))
    return Inspection(
        path=str(directory.path),
        replica_id=meta.replica_id if meta else None,
        entries_epoch=meta.epoch if meta else -1,
        sequence=state.sequence,
        decided=meta.acceptor.decided if meta else None,
        accepted=meta.acceptor.accepted if meta else None,
        generation=_generation(directory),
        evacuated_zones=sorted(state.evacuated_zones),
        accepted_orders=len(state.entries) - len(keys),
        entries=[EntrySize(key, len(state.entries[key])) for key in keys],
        database_bytes=directory.database_bytes,
        log_bytes=directory.log_bytes,
        damage=list(directory.damage),
    )


def _generation(directory: DataDirectory) -> int:
    try:
        return directory.state.generation
    except msgspec.MsgspecError:
        return 0


def render(inspection: Inspection) -> str:
    """The inspection as tables."""
    about = Table("data directory", inspection.path)
    about.add("replica", inspection.replica_id or "none yet")
    about.add("sequence", f"{inspection.sequence} of epoch {inspection.entries_epoch}")
    about.add("configuration", str(inspection.generation) if inspection.generation else "none")
    about.add("evacuated", " ".join(inspection.evacuated_zones) or "none")
    about.add("orders kept", str(inspection.accepted_orders))
    about.add("bytes", f"{inspection.database_bytes}, in the log {inspection.log_bytes}")
    about.add("decided epoch", _record(inspection.decided))
    about.add("accepted epoch", _record(inspection.accepted))
    entries = Table("entry", "bytes")
    for entry in inspection.entries:
        entries.add(entry.key, str(entry.size))
    return f"{about.render()}\n\n{entries.render()}"


def _record(record: EpochRecord | None) -> str:
    if record is None:
        return "none"
    voters = " ".join(f"{voter.replica_id[:8]}@{voter.host}" for voter in record.voters)
    in_sync = " ".join(replica[:8] for replica in record.in_sync)
    return f"{record.epoch}: primary {record.primary[:8] or 'none'}, in sync {in_sync}, voters {voters}"
