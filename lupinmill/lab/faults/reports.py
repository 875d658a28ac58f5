"""Keeps reports of failed runs outside the project, and removes the oldest.

A failure may be rare and hard to reproduce; without its report the cause cannot be found."""

from __future__ import annotations

import os
import tempfile
import time
from pathlib import Path

from lupinmill.lab.faults.verdict import Verdict

FOLDER_VARIABLE = "LUPINMILL_REPORTS"  # names the folder; the default is one in the system's temporary folder
MAX_REPORTS = 30
MAX_REPORT_BYTES = 4 * 1024 * 1024  # of one report; a longer one is cut off with a note


def reports_folder() -> Path:
    """The folder in which reports are kept."""
    return Path(os.environ.get(FOLDER_VARIABLE) or Path(tempfile.gettempdir()) / "lupinmill-reports")


def full_text(verdict: Verdict) -> str:
    """All violations, the schedule, and the kept log lines of each process."""
    lines = [verdict.text(), "", "ALL BREAKS"]
    lines += [
        f"{violation.fault.value}: {violation.rule}: {violation.sidecar}: {violation.text}"
        for violation in verdict.violations
    ]
    for process in verdict.records.processes:
        lines += [
            "",
            f"ALL LINES of {process.sidecar} life {process.number},"
            f" process {process.pid}: {process.plan_text}",
        ]
        lines += [
            f"started {process.started_at}, ready {process.ready_at}, told to end {process.terminated_at}"
        ]
        lines += [f"ended {process.ended_at}, exit code {process.exit_code}", *process.log_lines]
        lines += [f"standard error: {line}" for line in process.stderr_lines]
    return "\n".join(lines) + "\n"


def save_report(verdict: Verdict) -> Path:
    """Writes the report of a run and returns its path. Raises OSError."""
    folder = reports_folder()
    folder.mkdir(parents=True, exist_ok=True)
    data = full_text(verdict).encode()
    if len(data) > MAX_REPORT_BYTES:
        data = data[:MAX_REPORT_BYTES] + b"\nCUT OFF HERE\n"
    kind = "soak" if verdict.soak else "faults"
    path = folder / f"{kind}-seed{verdict.seed}-{time.strftime('%Y%m%dT%H%M%S')}-{os.getpid()}.txt"
    path.write_bytes(data)
    remove_old_reports(folder)
    return path


def remove_old_reports(folder: Path) -> None:
    """Removes all but the newest reports. Other runs may do the same at the same time."""
    reports = sorted(folder.glob("*.txt"), key=lambda path: path.name.split("-")[2:])
    for path in reports[:-MAX_REPORTS]:
        path.unlink(missing_ok=True)


def verdict_text(verdict: Verdict) -> str:
    """The printed text of a run, with the path of the report if it failed."""
    if not verdict.violations:
        return verdict.text()
    try:
        report_line = f"full report: {save_report(verdict)}"
    except OSError as error:
        report_line = f"no full report could be kept: {error}"
    return f"{verdict.text()}\n{report_line}"
