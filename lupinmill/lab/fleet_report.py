"""Report of a fleet run as one HTML page that opens offline: a timeline of each member's state, and a table
of the changes."""

from __future__ import annotations

import html
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402  (the backend has to be chosen first)

from lupinmill.lab.fleet import Event, FleetResult  # noqa: E402
from lupinmill.lab.report import STYLE, svg  # noqa: E402

STATE_COLOURS = {"together": "#9ae6b4", "in doubt": "#faf089", "cut off": "#feb2b2", "alone": "#fc8181"}
DOWN_COLOUR, LEASE_COLOUR, DEATH_COLOUR, FAULT_COLOUR = "#cbd5e0", "#2b6cb0", "#c53030", "#4a5568"
MAX_ROWS = 400


def state_intervals(events: list[Event], who: str, end: float) -> list[tuple[float, float, str]]:
    """The quorum states of one member as (start, end, state); `down` while its process does not run."""
    found, state, since = [], "down", 0.0
    for event in events:
        if event.who != who or event.what not in ("standing", "life"):
            continue
        after = event.state
        if event.what == "life":
            if event.state in ("stopped", "goes on"):
                continue
            after = "alone" if event.state == "started" else "down"
        found.append((since, event.at, state))
        state, since = after, event.at
    found.append((since, end, state))
    return [(start, stop, what) for start, stop, what in found if stop > start]


def lease_intervals(events: list[Event], who: str, end: float) -> list[tuple[float, float, int]]:
    """The leases of one member, according to itself, as (start, end, epoch)."""
    found, since, epoch = [], 0.0, 0
    for event in events:
        if event.who != who:
            continue
        if event.what == "lease" and event.state == "taken":
            since, epoch = event.at, event.epoch
        elif epoch and (event.what == "lease" or event.what == "life" and event.state in ("killed", "left")):
            found.append((since, event.at, epoch))
            epoch = 0
    return found + ([(since, end, epoch)] if epoch else [])


def timeline_svg(result: FleetResult) -> str:
    names = result.fleet.names()
    end = max([result.fleet.seconds, *(event.at for event in result.events[-1:])])
    figure, axis = plt.subplots(figsize=(9.5, 1.2 + 0.22 * len(names)))
    for row, name in enumerate(names):
        for start, stop, what in state_intervals(result.events, name, end):
            axis.barh(
                row,
                stop - start,
                left=start,
                height=0.8,
                color=STATE_COLOURS.get(what, DOWN_COLOUR),
                linewidth=0,
            )
        for start, stop, epoch in lease_intervals(result.events, name, end):
            axis.barh(row, stop - start, left=start, height=0.25, color=LEASE_COLOUR, linewidth=0)
            axis.text(start, row + 0.15, str(epoch), fontsize=6, color=LEASE_COLOUR, va="bottom")
    for event in result.events:
        if event.what == "peer" and event.state == "dead" and event.about in names:
            axis.plot(event.at, names.index(event.about), marker="|", markersize=5, color=DEATH_COLOUR)
        elif event.what == "fault":
            axis.axvline(event.at, color=FAULT_COLOUR, linewidth=0.7, linestyle=":")
            axis.text(event.at, -1.1, event.state, fontsize=6, rotation=30, color=FAULT_COLOUR)
    axis.set_yticks(range(len(names)), names, fontsize=6)
    axis.set_ylim(len(names) - 0.4, -0.6)
    axis.set_xlim(0, end)
    axis.set_xlabel("seconds", fontsize=8)
    axis.tick_params(axis="x", labelsize=8)
    figure.subplots_adjust(top=1 - 0.9 / (1.2 + 0.22 * len(names)))
    return svg(figure)


def event_table(result: FleetResult) -> str:
    shown = [event for event in result.events if event.what != "peer" or event.state in ("dead", "left")]
    cells = []
    for event in shown[:MAX_ROWS]:
        epoch = f"epoch {event.epoch}" if event.epoch else f"number {event.version}" if event.version else ""
        values = (
            f"{event.at:.2f}",
            event.who or "the rig",
            event.what,
            event.about,
            event.state,
            epoch,
            event.why,
        )
        cells.append("<tr>" + "".join(f"<td>{html.escape(value)}</td>" for value in values) + "</tr>")
    more = f"<p class=small>and {len(shown) - MAX_ROWS} more</p>" if len(shown) > MAX_ROWS else ""
    head = "<tr><th>s</th><th>who</th><th>what</th><th>about</th><th>now</th><th></th><th>why</th></tr>"
    return f"<table>{head}{''.join(cells)}</table>{more}"


def page(result: FleetResult) -> str:
    figures = "".join(f"<tr><td>{html.escape(k)}</td><td>{v:g}</td></tr>" for k, v in result.figures.items())
    broken = "".join(f"<p class=bad>{html.escape(text)}</p>" for text in result.broken)
    colours = ", ".join(
        f"<span style='background:{c}'>&nbsp;{n}&nbsp;</span>" for n, c in STATE_COLOURS.items()
    )
    return (
        f"<!doctype html><meta charset=utf-8><title>{html.escape(result.fleet.title)}</title>"
        f"<style>{STYLE}</style><h1>{html.escape(result.fleet.title)}</h1>"
        f"<p>{result.fleet.members} sidecars, {result.driver}, seed {result.seed}. Each bar shows one "
        f"sidecar's own quorum state: {colours}; grey: its process does not run. A thin bar is a lease with "
        f"its epoch; a red mark: another sidecar holds it dead.</p>"
        f"{broken}{timeline_svg(result)}<table>{figures}</table>{event_table(result)}"
    )


def write(path: str, result: FleetResult) -> None:
    Path(path).write_text(page(result))
