"""The interface of the decision module: what it is told, what it orders. No decisions live here.

All times are whole microseconds of the caller's clock; ids are opaque and returned as received. A protocol
adapter turns its messages into notes, calls `rules.Sidecar.step(now, notes)` and carries out the orders that
come back, in their order."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Repeat(Enum):
    """What a workload allows once a launch may have run."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    UNREPEATABLE = "unrepeatable"


class Group(Enum):
    """Which endpoints drop each other's repeats of a deduplicated submission."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class How(Enum):
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


NEVER_RAN = (How.REFUSED, How.UNCONNECTED, How.UNSENT)


class State(Enum):
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
    repeat: Repeat = Repeat.UNREPEATABLE
    group: Group = Group.CELL
    window: int = 0
    zones: tuple[str, ...] = ()  # where any, only endpoints in these are open to it, ...
    kinds: tuple[str, ...] = ()  # ... and only those of these kinds

    def open_at(self, entry: Listing) -> bool:
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
    must_ask: bool = False
    ask_within: int = 0
    grace: int = 500_000  # for which launches may still go to an endpoint that drains or is gone
    cold_share: float = 1.0
    cold_time: int = 0
    overload_time: int = 1_000_000  # a cold endpoint falls over from what it is sent within so long
    round: int = 1000
    most_launches: int = 1
    copies_allowed: bool = False
    cancel_allowed: bool = False
    probes_allowed: bool = False
    reports_asked: bool = False  # load reports come with probes alone
    advice_allowed: bool = False
    longest_advice: int = 0
    beside: bool = False  # each client process has a sidecar of its own
    zone: str = ""  # where this sidecar is
    gone_binds: bool = True  # else an endpoint that the list drops undrained may still be sent to
    uneven: bool = False  # endpoints differ in kind, or in what it costs to reach them
    crossing_price: float = 0.0  # for each launch that crosses zones, as a part of a submission's value
    warm_keys: bool = False  # an endpoint handles with less work a key that it met lately
    weights_tell_speed: bool = False  # an endpoint's weight holds its speed too, not its cores alone
    weights_live: bool = False  # a weight falls with what its endpoint holds, and varies between lists
    few_connections: bool = False  # one carries many launches, and open ones are priced


@dataclass(slots=True)
class Load:
    """A load report; figures that did not come are None."""

    queued: float | None = None
    held: float | None = None
    busy: float | None = None
    service: float | None = None  # microseconds
    rate: float | None = None


@dataclass(slots=True)
class Listing:
    endpoint: str
    state: State
    zone: str = ""
    kind: str = ""
    cell: str = ""
    started: int = 0  # 0: long ago
    weight: float = 1.0  # its size against that of others


# --- notes from outside -------------------------------------------------------------------------


@dataclass(slots=True)
class Listed:
    kind: ListKind
    entries: list[Listing]


@dataclass(slots=True)
class Arrived:
    submission: str
    workload: str
    due: int
    tenant: str = ""
    repeated: bool = False
    whole: bool = True  # else it is still coming: `due` is a guess until `Whole`
    key: str = ""  # what it is about
    keyed: bool = True  # else nothing would drop its repeats, whatever its workload says


@dataclass(slots=True)
class Whole:
    """The last byte of a submission has come that arrived before; from here its time counts."""

    submission: str
    due: int


@dataclass(slots=True)
class Started:
    """A streamed answer has begun; the submission belongs to its client now."""

    submission: str
    launch: int


@dataclass(slots=True)
class Ended:
    submission: str
    launch: int
    how: How
    took: int
    closed: bool = False
    load: Load | None = None
    last: bool = False  # no other launch can be made: part of what it would send is not kept


@dataclass(slots=True)
class Withdrawn:
    submission: str


@dataclass(slots=True)
class Woke:
    ref: int


@dataclass(slots=True)
class Probed:
    endpoint: str
    how: How
    took: int
    load: Load | None = None


@dataclass(slots=True)
class ByHand:
    """Operators take an endpoint out, whatever lists say meanwhile, or put it back: then it was restarted."""

    endpoint: str
    out: bool


@dataclass(slots=True)
class Elsewhere:
    """What an older process of this sidecar still has out, until it has ended: one set of caps and one budget
    of retries hold for both."""

    flying: dict[str, int]  # launches at each endpoint
    retried: int = 0  # since it was last told


Shares = dict[str, float]  # to zone: part of the traffic


@dataclass(slots=True)
class Common:
    """What sidecars that know each other hold in common. Each one replaces the one before it, whole; without
    a next one it is taken back at `until`."""

    sidecars: int = 0  # that share the endpoints now; 0: as told at the start
    plan: dict[str, tuple[Shares, Shares]] = field(default_factory=dict)  # by workload; and if that is lost
    brakes: Shares = field(default_factory=dict)  # cold endpoints that get too much: what own rate is cut to
    listed: dict[str, int] = field(default_factory=dict)  # endpoints by zone, as own list names them
    until: int = 0


@dataclass(slots=True)
class Deployed:
    """Another deployment, whole, for all that arrives from now on. What the first one said of tier, family,
    place, lists and seed holds on."""

    deployment: Deployment


Note = (
    Listed
    | Arrived
    | Started
    | Ended
    | Withdrawn
    | Woke
    | Probed
    | ByHand
    | Whole
    | Elsewhere
    | Common
    | Deployed
)

# --- orders -------------------------------------------------------------------------------------


@dataclass(slots=True)
class Launch:
    submission: str
    endpoint: str
    until: int


@dataclass(slots=True)
class CallOff:
    submission: str
    launch: int


@dataclass(slots=True)
class Deny:
    submission: str
    come_back: int = 0


@dataclass(slots=True)
class BreakOff:
    submission: str


@dataclass(slots=True)
class WakeMe:
    at: int
    ref: int


@dataclass(slots=True)
class Probe:
    endpoint: str


@dataclass(slots=True)
class Watch:
    pass


@dataclass(slots=True)
class Log:
    text: str


Order = Launch | CallOff | Deny | BreakOff | WakeMe | Probe | Watch | Log
