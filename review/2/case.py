"""A quarter of the endpoints stands still for 0.4 s every few seconds, also in the middle of long answers."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import sites  # noqa: E402
from standins import (  # noqa: E402
    BROKEN, HELD, LOOPBACK, TROUBLE, CannotRun, Discovery, Endpoint, Message, Platform, Record, free_port, head, main,
    new_id, read_message, until_yes,
)

ANSWER, PIECE, PIECE_S = 200_000, 8_000, 0.02
STILL_S, EVERY_S, DEADLINE_S, RUN_S, CLIENTS = 0.4, 3.0, 3.0, 30.0, 12


def body_of(id_: str) -> bytes:
    return (id_.encode() + b".") * (ANSWER // (len(id_) + 1))


class LongEndpoint(Endpoint):
    """Answers are chunked and come in pieces. `moves` is cleared while it stands still."""

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        id_ = message.headers["req-id"]
        self.record(f"run {id_} at {self.name}, told {message.headers.get('req-deadline')} s")
        await self.moves.wait()
        await asyncio.sleep(0.2)
        self.began[id_] = self.record.now()
        data, at = body_of(id_), 0
        await self.moves.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while part := data[at : at + PIECE]:
            await self.moves.wait()
            if writer.is_closing() or writer.transport.is_closing():
                raise ConnectionResetError
            writer.write(b"%x\r\n" % len(part) + part + b"\r\n")
            await writer.drain()
            at += len(part)
            self.given[id_] = at
            await asyncio.sleep(PIECE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.gave.add(id_)

    async def stand_still(self) -> None:
        while True:
            await asyncio.sleep(EVERY_S)
            self.moves.clear()
            self.record(f"{self.name} stands still")
            await asyncio.sleep(STILL_S)
            self.moves.set()


def endpoint(number: int, record: Record) -> LongEndpoint:
    made = LongEndpoint(f"e{number}", record)
    made.moves, made.began, made.given, made.gave = asyncio.Event(), {}, {}, set()
    made.moves.set()
    return made


async def client(listen: str, record: Record, ends: dict[str, tuple[str, float]], stop: asyncio.Event) -> None:
    host, _, port = listen.rpartition(":")
    while not stop.is_set():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            while not stop.is_set():
                id_, began = new_id(), record.now()
                writer.write(head("issue-policy", id_, DEADLINE_S, length=0))
                try:
                    message = await read_message(reader)
                    end = "closed" if message is None else str(message.status)
                    if message is not None and message.status == 200 and message.body != body_of(id_):
                        end = "200 with other bytes"
                except (OSError, asyncio.IncompleteReadError) as error:
                    message, end = None, f"cut off: {type(error).__name__}"
                ends[id_] = end, record.now() - began
                record(f"answer to {id_}: {end} after {record.now() - began:.3f} s")
                if message is None or message.headers.get("connection", "").lower() == "close":
                    break
                await asyncio.sleep(0.1)
        finally:
            writer.close()


async def case(record: Record, platform: Platform) -> int:
    endpoints = [endpoint(n, record) for n in range(4)]
    for one in endpoints:
        await one.start()
    discovery = await Discovery(record, endpoints).start()
    listen = f"{LOOPBACK}:{free_port()}"
    config = platform.told("n1", listen, discovery.address, discovery.whole(), sites.leith(),
                           {"cores": 1.0, "memory_mb": 192, "sockets": 1024})
    process = platform.start("n1", listen, discovery.address, config)
    await until_yes(listen, "/ready", 20, process)
    stop, ends = asyncio.Event(), {}
    tasks = [asyncio.create_task(client(listen, record, ends, stop)) for _ in range(CLIENTS)]
    still = asyncio.create_task(endpoints[0].stand_still()) if TROUBLE else None
    await asyncio.sleep(RUN_S)
    stop.set()
    await asyncio.sleep(DEADLINE_S + 1)
    # Cut off: its endpoint had begun to give the answer and could not give all, and the client got no 200 in its time.
    lost = []
    for one in endpoints:
        for id_ in one.began:
            if id_ not in one.gave and id_ in ends and ends[id_][0] != "200" and ends[id_][1] < DEADLINE_S:
                lost.append(id_)
                record(f"lost {id_}: {one.name} had given {one.given.get(id_, 0)} of {ANSWER} bytes; the client got {ends[id_]}")
    counts = Counter(end for end, _ in ends.values())
    if counts["200"] < 50:
        raise CannotRun(f"too few answers: {dict(counts)}")
    record.say(f"answers {dict(counts)}; {len(lost)} cut off while their endpoint still gave them")
    for task in [*tasks, *([still] if still else [])]:
        task.cancel()
    return BROKEN if lost else HELD


main(__file__, case)
