"""The page's tables of the run itself: measurements and their fits, hollow members beside real ones, and the
request path. Free of I/O."""

from __future__ import annotations

from lupinmill.lab.scale import capacity, tables
from lupinmill.lab.scale import fit as fits
from lupinmill.lab.scale.measured import Measured
from lupinmill.lab.scale.show import format_amount, format_count, format_number, markdown_table
from lupinmill.lab.scale.target import Target


def run_section(_: Target, measured: Measured) -> str:
    seeds = ", ".join(str(seed) for seed in measured.seeds)
    lines = [
        f"Measured by `{measured.command}` on text {measured.commit}, {measured.date}; seeds {seeds}; "
        f"{measured.cores} cores, one turn of the reference loop {measured.reference_us:.3g} us.",
    ]
    if measured.parts or measured.partial:
        lines.append("")
    lines += [f"- In a run of its own, {part}: {text}" for part, text in measured.parts.items()]
    lines += [f"- Partial: {text}" for text in measured.partial]
    found = []
    for figure in measured.figures:
        sizes = sorted({point.size for point in figure.points})
        fit = figure.fit or fits.fit(figure.points)  # not every run stores a fit
        kind = "one size" if fit is None else "straight" if fit.straight else "not straight"
        line = "" if fit is None else f"power {fit.power:.2f}"
        if fit is not None and fit.straight:
            line = (
                f"{format_amount(fit.intercept, figure.unit)} + {format_amount(fit.slope, figure.unit)} "
                f"each; off by {format_amount(fit.residual, figure.unit)}; {line}"
            )
        found.append((
            figure.role, f"{figure.name}, {figure.day}", figure.grows_with,
            " to ".join(format_count(size) for size in dict.fromkeys((sizes[0], sizes[-1]))) if sizes else "",
            str(len({point.seed for point in figure.points})), kind, line,
            format_number(figure.relative) if figure.relative else "", figure.note,
        ))  # fmt: skip
    head = ("role", "figure", "grows with", "sizes", "seeds", "fit", "line", "times the reference", "where")
    text = "\n".join(lines) + "\n\n" + (markdown_table(head, found) if found else "No figures yet.")
    return text + "\n\n" + comparison_table(measured)


def comparison_table(measured: Measured) -> str:
    """Hollow members beside real processes, at sizes where both were run."""
    found = []
    for figure in measured.figures:
        for size in sorted({point.size for point in figure.points}):
            means = [
                [p.mean for p in figure.points if p.size == size and p.hollow is kind]
                for kind in (True, False)
            ]
            if all(means):
                hollow, real = (sum(one) / len(one) for one in means)
                found.append((
                    figure.role, f"{figure.name}, {figure.day}", format_count(size),
                    format_amount(hollow, figure.unit),
                    format_amount(real, figure.unit), f"{100 * (hollow / real - 1):+.0f}%" if real else "",
                ))  # fmt: skip
    if not found:
        return "No fleet of real processes was run beside hollow ones in this run."
    head = ("role", "figure", "size", "hollow", "real", "hollow is off by")
    return "Hollow members beside real processes:\n\n" + markdown_table(head, found)


def added_time_section(_: Target, measured: Measured) -> str:
    """Time added to a call, and its components."""
    rates = sorted({one.calls_a_second for one in measured.added})
    if not rates:
        return "Not measured."
    parts = [figure for figure in measured.figures if figure.grows_with in tables.FLEET_INDEPENDENT_SIZES]
    rows: list[list[str]] = []
    for rate in rates:
        runs = [one for one in measured.added if one.calls_a_second == rate]
        rows.append([format_number(rate), str(len(runs))])
        for name in ("straight_p50", "straight_p99", "through_p50", "through_p99"):
            rows[-1].append(format_spread([getattr(one, name) for one in runs], "s"))
        rows[-1].append(format_spread([one.through_p50 - one.straight_p50 for one in runs], "s"))
        rows[-1].append(format_spread([one.through_p99 - one.straight_p99 for one in runs], "s"))
    text = markdown_table(
        ("calls a second", "seeds", "straight p50", "p99", "through p50", "p99", "added p50", "p99"), rows
    )
    disturbed_rates = [format_number(rate) for rate in rates if capacity.disturbed(measured, rate)]
    if disturbed_rates:
        text = (
            f"**Disturbed** at {', '.join(disturbed_rates)} calls a second: the sidecar waited for a core "
            "that other runs had. Its times there are of that load too and judge nothing; to be run anew "
            "on a quiet machine.\n\n"
        ) + text
    component_rows = []
    for figure in parts:
        statistic = {"added": "p50", "added by a bare hop": "p50"}.get(figure.name, "mean")
        cells = [f"{figure.name}, {statistic}"]
        for rate in rates:
            cells.append(format_spread([p.mean for p in figure.points if p.size == rate], figure.unit))
        component_rows.append(cells)
    if component_rows:
        text += "\n\nWhat it is made of, by calls a second:\n\n" + markdown_table(
            ("part", *map(format_number, rates)), component_rows
        )
        text += "\n\nWhere: " + "; ".join(dict.fromkeys(figure.note for figure in parts)) + "."
    return text


def format_spread(values: list[float], unit: str) -> str:
    """Mean over seeds, with the smallest and the largest value."""
    if not values:
        return ""
    text = format_amount(sum(values) / len(values), unit)
    return (
        text
        if len(values) == 1
        else f"{text} ({format_amount(min(values), unit)} to {format_amount(max(values), unit)})"
    )
