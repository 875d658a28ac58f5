"""Starts `python -m lupinmill` as real processes, with a signal sent at a chosen moment of the start."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import orjson
from bed import settings

ROOT = Path(__file__).resolve().parent.parent
LIMIT = 20  # seconds after which a test's process counts as stuck

# Python loads this before the program's first line. MOMENT is an audit event and the end of its argument:
# when it first occurs, MOVED, if set, replaces the configuration, and SIGNAL is sent to the process.
HOOK = """
import atexit, os, signal, sys

event, of = os.environ["MOMENT"].split(" ", 1)
done = []

def act():
    if not done:
        done.append(True)
        if "MOVED" in os.environ:
            os.replace(os.environ["MOVED"], os.environ["BALANCER_CONFIG"])
        os.kill(os.getpid(), signal.Signals[os.environ["SIGNAL"]])

def hook(name, args):
    if name == event and str(args[-1] if name == "socket.bind" else args[0]).endswith(of):
        act()

if event == "atexit":
    atexit.register(act)
elif event == "python":
    act()
else:
    sys.addaudithook(hook)
"""


def table(**more) -> dict:
    usual = {"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings()}
    return usual | more


def environment(path: Path, **more: str) -> dict[str, str]:
    found = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
    return found | {"BALANCER_CONFIG": str(path), "PYTHONPATH": str(ROOT)} | more


def hooked(folder: Path, moment: str, number: signal.Signals, **more: str) -> dict[str, str]:
    """Environment variables that send this signal at this moment of the start."""
    (folder / "hook").mkdir(exist_ok=True)
    (folder / "hook" / "sitecustomize.py").write_text(HOOK)
    path = os.pathsep.join((str(folder / "hook"), str(ROOT)))
    return {"MOMENT": moment, "SIGNAL": number.name, "PYTHONPATH": path} | more


def begin(folder: Path, config: dict, command: list[str] | None = None, **more: str) -> subprocess.Popen:
    path = folder / "told.json"
    path.write_bytes(orjson.dumps(config))
    return subprocess.Popen(
        command or [sys.executable, "-m", "lupinmill"],
        env=environment(path, **more),
        cwd=ROOT,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


@contextmanager
def running(process: subprocess.Popen) -> Iterator[subprocess.Popen]:
    """Kills the process if it is stuck, so that whatever waits for it fails."""
    watch = threading.Timer(LIMIT, process.kill)
    watch.start()
    try:
        yield process
    finally:
        watch.cancel()
        process.kill()
        process.communicate()


def line_of(process: subprocess.Popen, event: str) -> dict:
    """The next log line with this event. Fails where the process ends before."""
    while line := process.stdout.readline():
        if (found := orjson.loads(line))["event"] == event:
            return found
    _, errors = process.communicate(timeout=LIMIT)
    raise AssertionError(f"ended with {process.returncode} before {event!r}: {errors.decode()[-500:]}")


def events(output: bytes) -> list[str]:
    return [orjson.loads(line)["event"] for line in output.splitlines()]


def wait_for(condition, what: str) -> None:
    end = time.monotonic() + LIMIT
    while not condition():
        assert time.monotonic() < end, f"never: {what}"
        time.sleep(0.01)


def start(tmp_path, table) -> subprocess.Popen:
    path = tmp_path / "told.json"
    path.write_bytes(table if isinstance(table, bytes) else orjson.dumps(table))
    environ = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
    return subprocess.Popen(
        [sys.executable, "-m", "lupinmill"],
        env=environ | {"BALANCER_CONFIG": str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
