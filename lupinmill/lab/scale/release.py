"""Measures a release in virtual time: most sidecars of a fleet start anew at once, with an old list, beside a
discovery that works through calls in turn. How long does each wait for its list to be confirmed, and how long
would it have gone by the old one?

The production `discovery.driver.DiscoveryClient` runs once per sidecar; discovery, the network and random
numbers are simulated (`returns_stand.py`)."""

from __future__ import annotations

import random
import statistics
import sys
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from lupinmill import terms as t
from lupinmill.discovery import driver as discovery
from lupinmill.discovery.confirmation import ListState
from lupinmill.lab.scale.returns_stand import (
    SimulatedDiscovery,
    SimulatedSidecar,
    VirtualLoop,
    simulated_network,
)

RESTARTED_SHARE = 0.7
START_SPREAD_S = 0.5  # all restarted sidecars start within this time
SETTLING_S = 5.0  # for which the fleet runs before the release
WINDOW_S = 20.0  # seconds observed after the release begins


@dataclass(slots=True)
class StartOutcome:
    """Seconds of each restarted sidecar, from its start."""

    first_answers: list[float] = field(default_factory=list)  # until discovery has answered it
    unusable: list[float] = field(default_factory=list)  # without service, as its list was not confirmed
    by_old_list: list[float] = field(default_factory=list)  # in service by a list that was not confirmed
    calls: int = 0  # of the whole fleet, at discovery


class RestartedSidecar(SimulatedSidecar):
    """Records when attempts may go by its list, and when discovery first answers it."""

    def __init__(self, loop: VirtualLoop, deployment: t.Deployment) -> None:
        super().__init__(loop, deployment, self.record_answer)
        self.started_at = loop.time()
        self.answered_at: float | None = None
        self.unusable_since: float | None = None
        self.unusable_s = 0.0

    def record_answer(self, _: SimulatedSidecar, index: int) -> None:
        self.answered_at = self.answered_at or self.loop.time()

    def set_usable(self, usable: bool) -> None:
        if usable and self.unusable_since is not None:
            self.unusable_s += self.loop.time() - self.unusable_since
        self.unusable_since = None if usable else self.loop.time()


def simulate_release(
    count: int, work_s: float, seed: int, confirm: bool, down_s: float = 0.0
) -> StartOutcome:
    """`work_s`: seconds that discovery spends on a call. `confirm`: whether lists of a start wait to be
    confirmed. `down_s`: for so long discovery is down when the release begins."""
    loop, found = VirtualLoop(), StartOutcome()
    service = SimulatedDiscovery(loop, 1 / work_s)
    source = random.Random(f"release {seed}")
    restarted: list[RestartedSidecar] = []

    def deployment() -> t.Deployment:
        return t.Deployment(seed=source.getrandbits(62), instances=count, poll_discovery=False, grace=500_000)

    async def run(sidecar: SimulatedSidecar, after: float, old_list: bool) -> None:
        await anyio.sleep(after)
        client = discovery.DiscoveryClient("d:1", sidecar.deployment, sidecar, None, lambda *_, **__: None)
        if isinstance(sidecar, RestartedSidecar):
            sidecar.started_at = loop.time()
        if old_list:
            client.start_with_list(ListState.AWAITED)
        await client.run()

    async def main() -> None:
        async with anyio.create_task_group() as group:
            for _ in range(count - round(RESTARTED_SHARE * count)):
                sidecar = SimulatedSidecar(loop, deployment(), lambda *_: None)
                group.start_soon(run, sidecar, source.uniform(0, 1.0), False)
            await anyio.sleep(SETTLING_S)
            if down_s:
                service.stop()
            calls = len(service.calls)
            for _ in range(round(RESTARTED_SHARE * count)):
                restarted.append(RestartedSidecar(loop, deployment()))
                group.start_soon(run, restarted[-1], source.uniform(0, START_SPREAD_S), confirm)
            if down_s:
                await anyio.sleep(down_s)
                service.restart(service.index)
            await anyio.sleep(WINDOW_S - down_s)
            found.calls = len(service.calls) - calls
            group.cancel_scope.cancel()

    with simulated_network(service, seed):
        anyio.run(main, backend_options={"loop_factory": lambda: loop})
    for sidecar in restarted:
        sidecar.set_usable(True)
        answered = (sidecar.answered_at or loop.time()) - sidecar.started_at
        found.first_answers.append(answered)
        found.unusable.append(sidecar.unusable_s)
        found.by_old_list.append(max(0.0, answered - sidecar.unusable_s))
    return found


def describe(seconds: list[float]) -> str:
    return f"{statistics.median(seconds):.2f}, {max(seconds):.2f}"


def measure(seeds: list[int], log: Callable[[str], None]) -> None:
    """One line a scenario; each pair of figures is the median and the longest over all restarted sidecars."""
    for count, work_s, down_s in SCENARIOS:
        for confirm in (False, True):
            outcomes = [simulate_release(count, work_s, seed, confirm, down_s) for seed in seeds]
            columns = (
                describe([each for one in outcomes for each in getattr(one, name)])
                for name in ("first_answers", "unusable", "by_old_list")
            )
            calls = statistics.mean(one.calls for one in outcomes) / WINDOW_S
            log(
                f"| {count} | {1000 * work_s:g} ms | {down_s:g} s | {'waits' if confirm else 'as given'} | "
                + " | ".join(columns)
                + f" | {calls:.1f} |"
            )


SCENARIOS = (
    (30, 0.001, 0.0), (30, 0.02, 0.0), (30, 0.05, 0.0), (30, 0.1, 0.0), (30, 0.05, 8.0),
    (200, 0.001, 0.0), (200, 0.005, 0.0), (200, 0.01, 0.0), (200, 0.02, 0.0), (200, 0.005, 8.0),
)  # fmt: skip


def main(arguments: list[str]) -> None:
    seeds = [int(one) for one in arguments[1].split(",")] if arguments[:1] == ["--seeds"] else [1, 2, 3]
    print(
        "| sidecars | a call takes | down | list | answered s | out of service s | by old list s | calls/s |"
    )
    measure(seeds, lambda text: print(text, flush=True))


if __name__ == "__main__":
    main(sys.argv[1:])
