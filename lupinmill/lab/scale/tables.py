"""Hand-written tables of `capacity`: which measured figure counts against which budget, which file implements
it, which mechanism it needs next, and the design of each mechanism in three sentences."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from fnmatch import fnmatchcase

from lupinmill.lab.scale.measured import Figure
from lupinmill.lab.scale.target import SECONDS_PER_DAY, Target
from lupinmill.protocol.lists import MAX_LIST_BYTES

MISSING = "missing"
ROLES = ("sidecar", "elector", "holder", "discovery", "source", "relay")
CONFIG, CELLS, LISTS, DISCOVERY, ADDED, SOURCES, STAGES, LAYERS, ROSTERS, JOINING = (
    "config", "cells", "lists", "discovery", "added", "sources", "stages", "layers", "rosters", "joining"
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Mechanism:
    title: str
    file: str  # that implements it, or "missing"
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
    # A process uses one core of a control machine, and so its share of the machine's memory and bytes.
    "control_memory_mb": lambda t: t.assumed("control_memory_mb") * 1e6 / t.assumed("control_cores"),
    "control_bytes_a_second": lambda t: t.assumed("control_bytes_a_second") / t.assumed("control_cores"),
    "look_s": lambda t: t.assumed("control_load"),  # an evaluation is due each second
    "largest_list": lambda t: MAX_LIST_BYTES,
    "list_calls_a_second": lambda t: t.assumed("list_calls_a_second"),
    "in_force_s": lambda t: t.goals.in_force_s,
    "back_s": lambda t: t.assumed("back_s"),
    "added_p99_ms": lambda t: t.goals.added_p99_ms / 1e3,
}


@dataclass(frozen=True, slots=True)
class BudgetRule:
    """Figures whose role, name and day match the patterns count against this budget.

    Patterns are those of the shell; the first rule that matches applies.
    """

    role: str
    name: str
    day: str
    budget: str
    carried_by: str
    mechanisms: tuple[str, ...] = ()
    fatal: bool = False
    requires: str = ""  # exists only with this mechanism
    grows_with: str = "*"
    successor: str = ""  # see `BudgetRow`
    mean_label: str = "mean"  # what a point's `mean` holds
    # Set where the figure is of one new operators' file: the unit of its product with new files per second.
    new_file_unit: str = ""

    def matches(self, figure: Figure) -> bool:
        pairs = (
            (figure.role, self.role),
            (figure.name, self.name),
            (figure.day, self.day),
            (figure.grows_with, self.grows_with),
        )
        return all(fnmatchcase(text, pattern) for text, pattern in pairs)


# --- sizes --------------------------------------------------------------------------------------


def changes_per_second(target: Target) -> float:
    """In the busiest minute."""
    return target.goals.changes_a_day / SECONDS_PER_DAY * target.assumed("peak_factor")


def new_files_per_second(target: Target, sidecars: float) -> float:
    """New operators' files per second in the busiest minute, for a fleet of that many sidecars.

    Each machine that comes back at another address means a new file for every sidecar.
    """
    day = target.faults.restarted_a_day + target.faults.failed_a_day
    return day / SECONDS_PER_DAY * target.assumed("peak_factor") * sidecars / target.fleet.sidecars


def remaining_relays(target: Target) -> int:
    """Relays left after a zone is lost; in the worst case all its control machines run relays."""
    return max(1, target.control.relays - target.machines_a_zone)


def size_at_target(target: Target, figure: Figure) -> float | None:
    """Size of a figure at the target; None where the target has no size that the figure grows with."""
    if figure.name.startswith(SINGLE_RELAY_PREFIXES):
        return target.fleet.sidecars / remaining_relays(target)
    sizes = {
        "members": float(target.fleet.sidecars),
        "sidecars": float(target.fleet.sidecars),
        "endpoints": float(target.list_endpoints if figure.role == "sidecar" else target.fleet.endpoints),
        "zones": float(target.fleet.zones),
        "relays": float(target.control.relays),
        CHANGES_PER_SECOND: changes_per_second(target),
        "calls a second": target.calls_a_sidecar * target.assumed("skew"),
    }
    return sizes.get(figure.grows_with)


# Prefixes of figures of one relay by its own sidecars, of cores or of processes. Others are by the fleet's.
SINGLE_RELAY_PREFIXES = ("core ", "process ", "watch ")
MEMBER_ENTRIES = "members' entries"  # key of the computed row that replaces those of new files
COMPARISON_DAY = "quiet, sockets"  # compares real members with hollow ones; counts against no budget
# Time that a call waited for a core as a part of its time on one, as `added.WAITED`. Above it the run was
# disturbed and gives no verdict.
MAX_CORE_WAIT = 0.1
# Sizes that don't depend on the fleet's: a budget exceeded there is exceeded in a fleet of any size.
FLEET_INDEPENDENT_SIZES = ("calls a second",)

# --- budget rules -------------------------------------------------------------------------------

CORE_UNIT, CHANGES_PER_SECOND = "part of a core", "changes a second"
MEMBERSHIP_FILE, OPERATORS_FILE = "lupinmill/peers/membership.py", "lupinmill/program/operators_file.py"
REPORTS_FILE, LISTS_FILE = "lupinmill/zones/reports.py", "lupinmill/protocol/lists.py"
DISCOVERY_FILES, CONFIG_FILES = "lupinmill/discovery/", "lupinmill/config/"

BUDGET_RULES: tuple[BudgetRule, ...] = (
    BudgetRule("*", "time in force", "*", "in_force_s", CONFIG_FILES, (CONFIG,), True, requires=CONFIG,
               mean_label="p50"),
    BudgetRule("*", "process time in force", "*", "in_force_s", CONFIG_FILES, (CONFIG,), True,
               requires=CONFIG, mean_label="p50"),
    BudgetRule("*", "time in force p99", "*", "in_force_s", CONFIG_FILES, (CONFIG,), True, requires=CONFIG,
               mean_label="p99"),
    BudgetRule("*", "time until all are at the newest", "*", "back_s", CONFIG_FILES, (LAYERS,),
               requires=CONFIG),
    BudgetRule("relay", "*cpu", "*", "control_load", CONFIG_FILES, (LAYERS,), requires=CONFIG),
    BudgetRule("relay", "*memory", "*", "control_memory_mb", CONFIG_FILES, (LAYERS,), requires=CONFIG),
    BudgetRule("relay", "*bytes", "*", "control_bytes_a_second", CONFIG_FILES, (LAYERS,), requires=CONFIG),
    BudgetRule("relay", "bytes out", "*", "control_bytes_a_second", CONFIG_FILES, (LAYERS,), requires=CONFIG),
    BudgetRule("source", "*cpu", "*", "control_load", CONFIG_FILES, (LAYERS,), requires=CONFIG),
    BudgetRule("source", "*memory", "*", "control_memory_mb", CONFIG_FILES, (LAYERS,), requires=CONFIG),
    BudgetRule("source", "bytes*", "*", "control_bytes_a_second", CONFIG_FILES, (LAYERS,), requires=CONFIG),
    BudgetRule("sidecar", "watch cpu", "*", "sidecar.cpu", CONFIG_FILES, (CONFIG,), requires=CONFIG),
    BudgetRule("sidecar", "cpu", "*", "sidecar.cpu", CONFIG_FILES, (CONFIG,), requires=CONFIG,
               grows_with=CHANGES_PER_SECOND),
    BudgetRule("sidecar", "bytes", "*", "sidecar.bytes_a_second", CONFIG_FILES, (CONFIG,), requires=CONFIG,
               grows_with=CHANGES_PER_SECOND),
    BudgetRule("sidecar", "memory", "*", "sidecar.memory_mb", CONFIG_FILES, (CONFIG,), requires=CONFIG,
               grows_with="sidecars"),
    # Fatal on a quiet or an ordinary day, not when exceeded for some seconds after a start or a loss.
    BudgetRule("sidecar", "cpu", "quiet", "sidecar.cpu", MEMBERSHIP_FILE, (CELLS, ROSTERS), True),
    BudgetRule("sidecar", "cpu", "ordinary", "sidecar.cpu", MEMBERSHIP_FILE, (CELLS, ROSTERS), True),
    BudgetRule("sidecar", "cpu", "*", "sidecar.cpu", MEMBERSHIP_FILE, (CELLS, ROSTERS)),
    BudgetRule("sidecar", "bytes", "quiet", "sidecar.bytes_a_second", MEMBERSHIP_FILE, (CELLS, ROSTERS),
               True),
    BudgetRule("sidecar", "bytes", "ordinary", "sidecar.bytes_a_second", MEMBERSHIP_FILE, (CELLS, ROSTERS),
               True),
    BudgetRule("sidecar", "bytes", "start", "sidecar.bytes_a_second", MEMBERSHIP_FILE, (JOINING, CELLS)),
    BudgetRule("sidecar", "bytes", "*", "sidecar.bytes_a_second", MEMBERSHIP_FILE, (CELLS, ROSTERS)),
    BudgetRule("sidecar", "evidence bytes", "*", "sidecar.bytes_a_second", REPORTS_FILE, (CELLS,), True),
    BudgetRule("sidecar", "state", "*", "sidecar.memory_mb", MEMBERSHIP_FILE, (CELLS, ROSTERS), True),
    BudgetRule("sidecar", "file memory", "*", "sidecar.memory_mb", OPERATORS_FILE, (ROSTERS, CELLS), True),
    BudgetRule("sidecar", "file cpu", "*", "sidecar.cpu", OPERATORS_FILE, (CONFIG, ROSTERS), True,
               new_file_unit=CORE_UNIT, successor=MEMBER_ENTRIES),
    BudgetRule("sidecar", "file bytes", "*", "sidecar.bytes_a_second", OPERATORS_FILE, (CONFIG, ROSTERS),
               True, new_file_unit="bytes/s", successor=MEMBER_ENTRIES),
    BudgetRule("sidecar", "list memory", "*", "sidecar.memory_mb", LISTS_FILE, (LISTS,), True),
    BudgetRule("sidecar", "list bytes", "*", "largest_list", LISTS_FILE, (LISTS,), True),
    BudgetRule("elector", "evidence cpu", "*", "control_load", REPORTS_FILE, (CELLS,), True),
    BudgetRule("elector", "evidence memory", "*", "control_memory_mb", REPORTS_FILE, (CELLS,), True),
    BudgetRule("elector", "evidence bytes", "*", "control_bytes_a_second", REPORTS_FILE, (CELLS,), True),
    BudgetRule("holder", "evidence cpu", "*", "control_load", REPORTS_FILE, (CELLS,), True),
    BudgetRule("holder", "look if all heard", "*", "look_s", REPORTS_FILE, (CELLS,), True),
    BudgetRule("holder", "evidence memory", "*", "control_memory_mb", REPORTS_FILE, (CELLS,), True),
    BudgetRule("holder", "evidence bytes", "*", "control_bytes_a_second", REPORTS_FILE, (CELLS,), True),
    BudgetRule("discovery", "calls, *, 5000 *", "quiet", "list_calls_a_second", DISCOVERY_FILES, (LISTS,)),
    BudgetRule("discovery", "calls, *, 5000 *", "*", "list_calls_a_second", DISCOVERY_FILES,
               (DISCOVERY, LISTS), True),
    BudgetRule("discovery", "wait for a list, *, 5000 *", "*", "back_s", DISCOVERY_FILES,
               (DISCOVERY, LISTS), True, mean_label="p50"),
)  # fmt: skip
