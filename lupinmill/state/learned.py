"""What the decision module has learned, as a plain table, and back. Pure. It decides nothing: figures that
can't be read, or are of what no list names, are left out, and the module starts there as it would anyway."""

from __future__ import annotations

from math import isfinite
from typing import Any

from lupinmill.rules import CAP_TOP, Sidecar
from lupinmill.workings import Ring

Table = dict[str, Any]


def learned(sidecar: Sidecar) -> Table:
    desk = sidecar.desk
    return {
        "beside": desk.allow.beside,
        "came": ring(desk.came),
        "began": desk.began,
        "unhurried": desk.unhurried,
        "each": desk.each,
        "kinds": desk.kinds,
        "cap": desk.cap * desk.allow.sharers / max(1, desk.allow.told),  # as among so many as told
        "crowding": desk.crowding,
        "gauges": {
            name: [gauge.usual, gauge.uncrowded, list(gauge.means)] for name, gauge in desk.gauges.items()
        },
        "taken": ring(desk.taken),
        "retried": ring(desk.retried),
        "launched": ring(desk.launched),
        "endpoints": {
            name: {
                "mode": one.mode,
                "share": one.share,
                "pace": one.pace,
                "answers": one.answers,
                "broken": one.broken,
                "rest": one.rest,
                "cold_since": one.cold_since,
                "heard": one.heard,
            }
            for name, one in desk.endpoints.items()
        },
    }


def recall(sidecar: Sidecar, table: Table, now: int) -> None:
    """Into a module that has its list already. Budgets count as spent; what was set aside stays so, and is
    probed anew; who was on trial goes on. Nothing is taken from the other shape of deployment: there a cap
    counts launches, here multiples of what own traffic keeps in flight, or the other way round."""
    desk = sidecar.desk
    if bool(table.get("beside")) is not desk.allow.beside:
        return
    desk.mail.now = now
    desk.cap = min(float(CAP_TOP), max(desk.allow.cap_floor, number(table.get("cap"), desk.cap)))
    desk.began, desk.unhurried = int(table.get("began", -1)), number(table.get("unhurried"), 0.0)
    desk.each = max(0.0, number(table.get("each"), 0.0))
    desk.kinds = {str(kind): number(pace, 1.0) for kind, pace in table.get("kinds", {}).items()}
    desk.crowding = min(8.0, max(0.0, number(table.get("crowding"), 1.0)))
    for name, (usual, uncrowded, means) in table.get("gauges", {}).items():
        if name in desk.allow.workloads:
            gauge = desk.gauge(desk.allow.workloads[name])
            gauge.usual, gauge.uncrowded = float(usual), float(uncrowded)
            gauge.means.extend(float(mean) for mean in means)
    rings = (desk.taken, "taken"), (desk.retried, "retried"), (desk.launched, "launched"), (desk.came, "came")
    for kept, pairs in rings:
        fill(kept, table.get(pairs, []))
    for name, said in table.get("endpoints", {}).items():
        one = desk.endpoints.get(name)
        if one is None:
            continue
        one.share = min(1.0, max(0.1, number(said.get("share"), 1.0)))
        one.pace = None if said.get("pace") is None else min(8.0, number(said["pace"], 1.0))
        one.answers, one.broken = int(said.get("answers", 0)), int(said.get("broken", 0))
        one.rest, one.heard = int(said.get("rest", one.rest)), int(said.get("heard", 0))
        # The list that this process was told may know of a start that the other one had not heard of.
        one.cold_since = max(one.cold_since or 0, int(said.get("cold_since") or 0)) or None
        if said.get("mode") in ("aside", "trial"):
            one.mode = said["mode"]
            if one.mode == "aside":
                one.schedule_probe(desk.chance.upto(one.rest // 4))
        one.tell()
    sidecar.mail.run()


def number(value: Any, usual: float) -> float:
    known = isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value)
    return float(value) if known else usual


def ring(kept: Ring) -> list[list[float]]:
    return [[mark, total] for mark, total in zip(kept.marks, kept.sums) if mark >= 0]


def fill(kept: Ring, pairs: list[list[float]]) -> None:
    """Both processes go by the same clock, so buckets fit."""
    for mark, total in pairs:
        slot = int(mark) % len(kept.sums)
        if kept.marks[slot] < mark:
            kept.marks[slot], kept.sums[slot] = int(mark), float(total)
