"""Exports what the decision module has learned to a plain table, and imports it. Pure, without any decisions:
figures that are unreadable or belong to unlisted endpoints are skipped, and keep their initial values.

The keys of the table pass between processes of different versions: they must not change. Its times are Unix
time, as older versions have them: `unix_ahead` is by how many microseconds that is ahead of the module's."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from math import isfinite
from typing import Any

from lupinmill.rules import MAX_CAP, SECOND, Dispatcher, Sidecar
from lupinmill.workings import BucketedSum

Table = dict[str, Any]

NEVER = -1  # of the time since when arrivals are counted
NEVER_HEARD = 0  # of the time at which an endpoint was last heard
# Microseconds of a bucket of each sliding sum, by key.
BUCKET_WIDTHS = {"taken": SECOND // 2, "retried": SECOND // 2, "launched": SECOND // 10, "came": SECOND // 2}


def windows(dispatcher: Dispatcher) -> dict[str, BucketedSum]:
    """The sliding sums that are handed over, by key."""
    return {
        "taken": dispatcher.new_requests,
        "retried": dispatcher.retries,
        "launched": dispatcher.attempts_sent,
        "came": dispatcher.arrivals,
    }


def learned(sidecar: Sidecar, unix_ahead: int = 0) -> Table:
    dispatcher = sidecar.dispatcher
    since = dispatcher.arrivals_since
    return {
        "beside": dispatcher.settings.sidecar_per_client,
        "began": since if since == NEVER else since + unix_ahead,
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
        **{key: moved_buckets(window, unix_ahead) for key, window in windows(dispatcher).items()},
        "endpoints": {
            name: {
                "mode": endpoint.mode,
                "share": endpoint.share,
                "pace": endpoint.pace,
                "answers": endpoint.answers,
                "broken": endpoint.connection_failures,
                "rest": endpoint.ejection_time,
                "cold_since": None if endpoint.cold_since is None else endpoint.cold_since + unix_ahead,
                "heard": endpoint.last_heard and endpoint.last_heard + unix_ahead,
            }
            for name, endpoint in dispatcher.endpoints.items()
        },
    }


def moved_buckets(window: BucketedSum, by: int) -> list[list[float]]:
    """All buckets with their indexes, moved by whole buckets."""
    return [[index + by // window.width, total] for index, total in window.used_buckets()]


def learned_times(table: Table) -> Iterator[int]:
    """The times in the table that had passed when it was exported, in microseconds; of a bucket, when it
    began."""
    found = [table.get("began")]
    for endpoint in as_table(table.get("endpoints")).values():
        found += [as_table(endpoint).get("cold_since"), as_table(endpoint).get("heard")]
    yield from (at for value in found if (at := whole_number(value, NEVER)) not in (NEVER, NEVER_HEARD))
    for key, width in BUCKET_WIDTHS.items():
        buckets = table.get(key)
        for bucket in buckets if isinstance(buckets, list) else ():
            if isinstance(bucket, list) and bucket and (index := whole_number(bucket[0], NEVER)) != NEVER:
                yield index * width


def recall(sidecar: Sidecar, table: Table, now: int, unix_ahead: int = 0) -> None:
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
    since = int(table.get("began", NEVER))
    dispatcher.arrivals_since = since if since == NEVER else min(now, since - unix_ahead)
    dispatcher.uncrowded_latency = number(table.get("unhurried"), 0.0)
    dispatcher.warm_rate = max(0.0, number(table.get("each"), 0.0))
    dispatcher.pace_by_kind = {str(kind): number(pace, 1.0) for kind, pace in table.get("kinds", {}).items()}
    dispatcher.crowding = min(8.0, max(0.0, number(table.get("crowding"), 1.0)))
    for name, (current, uncrowded, means) in table.get("gauges", {}).items():
        if name in dispatcher.settings.workloads:
            estimate = dispatcher.latency_estimate(dispatcher.settings.workloads[name])
            estimate.current, estimate.uncrowded = float(current), float(uncrowded)
            estimate.means.extend(float(mean) for mean in means)
    for key, window in windows(dispatcher).items():
        restore_buckets(window, table.get(key, []), now, unix_ahead)
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
        endpoint.ejection_time = int(saved.get("rest", endpoint.ejection_time))
        heard = int(saved.get("heard", NEVER_HEARD))
        endpoint.last_heard = min(now, heard - unix_ahead) if heard != NEVER_HEARD else NEVER_HEARD
        endpoint.cold_since = latest_start(endpoint.cold_since, saved.get("cold_since"), now, unix_ahead)
        if saved.get("mode") in ("aside", "trial"):
            endpoint.mode = saved["mode"]
            if endpoint.mode == "aside":
                endpoint.schedule_probe(dispatcher.random_source.upto(endpoint.ejection_time // 4))
        endpoint.send_report()
    sidecar.message_queue.run()


def latest_start(listed: int | None, saved: Any, now: int, unix_ahead: int) -> int | None:
    """Since when an endpoint is cold. The list of this process may know of a start that the other process had
    not heard of."""
    if saved is None:
        return listed
    started = min(now, int(saved) - unix_ahead)
    return started if listed is None else max(listed, started)


def number(value: Any, default: float) -> float:
    valid = isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value)
    return float(value) if valid else default


def as_table(value: Any) -> Table:
    return value if isinstance(value, dict) else {}


def whole_number(value: Any, default: int) -> int:
    return value if isinstance(value, int) and not isinstance(value, bool) else default


def restore_buckets(window: BucketedSum, pairs: list[list[float]], now: int, unix_ahead: int) -> None:
    """Leaves out buckets of a time to come, which would stay in the sum until that time is over. One that is
    moved by a part of its width may seem to begin just now."""
    current, moved_by, totals = now // window.width, unix_ahead // window.width, defaultdict(float)
    for index, total in pairs:
        moved = int(index) - moved_by
        if 0 <= moved <= current + 1:
            totals[min(moved, current)] += float(total)
    for index, total in totals.items():
        window.restore(index, total)
