"""Tables in Markdown, as docs/CAPACITY.md quotes them."""

from __future__ import annotations


def print_row(*cells: object) -> None:
    """Print a row; floating-point numbers to three digits."""
    texts = (f"{cell:,.3g}" if isinstance(cell, float) else str(cell) for cell in cells)
    print(f"| {' | '.join(texts)} |")


def print_header(*titles: str) -> None:
    """Print the titles of the columns, and the line under them."""
    print_row(*titles)
    print_row(*("---" for _ in titles))
