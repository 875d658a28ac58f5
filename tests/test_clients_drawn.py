"""Random faults around clients that stay: each request that was written in full gets one final response. The
seeds are the parameters; a failure is replayed with its seed."""

import random
import time

import anyio
import pytest
from bed import Net, on_network, wanted
from test_clients_answers import ENDED, listener_of
from endpoint_acts import DECLINED, fine, until

from lupinmill.protocol.http import ClientSide, Garbled, Request
from lupinmill.transport.descriptors import ConnectionKind

CLIENTS, REQUESTS = 30, 6
KINDS = ("view", "bid", "issue")


class ResponseLost(Exception):
    """A request without a complete response."""


class RandomClient:
    """A client that sends one request at a time, in pieces, keeps its connection, and opens another if that
    ended between two requests."""

    def __init__(self, net: Net, random_source: random.Random, name: str) -> None:
        self.net, self.random_source, self.name, self.got = net, random_source, name, []
        self.stream, self.used = None, False

    async def run(self) -> None:
        for at in range(REQUESTS):
            name = f"{self.name}-{at}"
            size = self.random_source.choice([0, 0, 100, 20_000, 90_000])
            data = wanted(name, self.random_source.choice(KINDS), "0.8", b"x" * size)
            answer = await self.ask(data)
            if answer is None and self.used:
                # the sidecar may close it between two requests: sent once more on a new one
                await self.close()
                answer = await self.ask(data)
            if answer is None:
                raise ResponseLost(name)
            self.got.append(answer.status)
            if answer.status == 200 and answer.body != b"done-" + name.encode():
                raise ResponseLost(f"{name} got another's answer: {answer.body!r}")
            self.used = True
            if (answer.header(b"connection") or "").lower() == "close" or self.random_source.random() < 0.2:
                await self.close()
            await anyio.sleep(self.random_source.random() * 0.05)
        await self.close()

    async def close(self) -> None:
        if self.stream is not None:
            await self.stream.aclose()
        self.stream, self.used = None, False

    async def ask(self, data: bytes):
        side = ClientSide()
        side.ask(Request(b"GET", b"/", [(b"Host", b"a")]))
        if self.stream is None:
            host, port = self.net.address.split(":")
            self.stream = await anyio.connect_tcp(host, int(port))
        try:
            await self.write(data)
            while (answer := side.next_answer()) is None:
                side.feed(await self.stream.receive())
        except (*ENDED, Garbled, ConnectionError):
            return side.next_answer()
        return answer

    async def write(self, data: bytes) -> None:
        cuts = sorted(self.random_source.randrange(len(data)) for _ in range(self.random_source.randrange(3)))
        for begin, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
            await self.stream.send(data[begin:end])
            await anyio.sleep(0.005 * self.random_source.randrange(2))


async def random_faults(net: Net, random_source: random.Random) -> None:
    """Disturbs the event loop, admission control and the mode, until it is cancelled."""
    client_handler, gate, listener = net.program.client_handler, net.program.admission.gate, listener_of(net)
    while True:
        draw = random_source.random()
        if draw < 0.3:
            time.sleep(0.03)  # the event loop lags
        elif draw < 0.5:
            gate.active, gate.window = True, random_source.choice([0.0, 4.0, 50.0])
            gate.adjusted_at = gate.last_pressure_at = net.program.engine.clock.now()
        elif draw < 0.6:
            closing = random_source.random() < 0.5
            client_handler.closing = lambda closing=closing: closing
        elif draw < 0.7:
            listener.close_all_idle()
        elif draw < 0.8:
            listener.evict_idle_client()
        await anyio.sleep(random_source.random() * 0.03)


@pytest.mark.parametrize("seed", range(6))
def test_each_request_of_a_client_that_stays_gets_one_answer(seed):
    random_source = random.Random(seed)

    async def act(request):
        if request.header(b"req-id") is None:
            return await fine(request)
        draw = random_source.random()
        await anyio.sleep(random_source.random() * 0.02)
        return (
            DECLINED
            if draw < 0.1
            else "silent"
            if draw < 0.13
            else "reset"
            if draw < 0.16
            else await fine(request)
        )

    async def check(net: Net):
        clients = [RandomClient(net, random_source, f"p{at}") for at in range(CLIENTS)]
        async with anyio.create_task_group() as around:
            around.start_soon(random_faults, net, random_source)
            async with anyio.create_task_group() as group:
                for one in clients:
                    group.start_soon(one.run)
            around.cancel_scope.cancel()
        net.program.client_handler.closing = lambda: False
        assert all(len(one.got) == REQUESTS for one in clients)
        assert {status for one in clients for status in one.got} <= {200, 500, 502, 503}
        gate = net.program.admission.gate
        await until(lambda: net.program.descriptors.open[ConnectionKind.CLIENT] == 0)
        assert gate.inside == 0 and gate.held == 0 and net.program.client_handler.answering == 0
        assert net.program.client_handler.internal_errors == 0

    net = on_network(check, act, act, sockets=random_source.choice([56, 64, 1024]))
    assert not [log for log in net.logs if log[0] in ("task_failed", "module_failed", "order_failed")]
