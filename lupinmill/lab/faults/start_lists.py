"""Starts with an old list where lists are pushed: how they are drawn, and how they are judged.

Judged by what discovery itself recorded. Until it has answered a process for the first time, each change that
it has counts as told from the start of that process, or from when discovery could be reached again."""

from __future__ import annotations

from random import Random

from lupinmill.lab.faults.discovery import CROWDED, LATE, MIXED, TRICKLED, UP, WATCHES_SILENT
from lupinmill.lab.faults.excuses import BUSY_MACHINE_S
from lupinmill.lab.faults.records import Attempt, ProcessRecord, RunRecords, StatusChange
from lupinmill.lab.faults.schedule import SERVE, ListEvent, ProcessPlan

# Seconds without an answer after which a process may go by its list, as discovery may be silent for good.
SILENT_AFTER_S = 5.0
READY_WITHIN_S = 10.0  # in which a restarted process has to be ready, whatever discovery does
UNANSWERING_MODES = ("silent", "503")
MODES = (CROWDED, CROWDED, LATE, MIXED, TRICKLED, WATCHES_SILENT, UP, "down", *UNANSWERING_MODES)
MIN_MODE_S, MAX_MODE_S = 5.0, 10.0
MIN_LIFE_S, MAX_LIFE_S = 4.0, 9.0
MIN_LIST_AGE_S, MAX_LIST_AGE_S = 1.0, 8.0
MIN_CHANGE_S, MAX_CHANGE_S = 1.5, 4.0  # between two changes of one endpoint
ENDS = ("KILL", "KILL", "KILL", "TERM")


def draw_plans(random: Random, seconds: float) -> list[ProcessPlan]:
    """Processes that are killed soon and start again with a list that is some seconds old."""
    plans: list[ProcessPlan] = []
    at_s = 0.0
    while at_s < seconds:
        length_s = round(random.uniform(MIN_LIFE_S, MAX_LIFE_S), 2)
        plan = ProcessPlan(SERVE, length_s, random.choice(ENDS), "own", "read", knows_list=True)
        plan.list_age_s = round(random.uniform(MIN_LIST_AGE_S, MAX_LIST_AGE_S), 2)
        plans.append(plan)
        at_s += length_s
    return plans


def draw_modes(random: Random, seconds: float) -> list[tuple[float, str]]:
    modes, start_s = [(0.0, UP)], random.uniform(2.0, 4.0)
    while start_s < seconds:
        modes.append((round(start_s, 2), random.choice(MODES)))
        start_s += random.uniform(MIN_MODE_S, MAX_MODE_S)
    return modes


def draw_list_events(random: Random, endpoints: int, seconds: float) -> list[ListEvent]:
    """Endpoints that leave and come back cold, again and again. Two always serve."""
    events = []
    for endpoint in range(2, endpoints):
        at_s = random.uniform(0.5, MAX_CHANGE_S)
        while at_s < seconds:
            events.append(ListEvent(round(at_s, 2), endpoint, random.choice(("drain", "delete"))))
            at_s += random.uniform(MIN_CHANGE_S, MAX_CHANGE_S)
            events.append(ListEvent(round(at_s, 2), endpoint, "back"))
            at_s += random.uniform(MIN_CHANGE_S, MAX_CHANGE_S)
    return sorted(events, key=lambda event: event.at)


def told_at(
    records: RunRecords, unwanted: StatusChange, process: ProcessRecord, attempt: Attempt
) -> float | None:
    """Since when a process that started with an old list must know of a change; None if this can't be said,
    or other limits hold as discovery has answered it."""
    sent_at, started_at = attempt.first_byte_at, process.started_at
    if not process.has_old_list or is_answered(records, process, sent_at):
        return None
    spans = records.reachable_spans[attempt.customer]
    reachable_at = next((begin for begin, end in spans if begin <= sent_at <= end), None)
    if reachable_at is None or sent_at >= max(started_at, reachable_at) + SILENT_AFTER_S - BUSY_MACHINE_S / 2:
        return None
    was_silent = any(
        begin < sent_at and end > started_at
        for begin, end, mode in records.mode_spans(attempt.customer)
        if mode in UNANSWERING_MODES
    )
    if was_silent and sent_at >= started_at + SILENT_AFTER_S - BUSY_MACHINE_S / 2:
        return None
    return max(unwanted.at, started_at, reachable_at)


def is_answered(records: RunRecords, process: ProcessRecord, until: float) -> bool:
    """Whether discovery has answered a call of the process by then."""
    return any(
        process.started_at <= answered_at <= until
        for address in process.discovery_addresses
        for answered_at in records.discovery_answers.get(address, ())
    )


def describe_late_start(process: ProcessRecord, tolerance_s: float) -> str | None:
    """What is wrong with how long a process with an old list took to be ready; None if nothing is."""
    if not process.has_old_list or process.ready_at is None:
        return None
    took_s = process.ready_at - process.started_at
    if took_s <= READY_WITHIN_S + BUSY_MACHINE_S + tolerance_s:
        return None
    return f"life {process.number}: ready {took_s:.2f} s after its start"
