"""What `capacity` knows by hand, checked when it is read: which measured figure stands for which budget, by
which file it is carried, which mechanism it wants next, and each mechanism's design in three sentences."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from fnmatch import fnmatchcase

from lupinmill.lab.scale.measured import Figure
from lupinmill.lab.scale.target import DAY, Target
from lupinmill.protocol.lists import MAX_LIST_BYTES

MISSING = "missing"
ROLES = ("sidecar", "elector", "holder", "discovery", "source", "relay")
CONFIG, CELLS, LISTS, DISCOVERY, ADDED, SOURCES, STAGES, LAYERS, ROSTERS, JOINING = (
    "config", "cells", "lists", "discovery", "added", "sources", "stages", "layers", "rosters", "joining"
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Mechanism:
    title: str
    file: str  # that carries it, or "missing"
    design: tuple[str, str, str]


MECHANISMS: dict[str, Mechanism] = {
    CONFIG: Mechanism(
        "configuration in force without a new start",
        "lupinmill/config/",
        (
            "A source holds settings, the zones' map and members as entries under scopes, and numbers each "
            "change of them.",
            "Relays on the control machines keep the newest version on disk, encode each change once and "
            "answer a watch of hundreds of sidecars, each with its own scopes alone.",
            "A sidecar takes a version whole or not at all in the running process, goes on with what it has "
            "while cut off, and says upwards what is in force there or why it refused.",
        ),
    ),
    ROSTERS: Mechanism(
        "scoped rosters",
        MISSING,
        (
            "A member's row can be an entry of the configuration today; it comes to stand under the scope"
            " of its "
            "cell, so that a new machine is a change for some hundred sidecars and nobody holds all rows.",
            "The operators' file keeps the electors and the relays alone, which change by hand and seldom,"
            " and "
            "the cap on members counts a cell.",
            "Membership takes rows in and out while it runs, as SIGHUP does today, and the mark of the "
            "scope's version tells two members apart whose rosters differ for a while.",
        ),
    ),
    CELLS: Mechanism(
        "cells, with sums told upwards",
        MISSING,
        (
            "Sidecars of one zone form cells of some hundred, and each knows and probes the members of "
            "its own cell alone.",
            "One member of a cell, under a lease of that cell, tells the holder once a second the sum of the "
            "cell's evidence and who is there, under the epoch of its lease.",
            "The holder hears of some two hundred cells whatever the fleet's size, clips a cell as it "
            "clips a member today, and the law of the plan and its bounds hold over the sums.",
        ),
    ),
    JOINING: Mechanism(
        "joining by digest",
        MISSING,
        (
            "A member that starts asks for a digest of a table first, and for rows only where digests "
            "differ, in place of whole tables in each of its first rounds.",
            "The rounds in which it asks are drawn over a span by the size of its roster, so that no second "
            "carries more bytes than are told.",
            "Probes, suspicions and refuting go on meanwhile, as none of them needs a whole table.",
        ),
    ),
    LISTS: Mechanism(
        "endpoint lists through relays",
        MISSING,
        (
            "A relay keeps one watch on discovery for each service that its sidecars call, and answers "
            "theirs from what it holds, changes encoded once.",
            "Discovery hears from some fifty relays and not from every sidecar, and a return of it costs "
            "fifty whole lists.",
            "A sidecar that loses its relay asks another one from the version that it holds, and goes on "
            "with the list that it has meanwhile, as today.",
        ),
    ),
    DISCOVERY: Mechanism(
        "spread by the fleet's size in discovery's watch",
        MISSING,
        (
            "The pauses before a watch is opened anew, constants today, are drawn from a span that grows "
            "with the number of sidecars told, so that all of them together ask no more often than "
            "discovery takes.",
            "A sidecar asks for changes from the version that it holds, and for the whole list only where "
            "discovery says that it does not know that version.",
            "While it waits the list that it has counts, as it does while discovery is away.",
        ),
    ),
    ADDED: Mechanism(
        "a cheaper ordinary path",
        MISSING,
        (
            "What a call costs in the sidecar is cut down where the table of its parts shows most: the hop "
            "itself, reading and writing heads, the module's step.",
            "A bare hop in this language sets the floor; where that is above the budget already, the path of "
            "bytes goes into compiled code and the decisions stay.",
            "No decision waits for it: it changes none of the rules, and the four rules' tests judge it.",
        ),
    ),
    SOURCES: Mechanism(
        "two sources fenced by an epoch",
        MISSING,
        (
            "Two sources stand in two regions, and one of them holds a lease from the electors; its epoch "
            "stands before the index in every version.",
            "The other one watches it as a relay does and takes a push only once it holds the lease.",
            "Relays take no version under an older epoch, so what a source accepted after it lost its lease "
            "comes into force nowhere and is told to who pushed it.",
        ),
    ),
    STAGES: Mechanism(
        "staged release",
        MISSING,
        (
            "A pushed version goes first to one cell, then to one zone, one region and all, each stage a "
            "scope and a pause.",
            "Refusals, denials and failures of sidecars in the stage are compared with those outside it, "
            "from the sums that cells tell.",
            "At the first harm the stage's version is rolled back by a new version with the old content, and "
            "nothing goes further.",
        ),
    ),
    LAYERS: Mechanism(
        "relays in layers",
        MISSING,
        (
            "A relay may watch another relay in place of the source, as its upstream already is a watch "
            "of the same form.",
            "One layer a region takes each change over the long line once and hands it to the relays of its "
            "zones.",
            "A relay whose upstream is silent moves to another one of the layer above, and to the source "
            "last.",
        ),
    ),
}

# --- budgets ------------------------------------------------------------------------------------

BUDGETS: dict[str, Callable[[Target], float]] = {
    "sidecar.cpu": lambda t: t.sidecar.cpu,
    "sidecar.memory_mb": lambda t: t.sidecar.memory_mb * 1e6,
    "sidecar.bytes_a_second": lambda t: t.sidecar.bytes_a_second,
    "control_load": lambda t: t.assumed("control_load"),
    # A process uses one core of a control machine, and may have its part of the rest.
    "control_memory_mb": lambda t: t.assumed("control_memory_mb") * 1e6 / t.assumed("control_cores"),
    "control_bytes_a_second": lambda t: t.assumed("control_bytes_a_second") / t.assumed("control_cores"),
    "look_s": lambda t: t.assumed("control_load"),  # one is due each second
    "largest_list": lambda t: MAX_LIST_BYTES,
    "list_calls_a_second": lambda t: t.assumed("list_calls_a_second"),
    "in_force_s": lambda t: t.goals.in_force_s,
    "back_s": lambda t: t.assumed("back_s"),
    "added_p99_ms": lambda t: t.goals.added_p99_ms / 1e3,
}


@dataclass(frozen=True, slots=True)
class Kind:
    """Figures of this role, name and day (shell patterns) stand for this budget. Of several the first
    counts."""

    role: str
    name: str
    day: str
    budget: str
    carried: str
    next: tuple[str, ...] = ()
    fatal: bool = False
    added: str = ""  # there only with this mechanism
    grows: str = "*"
    after: str = ""  # see `Row`
    mean: str = "mean"  # what stands in a point's `mean`
    files: str = ""  # the figure is of one new operators' file; of those that come a second it has this unit

    def takes(self, figure: Figure) -> bool:
        pairs = (
            (figure.role, self.role),
            (figure.name, self.name),
            (figure.day, self.day),
            (figure.grows_with, self.grows),
        )
        return all(fnmatchcase(text, pattern) for text, pattern in pairs)


# --- sizes --------------------------------------------------------------------------------------


def changes(target: Target) -> float:
    """A second, in the dearest minute."""
    return target.goals.changes_a_day / DAY * target.assumed("peak_factor")


def new_files(target: Target, sidecars: float) -> float:
    """Operators' files a second in the dearest minute, in a fleet of so many: one for each machine that comes
    back at another address, for every sidecar."""
    day = target.faults.restarted_a_day + target.faults.failed_a_day
    return day / DAY * target.assumed("peak_factor") * sidecars / target.fleet.sidecars


def relays_left(target: Target) -> int:
    """With a zone of control machines lost, in the worst case all of them relays."""
    return max(1, target.control.relays - target.machines_a_zone)


def size(target: Target, figure: Figure) -> float | None:
    """Of a figure at the target; None where the target has no size that it grows with."""
    if figure.name.startswith(ONE_RELAY):
        return target.fleet.sidecars / relays_left(target)
    sizes = {
        "members": float(target.fleet.sidecars),
        "sidecars": float(target.fleet.sidecars),
        "endpoints": float(target.list_endpoints if figure.role == "sidecar" else target.fleet.endpoints),
        "zones": float(target.fleet.zones),
        "relays": float(target.control.relays),
        CHANGES: changes(target),
        "calls a second": target.calls_a_sidecar * target.assumed("skew"),
    }
    return sizes.get(figure.grows_with)


# Figures of one relay by its own sidecars are named so, of cores or of processes; others are by the fleet's.
ONE_RELAY = ("core ", "process ", "watch ")
ENTRIES = "members' entries"  # key of the computed row that takes the place of new files
BESIDE = "quiet, sockets"  # a day that is run to compare real members with hollow ones, and sizes nothing
# Of its time on a core that a call waited for one, as `added.WAITED`: then the run judges nothing.
DISTURBED = 0.1
# A size that the fleet's does not move: a budget that breaks there breaks in a fleet of any size.
APART = ("calls a second",)

# --- kinds --------------------------------------------------------------------------------------

CORE, CHANGES = "part of a core", "changes a second"
MEMBERS, FILES = "lupinmill/peers/membership.py", "lupinmill/program/operators_file.py"
ZONES, LIST = "lupinmill/zones/reports.py", "lupinmill/protocol/lists.py"
WATCH, FANNED = "lupinmill/discovery/", "lupinmill/config/"

KINDS: tuple[Kind, ...] = (
    Kind("*", "time in force", "*", "in_force_s", FANNED, (CONFIG,), True, added=CONFIG, mean="p50"),
    Kind("*", "process time in force", "*", "in_force_s", FANNED, (CONFIG,), True, added=CONFIG, mean="p50"),
    Kind("*", "time in force p99", "*", "in_force_s", FANNED, (CONFIG,), True, added=CONFIG, mean="p99"),
    Kind("*", "time until all are at the newest", "*", "back_s", FANNED, (LAYERS,), added=CONFIG),
    Kind("relay", "*cpu", "*", "control_load", FANNED, (LAYERS,), added=CONFIG),
    Kind("relay", "*memory", "*", "control_memory_mb", FANNED, (LAYERS,), added=CONFIG),
    Kind("relay", "*bytes", "*", "control_bytes_a_second", FANNED, (LAYERS,), added=CONFIG),
    Kind("relay", "bytes out", "*", "control_bytes_a_second", FANNED, (LAYERS,), added=CONFIG),
    Kind("source", "*cpu", "*", "control_load", FANNED, (LAYERS,), added=CONFIG),
    Kind("source", "*memory", "*", "control_memory_mb", FANNED, (LAYERS,), added=CONFIG),
    Kind("source", "bytes*", "*", "control_bytes_a_second", FANNED, (LAYERS,), added=CONFIG),
    Kind("sidecar", "watch cpu", "*", "sidecar.cpu", FANNED, (CONFIG,), added=CONFIG),
    Kind("sidecar", "cpu", "*", "sidecar.cpu", FANNED, (CONFIG,), added=CONFIG, grows=CHANGES),
    Kind("sidecar", "bytes", "*", "sidecar.bytes_a_second", FANNED, (CONFIG,), added=CONFIG, grows=CHANGES),
    Kind("sidecar", "memory", "*", "sidecar.memory_mb", FANNED, (CONFIG,), added=CONFIG, grows="sidecars"),
    # Fatal on a quiet or an ordinary day. What is passed for some seconds after a start or a loss is not.
    Kind("sidecar", "cpu", "quiet", "sidecar.cpu", MEMBERS, (CELLS, ROSTERS), True),
    Kind("sidecar", "cpu", "ordinary", "sidecar.cpu", MEMBERS, (CELLS, ROSTERS), True),
    Kind("sidecar", "cpu", "*", "sidecar.cpu", MEMBERS, (CELLS, ROSTERS)),
    Kind("sidecar", "bytes", "quiet", "sidecar.bytes_a_second", MEMBERS, (CELLS, ROSTERS), True),
    Kind("sidecar", "bytes", "ordinary", "sidecar.bytes_a_second", MEMBERS, (CELLS, ROSTERS), True),
    Kind("sidecar", "bytes", "start", "sidecar.bytes_a_second", MEMBERS, (JOINING, CELLS)),
    Kind("sidecar", "bytes", "*", "sidecar.bytes_a_second", MEMBERS, (CELLS, ROSTERS)),
    Kind("sidecar", "evidence bytes", "*", "sidecar.bytes_a_second", ZONES, (CELLS,), True),
    Kind("sidecar", "state", "*", "sidecar.memory_mb", MEMBERS, (CELLS, ROSTERS), True),
    Kind("sidecar", "file memory", "*", "sidecar.memory_mb", FILES, (ROSTERS, CELLS), True),
    Kind("sidecar", "file cpu", "*", "sidecar.cpu", FILES, (CONFIG, ROSTERS), True, files=CORE,
         after=ENTRIES),
    Kind("sidecar", "file bytes", "*", "sidecar.bytes_a_second", FILES, (CONFIG, ROSTERS), True,
         files="bytes/s", after=ENTRIES),
    Kind("sidecar", "list memory", "*", "sidecar.memory_mb", LIST, (LISTS,), True),
    Kind("sidecar", "list bytes", "*", "largest_list", LIST, (LISTS,), True),
    Kind("elector", "evidence cpu", "*", "control_load", ZONES, (CELLS,), True),
    Kind("elector", "evidence memory", "*", "control_memory_mb", ZONES, (CELLS,), True),
    Kind("elector", "evidence bytes", "*", "control_bytes_a_second", ZONES, (CELLS,), True),
    Kind("holder", "evidence cpu", "*", "control_load", ZONES, (CELLS,), True),
    Kind("holder", "look if all heard", "*", "look_s", ZONES, (CELLS,), True),
    Kind("holder", "evidence memory", "*", "control_memory_mb", ZONES, (CELLS,), True),
    Kind("holder", "evidence bytes", "*", "control_bytes_a_second", ZONES, (CELLS,), True),
    Kind("discovery", "calls, *, 5000 *", "quiet", "list_calls_a_second", WATCH, (LISTS,)),
    Kind("discovery", "calls, *, 5000 *", "*", "list_calls_a_second", WATCH, (DISCOVERY, LISTS), True),
    Kind("discovery", "wait for a list, *, 5000 *", "*", "back_s", WATCH, (DISCOVERY, LISTS), True,
         mean="p50"),
)  # fmt: skip
