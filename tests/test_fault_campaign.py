"""The fault campaign: real processes of the program under random faults. The referee has to find faults that
are planted in the program, at least one of each kind that operators see."""

from __future__ import annotations

import ast
import asyncio
import signal
import socket
import sys
import time
from pathlib import Path
from random import Random

import pytest

from lupinmill.lab.faults import clients, customers, endpoints, processes, referee, reports, run, schedule
from lupinmill.lab.faults.connection import connect
from lupinmill.lab.faults.customers import Workload
from lupinmill.lab.faults.records import (
    READING_LATE,
    Answer,
    Attempt,
    ConnectionEnd,
    Drain,
    Fault,
    OutSpan,
    ProcessRecord,
    RunRecords,
    SentRequest,
    Violation,
)
from lupinmill.lab.faults.run import Campaign, Timeouts, Verdict
from lupinmill.lab.faults.sidecar_runner import KILL_MARGIN_S

FAULTS = Path(run.__file__).parent
SEED, PROCESSES, SECONDS = 11, 5, 14.0
PLANTED_SEED, PLANTED_SECONDS = 111, 5.0  # draws a customer with all effects and six attempts
SLACK_S = 2.0  # by which a busy machine may kill a process later than planned
SHORT = Timeouts(ready_s=8.0, responsive_s=4.0, exit_s=4.0)
MOVE = schedule.Event(0.1, "move discovery")
CALM = [schedule.ProcessPlan(schedule.SERVE, 60.0, "TERM", "own", "read", True, events=[MOVE])]
CALLED = schedule.ProcessPlan(
    schedule.SERVE,
    60.0,
    "TERM",
    "own",
    "read",
    True,
    events=[schedule.Event(1.0, "upgrade", detail="clean")],
    operator_calls=[schedule.OperatorCall(0.3, 60.0, endpoint=index) for index in range(4)],  # of six
)
DRAINED = schedule.ProcessPlan(
    schedule.SERVE,
    60.0,
    "TERM",
    "own",
    "read",
    True,
    operator_calls=[schedule.OperatorCall(0.3, 60.0)],
)
ENDLESS = schedule.ProcessPlan(schedule.SERVE, 2.0, schedule.KILL_AT_EARLIEST, "own", "read", True)
LONGER = {"reload missed": 9.0, "cordon lost in an upgrade": 8.0, "never ends": 9.0}  # seconds

START = """
import sys
sys.argv = ["lupinmill"]
from lupinmill.__main__ import main
"""
END = "\nsys.exit(main())\n"
AFTER_SOME = """
from lupinmill.routing.request_table import RequestTable
ended, seen = RequestTable.attempt_ended, []
def planted(self, *more):
    seen.append(None)
    if len(seen) > 20:
        fault()
    return ended(self, *more)
RequestTable.attempt_ended = planted
"""
ATTEMPT_REQUEST = """
from lupinmill.protocol import client_requests
attempt_request = client_requests.attempt_request
"""

