"""Fairness between clients whose requests take long to parse, such as bodies in chunks of one byte."""

from __future__ import annotations

import anyio
from anyio.lowlevel import checkpoint


class ParseTurns:
    """Lets at most one of the tasks that have more to parse go on in each pass of the event loop, in the
    order in which they asked. So the other clients wait for one limited piece of work, however many such
    tasks there are."""

    def __init__(self) -> None:
        self.lock = anyio.Lock()

    async def take(self) -> None:
        """Waits for the turn."""
        async with self.lock:
            await checkpoint()
