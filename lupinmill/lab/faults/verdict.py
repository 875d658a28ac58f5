"""The outcome of a run: its violations, its figures, and the text that tells how to replay it."""

from __future__ import annotations

from dataclasses import dataclass, field

from lupinmill.lab.faults.records import Fault, RunRecords, Violation

MAX_SHOWN = 4  # violations of one rule in the printed text


@dataclass(slots=True)
class Verdict:
    """The outcome of a run, with what is needed to replay and explain it."""

    seed: int
    processes: int
    seconds: float
    violations: list[Violation]
    schedule: list[str]
    records: RunRecords
    figures: dict[str, int] = field(default_factory=dict)
    soak: bool = False
    operators: bool = False
    clock_steps: bool = False
    slow_answers: bool = False
    old_lists: bool = False

    def options(self) -> str:
        """Of the command that replays the run, beside seed, processes and seconds."""
        chosen = {
            "--soak": self.soak,
            "--operators": self.operators,
            "--clock-steps": self.clock_steps,
            "--slow-answers": self.slow_answers,
            "--old-lists": self.old_lists,
        }
        return "".join(f" {option}" for option, on in chosen.items() if on)

    def by_rule(self) -> dict[tuple[Fault, str], list[Violation]]:
        found: dict[tuple[Fault, str], list[Violation]] = {}
        for violation in self.violations:
            found.setdefault((violation.fault, violation.rule), []).append(violation)
        return found

    def text(self) -> str:
        """The violations, the command that replays them, and the last log lines of the sidecars concerned."""
        lines = [f"seed {self.seed}, {self.processes} processes, {self.seconds:g} s: {self.figures}"]
        if not self.violations:
            return lines[0] + "\nnothing broken"
        for (fault, rule), violations in self.by_rule().items():
            lines.append(f"BROKEN: {fault.value}: {rule}, {len(violations)} times")
            lines += [f"    {violation.sidecar}: {violation.text}" for violation in violations[:MAX_SHOWN]]
        lines.append(
            f"replay: lupinmill lab faults --seed {self.seed} --processes {self.processes}"
            f" --seconds {self.seconds:g}{self.options()}"
        )
        lines += self.schedule
        concerned = {violation.sidecar for violation in self.violations}
        for record in self.records.processes:
            if record.sidecar in concerned:
                lines.append(
                    f"-- {record.sidecar} life {record.number}, exit {record.exit_code}: {record.plan_text}"
                )
                lines += [f"   {line[:300]}" for line in [*record.log_lines][-8:] + record.stderr_lines[-8:]]
        return "\n".join(lines)


def figures(records: RunRecords) -> dict[str, int]:
    """Counts of what happened in a run, by their printed names."""
    requests = list(records.requests.values())
    return {
        "lives": len(records.processes),
        "requests": len(requests),
        "answered": sum(bool(request.answers) for request in requests),
        "served": sum(any(answer.status == 200 for answer in request.answers) for request in requests),
        "attempts": len(records.attempts),
        "answers given slowly": sum(attempt.given_slowly for attempt in records.attempts),
        "of them whole": sum(a.given_slowly and a.answer_complete for a in records.attempts),
        "kills due at the earliest": sum(record.kill_due_at is not None for record in records.processes),
        "killed at the earliest": sum(record.killed_after_term for record in records.processes),
        "endpoints out by hand": len(records.out_spans),
        "drains by hand": len(records.drains),
        "starts with an old list": sum(record.has_old_list for record in records.processes),
        "clock of processes set": len(records.process_clock_steps),
        "calls of discovery": sum(len(calls) for calls in records.discovery_calls.values()),
        "clock set": len(records.clock_steps),
        "largest lag, ms": int(1000 * max((lag_s for _, lag_s in records.loop_lags), default=0.0)),
    }