# The code that plants a fault, and the kind and rule of the violation that the referee has to find.
PLANTED = {
    "crash": ("import os\ndef fault(): os._exit(1)" + AFTER_SOME, Fault.CRASHED, "ended unasked"),
    "hang": (
        "import time\ndef fault(): time.sleep(3600)" + AFTER_SOME,
        Fault.HUNG,
        "did not end after its signal",
    ),
    "no start": (
        "from lupinmill.transport.listener import Listener\nListener.__init__ = None",
        Fault.NOT_STARTED,
        "ended unasked",
    ),
    "never ready": (
        "from lupinmill.routing.request_factory import RequestFactory\n"
        "RequestFactory.readiness = lambda self, request: None",
        Fault.NOT_STARTED,
        "not ready",
    ),
    "body changed": (
        ATTEMPT_REQUEST + "def planted(request, left):\n"
        "    made = attempt_request(request, left)\n"
        "    made.body = made.body[::-1]\n"
        "    return made\n"
        "client_requests.attempt_request = planted",
        Fault.NOT_FROM_CLIENT,
        "body changed",
    ),
    "key left out": (
        ATTEMPT_REQUEST + "def planted(request, left):\n"
        "    made = attempt_request(request, left)\n"
        "    made.headers = [one for one in made.headers if one[0].lower() != b'idempotency-key']\n"
        "    return made\n"
        "client_requests.attempt_request = planted",
        Fault.NOT_FROM_CLIENT,
        "keys changed",
    ),
    "another's answer": (
        "from lupinmill.protocol import client_requests\n"
        "passed, kept = client_requests.client_response, []\n"
        "def planted(answer):\n"
        "    kept.append(passed(answer))\n"
        "    return kept[0]\n"
        "client_requests.client_response = planted",
        Fault.NOT_FROM_CLIENT,
        "served with what was not made",
    ),
    "unsafe to repeat, repeated": (
        "from lupinmill import terms\n"
        "from lupinmill.protocol import settings\n"
        "workload = settings.workload\n"
        "def planted(s):\n"
        "    made = workload(s)\n"
        "    made.repeat = terms.RepeatPolicy.IDEMPOTENT\n"
        "    return made\n"
        "settings.workload = planted",
        Fault.UNSAFE,
        None,  # varies: run twice, outside its group, or refused after an attempt that may have run
    ),
    "more time than is left": (
        ATTEMPT_REQUEST + "client_requests.attempt_request = "
        "lambda request, left: attempt_request(request, left + 1_000_000)",
        Fault.TOO_LATE,
        "told more time than is left",
    ),
    "read and closed": (
        "from lupinmill.routing.response_writer import ResponseWriter\n"
        "passed, seen = ResponseWriter.send_answer, []\n"
        "async def planted(self, client, *more):\n"
        "    seen.append(None)\n"
        "    if len(seen) % 7:\n"
        "        return await passed(self, client, *more)\n"
        "    client.close()\n"
        "    return False\n"
        "ResponseWriter.send_answer = planted",
        Fault.UNANSWERED,
        "no answer",
    ),
    "reload missed": (
        "from lupinmill.program.sidecar import Program\nProgram.reload = lambda self, **more: None",
        Fault.NOT_STARTED,
        "reload missed",
    ),
    "does not end": (
        "from lupinmill.program.shutdown import Shutdown\n"
        "import anyio\n"
        "async def planted(self, *more): await anyio.sleep(3600)\n"
        "Shutdown.run = planted",
        Fault.HUNG,
        "did not end after its signal",
    ),
    "cordon lost in an upgrade": (
        "from lupinmill.handover import handover_state\n"
        "encode = handover_state.encode\n"
        "handover_state.encode = lambda *args: encode(*args) | {'out': []}",
        Fault.TOO_LATE,
        "sent to what is out by hand",
    ),
    "ready while it drains": (
        "from lupinmill.admin.operator_overrides import OperatorOverrides\n"
        "OperatorOverrides.is_ready = lambda self: True",
        Fault.TOO_LATE,
        "ready while it drains",
    ),
    "never ends": (
        "from lupinmill.program.shutdown import Shutdown\n"
        "from lupinmill.routing.response_writer import ResponseWriter\n"
        "import anyio\n"
        "async def planted(self, *more):\n"
        "    ResponseWriter.send_answer = planted\n"
        "    await anyio.sleep(3600)\n"
        "Shutdown.run = planted",
        Fault.UNANSWERED,
        "no answer",
    ),
}


PLANTED["slow answers cut off"] = (
    "from lupinmill.routing.response_stream import ResponseStream\n"
    "ResponseStream.gives_up_at = lambda self: self.last_byte_at + 0.1",
    Fault.UNANSWERED,
    "cut off while its endpoint gave it",
)
GIVES_SLOWLY = ("slow answers cut off",)

PLANS_OF = {  # where the fault shows under others than the calm ones
    "cordon lost in an upgrade": [CALLED],
    "ready while it drains": [DRAINED],
    "never ends": [ENDLESS],
}


def command(code: str) -> list[str]:
    return [sys.executable, "-c", START + code + END]


