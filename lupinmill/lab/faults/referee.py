"""The referee: judges a run from the records of its stand-ins alone, not from anything the program reports.

Time limits include an allowance for a machine that is busy with other work. They are extended by the time in
which a process was stopped or waited for a core."""

from __future__ import annotations

import signal
from collections import defaultdict

from lupinmill.lab.faults import start_lists
from lupinmill.lab.faults.customers import Customer, Workload
from lupinmill.lab.faults.excuses import (
    BUSY_MACHINE_S,
    CATCH_UP_S,
    FAR_FUTURE,
    READ_WITHIN_S,
    Excuses,
    was_slow,
)
from lupinmill.lab.faults.records import (
    Attempt,
    Drain,
    Fault,
    ProcessRecord,
    RunRecords,
    SentRequest,
    StatusChange,
    Violation,
)

ATTEMPT_AFTER_END_S = 0.1  # an attempt may still begin this long after its request has ended
ANSWER_AFTER_DEADLINE_S = 0.5  # an answer this long after the deadline is late, but not lost
DEADLINE_TOLERANCE_S = 0.15  # an endpoint may be given this much more time than the client has left
RELOAD_WITHIN_S = 4.0  # after SIGHUP, a reachable discovery is called at its configured address within this
CHANGE_KNOWN_WITHIN_S = 6.0  # a sidecar must know of a change once discovery was reachable for this long
PROTOCOL_TOLERANCE_S = 0.05  # each limit of the protocol is longer by this on sockets
EXIT_CONFIG_REFUSED = 2
# An endpoint stands still for half a second, beside a gap between two pieces of up to 0.45 s.
MAX_ENDPOINT_PAUSE_S = 1.0
REFUSAL_STATUSES = (429, 503)
SIGNAL_EXIT_CODES = (-signal.SIGHUP, -signal.SIGTERM)
MAX_BUFFERED_BODY = 64 * 1024  # bytes of a body


