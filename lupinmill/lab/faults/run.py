"""Plays one run of the campaign: customers, their stand-ins and sidecars, random faults, and the verdict."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from random import Random

from lupinmill.lab.faults import customers, discovery, endpoints, referee, schedule, start_lists
from lupinmill.lab.faults.clients import Sidecar
from lupinmill.lab.faults.processes import PROGRAM
from lupinmill.lab.faults.records import RunRecords
from lupinmill.lab.faults.sidecar_runner import DEFAULT_TIMEOUTS, SidecarRunner, Timeouts
from lupinmill.lab.faults.verdict import Verdict, figures

SIDECARS_PER_CUSTOMER = 3
CLIENTS_TIMEOUT_S = 60.0  # time for the last clients to finish
SETTLE_S = 0.5  # time after the last answer in which nothing may be sent
FAULT_SHARES = (0.05, 0.2, 0.4)
CROWD_EVERY = 4  # one in so many seeds of the soak has crowds
MIN_REQUESTS, MAX_EXTENSION = (
    80,
    5,
)  # per sidecar; a run is extended by up to so many times its length to get them


class CustomerRun:
    """The run of one customer: endpoints, discovery, sidecars and their clients."""

    def __init__(self, campaign: Campaign, number: int, sidecars: int) -> None:
        self.campaign, self.number, self.name = campaign, number, f"c{number}"
        self.seed, self.records, self.command = campaign.seed, campaign.records, campaign.command
        self.timeouts = campaign.timeouts
        self.folder = campaign.folder / self.name
        self.folder.mkdir()
        random = Random(f"{self.seed} {self.name}")
        self.customer = customers.draw_customer(self.name, random)
        if campaign.old_lists:
            self.customer.settings["discovery"] = "push"
        drawn_share = random.choice(FAULT_SHARES)
        self.fault_share = drawn_share if campaign.fault_share is None else campaign.fault_share
        self.discovery = discovery.Discovery(self.name, self.host("1.1"), self.records)
        limits = self.customer.settings["limits"]
        self.endpoints = [
            endpoints.Endpoint(
                self.name,
                row,
                self.host(f"100.{index + 1}"),
                str(self.seed),
                self.fault_share,
                float(limits["conn-idle-s"]),
                limits["probes"],
                self.records,
                campaign.slow_answers,
            )
            for index, row in enumerate(self.customer.rows)
        ]
        for endpoint in self.endpoints:
            endpoint.row["address"] = endpoint.address
            self.discovery.rows[endpoint.name] = endpoint.row
            self.discovery.versions[endpoint.name] = 1
        draw_modes = discovery.draw_slow_modes if campaign.soak else discovery.draw_modes
        self.modes = draw_modes(random, campaign.seconds)
        self.list_events = schedule.draw_list_events(random, len(self.endpoints), campaign.seconds)
        if campaign.old_lists:
            self.modes = start_lists.draw_modes(random, campaign.seconds)
            self.list_events = start_lists.draw_list_events(random, len(self.endpoints), campaign.seconds)
        if campaign.plans is not None:  # the caller gives all faults
            self.modes = campaign.modes or [(0.0, discovery.UP)]
            self.list_events = campaign.list_events or []
        self.runners = [
            SidecarRunner(self, index, campaign.plans_for(f"{self.name} lives {index}"))
            for index in range(sidecars)
        ]

    def host(self, rest: str) -> str:
        """An address that campaigns running at the same time do not use."""
        return f"127.{self.campaign.address_octet + self.number % 50}.{rest}"

    def close(self) -> None:
        """Closes the sockets of a campaign that is not played."""
        for runner in self.runners:
            runner.close()
        for sock in (*(endpoint.listener for endpoint in self.endpoints), *self.discovery.sockets):
            sock.close()

    def is_over(self) -> bool:
        return self.campaign.is_over()

    def text(self) -> list[str]:
        settings = json.dumps(self.customer.settings)
        lines = [
            f"customer {self.name}: {self.fault_share:.0%} bad answers,"
            f" limits {self.customer.limits}: {settings}"
        ]
        lines.append(
            "  discovery: " + ", ".join(f"{mode} from {start_s:g} s" for start_s, mode in self.modes)
        )
        lines += [
            f"  {self.endpoints[event.endpoint].name}: {event.kind} at {event.at:g} s"
            + f" for {event.seconds:g} s" * bool(event.seconds)
            for event in self.list_events
        ]
        for runner in self.runners:
            lines += [
                f"  {runner.name} life {number}: {plan.text()}" for number, plan in enumerate(runner.plans)
            ]
        return lines

    async def run(self) -> None:
        servers = [asyncio.create_task(server.run()) for server in (*self.endpoints, self.discovery)]
        events = [asyncio.create_task(self.play_modes()), asyncio.create_task(self.play_list_events())]
        clients = [asyncio.create_task(task()) for runner in self.runners for task in runner.clients.tasks()]
        runner_tasks = [asyncio.create_task(runner.run()) for runner in self.runners]
        try:
            await asyncio.gather(*runner_tasks)
            _, waiting = await asyncio.wait(clients, timeout=CLIENTS_TIMEOUT_S)
            if waiting:
                raise RuntimeError(f"{self.name}: clients did not finish: {waiting}")
            await asyncio.sleep(SETTLE_S)
        finally:
            for runner in self.runners:
                runner.close()
            for task in (*runner_tasks, *clients, *events, *servers):
                task.cancel()
            ended = await asyncio.gather(*runner_tasks, *clients, *events, *servers, return_exceptions=True)
        for error in ended:  # a fault of the campaign itself
            if isinstance(error, Exception):
                raise error

    async def wait_for_answers(self, sidecar: Sidecar) -> None:
        """Stops new requests at the end of the run and waits for those under way."""
        sidecar.closing = True
        requests = [
            request for request in self.records.requests.values() if request.process is sidecar.process
        ]
        while sidecar.process is not None and sidecar.process.ended_at is None:
            if all(request.finished_at is not None or request.written_at is None for request in requests):
                return
            await asyncio.sleep(0.05)

    async def play_modes(self) -> None:
        for at_s, mode in self.modes:
            await self.campaign.sleep_until(at_s)
            self.discovery.set_mode(mode)

    async def play_list_events(self) -> None:
        async with asyncio.TaskGroup() as delays:
            for event in self.list_events:
                await self.campaign.sleep_until(event.at)
                endpoint = self.endpoints[event.endpoint]
                if event.kind == "late":
                    delays.create_task(endpoint.delay_connections(event.seconds))
                elif event.kind == "back":
                    self.discovery.change(
                        endpoint.name,
                        **endpoint.row | {"status": "SERVING", "since_ms": int(time.time() * 1000)},
                    )
                else:
                    status = "DRAINING" if event.kind == "drain" else "DELETED"
                    self.discovery.change(endpoint.name, **endpoint.row | {"status": status})


class Campaign:
    """A run with all its customers. Faults are drawn from the seed, unless the caller gives them."""

    def __init__(
        self,
        seed: int,
        processes: int,
        seconds: float,
        folder: Path,
        command: Sequence[str] = PROGRAM,
        timeouts: Timeouts = DEFAULT_TIMEOUTS,
        plans: list[schedule.ProcessPlan] | None = None,
        fault_share: float | None = None,
        modes: list[tuple[float, str]] | None = None,
        list_events: list[schedule.ListEvent] | None = None,
        soak: bool = False,
        operators: bool = False,
        clock_steps: bool = False,
        slow_answers: bool = False,
        old_lists: bool = False,
    ) -> None:
        self.seed, self.processes, self.seconds = seed, processes, seconds
        self.folder, self.command, self.records = folder, command, RunRecords()
        # What the caller gives applies to all customers; modes and list events only together with plans.
        self.timeouts, self.plans, self.fault_share = timeouts, plans, fault_share
        self.modes, self.list_events = modes, list_events
        self.soak, self.operators, self.clock_steps = soak, operators, clock_steps
        self.slow_answers, self.old_lists = slow_answers, old_lists
        self.address_octet = 10 + os.getpid() % 4 * 50 + seed % 10
        self.started_at = self.ends_at = 0.0
        remaining, self.customer_runs = processes, []
        while remaining > 0:
            count = min(remaining, SIDECARS_PER_CUSTOMER)
            self.customer_runs.append(CustomerRun(self, len(self.customer_runs), count))
            remaining -= count

    def plans_for(self, seed_text: str) -> list[schedule.ProcessPlan]:
        random = Random(f"{self.seed} {seed_text}")
        if self.old_lists:
            plans = start_lists.draw_plans(random, self.seconds)
        elif self.soak:
            plans = schedule.draw_soak_plans(random, self.seconds, crowd=self.seed % CROWD_EVERY == 0)
        else:
            plans = self.plans or schedule.draw_plans(random, self.seconds)
        if self.operators:
            schedule.add_operator_calls(Random(f"{self.seed} {seed_text} operators"), plans)
        if self.clock_steps:
            schedule.add_clock_steps(Random(f"{self.seed} {seed_text} clock"), plans)
        return plans

    def is_over(self) -> bool:
        """Whether the time is over and, as on a busy machine it may not, enough has happened to judge by."""
        overtime_s = time.monotonic() - self.ends_at
        if overtime_s < 0:
            return False
        processes, requests = self.records.processes, self.records.requests
        enough = len(requests) >= self.processes * MIN_REQUESTS or len(processes) > self.processes
        return (
            enough or any(record.hangs for record in processes) or overtime_s > MAX_EXTENSION * self.seconds
        )

    async def sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self.started_at + at_s - time.monotonic()))

    async def run(self) -> Verdict:
        self.started_at = time.monotonic()
        self.ends_at = self.started_at + self.seconds
        heartbeat = asyncio.create_task(self.records.run_heartbeat())
        try:
            await asyncio.gather(*(customer_run.run() for customer_run in self.customer_runs))
        finally:
            heartbeat.cancel()
        violations = referee.judge(
            self.records, {customer_run.name: customer_run.customer for customer_run in self.customer_runs}
        )
        lines = [line for customer_run in self.customer_runs for line in customer_run.text()]
        return Verdict(
            self.seed,
            self.processes,
            self.seconds,
            violations,
            lines,
            self.records,
            figures(self.records),
            self.soak,
            self.operators,
            self.clock_steps,
            self.slow_answers,
            self.old_lists,
        )


def play(
    seed: int,
    processes: int,
    seconds: float,
    command: Sequence[str] = PROGRAM,
    soak: bool = False,
    operators: bool = False,
    clock_steps: bool = False,
    slow_answers: bool = False,
    old_lists: bool = False,
) -> Verdict:
    """Plays a run with a folder of its own."""
    with tempfile.TemporaryDirectory(prefix="faults-") as folder:
        campaign = Campaign(
            seed,
            processes,
            seconds,
            Path(folder),
            command,
            soak=soak,
            operators=operators,
            clock_steps=clock_steps,
            slow_answers=slow_answers,
            old_lists=old_lists,
        )
        return asyncio.run(campaign.run())


__all__ = ["CROWD_EVERY", "Campaign", "Timeouts", "Verdict", "play"]
