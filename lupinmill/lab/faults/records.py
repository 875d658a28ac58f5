"""Records that the stand-ins keep of a run, the only input of the referee. Times are Unix seconds."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

HEARTBEAT_S, MIN_LAG_S = 0.05, 0.01
MAX_LOG_LINES = 400


class Fault(Enum):
    """Kinds of failure, as operators see them."""

    CRASHED = "crashed"
    HUNG = "hung"
    NOT_STARTED = "did not start"
    NOT_FROM_CLIENT = "sent what no client had sent"
    UNANSWERED = "a request without its one answer"
    UNSAFE = "an effect that may come twice, or a refusal that is not harmless"
    TOO_LATE = "sent after its end"
    LOGGED_DEFECT = "a defect, logged"


HTTP_1_0 = "HTTP/1.0"  # description of clients for which the end of the connection may end an answer
READING_LATE = "reading late"  # description of clients that send several requests and read later


class ConnectionEnd(Enum):
    """How a connection ended without an answer, as seen by the client's kernel."""

    NONE = "never answered"
    CLOSED = "closed, with all read"
    RESET = "reset"  # with the request unread, or closed before it arrived


@dataclass(slots=True)
class Violation:
    """A rule that was broken, once."""

    fault: Fault
    rule: str  # the same text for all violations of one kind
    sidecar: str
    text: str


@dataclass(slots=True)
class ProcessRecord:
    """One process of a sidecar, from its start to its exit."""

    sidecar: str
    number: int
    pid: int
    started_at: float
    plan_text: str
    config_valid: bool = True
    stdout_read: bool = True
    listening: bool = False  # according to its log
    can_hand_over: bool = True  # its TMPDIR is usable, so that the processes of an upgrade find each other
    ready_at: float | None = None
    terminated_at: float | None = None  # when the first SIGTERM was sent
    killed_at: float | None = None
    # When the documentation allows to kill it at the earliest, where that is planned; whether it had to be
    # killed then, which excuses no violation.
    kill_due_at: float | None = None
    killed_after_term: bool = False
    ended_at: float | None = None
    exit_code: int | None = None
    stop_spans: list[tuple[float, float]] = field(default_factory=list)
    # While idle connections used up its file descriptors.
    crowded_spans: list[tuple[float, float]] = field(default_factory=list)
    hangs: list[str] = field(default_factory=list)
    stderr_lines: list[str] = field(default_factory=list)
    log_lines: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_LOG_LINES))
    defect_lines: list[str] = field(default_factory=list)
    # Time of each SIGHUP after which discovery has another address, and the address.
    discovery_moves: list[tuple[float, str]] = field(default_factory=list)
    # While the interpreter itself was starting, when no program can handle signals.
    signalled_before_startup: bool = False
    # Time, and seconds for which the process has waited for a core so far.
    cpu_waits: list[tuple[float, float]] = field(default_factory=list)
    has_old_list: bool = False  # lists are pushed, and the one in its configuration is some seconds old
    discovery_addresses: list[str] = field(default_factory=list)  # at which its sidecar may call discovery

    def starved_between(self, begin: float, end: float) -> float:
        """Seconds for which it was ready to run without a core, in the span and a heartbeat on each side."""
        before = [wait for at, wait in self.cpu_waits if at < begin - HEARTBEAT_S]
        within = [wait for at, wait in self.cpu_waits if at <= end + 2 * HEARTBEAT_S]
        return within[-1] - (before[-1] if before else 0.0) if within else 0.0

    def stopped_between(self, begin: float, end: float) -> float:
        """Seconds of the span in which the process was stopped by SIGSTOP."""
        return sum(
            max(0.0, min(end, continued_at) - max(begin, stopped_at))
            for stopped_at, continued_at in self.stop_spans
        )

    @property
    def is_stopped(self) -> bool:
        """Whether it is stopped by SIGSTOP now."""
        return any(continued_at == float("inf") for _, continued_at in self.stop_spans)

    def crowded_between(self, begin: float, end: float) -> bool:
        return any(crowd_begin <= end and crowd_end >= begin for crowd_begin, crowd_end in self.crowded_spans)


@dataclass(slots=True)
class Answer:
    received_at: float
    status: int
    body: bytes
    closes: bool
    began_at: float = 0.0  # its first byte


@dataclass(slots=True)
class SentRequest:
    """A request as a client wrote it, and its outcome."""

    id: bytes
    customer: str
    process: ProcessRecord
    workload: str
    effect: str  # repeatable, by_key, once; or malformed, which must reach no endpoint
    method: bytes
    target: bytes
    body: bytes
    ids: list[bytes]
    keys: list[bytes]
    deadline: float
    description: str  # of the kind of client
    first_on_connection: bool = True
    opened_at: float = 0.0  # of the connection, if this request or its batch was the first on it
    written_at: float | None = None  # the last byte; None if the client broke off the request
    previous: SentRequest | None = None  # on the connection, if both were pipelined
    reads_from: float = 0.0  # before then the client reads nothing
    left_at: float | None = None  # when the client closed, reset or half-closed
    finished_at: float | None = None  # when the client stopped waiting, for whatever reason
    connection_end: ConnectionEnd = ConnectionEnd.NONE  # without an answer
    broken_answer: str = ""  # how an answer broke off, if the client could tell
    answers: list[Answer] = field(default_factory=list)
    extra_bytes: bytes = b""  # received after the answer


