"""Ends client connections so that no whole answer is lost that the client has not read yet.

A close over unread bytes resets the connection, and so do bytes that come after it; a reset throws away what
still lies in the kernel's send queue. So the sending side is closed first, and further input is read and
dropped until the client's kernel has acknowledged all, within bounds.

Owns the connections that linger, which `close_oldest` cuts short where descriptors are wanted."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from lupinmill.transport.client import Client, CloseReason
from lupinmill.transport.descriptors import DescriptorBudget
from lupinmill.transport.progress import AcknowledgementProgress

LINGER_S = 1.0  # seconds for a client that has acknowledged everything to close its side
STALLED_S = 5.0  # seconds without an acknowledgement after which a client counts as gone, ...
MAX_LINGER_S = 10.0  # ... and for all of it, however slowly it reads
QUEUE_CHECK_S = 0.02  # the kernel tells when bytes come, but not when bytes are acknowledged


@dataclass(frozen=True, slots=True)
class Lingering:
    since: float  # by the event loop's clock
    scope: anyio.CancelScope


class ConnectionCloser:
    def __init__(self, descriptors: DescriptorBudget) -> None:
        self.descriptors = descriptors
        self.log: Callable[..., None] = lambda event, **fields: None
        self.lingering: dict[Client, Lingering] = {}  # the longest first
        self.counts: Counter[CloseReason] = Counter()

    async def finish(self, client: Client, most_s: float = MAX_LINGER_S) -> None:
        """Waits until the connection can be closed, for `most_s` seconds at most. To be called when nothing
        more is written."""
        if client.closed or client.disconnected or not (client.lingers or client.unacknowledged()):
            return
        if not client.resets:
            client.shut_down_sending()
        with anyio.move_on_after(most_s) as scope:
            self.lingering[client] = Lingering(anyio.current_time(), scope)
            try:
                await self.drop_input(client)
            finally:
                if self.lingering.pop(client, None) is None:
                    self.descriptors.leaving -= 1

    async def drop_input(self, client: Client) -> None:
        """Returns when the client has closed its side, or has got all that was written, or stalls."""
        progress = AcknowledgementProgress(anyio.current_time(), client.unacknowledged())
        # Without a last response that says so, the client may be sending a request: not read, it is not lost.
        waits_for_end = client.lingers and not client.resets
        dropped = 0
        while (left := seconds_left(progress, anyio.current_time(), client.unacknowledged())) > 0:
            if not waits_for_end and not progress.unacknowledged:
                return
            with anyio.move_on_after(left):
                if not waits_for_end or dropped >= client.max_dropped:
                    await anyio.sleep_forever()  # unread bytes do no harm before the close
                count = await client.discard()
                if not count:
                    return
                dropped += count

    def close_oldest(self) -> bool:
        """Cuts short the connection that has lingered longest, if it has had `LINGER_S`."""
        client, lingering = next(iter(self.lingering.items()), (None, None))
        if client is None or lingering is None or anyio.current_time() - lingering.since < LINGER_S:
            return False
        del self.lingering[client]
        self.descriptors.leaving += 1
        lingering.scope.cancel()
        return True

    def record(self, client: Client) -> None:
        """Counts a connection that is about to be closed; logs it where it loses something."""
        reason = client.close_reason or CloseReason.CLIENT_LEFT
        self.counts[reason] += 1
        if reason in (CloseReason.CLIENT_LEFT, CloseReason.HANDED_OVER):
            return
        unsent = client.unsent()
        if client.response_due or unsent:
            self.log(
                "client_closed",
                reason=reason.value,
                owed=client.response_due,
                unsent=unsent,
                sent_ahead=client.pipelined_size,
            )

    def figures(self) -> dict[str, int]:
        """Numbers of connections that were closed, by reason, and of those that linger."""
        counts = {reason.value: self.counts[reason] for reason in CloseReason}
        return counts | {"lingering": len(self.lingering)}


def seconds_left(progress: AcknowledgementProgress, now: float, unacknowledged: int | None) -> float:
    """Seconds until the next look at a client that may still acknowledge what was written, or close its side;
    zero or less if the wait is over. `unacknowledged`: as in `AcknowledgementProgress.stalled_s`."""
    left = (STALLED_S if unacknowledged else LINGER_S) - progress.stalled_s(now, unacknowledged)
    return min(left, QUEUE_CHECK_S) if unacknowledged else left
