"""The interface of the decision module: what it is told, what it orders. No decisions live here.

All times are whole microseconds of the caller's clock; ids are opaque and returned as received. A protocol
adapter turns its messages into events, calls `rules.Sidecar.step(now, events)` and carries out the commands
that come back, in their order."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class RepeatPolicy(Enum):
    """What a workload allows once a launch may have run."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    UNREPEATABLE = "unrepeatable"


class DeduplicationScope(Enum):
    """Which endpoints drop each other's repeats of a deduplicated submission."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How one launch or probe ended."""

    HANDLED = "handled"
    ERROR = "error"  # may have run
    SPOILT = "spoilt"  # may have run, and what came back can't be read
    REJECTED = "rejected"  # may have run; by the endpoint's word the submission itself is at fault
    REFUSED = "refused"  # never ran
    TIMED_OUT = "timed out"  # may have run
    UNCONNECTED = "unconnected"  # never ran
    RESET = "reset"  # may have run
    CALLED_OFF = "called off"  # may have run
    UNSENT = "unsent"  # never ran


NEVER_RAN = (Outcome.REFUSED, Outcome.UNCONNECTED, Outcome.UNSENT)


class EndpointStatus(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CACHED = "cached"
    FULL = "full"
    CHANGES = "changes"
    FAILED = "failed"


@dataclass(slots=True)
class Workload:
    name: str
    contract: int
    hard_limit: int
    value: float = 1.0
    overdue_value: float = 0.0
    repeat: RepeatPolicy = RepeatPolicy.UNREPEATABLE
    group: DeduplicationScope = DeduplicationScope.CELL
    window: int = 0
    zones: tuple[str, ...] = ()  # where any, only endpoints in these are open to it, ...
    kinds: tuple[str, ...] = ()  # ... and only those of these kinds

    def open_at(self, entry: ListEntry) -> bool:
        return (not self.zones or entry.zone in self.zones) and (not self.kinds or entry.kind in self.kinds)


@dataclass(slots=True)
class Tenant:
    name: str
    quota_per_s: float  # of all sidecars together


@dataclass(slots=True)
class Deployment:
    """Everything a sidecar is told at its start."""

    seed: int
    tier: int = 0
    instances: int = 1
    workloads: list[Workload] = field(default_factory=list)
    tenants: list[Tenant] = field(default_factory=list)
    beyond_share_value: float = 1.0
    pooled_weight: float = 1.0  # how much of the goal sums over workloads, ...
    evenness_weight: float = 0.0  # ... and how much looks at the worst-served one
    poll_discovery: bool = False
    poll_interval: int = 0
    grace: int = 500_000  # for which launches may still go to an endpoint that drains or is gone
    cold_share: float = 1.0
    cold_time: int = 0
    overload_time: int = 1_000_000  # a cold endpoint falls over from what it is sent within so long
    round: int = 1000
    max_attempts: int = 1
    hedging_allowed: bool = False
    cancel_allowed: bool = False
    probes_allowed: bool = False
    reports_asked: bool = False  # load reports come with probes alone
    advice_allowed: bool = False
    longest_advice: int = 0
    sidecar_per_client: bool = False  # each client process has a sidecar of its own
    zone: str = ""  # where this sidecar is
    gone_binds: bool = True  # else an endpoint that the list drops undrained may still be sent to
    uneven: bool = False  # endpoints differ in kind, or in what it costs to reach them
    crossing_price: float = 0.0  # for each launch that crosses zones, as a part of a submission's value
    warm_keys: bool = False  # an endpoint handles with less work a key that it met lately
    weights_tell_speed: bool = False  # an endpoint's weight holds its speed too, not its cores alone
    weights_live: bool = False  # a weight falls with what its endpoint holds, and varies between lists
    few_connections: bool = False  # one carries many launches, and open ones are priced


@dataclass(slots=True)
class LoadReport:
    """A load report; figures that did not come are None."""

    queued: float | None = None
    held: float | None = None
    busy: float | None = None
    service: float | None = None  # microseconds
    rate: float | None = None


@dataclass(slots=True)
class ListEntry:
    endpoint: str
    state: EndpointStatus
    zone: str = ""
    kind: str = ""
    cell: str = ""
    started: int = 0  # 0: long ago
    weight: float = 1.0  # its size against that of others


# --- notes from outside -------------------------------------------------------------------------


@dataclass(slots=True)
class ListReceived:
    kind: ListKind
    entries: list[ListEntry]


@dataclass(slots=True)
class RequestArrived:
    request: str
    workload: str
    due: int
    tenant: str = ""
    repeated: bool = False
    whole: bool = True  # else it is still coming: `due` is a guess until `RequestBodyReceived`
    key: str = ""  # what it is about
    keyed: bool = True  # else nothing would drop its repeats, whatever its workload says


@dataclass(slots=True)
class RequestBodyReceived:
    """The last byte of a submission has come that arrived before; from here its time counts."""

    request: str
    due: int


@dataclass(slots=True)
class ResponseStarted:
    """A streamed answer has begun; the submission belongs to its client now."""

    request: str
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    request: str
    attempt: int
    outcome: Outcome
    duration: int
    closed: bool = False
    load: LoadReport | None = None
    last: bool = False  # no other launch can be made: part of what it would send is not kept


@dataclass(slots=True)
class RequestCancelled:
    request: str


@dataclass(slots=True)
class TimerFired:
    ref: int


@dataclass(slots=True)
class ProbeEnded:
    endpoint: str
    outcome: Outcome
    duration: int
    load: LoadReport | None = None


@dataclass(slots=True)
class OperatorOverride:
    """Operators take an endpoint out, whatever lists say meanwhile, or put it back: then it was restarted."""

    endpoint: str
    out: bool


@dataclass(slots=True)
class PredecessorLoad:
    """What an older process of this sidecar still has out, until it has ended: one set of caps and one budget
    of retries hold for both."""

    in_flight: dict[str, int]  # launches at each endpoint
    retried: int = 0  # since it was last told


Shares = dict[str, float]  # to zone: part of the traffic


@dataclass(slots=True)
class FleetState:
    """What sidecars that know each other hold in common. Each one replaces the one before it, whole; without
    a next one it is taken back at `until`."""

    sidecars: int = 0  # that share the endpoints now; 0: as told at the start
    plan: dict[str, tuple[Shares, Shares]] = field(default_factory=dict)  # by workload; and if that is lost
    brakes: Shares = field(default_factory=dict)  # cold endpoints that get too much: what own rate is cut to
    listed: dict[str, int] = field(default_factory=dict)  # endpoints by zone, as own list names them
    until: int = 0


@dataclass(slots=True)
class DeploymentChanged:
    """Another deployment, whole, for all that arrives from now on. What the first one said of tier, family,
    place, lists and seed holds on."""

    deployment: Deployment


Event = (
    ListReceived
    | RequestArrived
    | ResponseStarted
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

# --- orders -------------------------------------------------------------------------------------


@dataclass(slots=True)
class StartAttempt:
    request: str
    endpoint: str
    until: int


@dataclass(slots=True)
class CancelAttempt:
    request: str
    attempt: int


@dataclass(slots=True)
class RejectRequest:
    request: str
    retry_after: int = 0


@dataclass(slots=True)
class AbortResponse:
    request: str


@dataclass(slots=True)
class SetTimer:
    at: int
    ref: int


@dataclass(slots=True)
class StartProbe:
    endpoint: str


@dataclass(slots=True)
class StartWatch:
    pass


@dataclass(slots=True)
class WriteLog:
    text: str


Command = (
    StartAttempt
    | CancelAttempt
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
    RejectRequest: "Deny",
    AbortResponse: "BreakOff",
    SetTimer: "WakeMe",
    StartProbe: "Probe",
    StartWatch: "Watch",
    WriteLog: "Log",
}
