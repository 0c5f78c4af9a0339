"""Key affinity: which home backends keep the cache of a key warm, by consistent hashing."""

from math import exp

from nettledeal.policy.shared_state import SAMPLE_SIZE, SharedState
from nettledeal.records import Backend

KEYS_COUNTED = 100  # recent work items whose keys are counted


class KeyAffinity:
    """Maps a key to the same few home backends at every agent, by a hash and without coordination."""

    def __init__(self, state: SharedState):
        self.state = state
        self.counts: dict[str, float] = {}
        self.total, self.lookups = 0.0, 0

    def count_key(self, key: str) -> None:
        """Counts own work items by key, with decay, to detect hot keys."""
        self.counts[key] = self.counts.get(key, 0.0) + 1.0
        self.total += 1.0
        if self.total >= 2 * KEYS_COUNTED:
            self.total = 0.0
            for key, count in list(self.counts.items()):
                if count > 1.0:
                    self.counts[key] = 0.5 * count
                    self.total += 0.5 * count
                else:
                    del self.counts[key]

    def preferred(self, key: str) -> list[Backend]:
        """The backends that the key prefers: several for a hot key, by its share of the work."""
        share = (self.counts.get(key, 1.0) - 1.0) / (self.total + 10.0)
        wanted = 1 + min(int(2 * share * len(self.state.near)), SAMPLE_SIZE // 2)
        found = self.state.key_ring.following(key, 4 * SAMPLE_SIZE)[:wanted]
        self.lookups += bool(found)
        for b in found:  # its smoothed share of keyed work items
            decay = exp(-(self.lookups - b.key_share_at) / KEYS_COUNTED)
            b.key_share, b.key_share_at = decay * b.key_share + (1.0 - exp(-1.0 / KEYS_COUNTED)), self.lookups
        return found
