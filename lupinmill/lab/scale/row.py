"""One budget of the page of capacity: what it is, what is used of it at the target, and N*."""

from __future__ import annotations

from dataclasses import dataclass

from lupinmill.lab.scale.curves import FIRST, LAST, Bound, Use

HOLDS, BREAKS, UNKNOWN = "holds", "**breaks**", "not known"


@dataclass(frozen=True, slots=True)
class Row:
    """`next`: mechanisms that it stands on, its own first. `fatal`: the target is impossible while it fails.
    `control`: it is control's, not the ordinary path's. `added`: there only with the mechanism of that
    key."""

    key: str
    role: str
    what: str
    unit: str
    budget: float
    use: Use
    bound: Bound  # in sidecars, of a fleet in the target's proportions
    verdict: str
    carried: str  # by file, or "missing"
    next: tuple[str, ...] = ()
    fatal: bool = False
    control: bool = True
    added: str = ""
    mean: Use | None = None  # beside a peak
    mean_is: str = "mean"
    because: str = ""  # how it is computed, where nothing was measured
    after: str = ""  # figures of that name, or the row of that key, say what it is with its mechanism


def verdict(use: Use, budget: float) -> str:
    if use.how == LAST:  # beyond what was measured, and not extended
        return BREAKS if use.amount > budget else UNKNOWN
    if use.how == FIRST:  # below it
        return HOLDS if use.amount <= budget else UNKNOWN
    return BREAKS if use.amount > budget else HOLDS
