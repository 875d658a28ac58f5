"""What a process does when it holds nearly as much as it may, and what lets it come so far."""

import asyncio
import sys

import pytest

from lupinmill.program import process_memory
from lupinmill.program.process_memory import ProcessMemory
from lupinmill.routing.request_body import RequestBody
from lupinmill.transport.buffers import NO_LIMIT, BlockPool, MemoryBudget
from lupinmill.transport.descriptors import ConnectionKind, DescriptorBudget
from lupinmill.transport.resident_memory import ResidentMemory

MIB = 1 << 20


@pytest.mark.parametrize("size", [1, 256, 16 * 1024])
def test_a_body_in_small_parts_leases_what_they_take(size):
    """Guards against clients that send a body a few bytes at a time: what is kept of it took up to a hundred
    times what was leased (issue 74)."""
    budget = MemoryBudget(NO_LIMIT)
    body = RequestBody(budget, None)

    async def fill() -> None:
        at = 0
        for number in range(2_000):
            await body.put(bytearray(size))
            at += len(await body.read(at, number))

    asyncio.run(fill())
    held = sum(sys.getsizeof(part) for part in body.parts)
    assert held <= budget.leased <= 2 * held
    body.drop()
    assert budget.leased == 0


class Process:
    """A memory limit of 80 MiB, of which 22 are held at the start."""

    def __init__(self, monkeypatch) -> None:
        self.resident = 22 * MIB
        monkeypatch.setattr(process_memory, "read_resident_memory", self.read)
        monkeypatch.setattr(process_memory, "resident_bytes", lambda: self.resident)
        self.descriptors, self.log = DescriptorBudget(1024), []
        self.memory = ProcessMemory(
            80 * MIB, self.descriptors, BlockPool(), lambda event, **_: self.log.append(event)
        )
        self.memory.divide()
        self.shed: list[int] = []
        self.memory.shed = self.shed.append

    def read(self) -> ResidentMemory:
        return ResidentMemory(self.resident, self.resident)


def test_near_its_limit_a_process_gives_out_no_more_memory_however_its_use_is_explained(monkeypatch):
    """Guards against growth that leases and connections seem to explain, as their peaks are counted."""
    process = Process(monkeypatch)
    for _ in range(200):
        assert process.descriptors.lease(ConnectionKind.CLIENT)
    assert process.memory.requests.lease(20 * MIB)
    process.resident = 50 * MIB
    process.memory.check()
    assert process.memory.requests.lease(1 * MIB) and not process.shed
    process.resident = 77 * MIB
    process.memory.check()
    assert not process.memory.requests.lease(1)
    assert not process.descriptors.lease(ConnectionKind.CLIENT)
    assert "memory_pressure" in process.log
    process.resident = 50 * MIB
    process.memory.check()
    assert process.memory.requests.lease(1 * MIB) and process.descriptors.lease(ConnectionKind.CLIENT)


def test_still_nearer_to_its_limit_it_sheds_incomplete_requests(monkeypatch):
    process = Process(monkeypatch)
    process.resident = 79 * MIB
    process.memory.check()
    assert process.shed and process.shed[0] >= 2 * MIB
