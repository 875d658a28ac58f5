"""The memory limit of this process: divided once it has started, and followed from then on.

Owns the budgets from which connections and requests lease. Where no limit is told, they refuse nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from lupinmill.limits.memory import (
    CONNECTION_MEMORY,
    LISTED_ENDPOINT_MEMORY,
    MIN_CLIENTS,
    MIN_REQUESTS_MEMORY,
    MIN_ROOM,
    GrowthEstimate,
    MemoryPlan,
    MemoryPressure,
    NotEnoughMemory,
    check_program,
    divide,
    memory_pressure,
    wanted_reserve,
)
from lupinmill.limits.upgrade_memory import (
    MIN_REQUESTS_EACH,
    SharedLimit,
    check_limit,
    least_limit,
    successor_memory,
)
from lupinmill.program.process_settings import StartupError
from lupinmill.routing.engine import Log
from lupinmill.transport.allocator import release_free_memory
from lupinmill.transport.buffers import NO_LIMIT, BlockPool, MemoryBudget
from lupinmill.transport.descriptors import ConnectionKind, DescriptorBudget
from lupinmill.transport.resident_memory import ResidentMemory, read_resident_memory, resident_bytes

DEFAULT_LARGE_BODY_MEMORY = 64 << 20  # bytes, if no limit is told
ASSUMED_BASE = 24 << 20  # bytes, if the kernel does not tell what is resident
CHECK_INTERVAL_S = 0.25
# while another process holds a part of the limit, or most of it is held
SHARED_CHECK_INTERVAL_S, NEARLY_FULL = 0.05, 0.85
HELD_BACK_DECAY = 8  # a part of so many of what is held back is given out again at each look
TRIM_STEP = 512 * 1024  # bytes of further growth after which free memory is given back to the system
SHORTAGE_END_S = 2.0  # without a refusal, after which memory counts as no longer short
MIB = 1 << 20


class ProcessMemory:
    """`start_memory`: see `Program`."""

    def __init__(
        self,
        limit: int | None,
        descriptors: DescriptorBudget,
        block_pool: BlockPool,
        log: Log,
        start_memory: int = 0,
    ) -> None:
        self.limit, self.descriptors, self.block_pool, self.log = limit, descriptors, block_pool, log
        self.start_memory = start_memory
        self.requests = MemoryBudget(NO_LIMIT)
        self.large_bodies = MemoryBudget(DEFAULT_LARGE_BODY_MEMORY, self.requests)
        self.plan: MemoryPlan | None = None
        self.growth: GrowthEstimate | None = None
        self.trimmed_growth = 0  # bytes that were still held and not explained after the last trim
        self.shared = SharedLimit(NO_LIMIT if limit is None else limit)
        self.private_at_start = 0  # bytes that this process alone held when it had started
        self.under_pressure = False
        self.held_back = 0  # bytes that requests may not lease, after a pressure
        # gives up incomplete requests that hold so many bytes together
        self.shed: Callable[[int], None] = lambda count: None
        self.refused = 0  # requests refused for want of memory
        self.last_refusal: float | None = None  # seconds of the loop's clock; None: memory is not short
        self.upgrade_begun = anyio.Event()  # ends the wait for the next look at what is resident
        descriptors.on_client_leased = self.count_connection

    def check_start(self, endpoints: int) -> None:
        """Raises StartupError if the limit leaves no room for a handful of clients beside the program itself.
        `endpoints`: number of those in the list that is in memory already."""
        if self.limit is None:
            return
        program = (resident_bytes() or ASSUMED_BASE) - endpoints * LISTED_ENDPOINT_MEMORY
        try:
            check_program(self.limit, program)
        except NotEnoughMemory as error:
            text = "leaves no room for clients beside the program itself"
            raise StartupError(
                f"limits.memory_mb: {self.limit / MIB:g} {text}; {error.needed / MIB:.1f} would do"
            ) from error

    def divide(self) -> None:
        """Divides the limit. To be called when everything that stays is in memory, and before the first
        client."""
        if self.limit is None:
            return
        resident = read_resident_memory() or ResidentMemory(ASSUMED_BASE, ASSUMED_BASE)
        if self.is_short(resident.total):
            release_free_memory()  # decoding a long list has left some
            resident = read_resident_memory() or resident
        plan = divide(self.limit, resident.total, self.descriptors.client_limit, self.start_memory)
        self.plan, self.growth = plan, GrowthEstimate(plan.base)
        self.private_at_start = resident.private
        self.descriptors.client_limit = plan.clients
        self.requests.limit, self.large_bodies.limit = plan.requests, plan.large_bodies
        self.check_shared()

    def is_short(self, base: int) -> bool:
        """Whether the base leaves no room for all of the reserve."""
        assert self.limit is not None
        return base + wanted_reserve(self.limit, base, self.start_memory) + MIN_ROOM > self.limit

    async def watch(self) -> None:
        """Makes the budget smaller while the process holds more than its leases explain."""
        while True:
            if self.shared.is_shared() or self.is_nearly_full():
                await anyio.sleep(SHARED_CHECK_INTERVAL_S)
            else:
                with anyio.move_on_after(CHECK_INTERVAL_S):
                    await self.upgrade_begun.wait()
            self.check()

    def is_nearly_full(self) -> bool:
        resident = resident_bytes() if self.plan is not None else None
        return resident is not None and resident > NEARLY_FULL * self.plan.limit

    def check(self) -> None:
        if self.shared.is_shared():
            self.check_shared()
        elif self.plan is not None and self.growth is not None:
            growth = self.observe_growth(self.growth)
            if growth > self.trimmed_growth + TRIM_STEP:
                release_free_memory()
                growth = self.trimmed_growth = self.observe_growth(self.growth)
            self.trimmed_growth = min(self.trimmed_growth, growth)
            self.descriptors.client_limit = self.plan.clients
            self.requests.limit = max(MIN_REQUESTS_MEMORY, self.plan.requests - growth)
            self.check_pressure(self.plan)
        if self.last_refusal is not None and anyio.current_time() - self.last_refusal > SHORTAGE_END_S:
            self.last_refusal = None
            self.log("memory_short_over", **self.figures())

    def check_pressure(self, plan: MemoryPlan) -> None:
        """Gives out nothing more while the process holds nearly as much as it may, whatever explains it."""
        pressure = self.pressure(plan)
        if pressure.excess > 0:
            self.block_pool.drop_free()
            release_free_memory()
            pressure = self.pressure(plan)
        self.held_back += max(pressure.excess, -self.held_back // HELD_BACK_DECAY)
        leasable = self.requests.limit - self.held_back
        if pressure.excess > 0:
            leasable = min(leasable, self.requests.leased - pressure.excess)
        self.requests.limit = max(MIN_REQUESTS_MEMORY, leasable)
        if pressure.excess > 0:
            clients = self.descriptors.open[ConnectionKind.CLIENT]
            self.descriptors.client_limit = max(MIN_CLIENTS, min(plan.clients, clients))
        if pressure.critical:
            self.shed(pressure.excess)
        if (pressure.excess > 0) != self.under_pressure:
            self.under_pressure = not self.under_pressure
            event = "memory_pressure" if self.under_pressure else "memory_pressure_over"
            self.log(event, open_clients=self.descriptors.open[ConnectionKind.CLIENT], **self.figures())

    def pressure(self, plan: MemoryPlan) -> MemoryPressure:
        return memory_pressure(plan.limit, plan.base, resident_bytes() or 0)

    def observe_growth(self, growth: GrowthEstimate) -> int:
        """Bytes that are held and not explained; as before where the kernel does not tell."""
        resident = resident_bytes()
        if resident is None:
            return growth.unexplained
        leased = self.requests.peak + self.descriptors.peak_clients * CONNECTION_MEMORY
        return growth.observe(resident, leased)

    def count_refusal(self) -> None:
        """A request was refused for want of memory."""
        self.refused += 1
        if self.last_refusal is None:
            self.log("memory_short", **self.figures())
        self.last_refusal = anyio.current_time()

    # While another process of an upgrade holds a part of the limit.

    def check_shared(self) -> None:
        """Gives back what is free, and bounds what requests and clients may hold beside the other process."""
        if self.plan is None or not self.shared.is_shared():
            return
        self.block_pool.drop_free()
        release_free_memory()
        if (resident := resident_bytes()) is not None:
            limit = self.shared.requests_limit(resident, self.requests.leased)
            self.requests.limit = min(self.plan.requests, limit)
            clients = self.descriptors.open[ConnectionKind.CLIENT] + self.shared.further_clients(resident)
            self.descriptors.client_limit = max(MIN_CLIENTS, min(self.plan.clients, clients))

    def count_connection(self) -> None:
        """A client has connected: until the next look its memory is taken from what requests may lease."""
        if self.plan is not None and self.shared.is_shared():
            limit = self.requests.limit - CONNECTION_MEMORY
            self.requests.limit = max(MIN_REQUESTS_EACH, min(self.plan.requests, limit))

    def count_predecessor(self, private: int) -> None:
        """`private`: bytes that the process before this one holds alone, or may come to hold."""
        if private != self.shared.predecessor:
            self.shared.predecessor = private
            self.check()

    def begin_upgrade(self) -> str | None:
        """Begins to make room for a successor. Returns why there can be none."""
        if self.plan is None:
            return None
        try:
            check_limit(self.plan.limit, self.plan.base, self.private_at_start)
        except NotEnoughMemory as error:
            return upgrade_refusal(self.plan.limit, error.needed)
        clients = self.descriptors.open[ConnectionKind.CLIENT]
        self.shared.successor = successor_memory(self.private_at_start, clients)
        self.check_shared()
        self.upgrade_begun.set()
        return None

    def has_made_room(self) -> bool:
        if self.plan is None:
            return True
        self.check_shared()
        resident = resident_bytes()
        return resident is None or resident <= self.shared.ceiling()

    def yield_to_successor(self) -> None:
        self.shared.yielded = True
        self.check()

    def end_upgrade(self) -> None:
        """The successor is gone."""
        self.shared.successor, self.shared.yielded = 0, False
        self.upgrade_begun = anyio.Event()
        self.check()

    def private_claim(self) -> int:
        """Bytes that the successor has to count for this process; 0 where there is no limit."""
        resident = read_resident_memory()
        if self.plan is None or resident is None:
            return 0
        return self.shared.private_claim(resident.total, resident.private, self.requests.leased)

    def figures(self) -> dict[str, Any]:
        """In bytes, but for numbers of clients and requests."""
        resident = resident_bytes()
        found: dict[str, Any] = {
            "resident": resident,
            "leased": self.requests.leased,
            "peak_leased": self.requests.peak,
            "refused": self.refused,
        }
        if self.plan is not None and self.growth is not None:
            found |= {
                "limit": self.plan.limit,
                "base": self.plan.base,
                "budget": self.requests.limit,
                "unexplained": self.growth.unexplained,
                "clients": self.plan.clients,
                "upgrade_limit": least_limit(self.plan.base, self.private_at_start),
            }
        return found


def upgrade_refusal(limit: int, needed: int) -> str:
    text = "leaves no room for the two processes of an upgrade"
    return f"limits.memory_mb: {limit / MIB:g} {text}; {needed / MIB:.1f} would do"