@pytest.fixture(scope="module")
def verdicts(tmp_path_factory) -> dict[str, Verdict]:
    """A run of the unchanged program under the key "", and a short one with each planted fault."""

    async def play_all() -> dict[str, Verdict]:
        def folder() -> Path:
            return tmp_path_factory.mktemp("faults")

        campaigns = {"": Campaign(SEED, PROCESSES, SECONDS, folder())}
        for name, (code, _, _) in PLANTED.items():
            campaigns[name] = Campaign(
                PLANTED_SEED,
                1,
                LONGER.get(name, PLANTED_SECONDS),
                folder(),
                command(code),
                SHORT,
                PLANS_OF.get(name, CALM),
                fault_share=0.4,
                slow_answers=name in GIVES_SLOWLY,
            )
        found = await asyncio.gather(*(campaign.run() for campaign in campaigns.values()))
        return dict(zip(campaigns, found))

    return asyncio.run(play_all())


def test_the_program_stands_under_drawn_faults(verdicts):
    verdict = verdicts[""]
    assert not verdict.violations, reports.verdict_text(verdict)
    assert verdict.figures["served"] > 100 and verdict.figures["lives"] > PROCESSES, verdict.figures


@pytest.mark.parametrize("name", list(PLANTED))
def test_the_referee_finds_a_planted_fault_and_tells_what_replays_it(verdicts, name):
    _, fault, rule = PLANTED[name]
    verdict = verdicts[name]
    found = verdict.by_rule()
    assert any(kind is fault and rule in (None, what) for kind, what in found), verdict.text()
    text = verdict.text()
    assert f"--seed {verdict.seed}" in text and "life 0" in text


def test_a_process_that_does_not_end_is_killed_at_the_earliest_time_and_excuses_nothing(verdicts):
    """In other runs nothing has to be killed then: the program ends 0.2 s before. Guards against a kill that
    is never played."""
    verdict = verdicts["never ends"]
    killed = [record for record in verdict.records.processes if record.killed_after_term]
    assert killed and verdict.figures["killed at the earliest"] == len(killed)
    for record in killed:
        longest = 3.0  # of the customer's deadlines, as far as it counts
        assert record.killed_at - record.terminated_at <= longest + KILL_MARGIN_S + SLACK_S
        assert record.killed_at >= record.kill_due_at
    killed_elsewhere = [
        describe_kill(name, record, verdicts[name].records)
        for name in verdicts
        if name != "never ends"
        for record in verdicts[name].records.processes
        if record.killed_after_term
    ]
    assert not killed_elsewhere, killed_elsewhere


def describe_kill(name: str, record: ProcessRecord, records: RunRecords) -> str:
    after_s = record.killed_at - record.terminated_at
    starved_s = record.starved_between(record.terminated_at, record.killed_at)
    late_s = records.max_lag_between(record.terminated_at, record.killed_at)
    return (
        f"{name}: {record.sidecar} life {record.number} {after_s:.3f} s after SIGTERM,"
        f" {starved_s:.3f} s without a core, campaign late {late_s:.3f} s, log {list(record.log_lines)[-2:]}"
    )


def test_nothing_that_a_campaign_started_is_left(verdicts):
    for verdict in verdicts.values():
        for process in verdict.records.processes:
            assert process.exit_code is not None and not Path(f"/proc/{process.pid}/exe").exists()


def test_schedule_and_settings_are_the_same_for_a_seed(tmp_path):
    def texts(seed: int, folder: str) -> list[str]:
        (tmp_path / folder).mkdir()
        campaign = Campaign(seed, 7, 30.0, tmp_path / folder)
        found = [line for customer_run in campaign.customer_runs for line in customer_run.text()]
        for customer_run in campaign.customer_runs:
            customer_run.close()
        return found

    assert texts(5, "a") == texts(5, "b") != texts(6, "c")


