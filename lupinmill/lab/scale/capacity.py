"""Measured slopes times the target: each budget's use, N*, the order of the next mechanisms, and the choice
of the first. Pure.

N* is a size of the whole fleet, in the target's proportions: half the sidecars have half the changes. Budgets
break at peaks: where peaks were measured the worst seed's counts, else the mean over seeds."""

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
from lupinmill.lab.scale.row import BREAKS, HOLDS, UNKNOWN, Row, verdict
from lupinmill.lab.scale.tables import ADDED, BESIDE, CHANGES, CORE, KINDS, ONE_RELAY, Kind
from lupinmill.lab.scale.target import RANGES, Target, wrong_by

WRONG = 3.0
IN, OUT = "bytes in", "bytes out"


def rows(target: Target, measured: Measured) -> list[Row]:
    """By N*, smallest first."""
    found = computed.rows(target) + added(target, measured)
    for figure in joined(measured.figures):
        one = of_figure(target, figure, fleet_run(measured))
        if one is not None:
            found.append(one)
    return sorted(found, key=lambda row: (row.bound.sort_key, row.role, row.key))


def kind_of(figure: Figure) -> Kind | None:
    return None if figure.day == BESIDE else next((kind for kind in KINDS if kind.takes(figure)), None)


def fleet_run(measured: Measured) -> float:
    """The largest fleet behind relays. Figures by changes a second are of that one, at other rates of
    changes."""
    sizes = [
        point.size
        for figure in measured.figures
        if figure.role == "relay"
        and figure.grows_with == "sidecars"
        and not figure.name.startswith(ONE_RELAY)
        for point in figure.points
    ]
    return max(sizes, default=0.0)


def of_figure(target: Target, figure: Figure, largest: float) -> Row | None:
    """None where no budget is set for it, or the target has no such size. `largest`: `fleet_run`."""
    kind, size = kind_of(figure), tables.size(target, figure)
    if kind is None or size is None or not figure.points:
        return None
    faster = (
        1 / target.assumed("pace") if CORE in (figure.unit, kind.files) or kind.budget == "look_s" else 1.0
    )
    points, unit = hollow(figure.points), kind.files or figure.unit
    if kind.files:
        points = [each(point, tables.new_files(target, point.size)) for point in points]
    peaks = any(point.peak > 0 for point in points)
    dearest = make_curve(points, peaks).scaled(faster)
    budget = tables.BUDGETS[kind.budget](target)
    use = value_at(dearest, size)
    mean = value_at(make_curve(points, False).scaled(faster), size) if peaks else None
    bound = in_fleet(target, dearest, budget, size, figure.grows_with)
    if figure.grows_with == CHANGES:
        use, bound = in_that_fleet(target, use, bound, largest)
    return Row(
        f"{figure.role} {figure.name} {figure.day}, by {figure.grows_with}", figure.role, what(figure, kind),
        unit, budget, use, bound, verdict(use, budget), kind.carried, kind.next, kind.fatal,
        added=kind.added, mean=mean, mean_is=kind.mean, after=kind.after,
    )  # fmt: skip


def in_that_fleet(target: Target, use: Usage, bound: Bound, largest: float) -> tuple[Usage, Bound]:
    """Guards against a fleet larger than the one run: more changes a second were played, more sidecars
    not."""
    if target.fleet.sidecars > largest * (1 + SIZE_TOLERANCE):
        use = Usage(use.amount, AT_LAST_SIZE, largest)
    return use, bound if bound.sort_key < (largest, 0) else Bound("over", largest)


def what(figure: Figure, kind: Kind) -> str:
    if kind.files:
        return f"{figure.name}, a new one for each machine that comes back"
    of = f"{kind.added}: " if kind.added and figure.role == "sidecar" else ""
    return f"{of}{figure.name}, {figure.day}"


def each(point: Point, times: float) -> Point:
    return msgspec.structs.replace(point, mean=point.mean * times, peak=point.peak * times)


def hollow(points: list[Point]) -> list[Point]:
    """Real processes stand beside hollow members to be compared with them, and are counted where they stand
    alone."""
    return [point for point in points if point.hollow] or points


def in_fleet(target: Target, curve: Curve, budget: float, size: float, grows_with: str) -> Bound:
    if grows_with in tables.APART:
        found = verdict(value_at(curve, size), budget)
        return {BREAKS: ANY_SIZE, HOLDS: NEVER}.get(found, Bound("unknown"))
    return breaking_size(curve, budget).scaled(target.fleet.sidecars / size)


def joined(figures: list[Figure]) -> list[Figure]:
    """Bytes in and out of one role on one day as one figure, as budgets are of both. Sums of two peaks are
    more than the peak of the sum, never less."""
    ways = {key_of(figure): figure for figure in figures if figure.name.endswith(IN)}
    found = []
    for figure in figures:
        other = msgspec.structs.replace(figure, name=figure.name.removesuffix(OUT) + IN)
        if figure.name.endswith(OUT) and key_of(other) in ways:
            points = sums(figure, ways.pop(key_of(other)))
            found.append(
                msgspec.structs.replace(figure, name=figure.name.removesuffix(" out"), points=points)
            )
        elif not figure.name.endswith(IN):
            found.append(figure)
    return found + list(ways.values())


def key_of(figure: Figure) -> tuple[str, str, str, str]:
    return figure.role, figure.name, figure.day, figure.grows_with


