"""Invariants over the requests of a small system, checked on what clients and backends recorded."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from nettledeal.standins.backend import StandInBackend
from nettledeal.standins.clients import Client, Ending, RequestKind
from nettledeal.standins.traffic import Summary


def broken_rules(
    summaries: Iterable[Summary],
    clients: Iterable[Client],
    backends: Iterable[StandInBackend],
    kinds: Iterable[RequestKind],
) -> list[str]:
    """One line per violation; empty if all invariants hold."""
    backends, kinds = list(backends), list(kinds)
    sent = {request_id for client in clients for request_id in client.sent}
    return [
        *_wrong_answers(summaries),
        *_unasked_runs(sent, backends),
        *_repeated_runs(backends, kinds),
    ]


def _wrong_answers(summaries: Iterable[Summary]) -> Iterator[str]:
    for summary in summaries:
        for outcome in summary.outcomes:
            if outcome.ending is Ending.WRONG:
                yield f"answer: {outcome.kind} in {summary.phase!r}: {outcome.detail}"


def _unasked_runs(sent: set[str], backends: list[StandInBackend]) -> Iterator[str]:
    for backend in backends:
        for run in backend.runs:
            if run.request_id not in sent:
                yield f"unasked: {backend.catalogue_entry.id} ran {run.request_id}"


def _repeated_runs(backends: list[StandInBackend], kinds: list[RequestKind]) -> Iterator[str]:
    repeatable = {kind.path for kind in kinds if kind.repeatable}
    runs = Counter(
        run.request_id for backend in backends for run in backend.runs if run.path not in repeatable
    )
    for request_id, count in runs.items():
        if count > 1:
            yield f"twice: {request_id} was run {count} times"
