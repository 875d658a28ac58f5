"""Measures one sidecar on one core under overload, with endpoints that answer at once.

Clients and endpoints run in processes of their own, on other cores than the sidecar where there are any."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import msgspec
import orjson

from lupinmill.lab.flood import LoadResult, LoadSpec, Phase, WorkloadLoad
from lupinmill.lab.processes import ROOT

VIEW = WorkloadLoad("view", 0.73, 0.6, 1.5)
BID = WorkloadLoad("bid", 0.27, 1.2, 3.0, 200, True)
START_DELAY_S = 1.0


class OverloadRig:
    """One sidecar with idle endpoints and a static endpoint list: its discovery address does not answer. Owns
    the processes; `close` ends them."""

    def __init__(
        self, root: Path = ROOT, memory_mb: int = 192, sockets: int = 1024, pinned: bool = True
    ) -> None:
        self.root = root
        self.folder = tempfile.TemporaryDirectory(prefix="lupinmill-overload-")
        cores = sorted(os.sched_getaffinity(0))
        self.sidecar_core, self.other_cores = cores[0], cores[1:] or cores
        self.endpoints = self.spawn(["-m", "lupinmill.lab.flood"], ROOT)
        self.write_line(self.endpoints, "serve 4")
        addresses = orjson.loads(self.endpoints.stdout.readline())
        rows = [
            {
                "name": f"e{index}", "address": address, "zone": "z", "type": "k", "group": index // 2,
                "status": "SERVING", "weight": 1.0, "since_ms": 0,
            }
            for index, address in enumerate(addresses)
        ]  # fmt: skip
        limits = {
            "most-launches": 4, "may-duplicate": True, "cancel": True, "probes": True, "retry-after": True,
            "max-retry-after-s": 1.5, "conn-idle-s": 30.0, "connect-timeout-s": 0.2,
        }  # fmt: skip
        workloads = [
            {
                "name": workload.name, "contract-time-s": workload.contract,
                "hard-limit-s": workload.hard_limit, "value": 8.0 if workload.keyed else 2.0,
                "overdue-value": 0.25, "window-s": 5.0, "group": "cell",
                "repeat": "by_key" if workload.keyed else "repeatable",
            }
            for workload in (VIEW, BID)
        ]  # fmt: skip
        table = {
            "name": "s", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "5",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"index": 1, "snapshot": True, "endpoints": rows},
            "settings": {
                "tier": 0, "instances": 1, "discovery": "ask", "round-s": 0.005, "limits": limits,
                "workloads": workloads, "load-report": {"how": "on_probe", "fields": ["waiting", "cpu"]},
                "invariants": {"ask-within-s": 10.0, "cold-share": 0.3, "cold-s": 5.0},
            },
        }  # fmt: skip
        config = Path(self.folder.name) / "told.json"
        config.write_bytes(orjson.dumps(table))
        environ = {"BALANCER_CONFIG": str(config), "BALANCER_NAME": "s"}
        self.sidecar = self.spawn(["-m", "lupinmill"], root, environ)
        self.logs: list[dict[str, Any]] = []
        started = orjson.loads(self.sidecar.stdout.readline())
        self.address = started["listen"]
        if pinned:
            os.sched_setaffinity(self.sidecar.pid, {self.sidecar_core})
        self.log_reader = threading.Thread(target=self.read_log, daemon=True)
        self.log_reader.start()

    def spawn(self, arguments: list[str], root: Path, extra_environ: dict[str, str] | None = None) -> Any:
        environ = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        environ |= {"PYTHONPATH": str(root), **(extra_environ or {})}
        process = subprocess.Popen(
            [sys.executable, *arguments], cwd=root, env=environ, stdin=subprocess.PIPE,
            stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        os.sched_setaffinity(process.pid, set(self.other_cores))
        return process

    def write_line(self, process: Any, line: str) -> None:
        process.stdin.write(line + "\n")
        process.stdin.flush()

    def read_log(self) -> None:
        for line in self.sidecar.stdout:
            if len(self.logs) < 5000:
                try:
                    self.logs.append(orjson.loads(line))
                except orjson.JSONDecodeError:
                    pass

    def cpu_seconds(self) -> float:
        """Seconds of CPU time that the sidecar has used."""
        fields = Path(f"/proc/{self.sidecar.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_mb(self) -> float:
        """Resident memory of the sidecar in MiB."""
        pages = int(Path(f"/proc/{self.sidecar.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    def run_load(self, phases: list[Phase], processes: int = 2, seed: int = 1) -> list[LoadResult]:
        """Splits the load among the processes and returns the merged results by phase and workload."""
        start = time.time() + START_DELAY_S
        generators = []
        for index in range(processes):
            own_phases = [
                msgspec.structs.replace(
                    phase, rate=phase.rate / processes,
                    clients=phase.clients // processes + (index < phase.clients % processes),
                )
                for phase in phases
            ]  # fmt: skip
            spec = LoadSpec(
                self.address, [VIEW, BID], own_phases, start, seed * 100 + index, f"f{seed}-{index}-"
            )
            process = self.spawn(["-m", "lupinmill.lab.flood"], ROOT)
            self.write_line(process, msgspec.json.encode(spec).decode())
            generators.append(process)
        results = [
            msgspec.json.decode(process.stdout.readline(), type=list[LoadResult]) for process in generators
        ]
        for process in generators:
            process.stdin.close()
            process.wait()
        return merge_results(results)

    def close(self) -> None:
        for process in (self.sidecar, self.endpoints):
            if process.poll() is None:
                process.kill()
            process.wait()
        self.folder.cleanup()

    def __enter__(self) -> OverloadRig:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


def merge_results(results: list[list[LoadResult]]) -> list[LoadResult]:
    """Adds up the counts and takes the largest of each percentile, which can only overstate the latency."""
    merged: dict[tuple[str, str], LoadResult] = {}
    for result in (row for rows in results for row in rows):
        known = merged.get((result.phase, result.workload))
        if known is None:
            merged[(result.phase, result.workload)] = result
            continue
        for name in ("asked", "handled", "in_time", "denied", "broken", "unanswered", "not_sent"):
            setattr(known, name, getattr(known, name) + getattr(result, name))
        for name in ("handled_p50", "handled_p99", "denied_p50", "denied_p99", "denied_most"):
            setattr(known, name, max(getattr(known, name), getattr(result, name)))
    return list(merged.values())


def table(results: list[LoadResult]) -> str:
    lines = [
        f"{'phase':>14} {'workload':>8} {'asked/s':>8} {'handled/s':>9}"
        f" {'in time':>7} {'denied':>7} {'unans.':>6}"
        f" {'broken':>6} {'p50 ms':>7} {'p99 ms':>7} {'deny p99':>8} {'most':>7} {'unsent':>6}"
    ]
    for result in results:
        asked = max(1, result.asked)
        lines.append(
            f"{result.phase:>14} {result.workload:>8}"
            f" {result.asked / result.seconds:8.0f} {result.handled / result.seconds:9.0f}"
            f" {result.in_time / asked:7.3f} {result.denied / asked:7.3f}"
            f" {result.unanswered:6d} {result.broken:6d}"
            f" {result.handled_p50:7.1f} {result.handled_p99:7.1f}"
            f" {result.denied_p99:8.1f} {result.denied_most:7.1f}"
            f" {result.not_sent:6d}"
        )
    return "\n".join(lines)


def closed_loops(rig: OverloadRig, counts: list[int], seconds: float) -> list[LoadResult]:
    phases = []
    for count in counts:
        phases += [
            Phase(f"{count} clients", seconds, clients=count),
            Phase(f"rest {count}", 1.0, measured=False),
        ]
    return [result for result in rig.run_load(phases) if not result.phase.startswith("rest")]


def measure_capacity(rig: OverloadRig, seconds: float = 4.0) -> float:
    """Requests per second that one core handles for 16 clients, each of which sends again once answered."""
    results = closed_loops(rig, [16], seconds)
    return sum(result.handled / result.seconds for result in results)


def open_loops(
    rig: OverloadRig, capacity_per_s: float, multiples: list[float], seconds: float
) -> list[LoadResult]:
    phases = [Phase(f"{multiple:g} times", seconds, rate=multiple * capacity_per_s) for multiple in multiples]
    return rig.run_load(phases, processes=3)
