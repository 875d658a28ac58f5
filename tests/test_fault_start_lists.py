"""Starts with an old list in the fault campaign: what is drawn, and what its referee judges."""

import asyncio
from random import Random

import pytest
from test_fault_campaign import sent_request

from lupinmill.lab.faults import customers, discovery, referee, start_lists
from lupinmill.lab.faults.records import Attempt, ProcessRecord, RunRecords, StatusChange
from lupinmill.lab.faults.run import Campaign

STARTED_AT = 100.0
RULE = "sent by an old list"


def judge(
    sent_at: float,
    modes: list[tuple[float, str]],
    answered_at: float | None = None,
    old_list: bool = True,
    drained_at: float = 95.0,
) -> list[str]:
    """The rules that one attempt to an endpoint that drains since `drained_at` breaks. Reachable from the
    first mode to 200 s, but while discovery is down."""
    records = RunRecords()
    records.status_changes["c0"] = [StatusChange(drained_at, "e0", "DRAINING")]
    records.discovery_modes["c0"] = modes
    answering = [span for span in records.mode_spans("c0") if span[2] in discovery.ANSWERING_MODES]
    records.reachable_spans["c0"] = [(begin, min(end, 200.0)) for begin, end, _ in answering]
    if answered_at is not None:
        records.discovery_answers["d:1"] = [answered_at]
    process = ProcessRecord("c0-s0", 0, 1, STARTED_AT, "serves")
    process.has_old_list, process.discovery_addresses = old_list, ["d:1"]
    records.processes.append(process)
    sent = sent_request(process, 1.0, "staying", method=b"GET", written_at=sent_at)
    attempt = Attempt("e0", "0", "z", "c0", b"GET", b"/", b"", [b"s1"], [], b"1.0", sent_at, sent_at)
    customer = customers.draw_customer("c0", Random(1))
    assert customer.grace == 0.5
    judging = referee.Referee(records, {"c0": customer})
    judging.judge_listing(sent, attempt)
    return [violation.rule for violation in judging.violations]


CROWDED = [(90.0, discovery.CROWDED)]


@pytest.mark.parametrize(
    "case, broken",
    [
        ({"sent_at": 102.0, "modes": CROWDED}, True),
        ({"sent_at": 104.0, "modes": CROWDED}, True),
        ({"sent_at": 101.0, "modes": CROWDED}, False),  # within the grace, on a busy machine
        ({"sent_at": 102.0, "modes": CROWDED, "old_list": False}, False),
        ({"sent_at": 102.0, "modes": CROWDED, "answered_at": 101.9}, False),  # other limits hold then
        ({"sent_at": 102.0, "modes": CROWDED, "answered_at": 99.0}, True),  # the process before
        ({"sent_at": 102.0, "modes": CROWDED, "drained_at": 101.0}, False),
        ({"sent_at": 103.0, "modes": CROWDED, "drained_at": 101.0}, True),
        ({"sent_at": 104.8, "modes": CROWDED}, False),  # discovery may be silent for good
        ({"sent_at": 103.0, "modes": [(90.0, "down")]}, False),
        ({"sent_at": 103.0, "modes": [(90.0, "down"), (102.5, discovery.LATE)]}, False),
        ({"sent_at": 104.5, "modes": [(90.0, "down"), (102.5, discovery.LATE)]}, True),
        ({"sent_at": 107.0, "modes": [(90.0, "down"), (104.0, discovery.LATE)]}, True),
        ({"sent_at": 103.0, "modes": [(90.0, "silent")]}, False),
        ({"sent_at": 103.0, "modes": [(90.0, "silent"), (100.5, discovery.LATE)]}, True),
        ({"sent_at": 106.0, "modes": [(90.0, "silent"), (104.0, discovery.LATE)]}, False),
    ],
)
def test_what_is_sent_by_an_old_list_is_judged_by_what_discovery_did(case, broken):
    assert (RULE in judge(**case)) == broken


@pytest.mark.parametrize("took_s, broken", [(0.5, False), (10.5, False), (12.0, True)])
def test_a_process_that_is_not_ready_by_its_list_in_time_is_found(took_s, broken):
    process = ProcessRecord("c0-s0", 0, 1, STARTED_AT, "serves", has_old_list=True)
    assert start_lists.describe_late_start(process, 0.0) is None  # not ready at all is judged elsewhere
    process.ready_at = STARTED_AT + took_s
    assert (start_lists.describe_late_start(process, 0.0) is not None) == broken


def test_old_lists_are_drawn_beside_slow_silent_and_absent_discoveries(tmp_path):
    texts = []
    for seed in range(6):
        (tmp_path / str(seed)).mkdir()
        campaign = Campaign(seed, 3, 40.0, tmp_path / str(seed), old_lists=True)
        (customer_run,) = campaign.customer_runs
        texts += customer_run.text()
        assert customer_run.customer.lists_pushed
        changed = {event.kind for event in customer_run.list_events}
        assert {"back"} < changed <= {"drain", "delete", "back"}
        customer_run.close()
    text = "\n".join(texts)
    for what in (*start_lists.MODES, "s before", "ends by KILL"):
        assert what in text


def test_a_list_is_the_one_that_discovery_had_then():
    records = RunRecords()
    service = discovery.Discovery("c0", "127.0.0.1", records)
    service.rows["e0"] = {"name": "e0", "status": "SERVING"}
    first = service.full_list()
    service.change("e0", status="DRAINING")
    (changed_at, kept), *_ = service.history
    assert kept == first and service.full_list_at(changed_at - 1.0) == first
    assert service.full_list_at(changed_at + 1.0) == service.full_list() != first


def test_an_answer_in_pieces_counts_as_written_with_its_last_piece():
    """Guards against an attempt by a list that had come, judged as one before the answer: the stand-in paused
    behind the last piece, too (seed 505)."""
    written: list[tuple[float, bytes]] = []

    class Connection:
        async def send(self, data: bytes) -> None:
            written.append((asyncio.get_running_loop().time(), data))

    async def main() -> float:
        service = discovery.Discovery("c0", "127.0.0.1", RunRecords())
        await service.send_in_pieces(Connection(), b"0123456789", 5, 0.0)
        before = len(written)
        pauses = []
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(discovery.asyncio, "sleep", lambda pause: pauses.append(pause) or nothing())
            await service.send_in_pieces(Connection(), b"0123456789", 5, 0.7)
        assert before == 5 and b"".join(data for _, data in written[before:]) == b"0123456789"
        return sum(pauses)

    async def nothing() -> None:
        pass

    assert asyncio.run(main()) == pytest.approx(4 * 0.7)
