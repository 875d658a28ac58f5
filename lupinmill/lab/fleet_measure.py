"""Membership by size, in virtual time: how long until a death is known, how many are declared dead that live,
what it costs, how long healing takes; each beside what theory says. Seeded; runs of one table go over several
cores."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from math import e, log
from statistics import mean

from lupinmill.lab.fleet import Fault, Fleet, Network
from lupinmill.lab.fleet_virtual import VirtualFleet
from lupinmill.peers.view import SECOND, MembershipTiming

SETTLE = 15.0  # seconds until a fleet has joined
ROUND = MembershipTiming().round / SECOND


@dataclass(frozen=True)
class Case:
    """One row of the table, for one size and seed."""

    kind: str
    members: int
    seed: int
    seconds: float = 0.0


Row = dict[str, float]


def fleet_of(
    case: Case, seconds: float, faults: Iterable[Fault] = (), network: Network | None = None
) -> Fleet:
    return Fleet(
        case.kind, seconds, case.members, electors=0, network=network or Network(), fault=list(faults)
    )


def run(fleet: Fleet, seed: int) -> VirtualFleet:
    virtual = VirtualFleet(fleet, seed, decide=False)
    virtual.check_truth = False
    virtual.play()
    return virtual


def joined(members: int) -> float:
    return SETTLE + members / 60


def death(case: Case) -> Row:
    at = joined(case.members)
    virtual = run(fleet_of(case, at + 12, [Fault("kill", at, members=[case.seed % case.members])]), case.seed)
    about = f"m{case.seed % case.members}"
    known = sorted(x.at - at for x in virtual.result.events if x.about == about and x.state == "dead")
    all_know = known[-1] if len(known) == case.members - 1 else float("nan")
    return {"first_s": known[0], "all_s": all_know, "false_deaths": false_deaths(virtual, {about})}


def false_deaths(virtual: VirtualFleet, but: set[str]) -> float:
    """Members held dead by somebody although they were neither stopped nor killed."""
    found = {x.about for x in virtual.result.events if x.what == "peer" and x.state == "dead"}
    return float(len(found - but))


def lossy(share: float) -> Callable[[Case], Row]:
    def play(case: Case) -> Row:
        virtual = run(fleet_of(case, case.seconds, network=Network(loss=share)), case.seed)
        return {
            "false_deaths": false_deaths(virtual, set()),
            "hours": case.seconds / 3600,
            **load(virtual, 0.0),
        }

    return play


def slowed(kind: str) -> Callable[[Case], Row]:
    """A twentieth of the members stopped for 3 s, or starved; how many of the others are held dead."""

    def play(case: Case) -> Row:
        at, count = joined(case.members), max(1, case.members // 20)
        chosen = [(case.seed * 7 + 13 * n) % case.members for n in range(count)]
        until = at + (3.0 if kind == "pause" else 20.0)
        fault = Fault(kind, at, until, members=chosen, stop_ms=400)  # type: ignore[arg-type]
        virtual = run(fleet_of(case, until + 15, [fault]), case.seed)
        slow = {f"m{n}" for n in chosen}
        dead = {x.about for x in virtual.result.events if x.what == "peer" and x.state == "dead"}
        return {
            "false_deaths": float(len(dead - slow)),
            "slow": float(len(slow)),
            "slow_held_dead": float(len(dead & slow)),
            "agreed_at_end": float(virtual.agreed()),
        }

    return play


def load(virtual: VirtualFleet, before: float) -> Row:
    sent = [host.sent for host in virtual.hosts.values()]
    return {
        "datagrams_a_second": (sum(sent) - before) / len(sent) / virtual.fleet.seconds,
        "bytes_a_datagram": mean(virtual.sizes) if virtual.sizes else 0.0,
    }


def quiet(case: Case) -> Row:
    at = joined(case.members)
    virtual = VirtualFleet(fleet_of(case, at + 10), case.seed, decide=False)
    virtual.check_truth = False
    for name in virtual.hosts:
        virtual.put(0, "start", name)
    virtual.run_until(int(at * SECOND))
    before = {name: host.sent for name, host in virtual.hosts.items()}
    virtual.sizes.clear()
    agreed = virtual.agreed()
    virtual.run_until(int((at + 10) * SECOND))
    sent = sorted((host.sent - before[name]) / 10 for name, host in virtual.hosts.items())
    size = mean(virtual.sizes)
    return {
        "datagrams_a_second": mean(sent),
        "most": sent[-1],
        "bytes_a_second": mean(sent) * size,
        "joined": float(agreed),
    }


def heal(case: Case) -> Row:
    """Cut into halves for 15 s; from the end of the cut until all hold all for alive."""
    at = joined(case.members)
    cut = Fault("partition", at, at + 15, into=2)
    virtual = VirtualFleet(fleet_of(case, at + 15, [cut]), case.seed, decide=False)
    virtual.check_truth = False
    virtual.play()
    seconds = 0.0
    while not virtual.agreed() and seconds < 60:
        seconds += 0.1
        virtual.run_until(int((at + 15 + seconds) * SECOND))
    return {"healed_s": seconds}


KINDS: dict[str, Callable[[Case], Row]] = {
    "death": death,
    "quiet": quiet,
    "loss 10%": lossy(0.1),
    "loss 30%": lossy(0.3),
    "5% paused": slowed("pause"),
    "5% starved": slowed("starve"),
    "heal": heal,
}


def play(case: Case) -> Row:
    return KINDS[case.kind](case)


def theory(kind: str, members: int) -> str:
    timing = MembershipTiming()
    probed = ROUND * e / (e - 1)  # SWIM: expected rounds until somebody's turn comes to the failed one
    least, most = (timing.suspicion_timeout(members, n) / SECOND for n in (members, 0))
    if kind == "death":
        spread = ROUND / 2 * log(members) / log(3)
        return (
            f"first probe {probed:.2f} + a round {ROUND:.1f} + suspicion {least:.2f} to {most:.1f} + own "
            f"probe {ROUND:.1f}; all: {spread:.2f} more"
        )
    if kind == "quiet":
        return f"{2 / ROUND + 0.1 / ROUND:.1f} a second: a probe and an answer a round, a table every tenth"
    return ""


def table(
    kinds: list[str], sizes: list[int], seeds: int, seconds: float, jobs: int, say: Callable[[str], None]
) -> dict[tuple[str, int], list[Row]]:
    found: dict[tuple[str, int], list[Row]] = {}
    with ProcessPoolExecutor(jobs) as pool:
        for kind in kinds:
            for size in sizes:
                rows = list(pool.map(play, [Case(kind, size, seed, seconds) for seed in range(seeds)]))
                found[kind, size] = rows
                figures = "  ".join(
                    f"{key} {mean(values):.3f} ({min(values):.3f} to {max(values):.3f})"
                    for key in rows[0]
                    for values in [[row[key] for row in rows]]
                )
                expected = theory(kind, size)
                say(
                    f"{kind:10} {size:5} members  {figures}" + (f"  [theory: {expected}]" if expected else "")
                )
    return found
