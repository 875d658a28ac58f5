"""A large answer on its way: the launch that got it lends its connection to the client's task, which takes
part after part, and waits until that is done. One part is in memory at a time: a slow reader holds up its own
stream alone."""

from __future__ import annotations

import anyio

from lupinmill import terms as t
from lupinmill.protocol.http import ClientSide, Garbled
from lupinmill.transport.connection import Connection

MAX_PAUSE_S = 10.0  # seconds without a byte after which an endpoint gives no more


class IncompleteResponse(Exception):
    """The rest does not come, or not as it was told."""


class ResponseStream:
    def __init__(self, connection: Connection, side: ClientSide, attempt: object) -> None:
        self.connection, self.side, self.attempt = connection, side, attempt
        self.finished = anyio.Event()
        self.outcome = t.Outcome.CALLED_OFF  # unless told otherwise: its client's task was ended

    async def next_part(self) -> bytes:
        """The next part, none at the end."""
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
            raise IncompleteResponse("it stopped in the middle") from error
        except OSError as error:
            self.outcome = t.Outcome.RESET
            raise IncompleteResponse(str(error)) from error

    def finish(self) -> None:
        """The connection is the launch's again."""
        self.finished.set()
