"""Figures in words, three digits each, and tables in Markdown. Pure."""

from __future__ import annotations

import math
from collections.abc import Sequence

from lupinmill.lab.scale.row import BudgetRow

LARGE = ((1e9, "G"), (1e6, "M"), (1e3, "K"))
NOTHING = 1e-12
SMALL = ((1.0, "s"), (1e-3, "ms"), (1e-6, "us"))


def digits(value: float) -> str:
    """Three of them, with commas between thousands."""
    if abs(value) < NOTHING or not math.isfinite(value):
        return "0" if math.isfinite(value) else str(value)
    places = max(0, 2 - math.floor(math.log10(abs(value))))
    text = f"{float(f'{value:.3g}'):,.{places}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def count(value: float) -> str:
    """Whole where it is large."""
    return f"{value:,.0f}" if value >= 1000 and float(f"{value:.3g}") == value else digits(value)


def amount(value: float, unit: str) -> str:
    if unit == "part of a core":
        return f"{digits(100 * value)}%"
    if unit in ("bytes", "bytes/s"):
        rate = "/s" if unit.endswith("/s") else ""
        for size, letter in LARGE:
            if abs(value) >= size:
                return f"{digits(value / size)} {letter}B{rate}"
        return f"{digits(value)} B{rate}"
    if unit == "s":
        for size, name in SMALL:
            if abs(value) >= size or name == "us":
                return f"{digits(value / size)} {name}"
    if unit in ("1/s", "1/day"):
        return f"{digits(value)}{unit[1:].replace('/', ' a ').replace(' s', ' second')}"
    return f"{digits(value)} {unit}"


def headroom(row: BudgetRow) -> str:
    part = row.usage.amount / row.budget
    if part <= 1:
        return f"{100 * (1 - part):.0f}%"
    return f"none: {digits(part)} times the budget"


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    def line(cells: Sequence[str]) -> str:
        return "| " + " | ".join(cell.replace("|", "/").replace("\n", " ") for cell in cells) + " |"

    return "\n".join([line(head), line(["---"] * len(head)), *map(line, rows)])
