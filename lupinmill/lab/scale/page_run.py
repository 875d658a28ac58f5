"""The page's tables of the run itself: what was measured and how it was fitted, hollow members beside real
ones, and the ordinary path. Pure."""

from __future__ import annotations

from lupinmill.lab.scale import capacity, tables
from lupinmill.lab.scale import fit as fits
from lupinmill.lab.scale.measured import Measured
from lupinmill.lab.scale.show import amount, count, digits, table
from lupinmill.lab.scale.target import Target


def of_run(_: Target, measured: Measured) -> str:
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
        fit = figure.fit or fits.fit(figure.points)  # not all runs write it
        kind = "one size" if fit is None else "straight" if fit.straight else "not straight"
        line = "" if fit is None else f"power {fit.power:.2f}"
        if fit is not None and fit.straight:
            line = (
                f"{amount(fit.intercept, figure.unit)} + {amount(fit.slope, figure.unit)} each; "
                f"off by {amount(fit.residual, figure.unit)}; {line}"
            )
        found.append((
            figure.role, f"{figure.name}, {figure.day}", figure.grows_with,
            " to ".join(count(size) for size in dict.fromkeys((sizes[0], sizes[-1]))) if sizes else "",
            str(len({point.seed for point in figure.points})), kind, line,
            digits(figure.relative) if figure.relative else "", figure.note,
        ))  # fmt: skip
    head = ("role", "figure", "grows with", "sizes", "seeds", "fit", "line", "times the reference", "where")
    text = "\n".join(lines) + "\n\n" + (table(head, found) if found else "No figures yet.")
    return text + "\n\n" + of_both(measured)


def of_both(measured: Measured) -> str:
    """Hollow members beside real processes, where both were run at one size."""
    found = []
    for figure in measured.figures:
        for size in sorted({point.size for point in figure.points}):
            two = [
                [p.mean for p in figure.points if p.size == size and p.hollow is kind]
                for kind in (True, False)
            ]
            if all(two):
                hollow, real = (sum(one) / len(one) for one in two)
                found.append((
                    figure.role, f"{figure.name}, {figure.day}", count(size), amount(hollow, figure.unit),
                    amount(real, figure.unit), f"{100 * (hollow / real - 1):+.0f}%" if real else "",
                ))  # fmt: skip
    if not found:
        return "No fleet of real processes was run beside hollow ones in this run."
    head = ("role", "figure", "size", "hollow", "real", "hollow is off by")
    return "Hollow members beside real processes:\n\n" + table(head, found)


def of_path(_: Target, measured: Measured) -> str:
    """Time added to a call, and what it is made of."""
    rates = sorted({one.calls_a_second for one in measured.added})
    if not rates:
        return "Not measured."
    parts = [f for f in measured.figures if f.grows_with in tables.FLEET_INDEPENDENT_SIZES]
    rows: list[list[str]] = []
    for rate in rates:
        runs = [one for one in measured.added if one.calls_a_second == rate]
        rows.append([digits(rate), str(len(runs))])
        for name in ("straight_p50", "straight_p99", "through_p50", "through_p99"):
            rows[-1].append(spread([getattr(one, name) for one in runs], "s"))
        rows[-1].append(spread([one.through_p50 - one.straight_p50 for one in runs], "s"))
        rows[-1].append(spread([one.through_p99 - one.straight_p99 for one in runs], "s"))
    text = table(
        ("calls a second", "seeds", "straight p50", "p99", "through p50", "p99", "added p50", "p99"), rows
    )
    late = [digits(rate) for rate in rates if capacity.disturbed(measured, rate)]
    if late:
        text = (
            f"**Disturbed** at {', '.join(late)} calls a second: the sidecar waited for a core that other "
            "runs had. Its times there are of that load too and judge nothing; to be run anew on a quiet "
            "machine.\n\n"
        ) + text
    made = []
    for figure in parts:
        of = {"added": "p50", "added by a bare hop": "p50"}.get(figure.name, "mean")
        cells = [f"{figure.name}, {of}"]
        for rate in rates:
            cells.append(spread([p.mean for p in figure.points if p.size == rate], figure.unit))
        made.append(cells)
    if made:
        text += "\n\nWhat it is made of, by calls a second:\n\n" + table(("part", *map(digits, rates)), made)
        text += "\n\nWhere: " + "; ".join(dict.fromkeys(f.note for f in parts)) + "."
    return text


def spread(values: list[float], unit: str) -> str:
    """Mean over seeds, and how far they lie apart."""
    if not values:
        return ""
    text = amount(sum(values) / len(values), unit)
    return (
        text if len(values) == 1 else f"{text} ({amount(min(values), unit)} to {amount(max(values), unit)})"
    )