class Referee:
    """Checks the records of one run against the rules and collects the violations."""

    def __init__(self, records: RunRecords, customers: dict[str, Customer]) -> None:
        self.records, self.customers = records, customers
        self.violations: list[Violation] = []
        self.processes: dict[str, list[ProcessRecord]] = defaultdict(list)  # by sidecar
        for process in records.processes:
            self.processes[process.sidecar].append(process)
        self.excuses = Excuses(self.processes)
        self.attempts_by_id: dict[bytes, list[Attempt]] = defaultdict(list)  # by the first request id

    def report(self, fault: Fault, rule: str, sidecar: str, text: str) -> None:
        self.violations.append(Violation(fault, rule, sidecar, text))

    def tolerance(self, process: ProcessRecord, begin: float, end: float) -> float:
        """Allowance for a busy machine: time in which the sidecar's processes or the campaign did not run."""
        processes = self.processes[process.sidecar]
        stopped = sum(each.stopped_between(begin - CATCH_UP_S, end) for each in processes)
        starved = sum(each.starved_between(begin, end) for each in processes)
        return stopped + starved + self.records.max_lag_between(begin, end + 0.1)

    def describe_delays(self, sent: SentRequest, attempt: Attempt) -> str:
        begin, end = sent.written_at or 0.0, attempt.last_byte_at
        starved = sum(each.starved_between(begin, end) for each in self.processes[sent.process.sidecar])
        late_s = self.records.max_lag_between(begin, end + 0.1)
        return f"without a core {starved:.3f} s, campaign late {late_s:.3f} s"

    def judge(self) -> list[Violation]:
        for process in self.records.processes:
            self.judge_process(process)
        for customer, text in self.records.unexpected:
            self.report(Fault.NOT_FROM_CLIENT, "no request", customer, text)
        for attempt in self.records.attempts:
            self.judge_origin(attempt)
        for sent in self.records.requests.values():
            attempts = sorted(self.attempts_by_id[sent.id], key=lambda attempt: attempt.last_byte_at)
            if sent.effect == "malformed":
                self.judge_malformed(sent)
                continue
            self.judge_answer(sent, attempts)
            self.judge_effect(sent, attempts)
            for attempt in attempts:
                self.judge_times(sent, attempt)
                self.judge_listing(sent, attempt)
                self.judge_out_by_hand(sent, attempt)
        for drain in self.records.drains:
            self.judge_drain(drain)
        return self.violations

    # Processes.

    def judge_process(self, process: ProcessRecord) -> None:
        for text in process.hangs:
            fault = Fault.NOT_STARTED if process.ready_at is None and "ready" in text else Fault.HUNG
            self.report(fault, text, process.sidecar, f"life {process.number} (pid {process.pid}): {text}")
        for text in process.defect_lines:
            self.report(
                Fault.LOGGED_DEFECT,
                "a defect in the log",
                process.sidecar,
                f"life {process.number}: {text[:400]}",
            )
        if not process.config_valid:
            self.judge_refusal(process)
            return
        self.judge_moves(process)
        ready_at = process.ready_at or process.started_at
        late_start = start_lists.describe_late_start(
            process, self.tolerance(process, process.started_at, ready_at)
        )
        if late_start is not None:
            self.report(Fault.NOT_STARTED, "not ready by its list", process.sidecar, late_start)
        if process.killed_at is not None or process.hangs:
            return
        if process.signalled_before_startup and process.exit_code in SIGNAL_EXIT_CODES:
            return
        if process.terminated_at is None:
            fault = Fault.CRASHED if process.ready_at is not None else Fault.NOT_STARTED
            self.report(
                fault,
                "ended unasked",
                process.sidecar,
                f"life {process.number} ended unasked with {process.exit_code}: {last_errors(process)}",
            )
        elif process.exit_code != 0:
            self.report(
                Fault.CRASHED,
                "did not end well after SIGTERM",
                process.sidecar,
                f"life {process.number}: SIGTERM, exit {process.exit_code}: {last_errors(process)}",
            )

    def judge_moves(self, process: ProcessRecord) -> None:
        """Checks that SIGHUP takes effect: discovery is called at its configured address."""
        if process.ready_at is None:
            return
        ends = [process.terminated_at, process.killed_at, process.ended_at]
        ends += [
            other.started_at
            for other in self.processes[process.sidecar]
            if other.started_at > process.started_at
        ]  # processes of an upgrade
        ends += [moved_at for moved_at, _ in process.discovery_moves[1:]] + [FAR_FUTURE]
        for moved_at, address in process.discovery_moves:
            until = min(end for end in ends if end is not None and end > moved_at)
            since = max(moved_at, process.ready_at)
            longest = max(
                (end - begin for begin, end in self.reachable_spans(process, since, until)), default=0.0
            )
            if longest < RELOAD_WITHIN_S + BUSY_MACHINE_S + self.tolerance(process, since, until):
                continue
            if not any(moved_at <= call <= until for call in self.records.discovery_calls.get(address, ())):
                text = f"life {process.number}: no call at {address} in {until - moved_at:.2f} s after SIGHUP"
                self.report(Fault.NOT_STARTED, "reload missed", process.sidecar, text)

    def reachable_spans(
        self, process: ProcessRecord, since: float, until: float
    ) -> list[tuple[float, float]]:
        """The parts of the given time in which the discovery of the process was reachable."""
        spans = self.records.reachable_spans[process.sidecar.rpartition("-")[0]]
        return [(max(begin, since), min(end, until)) for begin, end in spans]

    def judge_refusal(self, process: ProcessRecord) -> None:
        if process.hangs:
            return
        if process.exit_code != EXIT_CONFIG_REFUSED or len(process.stderr_lines) != 1:
            lines = f"{len(process.stderr_lines)} lines: {last_errors(process)}"
            text = f"a configuration that can't be served: exit {process.exit_code}, {lines}"
            self.report(
                Fault.NOT_STARTED,
                "refusal of a configuration",
                process.sidecar,
                f"life {process.number}: {text}",
            )

    # Requests that endpoints received.

    def judge_origin(self, attempt: Attempt) -> None:
        request_id = attempt.ids[0] if attempt.ids else b""
        sent = self.records.requests.get(request_id)
        description = f"{attempt.endpoint} got {attempt.method!r} {attempt.target!r} id {attempt.ids!r}"
        if sent is None:
            self.report(
                Fault.NOT_FROM_CLIENT, "unknown id", attempt.customer, f"{description}: no client sent it"
            )
            return
        self.attempts_by_id[request_id].append(attempt)
        if sent.effect == "malformed":
            self.report(
                Fault.NOT_FROM_CLIENT,
                sent.description,
                sent.process.sidecar,
                f"{description}: its client's was {sent.description}",
            )
            return
        if sent.customer != attempt.customer:
            self.report(
                Fault.NOT_FROM_CLIENT,
                "another customer's",
                sent.process.sidecar,
                f"{description}: another customer's",
            )
        for part in ("method", "target", "ids", "keys", "body"):
            wrote, received = getattr(sent, part), getattr(attempt, part)
            if wrote != received:
                text = (
                    f"{description}: {part} {str(received)[:120]},"
                    f" its client ({sent.description}) wrote {str(wrote)[:120]}"
                )
                self.report(Fault.NOT_FROM_CLIENT, f"{part} changed", sent.process.sidecar, text)
        if sent.written_at is None:
            self.report(
                Fault.NOT_FROM_CLIENT,
                "not whole",
                sent.process.sidecar,
                f"{description}: its client ({sent.description}) never sent it whole",
            )

    def judge_malformed(self, sent: SentRequest) -> None:
        if sent.written_at is None or not sent.answers:
            if (
                sent.written_at is not None
                and not sent.broken_answer
                and not self.excuses.is_excused(sent, [])
            ):
                if sent.description == "malformed: bad chunk, cut" and sent.process.terminated_at is not None:
                    return  # the request is incomplete, and its process has ended meanwhile
                self.report(
                    Fault.UNANSWERED,
                    f"{sent.description}: no answer",
                    sent.process.sidecar,
                    f"{sent.description}: no answer ({describe_end(sent)}, {describe_moment(sent)})",
                )
            return
        status = sent.answers[0].status
        if not 400 <= status < 500 and status != 503:
            self.report(
                Fault.UNANSWERED,
                f"{sent.description}: answered",
                sent.process.sidecar,
                f"{sent.description}: answered {status}",
            )

    # Answers.

    def judge_answer(self, sent: SentRequest, attempts: list[Attempt]) -> None:
        sidecar = sent.process.sidecar
        description = (
            f"{sent.id.decode()} ({sent.description}, {sent.effect},"
            f" {sent.deadline:g} s, {describe_moment(sent)})"
        )
        if sent.extra_bytes:
            self.report(
                Fault.UNANSWERED,
                "bytes that are no answer",
                sidecar,
                f"{description}: bytes that are no answer of its: {sent.extra_bytes[:80]!r}",
            )
        if sent.written_at is None:
            return
        if not sent.answers:
            self.judge_broken(sent, attempts, description)
            self.judge_cut_off(sent, attempts, description)
            if (
                sent.left_at is None
                and not sent.broken_answer
                and not self.excuses.is_excused(sent, attempts)
            ):
                sent_on = f", {len(attempts)} attempts" if attempts else ""
                self.report(
                    Fault.UNANSWERED,
                    "no answer",
                    sidecar,
                    f"{description}: no answer ({describe_end(sent)}{sent_on})",
                )
            return
        answer = sent.answers[0]
        readable_at = max(previous_finished_at(sent), sent.reads_from)
        # Of a long answer the first bytes are timed.
        answered_at = answer.began_at if len(answer.body) > MAX_BUFFERED_BODY else answer.received_at
        late_s = answered_at - max(sent.written_at + sent.deadline, readable_at)
        if late_s > ANSWER_AFTER_DEADLINE_S + 2 * BUSY_MACHINE_S + self.tolerance(
            sent.process, sent.written_at, answer.received_at
        ):
            self.report(
                Fault.UNANSWERED,
                "answered late",
                sidecar,
                f"{description}: answered {late_s:.2f} s after its deadline",
            )
        made = [attempt.answer_body for attempt in attempts if attempt.answer_body]
        if answer.status == 200 and answer.body not in made and not self.excuses.is_cut_by_kill(sent, made):
            body = f"{answer.body[:80]!r} ({len(answer.body)} bytes)"
            text = f"{description}: served with {body}, which no endpoint made for it"
            self.report(Fault.NOT_FROM_CLIENT, "served with what was not made", sidecar, text)
        if 400 <= answer.status < 500 and answer.status != 429 and not may_be_refused(sent):
            self.report(
                Fault.UNANSWERED,
                "refused as malformed",
                sidecar,
                f"{description}: refused as malformed, {answer.status}: {answer.body[:80]!r}",
            )

    def judge_broken(self, sent: SentRequest, attempts: list[Attempt], description: str) -> None:
        """Checks that a client that reads late, but before its deadline, gets an answer whole that was made
        whole."""
        if not sent.broken_answer or not sent.reads_from or sent.written_at is None:
            return
        readable_at = max(previous_finished_at(sent), sent.reads_from)
        finished = sent.finished_at or FAR_FUTURE
        if readable_at + READ_WITHIN_S > sent.written_at + sent.deadline or not all(
            attempt.answer_complete for attempt in attempts
        ):
            return
        if self.excuses.is_excused(sent, attempts):
            return
        if self.tolerance(sent.process, sent.written_at, finished) > READ_WITHIN_S:
            return
        self.report(
            Fault.UNANSWERED,
            "a whole answer broke off",
            sent.process.sidecar,
            f"{description}: {sent.broken_answer}, which its endpoint sent whole",
        )

    def judge_cut_off(self, sent: SentRequest, attempts: list[Attempt], description: str) -> None:
        """Checks that no answer ends before its end while its endpoint still gives it, with no longer pause
        than it may make. Not judged where the process was told to end before."""
        given = [attempt for attempt in attempts if not attempt.declined]
        if (
            not given
            or not sent.broken_answer
            or sent.left_at is not None
            or self.excuses.is_excused(sent, attempts)
        ):
            return
        finished = sent.finished_at or FAR_FUTURE
        if any(
            attempt.cut_off_at is None or attempt.longest_pause_s > MAX_ENDPOINT_PAUSE_S for attempt in given
        ):
            return
        if (
            self.excuses.was_ending(sent)
            or self.tolerance(sent.process, sent.written_at or 0.0, finished) > READ_WITHIN_S
        ):
            return
        self.report(
            Fault.UNANSWERED,
            "cut off while its endpoint gave it",
            sent.process.sidecar,
            f"{description}: {sent.broken_answer} {finished - (sent.written_at or 0.0):.2f} s after it was"
            f" sent, longest pause {max(attempt.longest_pause_s for attempt in given):.2f} s",
        )

    # Effects.

    def judge_effect(self, sent: SentRequest, attempts: list[Attempt]) -> None:
        customer = self.customers[sent.customer]
        workload = next(each for each in customer.workloads if each.name == sent.workload)
        max_attempts = customer.settings["limits"]["most-launches"]
        sidecar, description = sent.process.sidecar, f"{sent.id.decode()} ({sent.description}, {sent.effect})"
        if len(attempts) > max_attempts:
            self.report(
                Fault.UNSAFE,
                "more attempts than allowed",
                sidecar,
                f"{description}: {len(attempts)} attempts where {max_attempts} are allowed",
            )
        ran = [attempt for attempt in attempts if not attempt.declined]
        keyed = sent.effect == "by_key" and bool(sent.keys)
        if sent.effect != "repeatable" and not keyed and len(ran) > 1:
            places = [
                f"{attempt.endpoint} at {attempt.last_byte_at - (sent.written_at or 0):+.3f} s"
                for attempt in ran
            ]
            self.report(
                Fault.UNSAFE,
                "once, twice",
                sidecar,
                f"{description}: may have run {len(ran)} times: {places}",
            )
        if keyed and len(ran) > 1:
            self.judge_keyed(sent, workload, ran)
        harmless = sent.effect == "repeatable" or keyed and workload.group == "all"
        if sent.answers and sent.answers[0].status in REFUSAL_STATUSES and ran and not harmless:
            text = (
                f"{description}: refused with {sent.answers[0].status}, and may have run at {ran[0].endpoint}"
            )
            self.report(Fault.UNSAFE, "refused, may have run", sidecar, text)

    def judge_keyed(self, sent: SentRequest, workload: Workload, ran: list[Attempt]) -> None:
        first = ran[0]
        for other in ran[1:]:
            text = f"{sent.id.decode()} (by_key, group {workload.group}, window {workload.window:g} s): "
            if (
                workload.group == "cell"
                and other.group != first.group
                or workload.group == "zone"
                and other.zone != first.zone
            ):
                self.report(
                    Fault.UNSAFE,
                    "outside its group",
                    sent.process.sidecar,
                    f"{text}{first.endpoint}, then {other.endpoint}",
                )
            after = other.last_byte_at - first.last_byte_at
            allowed = workload.window + PROTOCOL_TOLERANCE_S + BUSY_MACHINE_S / 4
            if after > allowed + self.tolerance(sent.process, first.last_byte_at, other.last_byte_at):
                self.report(
                    Fault.UNSAFE,
                    "outside its window",
                    sent.process.sidecar,
                    f"{text}again after {after:.3f} s ({self.describe_run(sent, first, other)})",
                )

    def describe_run(self, sent: SentRequest, first: Attempt, other: Attempt) -> str:
        """How two attempts of a request reached their endpoints, and what became of its process meanwhile."""
        parts = [self.describe_arrival(sent, attempt) for attempt in (first, other)]
        process = sent.process
        ends = {"SIGTERM": process.terminated_at, "SIGKILL": process.killed_at, "end": process.ended_at}
        parts += [f"{name} {describe_offset(sent, at)}" for name, at in ends.items() if at is not None]
        if sent.left_at is not None:
            parts.append(f"client left {describe_offset(sent, sent.left_at)}")
        if sent.answers:
            answer = sent.answers[0]
            parts.append(f"answered {answer.status} {describe_offset(sent, answer.received_at)}")
        return "; ".join([*parts, describe_moment(sent), self.describe_delays(sent, other)])

    def describe_arrival(self, sent: SentRequest, attempt: Attempt) -> str:
        spans = self.records.late_spans.get(attempt.endpoint, ())
        late = any(begin <= attempt.last_byte_at and (sent.written_at or 0.0) <= end for begin, end in spans)
        first, last = (describe_offset(sent, at) for at in (attempt.first_byte_at, attempt.last_byte_at))
        return f"{attempt.endpoint} {first} to {last}" + ", whose accept queue was full" * late

    # Deadlines and discovery changes.

    def judge_times(self, sent: SentRequest, attempt: Attempt) -> None:
        if sent.written_at is None:
            return
        spans = self.records.late_spans.get(attempt.endpoint, ())
        late = any(begin <= attempt.last_byte_at and sent.written_at <= end for begin, end in spans)
        if late or not attempt.timestamps_valid:
            return  # bytes that such an endpoint reads may have been written long before
        description = f"{sent.id.decode()} ({sent.description}, {sent.deadline:g} s) at {attempt.endpoint}"
        ends = [
            sent.written_at + sent.deadline,
            sent.left_at,
            sent.answers[0].received_at if sent.answers else None,
        ]
        names = ["its deadline", "its client had left", "its answer"]
        for end, name in zip(ends, names):
            if end is None or attempt.first_byte_at <= end:
                continue  # in time; `tolerance` expects a span whose end follows its begin
            after = attempt.first_byte_at - end
            if after > ATTEMPT_AFTER_END_S + BUSY_MACHINE_S / 4 + self.tolerance(
                sent.process, end, attempt.first_byte_at
            ):
                self.report(
                    Fault.TOO_LATE,
                    f"begun after {name}",
                    sent.process.sidecar,
                    f"{description}: begun {after:.3f} s after {name}",
                )
        self.judge_deadline(sent, attempt, description)

    def judge_deadline(self, sent: SentRequest, attempt: Attempt, description: str) -> None:
        """Checks that an endpoint is given at most the time that the client has left."""
        assert sent.written_at is not None
        try:
            granted_s = float(attempt.deadline)
        except ValueError:
            self.report(
                Fault.NOT_FROM_CLIENT,
                "deadline that is none",
                sent.process.sidecar,
                f"{description}: told the deadline {attempt.deadline!r}",
            )
            return
        # A large body is streamed, so the deadline is written before the body has arrived.
        received_at = attempt.first_byte_at if len(sent.body) > MAX_BUFFERED_BODY else attempt.last_byte_at
        left_s = min(sent.deadline, max(0.0, sent.written_at + sent.deadline - received_at))
        if granted_s > left_s + DEADLINE_TOLERANCE_S + self.tolerance(
            sent.process, sent.written_at, attempt.last_byte_at
        ):
            after = attempt.last_byte_at - sent.written_at
            self.report(
                Fault.TOO_LATE,
                "told more time than is left",
                sent.process.sidecar,
                f"{description}: told {granted_s:.3f} s, {left_s:.3f} s left, {after:.3f} s on;"
                f" {self.describe_delays(sent, attempt)}",
            )

    def judge_listing(self, sent: SentRequest, attempt: Attempt) -> None:
        """Checks that a draining or deleted endpoint gets no attempt once that is known, after the grace."""
        changes = self.records.status_changes[attempt.customer]
        unwanted: StatusChange | None = None
        for change in changes:
            if change.endpoint == attempt.endpoint and change.at <= attempt.first_byte_at:
                unwanted = None if change.status == "SERVING" else unwanted or change
        if unwanted is None:
            return
        self.judge_start_list(sent, attempt, unwanted)
        known_at = self.known_at(max(unwanted.at, sent.process.started_at), attempt)
        if known_at is None:
            return
        after = attempt.first_byte_at - known_at
        allowed = self.customers[attempt.customer].grace + PROTOCOL_TOLERANCE_S + BUSY_MACHINE_S
        if after > allowed + self.tolerance(
            sent.process, known_at - CHANGE_KNOWN_WITHIN_S, attempt.first_byte_at
        ):
            since = attempt.first_byte_at - unwanted.at
            text = f"{sent.id.decode()} to {attempt.endpoint}, {unwanted.status} since {since:.2f} s"
            self.report(
                Fault.TOO_LATE,
                "sent to what is gone",
                sent.process.sidecar,
                f"{text}, told since {after:.2f} s",
            )

    def judge_start_list(self, sent: SentRequest, attempt: Attempt, unwanted: StatusChange) -> None:
        """Checks that no attempt goes by an old list of the start while discovery may still answer."""
        told_at = start_lists.told_at(self.records, unwanted, sent.process, attempt)
        if told_at is None:
            return
        after = attempt.first_byte_at - told_at
        allowed = self.customers[attempt.customer].grace + PROTOCOL_TOLERANCE_S + BUSY_MACHINE_S
        if after > allowed + self.tolerance(sent.process, told_at, attempt.first_byte_at):
            self.report(
                Fault.TOO_LATE,
                "sent by an old list",
                sent.process.sidecar,
                f"{sent.id.decode()} to {attempt.endpoint}, {unwanted.status}, told since {after:.2f} s,"
                f" {describe_moment(sent)}",
            )

    def judge_out_by_hand(self, sent: SentRequest, attempt: Attempt) -> None:
        """Checks that an endpoint that operators have taken out gets no attempt after the grace, whatever
        discovery lists and over upgrades."""
        for span in self.records.out_spans:
            if (span.sidecar, span.endpoint) != (sent.process.sidecar, attempt.endpoint):
                continue
            after = attempt.first_byte_at - span.since
            if after <= 0 or attempt.first_byte_at >= span.until:
                continue
            allowed = self.customers[attempt.customer].grace + PROTOCOL_TOLERANCE_S + BUSY_MACHINE_S
            if after > allowed + self.tolerance(sent.process, span.since, attempt.first_byte_at):
                self.report(
                    Fault.TOO_LATE,
                    "sent to what is out by hand",
                    span.sidecar,
                    f"{sent.id.decode()} to {attempt.endpoint}, out since {after:.2f} s",
                )

    def judge_drain(self, drain: Drain) -> None:
        """Checks that a sidecar that drains says that it isn't ready, also over upgrades."""
        for asked_at, answered_at in drain.ready:
            if drain.since + BUSY_MACHINE_S < asked_at and answered_at < drain.until:
                self.report(
                    Fault.TOO_LATE,
                    "ready while it drains",
                    drain.sidecar,
                    f"GET /ready answered yes {asked_at - drain.since:.2f} s after the yes to the drain",
                )

    def known_at(self, listed_at: float, attempt: Attempt) -> float | None:
        """When the sidecar must know of a change listed since `listed_at`; None if that is not due."""
        for begin, end in self.records.reachable_spans[attempt.customer]:
            since = max(begin, listed_at)
            if end - since >= CHANGE_KNOWN_WITHIN_S:
                return since + CHANGE_KNOWN_WITHIN_S
        return None


