"""A loop of fixed work in plain Python, timed beside the figures: machines differ, and this one is shared.

A CPU figure divided by the loop's turns a second can be compared between machines."""

from __future__ import annotations

import time

TURNS = 2_000
BEST_OF = 15


class Row:
    __slots__ = ("name", "at")

    def __init__(self, name: str, at: int) -> None:
        self.name, self.at = name, at


def turn() -> int:
    """Dictionary, small objects, strings, integers: what the cores are made of."""
    table = {f"m{at}": Row(f"m{at}", at * 7 % 31) for at in range(16)}
    found = sorted(table.values(), key=lambda row: row.at)
    state = 1
    for row in found:
        state = (state * 6364136223846793005 + row.at) & 0xFFFFFFFFFFFFFFFF
        if row.name in table:
            table[row.name].at = state >> 60
    return sum(row.at for row in table.values())


def microseconds() -> float:
    """Processor time of one turn: the best of several, as the others were disturbed."""
    best = float("inf")
    for _ in range(BEST_OF):
        began = time.thread_time_ns()
        for _ in range(TURNS // BEST_OF):
            turn()
        best = min(best, (time.thread_time_ns() - began) / (TURNS // BEST_OF))
    return best / 1000
