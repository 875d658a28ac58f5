"""The interface of the decision module: its settings, the events that it takes and the commands that it
returns.

All times are whole microseconds of the caller's clock; ids are opaque and returned as received. A protocol
adapter turns its messages into events, calls `rules.Sidecar.step(now, events)` and carries out the returned
commands in order."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class RepeatPolicy(Enum):
    """What a workload allows once an attempt may have run."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    UNREPEATABLE = "unrepeatable"


class DeduplicationScope(Enum):
    """Which endpoints drop each other's repeats of a deduplicated request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How one attempt or probe ended."""

    HANDLED = "handled"
    ERROR = "error"  # may have run
    SPOILT = "spoilt"  # may have run; the response is unreadable
    REJECTED = "rejected"  # may have run; the endpoint says that the request itself is at fault
    REFUSED = "refused"  # never ran
    TIMED_OUT = "timed out"  # may have run
    UNCONNECTED = "unconnected"  # never ran
    RESET = "reset"  # may have run
    CALLED_OFF = "called off"  # may have run
    UNSENT = "unsent"  # never ran


NEVER_RAN = (Outcome.REFUSED, Outcome.UNCONNECTED, Outcome.UNSENT)


class EndpointStatus(Enum):
    """The state of an endpoint by the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How an update of the endpoint list relates to the one before."""

    CACHED = "cached"  # a full list, possibly outdated
    FULL = "full"
    CHANGES = "changes"
    FAILED = "failed"  # discovery gave no list


@dataclass(slots=True)
class Workload:
    """A kind of request, and the terms under which it is handled."""

    name: str
    contract: int  # microseconds within which an answer has its full value
    hard_limit: int
    value: float = 1.0
    overdue_value: float = 0.0  # after the contract time, up to the hard limit
    repeat: RepeatPolicy = RepeatPolicy.UNREPEATABLE
    group: DeduplicationScope = DeduplicationScope.CELL
    window: int = 0  # microseconds for which repeats are dropped
    zones: tuple[str, ...] = ()  # if any, only endpoints in these zones are allowed, ...
    kinds: tuple[str, ...] = ()  # ... and only endpoints of these kinds

    def open_at(self, entry: ListEntry) -> bool:
        return (not self.zones or entry.zone in self.zones) and (not self.kinds or entry.kind in self.kinds)


@dataclass(slots=True)
class Tenant:
    """A tenant and its quota."""

    name: str
    quota_per_s: float  # of all sidecars together


@dataclass(slots=True)
class Deployment:
    """The settings of a sidecar at its start."""

    seed: int
    tier: int = 0
    instances: int = 1
    workloads: list[Workload] = field(default_factory=list)
    tenants: list[Tenant] = field(default_factory=list)
    beyond_share_value: float = 1.0
    pooled_weight: float = 1.0  # weight in the goal of the sum over workloads, ...
    evenness_weight: float = 0.0  # ... and of the worst-served one
    poll_discovery: bool = False
    poll_interval: int = 0
    grace: int = 500_000  # microseconds in which attempts may still go to an endpoint that drains or is gone
    cold_share: float = 1.0  # capacity of a cold endpoint at its start, as a part of the full one
    cold_time: int = 0  # until an endpoint is warm
    overload_time: int = 1_000_000  # length of the window in which a cold endpoint can be overloaded
    round: int = 1000
    max_attempts: int = 1
    hedging_allowed: bool = False
    cancel_allowed: bool = False
    probes_allowed: bool = False
    reports_asked: bool = False  # load reports come only with probes
    advice_allowed: bool = False
    longest_advice: int = 0
    sidecar_per_client: bool = False  # each client process has its own sidecar
    zone: str = ""  # of this sidecar
    gone_binds: bool = True  # else an endpoint listed as gone without a drain may still be used
    uneven: bool = False  # endpoints differ in kind, or in the cost of reaching them
    crossing_price: float = 0.0  # of each attempt that crosses zones, as a part of a request's value
    warm_keys: bool = False  # an endpoint handles a key that it saw recently at lower cost
    weights_tell_speed: bool = False  # an endpoint's weight includes its speed, not only its cores
    weights_live: bool = False  # a weight falls with its endpoint's load, and varies between lists
    few_connections: bool = False  # a connection carries many attempts, and open ones have a price


