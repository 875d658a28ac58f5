"""A large answer on its way: the launch that got it lends its connection to the client's task, which takes
part after part, and waits until that is done. One part is in memory at a time: a slow reader holds up its own
stream alone."""

from __future__ import annotations

import anyio

from lupinmill import terms as t
from lupinmill.protocol.http import ClientSide, Garbled
from lupinmill.transport.connection import Connection

LULL = 10.0  # seconds without a byte after which an endpoint gives no more


class Broken(Exception):
    """The rest does not come, or not as it was told."""


class Stream:
    def __init__(self, connection: Connection, side: ClientSide, launch: object) -> None:
        self.connection, self.side, self.launch = connection, side, launch
        self.done = anyio.Event()
        self.how = t.Outcome.CALLED_OFF  # unless told otherwise: its client's task was ended

    async def next(self) -> bytes:
        """The next part, none at the end."""
        try:
            while not (data := self.side.take()):
                if self.side.over:
                    self.how = t.Outcome.HANDLED
                    return b""
                with anyio.fail_after(LULL):
                    self.side.feed(await self.connection.receive())
            return data
        except Garbled as error:
            self.how = t.Outcome.SPOILT
            raise Broken(str(error)) from error
        except TimeoutError as error:
            self.how = t.Outcome.SPOILT
            raise Broken("it stopped in the middle") from error
        except OSError as error:
            self.how = t.Outcome.RESET
            raise Broken(str(error)) from error

    def finish(self) -> None:
        """The connection is the launch's again."""
        self.done.set()
