"""Which causes outside the program excuse that a request has no whole answer: kills, stops, crowds and slow
clients, by the records of a run."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from lupinmill.lab.faults.records import (
    HEARTBEAT_S,
    HTTP_1_0,
    Attempt,
    ConnectionEnd,
    ProcessRecord,
    SentRequest,
)

BUSY_MACHINE_S = 1.0  # allowance for a busy machine, in limits that stand for a state
ACCEPTS_AFTER_TERM_S = 0.35  # new connections are accepted this long after SIGTERM
CATCH_UP_S = 2.0  # time after SIGCONT in which the backlog of the stop is processed
SLOW_CLIENT_S = 1.0  # longest time from connecting to the last byte of a request of a well-behaved client
READ_WITHIN_S = 0.3  # in which a client that reads late gets all that is there
SLOW_CLIENTS = ("trickling", "large")  # descriptions of clients whose request arrives in parts
FAR_FUTURE = 1e12


class Excuses:
    """`processes`: those of a run, by sidecar."""

    def __init__(self, processes: Mapping[str, Sequence[ProcessRecord]]) -> None:
        self.processes = processes

    def was_ending(self, sent: SentRequest) -> bool:
        """Whether a process that may have held the request was told to end before the client had finished."""
        finished = sent.finished_at or FAR_FUTURE
        return any(
            process.terminated_at is not None and process.started_at <= finished >= process.terminated_at
            for process in self.processes[sent.process.sidecar]
            if process.ended_at is None or process.ended_at >= (sent.written_at or 0.0)
        )

    def is_cut_by_kill(self, sent: SentRequest, made: list[bytes]) -> bool:
        """Whether an answer was cut off by a kill that came without a notice, at a client that could not tell
        by its protocol."""
        finished = sent.finished_at or FAR_FUTURE
        killed = any(
            process.killed_at is not None
            and not process.killed_after_term
            and (sent.written_at or 0.0) <= process.killed_at <= finished + HEARTBEAT_S
            for process in self.processes[sent.process.sidecar]
        )
        begun = any(body.startswith(sent.answers[0].body) for body in made)
        return killed and begun and sent.description == HTTP_1_0

    def is_excused(self, sent: SentRequest, attempts: list[Attempt]) -> bool:
        """Whether a cause outside the program explains that a request has no answer."""
        process, finished = sent.process, sent.finished_at or FAR_FUTURE
        assert sent.written_at is not None
        for each in self.processes[process.sidecar]:  # there are two in an upgrade
            until = FAR_FUTURE if each is process else each.ended_at or FAR_FUTURE
            killed = each.killed_at is not None and not each.killed_after_term
            if killed and sent.written_at <= until and finished >= each.killed_at - HEARTBEAT_S:
                return True
            if each.stopped_between(sent.written_at - CATCH_UP_S, finished) > 0:
                return True
            if each.killed_at is not None and sent.written_at <= each.killed_at <= self.read_by(sent):
                return True
        if attempts:
            return False
        if self.opened_before_kill(sent):
            return True
        if sent.previous is not None and self.closed_by_answer(sent.previous):
            return True
        crowded = process.crowded_between(sent.written_at - BUSY_MACHINE_S, finished)
        if sent.connection_end is not ConnectionEnd.RESET:
            return (
                crowded and sent.description in SLOW_CLIENTS and sent.connection_end is ConnectionEnd.CLOSED
            )
        if not sent.first_on_connection or crowded or was_slow(sent):
            return True
        return any(
            self.refused_at_exit(each, sent.written_at, finished) for each in self.processes[process.sidecar]
        )

    def opened_before_kill(self, sent: SentRequest) -> bool:
        """Whether it was written on a connection that a killed process may have accepted before."""
        return any(
            each.killed_at is not None
            and not each.killed_after_term
            and each.started_at <= sent.opened_at <= each.killed_at <= (sent.written_at or 0.0)
            for each in self.processes[sent.process.sidecar]
        )

    def read_by(self, sent: SentRequest) -> float:
        """When a client that reads late should have got what was there; 0 for any other."""
        return sent.reads_from + READ_WITHIN_S if sent.reads_from else 0.0

    def refused_at_exit(self, process: ProcessRecord, written: float, finished: float) -> bool:
        """Whether the connection failed because the process was exiting: it accepted no more connections, or
        could not hand over its listening socket."""
        if process.terminated_at is None or finished <= process.terminated_at:
            return False
        if process.ended_at is not None and written > process.ended_at + BUSY_MACHINE_S:
            return False
        return written > process.terminated_at + ACCEPTS_AFTER_TERM_S or not process.can_hand_over

    def closed_by_answer(self, sent: SentRequest) -> bool:
        """Whether the answer to this request ended the connection, so that no later request on it is read."""
        if sent.answers:
            return sent.answers[0].closes
        return bool(sent.broken_answer) or sent.previous is not None and self.closed_by_answer(sent.previous)


def was_slow(sent: SentRequest) -> bool:
    """Whether it was written so late, as on a busy machine, that the sidecar need not wait for it."""
    return bool(sent.opened_at) and (sent.written_at or 0.0) - sent.opened_at > SLOW_CLIENT_S
