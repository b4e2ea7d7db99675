"""Printing of tables in Markdown, which docs/CAPACITY.md quotes."""

from __future__ import annotations


def print_row(*cells: object) -> None:
    """Print a table row; floating-point numbers have three significant digits."""
    texts = (f"{cell:,.3g}" if isinstance(cell, float) else str(cell) for cell in cells)
    print(f"| {' | '.join(texts)} |")


def print_header(*titles: str) -> None:
    """Print the column titles and the separator line below them."""
    print_row(*titles)
    print_row(*("---" for _ in titles))
