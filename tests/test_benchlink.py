"""The simulator's protocol: complete batches in and out, and malformed input."""

import io

import pytest

from lupinmill.benchlink import host
from lupinmill.benchlink.host import main

START = (
    "SWITCH_TO sidecar-id=sidecar/0\n"
    "ENLIST random-seed=5 tier=0 instances=2 new-key=9 limits.most-launches=4 "
    "load-report.fields=waiting,odd,cpu "
    "workloads.count=1 workloads.0.name=view workloads.0.repeat=repeatable workloads.0.contract-time-s=0.5 "
    "workloads.0.hard-limit-s=1.0 workloads.0.value=1.0\n"
    "LEDGER roster-id=0 hosts=1\n"
    "ROW endpoint=10.0.0.1:80 az=a generation-hw=k group=0 readiness=1 rating=1 later=x\n"
    "UPDATE roster-id=0 mode=2 gen=1\n"
)
JOB = "SWITCH_TO sidecar-id=sidecar/0\nJOB_IN handle=h1 profile=view due-s=2.0\n"


def play(*batches: str) -> tuple[int, str, str]:
    text = "".join(f"CLOCK time-s={1 + i * 0.005}\n{b}YOUR_TURN\n" for i, b in enumerate(batches))
    sink, errors = io.StringIO(), io.StringIO()
    return main(io.StringIO(text), sink, errors), sink.getvalue(), errors.getvalue()


def test_a_job_is_routed_and_its_verdict_read():
    verdict = "VERDICT handle=h1 try=0 endpoint=10.0.0.1:80 how=S spent-s=0.004 closed=1 stats=3,7,0.5\n"
    code, out, _ = play("", START, JOB, "SWITCH_TO sidecar-id=sidecar/0\n" + verdict)
    assert code == 0
    assert "AS sidecar-id=sidecar/0\nROUTE handle=h1 endpoint=10.0.0.1:80 abandon-at-s=2.000000\n" in out
    assert out.count("DONE\n") == 4


def test_retired_and_enlisted_in_one_batch_starts_afresh():
    code, out, _ = play(START, JOB + "RETIRE\n" + START.split("\n", 1)[1])
    assert code == 0 and "ROUTE" not in out


def test_a_reused_list_number_is_resolved_in_event_order():
    later = "LEDGER roster-id=0 hosts=1\n"
    later += "ROW endpoint=10.0.0.2:80 readiness=1\nUPDATE roster-id=0 mode=1 gen=2\n"
    code, out, _ = play(START + later, JOB)
    assert code == 0 and "endpoint=10.0.0.2:80" in out


@pytest.mark.parametrize(
    "bad",
    [
        "JOB_IN handle=h profile=view due-s=2\n",
        START + "JOB_IN handle=h profile=view due-s=soon\n",
        START + "JOB_IN profile=view due-s=2\n",
        START + "UPDATE roster-id=0 mode=9\n",
        START + "JOB_IN handle\n",
        "LEDGER roster-id=0 hosts=2\nROW endpoint=10.0.0.1:80 readiness=1\n",
    ],
)
def test_bad_input_ends_with_one_plain_message(bad):
    code, out, errors = play(bad)
    assert code == 2 and out == "" and errors.startswith("benchlink: ") and errors.count("\n") == 1


def test_an_exception_in_the_module_becomes_give_in(monkeypatch):
    monkeypatch.setattr(host.Sidecar, "step", lambda *_: 1 / 0)
    code, out, _ = play(START)
    assert code == 1
    assert out == "AS sidecar-id=sidecar/0\nGIVE_IN body-text=ZeroDivisionError: division by zero\nDONE\n"
