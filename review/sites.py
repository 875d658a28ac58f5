"""Settings of small deployments, as the protocol page names them, with the figures of the briefs."""

from __future__ import annotations

from typing import Any

DEDUPLICATED, REPEATABLE, ONCE = "by_key", "repeatable", "once"


def workload(name: str, repeat: str, contract: float, hard: float, value: float, **more: Any) -> dict[str, Any]:
    return {"name": name, "repeat": repeat, "contract-time-s": contract, "hard-limit-s": hard, "value": value,
            "overdue-value": 0.25, "streaming": False, "group": "all", "window-s": 5.0} | more


def settings(discovery: str, workloads: list[dict[str, Any]], *, grace: float, cold: tuple[float, float, float, float],
             launches: int, ask: float = 10.0, copies: bool = True, probes: bool = False, instances: int = 1,
             zones: str = "z", **limits: Any) -> dict[str, Any]:
    """`cold`: share, seconds until warm, multiple and seconds of the fall."""
    return {
        "accounts": [], "areas": zones.split(","), "kinds": ["k"], "discovery": discovery, "family": "chain",
        "family-info": {"passes-deadline": True}, "instances": instances, "position": 0, "locality": zones.split(",")[0],
        "tier": 0, "tiers": ["front", "core"], "round-s": 0.005, "weights": "off",
        "invariants": {"ask-within-s": ask, "cold-share": cold[0], "cold-s": cold[1], "overload-factor": cold[2],
                       "fall-s": cold[3], "grace-to-answer-s": 0.02, "stop-sending-within-s": grace},
        "limits": {"cancel": True, "conn-idle-s": 30.0, "connect-timeout-s": 0.12, "max-retry-after-s": 1.5,
                   "may-duplicate": copies, "most-held": 20000, "most-launches": launches, "peers": False,
                   "probes": probes, "retry-after": True, "streams-per-conn": 1} | limits,
        "load-report": {"fields": ["waiting", "cpu"], "how": "on_probe" if probes else "off"},
        "workloads": workloads,
    }


def tender(**more: Any) -> dict[str, Any]:
    """tender-portal-smg: lists are asked for."""
    return settings(
        "ask",
        [workload("tender-view", REPEATABLE, 0.6, 1.5, 2.0),
         workload("bid-submit", DEDUPLICATED, 1.2, 3.0, 8.0, group="cell")],
        grace=1.0, cold=(0.31, 7.6, 3.0, 2.0), launches=4, **more)


def amman(**more: Any) -> dict[str, Any]:
    """amman-shared: lists are pushed."""
    return settings("push", [workload("plan-view", REPEATABLE, 0.5, 1.2, 1.0)],
                    grace=0.5, cold=(0.33, 8.8, 2.5, 3.0), launches=6, **more)


def leith(**more: Any) -> dict[str, Any]:
    """leith-main: lists are pushed, and one workload must never run twice."""
    return settings(
        "push",
        [workload("quote", REPEATABLE, 1.5, 4.0, 3.0),
         workload("save-quote", DEDUPLICATED, 2.0, 5.0, 5.0, **{"window-s": 7.5}),
         workload("issue-policy", ONCE, 2.5, 6.0, 3.0)],
        grace=2.5, cold=(0.13, 24.0, 4.0, 2.0), launches=3, **more)


def puzzle(**more: Any) -> dict[str, Any]:
    """puzzle-world-main: lists are pushed, placement, no second copies, short windows."""
    found = settings(
        "push",
        [workload("load-puzzle", REPEATABLE, 0.25, 2.5, 3.0),
         workload("save-move", DEDUPLICATED, 0.4, 4.0, 8.0, group="zone", **{"window-s": 1.2}),
         workload("claim-star", DEDUPLICATED, 0.4, 1.5, 2.0, group="cell", **{"window-s": 0.6, "confined-to": ["north"]}),
         workload("submit-class", DEDUPLICATED, 0.75, 3.0, 10.0, group="cell", **{"window-s": 0.6})],
        grace=2.0, cold=(0.32, 8.1, 3.0, 2.0), launches=3, copies=False, zones="north,south,east,west", **more)
    found["invariants"]["dropped-stay-open"] = True
    return found


def teacher(**more: Any) -> dict[str, Any]:
    return settings("ask", [workload("open-set", REPEATABLE, 1.0, 5.0, 1.0), workload("save-assign", REPEATABLE, 1.5, 6.0, 3.0)],
                    grace=0.25, cold=(0.3, 8.9, 4.0, 3.0), launches=6, **more)
