"""Writes results as one self-contained HTML page: figures, charts over time with troubles shaded, and
latency."""

from __future__ import annotations

import html
import io
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402  (the backend must be selected before the import)

from lupinmill.lab.result import Result  # noqa: E402

COLOURS = ["#2b6cb0", "#c05621", "#2f855a", "#805ad5", "#b83280", "#4a5568"]
STYLE = """
body{font:15px/1.45 system-ui,sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem;color:#1a202c}
table{border-collapse:collapse;margin:1rem 0}
td,th{padding:.25rem .7rem;border-bottom:1px solid #cbd5e0;text-align:right}
td:first-child,th:first-child{text-align:left}.bad{color:#c53030;font-weight:600}svg{max-width:100%;height:auto}
.small{color:#4a5568;font-size:.85rem}
"""
PANELS = [
    ("service", "value answered in time, part", lambda s: s.earned / s.worth if s.worth else None),
    ("asked and denied a second", "a second", lambda s: s.asked),
    ("launches a try", "launches", lambda s: s.launches / s.tries if s.tries else None),
    ("held at a mean endpoint", "requests", lambda s: s.held),
    ("common cap", "launches an endpoint", lambda s: s.cap or None),
    ("set aside, over all sidecars", "endpoints", lambda s: s.aside),
]


def svg(figure: plt.Figure) -> str:
    """Returns the chart as inline SVG. Ids come from a fixed salt, so that the page of a result is
    reproducible."""
    buffer = io.StringIO()
    with plt.rc_context({"svg.hashsalt": "lupinmill", "svg.fonttype": "none"}):
        figure.savefig(buffer, format="svg", metadata={"Date": None})
    plt.close(figure)
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def labels(results: list[Result]) -> list[str]:
    found = [f"{one.name}, {one.policy}, seed {one.seed}, {one.driver}" for one in results]
    return [f"{at}: {text}" for at, text in enumerate(found, 1)] if len(set(found)) < len(found) else found


def over_time(results: list[Result]) -> str:
    figure, axes = plt.subplots(len(PANELS), 1, figsize=(9, 2.1 * len(PANELS)), sharex=True)
    for axis, (title, unit, value) in zip(axes, PANELS):
        for at, one in enumerate(results):
            colour = COLOURS[at % len(COLOURS)]
            points = [(second + 0.5, value(entry)) for second, entry in enumerate(one.seconds)]
            points = [(x, y) for x, y in points if y is not None]
            axis.plot([x for x, _ in points], [y for _, y in points], color=colour, linewidth=1.3)
            if title.startswith("asked"):
                denied = [(second + 0.5, entry.denied) for second, entry in enumerate(one.seconds)]
                axis.plot(
                    [x for x, _ in denied], [y for _, y in denied], color=colour, linewidth=1, linestyle=":"
                )
        if results:
            shade(axis, results[0])
        axis.set_title(title, loc="left", fontsize=9)
        axis.set_ylabel(unit, fontsize=8)
        axis.tick_params(labelsize=8)
        axis.margins(x=0)
        axis.set_ylim(bottom=0)
    axes[-1].set_xlabel("seconds", fontsize=8)
    figure.tight_layout()
    return svg(figure)


def shade(axis: plt.Axes, one: Result) -> None:
    for at, trouble in enumerate(one.troubles):
        axis.axvspan(trouble.began, trouble.ended, color="#a0aec0", alpha=0.22, linewidth=0)
        axis.text(
            trouble.began,
            1.0 - 0.11 * (at % 4),
            trouble.kind,
            fontsize=6,
            color="#4a5568",
            va="top",
            transform=axis.get_xaxis_transform(),
        )


def latency(results: list[Result]) -> str:
    figure, axis = plt.subplots(figsize=(9, 3.2))
    for at, one in enumerate(results):
        for kind, (name, points) in enumerate(sorted(one.figures.latency_ms.items())):
            shares = [float(key[1:]) for key in points]
            axis.plot(
                [max(0.0, 100 - share) or 0.05 for share in shares],
                list(points.values()),
                marker="o",
                markersize=3,
                color=COLOURS[at % len(COLOURS)],
                linestyle=["-", "--", ":", "-."][kind % 4],
                label=f"{name} ({labels(results)[at]})",
            )
    axis.set_xscale("log")
    axis.set_yscale("log")
    axis.invert_xaxis()
    axis.set_xlabel("slower ones, in 100 handled", fontsize=8)
    axis.set_ylabel("ms from when it was due", fontsize=8)
    if axis.lines:
        axis.legend(fontsize=7)
    axis.grid(alpha=0.3)
    figure.tight_layout()
    return svg(figure)


