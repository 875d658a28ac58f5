"""A reference loop of fixed work in plain Python, timed with each run because machines differ and are shared.

A CPU figure divided by the time of one turn of the loop can be compared between machines."""

from __future__ import annotations

import time

TURNS = 2_000
BEST_OF = 15


class Item:
    __slots__ = ("name", "at")

    def __init__(self, name: str, at: int) -> None:
        self.name, self.at = name, at


def turn() -> int:
    """One unit of work on dictionaries, small objects, strings and integers, as in the cores."""
    table = {f"m{at}": Item(f"m{at}", at * 7 % 31) for at in range(16)}
    items = sorted(table.values(), key=lambda item: item.at)
    state = 1
    for item in items:
        state = (state * 6364136223846793005 + item.at) & 0xFFFFFFFFFFFFFFFF
        if item.name in table:
            table[item.name].at = state >> 60
    return sum(item.at for item in table.values())


def microseconds() -> float:
    """CPU time of one turn: the best of several, as other processes disturb the rest."""
    best = float("inf")
    for _ in range(BEST_OF):
        started_at = time.thread_time_ns()
        for _ in range(TURNS // BEST_OF):
            turn()
        best = min(best, (time.thread_time_ns() - started_at) / (TURNS // BEST_OF))
    return best / 1000