def sums(one: Figure, two: Figure) -> list[Point]:
    other = {(point.size, point.seed, point.hollow): point for point in two.points}
    found = []
    for point in one.points:
        if same := other.get((point.size, point.seed, point.hollow)):
            found.append(
                msgspec.structs.replace(point, mean=point.mean + same.mean, peak=point.peak + same.peak)
            )
    return found


def added(target: Target, measured: Measured) -> list[Row]:
    """Time added to a call, at the mean rate and at the hottest sidecar's. A run in which the sidecar waited
    for a core judges nothing: it measured the machine's other load."""
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
        use, why = value_at(curve, rate), ""
        bound, judged = in_fleet(target, curve, budget, rate, "calls a second"), verdict(use, budget)
        if disturbed(measured, rate):
            bound, judged, why = Bound("unknown"), UNKNOWN, ", disturbed by other load"
        found.append(
            Row(
                f"added {name}", "sidecar", f"time added to a call for 99 in 100, {name} sidecar{why}", "s",
                budget, use, bound, judged, "lupinmill/routing/", (ADDED,), True, control=False,
            )
        )  # fmt: skip
    return found


def disturbed(measured: Measured, rate: float) -> bool:
    """By the measured rate nearest to that one."""
    parts = {figure.name: figure.points for figure in measured.figures if figure.grows_with in tables.APART}
    waited, cpu = parts.get("core waited for a call"), parts.get("cpu a call")
    if not waited or not cpu:
        return False
    nearest = min((point.size for point in waited), key=lambda size: abs(size - rate))
    means = [value_at(make_curve(points, False), nearest).amount for points in (waited, cpu)]
    return means[0] > tables.DISTURBED * means[1]


# --- order and choice ---------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Choice:
    row: Row
    mechanism: str
    equals: tuple[Row, ...]  # rows with the same N*, this one among them
    stand: dict[str, int]  # rows that break, by mechanism that they stand on


def standing(found: list[Row]) -> dict[str, int]:
    count: dict[str, int] = {}
    for row in found:
        if row.verdict == BREAKS:
            for name in row.next:
                count[name] = count.get(name, 0) + 1
    return count


def choose(found: list[Row]) -> Choice | None:
    """The row of control with the smallest N* whose failing makes the target impossible; of equals the one
    whose mechanism more rows stand on. Judged on the text without any mechanism of this page."""
    text = [row for row in found if not row.added]
    may = [row for row in text if row.control and row.fatal and row.verdict == BREAKS and row.next]
    if not may:
        return None
    stand = standing(text)
    least = min(row.bound.sort_key for row in may)
    equals = tuple(row for row in may if row.bound.sort_key == least)
    best = min(equals, key=lambda row: (-stand[row.next[0]], row.key))
    return Choice(best, best.next[0], equals, stand)


def after(target: Target, measured: Measured, row: Row) -> list[Row]:
    """What a row has become with its mechanism, from the figures measured of it."""
    found = [figure for figure in joined(measured.figures) if row.after and row.after in figure.name]
    largest = fleet_run(measured)
    there = [one for one in computed.rows(target) if one.key == row.after]
    return there + [one for figure in found if (one := of_figure(target, figure, largest)) is not None]


def next_rows(target: Target, measured: Measured, found: list[Row]) -> list[Row]:
    """Rows that break or aren't known with all that is in the text now, smallest N* first: the order of the
    next mechanisms. A row whose mechanism is measured counts by what it has become."""
    return [row for row in found if row.verdict != HOLDS and row.next and not after(target, measured, row)]


def mechanisms(found: list[Row]) -> dict[str, Row | None]:
    """Each mechanism by the first row that wants it as its own; those that no row wants come last."""
    first: dict[str, Row | None] = {}
    for row in found:
        if row.next:
            first.setdefault(row.next[0], row)
    for name in tables.MECHANISMS:
        first.setdefault(name, None)
    return first


# --- wrong by three -----------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Moved:
    """What another value of an assumption does."""

    value: float
    verdicts: tuple[tuple[str, str, str], ...]  # row, was, would be
    figures: int  # rows whose use, budget or N* moves at all


def moved(target: Target, measured: Measured, name: str, factor: float) -> Moved:
    other = wrong_by(target, name, factor)
    was = {row.key: row for row in rows(target, measured)}
    now = {row.key: row for row in rows(other, measured)}
    both = [(was[key], now[key]) for key in was if key in now]
    changed = [(a, b) for a, b in both if (a.use, a.budget, a.bound) != (b.use, b.budget, b.bound)]
    verdicts = tuple((a.key, a.verdict, b.verdict) for a, b in changed if a.verdict != b.verdict)
    return Moved(other.assumed(name), verdicts, len(changed))


def all_moved(target: Target, measured: Measured) -> dict[str, tuple[Moved, Moved]]:
    """By assumption: a third of it, and three times."""
    return {
        name: (moved(target, measured, name, 1 / WRONG), moved(target, measured, name, WRONG))
        for name in RANGES
    }


def unbudgeted(target: Target, measured: Measured) -> list[tuple[Figure, Usage | None, bool]]:
    """Figures without a budget: their value at the target, and whether it is of peaks. Nothing measured is
    left out of the page; those by calls a second have a table of their own."""
    found = []
    for figure in joined(measured.figures):
        if (
            figure.grows_with not in tables.APART
            and figure.day != BESIDE
            and of_figure(target, figure, 0.0) is None
        ):
            size = tables.size(target, figure)
            points = hollow(figure.points)
            peaks = any(point.peak > 0 for point in points)
            use = value_at(make_curve(points, peaks), size) if size is not None and points else None
            found.append((figure, use, peaks))
    return found