@pytest.mark.parametrize("path", sorted(FAULTS.glob("*.py")), ids=lambda path: path.name)
def test_referee_and_stand_ins_share_no_code_with_the_program(path):
    """Checks that they import only from the standard library and their own package."""
    for node in ast.walk(ast.parse(path.read_text())):
        names = [imported.name for imported in node.names] if isinstance(node, ast.Import) else []
        names += [node.module or ""] if isinstance(node, ast.ImportFrom) else []
        for name in names:
            own_package = name.startswith("lupinmill.lab.faults")
            assert own_package or name.split(".")[0] in sys.stdlib_module_names, name


def test_the_referee_knows_its_limits():
    """Guards against an unnoticed change of the time limits that the documentation promises."""
    assert (referee.ATTEMPT_AFTER_END_S, referee.DEADLINE_TOLERANCE_S, referee.CHANGE_KNOWN_WITHIN_S) == (
        0.1,
        0.15,
        6.0,
    )


def sent_request(
    process: ProcessRecord,
    deadline: float,
    description: str,
    workload: str = "view",
    effect: str = "repeatable",
    method: bytes = b"POST",
    keys: list[bytes] | None = None,
    **outcome,
) -> SentRequest:
    """The request "s1" to a sidecar of the customer "c0". `deadline` in seconds."""
    head = (workload, effect, method, b"/", b"", [b"s1"], keys or [])
    return SentRequest(b"s1", "c0", process, *head, deadline, description, **outcome)


@pytest.mark.parametrize(
    "at, endpoint, sidecar, broken",
    [
        (11.4, "e0", "c0-s0", False),  # within the grace
        (12.0, "e0", "c0-s0", True),
        (29.0, "e0", "c0-s0", True),  # whatever discovery lists
        (30.5, "e0", "c0-s0", False),  # put back
        (9.0, "e0", "c0-s0", False),
        (20.0, "e1", "c0-s0", False),
        (20.0, "e0", "c0-s1", False),  # of another sidecar
    ],
)
def test_what_is_out_by_hand_gets_nothing_from_the_yes_to_the_call_back(at, endpoint, sidecar, broken):
    records = RunRecords()
    records.out_spans.append(OutSpan("c0-s0", "e0", since=10.0, until=30.0))
    process = ProcessRecord(sidecar, 0, 1, 0.0, "serves")
    records.processes.append(process)
    sent = sent_request(process, 1.0, "staying", method=b"GET")
    attempt = Attempt(endpoint, "0", "z", "c0", b"GET", b"/", b"", [b"s1"], [], b"1.0", at, at)
    customer = customers.draw_customer("c0", Random(1))
    assert customer.grace == 0.5
    judging = referee.Referee(records, {"c0": customer})
    judging.judge_out_by_hand(sent, attempt)
    assert [violation.rule for violation in judging.violations] == ["sent to what is out by hand"] * broken


@pytest.mark.parametrize("asked_at, broken", [(10.5, False), (12.0, True), (19.5, False), (20.5, False)])
def test_a_sidecar_that_drains_is_not_ready(asked_at, broken):
    """What is answered after the call that ends the drain may be yes."""
    judging = referee.Referee(RunRecords(), {})
    judging.judge_drain(Drain("c0-s0", since=10.0, until=20.0, ready=[(asked_at, asked_at + 0.7)]))
    assert [violation.rule for violation in judging.violations] == ["ready while it drains"] * broken


def test_operator_calls_and_clock_steps_are_drawn_beside_the_rest_and_change_nothing_of_it():
    """A seed's other troubles stay what they were."""

    def plans() -> list[schedule.ProcessPlan]:
        return schedule.draw_soak_plans(Random("3"), 40.0, crowd=False)

    usual, with_more = plans(), plans()
    schedule.add_operator_calls(Random("calls"), with_more)
    schedule.add_clock_steps(Random("steps"), with_more)
    for before, after in zip(usual, with_more, strict=True):
        assert after.operator_calls and set(map(str, before.events)) <= set(map(str, after.events))
        assert (before.kind, before.seconds, before.end) == (after.kind, after.seconds, after.end)
    texts = [plan.text() for plan in with_more]
    assert any("clock set by" in text for text in texts) and any(" out" in text for text in texts)


