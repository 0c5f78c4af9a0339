"""Selection of a backend for each attempt. Pure logic: time and randomness are passed in."""

from nettledeal.dataplane.selection.backend_reports import BackendReport
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
