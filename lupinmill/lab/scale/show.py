"""Formats figures with three significant digits and a unit, and tables in Markdown. Free of I/O."""

from __future__ import annotations

import math
from collections.abc import Sequence

from lupinmill.lab.scale.row import BudgetRow

BYTE_PREFIXES = ((1e9, "G"), (1e6, "M"), (1e3, "K"))
ZERO_TOLERANCE = 1e-12
TIME_UNITS = ((1.0, "s"), (1e-3, "ms"), (1e-6, "us"))


def format_number(value: float) -> str:
    """Three significant digits, with commas between thousands."""
    if abs(value) < ZERO_TOLERANCE or not math.isfinite(value):
        return "0" if math.isfinite(value) else str(value)
    places = max(0, 2 - math.floor(math.log10(abs(value))))
    text = f"{float(f'{value:.3g}'):,.{places}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def format_count(value: float) -> str:
    """A whole number where it is large and has no more than three significant digits."""
    return f"{value:,.0f}" if value >= 1000 and float(f"{value:.3g}") == value else format_number(value)


def format_amount(value: float, unit: str) -> str:
    if unit == "part of a core":
        return f"{format_number(100 * value)}%"
    if unit in ("bytes", "bytes/s"):
        rate = "/s" if unit.endswith("/s") else ""
        for size, letter in BYTE_PREFIXES:
            if abs(value) >= size:
                return f"{format_number(value / size)} {letter}B{rate}"
        return f"{format_number(value)} B{rate}"
    if unit == "s":
        for size, name in TIME_UNITS:
            if abs(value) >= size or name == "us":
                return f"{format_number(value / size)} {name}"
    if unit in ("1/s", "1/day"):
        return f"{format_number(value)}{unit[1:].replace('/', ' a ').replace(' s', ' second')}"
    return f"{format_number(value)} {unit}"


def format_headroom(row: BudgetRow) -> str:
    used_part = row.usage.amount / row.budget
    if used_part <= 1:
        return f"{100 * (1 - used_part):.0f}%"
    return f"none: {format_number(used_part)} times the budget"


def markdown_table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    def line(cells: Sequence[str]) -> str:
        return "| " + " | ".join(cell.replace("|", "/").replace("\n", " ") for cell in cells) + " |"

    return "\n".join([line(head), line(["---"] * len(head)), *map(line, rows)])
