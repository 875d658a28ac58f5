"""Measured slopes times the target: usage and N* of each budget, the order of the next mechanisms, and the
choice of the first. Free of I/O.

N* is the size of the whole fleet, in the target's proportions, at which a budget is exceeded: half the
sidecars have half the changes. Budgets are exceeded at peaks, so the worst seed's peak counts where peaks
were measured, else the mean over seeds."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from lupinmill.lab.scale import computed, tables
from lupinmill.lab.scale.curves import (
    ANY_SIZE,
    AT_LAST_SIZE,
    NEVER,
    SIZE_TOLERANCE,
    Bound,
    Curve,
    Usage,
    breaking_size,
    make_curve,
    value_at,
)
from lupinmill.lab.scale.measured import Figure, Measured, Point
from lupinmill.lab.scale.row import BREAKS, HOLDS, UNKNOWN, BudgetRow, judge
from lupinmill.lab.scale.tables import (
    ADDED,
    BUDGET_RULES,
    CHANGES_PER_SECOND,
    COMPARISON_DAY,
    CORE_UNIT,
    SINGLE_RELAY_PREFIXES,
    BudgetRule,
)
from lupinmill.lab.scale.target import RANGES, Target, with_error

ERROR_FACTOR = 3.0
BYTES_IN, BYTES_OUT = "bytes in", "bytes out"


def budget_rows(target: Target, measured: Measured) -> list[BudgetRow]:
    """All budget rows, smallest N* first."""
    found = computed.budget_rows(target) + added_time_rows(target, measured)
    for figure in join_directions(measured.figures):
        one = figure_row(target, figure, largest_relayed_fleet(measured))
        if one is not None:
            found.append(one)
    return sorted(found, key=lambda row: (row.bound.sort_key, row.role, row.key))


def rule_of(figure: Figure) -> BudgetRule | None:
    return (
        None
        if figure.day == COMPARISON_DAY
        else next((rule for rule in BUDGET_RULES if rule.matches(figure)), None)
    )


def largest_relayed_fleet(measured: Measured) -> float:
    """Size of the largest measured fleet behind relays. Figures by changes a second were measured in it."""
    sizes = [
        point.size
        for figure in measured.figures
        if figure.role == "relay"
        and figure.grows_with == "sidecars"
        and not figure.name.startswith(SINGLE_RELAY_PREFIXES)
        for point in figure.points
    ]
    return max(sizes, default=0.0)


def figure_row(target: Target, figure: Figure, largest: float) -> BudgetRow | None:
    """None where the figure has no budget or the target has no such size.

    `largest`: result of `largest_relayed_fleet`.
    """
    rule, size = rule_of(figure), tables.size_at_target(target, figure)
    if rule is None or size is None or not figure.points:
        return None
    pace_factor = (
        1 / target.assumed("pace")
        if CORE_UNIT in (figure.unit, rule.new_file_unit) or rule.budget == "look_s"
        else 1.0
    )
    points, unit = hollow_points(figure.points), rule.new_file_unit or figure.unit
    if rule.new_file_unit:
        points = [scale_point(point, tables.new_files_per_second(target, point.size)) for point in points]
    peaks = any(point.peak > 0 for point in points)
    peak_curve = make_curve(points, peaks).scaled(pace_factor)
    budget = tables.BUDGETS[rule.budget](target)
    usage = value_at(peak_curve, size)
    mean = value_at(make_curve(points, False).scaled(pace_factor), size) if peaks else None
    bound = fleet_bound(target, peak_curve, budget, size, figure.grows_with)
    if figure.grows_with == CHANGES_PER_SECOND:
        usage, bound = limit_to_measured_fleet(target, usage, bound, largest)
    return BudgetRow(
        f"{figure.role} {figure.name} {figure.day}, by {figure.grows_with}", figure.role,
        describe(figure, rule), unit, budget, usage, bound, judge(usage, budget), rule.carried_by,
        rule.mechanisms, rule.fatal,
        requires=rule.requires, mean=mean, mean_label=rule.mean_label, successor=rule.successor,
    )  # fmt: skip


def limit_to_measured_fleet(
    target: Target, usage: Usage, bound: Bound, largest: float
) -> tuple[Usage, Bound]:
    """Limits both to the measured fleet, because its size was not varied, only its rate of changes."""
    if target.fleet.sidecars > largest * (1 + SIZE_TOLERANCE):
        usage = Usage(usage.amount, AT_LAST_SIZE, largest)
    return usage, bound if bound.sort_key < (largest, 0) else Bound("over", largest)


def describe(figure: Figure, rule: BudgetRule) -> str:
    if rule.new_file_unit:
        return f"{figure.name}, a new one for each machine that comes back"
    of = f"{rule.requires}: " if rule.requires and figure.role == "sidecar" else ""
    return f"{of}{figure.name}, {figure.day}"


def scale_point(point: Point, times: float) -> Point:
    return msgspec.structs.replace(point, mean=point.mean * times, peak=point.peak * times)


def hollow_points(points: list[Point]) -> list[Point]:
    """Points of hollow members. Real processes are there for comparison, so they count only without them."""
    return [point for point in points if point.hollow] or points


def fleet_bound(target: Target, curve: Curve, budget: float, size: float, grows_with: str) -> Bound:
    if grows_with in tables.FLEET_INDEPENDENT_SIZES:
        found = judge(value_at(curve, size), budget)
        return {BREAKS: ANY_SIZE, HOLDS: NEVER}.get(found, Bound("unknown"))
    return breaking_size(curve, budget).scaled(target.fleet.sidecars / size)


def join_directions(figures: list[Figure]) -> list[Figure]:
    """Bytes in and out of one role on one day summed to one figure, as budgets cover both.

    A sum of two peaks is an upper bound of the peak of the sum.
    """
    incoming = {figure_key(figure): figure for figure in figures if figure.name.endswith(BYTES_IN)}
    found = []
    for figure in figures:
        other = msgspec.structs.replace(figure, name=figure.name.removesuffix(BYTES_OUT) + BYTES_IN)
        if figure.name.endswith(BYTES_OUT) and figure_key(other) in incoming:
            points = sum_points(figure, incoming.pop(figure_key(other)))
            found.append(
                msgspec.structs.replace(figure, name=figure.name.removesuffix(" out"), points=points)
            )
        elif not figure.name.endswith(BYTES_IN):
            found.append(figure)
    return found + list(incoming.values())


def figure_key(figure: Figure) -> tuple[str, str, str, str]:
    return figure.role, figure.name, figure.day, figure.grows_with


def sum_points(one: Figure, two: Figure) -> list[Point]:
    other = {(point.size, point.seed, point.hollow): point for point in two.points}
    found = []
    for point in one.points:
        if same := other.get((point.size, point.seed, point.hollow)):
            found.append(
                msgspec.structs.replace(point, mean=point.mean + same.mean, peak=point.peak + same.peak)
            )
    return found


def added_time_rows(target: Target, measured: Measured) -> list[BudgetRow]:
    """Time added to a call, at the mean rate and at that of the busiest sidecar.

    A run in which the sidecar waited for a core gives no verdict, because other load disturbed it.
    """
    points = [
        Point(one.calls_a_second, one.seed, one.through_p99 - one.straight_p99) for one in measured.added
    ]
    if not points:
        return []
    curve, budget = (
        make_curve(points, False).scaled(1 / target.assumed("pace")),
        tables.BUDGETS["added_p99_ms"](target),
    )
    found = []
    for name, rate in (
        ("mean", target.calls_a_sidecar),
        ("hottest", target.calls_a_sidecar * target.assumed("skew")),
    ):
        usage, why = value_at(curve, rate), ""
        bound, judged = fleet_bound(target, curve, budget, rate, "calls a second"), judge(usage, budget)
        if disturbed(measured, rate):
            bound, judged, why = Bound("unknown"), UNKNOWN, ", disturbed by other load"
        found.append(
            BudgetRow(
                f"added {name}", "sidecar", f"time added to a call for 99 in 100, {name} sidecar{why}", "s",
                budget, usage, bound, judged, "lupinmill/routing/", (ADDED,), True, control=False,
            )
        )  # fmt: skip
    return found


def disturbed(measured: Measured, rate: float) -> bool:
    """Whether the sidecar waited for a core, at the measured rate nearest to the given one."""
    parts = {
        figure.name: figure.points
        for figure in measured.figures
        if figure.grows_with in tables.FLEET_INDEPENDENT_SIZES
    }
    waited, cpu = parts.get("core waited for a call"), parts.get("cpu a call")
    if not waited or not cpu:
        return False
    nearest = min((point.size for point in waited), key=lambda size: abs(size - rate))
    means = [value_at(make_curve(points, False), nearest).amount for points in (waited, cpu)]
    return means[0] > tables.MAX_CORE_WAIT * means[1]


# --- order and choice ---------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Choice:
    row: BudgetRow
    mechanism: str
    tied: tuple[BudgetRow, ...]  # rows with the same N*, including this one
    dependents: dict[str, int]  # number of broken rows that depend on each mechanism


def count_dependents(found: list[BudgetRow]) -> dict[str, int]:
    count: dict[str, int] = {}
    for row in found:
        if row.verdict == BREAKS:
            for name in row.mechanisms:
                count[name] = count.get(name, 0) + 1
    return count


def choose_mechanism(found: list[BudgetRow]) -> Choice | None:
    """The fatal, broken row of control with the smallest N*; of ties the one whose mechanism more rows need.

    Rows that exist only with one of the mechanisms are left out.
    """
    present = [row for row in found if not row.requires]
    candidates = [
        row for row in present if row.control and row.fatal and row.verdict == BREAKS and row.mechanisms
    ]
    if not candidates:
        return None
    dependents = count_dependents(present)
    smallest = min(row.bound.sort_key for row in candidates)
    tied = tuple(row for row in candidates if row.bound.sort_key == smallest)
    best = min(tied, key=lambda row: (-dependents[row.mechanisms[0]], row.key))
    return Choice(best, best.mechanisms[0], tied, dependents)


def successors(target: Target, measured: Measured, row: BudgetRow) -> list[BudgetRow]:
    """The rows that replace a row once its mechanism exists, from measured figures and computed rows."""
    found = [
        figure
        for figure in join_directions(measured.figures)
        if row.successor and row.successor in figure.name
    ]
    largest = largest_relayed_fleet(measured)
    there = [one for one in computed.budget_rows(target) if one.key == row.successor]
    return there + [one for figure in found if (one := figure_row(target, figure, largest)) is not None]


def open_rows(target: Target, measured: Measured, found: list[BudgetRow]) -> list[BudgetRow]:
    """Rows that are broken or unknown in the program as it is now, smallest N* first.

    This is the order of the next mechanisms. A row whose mechanism was measured counts by its successors.
    """
    return [
        row
        for row in found
        if row.verdict != HOLDS and row.mechanisms and not successors(target, measured, row)
    ]


def rows_by_mechanism(found: list[BudgetRow]) -> dict[str, BudgetRow | None]:
    """Each mechanism with the first row that needs it as its own; mechanisms that no row needs come last."""
    first: dict[str, BudgetRow | None] = {}
    for row in found:
        if row.mechanisms:
            first.setdefault(row.mechanisms[0], row)
    for name in tables.MECHANISMS:
        first.setdefault(name, None)
    return first


# --- sensitivity to assumptions -----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Sensitivity:
    """The effect of another value of an assumption."""

    value: float
    verdicts: tuple[tuple[str, str, str], ...]  # row, verdict before, verdict after
    figures: int  # rows whose usage, budget or N* changes


def sensitivity(target: Target, measured: Measured, name: str, factor: float) -> Sensitivity:
    other = with_error(target, name, factor)
    was = {row.key: row for row in budget_rows(target, measured)}
    now = {row.key: row for row in budget_rows(other, measured)}
    both = [(was[key], now[key]) for key in was if key in now]
    changed = [(a, b) for a, b in both if (a.usage, a.budget, a.bound) != (b.usage, b.budget, b.bound)]
    verdicts = tuple((a.key, a.verdict, b.verdict) for a, b in changed if a.verdict != b.verdict)
    return Sensitivity(other.assumed(name), verdicts, len(changed))


def sensitivities(target: Target, measured: Measured) -> dict[str, tuple[Sensitivity, Sensitivity]]:
    """For each assumption the effect of a third of it and of three times it."""
    return {
        name: (
            sensitivity(target, measured, name, 1 / ERROR_FACTOR),
            sensitivity(target, measured, name, ERROR_FACTOR),
        )
        for name in RANGES
    }


def figures_without_budget(target: Target, measured: Measured) -> list[tuple[Figure, Usage | None, bool]]:
    """Figures without a budget: their value at the target, and whether it is of peaks.

    The page shows everything that was measured; figures by calls a second have a table of their own.
    """
    found = []
    for figure in join_directions(measured.figures):
        if (
            figure.grows_with not in tables.FLEET_INDEPENDENT_SIZES
            and figure.day != COMPARISON_DAY
            and figure_row(target, figure, 0.0) is None
        ):
            size = tables.size_at_target(target, figure)
            points = hollow_points(figure.points)
            peaks = any(point.peak > 0 for point in points)
            usage = value_at(make_curve(points, peaks), size) if size is not None and points else None
            found.append((figure, usage, peaks))
    return found
