"""Ports that the lab assigns to its processes: two runs on one machine must never be given the same one."""

import subprocess
import sys

import pytest

from lupinmill.lab.ports import PORT_RANGE, release_ports, reserve_port

OTHER_RUN = """
import sys
from lupinmill.lab.ports import release_ports, reserve_port
for line in sys.stdin:
    if line.startswith("reserve"):
        print(reserve_port(int(line.split()[1])), flush=True)
    else:
        release_ports([int(line.split()[1])])
        print("released", flush=True)
"""


class OtherRun:
    """A process that reserves ports as a second run on this machine does."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-c", OTHER_RUN], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def call(self, line: str) -> str:
        self.process.stdin.write(f"{line}\n")
        self.process.stdin.flush()
        return self.process.stdout.readline().strip()

    def end(self) -> None:
        self.process.stdin.close()
        self.process.stdout.close()
        self.process.wait(10)


@pytest.fixture
def other_run():
    run = OtherRun()
    try:
        yield run
    finally:
        run.end()


def test_two_runs_never_get_the_same_port_also_while_nothing_is_bound_to_it(other_run):
    """Guards against sidecars that find their port taken by another run: a killed one leaves it unbound until
    it is restarted."""
    theirs = int(other_run.call("reserve 7000"))
    ours = reserve_port(7000)
    try:
        assert theirs in PORT_RANGE and ours in PORT_RANGE and theirs != ours
        assert int(other_run.call("reserve 7000")) not in (theirs, ours)
        assert other_run.call(f"release {theirs}") == "released"
        again = reserve_port(theirs - PORT_RANGE.start)
        release_ports([again])
        assert again == theirs
    finally:
        release_ports([ours])


def test_a_run_that_ends_leaves_no_port_reserved(other_run):
    theirs = int(other_run.call("reserve 7100"))
    other_run.end()
    ours = reserve_port(theirs - PORT_RANGE.start)
    release_ports([ours])
    assert ours == theirs