@dataclass(slots=True)
class Attempt:
    """A complete request as an endpoint read it."""

    endpoint: str
    group: str
    zone: str
    customer: str
    method: bytes
    target: bytes
    body: bytes
    ids: list[bytes]
    keys: list[bytes]
    deadline: bytes
    first_byte_at: float
    last_byte_at: float
    # False if the connection had ended: `first_byte_at` may then be the time of its end.
    timestamps_valid: bool = True
    declined: bool = False  # with Srv-Declined: the request did not run
    answer_body: bytes = b""  # of the 200 answer that the endpoint made for it
    answer_complete: bool = False  # all of that answer was sent
    given_slowly: bool = False
    cut_off_at: float | None = None  # when its endpoint, still giving it, found the connection closed
    longest_pause_s: float = 0.0  # between two of its pieces


@dataclass(slots=True)
class StatusChange:
    """A change of an endpoint's status at discovery."""

    at: float
    endpoint: str
    status: str


@dataclass(slots=True)
class OutSpan:
    """The time in which an operator has taken an endpoint out at one sidecar: from the yes to the call that
    puts it back, or until no process of the sidecar is left that could know of it."""

    sidecar: str
    endpoint: str
    since: float
    until: float = float("inf")


@dataclass(slots=True)
class Drain:
    """A drain of a sidecar, from the yes to the call that ends it."""

    sidecar: str
    since: float
    until: float = float("inf")
    # When `GET /ready` was asked, and when it was answered with yes.
    ready: list[tuple[float, float]] = field(default_factory=list)


class RunRecords:
    """Everything that happened in a run, including how late the campaign's own event loop was."""

    def __init__(self) -> None:
        self.processes: list[ProcessRecord] = []
        self.requests: dict[bytes, SentRequest] = {}
        self.attempts: list[Attempt] = []
        self.unexpected: list[tuple[str, str]] = []  # customer; what arrived that is not a valid request
        self.status_changes: dict[str, list[StatusChange]] = {}  # by customer
        self.reachable_spans: dict[str, list[tuple[float, float]]] = {}  # of a customer's discovery
        self.clock_steps: list[tuple[float, float]] = []  # when the system clock was set, and by how much
        self.out_spans: list[OutSpan] = []
        self.drains: list[Drain] = []
        # When the clock of a sidecar's processes was set, and by how much; their stand-ins' never is.
        self.process_clock_steps: list[tuple[float, str, float]] = []
        self.discovery_calls: dict[str, list[float]] = {}  # times, by the address of discovery
        self.discovery_answers: dict[str, list[float]] = {}  # the same of lists that it has written whole
        self.discovery_modes: dict[str, list[tuple[float, str]]] = {}  # since when which, by customer
        # By endpoint, while new connections to it were delayed.
        self.late_spans: dict[str, list[tuple[float, float]]] = {}
        self.loop_lags: list[tuple[float, float]] = []  # time of a heartbeat, and how late it was

    async def run_heartbeat(self) -> None:
        """Records how late the event loop is, steps of the system clock, and waits for a core."""
        while True:
            due, started_at = time.monotonic() + HEARTBEAT_S, time.time()
            await asyncio.sleep(HEARTBEAT_S)
            late_s, now = time.monotonic() - due, time.time()
            # Steps of the system clock count as lateness, as all timestamps come from that clock.
            step_s = abs((now - started_at) - (late_s + HEARTBEAT_S))
            if late_s + step_s > MIN_LAG_S:
                self.loop_lags.append((now, late_s + step_s))
            if step_s > MIN_LAG_S:
                self.clock_steps.append((now, step_s))
            for process in self.processes:
                if process.ended_at is None and (wait_s := cpu_wait_s(process.pid)):
                    process.cpu_waits.append((time.time(), wait_s))

    def mode_spans(self, customer: str) -> list[tuple[float, float, str]]:
        """Begin, end and mode of what the customer's discovery did."""
        modes = self.discovery_modes.get(customer, [])
        ends = [begin for begin, _ in modes[1:]] + [float("inf")]
        return [(begin, end, mode) for (begin, mode), end in zip(modes, ends)]

    def max_lag_between(self, begin: float, end: float) -> float:
        """The longest delay of the campaign's own event loop in the span."""
        return max(
            (late_s for at, late_s in self.loop_lags if begin <= at and at - late_s <= end), default=0.0
        )


def cpu_wait_s(pid: int) -> float:
    """Seconds for which the process was ready to run without a core; 0 if the kernel does not tell."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except (OSError, ValueError, IndexError):
        return 0.0
