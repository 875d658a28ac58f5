"""What the stand-in endpoints of a test do with a request, and waiting for what they got."""

from __future__ import annotations

import anyio
from bed import Net

from lupinmill.protocol.http import Answer

DECLINED = Answer(503, [(b"Srv-Declined", b"1")])


async def fine(request) -> Answer:
    if request.target == b"/status/load":
        return Answer(200, [], b"queue=2,util=0.4")
    headers = [(b"X-From", b"here"), (b"Srv-Load", b"queue=1")]
    return Answer(200, headers, b"done-" + request.header(b"req-id").encode())


def always(what, after: float = 0.0):
    async def act(request):
        await anyio.sleep(after)
        return what

    return act


def seen(net: Net, name: str) -> list[int]:
    """The indexes of the endpoints that received this request completely."""
    return [at for at, stand in enumerate(net.stands) for one in stand.seen if one.header(b"req-id") == name]


async def until(what) -> None:
    while not what():
        await anyio.sleep(0.01)
