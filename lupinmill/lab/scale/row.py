"""One budget of the page of capacity: what it is, what is used of it at the target, and N*."""

from __future__ import annotations

from dataclasses import dataclass

from lupinmill.lab.scale.curves import AT_FIRST_SIZE, AT_LAST_SIZE, Bound, Usage

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
    use: Usage
    bound: Bound  # in sidecars, of a fleet in the target's proportions
    verdict: str
    carried: str  # by file, or "missing"
    next: tuple[str, ...] = ()
    fatal: bool = False
    control: bool = True
    added: str = ""
    mean: Usage | None = None  # beside a peak
    mean_is: str = "mean"
    because: str = ""  # how it is computed, where nothing was measured
    after: str = ""  # figures of that name, or the row of that key, say what it is with its mechanism


def verdict(use: Usage, budget: float) -> str:
    if use.basis == AT_LAST_SIZE:  # beyond the measured sizes, not extrapolated
        return BREAKS if use.amount > budget else UNKNOWN
    if use.basis == AT_FIRST_SIZE:  # below the measured sizes
        return HOLDS if use.amount <= budget else UNKNOWN
    return BREAKS if use.amount > budget else HOLDS
