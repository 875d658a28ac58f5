"""Checks of the figures of `lupinmill lab slopes`: shapes, bounds, hollow against real. Free of I/O.

Times are not checked."""

from __future__ import annotations

from lupinmill.lab.scale import honest
from lupinmill.lab.scale.loopback import FleetRates
from lupinmill.lab.scale.measured import Figure

MAX_FLAT_EXPONENT = 0.05  # largest exponent at which a figure counts as independent of N
FLAT_FIGURES = ("messages out", "messages in", "bytes out", "bytes in")
# Per second, at rounds of 0.2 s: a probe and its answer in each, a table and its answer in one of ten, and
# some indirect probes.
MAX_MESSAGES, MAX_BYTES = 13.0, 1_300.0
MAX_RATES = {"messages out": MAX_MESSAGES, "messages in": MAX_MESSAGES}
MAX_RATES |= {"bytes out": MAX_BYTES, "bytes in": MAX_BYTES}


def quiet_figures(figures: list[Figure]) -> dict[str, Figure]:
    return {
        one.name: one
        for one in figures
        if (one.role, one.day, one.grows_with) == ("sidecar", "quiet", "members")
    }


def violations(figures: list[Figure]) -> list[str]:
    """Violations in a quiet fleet: a member's traffic must not grow with N, and it must hold a row each."""
    found, quiet = [], quiet_figures(figures)
    for name in FLAT_FIGURES:
        figure = quiet.get(name)
        if figure is None:
            found.append(f"sidecar, quiet, {name}: was not measured")
            continue
        if figure.fit is None or abs(figure.fit.power) > MAX_FLAT_EXPONENT:
            power = "unknown" if figure.fit is None else f"{figure.fit.power:.2f}"
            found.append(f"sidecar, quiet, {name}: grows with the power {power} of members, expected flat")
        highest = max(point.mean for point in figure.points)
        if not 0 < highest <= MAX_RATES[name]:
            found.append(
                f"sidecar, quiet, {name}: {highest:.4g} {figure.unit}, expected up to {MAX_RATES[name]:g}"
            )
    rows = quiet.get("rows")
    if rows is None or any(abs(point.mean - point.size) > 0.01 for point in rows.points):
        found.append("sidecar, quiet, rows: not every member regards all others as present")
    return found


def summarize_comparison(real: FleetRates, hollow: FleetRates) -> str:
    """A one-line summary of the comparison."""
    differences = honest.differences(real, hollow)
    rows = ", ".join(f"{name.replace('_', ' ')} {part:.1%}" for name, part in differences.items())
    return (
        f"{real.members} real sidecars against {hollow.members} hollow ones over sockets, by the probe: "
        f"{rows} apart; probes {real.probes:.3f} against {hollow.probes:.3f} a second, CPU {real.cpu:.4f} "
        f"against {hollow.cpu:.4f} of a core"
    )