def failed_verdict(seed: int) -> Verdict:
    records = RunRecords()
    records.processes.append(ProcessRecord("c0-s0", 0, 1, 0.0, "serves"))
    records.processes[0].log_lines.extend(f"line {number}" for number in range(40))
    return Verdict(seed, 1, 1.0, [Violation(Fault.HUNG, "planted", "c0-s0", "text")], ["life 0"], records)


def test_the_report_of_a_failed_run_is_kept_whole_and_the_newest_stay(tmp_path, monkeypatch):
    """Guards against a failed run of which nothing but the name of the test is known afterwards."""
    monkeypatch.setenv(reports.FOLDER_VARIABLE, str(tmp_path / "kept"))
    monkeypatch.setattr(reports, "MAX_REPORTS", 3)
    monkeypatch.setattr(reports.time, "strftime", lambda _: f"20260101T0000{len(paths):02d}")
    paths = []
    for seed in (5, 4, 3, 2, 1):
        paths.append(reports.save_report(failed_verdict(seed)))
    assert [path.exists() for path in paths] == [False, False, True, True, True]
    text = paths[-1].read_text()
    assert (
        all(f"line {number}\n" in text for number in range(40)) and "--seed 1 " in text and "life 0" in text
    )
    assert str(tmp_path) in reports.verdict_text(failed_verdict(1))


def test_a_report_that_can_not_be_kept_costs_no_verdict(tmp_path, monkeypatch):
    (tmp_path / "file").touch()
    monkeypatch.setenv(reports.FOLDER_VARIABLE, str(tmp_path / "file"))
    assert "BROKEN: " in reports.verdict_text(failed_verdict(1))


def test_a_report_is_bounded(tmp_path, monkeypatch):
    monkeypatch.setenv(reports.FOLDER_VARIABLE, str(tmp_path))
    monkeypatch.setattr(reports, "MAX_REPORT_BYTES", 100)
    assert reports.save_report(failed_verdict(1)).stat().st_size < 130


@pytest.mark.parametrize("after, broken", [(-1.0, False), (0.0, False), (1.0, True)])
def test_an_attempt_before_its_answer_is_never_judged_as_begun_after_it(after, broken):
    """Guards against judging the span between an answer and an earlier attempt backwards: time without a core
    in it counted against the process ("begun -0.696 s after its answer", soak, seed 113)."""
    records = RunRecords()
    process = ProcessRecord("c0-s0", 0, 1, 0.0, "serves", cpu_waits=[(11.0, 0.0), (12.6, 3.0)])
    records.processes.append(process)
    sent = sent_request(process, 60.0, "staying", method=b"GET", written_at=1.0)
    sent.answers.append(Answer(13.0, 503, b"", False))
    begun = 13.0 + after
    attempt = Attempt("e0", "0", "z", "c0", b"GET", b"/", b"", [b"s1"], [], b"1.0", begun, begun)
    judging = referee.Referee(records, {})
    judging.judge_times(sent, attempt)
    assert [violation.rule for violation in judging.violations] == ["begun after its answer"] * broken


def test_a_request_that_is_read_after_its_connection_has_ended_counts_from_its_arrival(tmp_path):
    """Guards against judging an effect's window by the end of its connection ("again after 0.953 s", soak,
    seed 1): the kernel's timestamp of a late read is that of the end."""
    records = RunRecords()
    row = {"name": "e0", "group": 0, "zone": "z"}

    async def main() -> float:
        endpoint = endpoints.Endpoint("c0", row, "127.0.0.1", "seed", 0.0, 5.0, False, records)
        endpoint.accept_enabled.clear()
        serving = asyncio.create_task(endpoint.run())
        host, _, port = endpoint.address.partition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        sent_at = time.time()
        writer.write(b"GET /view HTTP/1.1\r\nHost: a\r\nReq-Id: s1\r\nReq-Deadline: 1\r\n\r\n")
        await asyncio.sleep(0.4)
        writer.close()
        await asyncio.sleep(0.1)
        endpoint.accept_enabled.set()
        async with asyncio.timeout(5):
            while not records.attempts:
                await asyncio.sleep(0.01)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        return sent_at

    sent_at = asyncio.run(main())
    (attempt,) = records.attempts
    assert not attempt.timestamps_valid and attempt.last_byte_at < sent_at + 0.2


