"""Which failures KNOWN-RED.txt allows. Each case is a test run of its own in an empty folder."""

import subprocess
import sys
from pathlib import Path

import pytest

TESTS = """
import pytest

def test_green():
    pass

def test_red():
    assert False

@pytest.mark.parametrize("at", [1, 2])
def test_some(at):
    assert at == 1
"""
RED = "tests/test_it.py::test_red | pytest tests/test_it.py | False each time | issue 39"
SOME = "tests/test_it.py::test_some[2] | lupinmill lab faults --seed 7 | 2 for 1 | issue 39"


def run(folder: Path, lines: list[str] | None, *options: str) -> subprocess.CompletedProcess:
    (folder / "tests").mkdir()
    (folder / "tests" / "test_it.py").write_text(TESTS)
    (folder / "tests" / "conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    (folder / "pytest.ini").write_text("[pytest]\n")
    if lines is not None:
        (folder / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *options]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize("more", [(), ("-n", "2")])
def test_just_the_listed_tests_may_fail_and_are_printed(tmp_path, more):
    done = run(tmp_path, [RED, SOME], *more)
    assert done.returncode == 0 and RED in done.stdout and SOME in done.stdout
    assert "2 passed, 2 xfailed" in done.stdout


def test_one_that_is_not_listed_still_fails(tmp_path):
    done = run(tmp_path, [RED])
    assert done.returncode == 1 and "1 failed" in done.stdout


def test_a_listed_test_that_passes_fails_the_run(tmp_path):
    done = run(
        tmp_path, [RED, SOME, "tests/test_it.py::test_green | pytest -k green | it was red | issue 39"]
    )
    assert done.returncode == 1 and "1 failed" in done.stdout


@pytest.mark.parametrize("plays, code", [("2 of 3", 0), ("3 of 3", 1), ("0 of 0", 1)])
def test_a_listed_test_may_pass_only_where_it_failed_in_some_of_its_plays(tmp_path, plays, code):
    line = f"tests/test_it.py::test_green | pytest -k green | seen in {plays} plays: no answer | issue 39"
    assert run(tmp_path, [RED, SOME, line]).returncode == code


@pytest.mark.parametrize(
    "lines, said",
    [
        ([RED, SOME, RED], "listed twice"),
        ([RED, RED.replace("False each time", "seen otherwise")], "listed twice"),
        (["tests/test_it.py::test_red"], "is not"),
        (["tests/test_it.py::test_red | pytest | seen"], "is not"),
        (["tests/test_it.py::test_red | seen | issue 39"], "is not"),
        (["tests/test_it.py::test_red | pytest |  | issue 39"], "is not"),
        (["tests/test_it.py::test_red |  | seen | issue 39"], "is not"),
        (["tests/test_it.py::test_red | pytest | seen | soon"], "is not"),
        (["tests/test_it.py::test_red | pytest | seen | more | issue 39"], "is not"),
        (["tests/test_it.py::test_red | by itself | seen | issue 39"], "starts with none of"),
        ([""], "is not"),
        (["tests/test_it.py::test_other | pytest | seen | issue 39"], "is no test"),
        (["tests/test_that.py::test_red | pytest | seen | issue 39"], "is no test"),
        (["tests/test_it.py::test_some[3] | pytest | seen | issue 39"], "has no [3]"),
        (None, "missing"),
    ],
)
def test_what_can_not_be_read_or_names_nothing_fails_the_run(tmp_path, lines, said):
    done = run(tmp_path, lines)
    assert done.returncode not in (0, 1) and said in done.stdout + done.stderr
