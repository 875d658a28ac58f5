"""Starts the sidecars' processes of a run, and follows what they log."""

from __future__ import annotations

import asyncio
from typing import Any

from lupinmill.lab.processes import Process
from lupinmill.lab.stand_ins import ConnectionPool, Exchange
from lupinmill.protocol.http import Answer, Request

READY_LIMIT = 20.0  # seconds
READY_EVERY = 0.05


async def until_ready(process: Process, pool: ConnectionPool) -> None:
    """Waits for the process to say that it is ready; raises RuntimeError where it does not in time."""
    loop = asyncio.get_running_loop()
    limit = loop.time() + READY_LIMIT
    while loop.time() < limit and process.alive():
        done: asyncio.Future[Answer | None] = loop.create_future()
        pool.send(Exchange(Request(b"GET", b"/ready", [(b"Host", b"site")]), done.set_result))
        answer = await done
        if answer is not None and answer.status == 200:
            process.ready = True
            return
        await asyncio.sleep(READY_EVERY)
    raise RuntimeError("not ready in time")


class SetAside:
    """Endpoints that sidecars have set aside, as they log it."""

    def __init__(self) -> None:
        self.pairs: dict[tuple[str, str], None] = {}  # (sidecar, endpoint)

    def heard(self, sidecar: str, event: dict[str, Any], text: str) -> None:
        """One line of a sidecar's log."""
        if event.get("event") != "mode" or not text:
            return
        endpoint = text.split(" ", 1)[0]
        if " set aside" in text:
            self.pairs[(sidecar, endpoint)] = None
        elif " on trial" in text or " ready again" in text:
            self.pairs.pop((sidecar, endpoint), None)

    def forget_sidecar(self, sidecar: str) -> None:
        """It was killed: the next one begins anew."""
        self.pairs = {pair: None for pair in self.pairs if pair[0] != sidecar}

    def keep_listed(self, listed: set[str]) -> None:
        """Forgets endpoints that are not listed any more."""
        self.pairs = {pair: None for pair in self.pairs if pair[1] in listed}

    def count(self, sidecars: set[str]) -> int:
        """How many there are at these sidecars, together."""
        return sum(sidecar in sidecars for sidecar, _ in self.pairs)
