"""Measures membership by fleet size in virtual time, next to the theoretical figures: how long it takes until
a death is known, how many live members are declared dead, what the traffic costs, and how long healing takes.
Runs are seeded; those of one table use several cores."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from math import e, log
from statistics import mean

from lupinmill.lab.fleet import Fault, Fleet, Network
from lupinmill.lab.fleet_virtual import VirtualFleet
from lupinmill.peers.view import SECOND, MembershipTiming

SETTLE_S = 15.0  # until a small fleet has joined
ROUND_S = MembershipTiming().round / SECOND


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


def run_fleet(fleet: Fleet, seed: int) -> VirtualFleet:
    virtual = VirtualFleet(fleet, seed, decide=False)
    virtual.check_leases = False
    virtual.play()
    return virtual


def join_time(members: int) -> float:
    return SETTLE_S + members / 60


def measure_death(case: Case) -> Row:
    at = join_time(case.members)
    virtual = run_fleet(
        fleet_of(case, at + 12, [Fault("kill", at, members=[case.seed % case.members])]), case.seed
    )
    target = f"m{case.seed % case.members}"
    known_after = sorted(
        event.at - at for event in virtual.result.events if event.about == target and event.state == "dead"
    )
    all_know = known_after[-1] if len(known_after) == case.members - 1 else float("nan")
    return {"first_s": known_after[0], "all_s": all_know, "false_deaths": false_deaths(virtual, {target})}


def false_deaths(virtual: VirtualFleet, expected: set[str]) -> float:
    """The number of members that some other held dead, apart from the expected ones."""
    dead = {event.about for event in virtual.result.events if event.what == "peer" and event.state == "dead"}
    return float(len(dead - expected))


def measure_loss(share: float) -> Callable[[Case], Row]:
    def run_case(case: Case) -> Row:
        virtual = run_fleet(fleet_of(case, case.seconds, network=Network(loss=share)), case.seed)
        return {
            "false_deaths": false_deaths(virtual, set()),
            "hours": case.seconds / 3600,
            **traffic_figures(virtual, 0.0),
        }

    return run_case


def slow_members(kind: str) -> Callable[[Case], Row]:
    """One twentieth of the members is stopped for 3 s, or starved for 20 s; counts deaths among the
    others."""

    def run_case(case: Case) -> Row:
        at, count = join_time(case.members), max(1, case.members // 20)
        chosen = [(case.seed * 7 + 13 * n) % case.members for n in range(count)]
        until = at + (3.0 if kind == "pause" else 20.0)
        fault = Fault(kind, at, until, members=chosen, stop_ms=400)  # type: ignore[arg-type]
        virtual = run_fleet(fleet_of(case, until + 15, [fault]), case.seed)
        slow = {f"m{n}" for n in chosen}
        dead = {
            event.about for event in virtual.result.events if event.what == "peer" and event.state == "dead"
        }
        return {
            "false_deaths": float(len(dead - slow)),
            "slow": float(len(slow)),
            "slow_held_dead": float(len(dead & slow)),
            "agreed_at_end": float(virtual.agreed()),
        }

    return run_case


def traffic_figures(virtual: VirtualFleet, sent_before: float) -> Row:
    sent = [host.sent for host in virtual.hosts.values()]
    return {
        "datagrams_a_second": (sum(sent) - sent_before) / len(sent) / virtual.fleet.seconds,
        "bytes_a_datagram": mean(virtual.sizes) if virtual.sizes else 0.0,
    }


def measure_quiet(case: Case) -> Row:
    at = join_time(case.members)
    virtual = VirtualFleet(fleet_of(case, at + 10), case.seed, decide=False)
    virtual.check_leases = False
    for name in virtual.hosts:
        virtual.schedule(0, "start", name)
    virtual.run_until(int(at * SECOND))
    sent_before = {name: host.sent for name, host in virtual.hosts.items()}
    virtual.sizes.clear()
    agreed = virtual.agreed()
    virtual.run_until(int((at + 10) * SECOND))
    sent = sorted((host.sent - sent_before[name]) / 10 for name, host in virtual.hosts.items())
    size = mean(virtual.sizes)
    return {
        "datagrams_a_second": mean(sent),
        "most": sent[-1],
        "bytes_a_second": mean(sent) * size,
        "joined": float(agreed),
    }


def measure_heal(case: Case) -> Row:
    """Partitions the fleet into halves for 15 s; the time from its end until all members agree."""
    at = join_time(case.members)
    cut = Fault("partition", at, at + 15, into=2)
    virtual = VirtualFleet(fleet_of(case, at + 15, [cut]), case.seed, decide=False)
    virtual.check_leases = False
    virtual.play()
    seconds = 0.0
    while not virtual.agreed() and seconds < 60:
        seconds += 0.1
        virtual.run_until(int((at + 15 + seconds) * SECOND))
    return {"healed_s": seconds}


KINDS: dict[str, Callable[[Case], Row]] = {
    "death": measure_death,
    "quiet": measure_quiet,
    "loss 10%": measure_loss(0.1),
    "loss 30%": measure_loss(0.3),
    "5% paused": slow_members("pause"),
    "5% starved": slow_members("starve"),
    "heal": measure_heal,
}


def run_case(case: Case) -> Row:
    return KINDS[case.kind](case)


def expected_figures(kind: str, members: int) -> str:
    timing = MembershipTiming()
    probed = ROUND_S * e / (e - 1)  # SWIM: expected time until some member probes the failed one
    least, most = (timing.suspicion_timeout(members, n) / SECOND for n in (members, 0))
    if kind == "death":
        spread = ROUND_S / 2 * log(members) / log(3)
        return (
            f"first probe {probed:.2f} + a round {ROUND_S:.1f} + suspicion {least:.2f} to {most:.1f} + own "
            f"probe {ROUND_S:.1f}; all: {spread:.2f} more"
        )
    if kind == "quiet":
        return (
            f"{2 / ROUND_S + 0.1 / ROUND_S:.1f} a second: a probe and an answer a round, a table every tenth"
        )
    return ""


def table(
    kinds: list[str], sizes: list[int], seeds: int, seconds: float, jobs: int, echo: Callable[[str], None]
) -> dict[tuple[str, int], list[Row]]:
    rows_by_case: dict[tuple[str, int], list[Row]] = {}
    with ProcessPoolExecutor(jobs) as pool:
        for kind in kinds:
            for size in sizes:
                rows = list(pool.map(run_case, [Case(kind, size, seed, seconds) for seed in range(seeds)]))
                rows_by_case[kind, size] = rows
                figures = "  ".join(
                    f"{key} {mean(values):.3f} ({min(values):.3f} to {max(values):.3f})"
                    for key in rows[0]
                    for values in [[row[key] for row in rows]]
                )
                expected = expected_figures(kind, size)
                echo(
                    f"{kind:10} {size:5} members  {figures}" + (f"  [theory: {expected}]" if expected else "")
                )
    return rows_by_case
