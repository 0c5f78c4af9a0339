"""The list of backends: subscribing to it where it is not pushed, and applying its changes."""

from collections.abc import Iterable
from dataclasses import replace

from nettledeal.model import Action, Lifecycle, Listing, SubscribeToList, Time
from nettledeal.policy.shared_state import SECOND, SharedState
from nettledeal.records import Backend


class Discovery:
    """Subscribes to the list of backends where needed, and again when its answers stop."""

    def __init__(self, state: SharedState, now: Time):
        self.state = state
        self.ask_within = state.get("rules.ask_within", 10 * SECOND)
        self.must_ask = state.get("discovery", "pushed") == "on_request"
        self.backoff = max(1, self.ask_within // 16)
        self.ask_at: Time | None = None
        if self.must_ask:
            self.ask_at = now + int(state.random.random() * self.ask_within / 8)  # agents may start together

    def wake(self, now: Time) -> list[Action]:
        if self.ask_at is None or now < self.ask_at:
            return []
        self.ask_at = now + self.ask_within // 2  # asks again without news or failure: answers can be lost
        return [SubscribeToList()]

    def on_list(self) -> None:
        self.ask_at, self.backoff = None, max(1, self.ask_within // 16)

    def on_failure(self, now: Time) -> None:
        self.ask_at = now + int(self.backoff * (1 + self.state.random.random()))
        self.backoff = min(2 * self.backoff, max(1, self.ask_within // 4))

    def apply(self, listings: Iterable[Listing], now: Time, whole: bool, cached: bool) -> None:
        pool = self.state.backends
        named = {}
        for entry in listings:
            named[entry.backend] = entry
            old = pool.get(entry.backend)
            if (
                old is None
                or old.listing.started_at != entry.started_at
                or old.listing.lifecycle is Lifecycle.GONE
            ):
                fresh = Backend.fresh(entry, not cached, now, old)
                if old is not None and old.listing.started_at == entry.started_at:
                    fresh.assumed_start = old.assumed_start
                fresh.cordoned = entry.backend in self.state.cordoned
                pool[entry.backend] = fresh
            else:
                old.listing = entry
                old.confirmed = old.confirmed or not cached
        if whole:
            for id, backend in pool.items():
                if id not in named:
                    backend.listing = replace(backend.listing, lifecycle=Lifecycle.GONE)
        # Forget backends that are gone and have no own attempts, as fleets are replaced again and again.
        for id in [id for id, b in pool.items() if b.listing.lifecycle is Lifecycle.GONE and not b.in_flight]:
            del pool[id]
        self.state.rebuild_groups(now)