def test_a_client_that_writes_in_small_pieces_notes_when_it_wrote_the_last(monkeypatch):
    """Guards against blaming the program for a request that was written before a kill and noted after it
    (soak, seed 1): the client slept between its last piece and its note."""
    order: list[str] = []

    class Sink:
        async def send(self, data: bytes) -> None:
            order.append("send")

        def close(self, reset: bool = False) -> None: ...

    async def sleep(seconds: float) -> None:
        order.append("sleep")

    async def open_connection(self, receive_buffer: int | None = None) -> Sink:
        return Sink()

    async def receive_answer(self, connection: Sink, sent: SentRequest) -> bool:
        assert sent.written_at is not None
        order.append("noted")
        return False

    monkeypatch.setattr(clients.Clients, "open_connection", open_connection)
    monkeypatch.setattr(clients.Clients, "receive_answer", receive_answer)
    monkeypatch.setattr(clients.asyncio, "sleep", sleep)
    customer = customers.draw_customer("c0", Random(1))
    sidecar = clients.Sidecar("c0-s0", ("127.0.0.1", 1))
    sidecar.process = ProcessRecord("c0-s0", 0, 1, 0.0, "serves")
    drawn = Random(1)
    drawn.choice = lambda values: "trickling" if "trickling" in values else Random(1).choice(values)
    asyncio.run(clients.Clients(customer, sidecar, "1", RunRecords()).odd(drawn))
    assert order.count("send") > 5 and order[-2:] == ["send", "noted"]


@pytest.mark.parametrize("reads_request", [False, True])
def test_a_close_over_an_unread_request_is_seen_though_the_process_is_stopped_before_it(reads_request):
    """Guards against blaming the program for a request that it never read (soak, seed 8331): it had ended its
    stream, and was stopped before it closed, so that the reset came later than the campaign looked for it."""

    async def main() -> ConnectionEnd:
        with socket.create_server(("127.0.0.1", 0)) as listening:
            connection = await connect(listening.getsockname())
            accepted, _ = listening.accept()
        process = ProcessRecord("c0-s0", 0, 1, 0.0, "serves")
        sent = sent_request(process, 3.0, "staying", workload="bid", effect="by_key")
        customer = customers.draw_customer("c0", Random(1))
        fleet_of_clients = clients.Clients(customer, clients.Sidecar("c0-s0", ("", 0)), "1", RunRecords())
        try:
            accepted.shutdown(socket.SHUT_WR)
            await connection.send(b"POST / HTTP/1.1\r\n\r\n")
            process.stop_spans.append((time.time(), float("inf")))
            waiting = asyncio.create_task(fleet_of_clients.receive_answer(connection, sent))
            await asyncio.sleep(0.2)
            assert not waiting.done()
            if reads_request:
                accepted.recv(100)
            accepted.close()
            process.stop_spans[-1] = (process.stop_spans[-1][0], time.time())
            assert not await waiting
        finally:
            accepted.close()
            connection.close()
        return sent.connection_end

    expected = ConnectionEnd.CLOSED if reads_request else ConnectionEnd.RESET
    assert asyncio.run(main()) is expected


