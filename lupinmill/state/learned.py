"""What the decision module has learned, as a plain table, and back. Pure. It decides nothing: figures that
can't be read, or are of what no list names, are left out, and the module starts there as it would anyway."""

from __future__ import annotations

from math import isfinite
from typing import Any

from lupinmill.rules import MAX_CAP, Sidecar
from lupinmill.workings import BucketedSum

Table = dict[str, Any]


def learned(sidecar: Sidecar) -> Table:
    dispatcher = sidecar.dispatcher
    return {
        "beside": dispatcher.settings.sidecar_per_client,
        "came": bucket_pairs(dispatcher.arrivals),
        "began": dispatcher.arrivals_since,
        "unhurried": dispatcher.uncrowded_latency,
        "each": dispatcher.warm_rate,
        "kinds": dispatcher.pace_by_kind,
        "cap": dispatcher.cap
        * dispatcher.settings.active_sidecars
        / max(1, dispatcher.settings.configured_sidecars),  # as among so many as told
        "crowding": dispatcher.crowding,
        "gauges": {
            name: [gauge.current, gauge.uncrowded, list(gauge.means)]
            for name, gauge in dispatcher.latency_estimates.items()
        },
        "taken": bucket_pairs(dispatcher.new_requests),
        "retried": bucket_pairs(dispatcher.retries),
        "launched": bucket_pairs(dispatcher.attempts_sent),
        "endpoints": {
            name: {
                "mode": one.mode,
                "share": one.share,
                "pace": one.pace,
                "answers": one.answers,
                "broken": one.connection_failures,
                "rest": one.ejection_time,
                "cold_since": one.cold_since,
                "heard": one.last_heard,
            }
            for name, one in dispatcher.endpoints.items()
        },
    }


def recall(sidecar: Sidecar, table: Table, now: int) -> None:
    """Into a module that has its list already. Budgets count as spent; what was set aside stays so, and is
    probed anew; who was on trial goes on. Nothing is taken from the other shape of deployment: there a cap
    counts launches, here multiples of what own traffic keeps in flight, or the other way round."""
    dispatcher = sidecar.dispatcher
    if bool(table.get("beside")) is not dispatcher.settings.sidecar_per_client:
        return
    dispatcher.message_queue.now = now
    dispatcher.cap = min(
        float(MAX_CAP), max(dispatcher.settings.cap_floor, number(table.get("cap"), dispatcher.cap))
    )
    dispatcher.arrivals_since, dispatcher.uncrowded_latency = (
        int(table.get("began", -1)),
        number(table.get("unhurried"), 0.0),
    )
    dispatcher.warm_rate = max(0.0, number(table.get("each"), 0.0))
    dispatcher.pace_by_kind = {str(kind): number(pace, 1.0) for kind, pace in table.get("kinds", {}).items()}
    dispatcher.crowding = min(8.0, max(0.0, number(table.get("crowding"), 1.0)))
    for name, (usual, uncrowded, means) in table.get("gauges", {}).items():
        if name in dispatcher.settings.workloads:
            gauge = dispatcher.latency_estimate(dispatcher.settings.workloads[name])
            gauge.current, gauge.uncrowded = float(usual), float(uncrowded)
            gauge.means.extend(float(mean) for mean in means)
    rings = (
        (dispatcher.new_requests, "taken"),
        (dispatcher.retries, "retried"),
        (dispatcher.attempts_sent, "launched"),
        (dispatcher.arrivals, "came"),
    )
    for kept, pairs in rings:
        restore_buckets(kept, table.get(pairs, []))
    for name, said in table.get("endpoints", {}).items():
        one = dispatcher.endpoints.get(name)
        if one is None:
            continue
        one.share = min(1.0, max(0.1, number(said.get("share"), 1.0)))
        one.pace = None if said.get("pace") is None else min(8.0, number(said["pace"], 1.0))
        one.answers, one.connection_failures = int(said.get("answers", 0)), int(said.get("broken", 0))
        one.ejection_time, one.last_heard = (
            int(said.get("rest", one.ejection_time)),
            int(said.get("heard", 0)),
        )
        # The list that this process was told may know of a start that the other one had not heard of.
        one.cold_since = max(one.cold_since or 0, int(said.get("cold_since") or 0)) or None
        if said.get("mode") in ("aside", "trial"):
            one.mode = said["mode"]
            if one.mode == "aside":
                one.schedule_probe(dispatcher.random_source.upto(one.ejection_time // 4))
        one.send_report()
    sidecar.message_queue.run()


def number(value: Any, usual: float) -> float:
    known = isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value)
    return float(value) if known else usual


def bucket_pairs(kept: BucketedSum) -> list[list[float]]:
    return [[mark, total] for mark, total in zip(kept.indexes, kept.sums) if mark >= 0]


def restore_buckets(kept: BucketedSum, pairs: list[list[float]]) -> None:
    """Both processes go by the same clock, so buckets fit."""
    for mark, total in pairs:
        slot = int(mark) % len(kept.sums)
        if kept.indexes[slot] < mark:
            kept.indexes[slot], kept.sums[slot] = int(mark), float(total)
