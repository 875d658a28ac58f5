"""Builds the settings that the platform passes to a sidecar of the site, as nested JSON."""

from __future__ import annotations

from typing import Any

from lupinmill.lab.scenario import Range, Scenario, Tier

FIELD_NAMES = {"queued": "waiting", "held": "active", "busy": "cpu", "service": "avg_ms", "rate": "rps"}
REPEAT_NAMES = {"idempotent": "repeatable", "deduplicated": "by_key", "unrepeatable": "once"}
REPORT_NAMES = {"none": "off", "probe": "on_probe", "answers": "inline"}


def sidecar_settings(
    scenario: Scenario, quotas: dict[str, float], tier: int, instances: int
) -> dict[str, Any]:
    """Returns all settings of a sidecar that sends to `tier`; `instances` sidecars share that tier."""
    s, report = scenario, scenario.tier[tier].report
    return {
        "tier": tier,
        "instances": instances,
        "discovery": s.discovery.how,
        "round-s": s.sidecars.round_ms / 1000,
        "beyond-share-value": s.load.beyond_share_value,
        "blend": blend(s),
        "workloads": workloads(s),
        "accounts": [{"name": name, "quota-per-s": quota} for name, quota in quotas.items()],
        "limits": limits(s, s.tier[tier]),
        "load-report": {
            "how": REPORT_NAMES[report.how],
            "fields": [FIELD_NAMES[name] for name in report.fields],
        },
        "invariants": invariants(s, s.tier[tier]),
    }


def blend(scenario: Scenario) -> dict[str, float]:
    """Returns the weights of the parts of the site's goal."""
    goal = scenario.goal
    return {
        "whole": goal.whole,
        "worst-window": goal.worst_window,
        "worst-class": goal.worst_workload,
        "kept-promises": goal.tail,
        "worst-tenant": goal.worst_tenant,
    }


def workloads(scenario: Scenario) -> list[dict[str, Any]]:
    """Returns the terms of each workload."""
    return [
        {
            "name": one.name,
            "contract-time-s": one.contract_s,
            "hard-limit-s": one.hard_limit_s,
            "value": one.value,
            "overdue-value": one.overdue,
            "repeat": REPEAT_NAMES[one.repeat],
            "group": one.group,
            "window-s": one.window_s,
        }
        for one in scenario.workload
    ]


def limits(scenario: Scenario, tier: Tier) -> dict[str, Any]:
    """Returns which actions a sidecar may take, and their limits."""
    allowed = scenario.limits
    return {
        "most-launches": allowed.launches,
        "may-duplicate": allowed.copies,
        "cancel": allowed.cancel,
        "probes": allowed.probes,
        "retry-after": allowed.advice_s > 0,
        "max-retry-after-s": allowed.advice_s,
        "conn-idle-s": tier.connections.idle_s,
        "connect-timeout-s": tier.connections.time_out_ms / 1000,
    }


def invariants(scenario: Scenario, tier: Tier) -> dict[str, float]:
    """Returns the rules that a sidecar must keep. The cold start settings are the worst case over the ranges
    of all kinds in the tier."""
    rules = scenario.rules
    return {
        "ask-within-s": rules.ask_within_s,
        "cold-s": max(bound(kind.cold_s, 1) for kind in tier.kind),
        "cold-share": min(bound(kind.cold_from, 0) for kind in tier.kind),
        "overload-factor": rules.fall_multiple,
        "fall-s": rules.fall_s,
        "stop-sending-within-s": rules.drain_grace_s,
    }


def bound(span: Range, end: int) -> float:
    """Returns the lower (`end` 0) or upper (1) bound of a range; for a fixed value both are the value."""
    return span if isinstance(span, (int, float)) else span[end]