@pytest.mark.parametrize("after, broken", [(0.4, False), (0.9, True)])
def test_an_effect_outside_its_window_is_told_with_what_became_of_its_attempts(after, broken):
    records = RunRecords()
    process = ProcessRecord("c0-s0", 0, 1, 0.0, "serves", killed_at=11.0)
    sent = sent_request(
        process, 3.0, "staying", workload="bid", effect="by_key", keys=[b"k"], written_at=10.0
    )
    records.late_spans["e1"] = [(9.0, 12.0)]
    attempts = [
        Attempt(name, "0", "z", "c0", b"POST", b"/", b"", [b"s1"], [b"k"], b"1.0", at, at)
        for name, at in (("e0", 10.1), ("e1", 10.1 + after))
    ]
    judging = referee.Referee(records, {})
    judging.judge_keyed(sent, Workload("bid", "by_key", 3.0, "cell", 0.5), attempts)
    assert [violation.rule for violation in judging.violations] == ["outside its window"] * broken
    for violation in judging.violations:
        told = (
            "e0 +0.100 s to +0.100 s; e1 +1.000 s to +1.000 s, whose accept queue was full; SIGKILL +1.000 s"
        )
        assert told in violation.text


@pytest.mark.parametrize("opened, excused", [(11.9, True), (12.1, False)])
def test_a_request_on_a_connection_from_before_a_kill_is_excused_and_no_other(opened, excused):
    """Guards against blaming the program for what another process of an upgrade had accepted (soak, seed 2):
    the client notices only when it writes."""
    records = RunRecords()
    process = ProcessRecord("c0-s0", 0, 1, 0.0, "serves")
    killed = ProcessRecord("c0-s0", 0, 2, 10.0, "upgrade", killed_at=12.0, ended_at=12.01)
    records.processes += [process, killed]
    sent = sent_request(
        process,
        3.0,
        READING_LATE,
        effect="by_key",
        opened_at=opened,
        written_at=12.11,
        finished_at=12.3,
        connection_end=ConnectionEnd.RESET,
    )
    judging = referee.Referee(records, {})
    judging.judge_answer(sent, [])
    assert [violation.rule for violation in judging.violations] == ["no answer"] * (not excused)


@pytest.mark.parametrize("end", [ConnectionEnd.CLOSED, ConnectionEnd.RESET])
@pytest.mark.parametrize("attempts", [0, 1])
@pytest.mark.parametrize("after_term, excused", [(True, False), (False, True)])
def test_a_kill_at_the_earliest_time_excuses_no_request_written_just_before(
    end, attempts, after_term, excused
):
    """Of a process that serves until it is killed, only these are unanswered; a request that no endpoint got
    and whose connection was reset may have crossed the reset."""
    records = RunRecords()
    process = ProcessRecord("c0-s0", 0, 1, 0.0, "serves", terminated_at=8.3, killed_at=12.0)
    process.killed_after_term = after_term
    records.processes.append(process)
    sent = sent_request(
        process,
        3.0,
        "staying",
        method=b"GET",
        opened_at=5.0,
        written_at=11.95,
        finished_at=12.0,
        connection_end=end,
    )
    attempt = Attempt("e0", "0", "z", "c0", b"GET", b"/", b"", [b"s1"], [], b"1.0", 11.96, 11.96)
    judging = referee.Referee(records, {})
    judging.judge_answer(sent, [attempt] * attempts)
    crossed = end is ConnectionEnd.RESET and not attempts
    assert [violation.rule for violation in judging.violations] == ["no answer"] * (not (excused or crossed))


@pytest.mark.parametrize(
    "complete, reads_from, killed_at, broken",
    [
        (True, 10.5, None, True),
        (False, 10.5, None, False),  # its endpoint broke it off
        (True, 12.8, None, False),  # read just before its deadline
        (True, 10.5, 10.6, False),  # the process was killed before it could be read
        (True, 10.5, 11.5, True),
    ],
)
def test_a_whole_answer_that_breaks_off_is_found_where_its_client_reads_late(
    complete, reads_from, killed_at, broken
):
    records = RunRecords()
    process = ProcessRecord("c0-s0", 0, 1, 0.0, "serves", killed_at=killed_at, killed_after_term=True)
    records.processes.append(process)
    sent = sent_request(
        process,
        3.0,
        READING_LATE,
        method=b"GET",
        opened_at=10.0,
        written_at=10.0,
        reads_from=reads_from,
        finished_at=reads_from + 1.5,
        broken_answer="reset inside an answer",
    )
    attempt = Attempt("e0", "0", "z", "c0", b"GET", b"/", b"", [b"s1"], [], b"1.0", 10.1, 10.1)
    attempt.answer_complete = complete
    judging = referee.Referee(records, {})
    judging.judge_answer(sent, [attempt])
    assert [violation.rule for violation in judging.violations] == ["a whole answer broke off"] * broken