@dataclass(slots=True)
class LoadReport:
    """An endpoint's load report; missing figures are None."""

    queued: float | None = None
    held: float | None = None
    busy: float | None = None
    service: float | None = None  # microseconds
    rate: float | None = None


@dataclass(slots=True)
class ListEntry:
    """An endpoint in the list."""

    endpoint: str
    state: EndpointStatus
    zone: str = ""
    kind: str = ""
    cell: str = ""
    started: int = 0  # 0: long ago
    weight: float = 1.0  # relative size


# --- events -------------------------------------------------------------------------


@dataclass(slots=True)
class ListReceived:
    """Discovery sent a list, or failed."""

    kind: ListKind
    entries: list[ListEntry]


@dataclass(slots=True)
class RequestArrived:
    """A client's request has arrived."""

    request: str
    workload: str
    due: int
    tenant: str = ""
    repeated: bool = False
    whole: bool = True  # else the body is incomplete: `due` is a guess until `RequestBodyReceived`
    key: str = ""  # of the object that the request is about
    keyed: bool = True  # else no endpoint would drop its repeats, whatever its workload says


@dataclass(slots=True)
class RequestBodyReceived:
    """The last byte of an arrived request has come; its time counts from here."""

    request: str
    due: int


@dataclass(slots=True)
class ResponseStarted:
    """A streamed response has begun; from here on the request is neither retried nor rejected."""

    request: str
    attempt: int


@dataclass(slots=True)
class OpenEndedResponseBegan:
    """The response to an attempt has begun, and nothing tells how long it will be: from here on it may be
    forwarded before its end."""

    request: str
    attempt: int


@dataclass(slots=True)
class ResponseBytesArrived:
    """Bytes of the response to an attempt have arrived, and more is to come, so its endpoint is not silent.
    Told of the first ones, and then not for every read. The attempt may have ended by then, if its response
    is forwarded."""

    endpoint: str
    request: str
    attempt: int


@dataclass(slots=True)
class ResponseStalled:
    """The response to an attempt has begun, and pauses. The attempt goes on."""

    request: str
    attempt: int
    last: bool = False  # as in `AttemptEnded`


@dataclass(slots=True)
class AttemptEnded:
    """The outcome of an attempt."""

    request: str
    attempt: int
    outcome: Outcome
    duration: int
    closed: bool = False  # the request is already answered
    load: LoadReport | None = None
    last: bool = False  # no other attempt is possible: part of the request body was not kept


@dataclass(slots=True)
class RequestCancelled:
    """The client has gone."""

    request: str


@dataclass(slots=True)
class TimerFired:
    """The timer of `SetTimer` with this `ref` is due."""

    ref: int


@dataclass(slots=True)
class ProbeEnded:
    """The outcome of a probe."""

    endpoint: str
    outcome: Outcome
    duration: int
    load: LoadReport | None = None


@dataclass(slots=True)
class OperatorOverride:
    """Operators take an endpoint out of use, whatever the list says, or put it back, after a restart."""

    endpoint: str
    out: bool


@dataclass(slots=True)
class PredecessorLoad:
    """What an older process of this sidecar still has in flight, until it has ended: both share one set of
    caps and one retry budget."""

    in_flight: dict[str, int]  # attempts at each endpoint
    retried: int = 0  # since the last such event


Shares = dict[str, float]  # by zone: part of the traffic


