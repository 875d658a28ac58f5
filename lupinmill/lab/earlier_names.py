"""Today's names on an earlier decision module, so that today's lab can drive a revision from before a rename.
Imports nothing of the project. A name that the earlier module already has is left alone."""

from __future__ import annotations

import functools
from dataclasses import is_dataclass
from types import ModuleType

# Module -> {name in the earlier revision: today's name}
CLASSES: dict[str, dict[str, str]] = {
    "terms": {
        "Note": "Event",
        "Order": "Command",
        "Repeat": "RepeatPolicy",
        "Group": "DeduplicationScope",
        "How": "Outcome",
        "State": "EndpointStatus",
        "Load": "LoadReport",
        "Listing": "ListEntry",
        "Listed": "ListReceived",
        "Arrived": "RequestArrived",
        "Whole": "RequestBodyReceived",
        "Started": "ResponseStarted",
        "Ended": "AttemptEnded",
        "Withdrawn": "RequestCancelled",
        "Woke": "TimerFired",
        "Probed": "ProbeEnded",
        "ByHand": "OperatorOverride",
        "Elsewhere": "PredecessorLoad",
        "Common": "FleetState",
        "Deployed": "DeploymentChanged",
        "Launch": "StartAttempt",
        "CallOff": "CancelAttempt",
        "Deny": "RejectRequest",
        "BreakOff": "AbortResponse",
        "WakeMe": "SetTimer",
        "Probe": "StartProbe",
        "Watch": "StartWatch",
        "Log": "WriteLog",
    },
    "workings": {
        "Chance": "RandomSource",
        "Ring": "BucketedSum",
        "Gauge": "LatencyEstimate",
        "Part": "Actor",
        "Mail": "MessageQueue",
        "Standing": "EndpointReport",
        "Sent": "AttemptSent",
        "Usual": "FleetAverages",
        "Answer": "AttemptResult",
        "Sweep": "PeriodicCheck",
        "Plea": "EjectionRequest",
        "Aside": "Ejected",
        "Silent": "EndpointSilent",
        "AskDue": "PollDue",
        "GiveUp": "RequestTimeout",
        "Seat": "EndpointState",
        "Flight": "Attempt",
        "Lane": "RequestQueue",
    },
    "rules": {
        "Submission": "RequestState",
        "Allowances": "DispatchSettings",
        "Desk": "Dispatcher",
        "Roster": "EndpointRegistry",
        "CAP_TOP": "MAX_CAP",
        "Endpoint": "EndpointActor",
    },
}

# Module -> class, by its earlier name -> {attribute in the earlier revision: today's name}
ATTRIBUTES: dict[str, dict[str, dict[str, str]]] = {
    "terms": {
        "Arrived": {"submission": "request"},
        "Whole": {"submission": "request"},
        "Started": {"submission": "request", "launch": "attempt"},
        "Ended": {"submission": "request", "launch": "attempt", "how": "outcome", "took": "duration"},
        "Withdrawn": {"submission": "request"},
        "Probed": {"how": "outcome", "took": "duration"},
        "Elsewhere": {"flying": "in_flight"},
        "Launch": {"submission": "request"},
        "CallOff": {"submission": "request", "launch": "attempt"},
        "Deny": {"submission": "request", "come_back": "retry_after"},
        "BreakOff": {"submission": "request"},
        "Deployment": {
            "most_launches": "max_attempts",
            "must_ask": "poll_discovery",
            "ask_within": "poll_interval",
            "beside": "sidecar_per_client",
            "copies_allowed": "hedging_allowed",
        },
    },
    "workings": {
        "Mail": {
            "post": "send",
            "alarm": "set_timer",
            "alarms": "timers",
            "ring": "fire_timers",
            "next_alarm": "next_timer",
            "orders": "commands",
        },
        "Seat": {"says": "report", "flying": "in_flight", "shelf": "bucket", "counts": "is_available"},
        "Lane": {"line": "waiting"},
        "Flight": {"seat": "endpoint_state", "out": "pending"},
        "Answer": {"how": "outcome"},
        "GiveUp": {"submission": "request"},
        "RetryDue": {"submission": "request"},
    },
    "rules": {
        "Submission": {"lane": "queue", "allow": "settings", "flights": "attempts"},
        "Allowances": {"most_launches": "max_attempts", "beside": "sidecar_per_client"},
        "Desk": {
            "mail": "message_queue",
            "allow": "settings",
            "chance": "random_source",
            "seats": "endpoint_states",
            "shelves": "load_buckets",
            "lanes": "queues",
            "flying": "in_flight",
            "open": "requests",
            "open_in": "ready_by_zone",
            "gauges": "latency_estimates",
        },
        "Endpoint": {
            "mail": "message_queue",
            "desk": "dispatcher",
            "roster": "registry",
            "chance": "random_source",
            "flying": "in_flight",
        },
        "Roster": {"mail": "message_queue", "desk": "dispatcher", "chance": "random_source"},
        "Sidecar": {"mail": "message_queue", "desk": "dispatcher", "roster": "registry"},
    },
}