@pytest.mark.parametrize(
    "cut_off, pause_s, other_attempt, terminated_at, broken",
    [
        (True, 0.95, False, None, True),
        (True, 1.5, False, None, False),  # its endpoint stood still for longer than it may
        (False, 0.95, False, None, False),  # its endpoint ended it
        (True, 0.95, True, None, False),  # by reading it was the other one, which broke off
        (True, 0.95, False, 11.0, False),  # the process was told to end before
        (True, 0.95, False, 14.0, True),
    ],
)
def test_an_answer_cut_off_while_its_endpoint_gives_it_is_found(
    cut_off, pause_s, other_attempt, terminated_at, broken
):
    records = RunRecords()
    process = ProcessRecord("c0-s0", 0, 1, 0.0, "serves", terminated_at=terminated_at)
    records.processes.append(process)
    sent = sent_request(
        process, 1.0, "ordinary", written_at=10.0, finished_at=11.5, broken_answer="cut inside an answer"
    )

    def attempt(**outcome) -> Attempt:
        return Attempt("e0", "0", "z", "c0", b"GET", b"/", b"", [b"s1"], [], b"1.0", 10.1, 10.1, **outcome)

    slow = attempt(given_slowly=True, cut_off_at=11.5 if cut_off else None, longest_pause_s=pause_s)
    judging = referee.Referee(records, {})
    judging.judge_answer(sent, [slow] + [attempt()] * other_attempt)
    found = ["cut off while its endpoint gave it"] * broken
    assert [violation.rule for violation in judging.violations] == found


@pytest.mark.parametrize(
    "version, killed_at, after_term, body, broken",
    [
        ("HTTP/1.0", 10.5, False, b"made f", False),
        ("HTTP/1.0", 10.5, True, b"made f", True),  # the program knew when it would be killed
        ("HTTP/1.0", None, False, b"made f", True),
        ("HTTP/1.0", 9.0, False, b"made f", True),  # before the request
        ("HTTP/1.0", 10.5, False, b"not made", True),
        ("ordinary", 10.5, False, b"made f", True),
    ],
)
def test_a_part_served_as_the_whole_is_excused_only_by_a_kill_without_notice(
    version, killed_at, after_term, body, broken
):
    records = RunRecords()
    process = ProcessRecord("c0-s0", 0, 1, 0.0, "serves", killed_at=killed_at, killed_after_term=after_term)
    records.processes.append(process)
    sent = sent_request(process, 1.0, version, written_at=10.0, finished_at=10.5)
    sent.answers.append(Answer(10.4, 200, body, True))
    attempt = Attempt("e0", "0", "z", "c0", b"GET", b"/", b"", [b"s1"], [], b"1.0", 10.1, 10.1)
    attempt.answer_body = b"made for s1"
    judging = referee.Referee(records, {})
    judging.judge_answer(sent, [attempt])
    found = ["served with what was not made"] * broken
    assert [violation.rule for violation in judging.violations] == found


def runs(pid: int) -> bool:
    """According to the kernel; a process whose exit code nobody has collected yet does not."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except FileNotFoundError:
        return False


def test_a_process_that_has_ended_is_not_killed_though_the_campaign_has_not_noticed_its_end():
    """Guards against counting it as one that does not end."""

    async def main() -> tuple[bool, ProcessRecord]:
        process = processes.Process([sys.executable, "-c", ""], {}, processes.READ)
        record = await process.start("c0-s0", 0, "ends at once")
        while runs(record.pid):
            time.sleep(0.01)  # the event loop notices nothing meanwhile
        alive = process.alive
        process.signal(signal.SIGKILL)
        await process.end()
        return alive, record

    alive, record = asyncio.run(main())
    assert not alive and record.killed_at is None and record.exit_code == 0
