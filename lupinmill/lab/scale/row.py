"""One budget of the capacity page: what it is for, its usage at the target, and N*, which exceeds it."""

from __future__ import annotations

from dataclasses import dataclass

from lupinmill.lab.scale.curves import AT_FIRST_SIZE, AT_LAST_SIZE, Bound, Usage

HOLDS, BREAKS, UNKNOWN = "holds", "**breaks**", "not known"


@dataclass(frozen=True, slots=True)
class BudgetRow:
    """`mechanisms`: keys of the mechanisms that it depends on, its own first.

    `fatal`: the target can't be met while the budget is exceeded. `control`: it belongs to control, not to
    the request path. `requires`: exists only with the mechanism of that key.
    """

    key: str
    role: str
    what: str
    unit: str
    budget: float
    usage: Usage
    bound: Bound  # in sidecars, for a fleet in the target's proportions
    verdict: str
    carried_by: str  # file that implements it, or "missing"
    mechanisms: tuple[str, ...] = ()
    fatal: bool = False
    control: bool = True
    requires: str = ""
    mean: Usage | None = None  # where `usage` is of peaks
    mean_label: str = "mean"
    computation: str = ""  # how it is computed, where nothing was measured
    successor: str = ""  # name of the figures, or key of the row, that replace it once its mechanism exists


def judge(usage: Usage, budget: float) -> str:
    if usage.basis == AT_LAST_SIZE:  # beyond the measured sizes, not extrapolated
        return BREAKS if usage.amount > budget else UNKNOWN
    if usage.basis == AT_FIRST_SIZE:  # below the measured sizes
        return HOLDS if usage.amount <= budget else UNKNOWN
    return BREAKS if usage.amount > budget else HOLDS
