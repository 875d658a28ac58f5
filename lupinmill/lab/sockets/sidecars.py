"""Waits for the sidecar processes of a run, and follows their logs."""

from __future__ import annotations

import asyncio
from typing import Any

from lupinmill.lab.processes import Process
from lupinmill.lab.stand_ins import ConnectionPool, Exchange
from lupinmill.protocol.http import Answer, Request

READY_TIMEOUT_S = 20.0
READY_INTERVAL_S = 0.05


async def until_ready(process: Process, pool: ConnectionPool) -> None:
    """Waits until the process reports that it is ready; raises RuntimeError after `READY_TIMEOUT_S`."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + READY_TIMEOUT_S
    while loop.time() < deadline and process.alive():
        done: asyncio.Future[Answer | None] = loop.create_future()
        pool.send(Exchange(Request(b"GET", b"/ready", [(b"Host", b"site")]), done.set_result))
        answer = await done
        if answer is not None and answer.status == 200:
            process.ready = True
            return
        await asyncio.sleep(READY_INTERVAL_S)
    raise RuntimeError("not ready in time")


class EjectedEndpoints:
    """The endpoints that sidecars have ejected, according to their logs."""

    def __init__(self) -> None:
        self.pairs: dict[tuple[str, str], None] = {}  # (sidecar, endpoint)

    def log_event(self, sidecar: str, event: dict[str, Any], text: str) -> None:
        """Processes a line of a sidecar's log."""
        if event.get("event") != "mode" or not text:
            return
        endpoint = text.split(" ", 1)[0]
        if " set aside" in text:
            self.pairs[(sidecar, endpoint)] = None
        elif " on trial" in text or " ready again" in text:
            self.pairs.pop((sidecar, endpoint), None)

    def forget_sidecar(self, sidecar: str) -> None:
        """Drops the ejections of a sidecar that was killed: a new process has none."""
        self.pairs = {pair: None for pair in self.pairs if pair[0] != sidecar}

    def keep_listed(self, listed: set[str]) -> None:
        """Drops endpoints that are no longer listed."""
        self.pairs = {pair: None for pair in self.pairs if pair[1] in listed}

    def count(self, sidecars: set[str]) -> int:
        """Returns the number of ejections, summed over these sidecars."""
        return sum(sidecar in sidecars for sidecar, _ in self.pairs)
