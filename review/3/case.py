"""An upgrade under load: are the two processes together within `memory_mb`?"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import sites  # noqa: E402
from standins import (  # noqa: E402
    BROKEN, HELD, LOOPBACK, TROUBLE, Discovery, Endpoint, Platform, Record, free_port, head, main, new_id,
    read_message, until_yes,
)

MEMORY_MB = int(os.environ.get("MEMORY_MB", "48"))
CLIENTS, BODY = int(os.environ.get("CLIENTS", "160")), 60_000
WARM_S, WATCH_S = 10.0, 10.0


def memory_of(process: subprocess.Popen[bytes]) -> tuple[int, int]:
    """Resident kB that only this process holds, and those that it shares with others."""
    private = shared = 0
    try:
        for line in Path(f"/proc/{process.pid}/smaps_rollup").read_text().splitlines():
            if line.startswith("Private_"):
                private += int(line.split()[1])
            elif line.startswith("Shared_"):
                shared += int(line.split()[1])
    except OSError:
        pass
    return private, shared


def held_kb(processes: list[subprocess.Popen[bytes]]) -> tuple[int, list[int]]:
    """What the processes hold together: what they share counts once."""
    found = [memory_of(process) for process in processes if process.poll() is None]
    return sum(private for private, _ in found) + max((shared for _, shared in found), default=0), [p for p, _ in found]


class Load:
    def __init__(self, address: str, record: Record) -> None:
        self.address, self.record = address, record
        self.open: dict[str, float] = {}
        self.ends: Counter[str] = Counter()
        self.stopped = False

    async def client(self, number: int) -> None:
        host, _, port = self.address.rpartition(":")
        await asyncio.sleep(number * 0.01)
        while not self.stopped:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                while not self.stopped:
                    id_ = new_id()
                    writer.write(head("bid-submit", id_, 3.0, key=id_, length=BODY) + bytes(BODY))
                    await writer.drain()
                    self.open[id_] = self.record.now()
                    message = await read_message(reader)
                    if message is None:
                        self.ends["closed"] += 1
                        self.record(f"closed {id_} without an answer")
                        break
                    del self.open[id_]
                    self.ends[str(message.status)] += 1
                    await asyncio.sleep(0.5 if message.status == 503 else 0.05)
                    if message.headers.get("connection", "").lower() == "close":
                        break
            except (OSError, asyncio.IncompleteReadError) as error:
                self.ends["reset"] += 1
                self.record(f"{type(error).__name__} {id_} without an answer")
            finally:
                writer.close()


async def case(record: Record, platform: Platform) -> int:
    endpoints = [await Endpoint(f"e{n}", record, delay=0.4, group=n % 2).start() for n in range(6)]
    discovery = await Discovery(record, endpoints).start()
    listen = f"{LOOPBACK}:{free_port()}"
    operators = [f"{LOOPBACK}:{free_port()}" for _ in range(2)]
    config = platform.told("n1", listen, discovery.address, discovery.whole(), sites.tender(),
                           {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024})
    old = platform.start("n1", listen, discovery.address, config, operators[0])
    await until_yes(listen, "/ready", 20, old)
    load = Load(listen, record)
    tasks = [asyncio.create_task(load.client(n)) for n in range(CLIENTS)]
    processes, most, over, yes_at, new = [old], 0, 0.0, None, None
    began = record.now()
    while record.now() - began < WARM_S + WATCH_S:
        await asyncio.sleep(0.02)
        held, private = held_kb(processes)
        if held > most:
            most = held
            record(f"held by {len(private)} processes: {held} kB, alone {private} kB, told {MEMORY_MB * 1024} kB")
        if held > MEMORY_MB * 1024 and not over and os.environ.get("KILL", "1") == "1":
            over = record.now()
            record.say(f"over memory_mb: {held} kB of {MEMORY_MB * 1024}, alone {private} kB; {len(load.open)} requests are open; the platform kills")
            if new is not None:
                yes.cancel()
            for process in processes:
                process.kill()
            await asyncio.sleep(0.5)
            break
        if TROUBLE and new is None and record.now() - began > WARM_S:
            new = platform.start("n1", listen, discovery.address, config, operators[1])
            processes.append(new)
            yes = asyncio.create_task(until_yes(operators[1], "/admin/health", 6, new))
        if new is not None and yes_at is None and yes.done():
            yes.result()
            yes_at = record.now()
            record("the new process takes clients: SIGTERM to the old one")
            old.send_signal(signal.SIGTERM)
        if yes_at is not None and record.now() - yes_at > 3.7 and old.poll() is None:
            old.kill()
    lost = len(load.open)
    load.stopped = True
    for task in tasks:
        task.cancel()
    record.say(f"most held {most} kB of {MEMORY_MB * 1024}; answers {dict(load.ends)}; {lost} requests were open at the end; runs {sum(len(e.runs) for e in endpoints)}")
    return BROKEN if over else HELD


main(__file__, case)
