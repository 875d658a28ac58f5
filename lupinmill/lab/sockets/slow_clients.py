"""Clients that open connections and send nothing, or never complete a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

HEAD = b"GET /view HTTP/1.1\r\nHost: site\r\n"
PAUSE_S = 0.2  # between two bytes, and between two connections


async def stay_idle(address: Callable[[], str], stopped: Callable[[], bool]) -> None:
    """Connects without sending anything, and reconnects when the connection is closed."""
    while not stopped():
        host, _, port = address().partition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                await reader.read(1)
            finally:
                writer.close()
        except OSError:
            pass
        await asyncio.sleep(PAUSE_S)


async def trickle(address: Callable[[], str], stopped: Callable[[], bool]) -> None:
    """Sends the head of a request byte by byte, without completing it."""
    while not stopped():
        host, _, port = address().partition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
            try:
                for byte in HEAD:
                    writer.write(bytes([byte]))
                    await writer.drain()
                    await asyncio.sleep(PAUSE_S)
            finally:
                writer.close()
        except OSError:
            pass
        await asyncio.sleep(PAUSE_S)
