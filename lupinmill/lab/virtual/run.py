"""One run of a scenario in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import numpy as np
import xxhash

from lupinmill import terms as t
from lupinmill.lab import policies
from lupinmill.lab.clients import Clients
from lupinmill.lab.endpoint import Endpoint
from lupinmill.lab.metrics import RunMetrics, record_endpoints
from lupinmill.lab.scenario import Scenario
from lupinmill.lab.timeline import MS, SECOND, Timeline
from lupinmill.lab.virtual.discovery import DiscoveryCalls
from lupinmill.lab.virtual.front import FrontRouter
from lupinmill.lab.virtual.inner import InnerCalls
from lupinmill.lab.virtual.recorded import recorded_text
from lupinmill.lab.virtual.sidecar import VirtualSidecar
from lupinmill.lab.world import World, draw, random_stream
from lupinmill.lab.world.troubles.plan import plan

EPOCH = 1_000 * SECOND  # virtual time at which each run starts
DRAIN_TIME = 8 * SECOND  # how long a run may continue after its last arrival
MAX_NOTES = 2000

Trace = Callable[[int, VirtualSidecar, list[t.Event], list[t.Command]], None]


class VirtualRun:
    """One run of a scenario with one seed. A seed gives the same steps in every process."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        policy: str = "lupinmill",
        trace: Trace | None = None,
        tick: Callable[[int, RunMetrics], None] | None = None,
        commons: Callable[[VirtualRun], Any] | None = None,
    ) -> None:
        self.timeline = Timeline(EPOCH)
        self.commons: Any = None  # the peers of the front sidecars, if they know each other
        self.world = World(scenario, seed, self.timeline)
        self.policy = policies.find(policy)
        self.metrics = RunMetrics(EPOCH, self.world.seconds, [w.name for w in self.world.classes])
        self.round = max(1, int(scenario.sidecars.round_ms * MS))
        self.trace, self.tick = trace, tick
        self.steps, self.digest = 0, xxhash.xxh64()
        self.digests: list[str] = []
        self.notes: list[tuple[float, str, str]] = []
        self.stop = False
        random_source = random_stream(seed, "front")
        self.spread_s = draw(random_source, scenario.discovery.spread_ms) / 1000
        self.calls = self.discovery_calls(random_source)
        self.sidecars = [
            VirtualSidecar(self, f"s{at}", 0, self.world.zones[at % len(self.world.zones)], at)
            for at in range(self.world.sidecars)
        ]
        self.instances = [len(self.sidecars)] + [len(tier) for tier in self.world.tiers[:-1]]
        self.front = FrontRouter(self, random_source)
        self.clients = Clients(self.world, self.front, self.metrics)
        self.inner = InnerCalls(self)
        if commons is not None:
            self.commons = commons(self)
        for endpoint in [e for tier in self.world.tiers[:-1] for e in tier]:
            self.endpoint_started(endpoint)

    def discovery_calls(self, random_source: np.random.Generator) -> list[DiscoveryCalls]:
        """Creates the call queue of each tier's discovery."""
        found = self.world.scenario.discovery
        time_out = int(found.time_out_s * SECOND)
        return [
            DiscoveryCalls(self.timeline, registry, draw(random_source, found.calls_per_s), time_out)
            for registry in self.world.registries
        ]

    # The run.

    def play(self) -> None:
        """Runs to the end, or until `stop` is set."""
        world, timeline = self.world, self.timeline
        for sidecar in self.sidecars:
            sidecar.start()
        plan(world, self)
        self.clients.begin()
        second = EPOCH
        end = world.end + DRAIN_TIME
        while timeline.now < end and not self.stop:
            second += SECOND
            timeline.run_until(min(second, end))
            self.sample()
            world.rule_checker.sweep(timeline.now)
            self.digests.append(self.digest.hexdigest())
            if self.tick is not None:
                self.tick((timeline.now - EPOCH) // SECOND, self.metrics)
            if timeline.now >= world.end and not self.clients.open:
                break

    def sample(self) -> None:
        """Records the state at the end of a second."""
        entry = self.metrics.at(self.timeline.now - SECOND)
        record_endpoints(entry, self.world.tiers)
        caps = []
        for sidecar in self.sidecars:
            dispatcher = getattr(sidecar.module, "dispatcher", None)
            if sidecar.alive and dispatcher is not None:
                caps.append(dispatcher.cap)
                entry.aside += sum(one.mode == "aside" for one in dispatcher.endpoints.values())
        entry.cap = sum(caps) / len(caps) if caps else 0.0

    def record_step(
        self, sidecar: VirtualSidecar, now: int, events: list[t.Event], commands: list[t.Command]
    ) -> None:
        """Adds a step of a module to the digest by which runs are compared."""
        self.steps += 1
        self.digest.update(f"{now} {sidecar.name} {len(events)} {recorded_text(commands)}".encode())
        if self.trace is not None:
            self.trace(self.steps, sidecar, events, commands)

    def note(self, sidecar: VirtualSidecar, text: str) -> None:
        """Keeps a line that a sidecar logged."""
        if len(self.notes) < MAX_NOTES:
            self.notes.append((round((self.timeline.now - EPOCH) / SECOND, 3), sidecar.name, text))

    def spread(self, random_source: np.random.Generator) -> float:
        """Draws the microseconds that a published change takes to reach a sidecar."""
        return self.spread_s * random_source.uniform(0.2, 1.8) * SECOND

    # Called by troubles and the site.

    def endpoint_started(self, endpoint: Endpoint) -> None:
        """An endpoint was started or restarted."""
        self.inner.endpoint_started(endpoint)

    def endpoint_died(self, endpoint: Endpoint) -> None:
        """An endpoint has died."""
        self.inner.endpoint_died(endpoint)

    def sidecar_count(self) -> int:
        """Returns the number of front sidecars."""
        return len(self.sidecars)

    def links_changed(self) -> None:
        """Does nothing: links are checked for each message."""

    def kill_sidecar(self, at: int, down_s: float) -> None:
        """Kills a front sidecar, which is restarted after `down_s` seconds."""
        self.front.kill(at, down_s)

    def starve_sidecar(self, at: int, lag_s: float) -> None:
        """Delays the processing of a front sidecar by `lag_s` seconds."""
        self.sidecars[at].lag = int(lag_s * SECOND)
