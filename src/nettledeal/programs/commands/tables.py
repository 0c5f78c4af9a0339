"""Plain tables for a terminal."""

from __future__ import annotations


class Table:
    """Rows of text under headings, each column as wide as it needs."""

    def __init__(self, *headings: str):
        self._rows = [headings]

    def add(self, *cells: str) -> None:
        """Add a row with a cell for each heading."""
        self._rows.append(cells)

    def render(self) -> str:
        """The table as lines."""
        widths = [max(map(len, column)) for column in zip(*self._rows, strict=True)]
        lines = [
            "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
            for row in self._rows
        ]
        ruler = "  ".join("-" * width for width in widths)
        return "\n".join(line.rstrip() for line in [lines[0], ruler, *lines[1:]])
