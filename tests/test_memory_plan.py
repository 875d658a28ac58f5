"""How a memory limit is divided, and how leases are counted."""

import random

import pytest
from hypothesis import given, settings, strategies

from lupinmill.limits import memory
from lupinmill.limits.memory import GrowthEstimate, NotEnoughMemory, check_program, divide
from lupinmill.transport.buffers import MemoryBudget, MemoryLease

MIB = 1 << 20
LIMITS = strategies.integers(1 * MIB, 512 * MIB)
BASES = strategies.integers(10 * MIB, 64 * MIB)


@given(LIMITS, BASES, strategies.integers(6, 2000), strategies.integers(0, 8 * MIB))
@settings(derandomize=True, max_examples=2_000)
def test_no_plan_promises_more_than_the_limit_less_its_reserve_and_what_is_held_already(
    limit, base, most, successor_start
):
    """Guards against clients that are let in on a budget that the program itself has used up. Where a list of
    endpoints leaves no room for the whole reserve, the part for a successor goes first, then the least of
    clients is served."""
    plan = divide(limit, base, most, successor_start)
    given_out = plan.clients * memory.CONNECTION_MEMORY + plan.requests
    each = memory.REQUEST_MEMORY + memory.MAX_BODY_BYTES
    assert memory.MIN_CLIENTS <= plan.clients <= max(most, memory.MIN_CLIENTS)
    assert plan.requests >= memory.MIN_CLIENTS * each
    assert 0 < plan.large_bodies <= plan.requests
    fragmentation = max((limit - base) * memory.FRAGMENTATION_SHARE - 1, memory.FRAGMENTATION_MEMORY)
    successor_start = max(successor_start, memory.SUCCESSOR_START_MEMORY)
    wanted = max(limit * memory.RESERVE_FRACTION, fragmentation + successor_start)
    if base + memory.MIN_ROOM + wanted + 1 <= limit:
        assert base + given_out <= limit - wanted
    elif base + memory.MIN_ROOM + memory.FRAGMENTATION_MEMORY <= limit:
        assert base + given_out <= limit - memory.FRAGMENTATION_MEMORY
    else:
        assert plan.clients == memory.MIN_CLIENTS and given_out == memory.MIN_ROOM


@given(LIMITS, BASES)
@settings(derandomize=True, max_examples=500)
def test_a_start_is_refused_only_where_the_program_alone_leaves_no_room(limit, program):
    try:
        check_program(limit, program)
        assert program + memory.MIN_ROOM + memory.FRAGMENTATION_MEMORY <= limit
    except NotEnoughMemory as error:
        assert error.needed > limit
        check_program(error.needed, program)


def test_of_32_mb_the_present_base_leaves_twice_the_clients_that_the_former_one_would():
    """The former base was 26.6 MiB, with 144 KiB for each client beside a quarter for large bodies."""
    former = int((32 * 0.9 - 26.6) * 0.75 * MIB) // (144 << 10)
    plan = divide(32 * MIB, 22 * MIB, 162)
    each = memory.REQUEST_MEMORY + memory.MAX_BODY_BYTES
    assert former == 11 and plan.requests // each >= 2 * former and plan.clients >= 2 * former


def test_growth_counts_only_beyond_the_most_that_was_ever_leased():
    growth = GrowthEstimate(20 * MIB)
    assert growth.observe(21 * MIB, 3 * MIB) == 0
    assert growth.observe(25 * MIB, 3 * MIB) == 2 * MIB
    assert growth.observe(25 * MIB, 4 * MIB) == 1 * MIB
    assert growth.observe(25 * MIB, 0) == 1 * MIB  # what was freed stays with the allocator
    assert growth.observe(20 * MIB, 0) == 0


def test_heads_with_many_headers_are_counted_by_what_they_take():
    assert memory.head_memory(memory.FREE_HEADERS) == 0
    assert memory.head_memory(1700) == (1700 - memory.FREE_HEADERS) * memory.HEADER_MEMORY


@pytest.mark.parametrize("seed", range(10))
def test_leases_of_a_budget_and_its_parent_are_given_back_to_the_byte(seed):
    random_source = random.Random(seed)
    parent = MemoryBudget(1000)
    budget = MemoryBudget(600, parent)
    leases: list[MemoryLease] = []
    for _ in range(500):
        draw = random_source.random()
        if draw < 0.2:
            leases.append(MemoryLease(random_source.choice([parent, budget])))
        elif draw < 0.3 and leases:
            leases.append(random_source.choice(leases).share())
        elif draw < 0.6 and leases:
            lease, before = random_source.choice(leases), parent.leased
            size = lease.size
            grown = lease.grow(count := random_source.randrange(300))
            assert lease.size - size == parent.leased - before == count * grown
        elif draw < 0.8 and leases:
            random_source.choice(leases).shrink(random_source.randrange(300))
        elif leases:
            leases.pop(random_source.randrange(len(leases))).release()
        assert budget.leased <= 600 and budget.leased <= parent.leased <= 1000
    for lease in leases:
        lease.release()
    assert budget.leased == parent.leased == 0
