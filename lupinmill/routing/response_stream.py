"""A large response in transit. The attempt that received it lends its connection to the client's task, which
reads part after part, and waits until that is finished. One part is in memory at a time, so a slow client
delays only its own stream."""

from __future__ import annotations

import anyio

from lupinmill import terms as t
from lupinmill.protocol.http import ClientSide, Garbled
from lupinmill.transport.connection import Connection

MAX_PAUSE_S = 10.0  # seconds without a byte after which an endpoint is considered stalled


class IncompleteResponse(Exception):
    """The rest of the response does not arrive, or not as announced."""


class ResponseStream:
    def __init__(self, connection: Connection, side: ClientSide, attempt: object) -> None:
        self.connection, self.side, self.attempt = connection, side, attempt
        self.finished = anyio.Event()
        self.outcome = t.Outcome.CALLED_OFF  # default: the client's task was cancelled

    async def next_part(self) -> bytes:
        """Returns the next part, empty at the end."""
        try:
            while not (data := self.side.take()):
                if self.side.over:
                    self.outcome = t.Outcome.HANDLED
                    return b""
                with anyio.fail_after(MAX_PAUSE_S):
                    self.side.feed(await self.connection.receive())
            return data
        except Garbled as error:
            self.outcome = t.Outcome.SPOILT
            raise IncompleteResponse(str(error)) from error
        except TimeoutError as error:
            self.outcome = t.Outcome.SPOILT
            raise IncompleteResponse("the endpoint stopped sending before the end of the response") from error
        except OSError as error:
            self.outcome = t.Outcome.RESET
            raise IncompleteResponse(str(error)) from error

    def finish(self) -> None:
        """Returns the connection to the attempt."""
        self.finished.set()
