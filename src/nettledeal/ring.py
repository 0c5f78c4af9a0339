"""What is measured over time: sums in fixed buckets of time. Nothing is decided here."""

from nettledeal.model import Time


class Ring:
    """Sums over the last `span`, in buckets of time that are used again."""

    def __init__(self, span: Time, width: int, buckets: int = 10):
        self.step = max(1, -(-span // buckets))
        self.rows = [[0.0] * width for _ in range(buckets + 1)]
        self.stamps = [-1] * (buckets + 1)

    def add(self, now: Time, column: int, amount: float) -> None:
        stamp = now // self.step
        slot = stamp % len(self.rows)
        if self.stamps[slot] != stamp:
            self.stamps[slot] = stamp
            self.rows[slot] = [0.0] * len(self.rows[slot])
        self.rows[slot][column] += amount

    def total(self, now: Time, column: int) -> float:
        oldest = now // self.step - len(self.rows) + 1
        return sum(
            row[column] for row, stamp in zip(self.rows, self.stamps, strict=True) if stamp >= oldest
        )