def figures_table(results: list[Result]) -> str:
    rows = [("", labels(results))]
    for title, value in (
        ("service", lambda r: f"{r.figures.service:.3f}"),
        ("goal", lambda r: f"{r.figures.goal:.3f}"),
        ("worst 10 s", lambda r: f"{r.figures.worst_window:.3f}"),
        ("asked", lambda r: f"{r.figures.asked}"),
        ("handled in time", lambda r: f"{r.figures.in_time}"),
        ("denied", lambda r: f"{r.figures.denied}"),
        ("broken off", lambda r: f"{r.figures.broken_off}"),
        ("unreachable", lambda r: f"{r.figures.unreachable}"),
        ("launches a submission", lambda r: f"{r.figures.launches_per_submission:.2f}"),
        ("retries by clients", lambda r: f"{r.figures.retries_by_clients:.2f}"),
        ("waste", lambda r: f"{r.figures.waste:.3f}"),
        ("load, part of capacity", lambda r: f"{r.rate / r.capacity:.2f}" if r.capacity else "-"),
        ("sidecars, endpoints", lambda r: f"{r.sidecars}, {r.endpoints}"),
        ("rules broken", lambda r: ", ".join(f"{k}: {v}" for k, v in r.rules.items() if v) or "none"),
        ("steps", lambda r: f"{r.steps}"),
        ("wall time", lambda r: f"{r.wall_s:.1f} s"),
    ):
        rows.append((title, [value(one) for one in results]))
    cells = "".join(
        f"<tr><td>{html.escape(title)}</td>"
        + "".join(f"<td>{html.escape(text)}</td>" for text in texts)
        + "</tr>"
        for title, texts in rows
    )
    return f"<table>{cells}</table>"


def broken_list(results: list[Result]) -> str:
    lines = [
        f"<li class=bad>seed {one.seed}, second {b.second}: rule {b.rule}, {html.escape(b.what)}: "
        f"{html.escape(b.text)}</li>"
        for one in results
        for b in one.broken
    ]
    lines += [
        f"<li class=bad>seed {one.seed}: void, {html.escape(one.void)}</li>" for one in results if one.void
    ]
    lines += [
        f"<li class=bad>seed {one.seed}: stopped before its end</li>" for one in results if not one.complete
    ]
    return f"<ul>{''.join(lines)}</ul>" if lines else "<p>All four rules kept.</p>"


def page(results: list[Result]) -> str:
    first = results[0]
    title = first.scenario.get("title") or first.name
    troubles = "".join(
        f"<tr><td>{html.escape(t.kind)}</td><td>{t.began:.1f} to {t.ended:.1f} s</td>"
        f"<td>{html.escape(t.what)}</td></tr>"
        for t in first.troubles
    )
    notes = "\n".join(f"{at:9.3f}  {who:<10} {text}" for at, who, text in first.notes[:400])
    none = "<tr><td>none</td></tr>"
    played = f"Version {html.escape(first.version)}; {html.escape(first.machine)}."
    return f"""<!doctype html><html lang="en"><head><meta charset="utf-8">
<title>{html.escape(title)}</title>
<style>{STYLE}</style></head><body>
<h1>{html.escape(title)}</h1>
<p class="small">Figures are of simulated servers. {played}</p>
{figures_table(results)}
<h2>Rules</h2>{broken_list(results)}
<h2>Troubles</h2><table>{troubles or none}</table>
<h2>Over time</h2><p class="small">Dotted: denied. Shaded: troubles of the first result.</p>
{over_time(results)}
<h2>Latency of what was handled</h2>{latency(results)}
<h2>What the sidecars logged (first result)</h2><pre class="small">{html.escape(notes)}</pre>
</body></html>
"""


def write(path: str | Path, results: list[Result]) -> None:
    Path(path).write_text(page(results), encoding="utf-8")