def may_be_refused(sent: SentRequest) -> bool:
    """Whether a sidecar may refuse this valid request: it cannot be forwarded unchanged, or was slow."""
    return sent.description in ("named in Connection", "trickling") or was_slow(sent)


def previous_finished_at(sent: SentRequest) -> float:
    """When the previous request of the same pipelined batch was answered; 0 if there is none."""
    return sent.previous.finished_at or 0.0 if sent.previous is not None else 0.0


def describe_offset(sent: SentRequest, at: float) -> str:
    """A moment, by the time at which the client had written the request."""
    return f"{at - (sent.written_at or 0.0):+.3f} s"


def describe_moment(sent: SentRequest) -> str:
    after = (sent.written_at or 0.0) - sent.process.started_at
    return f"life {sent.process.number}, {after:.2f} s after its start"


def describe_end(sent: SentRequest) -> str:
    if sent.finished_at is None or sent.written_at is None:
        return "not waited for"
    after = sent.finished_at - sent.written_at
    opened_ms = (sent.written_at - sent.opened_at) * 1000
    first = f", first on its connection, opened {opened_ms:.0f} ms before" if sent.first_on_connection else ""
    return f"{sent.connection_end.value} after {after:.2f} s{first}"


def last_errors(process: ProcessRecord) -> str:
    return " | ".join(process.stderr_lines[-2:])[-300:]


def judge(records: RunRecords, customers: dict[str, Customer]) -> list[Violation]:
    """All violations in the records of a run."""
    return Referee(records, customers).judge()
