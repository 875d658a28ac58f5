"""Exports what the decision module has learned to a plain table, and imports it. Pure, without any decisions:
figures that are unreadable or belong to unlisted endpoints are skipped, and keep their initial values.

The keys of the table pass between processes of different versions: they must not change."""

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
        "came": dispatcher.arrivals.used_buckets(),
        "began": dispatcher.arrivals_since,
        "unhurried": dispatcher.uncrowded_latency,
        "each": dispatcher.warm_rate,
        "kinds": dispatcher.pace_by_kind,
        "cap": dispatcher.cap
        * dispatcher.settings.active_sidecars
        / max(1, dispatcher.settings.configured_sidecars),  # scaled to the configured number of sidecars
        "crowding": dispatcher.crowding,
        "gauges": {
            name: [estimate.current, estimate.uncrowded, list(estimate.means)]
            for name, estimate in dispatcher.latency_estimates.items()
        },
        "taken": dispatcher.new_requests.used_buckets(),
        "retried": dispatcher.retries.used_buckets(),
        "launched": dispatcher.attempts_sent.used_buckets(),
        "endpoints": {
            name: {
                "mode": endpoint.mode,
                "share": endpoint.share,
                "pace": endpoint.pace,
                "answers": endpoint.answers,
                "broken": endpoint.connection_failures,
                "rest": endpoint.ejection_time,
                "cold_since": endpoint.cold_since,
                "heard": endpoint.last_heard,
            }
            for name, endpoint in dispatcher.endpoints.items()
        },
    }


def recall(sidecar: Sidecar, table: Table, now: int) -> None:
    """Imports the table into a module that has its endpoint list already. Retry budgets stay as spent,
    ejected endpoints stay ejected and are probed anew, and trials go on. Nothing is imported between a
    deployment with a sidecar per client and one without: in one a cap counts attempts, in the other
    multiples of what own traffic keeps in flight."""
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
    for name, (current, uncrowded, means) in table.get("gauges", {}).items():
        if name in dispatcher.settings.workloads:
            estimate = dispatcher.latency_estimate(dispatcher.settings.workloads[name])
            estimate.current, estimate.uncrowded = float(current), float(uncrowded)
            estimate.means.extend(float(mean) for mean in means)
    sums = (
        (dispatcher.new_requests, "taken"),
        (dispatcher.retries, "retried"),
        (dispatcher.attempts_sent, "launched"),
        (dispatcher.arrivals, "came"),
    )
    for window, key in sums:
        restore_buckets(window, table.get(key, []))
    for name, saved in table.get("endpoints", {}).items():
        endpoint = dispatcher.endpoints.get(name)
        if endpoint is None:
            continue
        endpoint.share = min(1.0, max(0.1, number(saved.get("share"), 1.0)))
        endpoint.pace = None if saved.get("pace") is None else min(8.0, number(saved["pace"], 1.0))
        endpoint.answers, endpoint.connection_failures = (
            int(saved.get("answers", 0)),
            int(saved.get("broken", 0)),
        )
        endpoint.ejection_time, endpoint.last_heard = (
            int(saved.get("rest", endpoint.ejection_time)),
            int(saved.get("heard", 0)),
        )
        # The list of this process may know of a start that the other process had not heard of.
        endpoint.cold_since = max(endpoint.cold_since or 0, int(saved.get("cold_since") or 0)) or None
        if saved.get("mode") in ("aside", "trial"):
            endpoint.mode = saved["mode"]
            if endpoint.mode == "aside":
                endpoint.schedule_probe(dispatcher.random_source.upto(endpoint.ejection_time // 4))
        endpoint.send_report()
    sidecar.message_queue.run()


def number(value: Any, default: float) -> float:
    valid = isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value)
    return float(value) if valid else default


def restore_buckets(window: BucketedSum, pairs: list[list[float]]) -> None:
    """Both processes use the same clock, so the bucket indexes agree."""
    for index, total in pairs:
        window.restore(int(index), float(total))
