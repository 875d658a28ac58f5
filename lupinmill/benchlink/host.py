"""Hosts many isolated instances of the decision module on one pair of streams, in the simulator's
protocol."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TextIO

from lupinmill import terms as t
from lupinmill.benchlink import codec
from lupinmill.benchlink.codec import Malformed
from lupinmill.protocol import settings
from lupinmill.rules import Sidecar


class ModuleFailed(Exception):
    """The decision module raised; the text goes into GIVE_IN."""

    def __init__(self, instance: str, text: str) -> None:
        super().__init__(text)
        self.instance = instance


@dataclass(slots=True)
class Hosted:
    """An instance, and the columns of its load reports."""

    sidecar: Sidecar
    report_columns: list[tuple[str, float] | None]


@dataclass(slots=True)
class Batch:
    """The events of one step, for each instance that it names."""

    now: int
    current: str = ""
    events: dict[str, list[t.Event]] = field(default_factory=dict)  # in the order of first mention
    rows_due: int = 0  # lines of a list that are still to come


class Host:
    """Reads lines into batches, and steps the instances."""

    def __init__(self) -> None:
        self.instances: dict[str, Hosted] = {}
        self.lists: dict[str, list[t.ListEntry]] = {}
        self.open_list: list[t.ListEntry] = []

    def read(self, batch: Batch, line: str) -> None:
        name, fields = codec.split(line)
        if batch.rows_due:
            if name != "ROW":
                raise Malformed(f"{name} where {batch.rows_due} more ROW lines were due")
            self.open_list.append(codec.list_entry(fields))
            batch.rows_due -= 1
        elif name == "SWITCH_TO":
            batch.current = fields["sidecar-id"]
        elif name == "LEDGER":
            self.open_list = self.lists[fields["roster-id"]] = []
            batch.rows_due = int(fields["hosts"])
        elif name == "ENLIST":
            self.instances[batch.current] = Hosted(
                Sidecar(settings.deployment(fields)), codec.report_columns(fields)
            )
            batch.events[batch.current] = []
        else:
            self.read_event(batch, name, fields)

    def read_event(self, batch: Batch, name: str, fields: codec.Fields) -> None:
        hosted = self.instances.get(batch.current)
        if hosted is None:
            raise Malformed(f"{name} for the unknown instance {batch.current[:60]!r}")
        if name == "RETIRE":
            del self.instances[batch.current]
            batch.events.pop(batch.current, None)
            return
        if name == "UPDATE":
            kind = codec.LIST_KINDS[fields["mode"]]
            entries = [] if kind is t.ListKind.FAILED else self.lists[fields["roster-id"]]
            event: t.Event = t.ListReceived(kind, entries)
        elif name in codec.EVENTS:
            event = codec.EVENTS[name](fields, hosted.report_columns)
        else:
            return  # messages of later protocol versions are skipped, like unknown keys
        batch.events.setdefault(batch.current, []).append(event)

    def reply(self, batch: Batch) -> str:
        lines = []
        for instance, events in batch.events.items():
            try:
                commands = self.instances[instance].sidecar.step(batch.now, events)
            except Exception as error:
                raise ModuleFailed(instance, f"{type(error).__name__}: {error}") from error
            if commands:
                lines.append(f"AS sidecar-id={instance}")
                lines.extend(map(codec.command_line, commands))
        lines.append("DONE\n")
        return "\n".join(lines)


def serve(host: Host, source: TextIO, sink: TextIO) -> None:
    batch: Batch | None = None
    for number, raw in enumerate(source, 1):
        line = raw.rstrip("\r\n")
        try:
            if line.startswith("CLOCK "):
                batch = Batch(codec.micros(codec.split(line)[1]["time-s"]))
            elif not line:
                continue
            elif batch is None:
                raise Malformed("a batch has to begin with CLOCK")
            elif line == "YOUR_TURN":
                if batch.rows_due:
                    raise Malformed(f"the batch ended where {batch.rows_due} more ROW lines were due")
                sink.write(host.reply(batch))
                sink.flush()
                batch = None
            else:
                host.read(batch, line)
        except KeyError as error:
            raise Malformed(f"line {number}: missing or unknown value {error}") from error
        except (Malformed, ValueError) as error:
            raise Malformed(f"line {number}: {error}") from error
    if batch is not None:
        raise Malformed("input ended inside a batch")


def main(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    try:
        serve(Host(), source, sink)
    except Malformed as error:
        print(f"benchlink: {error}", file=errors)
        return 2
    except ModuleFailed as error:
        text = " ".join(str(error).split())[:200]
        sink.write(f"AS sidecar-id={error.instance}\nGIVE_IN body-text={text}\nDONE\n")
        sink.flush()
        print(f"benchlink: {text}", file=errors)
        return 1
    return 0
