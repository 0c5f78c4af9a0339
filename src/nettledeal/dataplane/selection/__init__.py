"""The selection of a backend for each attempt; pure, with time and randomness passed in."""

from nettledeal.dataplane.selection.model import (
    Attempt,
    AttemptOutcome,
    Backend,
    CallDescription,
    PromptPart,
    Refusal,
    ReportedLoad,
    ServiceProfile,
    Tuning,
    WarmupBounds,
)
from nettledeal.dataplane.selection.reports import BackendReport
from nettledeal.dataplane.selection.selector import Selector

__all__ = [
    "Attempt",
    "AttemptOutcome",
    "Backend",
    "BackendReport",
    "CallDescription",
    "PromptPart",
    "Refusal",
    "ReportedLoad",
    "Selector",
    "ServiceProfile",
    "Tuning",
    "WarmupBounds",
]