# Events and commands that no earlier module has: the lab names them, and never meets one.
ADDED_SINCE = (
    "ResponseStalled",
    "AbandonAttempt",
    "OpenEndedResponseBegan",
    "ForwardResponse",
    "ResponseBytesArrived",
)


def adapt(modules: dict[str, ModuleType]) -> None:
    """Gives each of the loaded modules (`terms`, `workings`, `rules`) the names of today that it lacks."""
    for module_name, module in modules.items():
        for earlier, attributes in ATTRIBUTES[module_name].items():
            if (cls := getattr(module, earlier, None)) is not None:
                rename_attributes(cls, attributes)
        for earlier, current in CLASSES[module_name].items():
            if hasattr(module, earlier) and not hasattr(module, current):
                setattr(module, current, getattr(module, earlier))
    terms = modules.get("terms")
    if terms is None:
        return
    if not hasattr(terms, "LOGGED_NAMES"):
        terms.__dict__["LOGGED_NAMES"] = {}
    for added in ADDED_SINCE:
        if not hasattr(terms, added):
            setattr(terms, added, type(added, (), {}))


def rename_attributes(cls: type, attributes: dict[str, str]) -> None:
    """Adds today's names in place, so that `type(x)` and `isinstance` go on as the earlier module expects."""
    missing = {
        earlier: current
        for earlier, current in attributes.items()
        if has_attribute(cls, earlier) and not has_attribute(cls, current)
    }
    for earlier, current in missing.items():
        found = getattr(cls, earlier, None)
        setattr(cls, current, found if callable(found) else alias(earlier))
    if missing and is_dataclass(cls):
        accept_keywords(cls, {current: earlier for earlier, current in missing.items()})


def has_attribute(cls: type, name: str) -> bool:
    """On the class itself, or set by its constructor."""
    constructor = getattr(cls.__init__, "__code__", None)  # type: ignore[misc]
    return hasattr(cls, name) or constructor is not None and name in constructor.co_names


def alias(earlier: str) -> property:
    def read(instance: object) -> object:
        return getattr(instance, earlier)

    def write(instance: object, value: object) -> None:
        setattr(instance, earlier, value)

    return property(read, write)


def accept_keywords(cls: type, earlier_names: dict[str, str]) -> None:
    """Lets the constructor take today's keywords; of a field that `replace` passes twice, today's counts."""
    construct = cls.__init__  # type: ignore[misc]

    @functools.wraps(construct)
    def translated(self: object, *args: object, **keywords: object) -> None:
        for current, earlier in earlier_names.items():
            if current in keywords:
                keywords[earlier] = keywords.pop(current)
        construct(self, *args, **keywords)

    cls.__init__ = translated  # type: ignore[misc]