@dataclass(slots=True)
class FleetState:
    """What cooperating sidecars have in common. Each state replaces the previous one as a whole; without a
    next one it expires at `until`."""

    sidecars: int = 0  # that share the endpoints now; 0: as in the deployment
    plan: dict[str, tuple[Shares, Shares]] = field(default_factory=dict)  # by workload; with the fallback
    # By cold endpoint that gets too much: the factor on this sidecar's rate.
    brakes: Shares = field(default_factory=dict)
    listed: dict[str, int] = field(default_factory=dict)  # endpoints by zone, as listed to this sidecar
    until: int = 0


@dataclass(slots=True)
class DeploymentChanged:
    """Another deployment, as a whole, for all requests that arrive from now on. Tier, family, place, lists
    and seed stay as in the first one."""

    deployment: Deployment


Event = (
    ListReceived
    | RequestArrived
    | ResponseStarted
    | OpenEndedResponseBegan
    | ResponseBytesArrived
    | ResponseStalled
    | AttemptEnded
    | RequestCancelled
    | TimerFired
    | ProbeEnded
    | OperatorOverride
    | RequestBodyReceived
    | PredecessorLoad
    | FleetState
    | DeploymentChanged
)

# --- commands -------------------------------------------------------------------------------------


@dataclass(slots=True)
class StartAttempt:
    """Send the request to the endpoint; the attempt ends by `until` at the latest."""

    request: str
    endpoint: str
    until: int


@dataclass(slots=True)
class CancelAttempt:
    """End an attempt that is no longer needed."""

    request: str
    attempt: int


@dataclass(slots=True)
class AbandonAttempt:
    """End an attempt whose response has stalled, as spoilt, for another attempt in its place."""

    request: str
    attempt: int


@dataclass(slots=True)
class ForwardResponse:
    """Forward an open-ended response that has begun, and the rest as it arrives: the deadline is near."""

    request: str


@dataclass(slots=True)
class RejectRequest:
    """Answer that the request was not handled and that repeating it is safe, after `retry_after` if not 0."""

    request: str
    retry_after: int = 0


@dataclass(slots=True)
class AbortResponse:
    """Answer that the request failed and may have run."""

    request: str


@dataclass(slots=True)
class SetTimer:
    """Send `TimerFired` with this `ref` at that time."""

    at: int
    ref: int


@dataclass(slots=True)
class StartProbe:
    """Check the endpoint, and ask for its load report where allowed."""

    endpoint: str


@dataclass(slots=True)
class StartWatch:
    """Ask discovery for the endpoint list again."""


@dataclass(slots=True)
class WriteLog:
    """A change of mode, for the log."""

    text: str


Command = (
    StartAttempt
    | CancelAttempt
    | AbandonAttempt
    | ForwardResponse
    | RejectRequest
    | AbortResponse
    | SetTimer
    | StartProbe
    | StartWatch
    | WriteLog
)

# The names of events and commands in log lines, which dashboards and operators' tools match.
LOGGED_NAMES: dict[type, str] = {
    ListReceived: "Listed",
    RequestArrived: "Arrived",
    RequestBodyReceived: "Whole",
    ResponseStarted: "Started",
    OpenEndedResponseBegan: "Begun",
    ResponseBytesArrived: "Bytes",
    ResponseStalled: "Stalled",
    AttemptEnded: "Ended",
    RequestCancelled: "Withdrawn",
    TimerFired: "Woke",
    ProbeEnded: "Probed",
    OperatorOverride: "ByHand",
    PredecessorLoad: "Elsewhere",
    FleetState: "Common",
    DeploymentChanged: "Deployed",
    StartAttempt: "Launch",
    CancelAttempt: "CallOff",
    AbandonAttempt: "Abandon",
    ForwardResponse: "Forward",
    RejectRequest: "Deny",
    AbortResponse: "BreakOff",
    SetTimer: "WakeMe",
    StartProbe: "Probe",
    StartWatch: "Watch",
    WriteLog: "Log",
}
