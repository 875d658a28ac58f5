"""What `lupinmill lab slopes` holds its own figures to: shapes, bounds, hollow against real. No times are
judged. Pure."""

from __future__ import annotations

from lupinmill.lab.scale import honest
from lupinmill.lab.scale.loopback import FleetRates
from lupinmill.lab.scale.measured import Figure

FLAT = 0.05  # exponent up to which a figure counts as flat in N
FLAT_ONES = ("messages out", "messages in", "bytes out", "bytes in")
# A round is 0.2 s: a probe and an answer, in every tenth a table and its answer; helpers now and then.
MOST_MESSAGES, MOST_BYTES = 13.0, 1_300.0
RATES = {"messages out": MOST_MESSAGES, "messages in": MOST_MESSAGES}
RATES |= {"bytes out": MOST_BYTES, "bytes in": MOST_BYTES}


def quiet_ones(figures: list[Figure]) -> dict[str, Figure]:
    return {
        one.name: one
        for one in figures
        if (one.role, one.day, one.grows_with) == ("sidecar", "quiet", "members")
    }


def wrong(figures: list[Figure]) -> list[str]:
    """Bounds of a quiet fleet: what one member sends and hears is flat in N, and it holds a row for each."""
    found, quiet = [], quiet_ones(figures)
    for name in FLAT_ONES:
        figure = quiet.get(name)
        if figure is None:
            found.append(f"sidecar, quiet, {name}: was not measured")
            continue
        if figure.fit is None or abs(figure.fit.power) > FLAT:
            power = "unknown" if figure.fit is None else f"{figure.fit.power:.2f}"
            found.append(f"sidecar, quiet, {name}: grows with the power {power} of members, flat is wanted")
        most = max(point.mean for point in figure.points)
        if not 0 < most <= RATES[name]:
            found.append(f"sidecar, quiet, {name}: {most:.4g} {figure.unit}, wants up to {RATES[name]:g}")
    rows = quiet.get("rows")
    if rows is None or any(abs(point.mean - point.size) > 0.01 for point in rows.points):
        found.append("sidecar, quiet, rows: not every member holds all for present")
    return found


def compared(real: FleetRates, hollow: FleetRates) -> str:
    """One line for people."""
    apart = honest.differences(real, hollow)
    rows = ", ".join(f"{name.replace('_', ' ')} {part:.1%}" for name, part in apart.items())
    return (
        f"{real.members} real sidecars against {hollow.members} hollow ones over sockets, by the probe: "
        f"{rows} apart; probes {real.probes:.3f} against {hollow.probes:.3f} a second, CPU {real.cpu:.4f} "
        f"against {hollow.cpu:.4f} of a core"
    )
